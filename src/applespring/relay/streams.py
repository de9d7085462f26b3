"""Forwards streams of server-sent events from engines to callers."""

from collections import Counter
from collections.abc import Sequence
from contextlib import nullcontext
from functools import partial

import anyio
from loguru import logger

from applespring.core import reason
from applespring.core.catalog import ListedUpstream
from applespring.core.chain import Chain
from applespring.core.choice.even import request_seed
from applespring.core.engines.attempt import EngineAttempt
from applespring.core.errors import FailureKind, RefusalError, StageError
from applespring.core.events import EventSplitter, EventTooLongError
from applespring.core.homes import Regions
from applespring.core.queue_waits import critical_path_s
from applespring.core.verdict import Verdict
from applespring.core.window import AttemptWindow
from applespring.permits.broker import Permit, PermitBroker
from applespring.quarantine.crash_watch import CrashWatch, WatchedRequest
from applespring.relay.answer_memory import read_answer
from applespring.relay.attempt import (
    CANCELLED,
    Attempt,
    record_attempt,
    watch_attempt,
)
from applespring.relay.availability import (
    check_evacuations,
    check_pool,
    make_unavailable_refusal,
)
from applespring.relay.client import Answer, UpstreamClient
from applespring.relay.engine_costs import (
    check_first_event,
    make_cost,
    record_choice,
    record_first_event,
)
from applespring.relay.exchange import Exchange
from applespring.relay.metrics import RelayMetrics
from applespring.relay.peers import Peers
from applespring.relay.plain import (
    NOT_RUN_ATTEMPTS_MAX,
    connection_share,
)
from applespring.relay.protocol import Protocol
from applespring.relay.silence import (
    UpstreamSilentError,
    run_until_replaced,
    silence_limit_s,
)
from applespring.relay.stage_submitter import StageRun, StageSubmitter
from applespring.relay.state import RelayState

# Least time before the deadline at which another attempt is started.
ATTEMPT_REMAINING_MIN_S = 0.2
# An engine that has sent nothing for this multiple of the time in which most
# engines of its pool send a first event is silent.
FIRST_EVENT_RUNS = 2.0
# Retry-After of a refusal for which no engine named a time.
RETRY_AFTER_S = 0.3
# Delay before a stream is resumed, so that the previous engine notices that its
# connection was closed before the next one starts.
SWITCH_DELAY_S = 0.05
# An engine that has gone on with an answer for this long will not crash on its
# prompt.
BEGUN_S = 0.25
# Statuses of an engine that executed nothing because it lacks an input.
INPUTS_LOST_STATUSES = (400, 409)


class _InputsLostError(StageError):
    """An engine lacks a stage result that the request reads; it ran nothing."""


