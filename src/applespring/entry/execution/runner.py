"""Execution of a pipeline within the deadline of its request."""

import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import anyio

from applespring.core.deadline import (
    StageTime,
    check_admission,
    expected_remaining_s,
)
from applespring.core.errors import RefusalError
from applespring.core.fleet import Fleet, Pipeline, Pool, Stage
from applespring.core.gate import Ticket
from applespring.core.reason import (
    DEADLINE_EXCEEDED,
    NOT_READY,
    REFUSED_BY_RULE,
    UNKNOWN_ACCOUNT,
    UNKNOWN_PIPELINE,
)
from applespring.core.request import Answer, Request
from applespring.core.rule import Decision, Facts, decide
from applespring.core.verdict import Verdict
from applespring.entry.execution.calls import Emit, Guard
from applespring.entry.execution.gates import Clock, Gates
from applespring.entry.execution.progress import Progress
from applespring.entry.execution.stage import StageRunner, StageWork
from applespring.entry.execution.watched_run import (
    RunExchange,
    fingerprint_of_run,
)
from applespring.entry.monitoring.metrics import Metrics
from applespring.quarantine.crash_watch import CrashWatch, WatchedRequest

SECONDS_PER_HOUR = 3600
HOURS_PER_DAY = 24
RUN_ID_BITS = 48


def allow_dispatch() -> None:
    """Guard of requests without an idempotency key; never refuses."""


