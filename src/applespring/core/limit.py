"""Adaptive concurrency limit of one upstream."""

import math

from applespring.core.latency import DecayedMean

# Ratio of recent to long-term latency above which the limit falls. Engines
# batch continuously: with all slots in use their latency rises smoothly to
# about twice its unloaded value, which is no sign of overload.
LATENCY_TOLERANCE = 2.0
DECREASE_FACTOR = 0.9
FAILURE_DECREASE_FACTOR = 0.7
SHORT_HALF_LIFE_S = 1.0
LONG_HALF_LIFE_S = 30.0
# The limit grows only while at least this fraction of it is in use.
UTILIZED_FRACTION = 0.8


class ConcurrencyLimit:
    """AIMD limit on this instance's calls in flight at one upstream.

    The limit decreases while the recent mean latency exceeds
    `LATENCY_TOLERANCE` times the long-term mean, and after failures, but at
    most once per recent mean latency. It increases by one after as many
    successful calls as it allows at once, while it is in use.

    Attributes:
        cap: Slots times this instance's share, at least 1.
    """

    __slots__ = (
        "cap",
        "_slots",
        "_share",
        "_limit",
        "_short",
        "_long",
        "_next_decrease_at",
    )

    def __init__(self, slots: int, expected_s: float) -> None:
        self._slots = slots
        self._share = 1.0
        self.cap = max(1, slots)
        self._limit = float(max(1, slots))
        self._short = DecayedMean(expected_s, SHORT_HALF_LIFE_S)
        self._long = DecayedMean(expected_s, LONG_HALF_LIFE_S)
        self._next_decrease_at = -math.inf

    @property
    def slots(self) -> int:
        """Calls that the upstream can execute at once."""
        return self._slots

    @property
    def value(self) -> int:
        """Calls that may be in flight now, at least 1."""
        limit = int(self._limit)
        return limit if limit < self.cap else self.cap

    def set_slots(self, slots: int) -> None:
        """Sets how many calls the upstream can execute at once."""
        self._slots = slots
        self._limit = max(1.0, min(self._limit, float(slots)))
        self._set_cap()

    def set_share(self, share: float) -> None:
        """Sets this instance's fraction of the slots, 0 to 1."""
        self._share = share
        self._set_cap()

    def _set_cap(self) -> None:
        # Rounded up: rounding down would leave up to half of the slots unused
        # when each instance's share is between one and two slots.
        self.cap = max(1, math.ceil(self._slots * self._share - 1e-9))

    def on_success(self, latency_s: float, in_flight: int, now: float) -> None:
        """Adjusts the limit after a successful call.

        Args:
            latency_s: Duration of the call in seconds.
            in_flight: This instance's calls in flight before it ended.
            now: Current time in seconds.
        """
        self._short.add(latency_s, now)
        self._long.add(latency_s, now)
        if self._short.mean(now) > LATENCY_TOLERANCE * self._long.mean(now):
            self._decrease(DECREASE_FACTOR, now)
        elif in_flight >= UTILIZED_FRACTION * self.value:
            slots = float(max(1, self._slots))
            self._limit = min(slots, self._limit + 1.0 / self._limit)

    def on_failure(self, now: float) -> None:
        """Decreases the limit after a call that failed at the upstream."""
        self._decrease(FAILURE_DECREASE_FACTOR, now)

    def _decrease(self, factor: float, now: float) -> None:
        if now < self._next_decrease_at:
            return
        # A limit above the cap would have to fall several times before the
        # decrease showed in `value`.
        start = min(self._limit, float(self.cap))
        self._limit = max(1.0, start * factor)
        self._next_decrease_at = now + self._short.mean(now)
