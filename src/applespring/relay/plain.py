"""Forwards requests whose answer is read completely before it is sent on."""

from collections.abc import Sequence
from functools import partial

from loguru import logger

from applespring.core import reason
from applespring.core.catalog import ListedUpstream
from applespring.core.choice.cost import RequestFeatures
from applespring.core.choice.plain import SentRequest
from applespring.core.errors import RefusalError, StageError
from applespring.core.notices import spread_return_s
from applespring.core.plain_choice import PlainChoice
from applespring.core.route import PoolSpec
from applespring.core.verdict import Verdict, combine
from applespring.permits.broker import Permit, PermitBroker
from applespring.quarantine.crash_watch import CrashWatch, WatchedRequest
from applespring.relay.answer_memory import read_answer
from applespring.relay.attempt import Attempt, record_attempt, watch_attempt
from applespring.relay.availability import check_pool, make_unavailable_refusal
from applespring.relay.client import UpstreamClient, enforce_timeout
from applespring.relay.exchange import Exchange
from applespring.relay.metrics import RelayMetrics
from applespring.relay.peers import Peers
from applespring.relay.protocol import Protocol
from applespring.relay.silence import UpstreamSilentError, run_until_replaced
from applespring.relay.state import RelayState

# A request that may be retried is sent to another upstream, if there is one and
# the budget allows it, after this multiple of the latency target of its route.
ATTEMPT_TIMEOUT_TARGETS = 1.5
# Shortest timeout of such an attempt.
ATTEMPT_TIMEOUT_MIN_S = 0.25
# Least time before the deadline at which an attempt is started.
ATTEMPT_REMAINING_MIN_S = 0.04
# A request that did not run at an upstream, for example after a refused
# connection, is not sent to another one once this many upstreams were tried.
NOT_RUN_ATTEMPTS_MAX = 4
# Retry-After of a request that all upstreams that were asked refused.
RETRY_AFTER_S = 0.2


