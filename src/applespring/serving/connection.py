"""One connection of a caller."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from hypercorn.asyncio.task_group import TaskGroup
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.typing import ConnectionState
from hypercorn.utils import parse_socket_addr
from loguru import logger

from applespring.serving.body_channel import BodyChannel, Message
from applespring.serving.http11 import HttpProtocols

if TYPE_CHECKING:
    from applespring.serving.server import Server

# Bytes that are read from a connection at a time.
READ_BYTES = 16 * 1024
# Bounds of what a client may go on sending after its final answer. A connection
# that is closed with unread bytes is reset, and the client may lose the answer.
LINGER_S = 2.0
LINGER_BYTES_MAX = 8 * 1024 * 1024
# Time for the last bytes of an answer to be sent after its connection was
# closed, as long as the client reads none of them.
FLUSH_S = 5.0
# More lines than this in what was read are heads or chunks that cost far more
# time than their bytes. They are handled in slices, one in each pass of the
# event loop, for all connections in turn.
LINES_MAX = 64
SLICE_BYTES = 1024


class RequestTasks(TaskGroup):
    """Tasks of a connection: its applications and its timers."""

    def __init__(self, conn: "Connection") -> None:
        super().__init__(conn.loop)
        self._conn = conn

    async def spawn_app(
        self,
        app: Callable[..., Awaitable[None]],
        config: Config,
        scope: dict[str, Any],
        send: Callable[[Message | None], Awaitable[None]],
    ) -> Callable[[Message], Awaitable[None]]:
        """Starts the application for a request; see `TaskGroup`.

        Returns:
            Function that passes messages of the server to it.
        """
        del config
        channel = BodyChannel(
            self._conn.ask_for_body, self._conn.record_request
        )
        self.spawn(_run_app, app, scope, channel, send)
        return channel.put


async def _run_app(
    app: Callable[..., Awaitable[None]],
    scope: dict[str, Any],
    channel: BodyChannel,
    send: Callable[[Message | None], Awaitable[None]],
) -> None:
    try:
        await app(scope, channel.receive, send)
    except Exception as exc:  # noqa: BLE001
        # The answer stays incomplete, and its connection is closed.
        logger.bind(event="answer_cut").debug("an answer was cut off: {}", exc)
    finally:
        await send(None)


class Connection(TCPServer):
    """A connection from its start to its end.

    Attributes:
        lingers: Whether the final answer was sent, and what still arrives is
            dropped.
    """

    def __init__(
        self,
        server: "Server",
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        super().__init__(
            server.app,
            server.loop,
            server.cfg,
            server.context,
            {},
            reader,
            writer,
        )
        self._server = server
        # The server knows it by its socket.
        self._key = writer.transport.get_protocol()
        self.lingers = False
        self._lingers_until = 0.0
        self._head_until: float | None = None

    async def run(self) -> None:
        """Serves the connection until it is closed."""
        sock = self.writer.get_extra_info("socket")
        try:
            client = parse_socket_addr(sock.family, sock.getpeername())
            address = parse_socket_addr(sock.family, sock.getsockname())
            async with RequestTasks(self) as tasks:
                self._task_group = tasks
                self.protocol = HttpProtocols(
                    self._server.allows_http2,
                    self.writer.transport.is_closing,
                    self._count_rejected,
                    self.app,
                    self.config,
                    self.context,
                    tasks,
                    ConnectionState(self.state),
                    False,
                    client,
                    address,
                    self.protocol_send,
                )
                await self.protocol.initiate()
                await self.idle_task.restart(tasks, self._idle_timeout)
                try:
                    await self._read_data()
                finally:
                    # Otherwise the task group, and with it the descriptor,
                    # lasts until the idle limit.
                    await self.idle_task.stop()
        except* OSError as exc:
            logger.bind(event="connection_lost").debug(
                "a connection failed: {}", exc
            )
        finally:
            await self._close()

    async def ask_for_body(self) -> None:
        """Tells the client to send the body, if it waits for that."""
        if self.protocol.http11 is not None:
            await self.protocol.http11.ask_for_body()

    def _count_rejected(self) -> None:
        self._server.heads_rejected += 1

    def record_request(self) -> None:
        """Records that a request has arrived completely."""
        self._server.table.record_request(self._key)

    async def protocol_send(self, event: Event) -> None:
        """Handles what the protocol sends; see `TCPServer`."""
        if isinstance(event, Closed):
            await self._end()
            return
        if isinstance(event, Updated):
            if event.idle:
                self._server.table.record_rest(self._key)
            else:
                self._server.table.record_head(self._key, self.loop.time())
        try:
            await super().protocol_send(event)
        except OSError as exc:
            # hypercorn expects only some of them.
            logger.bind(event="connection_lost").debug(
                "a connection failed while it was written: {}", exc
            )
            await self.protocol.handle(Closed())

    async def _end(self) -> None:
        """Closes the connection once its client has stopped sending."""
        http11 = self.protocol.http11
        if http11 is None or http11.is_sent or self.lingers:
            await self._close()
            return
        self.lingers = True
        self._server.table.record_last_answer(self._key)
        self._lingers_until = self.loop.time() + LINGER_S
        if self.writer.can_write_eof():
            self.writer.write_eof()
        # A read that already waits has no time-out.
        self.loop.call_at(self._lingers_until, self.writer.close)

    async def _read_data(self) -> None:
        dropped = 0
        while not self.reader.at_eof():
            try:
                async with asyncio.timeout_at(self._head_until):
                    data = await self.reader.read(READ_BYTES)
            except TimeoutError:
                await self._reject_head()
                continue
            except OSError as exc:
                logger.bind(event="connection_lost").debug(
                    "a connection failed while it was read: {}", exc
                )
                break
            if self.lingers:
                dropped += len(data)
                if dropped > LINGER_BYTES_MAX:
                    break
                continue
            await self._handle(data)
            self._update_head_limit()
        await self.protocol.handle(Closed())

    async def _handle(self, data: bytes) -> None:
        http11 = self.protocol.http11
        if http11 is None or not http11.reads_chunks:
            await self.protocol.handle(RawData(data))
            return
        if data.count(b"\n") <= LINES_MAX:
            await self.protocol.handle(RawData(data))
            return
        for start in range(0, len(data), SLICE_BYTES):
            await self._server.wait_turn()
            if self.lingers:
                return
            slice_ = data[start : start + SLICE_BYTES]
            await self.protocol.handle(RawData(slice_))

    def _update_head_limit(self) -> None:
        """Starts the time for a head when its first bytes have arrived."""
        http11 = self.protocol.http11
        if http11 is None or self.lingers or not http11.head_begun:
            self._head_until = None
        elif self._head_until is None:
            self._head_until = self.loop.time() + self._server.head_limit_s()

    async def _reject_head(self) -> None:
        self._head_until = None
        if self.protocol.http11 is not None:
            await self.protocol.http11.reject_head()
        await self._end()

    async def _close(self) -> None:
        """Closes the connection, and waits until its last bytes are sent."""
        transport = self.writer.transport
        if not transport.get_write_buffer_size():
            await super()._close()
            return
        flushing = self.loop.create_task(super()._close())
        unsent = transport.get_write_buffer_size()
        while not flushing.done():
            await asyncio.wait([flushing], timeout=FLUSH_S)
            left = transport.get_write_buffer_size()
            if left >= unsent:
                transport.abort()
            unsent = left
        await flushing
