"""Progress of a running request: its verdicts, costs and attempts."""

from applespring.core.fleet import Pool, Stage
from applespring.core.request import StageCost
from applespring.core.verdict import Verdict, combine


class Progress:
    """Verdicts, costs and attempts of one request, readable while it runs.

    Attributes:
        run_id: Id sent with the stage calls. It is unique even if callers
            choose equal request ids, so that a result can't match the call of
            another request.
        stages: Highest verdict of each attempted stage, by name.
        costs: Costs of the attempts that were written, in order.
        attempts: Number of attempts started.
        added_attempts: Number of retries of attempts that had been written.
    """

    __slots__ = (
        "run_id",
        "stages",
        "costs",
        "attempts",
        "added_attempts",
        "_ended_verdict",
        "_unfinished_writes",
    )

    def __init__(self, run_id: str) -> None:
        self.run_id = run_id
        self.stages: dict[str, Verdict] = {}
        self.costs: list[StageCost] = []
        self.attempts = 0
        self.added_attempts = 0
        self._ended_verdict = Verdict.NOT_RUN
        self._unfinished_writes = 0

    @property
    def verdict(self) -> Verdict:
        """Highest verdict so far of the pools with an effect.

        It is at least MAY_HAVE_RUN while a written call has not ended.
        """
        if self._unfinished_writes:
            return combine((self._ended_verdict, Verdict.MAY_HAVE_RUN))
        return self._ended_verdict

    def start_write(self, pool: Pool) -> None:
        """Records that a call to a pool is about to be written."""
        self._unfinished_writes += pool.effect

    def end_attempt(
        self, stage: Stage, pool: Pool, verdict: Verdict, *, written: bool
    ) -> None:
        """Records the verdict of an attempt that has ended.

        Only pools with an effect change the verdict of the request.
        """
        previous = self.stages.get(stage.name, Verdict.NOT_RUN)
        self.stages[stage.name] = combine((previous, verdict))
        if pool.effect:
            self._unfinished_writes -= written
            self._ended_verdict = combine((self._ended_verdict, verdict))
