"""Execution of one stage: attempts, retries and resumption of streams."""

from collections.abc import Awaitable, Callable, Collection
from typing import Any

import anyio

from applespring.core.crash_ledger import BrokenRequest
from applespring.core.errors import FailureKind, RefusalError, StageError
from applespring.core.fleet import Pool, Stage, StageKind
from applespring.core.gate import Grant, Ticket
from applespring.core.integrity import CallId, TokenStream
from applespring.core.membership import DispatchCheck
from applespring.core.reason import (
    BAD_RESULT,
    DEADLINE_EXCEEDED,
    NO_UPSTREAM,
    UPSTREAM_FAILED,
    Reason,
)
from applespring.core.request import Request, StageCost
from applespring.core.retry import RetryBudget
from applespring.core.rule import Decision
from applespring.core.verdict import Verdict, combine
from applespring.entry.execution.calls import Call, Emit, Guard, UpstreamClient
from applespring.entry.execution.gates import Clock, Gates
from applespring.entry.execution.permits import CallPermits
from applespring.entry.execution.progress import Progress
from applespring.entry.execution.stall import StallDetector, StreamTiming
from applespring.entry.execution.watched_run import (
    StartedUpstream,
    stage_candidates,
)
from applespring.entry.monitoring.metrics import Metrics
from applespring.quarantine.crash_watch import (
    CrashWatch,
    WatchedRequest,
    is_broken_off,
)

# An engine that has gone on with an answer for this long will not crash on its
# prompt.
BEGUN_S = 0.25
REROUTES_MAX = 3
"""Bound on reroutes, the attempts that follow one that wrote no byte."""

RETRYABLE_KINDS = frozenset(
    (
        FailureKind.REFUSED,
        FailureKind.RESET,
        FailureKind.TIMEOUT,
        FailureKind.STATUS,
        FailureKind.MISMATCH,
        FailureKind.TRUNCATED,
    )
)

UNWRITTEN_KINDS = frozenset((FailureKind.CONNECT, FailureKind.WITHDRAWN))

_WITHDRAWAL_DETAILS = {
    DispatchCheck.LEAVING: "the upstream is leaving",
    DispatchCheck.PAUSED: "the upstream has asked for a pause",
    DispatchCheck.STALE: "no recent evidence that the upstream serves",
    DispatchCheck.UNKNOWN: "the upstream is not in the configuration in force",
}

NO_PERMIT_DETAIL = "the rate limit of the upstream leaves no permit"

CheckDispatch = Callable[[str], DispatchCheck]
WaitForEvidence = Callable[[], Awaitable[None]]


class StageWork:
    """One stage of one request and the state of its attempts.

    Attributes:
        req: The request.
        decision: Decision of the rules on the request.
        stage: The stage.
        pool: The pool that executes the stage.
        payload: Input of the stage, a JSON value.
        remaining_stages_s: Expected duration of the stages after this one.
        weight: Weight of the client account in the queue.
        guard: Called before the first byte of a non-idempotent call.
        progress: Records costs and verdicts.
        emit: Awaited with tokens as they arrive, or None.
        tokens: The tokens of a generation, over all attempts that resume it.
        attempt: Number of the current attempt, from 1.
        retry_granted: Whether the next attempt is already allowed and counted
            in the retry budget.
        position: Position of the stage in its pipeline.
        watched: The request, for the crash watch.
        first_token_at: When the current attempt sent its first token, or -1.
        stalled_upstream: The upstream from which the stream was taken because
            it stalled, until a later attempt fails other than by a refusal; ""
            otherwise.
        refusals: Refused attempts since then.
        lacks_permit: Whether the current attempt was not sent, since the rate
            limit of its upstream left no permit.
    """

    __slots__ = (
        "req",
        "decision",
        "stage",
        "pool",
        "payload",
        "remaining_stages_s",
        "weight",
        "guard",
        "progress",
        "emit",
        "tokens",
        "attempt",
        "retry_granted",
        "position",
        "watched",
        "first_token_at",
        "stalled_upstream",
        "refusals",
        "lacks_permit",
    )

    def __init__(
        self,
        req: Request,
        decision: Decision,
        stage: Stage,
        pool: Pool,
        payload: Any,
        *,
        remaining_stages_s: float,
        weight: float,
        guard: Guard,
        progress: Progress,
        emit: Emit | None,
        position: int,
        watched: WatchedRequest,
    ) -> None:
        self.req = req
        self.decision = decision
        self.stage = stage
        self.pool = pool
        self.payload = payload
        self.remaining_stages_s = remaining_stages_s
        self.weight = weight
        self.guard = guard
        self.progress = progress
        self.emit = emit
        self.tokens = TokenStream()
        self.attempt = 0
        self.retry_granted = False
        self.position = position
        self.watched = watched
        self.lacks_permit = False
        self.first_token_at = -1.0
        self.stalled_upstream = ""
        self.refusals = 0

    @property
    def emitted(self) -> bool:
        """Whether tokens may have been sent to the caller."""
        return self.emit is not None and self.tokens.next_index > 0


