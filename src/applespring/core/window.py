"""An allowance of added attempts over a sliding window."""

from collections import deque

# Part of the fleet's allowance that is used, since windows of instances and
# of the platform do not coincide.
ALLOWANCE_USED_SHARE = 0.6


class AttemptWindow:
    """Added attempts at one pool, as a ratio of its requests and a reserve.

    The reserve belongs to all instances together, so each takes its part.

    Attributes:
        granted: Added attempts granted in all.
        denied: Added attempts denied in all.
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
        """Counts a request."""
        self._requests.append(now)

    def try_acquire(self, now: float, instances: int) -> bool:
        """Takes an added attempt; returns whether it is allowed.

        Args:
            now: Current time.
            instances: Instances that share the reserve, this one included.
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
