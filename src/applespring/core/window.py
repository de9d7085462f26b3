"""Retry budget of a pool over a sliding window."""

from collections import deque

# Share of the fleet's budget that is used. The remaining part is a margin,
# since the windows of the instances and of the platform do not coincide.
ALLOWANCE_USED_SHARE = 0.6


class AttemptWindow:
    """Budget of added attempts (retries, resumed streams) at one pool.

    In each window it is a ratio of this instance's requests plus a fixed number
    that all instances share in equal parts.

    Attributes:
        granted: Total number of added attempts that were granted.
        denied: Total number of added attempts that were denied.
    """

    __slots__ = (
        "granted",
        "denied",
        "_ratio",
        "_window_s",
        "_extra",
        "_requests",
        "_added",
    )

    def __init__(self, ratio: float, window_s: float, extra: float) -> None:
        self.granted = 0
        self.denied = 0
        self._ratio = ratio
        self._window_s = window_s
        self._extra = extra
        self._requests: deque[float] = deque()
        self._added: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Counts a request, which raises the budget for one window."""
        self._requests.append(now)

    def try_acquire(self, now: float, instances: int) -> bool:
        """Takes an added attempt from the budget; returns False if denied.

        Args:
            now: Current time.
            instances: Number of instances that share the fixed part of the
                budget, this one included.
        """
        window_start = now - self._window_s
        for times in (self._requests, self._added):
            while times and times[0] <= window_start:
                times.popleft()
        bound = ALLOWANCE_USED_SHARE * (
            self._ratio * len(self._requests) + self._extra / max(1, instances)
        )
        if len(self._added) + 1 > bound:
            self.denied += 1
            return False
        self.granted += 1
        self._added.append(now)
        return True
