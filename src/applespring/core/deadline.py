"""Refuses requests whose remaining stages cannot finish by the deadline."""

import math
from collections.abc import Sequence

from applespring.core.errors import RefusalError
from applespring.core.notices import spread_return_s
from applespring.core.reason import DEADLINE_UNREACHABLE, NO_UPSTREAM
from applespring.core.verdict import Verdict

# Factor on expected queue waits at admission. Without it, calls admitted to a
# standing queue would all start at the last moment that meets the deadline.
WAIT_MARGIN = 1.2
# Retry-After for a pool without usable upstreams. The instance list and the
# load reports, which make an upstream usable, are read about this often.
NO_UPSTREAM_RETRY_S = 1.0


class StageTime:
    """Expected time of one stage of a pipeline.

    Attributes:
        stage: Name of the stage.
        wait_s: Expected seconds in the queue; infinite if the pool has no
            usable upstream.
        service_s: Expected seconds of the call.
        service_high_s: High estimate of the seconds of the call.
        opens_in_s: Seconds until the first pause ends if all upstreams of the
            pool are paused, else 0.
    """

    __slots__ = (
        "stage",
        "wait_s",
        "service_s",
        "service_high_s",
        "opens_in_s",
    )

    def __init__(
        self,
        stage: str,
        wait_s: float,
        service_s: float,
        service_high_s: float,
        opens_in_s: float = 0.0,
    ) -> None:
        self.stage = stage
        self.wait_s = wait_s
        self.service_s = service_s
        self.service_high_s = service_high_s
        self.opens_in_s = opens_in_s


def expected_remaining_s(stages: Sequence[StageTime]) -> float:
    """Returns the expected seconds of the stages, including queue waits."""
    return sum(stage.wait_s + stage.service_s for stage in stages)


def headroom_s(stages: Sequence[StageTime]) -> float:
    """Returns the seconds to reserve for slower calls than expected.

    This is the root of the summed squares of the stages' deviations, since
    the times of different stages vary independently.
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
    request: str = "",
) -> None:
    """Refuses a request whose remaining stages cannot finish in time.

    Args:
        stages: The stages still to run.
        deadline_at: Deadline in seconds on the clock of `now`.
        now: Current time in seconds.
        verdict: Verdict of the request so far, for the refusal.
        stage: Name of the next stage, or "" when the request arrives.
        request: Id of the request, by which the times are spread at which
            callers come back after a pause.

    Raises:
        RefusalError: NO_UPSTREAM or DEADLINE_UNREACHABLE. `retry_after_s` is
            None if the deadline would be too short without queues as well.
    """
    for stage_time in stages:
        if math.isinf(stage_time.wait_s):
            raise RefusalError(
                NO_UPSTREAM,
                verdict,
                f"stage {stage_time.stage} has no usable upstream",
                stage=stage,
                retry_after_s=spread_return_s(stage_time.opens_in_s, request)
                if stage_time.opens_in_s
                else NO_UPSTREAM_RETRY_S,
            )
    # The gates apply the same margin. Without it here, a request could run
    # its first stages and then be refused by the gate of a later, full pool.
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
