"""State of one upstream of a gate's pool."""

import math

from applespring.core.fleet import Upstream
from applespring.core.health import HealthState, UpstreamHealth
from applespring.core.latency import DecayedMean
from applespring.core.limit import ConcurrencyLimit
from applespring.core.ticket import Grant, LoadReport

# Half-life of the reported calls of other instances in an upstream's load.
REPORT_HALF_LIFE_S = 1.0
# Long, because one instance sends few calls to an upstream, and fewer still
# to a slow one.
LATENCY_HALF_LIFE_S = 30.0
# An upstream is stalled when its oldest call has run without any success for
# this many times the pool's high quantile. The call's own timeout is later.
STALL_FACTOR = 3.0
# An upstream with at least this fraction of failed calls gets one at a time.
SINGLE_CALL_FAILURE_RATIO = 0.5


class PoolUpstream:
    """One upstream of a pool, as this instance sees it.

    Attributes:
        config: The upstream as configured.
        usable: Whether the membership allows new calls to it.
        leaving: Whether it has reported that it is leaving.
        running: Grants of this instance in flight, oldest first.
        limit: Its concurrency limit.
        health: Its failures and ejections.
        latency: Decayed mean of its latency.
        active: Whether it accepts work and is not ejected, as of `update`.
        healthy: Whether it is neither ejected, suspect nor stalled, as of
            `update`.
        stalled: Whether `stalls_at` has passed, as of `update`.
        stalls_at: When it becomes stalled unless a call succeeds, in seconds;
            infinity without calls in flight.
        max_in_flight: Limit of this instance's calls in flight, as of
            `update`, at least 1.
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
        """Whether new calls may go to it, regardless of its health."""
        return self.usable and not self.leaving

    def update(self, now: float, high_quantile_s: float) -> None:
        """Updates the attributes that depend on time.

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
        """Records the time of a successful call, which delays `stalls_at`."""
        self._last_success_at = now

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Applies a load report.

        This instance's calls in flight are subtracted from the reported load,
        or `load` would count them twice.
        """
        if report.state == "leaving":
            self.leaving = True
        if report.slots > 0:
            self.limit.set_slots(min(self.config.slots, report.slots))
        total = max(0, report.running) + max(0, report.waiting)
        self._other_calls = max(0, total - len(self.running))
        self._other_calls_at = now - max(0.0, report.age_s)

    def can_start_call(self) -> bool:
        """Returns whether it is active and below `max_in_flight`."""
        return self.active and len(self.running) < self.max_in_flight

    def load(self, now: float) -> float:
        """Returns the calls in flight at it, those of others decayed by age."""
        local_calls = float(len(self.running))
        if not self._other_calls:
            return local_calls
        age_s = max(0.0, now - self._other_calls_at)
        return local_calls + self._other_calls * 0.5 ** (
            age_s / REPORT_HALF_LIFE_S
        )
