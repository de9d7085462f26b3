"""Forwards requests whose whole answer is read before it is passed on."""

from collections.abc import Iterator
from contextlib import contextmanager

import anyio
from loguru import logger

from applespring.core import reason
from applespring.core.catalog import ListedUpstream
from applespring.core.errors import FailureKind, RefusalError, StageError
from applespring.core.plain_selector import PlainSelector
from applespring.core.route import PoolSpec
from applespring.core.verdict import Verdict, combine
from applespring.relay.attempt import Attempt, observe
from applespring.relay.client import UpstreamClient
from applespring.relay.exchange import Exchange
from applespring.relay.metrics import RelayMetrics
from applespring.relay.peers import Peers
from applespring.relay.protocol import Protocol
from applespring.relay.state import RelayState

BODY_BYTES_MAX = 8 * 1024 * 1024
# A repeatable request that has waited this many times its target at one
# upstream is sent to another one.
ATTEMPT_TARGETS = 1.5
ATTEMPT_LEAST_S = 0.25
# Time that must be left for another attempt.
ATTEMPT_ROOM_S = 0.04
# Attempts that did not run, such as refused connections, in one request.
NOT_RUN_MAX = 4
# When an upstream refuses and no time is named, come back after this.
RETRY_AFTER_S = 0.2


class _Whole:
    """A whole answer."""

    __slots__ = ("status", "headers", "body", "not_run")

    def __init__(
        self, status: int, headers: list, body: bytes, not_run: bool
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.not_run = not_run


class PlainForwarder:
    """Sends a request to one upstream, or to several where that is allowed."""

    def __init__(
        self,
        state: RelayState,
        client: UpstreamClient,
        protocol: Protocol,
        peers: Peers,
        metrics: RelayMetrics,
    ) -> None:
        self._state = state
        self._client = client
        self._protocol = protocol
        self._peers = peers
        self._metrics = metrics
        self.board = PlainSelector()

    async def forward(self, exchange: Exchange) -> None:
        """Answers a request.

        Raises:
            RefusalError: It gets a refusal instead.
        """
        route, clock = exchange.route, self._state.clock
        window = self._state.attempt_window(exchange.pool)
        window.record_request(clock())
        sharers = 1 + len(self._peers.table.reachable(clock()))
        verdicts: list[Verdict] = []
        tried: list[str] = []
        ran_at = 0
        last: _Whole | None = None
        detail = "no upstream takes new work"
        while True:
            now = clock()
            left = exchange.deadline_at - now
            upstream = self.board.choose(
                self._state.usable_upstreams(exchange.pool),
                self._state.settings.failure_domain,
                tried,
                now,
            )
            if upstream is None or left < ATTEMPT_ROOM_S:
                break
            tried.append(upstream.name)
            may_repeat = route.idempotent and ran_at + 1 < route.attempts_max
            limit_s = left
            if may_repeat:
                limit_s = min(
                    left,
                    max(ATTEMPT_LEAST_S, ATTEMPT_TARGETS * route.target_s),
                )
            try:
                whole = await self._attempt(exchange, upstream, limit_s)
            except StageError as exc:
                verdicts.append(exc.verdict)
                detail = str(exc)
                if exc.verdict is Verdict.NOT_RUN:
                    # Nothing was sent, so no attempt is added.
                    if len(tried) >= NOT_RUN_MAX:
                        break
                    continue
                ran_at += 1
            else:
                if not (whole.not_run and ran_at):
                    # After a run that failed, "not run" would be untrue.
                    last = whole
                if whole.not_run:
                    if len(tried) >= NOT_RUN_MAX:
                        break
                elif whole.status < 500:
                    break
                else:
                    ran_at += 1
                    if not may_repeat:
                        break
            if verdicts and verdicts[-1] is Verdict.MAY_HAVE_RUN:
                last = None
                if not may_repeat:
                    break
            if ran_at >= route.attempts_max:
                break
            if not window.try_acquire(clock(), sharers):
                logger.bind(
                    event="retry_denied",
                    request=exchange.req.request_id,
                    pool=exchange.pool,
                ).warning("retries of the pool are used up")
                break
        await self._answer(exchange, last, verdicts, detail)

    async def _answer(
        self,
        exchange: Exchange,
        last: _Whole | None,
        verdicts: list[Verdict],
        detail: str,
    ) -> None:
        verdict = combine(verdicts)
        if last is not None and not (last.not_run and verdict):
            exchange.outcome = f"status_{last.status}"
            if last.not_run:
                exchange.outcome = "upstream_refused"
            headers = self._protocol.reply_headers(last.headers)
            if last.not_run and not any(
                name.lower() == b"retry-after" for name, _ in headers
            ):
                headers.append((b"retry-after", b"%.2f" % RETRY_AFTER_S))
            await exchange.start(last.status, headers)
            await exchange.finish(last.body)
            return
        if verdict is Verdict.NOT_RUN:
            raise RefusalError(
                reason.NO_UPSTREAM,
                verdict,
                detail,
                retry_after_s=RETRY_AFTER_S,
            )
        raise RefusalError(reason.UPSTREAM_FAILED, verdict, detail)

    async def _attempt(
        self, exchange: Exchange, upstream: ListedUpstream, limit_s: float
    ) -> _Whole:
        """Sends the request to one upstream and reads its whole answer.

        Raises:
            StageError: No whole answer came.
        """
        clock = self._state.clock
        began = clock()
        pool = exchange.document.pools.get(exchange.pool)
        # An upstream that has not answered when its time is up is at fault.
        attempt = Attempt(failed=True)
        self.board.start_request(upstream.name)
        headers = self._protocol.encode_request(
            exchange.req,
            upstream=upstream.name,
            account=exchange.account,
            remaining_s=exchange.deadline_at - began,
            priority=None,
            inputs=(),
            after_event="",
            fetch_from="",
        )
        try:
            with (
                observe(
                    attempt, exchange, upstream, self._state, self._metrics
                ),
                _limit(limit_s, upstream),
            ):
                async with self._client.call(
                    upstream,
                    exchange.req.method,
                    exchange.req.target,
                    headers,
                    exchange.req.body,
                    request_id=exchange.req.request_id,
                    connections_max=connection_share(pool, self._peers),
                ) as answer:
                    body = await answer.read(BODY_BYTES_MAX)
                not_run = answer.reply.not_run
                attempt.outcome = f"status_{answer.status}"
                if answer.status < 300 and not answer.reply.signed:
                    attempt.outcome = "unsigned"
                    raise StageError(
                        FailureKind.MISMATCH,
                        Verdict.MAY_HAVE_RUN,
                        upstream.name,
                        "a success without a signature",
                    )
                # A full upstream is not at fault, but others come first.
                attempt.failed = not_run
            return _Whole(answer.status, list(answer.headers), body, not_run)
        finally:
            now = clock()
            self.board.end_request(
                upstream.name, now, now - began, attempt.failed
            )


@contextmanager
def _limit(limit_s: float, upstream: ListedUpstream) -> Iterator[None]:
    """Bounds the time of an attempt.

    Raises:
        StageError: The time is up.
    """
    try:
        with anyio.fail_after(limit_s):
            yield
    except TimeoutError as exc:
        raise StageError(
            FailureKind.TIMEOUT,
            Verdict.MAY_HAVE_RUN,
            upstream.name,
            f"no answer in {limit_s:.3f} s",
        ) from exc


def connection_share(pool: PoolSpec | None, peers: Peers) -> int:
    """Returns the connections that this instance may have to an upstream."""
    total = pool.connections_max if pool else 100
    return max(4, int(0.8 * total / (1 + len(peers.table.all_peers()))))
