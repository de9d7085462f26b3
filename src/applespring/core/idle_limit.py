"""How long callers' connections may rest between two requests.

Every answer states a time, and the connection stays open for longer than that,
so that no request arrives while it is being closed. The document's limit may
change between the head of an answer, which states the time, and its end.
"""

# Time for which a connection stays open after the stated time: a request that
# was sent in time has to be read, also by a process that was paused meanwhile.
HOLD_MARGIN_S = 2.0
# The time is stated in whole seconds.
STATED_MIN_S = 1


class IdleLimit:
    """The limit of the document in force and those still stated in answers.

    Attributes:
        limit_s: Limit of the document in force, in seconds.
    """

    __slots__ = ("limit_s", "_replaced")

    def __init__(self, limit_s: float) -> None:
        self.limit_s = limit_s
        # Stated times of replaced limits, with the end of the last answer that
        # may have one.
        self._replaced: list[tuple[int, float]] = []

    def replace(self, limit_s: float, answer_s: float, now: float) -> None:
        """Puts another limit in force.

        Args:
            limit_s: The limit.
            answer_s: Longest time that an answer in progress still takes.
            now: Current time.
        """
        if limit_s == self.limit_s:
            return
        self._drop_ended(now)
        self._replaced.append((self.stated_s, now + answer_s))
        self.limit_s = limit_s

    @property
    def stated_s(self) -> int:
        """Time stated in answers, in whole seconds."""
        return max(STATED_MIN_S, int(self.limit_s))

    def held_s(self, now: float) -> float:
        """Returns how long a connection that rests from now on stays open."""
        self._drop_ended(now)
        stated = [stated_s for stated_s, _ in self._replaced]
        return max([self.limit_s, self.stated_s, *stated]) + HOLD_MARGIN_S

    def _drop_ended(self, now: float) -> None:
        self._replaced = [r for r in self._replaced if r[1] > now]
