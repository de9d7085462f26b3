"""Which connection yields to a new one when a server has all it may have.

A connection has requests in progress, or rests after an answer, or has not sent
a whole request yet. The last ones yield first, the oldest before the others;
then those that rest, the longest resting one first. A client is told how long
its connection may rest, and opens another if it was closed before. Connections
with requests never yield: if there is no other one, the new one is closed.

A quarter of the connections may be ones that have not sent a whole request for
longer than `UNPROVEN_S`, since each holds the begin of a head.
"""

from collections import OrderedDict
from collections.abc import Hashable

UNPROVEN_S = 1.0
UNPROVEN_SHARE = 0.25


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
        "_unproven",
        "_resting",
        "_busy",
    )

    def __init__(self, limit: int) -> None:
        self.limit = max(1, limit)
        self.yielded = 0
        self.refused = 0
        # With the time of their start, the oldest first.
        self._unproven: OrderedDict[Hashable, float] = OrderedDict()
        self._resting: OrderedDict[Hashable, None] = OrderedDict()
        self._busy: set[Hashable] = set()

    def __len__(self) -> int:
        """Returns the number of connections."""
        return len(self._unproven) + len(self._resting) + len(self._busy)

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
        self._unproven[conn] = now
        return victim

    def record_request(self, conn: Hashable) -> None:
        """Records that a connection has a request in progress."""
        if self._take(conn):
            self._busy.add(conn)

    def record_rest(self, conn: Hashable) -> None:
        """Records that a connection rests from now on."""
        if self._take(conn):
            self._resting[conn] = None

    def remove(self, conn: Hashable) -> None:
        """Removes a connection, if it is still there."""
        self._take(conn)

    def _take(self, conn: Hashable) -> bool:
        if conn in self._busy:
            self._busy.discard(conn)
        elif conn in self._resting:
            del self._resting[conn]
        elif conn in self._unproven:
            del self._unproven[conn]
        else:
            return False
        return True

    def _find_victim(self, now: float) -> Hashable | None:
        if len(self) >= self.limit:
            return next(iter(self._unproven or self._resting), None)
        if len(self._unproven) >= max(1.0, UNPROVEN_SHARE * self.limit):
            conn, since = next(iter(self._unproven.items()))
            if now - since > UNPROVEN_S:
                return conn
        return None
