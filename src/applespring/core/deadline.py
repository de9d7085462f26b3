"""Expected time of a chain of stages and the admission check."""

import math
from collections.abc import Sequence

from applespring.core.errors import RefusalError
from applespring.core.reason import DEADLINE_UNREACHABLE, NO_UPSTREAM
from applespring.core.verdict import Verdict

# Under a standing queue every call would start at its last moment if it were
# admitted with exactly its expected wait.
WAIT_MARGIN = 1.2
# The instance list and load reports bring a usable upstream about this often.
NO_UPSTREAM_RETRY_S = 1.0


class StageTime:
    """Expected time of one stage of a pipeline.

    Attributes:
        stage: Name of the stage.
        wait_s: Expected seconds in the queue; infinite without upstream.
        service_s: Expected seconds of the call.
        high_s: A high quantile of the seconds of the call.
    """

    __slots__ = ("stage", "wait_s", "service_s", "service_high_s")

    def __init__(
        self, stage: str, wait_s: float, service_s: float, high_s: float
    ) -> None:
        self.stage = stage
        self.wait_s = wait_s
        self.service_s = service_s
        self.service_high_s = high_s


def expected_remaining_s(stages: Sequence[StageTime]) -> float:
    """Returns the expected seconds of these stages, waits included."""
    return sum(stage.wait_s + stage.service_s for stage in stages)


def headroom_s(stages: Sequence[StageTime]) -> float:
    """Returns the seconds to keep free for the variance of service times.

    Stage times vary independently, so the deviations add as squares.
    """
    return math.sqrt(
        sum(
            max(0.0, stage.service_high_s - stage.service_s) ** 2
            for stage in stages
        )
    )


def check_admission(
    stages: Sequence[StageTime],
    deadline_at: float,
    now: float,
    *,
    verdict: Verdict = Verdict.NOT_RUN,
    stage: str = "",
) -> None:
    """Refuses a request whose remaining stages cannot end in time.

    Args:
        stages: The stages still to run.
        deadline_at: Deadline in seconds on the clock of `now`.
        now: Current time in seconds.
        verdict: What is known of the request so far.
        stage: Name of the next stage, or "" at arrival.

    Raises:
        RefusalError: NO_UPSTREAM or DEADLINE_UNREACHABLE. `retry_after_s` is
            None when the request would not fit without any queue either.
    """
    for stage_time in stages:
        if math.isinf(stage_time.wait_s):
            raise RefusalError(
                NO_UPSTREAM,
                verdict,
                f"stage {stage_time.stage} has no usable upstream",
                stage=stage,
                retry_after_s=NO_UPSTREAM_RETRY_S,
            )
    # The gates ask for the same margin; without it here, requests would run
    # their first stages only to be refused by the gate of a full one.
    waits_s = WAIT_MARGIN * sum(stage_time.wait_s for stage_time in stages)
    needed_s = waits_s + sum(stage_time.service_s for stage_time in stages)
    needed_s += headroom_s(stages)
    missing_s = needed_s - (deadline_at - now)
    if missing_s <= 0.0:
        return
    raise RefusalError(
        DEADLINE_UNREACHABLE,
        verdict,
        f"the remaining stages need {needed_s:.3f} s,"
        f" {max(0.0, deadline_at - now):.3f} s remain",
        stage=stage,
        retry_after_s=missing_s if missing_s <= waits_s else None,
    )
