"""The policies of the benchmark: the default one and the baselines."""

from typing import Any

from applespring.core.balance import find_policy
from applespring.core.deadline import StageTime
from applespring.core.errors import FailureKind, StageError
from applespring.core.fleet import Pool, Stage
from applespring.core.request import Request
from applespring.core.rule import Decision
from applespring.core.verdict import Verdict
from applespring.entry.compose import Instance
from applespring.entry.execution.runner import PipelineRunner
from applespring.entry.execution.stage import (
    RETRYABLE_KINDS,
    StageRunner,
    StageWork,
)

RETRIES_MAX = 2


class BenchInstance(Instance):
    """An instance with counts of stage calls and added attempts."""

    @property
    def calls(self) -> int:
        """First attempts of stage calls."""
        return self.retry_budget.calls

    @property
    def added_attempts(self) -> int:
        """Attempts beyond the first that were granted to stage calls."""
        return self.retry_budget.granted


class StallTolerantStageRunner(StageRunner):
    """Does not cancel stalled streams; only the timeout ends them."""

    async def _cancel_when_stalled(self, *args: Any) -> None:
        del args


class FixedRetryStageRunner(StallTolerantStageRunner):
    """Retries each stage up to twice, whatever the budget and the deadline."""

    def _may_retry(
        self, work: StageWork, exc: StageError, reroutes: int
    ) -> bool:
        del reroutes
        if work.attempt > RETRIES_MAX:
            return False
        if exc.kind not in RETRYABLE_KINDS | {FailureKind.CONNECT}:
            return False
        if not work.pool.idempotent and exc.verdict is not Verdict.NOT_RUN:
            return False
        if not self._prepare_stream(work):
            return False
        self._budget.granted += exc.kind is not FailureKind.CONNECT
        return True


class AdmitAllPipelineRunner(PipelineRunner):
    """Admits every request whose deadline has not passed."""

    def _estimate(
        self,
        stages: list[Stage],
        pools: list[Pool],
        req: Request,
        decision: Decision,
        weight: float,
    ) -> list[StageTime]:
        del pools, req, decision, weight
        return [StageTime(stage.name, 0.0, 0.0, 0.0) for stage in stages]


class RoundRobinInstance(BenchInstance):
    """Baseline A: round robin, fixed timeouts, two retries."""

    stage_class = FixedRetryStageRunner
    runner_class = AdmitAllPipelineRunner


class LeastRequestsInstance(BenchInstance):
    """Baseline B: least requests, no admission control."""

    stage_class = StallTolerantStageRunner
    runner_class = AdmitAllPipelineRunner


class BenchPolicy:
    """A policy to measure.

    Attributes:
        name: Name on the command line and in the table.
        selection: Load-balancing policy, a name in `core.balance`.
        create_instance: Class of the entry instances.
    """

    __slots__ = ("name", "selection", "create_instance")

    def __init__(
        self, name: str, selection: str, create_instance: type[BenchInstance]
    ) -> None:
        find_policy(selection)
        self.name = name
        self.selection = selection
        self.create_instance = create_instance


POLICIES = {
    policy.name: policy
    for policy in (
        BenchPolicy("ours", "two_choices", BenchInstance),
        BenchPolicy("round-robin", "round_robin", RoundRobinInstance),
        BenchPolicy("least-requests", "least_requests", LeastRequestsInstance),
    )
}
