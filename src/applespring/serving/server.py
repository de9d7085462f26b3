"""A server of one port."""

import asyncio
import math
import socket
from collections.abc import Awaitable, Callable

from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from loguru import logger

from applespring.core.connection_table import ConnectionTable
from applespring.serving.connection import READ_BYTES, Connection

# A connection is no longer read once twice this is unread.
AHEAD_BYTES = 4 * 1024
# Share of the connections of a server that may wait to be accepted. All of them
# are accepted in one pass of the event loop, and closed up to three passes
# later.
BACKLOG_SHARE = 0.2
BACKLOG_MIN = 16
# Least time between two log lines that say that there are too many connections.
FULL_LOG_INTERVAL_S = 10.0

AsgiApp = Callable[..., Awaitable[None]]


class _Socket(asyncio.BufferedProtocol):
    """An accepted socket, which the server may close for another one.

    It reads into a buffer that all sockets of a server share. The event loop
    would otherwise read up to 256 KiB from each before anything can bound it.
    """

    def __init__(self, server: "Server", buffer: bytearray) -> None:
        loop = server.loop
        self._server = server
        self._buffer = buffer
        self._transport: asyncio.Transport | None = None
        self._reader = asyncio.StreamReader(limit=AHEAD_BYTES, loop=loop)
        self._streams = asyncio.StreamReaderProtocol(
            self._reader, server.serve, loop=loop
        )

    def abort(self) -> None:
        """Closes the socket at once."""
        self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        # Before its task is started, since many may be accepted at once.
        if self._server.admit(self):
            self._streams.connection_made(transport)

    def get_buffer(self, sizehint: int) -> bytearray:
        del sizehint
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        self._reader.feed_data(self._buffer[:nbytes])

    def eof_received(self) -> bool | None:
        return self._streams.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.table.remove(self)
        self._streams.connection_lost(exc)

    def pause_writing(self) -> None:
        self._streams.pause_writing()

    def resume_writing(self) -> None:
        self._streams.resume_writing()


class Server:
    """Serves an ASGI application on a socket.

    Attributes:
        app: The application.
        cfg: Configuration of hypercorn.
        loop: The event loop.
        context: Tells connections that the server stops.
        head_limit_s: Returns how long a head may take to arrive.
        allows_http2: Whether clients may use HTTP/2.
        table: The connections and what they do.
        heads_rejected: Number of heads that were malformed, too long or late.
    """

    def __init__(
        self,
        app: AsgiApp,
        cfg: Config,
        head_limit_s: Callable[[], float],
        connections_max: int,
        *,
        allows_http2: bool = False,
    ) -> None:
        """Opens nothing yet.

        Args:
            app: The application.
            cfg: Configuration of hypercorn.
            head_limit_s: Returns how long a head may take to arrive.
            connections_max: Most connections.
            allows_http2: Whether clients may use HTTP/2.
        """
        self.app = app
        self.cfg = cfg
        self.head_limit_s = head_limit_s
        self.allows_http2 = allows_http2
        self.loop = asyncio.get_running_loop()
        self.context = WorkerContext(None)
        self._buffer = bytearray(READ_BYTES)
        self.table = ConnectionTable(connections_max)
        self.heads_rejected = 0
        self._turn = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()
        self._full_logged_at = -math.inf

    async def run(
        self, sock: socket.socket, wait_stop: Callable[[], Awaitable[object]]
    ) -> None:
        """Serves until `wait_stop` returns, then closes the connections.

        Connections with requests are closed after their answers, within
        `graceful_timeout` of the configuration.

        Args:
            sock: The listening socket.
            wait_stop: Returns when the server is to stop.
        """
        server = await self.loop.create_server(
            lambda: _Socket(self, self._buffer),
            sock=sock,
            backlog=min(
                self.cfg.backlog,
                max(BACKLOG_MIN, int(BACKLOG_SHARE * self.table.limit)),
            ),
        )
        try:
            await wait_stop()
        finally:
            await self.context.terminated.set()
            server.close()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=self.cfg.graceful_timeout)

    async def wait_turn(self) -> None:
        """Waits for a pass of the event loop that no other connection uses."""
        async with self._turn:
            await asyncio.sleep(0)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a connection until it is closed."""
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await Connection(self, reader, writer).run()
        except Exception as exc:  # noqa: BLE001
            logger.bind(event="connection_failed").exception(
                "a connection ended with an unexpected error: {}", exc
            )
        finally:
            self._tasks.discard(task)

    def admit(self, conn: _Socket) -> bool:
        """Adds a connection, for which another one may have to yield.

        Returns:
            Whether it is served. If not, it has been closed.
        """
        yielding = self.table.add(conn, self.loop.time())
        if yielding is None:
            return True
        self._log_full()
        yielding.abort()
        return yielding is not conn

    def _log_full(self) -> None:
        now = self.loop.time()
        if now - self._full_logged_at < FULL_LOG_INTERVAL_S:
            return
        self._full_logged_at = now
        logger.bind(
            event="connections_full",
            connections=len(self.table),
            limit=self.table.limit,
            yielded=self.table.yielded,
            refused=self.table.refused,
        ).warning(
            "{} connections are open; the limit is {}. {} had to yield, {} new "
            "ones were closed",
            len(self.table),
            self.table.limit,
            self.table.yielded,
            self.table.refused,
        )
