"""When callers that were refused for a rate limit are to come back."""

import heapq

from applespring.core.notices import spread_return_s

# Longest time over which callers are spread, and most callers that count.
SPREAD_MAX_S = 10.0
CALLERS_MAX = 2000


class ReturnTimes:
    """Return times of refused callers of one pool that have not passed."""

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: list[float] = []

    def add(
        self, wait_s: float, per_s: float, request: str, now: float
    ) -> float:
        """Returns the Retry-After of one more refused caller.

        Args:
            wait_s: Time until the pool takes a request.
            per_s: Requests a second that it takes, above 0.
            request: Id of the request.
            now: Current time.
        """
        while self._times and self._times[0] <= now:
            heapq.heappop(self._times)
        backlog_s = min(SPREAD_MAX_S, len(self._times) / per_s)
        return_s = spread_return_s(wait_s, request, spread_min_s=backlog_s)
        if len(self._times) < CALLERS_MAX:
            heapq.heappush(self._times, now + return_s)
        return return_s
