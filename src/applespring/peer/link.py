"""UDP datagrams and TCP requests between entry instances.

A TCP frame is a length (4 bytes, big-endian, of what follows), a request
number (8 bytes) and a message. One connection per peer carries the requests of
this instance; replies may arrive in any order.
"""

import struct

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
CONNECT_S = 1.0
WRITE_S = 5.0
FRAME_S = 10.0
IDLE_S = 300.0
HANDLE_S = 120.0
DATAGRAM_S = 0.5
PENDING_MAX = 256
HANDLERS_MAX = 256
CONNECTIONS_MAX = 1024
_HEAD = struct.Struct(">IQ")
_NUMBER_BYTES = 8
_BROKEN = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)
_ENDED = (*_BROKEN, anyio.EndOfStream, anyio.IncompleteRead, TimeoutError)


def split_address(address: str) -> tuple[str, int]:
    """Splits `IP:port`, with the IP in brackets if it is version 6.

    Raises:
        ValueError: The address has no port.
    """
    host, found, port = address.rpartition(":")
    if not found:
        raise ValueError(f"the address {address!r} has no port")
    return host.strip("[]"), int(port)


async def _read_frame(stream: BufferedByteReceiveStream) -> tuple[int, bytes]:
    with anyio.fail_after(IDLE_S):
        head = await stream.receive_exactly(_HEAD.size)
    length, number = _HEAD.unpack(head)
    if not _NUMBER_BYTES <= length <= MESSAGE_BYTES_MAX + _NUMBER_BYTES:
        raise MessageError(f"a frame of {length} bytes is out of bounds")
    with anyio.fail_after(FRAME_S):
        body = await stream.receive_exactly(length - _NUMBER_BYTES)
    return number, body


class _Pending:
    __slots__ = ("done", "reply")

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.reply: bytes | None = None


class _Channel:
    """One TCP connection with whole frames written one at a time."""

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._lock = anyio.Lock()
        self.pending: dict[int, _Pending] = {}
        self.closed = False

    @property
    def receiver(self) -> ByteReceiveStream:
        """The receiving side."""
        return self._stream

    async def write(self, number: int, body: bytes) -> None:
        """Writes one frame; closes the connection when it is cut short."""
        head = _HEAD.pack(len(body) + _NUMBER_BYTES, number)
        whole = False
        async with self._lock:
            if self.closed:
                raise anyio.ClosedResourceError
            try:
                with anyio.fail_after(WRITE_S):
                    await self._stream.send(head + body)
                whole = True
            finally:
                if not whole:
                    await self.close()

    async def close(self) -> None:
        """Closes the connection and ends every pending request."""
        self.closed = True
        for pending in self.pending.values():
            pending.done.set()
        await anyio.aclose_forcefully(self._stream)


class SocketTransport(Transport):
    """The transport over real sockets.

    Attributes:
        port: The bound port, for TCP and UDP alike, once started.
        frames_rejected: Number of connections closed for a malformed frame.
    """

    def __init__(
        self, host: str, port: int, *, close_silent: bool = False
    ) -> None:
        """Takes the address to bind.

        Args:
            host: IP address.
            port: TCP and UDP port, 0 for any.
            close_silent: Whether a connection on which a reply is overdue is
                closed, for networks in which connections go silent for good.
        """
        self._host = host
        self.port = port
        self._close_silent = close_silent
        self.frames_rejected = 0
        self._udp: UDPSocket | None = None
        self._udp_lock = anyio.Lock()
        self._tasks: TaskGroup | None = None
        self._channels: dict[str, _Channel] = {}
        self._connecting: dict[str, anyio.Lock] = {}
        self._number = 0
        self._accepted = 0

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
            await self._serve(stream, on_request)

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

        A free TCP port can be taken for UDP, so another is tried unless the
        port is given.
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
            with anyio.move_on_after(DATAGRAM_S):
                # The socket refuses to be written by two tasks at once.
                async with self._udp_lock:
                    await self._udp.sendto(data, host, port)
        except (*_BROKEN, ValueError):
            # A wrong address or network loses the datagram like any other.
            return

    async def request(
        self, address: str, data: bytes, timeout_s: float
    ) -> bytes:
        """See `Transport.request`."""
        pending = _Pending()
        written = False
        channel = None
        self._number += 1
        number = self._number
        try:
            with anyio.fail_after(timeout_s):
                channel = await self._connect(address)
                if len(channel.pending) >= PENDING_MAX:
                    raise PeerUnreachableError(
                        f"{address} has {PENDING_MAX} requests pending"
                    )
                channel.pending[number] = pending
                written = True
                await channel.write(number, data)
                await pending.done.wait()
        except _ENDED as exc:
            if self._close_silent and channel is not None:
                await channel.close()
            kind = PeerLostError if written else PeerUnreachableError
            detail = str(exc) or type(exc).__name__
            raise kind(f"{address}: {detail}") from exc
        finally:
            if channel is not None:
                channel.pending.pop(number, None)
        if pending.reply is None:
            raise PeerLostError(f"{address}: the connection ended")
        return pending.reply

    async def _connect(self, address: str) -> _Channel:
        if self._tasks is None:
            raise PeerUnreachableError("the transport is not running")
        lock = self._connecting.setdefault(address, anyio.Lock())
        async with lock:
            channel = self._channels.get(address)
            if channel is not None and not channel.closed:
                return channel
            if len(self._channels) >= CONNECTIONS_MAX:
                raise PeerUnreachableError(
                    f"{CONNECTIONS_MAX} connections to peers are open"
                )
            try:
                host, port = split_address(address)
            except ValueError as exc:
                raise PeerUnreachableError(str(exc)) from exc
            with anyio.fail_after(CONNECT_S):
                stream = await anyio.connect_tcp(host, port)
            channel = _Channel(stream)
            self._channels[address] = channel
            self._tasks.start_soon(self._read_replies, address, channel)
            return channel

    async def _read_replies(self, address: str, channel: _Channel) -> None:
        stream = BufferedByteReceiveStream(channel.receiver)
        try:
            while True:
                number, body = await _read_frame(stream)
                pending = channel.pending.get(number)
                if pending is not None:
                    pending.reply = body
                    pending.done.set()
        except (*_ENDED, MessageError):
            return
        finally:
            if self._channels.get(address) is channel:
                del self._channels[address]
                self._connecting.pop(address, None)
            await channel.close()

    async def _serve(self, stream: SocketStream, on_request: OnRequest) -> None:
        if self._accepted >= CONNECTIONS_MAX:
            await anyio.aclose_forcefully(stream)
            return
        self._accepted += 1
        channel = _Channel(stream)
        try:
            async with anyio.create_task_group() as tasks:
                await self._read_requests(channel, on_request, tasks)
                tasks.cancel_scope.cancel()
        finally:
            self._accepted -= 1
            await channel.close()

    async def _read_requests(
        self, channel: _Channel, on_request: OnRequest, tasks: TaskGroup
    ) -> None:
        stream = BufferedByteReceiveStream(channel.receiver)
        # Reading stops while as many requests are being handled.
        free = anyio.Semaphore(HANDLERS_MAX)

        async def handle(number: int, body: bytes) -> None:
            try:
                with anyio.move_on_after(HANDLE_S):
                    reply = await on_request(body)
                    if reply is not None:
                        await channel.write(number, reply)
            except _ENDED:
                return
            finally:
                free.release()

        try:
            while True:
                number, body = await _read_frame(stream)
                await free.acquire()
                tasks.start_soon(handle, number, body)
        except MessageError:
            self.frames_rejected += 1
        except _ENDED:
            return
