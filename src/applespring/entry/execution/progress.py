"""What is known so far about a request that runs."""

from applespring.core.fleet import Pool, Stage
from applespring.core.request import StageCost
from applespring.core.verdict import Verdict, combine


class Progress:
    """What is known so far about one request while it runs.

    Attributes:
        run_id: Id that the stage calls carry. It is unique even where callers
            choose equal request ids, so that no result can match the call of
            another request.
        stages: Highest verdict of each stage that was attempted, by name.
        costs: What was spent, in order.
        attempts: Attempts of stage calls that were started.
        added_attempts: Attempts beyond the first of their stage.
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
        """Highest verdict of the stages with an effect, as known now.

        A call that is written and not yet settled may be running.
        """
        if self._unfinished_writes:
            return combine((self._ended_verdict, Verdict.MAY_HAVE_RUN))
        return self._ended_verdict

    def start_write(self, pool: Pool) -> None:
        """Notes that a call is about to be written."""
        self._unfinished_writes += pool.effect

    def end_attempt(
        self, stage: Stage, pool: Pool, verdict: Verdict, *, written: bool
    ) -> None:
        """Adds the verdict of one attempt that has ended.

        The verdict of the request counts only pools with an effect.
        """
        known = self.stages.get(stage.name, Verdict.NOT_RUN)
        self.stages[stage.name] = combine((known, verdict))
        if pool.effect:
            self._unfinished_writes -= written
            self._ended_verdict = combine((self._ended_verdict, verdict))
