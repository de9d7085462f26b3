"""Intervals between repeated calls, with back-off after failures."""

import random

# With a shorter back-off, the second attempts of instances that restart
# together would coincide with the first attempts of others.
BACKOFF_BASE_S = 1.0
# Half of the 8 s within which a new configuration must be in force everywhere.
BACKOFF_MAX_S = 4.0


class Pacer:
    """Computes jittered intervals between the starts of successive calls.

    A watch may return at once, because the data changes often or because the
    platform does not wait. The interval keeps it from becoming a busy loop.

    Attributes:
        failures: Number of failures since the last success.
    """

    __slots__ = ("failures", "_rng", "_interval_s")

    def __init__(self, rng: random.Random, interval_s: float) -> None:
        self.failures = 0
        self._rng = rng
        self._interval_s = interval_s

    def next_delay_s(self, elapsed_s: float, failed: bool) -> float:
        """Returns the seconds to wait before the next call.

        Args:
            elapsed_s: Seconds since the last call started.
            failed: Whether that call failed or returned nothing usable.
        """
        if failed:
            step_s = BACKOFF_BASE_S * 2 ** min(self.failures, 8)
            self.failures += 1
            step_s = min(BACKOFF_MAX_S, step_s)
            return self._rng.uniform(step_s / 2, step_s)
        self.failures = 0
        target_s = self._interval_s * self._rng.uniform(0.75, 1.25)
        return max(0.0, target_s - elapsed_s)
