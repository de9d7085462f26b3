"""How evenly the requests of a pool are spread over its upstreams."""

from applespring.core.latency import DecayedMean

HALF_LIFE_S = 10.0
# Pools and upstreams of a pool that are counted; others are left out.
POOLS_MAX = 256
UPSTREAMS_MAX = 1024


class Evenness:
    """Recent requests by pool and upstream."""

    __slots__ = ("_pools",)

    def __init__(self) -> None:
        self._pools: dict[str, dict[str, DecayedMean]] = {}

    def record(self, pool: str, upstream: str, now: float) -> None:
        """Counts a request."""
        counts = self._pools.get(pool)
        if counts is None:
            if len(self._pools) >= POOLS_MAX:
                return
            counts = self._pools[pool] = {}
        count = counts.get(upstream)
        if count is None:
            if len(counts) >= UPSTREAMS_MAX:
                return
            count = counts[upstream] = DecayedMean(0.0, HALF_LIFE_S)
        count.add(1.0, now)

    def remove(self, upstream: str) -> None:
        """Forgets the requests of a removed upstream."""
        for counts in self._pools.values():
            counts.pop(upstream, None)

    def peaks(self, now: float) -> dict[str, float]:
        """Returns the largest share of an upstream, by pool.

        As a multiple of the mean share of those that got requests; 1 is even.
        """
        peaks = {}
        for pool, counts in self._pools.items():
            weights = [count.weight(now) for count in counts.values()]
            total = sum(weights)
            if total > 0.0:
                peaks[pool] = max(weights) * len(weights) / total
        return peaks
