"""UDP datagrams and TCP requests between instances.

A TCP frame consists of the length of what follows (4 bytes, big-endian), a
request number (8 bytes) and a message. All requests of this instance to a peer
share one connection. A reply carries the number of its request, since replies
may arrive in any order.
"""

import struct
from collections.abc import Callable

import anyio
from anyio.abc import (
    ByteReceiveStream,
    SocketAttribute,
    SocketListener,
    SocketStream,
    TaskGroup,
    TaskStatus,
    UDPSocket,
)
from anyio.streams.buffered import BufferedByteReceiveStream

from applespring.core.caller_memory import (
    CallerMemory,
    Holding,
    MemoryFullError,
)
from applespring.core.connection_table import ConnectionTable
from applespring.core.errors import MessageError
from applespring.peer.codec import DATAGRAM_BYTES_MAX, MESSAGE_BYTES_MAX
from applespring.peer.transport import (
    OnDatagram,
    OnRequest,
    PeerLostError,
    PeerUnreachableError,
    Transport,
)

BIND_ATTEMPTS = 8
CONNECT_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 5.0
FRAME_BODY_TIMEOUT_S = 10.0
# Longest time without a new frame on a connection.
IDLE_TIMEOUT_S = 300.0
HANDLER_TIMEOUT_S = 120.0
DATAGRAM_TIMEOUT_S = 0.5
# Requests per connection that wait for a reply.
PENDING_REQUESTS_MAX = 256
# Requests per connection that are handled at the same time.
HANDLERS_MAX = 256
# Bound on the opened connections, and on the accepted ones.
CONNECTIONS_MAX = 1024
# Bytes of requests that arrive or are handled, on all accepted connections.
REQUEST_BYTES_MAX = 16 * 1024 * 1024
_FRAME_HEADER = struct.Struct(">IQ")
_REQUEST_NUMBER_BYTES = 8
_SOCKET_ERRORS = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)
_CONNECTION_ERRORS = (
    *_SOCKET_ERRORS,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    TimeoutError,
)


def split_address(address: str) -> tuple[str, int]:
    """Splits `IP:port`, with the IP in brackets if it is version 6.

    Raises:
        ValueError: The address has no port, or one that is not an integer.
    """
    host, separator, port = address.rpartition(":")
    if not separator:
        raise ValueError(f"the address {address!r} has no port")
    return host.strip("[]"), int(port)


async def _read_frame(
    stream: BufferedByteReceiveStream,
    hold: Callable[[int], None] = lambda _: None,
) -> tuple[int, bytes]:
    """Returns the request number and the message of the next frame.

    Args:
        stream: The stream.
        hold: Called with the length of a frame before its message is read.

    Raises:
        MessageError: The length is out of range.
    """
    with anyio.fail_after(IDLE_TIMEOUT_S):
        header = await stream.receive_exactly(_FRAME_HEADER.size)
    length, request_number = _FRAME_HEADER.unpack(header)
    if (
        not _REQUEST_NUMBER_BYTES
        <= length
        <= MESSAGE_BYTES_MAX + _REQUEST_NUMBER_BYTES
    ):
        raise MessageError(
            f"a frame states a length of {length} bytes; allowed: the request "
            f"number of {_REQUEST_NUMBER_BYTES} bytes and a message of at most "
            f"{MESSAGE_BYTES_MAX} bytes"
        )
    hold(length)
    with anyio.fail_after(FRAME_BODY_TIMEOUT_S):
        body = await stream.receive_exactly(length - _REQUEST_NUMBER_BYTES)
    return request_number, body


class _PendingRequest:
    __slots__ = ("done", "reply")

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.reply: bytes | None = None


