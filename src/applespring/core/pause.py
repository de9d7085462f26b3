"""Pauses of an upstream that fails, doubled with each failure in a row."""

import math


class FailurePause:
    """Until when an upstream is left alone.

    Attributes:
        until: When it may be used again.
    """

    __slots__ = ("until", "_first_s", "_longest_s", "_next_s")

    def __init__(self, first_s: float, longest_s: float) -> None:
        """Takes the length of the first and of the longest pause."""
        self.until = -math.inf
        self._first_s = first_s
        self._longest_s = longest_s
        self._next_s = first_s

    def fail(self, now: float) -> None:
        """Begins a pause, twice as long as the one before."""
        self.until = now + self._next_s
        self._next_s = min(self._longest_s, 2 * self._next_s)

    def succeed(self) -> None:
        """Lets the next pause be a short one; one that runs goes on."""
        self._next_s = self._first_s

    def extend(self, until: float) -> None:
        """Pauses at least until a time, for another reason than a failure."""
        self.until = max(self.until, until)
