"""Outlier ejection with a floor, back-off and slow start."""

import enum
import math

MAX_EJECTED_FRACTION = 0.5
FAILURE_WEIGHT = 0.3
# Three consecutive failures of a sound upstream give 0.657, two give 0.51.
EJECT_FAILURE_RATIO = 0.64
# One failure after an ejection gives 0.65 and ejects again.
POST_EJECTION_FAILURE_RATIO = 0.5
SLOW_FACTOR = 3.0
BACKOFF_MIN_S = 1.0
BACKOFF_MAX_S = 30.0
# An upstream that stays sound this long starts again at the shortest back-off.
BACKOFF_RESET_S = 60.0
SLOW_START_S = 10.0
SLOW_START_MIN_WEIGHT = 0.1
PROBE_INTERVAL_S = 0.2


class HealthState(enum.Enum):
    """Whether an upstream may receive new calls."""

    HEALTHY = "sound"
    SUSPECT = "suspect"
    EJECTED = "ejected"


class UpstreamHealth:
    """What is known of one upstream's faults.

    Attributes:
        failure_ratio: Decayed fraction of calls that failed, 0 to 1.
        ejected_until: End of the current or last ejection, in seconds.
        next_probe_at: When a suspect may receive its next call.
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

        SUSPECT upstreams would be ejected but for the floor. They get one
        call every `PROBE_INTERVAL_S` while sound ones exist, and a single
        success makes them sound.
        """
        if now < self.ejected_until:
            return HealthState.EJECTED
        if self.failure_ratio >= EJECT_FAILURE_RATIO:
            return HealthState.SUSPECT
        return HealthState.HEALTHY

    def weight(self, now: float) -> float:
        """Returns the slow start weight, SLOW_START_MIN to 1."""
        elapsed = now - self._slow_start_at
        return min(1.0, max(SLOW_START_MIN_WEIGHT, elapsed / SLOW_START_S))

    def begin_slow_start(self, now: float) -> None:
        """Begins slow start, for an upstream that is new or returns."""
        self._slow_start_at = now

    def record_unreachable(self) -> None:
        """Counts a call to which no connection could be made.

        Nothing listens there, so one such call is enough to eject.
        """
        self.failure_ratio = max(self.failure_ratio, EJECT_FAILURE_RATIO)

    def record_call(self, failed: bool) -> None:
        """Counts one finished call."""
        ratio = self.failure_ratio * (1.0 - FAILURE_WEIGHT)
        self.failure_ratio = ratio + (FAILURE_WEIGHT if failed else 0.0)

    def eject(self, now: float) -> None:
        """Ejects the upstream; slow start follows the ejection."""
        if now - self.ejected_until > BACKOFF_RESET_S:
            self._backoff_s = 0.0
        self._backoff_s = min(
            BACKOFF_MAX_S, max(BACKOFF_MIN_S, self._backoff_s * 2.0)
        )
        self.ejected_until = now + self._backoff_s
        self._slow_start_at = self.ejected_until
        self.failure_ratio = POST_EJECTION_FAILURE_RATIO


def may_eject(ejected: int, upstreams: int) -> bool:
    """Returns whether one more of the pool's upstreams may be ejected."""
    return ejected + 1 <= upstreams * MAX_EJECTED_FRACTION


def is_slow(mean_s: float, median_s: float) -> bool:
    """Returns whether a member's mean latency is an outlier."""
    return mean_s > SLOW_FACTOR * median_s