class StreamForwarder:
    """Has the stages of a request executed and forwards the engine's stream.

    A broken stream is resumed at another engine if its route allows it.
    """

    def __init__(
        self,
        state: RelayState,
        client: UpstreamClient,
        permits: PermitBroker,
        protocol: Protocol,
        peers: Peers,
        submitter: StageSubmitter,
        crash_watch: CrashWatch,
        metrics: RelayMetrics,
    ) -> None:
        self._state = state
        self._client = client
        self._permits = permits
        self._protocol = protocol
        self._peers = peers
        self._submitter = submitter
        self._crash_watch = crash_watch
        self._metrics = metrics

    async def forward(self, exchange: Exchange) -> None:
        """Sends the stream of an engine to the caller.

        Raises:
            RefusalError: The request gets a refusal, or its started stream
                can't be completed.
        """
        run = self._make_run(exchange)
        check_pool(
            self._state,
            exchange.pool,
            exchange.request_id,
            within_s=critical_path_s(run.chain, run.call_s, {}, 0.0),
            regions=run.regions,
        )
        check_evacuations(
            self._state,
            {step.pool for step in run.chain.steps.values()},
            run.regions,
        )
        check_first_event(self._state, exchange, _prefix_name(exchange))
        async with self._crash_watch.admit(
            exchange, _shared_parts(exchange), exchange.fingerprint
        ) as watched:
            run.is_trial = watched.is_trial
            await self._execute(exchange, run, watched)

    def _make_run(self, exchange: Exchange) -> StageRun:
        return StageRun(
            exchange.req,
            Chain(exchange.route.stages, exchange.req.piece_counts),
            exchange.document,
            priority=exchange.stage_priority,
            target_at=exchange.target_at,
            leaves_at=exchange.refuse_at,
            run_s=self._state.first_event_s(exchange.pool, exchange.route.name),
            fingerprint=exchange.fingerprint,
            account=exchange.account_name,
            read_regions=partial(self._regions, exchange),
        )

    def _regions(self, exchange: Exchange) -> Regions:
        return exchange.regions_in(self._state.document)

    def _usable(
        self, exchange: Exchange, request: str = ""
    ) -> list[ListedUpstream]:
        return self._state.usable_upstreams(
            exchange.pool, request, self._regions(exchange)
        )

    async def _execute(
        self, exchange: Exchange, run: StageRun, watched: WatchedRequest
    ) -> None:
        """Has the stages executed, then sends the stream of an engine.

        Raises:
            RefusalError: The request gets a refusal, or its started stream
                can't be completed.
        """
        self._state.attempt_window(exchange.pool).record_request(
            self._state.clock()
        )
        try:
            if run.chain.steps:
                home = self._state.engines.home(
                    self._usable(exchange),
                    _prefix_name(exchange),
                    self._state.clock(),
                )
                run.preferred_domain = home.failure_domain if home else ""
                await self._submitter.execute(run)
            await self._forward_stream(exchange, run, watched)
        finally:
            self._submitter.release_remaining(run)

    async def _forward_stream(
        self, exchange: Exchange, run: StageRun, watched: WatchedRequest
    ) -> None:
        """Sends the request to engines until its stream is complete.

        A trial of what is quarantined goes to the engine with the fewest
        requests, and to no second one if that breaks off.

        Raises:
            RefusalError: No engine completed the stream.
        """
        req, route, clock = exchange.req, exchange.route, self._state.clock
        window = self._state.attempt_window(exchange.pool)
        prefix_name = _prefix_name(exchange)
        parts = [(p.name, p.tokens) for p in req.prompt_parts]
        splitter = EventSplitter()
        splitter.last_id = req.after_event
        tried: list[str] = []
        sendings = Counter[str]()
        attempts = 0
        while True:
            if run.chain.final_released:
                await self._restore_results(exchange, run, attempts)
            now = clock()
            remaining_s = exchange.deadline_at - now
            ready = self._usable(exchange, req.request_id)
            untried = [u for u in ready if u.name not in tried] or ready
            upstream, permit = await self._choose(
                exchange, run, watched, untried, prefix_name, parts
            )
            now = clock()
            remaining_s = exchange.deadline_at - now
            if upstream is None:
                refusal = make_unavailable_refusal(
                    self._state,
                    exchange.pool,
                    req.request_id,
                    self._regions(exchange),
                )
                if attempts:
                    refusal = _make_refusal(
                        refusal.reason, attempts, refusal.detail
                    )
                raise refusal
            if len(tried) > NOT_RUN_ATTEMPTS_MAX:
                raise _make_refusal(
                    reason.NO_UPSTREAM,
                    attempts,
                    f"pool {exchange.pool} has no engine that accepts the "
                    f"request; {len(tried)} were tried",
                )
            tried.append(upstream.name)
            sendings[upstream.name] += 1
            record_choice(
                self._state, self._metrics, exchange, upstream, prefix_name
            )
            source_engine = self._state.engines.prefix_source(
                # A fetch is work for its engine too.
                [
                    u
                    for u in ready
                    if not self._permits.is_limited(u)
                    and not self._state.is_evacuated(u)
                ],
                upstream,
                subject=prefix_name,
                parts=parts,
                now=now,
            )
            may_resume = (
                route.resumable
                and not watched.is_trial
                and attempts + 1 < route.attempts_max
            )
            attempt = Attempt(now, sending_number=sendings[upstream.name])
            call = partial(
                self._attempt,
                exchange,
                watched,
                run,
                upstream,
                permit,
                source_engine,
                run.chain.final_handles(),
                splitter,
                parts,
                attempt,
            )
            try:
                if may_resume:
                    await run_until_replaced(
                        call,
                        attempt,
                        upstream.name,
                        partial(
                            self._silence_limit_s,
                            exchange,
                            attempt,
                            self._state.engines.unread_prompt_tokens(
                                upstream.name, parts, now
                            ),
                        ),
                        partial(
                            self._prepare_replacement,
                            exchange,
                            run,
                            upstream.name,
                            attempt,
                            attempts,
                        ),
                        clock,
                    )
                else:
                    await call()
                return
            except _InputsLostError as exc:
                exchange.sent = attempts > 0
                await self._repeat_stages(exchange, run, window, exc, attempts)
                tried.pop()
                continue
            except StageError as exc:
                if exc.verdict is Verdict.NOT_RUN:
                    exchange.sent = attempts > 0
                    if (
                        remaining_s < ATTEMPT_REMAINING_MIN_S
                        or not self._may_add_attempt(window, exc)
                    ):
                        raise _make_refusal(
                            reason.NO_UPSTREAM,
                            attempts,
                            str(exc),
                            exc.retry_after_s,
                        ) from exc
                    continue
                attempts += 1
                # The retry after a silence was taken before its attempt ended.
                may_continue = isinstance(exc, UpstreamSilentError) or (
                    may_resume
                    and exchange.deadline_at - clock()
                    >= ATTEMPT_REMAINING_MIN_S
                    and window.try_acquire(clock(), self._instance_count())
                )
                if not may_continue:
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
                ).info(
                    'stream of request {} resumes after event "{}"',
                    req.request_id,
                    splitter.last_id,
                )
                await anyio.sleep(SWITCH_DELAY_S)

    async def _choose(
        self,
        exchange: Exchange,
        run: StageRun,
        watched: WatchedRequest,
        engines: Sequence[ListedUpstream],
        prefix_name: str,
        parts: Sequence[tuple[str, int]],
    ) -> tuple[ListedUpstream | None, Permit | None]:
        """Returns the engine to try next, with its permit if it needs one."""
        estimate = self._state.first_event(exchange.pool)
        cost = make_cost(self._state, exchange)
        instances = self._instance_count() if cost is not None else 1
        seed = request_seed(self._state.settings.name, exchange.request_id)

        def select(
            upstreams: Sequence[ListedUpstream],
        ) -> ListedUpstream | None:
            now = self._state.clock()
            if watched.is_trial:
                return self._state.engines.find_least_loaded(upstreams, now)
            return self._state.engines.choose(
                upstreams,
                subject=prefix_name,
                parts=parts,
                inputs=run.final_input_bytes_by_domain(),
                tokens_per_s=estimate.tokens_per_s,
                now=now,
                cost=cost,
                instances=instances,
                seed=seed,
            )

        # A stream that has begun is late only when its caller leaves.
        latest_at = exchange.target_at
        if exchange.started:
            latest_at = self._state.clock() + exchange.event_wait_s
        latest_at = min(latest_at, exchange.deadline_at) - estimate.run_s
        return await self._permits.choose(engines, select, latest_at)

    def _silence_limit_s(
        self, exchange: Exchange, attempt: Attempt, unread_tokens: int
    ) -> float:
        """Returns how long the engine of a resumable stream may be silent."""
        limit_s = silence_limit_s(
            exchange.event_wait_s, started=exchange.started
        )
        if not attempt.answered:
            estimate = self._state.first_event(exchange.pool)
            expected_s = estimate.run_s + unread_tokens / estimate.tokens_per_s
            return max(limit_s, FIRST_EVENT_RUNS * expected_s)
        return limit_s

    async def _prepare_replacement(
        self,
        exchange: Exchange,
        run: StageRun,
        engine: str,
        attempt: Attempt,
        attempts: int,
    ) -> bool:
        """Prepares that another engine continues the stream of a silent one.

        Takes the retry from the budget, and has the stages executed again if
        their results were released.

        Returns:
            Whether another engine may continue now.
        """
        now, engines = self._state.clock(), self._state.engines
        silent_s = attempt.silent_s(now)
        if not attempt.replaceable:
            return False
        if not attempt.answered and not engines.is_silent(
            engine, silent_s, now
        ):
            # It answers other requests, so it is busy.
            return False
        ends_at, needed_s = exchange.deadline_at, ATTEMPT_REMAINING_MIN_S
        if not exchange.started:
            # The next engine gets as much time as this one had.
            ends_at, needed_s = exchange.refuse_at, silent_s
        others = [
            upstream
            for upstream in self._usable(exchange)
            if upstream.name != engine
            and engines.is_available(upstream.name, now)
            and self._permits.opens_at(upstream) <= now
        ]
        if (
            ends_at - now < needed_s
            or not others
            or not self._state.attempt_window(exchange.pool).try_acquire(
                now, self._instance_count()
            )
        ):
            return False
        if run.chain.final_released:
            try:
                await self._restore_results(exchange, run, attempts + 1)
            except RefusalError as exc:
                logger.bind(
                    event="engine_kept", request=exchange.req.request_id
                ).info(
                    "silent engine {} keeps the stream of request {}: {}",
                    engine,
                    exchange.req.request_id,
                    exc,
                )
                attempt.replaceable = False
                return False
        return True

    async def _repeat_stages(
        self,
        exchange: Exchange,
        run: StageRun,
        window: AttemptWindow,
        cause: StageError,
        attempts: int,
    ) -> None:
        """Has all stages executed again, since an engine lacks a result.

        Raises:
            RefusalError: The results can't be produced in time, or the retry
                budget is used up.
        """
        remaining_s = exchange.deadline_at - self._state.clock()
        if remaining_s < ATTEMPT_REMAINING_MIN_S or not self._may_add_attempt(
            window, cause
        ):
            raise _make_refusal(
                reason.STAGE_FAILED, attempts, str(cause)
            ) from cause
        try:
            await self._submitter.repeat(run, str(cause))
        except RefusalError as exc:
            # The stages refused without running the request, but an engine may
            # have run it in an earlier attempt.
            raise _make_refusal(
                exc.reason, attempts, exc.detail, exc.retry_after_s
            ) from exc

    async def _restore_results(
        self, exchange: Exchange, run: StageRun, attempts: int
    ) -> None:
        """Has the stages executed again after their results were released.

        The results are released once an engine has read them, so that they do
        not occupy memory for as long as its stream lasts. Another engine that
        resumes the stream needs them again.

        Raises:
            RefusalError: The results can't be produced in time.
        """
        run.leaves_at = min(
            exchange.deadline_at, self._state.clock() + exchange.event_wait_s
        )
        run.target_at = run.leaves_at
        try:
            await self._submitter.execute_again(
                run, "another engine is to continue, its inputs are released"
            )
        except RefusalError as exc:
            raise _make_refusal(
                exc.reason, attempts, exc.detail, exc.retry_after_s
            ) from exc

    def _instance_count(self) -> int:
        return 1 + len(self._peers.table.reachable(self._state.clock()))

    def _may_add_attempt(self, window: AttemptWindow, exc: StageError) -> bool:
        """Returns whether a request that did not run may be sent again.

        It is free if nothing was sent; otherwise it uses the retry budget.
        """
        if exc.kind in (FailureKind.CONNECT, FailureKind.WITHDRAWN):
            return True
        return window.try_acquire(self._state.clock(), self._instance_count())

    async def _attempt(
        self,
        exchange: Exchange,
        watched: WatchedRequest,
        run: StageRun,
        upstream: ListedUpstream,
        permit: Permit | None,
        source_engine: ListedUpstream | None,
        inputs: Sequence[str],
        splitter: EventSplitter,
        parts: Sequence[tuple[str, int]],
        attempt: Attempt,
    ) -> None:
        """Forwards the answer of one engine, up to its end.

        Args:
            exchange: The request.
            watched: Its candidates for a crash of the engine.
            run: Its stages.
            upstream: The engine.
            permit: Permit for the attempt if the engine has a rate limit.
            source_engine: Engine from which it fetches the cached prompt
                prefix, or None.
            inputs: Handles of the stage results that it reads.
            splitter: Splitter of the stream, which has the id of the last event
                sent to the caller.
            parts: Parts of the prompt with their tokens, in order.
            attempt: Receives the progress and the result.

        Raises:
            StageError: No stream arrived, or it ended early.
        """
        req, clock = exchange.req, self._state.clock
        engines = self._state.engines
        started_at = clock()
        remaining_s = exchange.deadline_at - started_at
        headers = self._protocol.encode_request(
            req,
            upstream=upstream.name,
            account=exchange.account_name,
            remaining_s=remaining_s,
            priority=exchange.priority,
            inputs=inputs,
            after_event=splitter.last_id,
            fetch_from=source_engine.address if source_engine else "",
        )
        unread_tokens = engines.unread_prompt_tokens(
            upstream.name, parts, started_at
        )
        engines.start_request(
            upstream.name, [p for p, _ in parts], unread_tokens, started_at
        )
        pool = exchange.document.pools.get(exchange.pool)
        fetched_tokens = 0
        if source_engine is not None:
            fetched_tokens = max(0, unread_tokens - parts[-1][1])
        at_engine = EngineAttempt(
            engines,
            self._state.first_event(exchange.pool),
            upstream,
            unread_tokens,
            make_cost(self._state, exchange),
            started_at,
            fetched_tokens,
            exchange.route.name,
        )
        is_whole = not splitter.last_id
        exchange.sent = True
        result_release = nullcontext()
        if not exchange.route.resumable:
            result_release = self._submitter.release_after_fetch(run)
        try:
            with (
                watch_attempt(
                    self._crash_watch,
                    watched,
                    upstream,
                    lambda: 0.0 <= attempt.first_event_at <= clock() - BEGUN_S,
                ),
                record_attempt(
                    attempt,
                    exchange,
                    upstream,
                    self._state,
                    self._metrics,
                    unread_tokens=unread_tokens,
                    fetched_from=source_engine.name if source_engine else "",
                ),
                result_release,
            ):
                async with self._client.call(
                    upstream,
                    req.method,
                    req.target,
                    headers,
                    req.body,
                    request_id=req.request_id,
                    connections_max=connection_share(pool, self._peers),
                    permit=permit,
                ) as answer:
                    if answer.is_unsigned:
                        attempt.outcome = "unsigned"
                        raise answer.make_unsigned_error()
                    if answer.status != 200:
                        attempt.outcome = f"status_{answer.status}"
                        # An engine that refuses is full, or another upstream
                        # has taken the address that the registry still lists.
                        attempt.turned_away = (
                            answer.reply.self_report.explains_refusal
                        )
                        attempt.failed = (
                            not attempt.turned_away
                            and answer.status not in INPUTS_LOST_STATUSES
                            and (answer.status >= 500 or answer.reply.not_run)
                        )
                        await self._handle_other_answer(
                            exchange, upstream, answer, run, attempt
                        )
                        return
                    self._submitter.release_remaining(run)
                    await self._forward_events(
                        exchange,
                        watched,
                        upstream,
                        answer,
                        attempt,
                        splitter,
                        at_engine,
                    )
                    attempt.outcome = "done"
        finally:
            now = clock()
            cancelled = attempt.outcome == CANCELLED
            silent_s = attempt.silent_s(now)
            limit_s = silence_limit_s(
                exchange.event_wait_s, started=exchange.started
            )
            is_silent = silent_s >= limit_s
            if cancelled and is_silent:
                attempt.failed = True
            if is_silent and not attempt.answered:
                # The first event would have taken longer than this.
                at_engine.record_first_event(now)
            at_engine.end(
                now,
                failed=attempt.failed,
                answered=attempt.answered
                or not (cancelled or attempt.turned_away),
                complete=is_whole and attempt.outcome == "done",
            )

    async def _handle_other_answer(
        self,
        exchange: Exchange,
        upstream: ListedUpstream,
        answer: Answer,
        run: StageRun,
        attempt: Attempt,
    ) -> None:
        """Sends an engine's answer that is no stream, if it is final.

        That is a failure, or a signed success of a status other than 200.

        Raises:
            StageError: The engine did not run the request, or a part of the
                stream was already sent; another attempt may be made.
        """
        if answer.reply.not_run:
            detail = f"status {answer.status}"
            inputs_lost = (
                answer.status in INPUTS_LOST_STATUSES and run.chain.steps
            )
            try:
                await answer.read_refusal()
            except StageError as exc:
                detail = exc.detail
            error_type = _InputsLostError if inputs_lost else StageError
            raise error_type(
                FailureKind.REFUSED, Verdict.NOT_RUN, upstream.name, detail
            )
        body = await read_answer(exchange, answer, attempt, self._state.clock)
        if exchange.started:
            raise StageError(
                FailureKind.STATUS,
                Verdict.MAY_HAVE_RUN,
                upstream.name,
                f"status {answer.status}",
            )
        attempt.sending = True
        exchange.outcome = f"status_{answer.status}"
        headers = self._protocol.reply_headers(answer.headers)
        # Not kept in a local variable, to which tracebacks refer.
        bodies = [body]
        del body
        await exchange.send_whole(answer.status, headers, bodies.pop())

    async def _forward_events(
        self,
        exchange: Exchange,
        watched: WatchedRequest,
        upstream: ListedUpstream,
        answer: Answer,
        attempt: Attempt,
        splitter: EventSplitter,
        at_engine: EngineAttempt,
    ) -> None:
        """Sends on complete events as they arrive, up to the end.

        Raises:
            StageError: The stream ended inside an event, or with its connection
                before the first one, or an event is too long.
        """
        clock = self._state.clock
        answer_recorded = False
        async for chunk in answer.chunks():
            now, count = clock(), splitter.count
            try:
                complete_events = splitter.feed(chunk)
            except EventTooLongError as exc:
                raise StageError(
                    FailureKind.MISMATCH,
                    Verdict.MAY_HAVE_RUN,
                    upstream.name,
                    str(exc),
                ) from exc
            if not complete_events:
                # Bytes of no event are no progress; they may have no end.
                continue
            attempt.record_progress(now)
            at_engine.record_events(splitter.count - count, now)
            if attempt.first_event_at < 0.0:
                attempt.first_event_at = now
                record_first_event(self._metrics, exchange, at_engine)
            elif (
                not answer_recorded and now - attempt.first_event_at >= BEGUN_S
            ):
                answer_recorded = True
                self._crash_watch.record_answer(watched.names)
            attempt.sending = True
            if not exchange.started:
                headers = self._protocol.reply_headers(answer.headers)
                await exchange.start(answer.status, headers)
            if exchange.first_event_at < 0:
                exchange.first_event_at = now
            await exchange.send_chunk(complete_events)
            attempt.record_progress(clock())
            at_engine.record_sent_on(clock())
            attempt.sending = False
        if splitter.partial:
            raise StageError(
                FailureKind.TRUNCATED,
                Verdict.MAY_HAVE_RUN,
                upstream.name,
                f'the stream ended inside the event after "{splitter.last_id}"',
            )
        if attempt.first_event_at < 0.0 and not answer.has_end_mark:
            # An engine that ends closes its connections in the same way.
            raise StageError(
                FailureKind.TRUNCATED,
                Verdict.MAY_HAVE_RUN,
                upstream.name,
                "the connection was closed before the first event",
            )
        if not answer_recorded:
            self._crash_watch.record_answer(watched.names)
        attempt.sending = True
        exchange.events = splitter.count
        exchange.outcome = "done"
        if not exchange.started:
            headers = self._protocol.reply_headers(answer.headers)
            await exchange.start(answer.status, headers)
        await exchange.finish()


def _make_refusal(
    refusal_reason: reason.Reason,
    attempts: int,
    detail: str,
    retry_after_s: float | None = None,
) -> RefusalError:
    """Returns the refusal of a request, given its attempts so far.

    Args:
        refusal_reason: Reason if no attempt may have run.
        attempts: Number of attempts that may have run.
        detail: What happened.
        retry_after_s: Retry-After if no attempt may have run.
    """
    if attempts:
        return RefusalError(
            reason.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN, detail
        )
    return RefusalError(
        refusal_reason,
        Verdict.NOT_RUN,
        detail,
        retry_after_s=retry_after_s or RETRY_AFTER_S,
    )


def _shared_parts(exchange: Exchange) -> list[str]:
    """Returns the parts of a prompt that other requests may share, in order.

    The last part belongs to the request or its session alone.
    """
    return [part.name for part in exchange.req.prompt_parts[:-1]]


def _prefix_name(exchange: Exchange) -> str:
    """Returns the name of the prompt prefix that a request shares with others.

    The last part of a prompt is left out, since it belongs to the request or
    its session alone.
    """
    parts = exchange.req.prompt_parts
    if not parts:
        return exchange.req.request_id
    shared = parts[:-1] or parts
    return "/".join(part.name for part in shared)