class StageRunner:
    """Runs stages against the upstreams of their pool."""

    __slots__ = (
        "_gates",
        "_client",
        "_budget",
        "_clock",
        "_check_dispatch",
        "_wait_for_evidence",
        "_crash_watch",
        "_permits",
        "_metrics",
        "_timings",
    )

    def __init__(
        self,
        gates: Gates,
        client: UpstreamClient,
        budget: RetryBudget,
        clock: Clock,
        check_dispatch: CheckDispatch,
        wait_for_evidence: WaitForEvidence,
        crash_watch: CrashWatch,
        permits: CallPermits,
        metrics: Metrics,
    ) -> None:
        """Initializes the runner.

        Args:
            gates: Decide when an attempt starts and at which upstream.
            client: Calls upstreams.
            budget: Limits the retries of the instance.
            clock: Seconds on the monotonic clock.
            check_dispatch: Returns whether an upstream may receive new work
                now.
            wait_for_evidence: Waits, after a pause of the process, for a new
                read of the instance list.
            crash_watch: Records which upstreams ended under which requests.
            permits: Permits for upstreams with a rate limit.
            metrics: Counts calls and attempts.
        """
        self._gates = gates
        self._client = client
        self._budget = budget
        self._clock = clock
        self._check_dispatch = check_dispatch
        self._wait_for_evidence = wait_for_evidence
        self._crash_watch = crash_watch
        self._permits = permits
        self._metrics = metrics
        # By pool name.
        self._timings: dict[str, StreamTiming] = {}

    async def run(self, work: StageWork) -> Any:
        """Runs the stage, with retries, and returns its output.

        Raises:
            RefusalError: No attempt was granted, or the last one failed.
        """
        failed: set[str] = set()
        reroutes = 0
        self._budget.on_call()
        self._metrics.stage_calls.inc(work.pool.name)
        while True:
            grant = await self._acquire(work, failed)
            try:
                return await self._run_attempt(work, grant)
            except StageError as exc:
                unwritten = exc.kind in UNWRITTEN_KINDS
                # Each upstream without a permit is closed, so that these end.
                reroutes += unwritten and not work.lacks_permit
                if not self._may_retry(work, exc, reroutes):
                    raise _make_refusal(work, exc) from exc
                failed.add(exc.upstream)
                if exc.kind is FailureKind.REFUSED:
                    # It may only have been silent for a moment.
                    failed.discard(work.stalled_upstream)
                await self._wait_for_evidence()
                work.progress.added_attempts += not unwritten
                cause = "reroute" if unwritten else "retry"
                self._metrics.added_attempts.inc(work.pool.name, cause)

    async def _acquire(self, work: StageWork, failed: Collection[str]) -> Grant:
        """Waits for a grant of an upstream.

        Excludes the upstreams that failed, unless all of the pool have.
        """
        if len(failed) >= len(work.pool.upstreams):
            failed = ()
        req = work.req
        ticket = Ticket(
            req.request_id,
            work.stage.name,
            req.account,
            weight=work.weight,
            deadline_at=req.deadline_at,
            priority=work.decision.priority,
            remaining_stages_s=work.remaining_stages_s,
            exclude=frozenset(failed),
            spill=work.decision.spill,
            may_queue=work.decision.queue,
        )
        try:
            return await self._gates.acquire(work.pool.name, ticket)
        except RefusalError as exc:
            exc.verdict = combine((exc.verdict, work.progress.verdict))
            exc.submission_verdict = exc.verdict
            exc.stage = work.stage.name
            raise

    async def _run_attempt(self, work: StageWork, grant: Grant) -> Any:
        """Runs one attempt and returns its grant exactly once.

        A cancelled attempt counts as CANCELLED, and as MAY_HAVE_RUN if it was
        written.
        """
        work.attempt += 1
        work.progress.attempts += 1
        started_at = self._clock()
        first_token = work.tokens.next_index
        call = self._create_call(work, grant)
        kind: FailureKind | None = FailureKind.CANCELLED
        verdict = Verdict.MAY_HAVE_RUN
        turned_away = False
        candidates = stage_candidates(work.watched.fingerprint, work.position)
        evidence = self._crash_watch.describe(
            candidates, breaks=work.watched.breaks
        )
        work.first_token_at = -1.0
        work.lacks_permit = False
        try:
            await self._acquire_permit(work, call)
            output = await self._run_call(work, call)
            kind, verdict = None, Verdict.RAN
            self._crash_watch.record_answer([name for name, _ in candidates])
            return output
        except StageError as exc:
            kind, verdict = exc.kind, exc.verdict
            turned_away = exc.retry_after_s is not None
            if is_broken_off(exc):
                self._record_break(work, call, evidence)
            raise
        finally:
            written = call.write_probe.written
            if not written:
                verdict = Verdict.NOT_RUN
            work.progress.end_attempt(
                work.stage, work.pool, verdict, written=written
            )
            if written:
                work.progress.costs.append(
                    _attempt_cost(work, call, first_token)
                )
            outcome = "ok" if kind is None else kind.value
            self._metrics.attempts.inc(work.pool.name, outcome)
            elapsed_s = self._clock() - started_at
            # An upstream that asks for a pause has not failed.
            counted = FailureKind.WITHDRAWN if turned_away else kind
            self._gates.finish(work.pool.name, grant, counted, elapsed_s)

    async def _acquire_permit(self, work: StageWork, call: Call) -> None:
        """Obtains a permit for a call if its upstream has a rate limit.

        Raises:
            StageError: None is left now.
        """
        call.permit = await self._permits.acquire(call.upstream.name)
        if call.permit is None:
            work.lacks_permit = True
            raise call.make_error(FailureKind.WITHDRAWN, NO_PERMIT_DETAIL)

    def _record_break(
        self, work: StageWork, call: Call, evidence: BrokenRequest
    ) -> None:
        """Records that an upstream broke off a call."""
        now = self._clock()
        begun = 0.0 <= work.first_token_at <= now - BEGUN_S
        work.watched.breaks += 1
        self._crash_watch.record_break(
            StartedUpstream(call.upstream, now), [] if begun else [evidence]
        )

    def _create_call(self, work: StageWork, grant: Grant) -> Call:
        pool, upstream = work.pool, grant.upstream
        now = self._clock()

        def guard() -> None:
            if self._clock() >= work.req.deadline_at:
                raise call.make_error(
                    FailureKind.TIMEOUT,
                    "the deadline passed before the call was written",
                )
            check = self._check_dispatch(upstream.name)
            if check is not DispatchCheck.OK:
                raise call.make_error(
                    FailureKind.WITHDRAWN, _WITHDRAWAL_DETAILS[check]
                )
            if not self._permits.is_valid(upstream.name, call.permit):
                work.lacks_permit = True
                raise call.make_error(FailureKind.WITHDRAWN, NO_PERMIT_DETAIL)
            if not pool.idempotent:
                work.guard()
            work.progress.start_write(pool)

        call = Call(
            CallId(work.progress.run_id, work.stage.name, work.attempt),
            pool,
            upstream,
            work.payload,
            key=work.req.key,
            priority=work.decision.priority,
            max_tokens=work.decision.max_tokens or pool.max_tokens,
            started_at=now,
            timeout_s=min(pool.timeout_s, work.req.deadline_at - now),
            guard=guard,
        )
        return call

    async def _run_call(self, work: StageWork, call: Call) -> Any:
        """Runs the call within its timeout.

        Raises:
            StageError: The call failed or exceeded its timeout.
        """
        with anyio.move_on_after(max(0.0, call.timeout_s)) as scope:
            if work.pool.kind is not StageKind.GENERATE:
                return await self._client.call_service(call)
            await self._generate(work, call)
            return work.tokens.output()
        assert scope.cancelled_caught
        raise call.make_error(
            FailureKind.TIMEOUT, f"no result within {call.timeout_s:.3f} s"
        )

    async def _generate(self, work: StageWork, call: Call) -> None:
        """Streams a generation.

        A stalled stream fails, so that it is retried at another upstream.
        """
        detector = StallDetector(self._find_timing(work.pool), self._clock)
        emit = _make_emit(work, detector, self._clock)
        error: Exception | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                self._cancel_when_stalled,
                work,
                call,
                detector,
                tasks.cancel_scope,
            )
            # Caught here, since a task group would raise it in an
            # ExceptionGroup.
            try:
                await self._client.generate(call, work.tokens, emit)
            except Exception as exc:  # noqa: BLE001
                error = exc
            tasks.cancel_scope.cancel()
        if error is not None:
            raise error
        if work.retry_granted:
            raise call.make_error(
                FailureKind.TIMEOUT,
                "the stream stalled: no token within the stall limit",
            )
        detector.record_timing()

    async def _cancel_when_stalled(
        self,
        work: StageWork,
        call: Call,
        detector: StallDetector,
        scope: anyio.CancelScope,
    ) -> None:
        """Cancels the stream when it stalls, if a retry is allowed."""
        await detector.wait_for_stall()
        exc = call.make_error(
            FailureKind.TIMEOUT,
            "the stream stalled: no token within the stall limit",
        )
        if self._may_retry(work, exc, 0):
            work.retry_granted = True
            work.stalled_upstream = call.upstream.name
            work.refusals = 0
            scope.cancel()

    def _find_timing(self, pool: Pool) -> StreamTiming:
        timing = self._timings.get(pool.name)
        if timing is None:
            timing = self._timings[pool.name] = StreamTiming(pool)
        return timing

    def _may_retry(
        self, work: StageWork, exc: StageError, reroutes: int
    ) -> bool:
        """Returns whether another attempt is allowed.

        A retry takes a token of the retry budget; a reroute does not.
        """
        if work.watched.is_trial:
            return False
        if work.retry_granted:
            work.retry_granted = False
            return True
        now = self._clock()
        gate = self._gates.gate(work.pool.name)
        needed_s = gate.expected_s(now) + work.remaining_stages_s
        if now + needed_s > work.req.deadline_at:
            return False
        if exc.kind in UNWRITTEN_KINDS:
            return reroutes <= REROUTES_MAX
        if exc.kind not in RETRYABLE_KINDS or not work.decision.retry:
            return False
        if not work.pool.idempotent and exc.verdict is not Verdict.NOT_RUN:
            return False
        if not self._prepare_stream(work):
            return False
        if exc.kind is FailureKind.REFUSED and work.stalled_upstream:
            # The token that took the stream from its upstream is not used yet.
            # Without another one the stream would end, though it might have
            # gone on there.
            work.refusals += 1
            return work.refusals <= REROUTES_MAX
        work.stalled_upstream = ""
        return self._budget.try_retry()

    def _prepare_stream(self, work: StageWork) -> bool:
        """Prepares a failed stream for a retry; returns whether it can be.

        A pool that can't resume streams restarts at the first token. This is
        possible only if no token has been sent to the caller.
        """
        if work.pool.resumes or work.tokens.next_index == 0:
            return True
        if work.emitted:
            return False
        work.tokens = TokenStream()
        return True


