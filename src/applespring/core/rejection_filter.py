"""Selects the rejected inputs that get a log line.

Others may write malformed entries many times a second, and a full read of the
registry finds the same ones again. All are counted; a line is written once for
each name and revision, and for few in a second.
"""

from collections import OrderedDict

LINES_PER_S_MAX = 10
# Above the 600 upstreams of the design scale; the name logged first is
# forgotten beyond it.
NAMES_MAX = 2048


class RejectionFilter:
    """Remembers which rejections were logged.

    Attributes:
        left_out: Rejections without a line since the last line, except those
            that had been logged before.
    """

    __slots__ = ("left_out", "_revisions", "_second", "_lines")

    def __init__(self) -> None:
        self.left_out = 0
        self._revisions: OrderedDict[str, int] = OrderedDict()
        self._second = -1
        self._lines = 0

    def admit(self, name: str, revision: int, now: float) -> bool:
        """Returns whether the rejection of an input is to be logged.

        Args:
            name: Name of the input, for example that of an upstream.
            revision: Its revision.
            now: Current time in seconds.
        """
        if self._revisions.get(name) == revision:
            return False
        if int(now) != self._second:
            self._second, self._lines = int(now), 0
        if self._lines >= LINES_PER_S_MAX:
            self.left_out += 1
            return False
        self._lines += 1
        self._revisions[name] = revision
        self._revisions.move_to_end(name)
        if len(self._revisions) > NAMES_MAX:
            self._revisions.popitem(last=False)
        return True

    def take_left_out(self) -> int:
        """Returns how many had no line since the last call."""
        count, self.left_out = self.left_out, 0
        return count
