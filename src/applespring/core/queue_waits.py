"""Queue waits of stage pools, and admission of requests by them.

A request is refused early if its stages, with the waits in their queues, would
take too long.
"""

import math
from collections.abc import Mapping

from applespring.core.chain import Chain

# Older queue waits are ignored, as if the queue were empty.
WAIT_MAX_AGE_S = 1.0
# A request that will miss its target is admitted if its stages are expected to
# take at most this share of the time until its caller disconnects.
LATE_STAGES_SHARE = 0.75
# Shortest time after which a refused caller is asked to retry.
RETRY_AFTER_MIN_S = 0.3
# A refused caller is asked to retry after at least this share of the time that
# it has left. Callers retry once, and wait for at most a third of the time that
# they have left (platform's protocol page).
RETRY_AFTER_SHARE = 0.3


class QueueWaits:
    """Latest queue wait of each stage pool, as reported by its scheduler."""

    __slots__ = ("_waits",)

    def __init__(self) -> None:
        self._waits: dict[str, tuple[float, float, float, float]] = {}

    def put(
        self,
        pool: str,
        on_time_s: float,
        total_s: float,
        opens_in_s: float,
        now: float,
    ) -> None:
        """Records the waits of a pool.

        Args:
            pool: Name of the pool.
            on_time_s: Wait of a piece that can be on time.
            total_s: Wait of a late piece, behind all that is queued.
            opens_in_s: Time until the first pause ends if all upstreams of the
                pool are paused, else 0.
            now: Current time.
        """
        self._waits[pool] = (now, on_time_s, total_s, opens_in_s)

    def opens_in_s(self, pool: str, now: float) -> float:
        """Returns the time until the first pause ends, 0 if it is not paused.

        A pause counts until its end, however old the report is.
        """
        received_at, _, _, opens_in_s = self._waits.get(
            pool, (-math.inf, 0.0, 0.0, 0.0)
        )
        return max(0.0, received_at + opens_in_s - now)

    def get(self, pool: str, now: float) -> tuple[float, float]:
        """Returns the waits of a piece that can be on time and of a late one.

        Both are 0 if none was reported within `WAIT_MAX_AGE_S`.
        """
        received_at, on_time_s, total_s, _ = self._waits.get(
            pool, (-math.inf, 0.0, 0.0, 0.0)
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
    """Returns the expected time from arrival to the answer's first event.

    Args:
        chain: Stages of the request.
        call_s: Expected time of a call of each stage, by index.
        wait_s: Expected queue wait before that call, by index.
        run_s: Expected time from the end of the last stage to the first event.
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
    """Returns by how many seconds a request is too late; 0 admits it.

    A request is admitted if it is expected to meet its target, or else to be
    answered well before its caller disconnects (`LATE_STAGES_SHARE`).

    Args:
        chain: Stages of the request.
        call_s: Expected time of a call of each stage, by index.
        queue_waits: Queue waits of the stage pools.
        run_s: Expected time from the end of the last stage to the first event.
        target_in_s: Time left until the latency target.
        leaves_in_s: Time left until the caller disconnects if no event comes.
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
    """Returns after which time the caller of a refused request should retry.

    An overload lasts longer than the excess of one request, since others are
    admitted meanwhile. A caller whose only retry falls into the same overload
    is refused for good.

    Args:
        excess: Seconds by which the request is too late now.
        leaves_in_s: Time left until the caller disconnects if no event comes.
    """
    return max(RETRY_AFTER_MIN_S, excess, RETRY_AFTER_SHARE * leaves_in_s)
