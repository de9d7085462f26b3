"""Exponential backoff of an upstream that fails."""

import math


class FailurePause:
    """Pause of one upstream, doubled with each failure in a row.

    Attributes:
        until: Time from which on it may be called again.
    """

    __slots__ = ("until", "_first_s", "_longest_s", "_next_s")

    def __init__(self, first_s: float, longest_s: float) -> None:
        """Sets the lengths of the first pause and of the longest one."""
        self.until = -math.inf
        self._first_s = first_s
        self._longest_s = longest_s
        self._next_s = first_s

    def fail(self, now: float) -> None:
        """Starts a pause, twice as long as the previous one up to the limit."""
        self.until = now + self._next_s
        self._next_s = min(self._longest_s, 2 * self._next_s)

    def succeed(self) -> None:
        """Resets the length of the next pause; a current pause continues."""
        self._next_s = self._first_s

    def extend(self, until: float) -> None:
        """Pauses at least until a time, without a failure being counted."""
        self.until = max(self.until, until)
