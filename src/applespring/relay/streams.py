"""Forwards streams of events from engines, event by event."""

from collections.abc import AsyncIterator, Sequence
from contextlib import nullcontext

import anyio
from loguru import logger

from applespring.core import reason
from applespring.core.catalog import ListedUpstream
from applespring.core.chain import Chain
from applespring.core.engine_selector import EngineSelector
from applespring.core.errors import FailureKind, RefusalError, StageError
from applespring.core.events import EventSplitter
from applespring.core.verdict import Verdict
from applespring.core.window import AttemptWindow
from applespring.relay.attempt import Attempt, observe
from applespring.relay.client import Answer, UpstreamClient
from applespring.relay.exchange import Exchange
from applespring.relay.metrics import RelayMetrics
from applespring.relay.peers import Peers
from applespring.relay.plain import (
    BODY_BYTES_MAX,
    NOT_RUN_MAX,
    connection_share,
)
from applespring.relay.protocol import Protocol
from applespring.relay.stage_submitter import StageRun, StageSubmitter
from applespring.relay.state import RelayState

# A resumable stream without an event for this long goes on elsewhere; callers
# leave after two seconds without one.
SILENCE_S = 1.0
# Time that must be left for another attempt.
ATTEMPT_ROOM_S = 0.2
RETRY_AFTER_S = 0.3
# Another engine begins only after the one before has had time to notice the
# closed connection.
SWITCH_S = 0.05
# Statuses by which an engine that ran nothing says that an input is missing.
INPUTS_LOST = (400, 409)


class _InputsLostError(StageError):
    """An engine lacks a result that the request takes; nothing has run."""


