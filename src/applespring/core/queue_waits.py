"""Waiting times of stage pools, and whether a whole chain fits its time."""

import math
from collections.abc import Mapping

from applespring.core.chain import Chain

# Word of a waiting time that is older says nothing any more.
WAIT_MAX_AGE_S = 1.0
# Part of the time that a caller stays which the stages of a request that will
# be late may be expected to take.
LATE_STAGES_SHARE = 0.75
# Shortest time to come back after.
RETRY_AFTER_MIN_S = 0.3
# Part of the time that a caller stays after which it comes back at the
# earliest. Callers come back once, and wait for at most a third of the time
# that they have left (platform's protocol page).
RETRY_AFTER_SHARE = 0.3


class QueueWaits:
    """The newest waiting times that keepers have told."""

    __slots__ = ("_waits",)

    def __init__(self) -> None:
        self._waits: dict[str, tuple[float, float, float]] = {}

    def put(
        self, pool: str, on_time_s: float, total_s: float, now: float
    ) -> None:
        """Takes the waiting times of a pool."""
        self._waits[pool] = (now, on_time_s, total_s)

    def get(self, pool: str, now: float) -> tuple[float, float]:
        """Returns the waiting times of a pool, on time and whole."""
        received_at, on_time_s, total_s = self._waits.get(
            pool, (-math.inf, 0.0, 0.0)
        )
        if now - received_at > WAIT_MAX_AGE_S:
            return (0.0, 0.0)
        return (on_time_s, total_s)


def critical_path_s(
    chain: Chain,
    call_s: Mapping[int, float],
    wait_s: Mapping[int, float],
    run_s: float,
) -> float:
    """Returns the expected time from arrival to the first event.

    Args:
        chain: Stages of the request.
        call_s: Expected time of a call of each stage.
        wait_s: Expected wait before a call of each stage.
        run_s: Expected time after the last stage.
    """
    ends: dict[int, float] = {}

    def end(index: int) -> float:
        if index not in ends:
            predecessors = [
                i for i in chain.steps[index].after if i in chain.steps
            ]
            start = max((end(i) for i in predecessors), default=0.0)
            ends[index] = (
                start + wait_s.get(index, 0.0) + call_s.get(index, 0.0)
            )
        return ends[index]

    return run_s + max((end(index) for index in chain.steps), default=0.0)


def excess_s(
    chain: Chain,
    call_s: Mapping[int, float],
    queue_waits: QueueWaits,
    *,
    run_s: float,
    target_in_s: float,
    leaves_in_s: float,
    now: float,
) -> float:
    """Returns by how much a request would be too late; 0 if it may begin.

    A request may begin if it is expected to be on time, or else to be answered
    well before its caller leaves.

    Args:
        chain: Stages of the request.
        call_s: Expected time of a call of each stage.
        queue_waits: Waiting times of the pools.
        run_s: Expected time after the last stage.
        target_in_s: Time until the answer should begin.
        leaves_in_s: Time until the caller leaves.
        now: Current time.
    """
    wait_by_stage = {
        i: queue_waits.get(s.pool, now) for i, s in chain.steps.items()
    }
    on_time = {i: wait[0] for i, wait in wait_by_stage.items()}
    if critical_path_s(chain, call_s, on_time, run_s) <= target_in_s:
        return 0.0
    total = {i: wait[1] for i, wait in wait_by_stage.items()}
    expected = critical_path_s(chain, call_s, total, run_s)
    return max(0.0, expected - LATE_STAGES_SHARE * leaves_in_s)


def retry_after_s(excess: float, leaves_in_s: float) -> float:
    """Returns after which time a refused request should come back.

    An overload lasts longer than the excess of one request, since others are
    admitted meanwhile. A caller that returns into it is lost.

    Args:
        excess: Seconds by which the request would be too late now.
        leaves_in_s: Time until the caller leaves.
    """
    return max(RETRY_AFTER_MIN_S, excess, RETRY_AFTER_SHARE * leaves_in_s)
