"""State that a gate keeps of one upstream of its pool."""

import math

from applespring.core.fleet import Upstream
from applespring.core.health import HealthState, UpstreamHealth
from applespring.core.latency import DecayedMean
from applespring.core.limit import ConcurrencyLimit
from applespring.core.ticket import Grant, LoadReport

REPORT_HALF_LIFE_S = 1.0
# A member sees few calls of each instance, and a slow one fewer still.
LATENCY_HALF_LIFE_S = 30.0
# A call that takes this many times the pool's high quantile while nothing else
# succeeds marks its upstream as stalled before the call's timeout does.
STALL_FACTOR = 3.0
# A member with this fraction of failed calls gets one call at a time.
SINGLE_CALL_FAILURE_RATIO = 0.5


class PoolUpstream:
    """One upstream of a pool.

    Attributes:
        upstream: The upstream.
        usable: Whether it may receive new work at all.
        leaving: Whether a report said that it is leaving.
        running: Own grants in flight, oldest first.
        limit: Its concurrency limit.
        health: Its faults.
        latency: Decayed mean of its latency.
        active: Whether it is in use and not ejected, as of `update`.
        sound: Whether it is neither ejected, suspect nor stalled, as of
            `update`.
        stalled: Whether its oldest call is overdue and none has succeeded
            since, as of `update`.
        stalls_at: When it becomes stalled unless a call succeeds.
        max_in_flight: Own calls that may be in flight, as of `update`.
    """

    __slots__ = (
        "config",
        "usable",
        "leaving",
        "running",
        "limit",
        "health",
        "latency",
        "active",
        "healthy",
        "stalled",
        "stalls_at",
        "max_in_flight",
        "_last_success_at",
        "_other_calls",
        "_other_calls_at",
    )

    def __init__(self, config: Upstream, expected_s: float) -> None:
        self.config = config
        self.usable = True
        self.leaving = False
        self.running: dict[Grant, None] = {}
        self.limit = ConcurrencyLimit(config.slots, expected_s)
        self.health = UpstreamHealth()
        self.latency = DecayedMean(expected_s, LATENCY_HALF_LIFE_S)
        self.active = True
        self.healthy = True
        self.stalled = False
        self.stalls_at = math.inf
        self.max_in_flight = self.limit.value
        self._last_success_at = -math.inf
        self._other_calls = 0
        self._other_calls_at = 0.0

    @property
    def accepts_work(self) -> bool:
        """Whether new work may go to it, its health aside."""
        return self.usable and not self.leaving

    def update(self, now: float, high_quantile_s: float) -> None:
        """Brings the attributes that depend on time up to date.

        Args:
            now: Current time in seconds.
            high_quantile_s: High quantile of the pool's latency in seconds.
        """
        health = self.health
        if self.running:
            oldest_at = next(iter(self.running)).started_at
            no_success_since = max(oldest_at, self._last_success_at)
            self.stalls_at = no_success_since + STALL_FACTOR * high_quantile_s
        else:
            self.stalls_at = math.inf
        health_state = health.state(now)
        self.active = (
            self.accepts_work and health_state is not HealthState.EJECTED
        )
        self.stalled = now > self.stalls_at
        self.healthy = health_state is HealthState.HEALTHY and not self.stalled
        if health.failure_ratio >= SINGLE_CALL_FAILURE_RATIO:
            self.max_in_flight = 1
        else:
            max_in_flight = int(self.limit.value * health.weight(now))
            self.max_in_flight = max(1, max_in_flight)

    def record_success(self, now: float) -> None:
        """Notes that a call ended well."""
        self._last_success_at = now

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Takes a load report; own calls in flight are not counted twice."""
        if report.state == "leaving":
            self.leaving = True
        if report.slots > 0:
            self.limit.set_slots(min(self.config.slots, report.slots))
        total = max(0, report.running) + max(0, report.waiting)
        self._other_calls = max(0, total - len(self.running))
        self._other_calls_at = now - max(0.0, report.age_s)

    def can_start_call(self) -> bool:
        """Returns whether one more call may start."""
        return self.active and len(self.running) < self.max_in_flight

    def load(self, now: float) -> float:
        """Returns own calls in flight plus the aged load of others."""
        local_calls = float(len(self.running))
        if not self._other_calls:
            return local_calls
        age_s = max(0.0, now - self._other_calls_at)
        return local_calls + self._other_calls * 0.5 ** (
            age_s / REPORT_HALF_LIFE_S
        )
