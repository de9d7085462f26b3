"""Which connection yields to a new one when a server has all it may have.

A connection has a whole request in progress, or waits for one: for the first
one, or for the rest of one, or it rests after an answer.

- Those that wait for a request or for its rest yield first, the one that waits
  longest before the others. A quarter of the connections may wait for longer
  than `ARRIVAL_S`, since each holds the begin of a request.
- Those that rest are next, the longest resting one first. A client is told how
  long its connection may rest, and opens another if it was closed before.
- Those with a whole request never yield. If there is no other one, the new
  connection is closed.
"""

from collections import OrderedDict
from collections.abc import Hashable

ARRIVAL_S = 1.0
ARRIVING_SHARE = 0.25


class ConnectionTable:
    """The connections of a server.

    Attributes:
        limit: Most connections.
        yielded: Number of connections that had to yield.
        refused: Number of new connections that were closed.
    """

    __slots__ = (
        "limit",
        "yielded",
        "refused",
        "_arriving",
        "_resting",
        "_busy",
    )

    def __init__(self, limit: int) -> None:
        self.limit = max(1, limit)
        self.yielded = 0
        self.refused = 0
        # With the time since which they wait, the longest first.
        self._arriving: OrderedDict[Hashable, float] = OrderedDict()
        self._resting: OrderedDict[Hashable, None] = OrderedDict()
        self._busy: set[Hashable] = set()

    def __len__(self) -> int:
        """Returns the number of connections."""
        return len(self._arriving) + len(self._resting) + len(self._busy)

    def add(self, conn: Hashable, now: float) -> Hashable | None:
        """Adds a new connection.

        Args:
            conn: The connection.
            now: Current time.

        Returns:
            The connection that is to be closed, which may be the new one, or
            None. It is not in the table any more.
        """
        victim = self._find_victim(now)
        if victim is not None:
            self.yielded += 1
            self.remove(victim)
        elif len(self) >= self.limit:
            self.refused += 1
            return conn
        self._arriving[conn] = now
        return victim

    def record_head(self, conn: Hashable, now: float) -> None:
        """Records that a request has begun on a connection that rested."""
        if conn in self._resting:
            del self._resting[conn]
            self._arriving[conn] = now

    def record_request(self, conn: Hashable) -> None:
        """Records that a whole request is in progress on a connection."""
        if self._take(conn):
            self._busy.add(conn)

    def record_rest(self, conn: Hashable) -> None:
        """Records that a connection rests from now on."""
        if self._take(conn):
            self._resting[conn] = None

    def record_last_answer(self, conn: Hashable) -> None:
        """Records that only the end of a connection is awaited."""
        if self._take(conn):
            self._arriving[conn] = 0.0
            self._arriving.move_to_end(conn, last=False)

    def remove(self, conn: Hashable) -> None:
        """Removes a connection, if it is still there."""
        self._take(conn)

    def _take(self, conn: Hashable) -> bool:
        if conn in self._busy:
            self._busy.discard(conn)
        elif conn in self._resting:
            del self._resting[conn]
        elif conn in self._arriving:
            del self._arriving[conn]
        else:
            return False
        return True

    def _find_victim(self, now: float) -> Hashable | None:
        if len(self) >= self.limit:
            return next(iter(self._arriving or self._resting), None)
        if len(self._arriving) >= max(1.0, ARRIVING_SHARE * self.limit):
            conn, since = next(iter(self._arriving.items()))
            if now - since > ARRIVAL_S:
                return conn
        return None
