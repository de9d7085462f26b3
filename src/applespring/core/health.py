"""Health of an upstream: outlier ejection, back-off and slow start."""

import enum
import math

MAX_EJECTED_FRACTION = 0.5
# Weight of the newest call in the failure ratio.
FAILURE_WEIGHT = 0.3
# Three consecutive failures from a ratio of 0 give 0.657, two give 0.51.
EJECT_FAILURE_RATIO = 0.64
# Failure ratio after an ejection; one more failure gives 0.65 and ejects again.
POST_EJECTION_FAILURE_RATIO = 0.5
# An upstream is an outlier if its mean latency exceeds the median of the pool's
# upstreams by this factor.
SLOW_FACTOR = 3.0
BACKOFF_MIN_S = 1.0
BACKOFF_MAX_S = 30.0
# After this long without an ejection the back-off starts at its minimum again.
BACKOFF_RESET_S = 60.0
SLOW_START_S = 10.0
SLOW_START_MIN_WEIGHT = 0.1
# Interval between calls to a suspect upstream while healthy ones exist.
PROBE_INTERVAL_S = 0.2


class HealthState(enum.Enum):
    """Whether an upstream may receive new calls."""

    HEALTHY = "sound"
    SUSPECT = "suspect"
    EJECTED = "ejected"


class UpstreamHealth:
    """Failures and ejections of one upstream.

    Attributes:
        failure_ratio: Decayed fraction of calls that failed, 0 to 1.
        ejected_until: End of the current or last ejection, in seconds.
        next_probe_at: When a suspect upstream may receive its next call, in
            seconds.
    """

    __slots__ = (
        "failure_ratio",
        "ejected_until",
        "next_probe_at",
        "_slow_start_at",
        "_backoff_s",
    )

    def __init__(self) -> None:
        self.failure_ratio = 0.0
        self.ejected_until = -math.inf
        self.next_probe_at = -math.inf
        self._slow_start_at = -math.inf
        self._backoff_s = 0.0

    def state(self, now: float) -> HealthState:
        """Returns whether the upstream may receive calls now.

        SUSPECT upstreams are not ejected only because too many of the pool
        are. They get one call every `PROBE_INTERVAL_S` while healthy upstreams
        exist, and a single success makes them healthy.
        """
        if now < self.ejected_until:
            return HealthState.EJECTED
        if self.failure_ratio >= EJECT_FAILURE_RATIO:
            return HealthState.SUSPECT
        return HealthState.HEALTHY

    def weight(self, now: float) -> float:
        """Returns the slow start weight, `SLOW_START_MIN_WEIGHT` to 1."""
        elapsed = now - self._slow_start_at
        return min(1.0, max(SLOW_START_MIN_WEIGHT, elapsed / SLOW_START_S))

    def begin_slow_start(self, now: float) -> None:
        """Begins slow start of a new upstream or one that is usable again."""
        self._slow_start_at = now

    def record_unreachable(self) -> None:
        """Raises the failure ratio after a refused connection.

        No process listens at the address, so one such call is enough to eject.
        """
        self.failure_ratio = max(self.failure_ratio, EJECT_FAILURE_RATIO)

    def record_call(self, failed: bool) -> None:
        """Updates the failure ratio with one finished call."""
        ratio = self.failure_ratio * (1.0 - FAILURE_WEIGHT)
        self.failure_ratio = ratio + (FAILURE_WEIGHT if failed else 0.0)

    def eject(self, now: float) -> None:
        """Ejects the upstream for its back-off time, then begins slow start."""
        if now - self.ejected_until > BACKOFF_RESET_S:
            self._backoff_s = 0.0
        self._backoff_s = min(
            BACKOFF_MAX_S, max(BACKOFF_MIN_S, self._backoff_s * 2.0)
        )
        self.ejected_until = now + self._backoff_s
        self._slow_start_at = self.ejected_until
        self.failure_ratio = POST_EJECTION_FAILURE_RATIO


def may_eject(ejected: int, upstreams: int) -> bool:
    """Returns whether one more upstream may be ejected.

    Args:
        ejected: Upstreams of the pool that are ejected already.
        upstreams: All upstreams of the pool that accept work.
    """
    return ejected + 1 <= upstreams * MAX_EJECTED_FRACTION


def is_slow(mean_s: float, median_s: float) -> bool:
    """Returns whether a mean latency exceeds `SLOW_FACTOR` times the median."""
    return mean_s > SLOW_FACTOR * median_s
