"""Cost by stage, added attempts and reason codes."""

from collections.abc import Sequence

from applespring.core.reason import find_reason
from applespring.report.series import History, sum_by

COST = "applespring_stage_cost_total"
WASTED = "applespring_stage_cost_wasted_total"
CALLS = "applespring_stage_calls_total"
ADDED = "applespring_stage_added_attempts_total"
ATTEMPTS = "applespring_stage_attempts_total"
REFUSALS = "applespring_refusals_total"


class StageCost:
    """Cost of a stage over all scrapes.

    Attributes:
        pipeline: Name of the pipeline.
        stage: Name of the stage.
        cost: Cost units spent.
        wasted: Cost units spent on requests that were not answered completely
            and in time.
    """

    __slots__ = ("pipeline", "stage", "cost", "wasted")

    def __init__(
        self, pipeline: str, stage: str, cost: float, wasted: float
    ) -> None:
        self.pipeline = pipeline
        self.stage = stage
        self.cost = cost
        self.wasted = wasted

    @property
    def wasted_share(self) -> float | None:
        """Fraction of the cost that was wasted; None without cost."""
        return self.wasted / self.cost if self.cost else None


class PoolAttempts:
    """The attempts of a pool over all scrapes.

    Attributes:
        pool: Name of the pool.
        calls: Stage calls started.
        added: Retries and hedges. Reroutes are left out, since nothing had
            been sent to the previous upstream.
        failed: Attempts that failed, without cancelled ones.
    """

    __slots__ = ("pool", "calls", "added", "failed")

    def __init__(
        self, pool: str, calls: float, added: float, failed: float
    ) -> None:
        self.pool = pool
        self.calls = calls
        self.added = added
        self.failed = failed

    @property
    def added_share(self) -> float | None:
        """Added attempts as a fraction of calls; None without calls."""
        return self.added / self.calls if self.calls else None


class ReasonCount:
    """Number of refusals with one reason.

    Attributes:
        code: Reason code.
        count: Refusals over all scrapes.
        meaning: Description of the code.
        excluded: Whether such refusals do not count for the service level.
    """

    __slots__ = ("code", "count", "meaning", "excluded")

    def __init__(self, code: str, count: float) -> None:
        self.code = code
        self.count = count
        try:
            reason = find_reason(code)
        except KeyError:
            self.meaning = "This version of the report does not know the code."
            self.excluded = False
        else:
            self.meaning = reason.title
            self.excluded = reason.is_caller_error


def measure_costs(history: History) -> list[StageCost]:
    """Returns the cost by pipeline and stage, largest first."""
    spent = sum_by(history.increase(COST), "pipeline", "stage")
    wasted = sum_by(history.increase(WASTED), "pipeline", "stage")
    costs = [
        StageCost(*names, cost, wasted.get(names, 0.0))
        for names, cost in spent.items()
    ]
    return sorted(costs, key=lambda c: (-c.cost, c.pipeline, c.stage))


def measure_pools(history: History) -> list[PoolAttempts]:
    """Returns the attempts by pool, sorted by name."""
    calls = sum_by(history.increase(CALLS), "pool")
    added = sum_by(history.increase(ADDED), "pool", "cause")
    attempts = sum_by(history.increase(ATTEMPTS), "pool", "outcome")
    return [
        PoolAttempts(
            pool,
            count,
            _sum_except(added, pool, ("reroute",)),
            _sum_except(attempts, pool, ("ok", "cancelled")),
        )
        for (pool,), count in sorted(calls.items())
    ]


def rank_reasons(history: History, count_max: int) -> list[ReasonCount]:
    """Returns at most `count_max` reasons, most frequent first."""
    counts = sum_by(history.increase(REFUSALS), "reason")
    ranked = sorted(counts.items(), key=lambda item: (-item[1], item[0]))
    return [ReasonCount(*code, n) for code, n in ranked[:count_max] if n]


def _sum_except(
    counts: dict[tuple[str, ...], float], pool: str, excluded: Sequence[str]
) -> float:
    return sum(
        count
        for (name, kind), count in counts.items()
        if name == pool and kind not in excluded
    )