class StreamForwarder:
    """Executes the stages of a request and forwards its stream."""

    def __init__(
        self,
        state: RelayState,
        client: UpstreamClient,
        protocol: Protocol,
        peers: Peers,
        submitter: StageSubmitter,
        metrics: RelayMetrics,
    ) -> None:
        self._state = state
        self._client = client
        self._protocol = protocol
        self._peers = peers
        self._submitter = submitter
        self._metrics = metrics

    async def forward(self, exchange: Exchange) -> None:
        """Answers a request.

        Raises:
            RefusalError: It gets a refusal instead.
        """
        run = StageRun(
            exchange.req,
            Chain(exchange.route.stages, exchange.req.piece_counts),
            exchange.document,
            priority=exchange.rank,
            target_at=exchange.aim_at,
            leaves_at=exchange.leaves_at,
        )
        self._state.attempt_window(exchange.pool).record_request(
            self._state.clock()
        )
        try:
            if run.chain.steps:
                home = self._state.engines.home(
                    self._state.usable_upstreams(exchange.pool),
                    _subject(exchange),
                    self._state.clock(),
                )
                run.preferred_domain = home.failure_domain if home else ""
                await self._submitter.execute(run)
            await self._forward(exchange, run)
        finally:
            self._submitter.release_remaining(run)

    async def _forward(self, exchange: Exchange, run: StageRun) -> None:
        """Sends the request to engines until its stream is finished."""
        req, route, clock = exchange.req, exchange.route, self._state.clock
        window = self._state.attempt_window(exchange.pool)
        inputs = run.chain.final_handles()
        subject = _subject(exchange)
        parts = [(p.name, p.tokens) for p in req.parts]
        splitter = EventSplitter()
        splitter.last_id = req.after_event
        tried: list[str] = []
        attempts = 0
        while True:
            now = clock()
            left = exchange.deadline_at - now
            ready = self._state.usable_upstreams(exchange.pool)
            upstream = self._state.engines.choose(
                [u for u in ready if u.name not in tried] or ready,
                subject=subject,
                parts=parts,
                inputs=run.final_input_bytes_by_domain(),
                now=now,
            )
            if upstream is None or len(tried) > NOT_RUN_MAX:
                raise _refuse(
                    reason.NO_UPSTREAM, attempts, "no engine takes the request"
                )
            tried.append(upstream.name)
            holder = self._state.engines.prefix_source(
                ready, upstream, subject=subject, parts=parts, now=now
            )
            more = route.resumable and attempts + 1 < route.attempts_max
            try:
                await self._attempt(
                    exchange,
                    run,
                    upstream,
                    holder,
                    inputs,
                    splitter,
                    parts,
                    more,
                )
                return
            except _InputsLostError as exc:
                await self._repeat_stages(exchange, run, window, exc, attempts)
                inputs = run.chain.final_handles()
                tried.pop()
                continue
            except StageError as exc:
                if exc.verdict is Verdict.NOT_RUN and not exchange.started:
                    if left < ATTEMPT_ROOM_S or not self._may_add(window, exc):
                        raise _refuse(
                            reason.NO_UPSTREAM,
                            attempts,
                            str(exc),
                            exc.retry_after_s,
                        ) from exc
                    continue
                if exc.verdict is not Verdict.NOT_RUN:
                    attempts += 1
                if (
                    not more
                    or exchange.deadline_at - clock() < ATTEMPT_ROOM_S
                    or not window.try_acquire(clock(), self._sharers())
                ):
                    raise RefusalError(
                        reason.UPSTREAM_FAILED,
                        Verdict.MAY_HAVE_RUN,
                        str(exc),
                    ) from exc
                splitter.drop_partial()
                logger.bind(
                    event="stream_resumed",
                    request=req.request_id,
                    after=splitter.last_id,
                    cause=exc.kind.value,
                ).info("stream goes on at another engine")
                await anyio.sleep(SWITCH_S)

    async def _repeat_stages(
        self,
        exchange: Exchange,
        run: StageRun,
        window: AttemptWindow,
        cause: StageError,
        attempts: int,
    ) -> None:
        """Has the results made again that an engine lacks.

        Raises:
            RefusalError: They cannot be made in time.
        """
        left = exchange.deadline_at - self._state.clock()
        if left < ATTEMPT_ROOM_S or not self._may_add(window, cause):
            raise _refuse(reason.STAGE_FAILED, attempts, str(cause)) from cause
        try:
            await self._submitter.repeat(run, str(cause))
        except RefusalError as exc:
            # The stages did not run the request, but an engine may have.
            raise _refuse(
                exc.reason, attempts, exc.detail, exc.retry_after_s
            ) from exc

    def _sharers(self) -> int:
        return 1 + len(self._peers.table.reachable(self._state.clock()))

    def _may_add(self, window: AttemptWindow, exc: StageError) -> bool:
        """Returns whether a request that did not run may go elsewhere."""
        if exc.kind is FailureKind.CONNECT:
            return True
        return window.try_acquire(self._state.clock(), self._sharers())

    async def _attempt(
        self,
        exchange: Exchange,
        run: StageRun,
        upstream: ListedUpstream,
        holder: ListedUpstream | None,
        inputs: Sequence[str],
        splitter: EventSplitter,
        parts: Sequence[tuple[str, int]],
        more: bool,
    ) -> None:
        """Forwards the answer of one engine, up to its end.

        Args:
            exchange: The request.
            run: Its stages.
            upstream: The engine.
            holder: Engine from which it fetches the prefix, or None.
            inputs: Handles of the results that it takes.
            splitter: Knows the events that were passed on.
            parts: Parts of the prompt with their tokens, in order.
            more: Whether another engine may go on.

        Raises:
            StageError: The stream did not come or ended early.
        """
        req, clock = exchange.req, self._state.clock
        engines = self._state.engines
        began = clock()
        left = exchange.deadline_at - began
        headers = self._protocol.encode_request(
            req,
            upstream=upstream.name,
            account=exchange.account,
            remaining_s=left,
            priority=exchange.priority,
            inputs=inputs,
            after_event=splitter.last_id,
            fetch_from=holder.address if holder else "",
        )
        unread = engines.unread_prompt_tokens(upstream.name, parts, began)
        engines.start_request(
            upstream.name, [p for p, _ in parts], unread, began
        )
        pool = exchange.document.pools.get(exchange.pool)
        reading = _Reading(unread)
        attempt = Attempt()
        release = nullcontext()
        if not exchange.route.resumable:
            release = self._submitter.release_after_fetch(run)
        try:
            with (
                observe(
                    attempt,
                    exchange,
                    upstream,
                    self._state,
                    self._metrics,
                    unread_tokens=unread,
                    fetched_from=holder.name if holder else "",
                ),
                release,
            ):
                async with self._client.call(
                    upstream,
                    req.method,
                    req.target,
                    headers,
                    req.body,
                    request_id=req.request_id,
                    connections_max=connection_share(pool, self._peers),
                ) as answer:
                    if answer.status != 200 or answer.reply.not_run:
                        attempt.outcome = f"status_{answer.status}"
                        # An engine that refuses is full, or is not the one that
                        # the registry still lists under its address.
                        attempt.failed = answer.status not in INPUTS_LOST and (
                            answer.status >= 500 or answer.reply.not_run
                        )
                        await self._pass_failure(
                            exchange, upstream, answer, run
                        )
                        return
                    if not answer.reply.signed:
                        attempt.outcome = "unsigned"
                        raise StageError(
                            FailureKind.MISMATCH,
                            Verdict.MAY_HAVE_RUN,
                            upstream.name,
                            "a stream without a signature",
                        )
                    if not exchange.route.resumable:
                        self._submitter.release_remaining(run)
                    await self._relay(
                        exchange, upstream, answer, splitter, reading, more
                    )
                    attempt.outcome = "done"
        finally:
            now = clock()
            reading.done(engines, upstream.name, now)
            engines.end_request(upstream.name, now, failed=attempt.failed)

    async def _pass_failure(
        self,
        exchange: Exchange,
        upstream: ListedUpstream,
        answer: Answer,
        run: StageRun,
    ) -> None:
        """Passes on an engine's failure.

        Raises:
            StageError: The failure says that another attempt may be made.
        """
        body = await answer.read(BODY_BYTES_MAX)
        if answer.reply.not_run:
            detail = f"status {answer.status}"
            lost = answer.status in INPUTS_LOST and run.chain.steps
            failure = _InputsLostError if lost else StageError
            raise failure(
                FailureKind.REFUSED, Verdict.NOT_RUN, upstream.name, detail
            )
        if exchange.started:
            raise StageError(
                FailureKind.STATUS,
                Verdict.MAY_HAVE_RUN,
                upstream.name,
                f"status {answer.status}",
            )
        exchange.outcome = f"status_{answer.status}"
        headers = self._protocol.reply_headers(answer.headers)
        await exchange.start(answer.status, headers)
        await exchange.finish(body)

    async def _relay(
        self,
        exchange: Exchange,
        upstream: ListedUpstream,
        answer: Answer,
        splitter: EventSplitter,
        reading: "_Reading",
        more: bool,
    ) -> None:
        """Passes on whole events as they arrive, up to the end.

        Raises:
            StageError: The engine was silent for too long.
        """
        clock, engines = self._state.clock, self._state.engines
        chunks = answer.chunks()
        while True:
            limit_s = exchange.deadline_at - clock()
            if more:
                limit_s = min(limit_s, SILENCE_S)
            chunk = await _next_chunk(chunks, limit_s, upstream)
            if chunk is None:
                break
            whole = splitter.feed(chunk)
            if not whole:
                continue
            now = clock()
            reading.done(engines, upstream.name, now)
            engines.record_progress(upstream.name, now)
            if not exchange.started:
                headers = self._protocol.reply_headers(answer.headers)
                await exchange.start(answer.status, headers)
            if exchange.first_event_at < 0:
                exchange.first_event_at = now
            await exchange.send_part(whole)
        if splitter.partial:
            raise StageError(
                FailureKind.TRUNCATED,
                Verdict.MAY_HAVE_RUN,
                upstream.name,
                "the stream ended inside an event",
            )
        exchange.events = splitter.count
        exchange.outcome = "done"
        if not exchange.started:
            headers = self._protocol.reply_headers(answer.headers)
            await exchange.start(answer.status, headers)
        await exchange.finish()


