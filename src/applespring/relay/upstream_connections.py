"""Connections to one upstream, kept for further requests.

An upstream may answer a request twice. The second answer may arrive after the
next request was sent on the connection, where the answer to that one is due. An
id shows to which request an answer belongs, but not to which sending of it: a
request keeps its id when it is sent again. So a connection is never used for an
id that it has carried, and after a request without an id only if the caller has
shown that the answer was a new one.
"""

import itertools
from collections import deque
from collections.abc import Callable, Iterable, Sequence

import anyio
import httpx

from applespring.core.fingerprint import shorten_name

# An idle connection is discarded after this time, well before the upstream
# closes it, so that no request is sent while the upstream is closing.
KEEPALIVE_EXPIRY_S = 1.5
# Time allowed for closing a connection whose answer was not read to the end.
CLOSE_TIMEOUT_S = 1.0
# Marks that a connection remembers: ids of requests and pieces that it carried,
# and handles in answers. One that has more is not kept, since what is forgotten
# could not be recognized in a second answer.
MARKS_MAX = 1024

_numbers = itertools.count(1)


class Connection:
    """A connection and what it has carried.

    Attributes:
        number: Number of the connection in this process, for the log.
        transport: Transport that opens one connection at most.
        purpose: Kind of requests that it is used for.
        requests: Number of requests that were sent on it.
        idle_since: When the last answer ended, in seconds of the clock.
        is_idle: Whether it waits for the next request.
    """

    __slots__ = (
        "number",
        "transport",
        "purpose",
        "requests",
        "idle_since",
        "is_idle",
        "_marks",
    )

    def __init__(
        self, transport: httpx.AsyncBaseTransport, purpose: str
    ) -> None:
        self.number = next(_numbers)
        self.transport = transport
        self.purpose = purpose
        self.requests = 0
        self.idle_since = 0.0
        self.is_idle = False
        self._marks: set[str] = set()

    @property
    def is_full(self) -> bool:
        """Whether it remembers as much as it can."""
        return len(self._marks) >= MARKS_MAX

    def has_carried(self, marks: Iterable[str]) -> bool:
        """Returns whether a request or an answer on it had one of the marks."""
        return not self._marks.isdisjoint(map(shorten_name, marks))

    def record(self, marks: Iterable[str]) -> None:
        """Remembers the marks of a request or an answer."""
        self._marks.update(map(shorten_name, marks))


class ConnectionPool:
    """The connections to one start of an upstream."""

    __slots__ = (
        "_make_transport",
        "_connections_max",
        "_clock",
        "_connections",
        "_waiting",
        "_closed",
    )

    def __init__(
        self,
        make_transport: Callable[[], httpx.AsyncBaseTransport],
        connections_max: int,
        clock: Callable[[], float],
    ) -> None:
        """Opens no connection yet.

        Args:
            make_transport: Creates a transport that opens one connection.
            connections_max: Most connections at a time.
            clock: Clock in seconds.
        """
        self._make_transport = make_transport
        self._connections_max = connections_max
        self._clock = clock
        self._connections: list[Connection] = []
        self._waiting: deque[anyio.Event] = deque()
        self._closed = False

    async def acquire(
        self, purpose: str, marks: Sequence[str], wait_max_s: float
    ) -> Connection:
        """Returns a connection for a request; the caller releases it.

        Args:
            purpose: Kind of the request.
            marks: Ids of the request or its pieces. The connection has carried
                none of them.
            wait_max_s: Longest wait while all connections are in use.

        Raises:
            TimeoutError: All were in use for `wait_max_s`.
        """
        await self._close_expired()
        connection = None
        if not self._waiting:
            connection = await self._find(purpose, marks)
        if connection is None:
            with anyio.fail_after(wait_max_s):
                connection = await self._wait(purpose, marks)
        connection.is_idle = False
        connection.requests += 1
        connection.record(marks)
        return connection

    async def release(self, connection: Connection, *, keep: bool) -> None:
        """Takes a connection back after its answer.

        Args:
            connection: The connection.
            keep: Whether it may be used again.
        """
        if keep and not connection.is_full and not self._closed:
            connection.is_idle = True
            connection.idle_since = self._clock()
            self._wake_next()
            return
        self._connections.remove(connection)
        self._wake_next()
        await self._close_transports([connection])

    async def aclose(self) -> None:
        """Closes the idle connections; the others close when released."""
        self._closed = True
        await self._close([c for c in self._connections if c.is_idle])

    async def _find(
        self, purpose: str, marks: Sequence[str]
    ) -> Connection | None:
        """Returns an idle or a new connection, or None if all are in use."""
        idle = [c for c in self._connections if c.is_idle]
        for connection in idle:
            if connection.purpose == purpose and not connection.has_carried(
                marks
            ):
                return connection
        is_full = len(self._connections) >= self._connections_max
        if is_full and not idle:
            return None
        connection = Connection(self._make_transport(), purpose)
        # Before the wait below, in which another request might take its place.
        self._connections.append(connection)
        if is_full:
            await self._close(idle[:1])
        return connection

    async def _wait(self, purpose: str, marks: Sequence[str]) -> Connection:
        event = anyio.Event()
        self._waiting.append(event)
        try:
            while True:
                await event.wait()
                connection = await self._find(purpose, marks)
                if connection is not None:
                    return connection
                # The requests that came later wait longer.
                self._waiting.remove(event)
                event = anyio.Event()
                self._waiting.appendleft(event)
        finally:
            self._waiting.remove(event)
            self._wake_next()

    def _wake_next(self) -> None:
        """Wakes the request that waits longest, if it can get a connection.

        It stays in the queue until it has one, and later requests behind it.
        """
        is_free = len(self._connections) < self._connections_max or any(
            c.is_idle for c in self._connections
        )
        if is_free and self._waiting:
            self._waiting[0].set()

    async def _close_expired(self) -> None:
        used_since = self._clock() - KEEPALIVE_EXPIRY_S
        await self._close(
            [
                c
                for c in self._connections
                if c.is_idle and c.idle_since < used_since
            ]
        )

    async def _close(self, connections: Sequence[Connection]) -> None:
        # All are removed before the first wait, in which another request might
        # take one of them.
        for connection in connections:
            self._connections.remove(connection)
        await self._close_transports(connections)

    async def _close_transports(
        self, connections: Sequence[Connection]
    ) -> None:
        for connection in connections:
            with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
                await connection.transport.aclose()