class _Connection:
    """One TCP connection, to which tasks write one complete frame at a time.

    Attributes:
        pending: Requests that wait for a reply, by request number.
        closed: Whether the connection was closed at this end.
        received_at: When the last frame arrived, or -1.
    """

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._lock = anyio.Lock()
        self.received_at = -1.0
        self.pending: dict[int, _PendingRequest] = {}
        self.closed = False

    @property
    def receive_stream(self) -> ByteReceiveStream:
        """The stream from which frames are read."""
        return self._stream

    async def write(self, request_number: int, body: bytes) -> None:
        """Writes one frame; closes the connection if the frame is cut short."""
        header = _FRAME_HEADER.pack(
            len(body) + _REQUEST_NUMBER_BYTES, request_number
        )
        complete = False
        async with self._lock:
            if self.closed:
                raise anyio.ClosedResourceError
            try:
                with anyio.fail_after(WRITE_TIMEOUT_S):
                    await self._stream.send(header + body)
                complete = True
            finally:
                if not complete:
                    await self.close()

    async def close(self) -> None:
        """Closes the connection and fails every pending request."""
        self.closed = True
        for pending in self.pending.values():
            pending.done.set()
        await anyio.aclose_forcefully(self._stream)


class SocketTransport(Transport):
    """The transport over TCP and UDP sockets.

    Attributes:
        port: The port bound for TCP and UDP, once started.
        frames_rejected: Number of connections closed for a malformed frame.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        close_unresponsive: bool = False,
        accepted_max: int = CONNECTIONS_MAX,
    ) -> None:
        """Stores the address, which `run` binds.

        Args:
            host: IP address.
            port: TCP and UDP port, 0 for any.
            accepted_max: Most accepted connections. Above that, one that has
                not sent a request, or sent one longest ago, is closed.
            close_unresponsive: Whether to close a connection on which a
                reply is overdue and nothing has arrived since the request, for
                networks in which a connection can stop delivering data for
                good without an error.
        """
        self._host = host
        self.port = port
        self._close_unresponsive = close_unresponsive
        self.frames_rejected = 0
        self._udp: UDPSocket | None = None
        self._udp_lock = anyio.Lock()
        self._tasks: TaskGroup | None = None
        self._connections: dict[str, _Connection] = {}
        self._connect_locks: dict[str, anyio.Lock] = {}
        self._last_request_number = 0
        self._accepted = ConnectionTable(min(accepted_max, CONNECTIONS_MAX))
        self._request_memory = CallerMemory(REQUEST_BYTES_MAX)

    async def run(
        self,
        on_datagram: OnDatagram,
        on_request: OnRequest,
        *,
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """See `Transport.run`.

        Raises:
            OSError: The address cannot be bound.
        """
        listener, udp = await self._bind()

        async def accept(stream: SocketStream) -> None:
            await self._serve_connection(stream, on_request)

        async with (
            listener,
            udp as self._udp,
            anyio.create_task_group() as self._tasks,
        ):
            self._tasks.start_soon(listener.serve, accept)
            task_status.started()
            async for data, _ in self._udp:
                await on_datagram(data)

    async def _bind(self) -> tuple[SocketListener, UDPSocket]:
        """Binds one port for TCP and UDP.

        A port that is free for TCP may be in use for UDP. Unless the port is
        given, up to `BIND_ATTEMPTS` ports are tried.
        """
        for attempt in range(BIND_ATTEMPTS):
            listener = await anyio.create_tcp_listener(
                local_host=self._host, local_port=self.port
            )
            port = listener.extra(SocketAttribute.local_port)
            try:
                udp = await anyio.create_udp_socket(
                    local_host=self._host, local_port=port
                )
            except OSError:
                await listener.aclose()
                if self.port or attempt == BIND_ATTEMPTS - 1:
                    raise
                continue
            self.port = port
            return listener, udp
        raise AssertionError("unreachable")

    async def send(self, address: str, data: bytes) -> None:
        """See `Transport.send`."""
        if self._udp is None or len(data) > DATAGRAM_BYTES_MAX:
            return
        try:
            host, port = split_address(address)
            with anyio.move_on_after(DATAGRAM_TIMEOUT_S):
                # The socket raises an error if two tasks write to it at once.
                async with self._udp_lock:
                    await self._udp.sendto(data, host, port)
        except (*_SOCKET_ERRORS, ValueError):
            # The sender can't tell this from a datagram lost in the network.
            return

    async def request(
        self, address: str, data: bytes, timeout_s: float
    ) -> bytes:
        """See `Transport.request`."""
        pending = _PendingRequest()
        written = False
        connection = None
        sent_at = anyio.current_time()
        self._last_request_number += 1
        request_number = self._last_request_number
        try:
            with anyio.fail_after(timeout_s):
                connection = await self._connect(address)
                if len(connection.pending) >= PENDING_REQUESTS_MAX:
                    raise PeerUnreachableError(
                        f"{address}: {PENDING_REQUESTS_MAX} requests wait for"
                        " a reply; no more are sent"
                    )
                connection.pending[request_number] = pending
                written = True
                await connection.write(request_number, data)
                await pending.done.wait()
        except _CONNECTION_ERRORS as exc:
            # A peer that answers other requests is slow, not gone. Closing its
            # connection would fail all of its pending requests.
            if (
                self._close_unresponsive
                and connection is not None
                and connection.received_at < sent_at
            ):
                await connection.close()
            error_class = PeerLostError if written else PeerUnreachableError
            detail = str(exc) or type(exc).__name__
            raise error_class(f"{address}: {detail}") from exc
        finally:
            if connection is not None:
                connection.pending.pop(request_number, None)
        if pending.reply is None:
            raise PeerLostError(
                f"{address}: the connection ended before the reply"
            )
        return pending.reply

    async def _connect(self, address: str) -> _Connection:
        if self._tasks is None:
            raise PeerUnreachableError("the transport is not running")
        lock = self._connect_locks.setdefault(address, anyio.Lock())
        async with lock:
            connection = self._connections.get(address)
            if connection is not None and not connection.closed:
                return connection
            if len(self._connections) >= CONNECTIONS_MAX:
                raise PeerUnreachableError(
                    f"{address}: {CONNECTIONS_MAX} connections to peers are "
                    "open; no more are opened"
                )
            try:
                host, port = split_address(address)
            except ValueError as exc:
                raise PeerUnreachableError(str(exc)) from exc
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(host, port)
            connection = _Connection(stream)
            self._connections[address] = connection
            self._tasks.start_soon(self._read_replies, address, connection)
            return connection

    async def _read_replies(
        self, address: str, connection: _Connection
    ) -> None:
        stream = BufferedByteReceiveStream(connection.receive_stream)
        try:
            while True:
                request_number, body = await _read_frame(stream)
                connection.received_at = anyio.current_time()
                pending = connection.pending.get(request_number)
                if pending is not None:
                    pending.reply = body
                    pending.done.set()
        except (*_CONNECTION_ERRORS, MessageError):
            return
        finally:
            if self._connections.get(address) is connection:
                del self._connections[address]
                self._connect_locks.pop(address, None)
            await connection.close()

    async def _serve_connection(
        self, stream: SocketStream, on_request: OnRequest
    ) -> None:
        connection = _Connection(stream)
        yielding = self._accepted.add(connection, anyio.current_time())
        if yielding is not None:
            await yielding.close()
        if yielding is connection:
            return
        try:
            async with anyio.create_task_group() as tasks:
                await self._read_requests(connection, on_request, tasks)
                tasks.cancel_scope.cancel()
        finally:
            self._accepted.remove(connection)
            await connection.close()

    async def _read_requests(
        self, connection: _Connection, on_request: OnRequest, tasks: TaskGroup
    ) -> None:
        stream = BufferedByteReceiveStream(connection.receive_stream)
        # Reading pauses while this many requests of the connection are handled.
        handler_slots = anyio.Semaphore(HANDLERS_MAX)

        async def handle(
            request_number: int, body: bytes, holding: Holding
        ) -> None:
            try:
                with anyio.move_on_after(HANDLER_TIMEOUT_S):
                    reply = await on_request(body)
                    if reply is not None:
                        await connection.write(request_number, reply)
            except _CONNECTION_ERRORS:
                return
            finally:
                holding.close()
                handler_slots.release()

        holding: Holding | None = None

        def hold(size: int) -> None:
            nonlocal holding
            now = anyio.current_time()
            holding = self._request_memory.open(
                None, now, tasks.cancel_scope.cancel
            )
            holding.grow(size, now)

        try:
            while True:
                request_number, body = await _read_frame(stream, hold)
                self._accepted.record_rest(connection)
                assert holding is not None
                holding.complete()
                await handler_slots.acquire()
                tasks.start_soon(handle, request_number, body, holding)
                holding = None
        except (MessageError, MemoryFullError):
            self.frames_rejected += 1
        except _CONNECTION_ERRORS:
            return
        finally:
            if holding is not None:
                holding.close()