def _make_emit(work: StageWork, detector: StallDetector, clock: Clock) -> Emit:
    async def emit(texts: list[str]) -> None:
        if work.first_token_at < 0.0:
            work.first_token_at = clock()
        detector.record_tokens(len(texts))
        if work.emit is not None:
            await work.emit(texts)

    return emit


def _attempt_cost(work: StageWork, call: Call, first_token: int) -> StageCost:
    """Returns the cost of an attempt: per call, or per token generated."""
    cost = work.pool.cost
    if work.pool.kind is StageKind.GENERATE:
        cost *= work.tokens.next_index - first_token
    return StageCost(
        work.stage.name, work.pool.name, cost, call.call_id.attempt
    )


def _make_refusal(work: StageWork, exc: StageError) -> RefusalError:
    """Returns the refusal of a request whose last attempt failed."""
    reason: Reason = UPSTREAM_FAILED
    if exc.kind in (FailureKind.MISMATCH, FailureKind.TRUNCATED):
        reason = BAD_RESULT
    elif exc.kind is FailureKind.TIMEOUT:
        reason = DEADLINE_EXCEEDED
    elif exc.kind in UNWRITTEN_KINDS:
        reason = NO_UPSTREAM
    return RefusalError(
        reason,
        work.progress.verdict,
        exc.detail,
        stage=work.stage.name,
        retry_after_s=exc.retry_after_s or 1.0,
    )
