"""Work that is left at each upstream, by this instance and by others.

A load that another instance has told is some time old. Since then, requests
have ended and new ones were sent, so that an old difference between upstreams
says little: it shrinks with the age, over the time in which an upstream's
requests end.
"""

import math
import statistics
from collections.abc import Mapping, Sequence

from applespring.core.catalog import ListedUpstream

# Older loads of another instance are ignored.
LOAD_MAX_AGE_S = 1.5
# Above the 350 instances of the design scale; loads of further ones are
# ignored.
SENDERS_MAX = 1024
# A difference from the mean of less than this many standard deviations of a
# random one is ignored.
CHANCE_ERRORS = 4.0
# Work above the mean is remembered for some exchanges of loads: a slow upstream
# that gets no requests for one of them has less work, but is as slow.
PRESSURE_HALF_LIFE_S = 1.0
# A smaller part of it is forgotten.
PRESSURE_KEPT_MIN = 0.05
# For so long the comparison of a pool's upstreams is kept, in seconds.
SUMMARY_MAX_AGE_S = 0.1
# Pools that are compared; beyond it all comparisons are made anew.
POOLS_MAX = 256
# Ratio of the standard deviation to the median absolute deviation of a normal
# distribution.
DEVIATION_RATIO = 1.4826
# Less work than this is what rounding has left of sums.
ROUNDING_S = 1e-9


class PeerWork:
    """Work of other instances, summed by upstream."""

    __slots__ = (
        "_by_sender",
        "_work_s",
        "_told_at",
        "_expires_at",
        "_pressures",
        "_summaries",
    )

    def __init__(self) -> None:
        self._by_sender: dict[str, tuple[float, dict[str, float]]] = {}
        # Sums over the senders, by name of the upstream: the work in seconds,
        # and the work times when it was told.
        self._work_s: dict[str, float] = {}
        self._told_at: dict[str, float] = {}
        self._expires_at = math.inf
        # Highest ratio to the mean, and when it was seen, by upstream.
        self._pressures: dict[str, tuple[float, float]] = {}
        self._summaries: dict[str, _Summary] = {}

    def record(
        self, sender: str, work_s: Mapping[str, float], now: float
    ) -> None:
        """Replaces the work that another instance has at upstreams.

        Args:
            sender: Name of the instance.
            work_s: Work by name of the upstream, in seconds.
            now: Current time in seconds.
        """
        self._drop(sender)
        if work_s and len(self._by_sender) < SENDERS_MAX:
            self._by_sender[sender] = (now, dict(work_s))
            self._add(work_s, now, 1.0)
            self._expires_at = min(self._expires_at, now + LOAD_MAX_AGE_S)

    def summarize(
        self,
        pool: str,
        upstreams: Sequence[ListedUpstream],
        cost_s: float,
        now: float,
    ) -> None:
        """Compares the work at the upstreams of a pool.

        The other methods use the comparison; one that is recent is kept.

        Args:
            pool: Name of the pool.
            upstreams: Its upstreams.
            cost_s: Mean cost of a request, in seconds.
            now: Current time in seconds.
        """
        if now > self._expires_at:
            self._expire(now)
        found = self._summaries.get(pool)
        if found is not None and now - found.at < SUMMARY_MAX_AGE_S:
            return
        if len(self._summaries) >= POOLS_MAX:
            self._summaries.clear()
        told = [
            self._work_s.get(u.name, 0.0) / max(1, u.slots) for u in upstreams
        ]
        summary = self._summaries[pool] = _Summary(told, cost_s, now)
        if summary.mean_s <= 0.0:
            return
        for upstream in upstreams:
            ratio = 1.0 + self._excess_s(upstream, summary) / max(
                summary.mean_s, cost_s
            )
            if ratio > self.pressure(upstream.name, now):
                self._pressures[upstream.name] = (ratio, now)

    def pressure(self, name: str, now: float) -> float:
        """Returns by what factor an upstream has had more work than others.

        Only what chance does not explain. It falls back to 1 with time.
        """
        found = self._pressures.get(name)
        if found is None:
            return 1.0
        ratio, at = found
        kept = 0.5 ** ((now - at) / PRESSURE_HALF_LIFE_S)
        if kept < PRESSURE_KEPT_MIN:
            del self._pressures[name]
        return 1.0 + (ratio - 1.0) * kept

    def per_slot(self, upstream: ListedUpstream, now: float) -> float:
        """Returns the work to be expected for each slot, in seconds."""
        summary = self._summaries.get(upstream.pool)
        if summary is None or summary.mean_s <= 0.0:
            return 0.0
        excess_s = self._excess_s(upstream, summary)
        work_s = self._work_s.get(upstream.name, 0.0)
        if excess_s and work_s:
            age_s = now - self._told_at[upstream.name] / work_s
            left_s = max(summary.cost_s, work_s / max(1, upstream.slots))
            excess_s *= math.exp(-age_s / left_s)
        return summary.mean_s + excess_s

    def _excess_s(self, upstream: ListedUpstream, summary: "_Summary") -> float:
        """Returns the work above the mean that chance does not explain."""
        slots = max(1, upstream.slots)
        work_s = self._work_s.get(upstream.name, 0.0) / slots
        excess_s = work_s - summary.mean_s
        # Requests that come at random: their number has a Poisson spread.
        poisson_s = math.sqrt(
            max(summary.mean_s, summary.cost_s / slots) * summary.cost_s / slots
        )
        chance_s = CHANCE_ERRORS * max(poisson_s, summary.spread_s)
        return math.copysign(max(0.0, abs(excess_s) - chance_s), excess_s)

    def told_s(self, name: str, now: float) -> float:
        """Returns the work at an upstream as it was told, in seconds."""
        if now > self._expires_at:
            self._expire(now)
        return self._work_s.get(name, 0.0)

    def _expire(self, now: float) -> None:
        for sender, (told_at, _) in list(self._by_sender.items()):
            if now - told_at > LOAD_MAX_AGE_S:
                self._drop(sender)
        oldest = min(
            (told_at for told_at, _ in self._by_sender.values()),
            default=math.inf,
        )
        self._expires_at = oldest + LOAD_MAX_AGE_S

    def _drop(self, sender: str) -> None:
        found = self._by_sender.pop(sender, None)
        if found is not None:
            self._add(found[1], found[0], -1.0)

    def _add(
        self, work_s: Mapping[str, float], told_at: float, sign: float
    ) -> None:
        for name, work in work_s.items():
            total = self._work_s.get(name, 0.0) + sign * work
            if total < ROUNDING_S:
                self._work_s.pop(name, None)
                self._told_at.pop(name, None)
                continue
            self._work_s[name] = total
            self._told_at[name] = (
                self._told_at.get(name, 0.0) + sign * work * told_at
            )


class _Summary:
    """Work for each slot at the upstreams of a pool.

    Attributes:
        at: When it was computed.
        cost_s: Mean cost of a request, in seconds.
        mean_s: Mean, in seconds.
        spread_s: Standard deviation as the median of the absolute deviations
            shows it, which a few slow upstreams do not change.
    """

    __slots__ = ("at", "cost_s", "mean_s", "spread_s")

    def __init__(self, work_s: list[float], cost_s: float, at: float) -> None:
        self.at = at
        self.cost_s = cost_s
        self.mean_s = max(0.0, sum(work_s) / max(1, len(work_s)))
        self.spread_s = 0.0
        if work_s:
            middle_s = statistics.median(work_s)
            self.spread_s = DEVIATION_RATIO * statistics.median(
                [abs(w - middle_s) for w in work_s]
            )