class _CompleteAnswer:
    """An upstream's answer with its complete body."""

    __slots__ = ("status", "headers", "body", "not_run")

    def __init__(
        self, status: int, headers: list, body: bytes, not_run: bool
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.not_run = not_run

    def take_body(self) -> bytes:
        """Returns the body, which is not referred to any more."""
        body, self.body = self.body, b""
        return body


class PlainForwarder:
    """Sends a request to one upstream, and to others after a failure.

    A request that may have run is sent again only if its route is idempotent.
    Each further attempt uses the retry budget of the pool, except after a
    connection that could not be opened.
    """

    def __init__(
        self,
        state: RelayState,
        client: UpstreamClient,
        permits: PermitBroker,
        protocol: Protocol,
        peers: Peers,
        crash_watch: CrashWatch,
        metrics: RelayMetrics,
        selector: PlainChoice,
    ) -> None:
        self._state = state
        self._client = client
        self._permits = permits
        self._protocol = protocol
        self._peers = peers
        self._crash_watch = crash_watch
        self._metrics = metrics
        self.selector = selector

    async def forward(self, exchange: Exchange) -> None:
        """Sends the answer of an upstream to the caller.

        Raises:
            RefusalError: The request gets a refusal instead.
        """
        check_pool(
            self._state,
            exchange.pool,
            exchange.request_id,
            regions=exchange.regions_in(self._state.document),
        )
        async with self._crash_watch.admit(
            exchange, (), exchange.fingerprint
        ) as watched:
            await self._forward(exchange, watched)

    async def _forward(
        self, exchange: Exchange, watched: WatchedRequest
    ) -> None:
        """Sends a request to upstreams until one of them answers.

        Raises:
            RefusalError: The request gets a refusal instead.
        """
        route, clock = exchange.route, self._state.clock
        window = self._state.attempt_window(exchange.pool)
        window.record_request(clock())
        instance_count = 1 + len(self._peers.table.reachable(clock()))
        verdicts: list[Verdict] = []
        tried: list[str] = []
        attempts_run = 0
        last_answer: _CompleteAnswer | None = None
        detail = f"pool {exchange.pool} has no upstream that accepts new work"
        while True:
            now = clock()
            remaining_s = exchange.deadline_at - now
            if remaining_s < ATTEMPT_REMAINING_MIN_S:
                break
            upstream, permit = await self._choose(exchange, tried)
            if upstream is None:
                break
            now = clock()
            remaining_s = exchange.deadline_at - now
            tried.append(upstream.name)
            may_retry = (
                route.idempotent
                and not watched.is_trial
                and attempts_run + 1 < route.attempts_max
            )
            # Failed unless it answers: a timeout counts against the upstream.
            attempt = Attempt(
                now, failed=True, sending_number=tried.count(upstream.name)
            )
            call = partial(
                self._attempt,
                exchange,
                watched,
                upstream,
                permit,
                attempt,
                remaining_s,
            )
            granted = False
            try:
                if may_retry:
                    limit_s = max(
                        ATTEMPT_TIMEOUT_MIN_S,
                        ATTEMPT_TIMEOUT_TARGETS * route.target_s,
                    )
                    answer = await run_until_replaced(
                        call,
                        attempt,
                        upstream.name,
                        lambda limit_s=limit_s: limit_s,
                        partial(self._prepare_replacement, exchange, tried),
                        clock,
                    )
                else:
                    answer = await call()
            except StageError as exc:
                granted = isinstance(exc, UpstreamSilentError)
                verdicts.append(exc.verdict)
                detail = str(exc)
                if exc.verdict is Verdict.NOT_RUN:
                    exchange.sent = attempts_run > 0
                    # Nothing was sent, so the retry budget is not used.
                    if len(tried) >= NOT_RUN_ATTEMPTS_MAX:
                        break
                    continue
                attempts_run += 1
            else:
                if not (answer.not_run and attempts_run):
                    # After an attempt that may have run, an answer "not run" of
                    # the last upstream alone would be false.
                    last_answer = answer
                if answer.not_run:
                    exchange.sent = attempts_run > 0
                    if len(tried) >= NOT_RUN_ATTEMPTS_MAX:
                        break
                elif answer.status < 500:
                    break
                else:
                    attempts_run += 1
                    if not may_retry:
                        break
            if verdicts and verdicts[-1] is Verdict.MAY_HAVE_RUN:
                last_answer = None
                if not may_retry:
                    break
            if attempts_run >= route.attempts_max:
                break
            if not granted and not window.try_acquire(clock(), instance_count):
                logger.bind(
                    event="retry_denied",
                    request=exchange.req.request_id,
                    pool=exchange.pool,
                ).warning(
                    "retry budget of pool {} used up; request {} not retried",
                    exchange.pool,
                    exchange.req.request_id,
                )
                break
        await self._send_answer(exchange, last_answer, verdicts, detail)

    async def _choose(
        self, exchange: Exchange, tried: Sequence[str]
    ) -> tuple[ListedUpstream | None, Permit | None]:
        """Returns the upstream to try next, with its permit if it needs one."""
        usable = self._state.usable_upstreams(
            exchange.pool,
            exchange.request_id,
            exchange.regions_in(self._state.document),
        )
        untried = [u for u in usable if u.name not in tried]
        features = _features(exchange)
        now = self._state.clock()
        run_s = self.selector.mean_s(usable, features, now)
        instances = 1 + len(self._peers.table.reachable(now))
        return await self._permits.choose(
            untried or usable,
            lambda upstreams: self.selector.choose(
                upstreams,
                self._state.settings.failure_domain,
                tried,
                self._state.clock(),
                features,
                instances,
            ),
            min(exchange.target_at - run_s, exchange.refuse_at),
        )

    def _count_work(
        self, sent: SentRequest, now: float, attempt: Attempt
    ) -> None:
        """Counts the expected and the taken time of an answered request."""
        if sent.expected_s is None or attempt.failed:
            return
        work_s, pool = self._metrics.work_s, sent.features.pool
        work_s.inc(pool, "expected", by=sent.expected_s)
        work_s.inc(pool, "taken", by=now - sent.sent_at)

    async def _prepare_replacement(
        self, exchange: Exchange, tried: Sequence[str]
    ) -> bool:
        """Takes the retry of a request from the budget.

        Returns:
            Whether another upstream may be asked instead of a silent one.
        """
        now = self._state.clock()
        return (
            exchange.deadline_at - now >= ATTEMPT_REMAINING_MIN_S
            and any(
                upstream.name not in tried
                and self._permits.opens_at(upstream) <= now
                for upstream in self._state.usable_upstreams(
                    exchange.pool,
                    regions=exchange.regions_in(self._state.document),
                )
            )
            and self._state.attempt_window(exchange.pool).try_acquire(
                now, 1 + len(self._peers.table.reachable(now))
            )
        )

    async def _send_answer(
        self,
        exchange: Exchange,
        last_answer: _CompleteAnswer | None,
        verdicts: list[Verdict],
        detail: str,
    ) -> None:
        verdict = combine(verdicts)
        if last_answer is not None and not (last_answer.not_run and verdict):
            exchange.outcome = f"status_{last_answer.status}"
            if last_answer.not_run:
                exchange.outcome = "upstream_refused"
            headers = self._protocol.reply_headers(last_answer.headers)
            if last_answer.not_run:
                # What the upstream asks this instance for does not say when
                # the pool has room.
                headers = [h for h in headers if h[0].lower() != b"retry-after"]
                retry_after_s = self._retry_after_s(exchange)
                headers.append((b"retry-after", b"%.2f" % retry_after_s))
            await exchange.send_whole(
                last_answer.status, headers, last_answer.take_body()
            )
            return
        if verdict is Verdict.NOT_RUN:
            regions = exchange.regions_in(self._state.document)
            if (
                self._state.pool_opens_in_s(exchange.pool, regions=regions)
                != 0.0
            ):
                raise make_unavailable_refusal(
                    self._state, exchange.pool, exchange.request_id, regions
                )
            raise RefusalError(
                reason.NO_UPSTREAM,
                verdict,
                detail,
                retry_after_s=RETRY_AFTER_S,
            )
        raise RefusalError(reason.UPSTREAM_FAILED, verdict, detail)

    def _retry_after_s(self, exchange: Exchange) -> float:
        """Returns when the pool may take a request that it refused."""
        opens_in_s = self._state.pool_opens_in_s(
            exchange.pool, regions=exchange.regions_in(self._state.document)
        )
        if opens_in_s:
            return spread_return_s(opens_in_s, exchange.request_id)
        return RETRY_AFTER_S

    async def _attempt(
        self,
        exchange: Exchange,
        watched: WatchedRequest,
        upstream: ListedUpstream,
        permit: Permit | None,
        attempt: Attempt,
        timeout_s: float,
    ) -> _CompleteAnswer:
        """Sends the request to one upstream and reads its complete answer.

        Raises:
            StageError: No complete answer was received within `timeout_s`.
        """
        clock = self._state.clock
        started_at = clock()
        pool = exchange.document.pools.get(exchange.pool)
        sent = self.selector.start(upstream, _features(exchange), started_at)
        exchange.sent = True
        headers = self._protocol.encode_request(
            exchange.req,
            upstream=upstream.name,
            account=exchange.account_name,
            remaining_s=exchange.deadline_at - started_at,
            priority=None,
            inputs=(),
            after_event="",
            fetch_from="",
        )
        try:
            with (
                watch_attempt(
                    self._crash_watch, watched, upstream, lambda: False
                ),
                record_attempt(
                    attempt,
                    exchange,
                    upstream,
                    self._state,
                    self._metrics,
                    **_estimates(sent),
                ),
                enforce_timeout(timeout_s, upstream),
            ):
                async with self._client.call(
                    upstream,
                    exchange.req.method,
                    exchange.req.target,
                    headers,
                    exchange.req.body,
                    request_id=exchange.req.request_id,
                    connections_max=connection_share(pool, self._peers),
                    permit=permit,
                ) as answer:
                    not_run = answer.reply.not_run
                    if not_run:
                        body = await answer.read_refusal()
                    else:
                        body = await read_answer(
                            exchange, answer, attempt, clock
                        )
                attempt.outcome = f"status_{answer.status}"
                if answer.is_unsigned:
                    attempt.outcome = "unsigned"
                    raise answer.make_unsigned_error()
                attempt.turned_away = (
                    not_run and answer.reply.self_report.explains_refusal
                )
                # A full upstream has not failed, but the selector should prefer
                # others for a time.
                attempt.failed = not_run and not attempt.turned_away
                if not not_run:
                    self._crash_watch.record_answer(watched.names)
            return _CompleteAnswer(
                answer.status, list(answer.headers), body, not_run
            )
        finally:
            now = clock()
            if attempt.turned_away:
                self.selector.cancel(sent)
            else:
                self.selector.end(sent, now, attempt.failed)
                self._count_work(sent, now, attempt)


def _features(exchange: Exchange) -> RequestFeatures:
    """Returns what is known of the cost of a request before it is sent."""
    return RequestFeatures(
        exchange.req.request_id,
        exchange.pool,
        exchange.route.name,
        exchange.account_name,
        len(exchange.req.body),
    )


def _estimates(sent: SentRequest) -> dict[str, float]:
    """Returns the fields of a log line on the expected time of a request."""
    if sent.cost_s is None or sent.expected_s is None:
        return {}
    return {
        "cost_s": round(sent.cost_s, 4),
        "expected_s": round(sent.expected_s, 4),
    }


def connection_share(pool: PoolSpec | None, peers: Peers) -> int:
    """Returns the most connections that this instance opens to an upstream.

    The instances divide four fifths of the upstream's limit equally. Each has
    at least four connections, however many instances there are.
    """
    total = pool.connections_max if pool else 100
    return max(4, int(0.8 * total / (1 + len(peers.table.all_peers()))))