class PipelineRunner:
    """Applies the rules to a request and runs its stages in order."""

    __slots__ = (
        "_fleet",
        "_gates",
        "_stages",
        "_crash_watch",
        "_metrics",
        "_weight",
        "_wait_for_evidence",
        "_clock",
        "_wall_clock",
        "_failure_domain",
        "_rng",
    )

    def __init__(
        self,
        fleet: Callable[[], Fleet | None],
        gates: Gates,
        stages: StageRunner,
        crash_watch: CrashWatch,
        metrics: Metrics,
        weight: Callable[[str, float], float],
        wait_for_evidence: Callable[[], Awaitable[None]],
        clock: Clock,
        wall_clock: Clock,
        failure_domain: str,
        rng: random.Random,
    ) -> None:
        """Initializes the runner.

        Args:
            fleet: Returns the configuration in force, or None.
            gates: The gates of all pools.
            stages: Runs single stages.
            crash_watch: Refuses requests that crash upstreams.
            metrics: Counts the costs of the stages.
            weight: Returns the weight of a client account in this instance,
                given its name and its weight in the document.
            wait_for_evidence: Waits, after a pause of the process, for a new
                read of the instance list.
            clock: Seconds on the monotonic clock.
            wall_clock: Seconds since the epoch, for conditions on the hour.
            failure_domain: The failure domain of this instance.
            rng: Source of the random part of run ids.
        """
        self._fleet = fleet
        self._gates = gates
        self._stages = stages
        self._crash_watch = crash_watch
        self._metrics = metrics
        self._weight = weight
        self._wait_for_evidence = wait_for_evidence
        self._clock = clock
        self._wall_clock = wall_clock
        self._failure_domain = failure_domain
        self._rng = rng

    def create_progress(self, req: Request) -> Progress:
        """Returns the progress of a request, for `run`, with a new run id."""
        suffix = self._rng.getrandbits(RUN_ID_BITS)
        return Progress(f"{req.request_id}~{suffix:012x}")

    async def run(
        self,
        req: Request,
        progress: Progress,
        *,
        guard: Guard = allow_dispatch,
        emit: Emit | None = None,
    ) -> Answer:
        """Runs a request and returns its complete answer.

        Args:
            req: The request.
            progress: From `create_progress`; updated during the run.
            guard: Called directly before a non-idempotent call is written.
            emit: Awaited with the tokens of the last stage, or None.

        Raises:
            RefusalError: The request was refused, failed or exceeded its
                deadline.
        """
        in_time = False
        try:
            answer = await self._run(req, guard, emit, progress)
            in_time = self._clock() <= req.deadline_at
        except RefusalError as exc:
            exc.stages = dict(progress.stages)
            raise
        finally:
            # The costs of a cancelled run count as well.
            self._metrics.count_costs(
                req.pipeline, progress.costs, wasted=not in_time
            )
        return answer

    async def _run(
        self,
        req: Request,
        guard: Guard,
        emit: Emit | None,
        progress: Progress,
    ) -> Answer:
        fingerprint = fingerprint_of_run(req)
        exchange = RunExchange(req, progress)
        async with self._crash_watch.admit(
            exchange, (), fingerprint
        ) as watched:
            return await self._run_stages(
                req, guard, _mark_started(emit, exchange), progress, watched
            )

    async def _run_stages(
        self,
        req: Request,
        guard: Guard,
        emit: Emit | None,
        progress: Progress,
        watched: WatchedRequest,
    ) -> Answer:
        fleet, pipeline = self._find_pipeline(req)
        decision = decide(fleet, self.gather_facts(req, pipeline))
        if decision.refuse is not None:
            raise RefusalError(
                REFUSED_BY_RULE, Verdict.NOT_RUN, decision.refuse
            )
        pools = choose_pools(fleet, pipeline, decision)
        await self._wait_for_evidence()
        account = fleet.accounts[req.account]
        weight = self._weight(account.name, account.weight)

        def estimate(first: int) -> list[StageTime]:
            return self._estimate(
                pipeline.stages[first:], pools[first:], req, decision, weight
            )

        check_admission(
            estimate(0),
            req.deadline_at,
            self._clock(),
            request=req.request_id,
        )
        value = req.payload
        for position, stage in enumerate(pipeline.stages):
            is_last = position == len(pipeline.stages) - 1
            work = StageWork(
                req,
                decision,
                stage,
                pools[position],
                value,
                remaining_stages_s=expected_remaining_s(estimate(position + 1)),
                weight=weight,
                guard=guard,
                progress=progress,
                emit=emit if is_last else None,
                position=position,
                watched=watched,
            )
            value = await self._run_stage(work)
        return Answer(req.request_id, req.pipeline, value, progress.costs)

    async def _run_stage(self, work: StageWork) -> Any:
        """Runs one stage and cancels it at the deadline of the request.

        Raises:
            RefusalError: The stage failed or exceeded the deadline.
        """
        remaining_s = work.req.deadline_at - self._clock()
        with anyio.move_on_after(max(0.0, remaining_s)):
            return await self._stages.run(work)
        raise RefusalError(
            DEADLINE_EXCEEDED,
            work.progress.verdict,
            stage=work.stage.name,
            retry_after_s=1.0,
        )

    def gather_facts(self, req: Request, pipeline: Pipeline) -> Facts:
        """Returns the values that the conditions of rules can test."""
        now = self._clock()
        hour = int(self._wall_clock() // SECONDS_PER_HOUR % HOURS_PER_DAY)
        busy = {
            stage.pool: self._gates.gate(stage.pool).busy(now)
            for stage in pipeline.stages
        }
        return Facts(
            pipeline=req.pipeline,
            account=req.account,
            failure_domain=self._failure_domain,
            deadline_s=req.deadline_at - req.arrived_at,
            stream=req.stream,
            hour_utc=hour,
            label=req.label,
            pool_busy=busy,
        )

    def _find_pipeline(self, req: Request) -> tuple[Fleet, Pipeline]:
        fleet = self._fleet()
        if fleet is None:
            raise RefusalError(NOT_READY, Verdict.NOT_RUN, retry_after_s=1.0)
        if req.account not in fleet.accounts:
            raise RefusalError(UNKNOWN_ACCOUNT, Verdict.NOT_RUN)
        pipeline = fleet.pipelines.get(req.pipeline)
        if pipeline is None:
            raise RefusalError(UNKNOWN_PIPELINE, Verdict.NOT_RUN)
        return fleet, pipeline

    def _estimate(
        self,
        stages: Sequence[Stage],
        pools: Sequence[Pool],
        req: Request,
        decision: Decision,
        weight: float,
    ) -> list[StageTime]:
        """Returns the expected time of each stage.

        The queue waits are those of the account and priority of the request.
        With the length of the whole queue instead, the excess load of one
        account would cause the requests of all others to be refused.
        """
        now = self._clock()
        times = []
        for stage, pool in zip(stages, pools, strict=True):
            ticket = Ticket(
                req.request_id,
                stage.name,
                req.account,
                weight=weight,
                deadline_at=req.deadline_at,
                priority=decision.priority,
            )
            gate = self._gates.gate(pool.name)
            times.append(gate.stage_time(stage.name, now, ticket))
        return times


def _mark_started(emit: Emit | None, exchange: RunExchange) -> Emit | None:
    """Returns an `emit` that records that the answer has started."""
    if emit is None:
        return None

    async def emit_and_mark(texts: Sequence[str]) -> None:
        exchange.started = True
        await emit(texts)

    return emit_and_mark


def choose_pools(
    fleet: Fleet, pipeline: Pipeline, decision: Decision
) -> list[Pool]:
    """Returns the pool of each stage, after the decision of the rules."""
    return [
        fleet.pools[decision.pools.get(stage.name, stage.pool)]
        for stage in pipeline.stages
    ]