class _Reading:
    """Prompt tokens that an engine has not read yet for one request."""

    __slots__ = ("_unread",)

    def __init__(self, unread: int) -> None:
        self._unread = unread

    def done(self, engines: EngineSelector, name: str, now: float) -> None:
        """Notes, once, that the prompt has been read."""
        if self._unread:
            engines.record_prompt_read(name, self._unread, now)
            self._unread = 0


async def _next_chunk(
    chunks: AsyncIterator[bytes], limit_s: float, upstream: ListedUpstream
) -> bytes | None:
    """Returns the next bytes of a body, or None at its end.

    Raises:
        StageError: None came in time.
    """
    with anyio.move_on_after(max(0.0, limit_s)):
        try:
            return await anext(chunks)
        except StopAsyncIteration:
            return None
    raise StageError(
        FailureKind.TIMEOUT,
        Verdict.MAY_HAVE_RUN,
        upstream.name,
        f"no event in {limit_s:.2f} s",
    )


def _refuse(
    why: reason.Reason,
    attempts: int,
    detail: str,
    retry_after_s: float | None = None,
) -> RefusalError:
    """Returns a refusal after some attempts that may have run."""
    if attempts:
        return RefusalError(
            reason.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN, detail
        )
    return RefusalError(
        why,
        Verdict.NOT_RUN,
        detail,
        retry_after_s=retry_after_s or RETRY_AFTER_S,
    )


def _subject(exchange: Exchange) -> str:
    """Returns what names the shared prefix of a request's prompt.

    The last part of a prompt belongs to the request or its session alone.
    """
    parts = exchange.req.parts
    if not parts:
        return exchange.req.request_id
    shared = parts[:-1] or parts
    return "/".join(part.name for part in shared)
