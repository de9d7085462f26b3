"""TCP connections that can be ended with a FIN or with a reset.

Closing a stream of anyio always sends a FIN first, so that it cannot be reset.
"""

import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskStatus

CHUNK_BYTES = 65536
BACKLOG = 512
Address = tuple[str, int]


class ConnError(Exception):
    """The connection failed, or was closed by this side."""


class Conn:
    """A TCP connection.

    Attributes:
        closed: Whether this side closed or reset it.
    """

    __slots__ = ("closed", "_sock")

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.closed = False
        self._sock = sock

    async def receive(self) -> bytes:
        """Returns the next bytes, empty after the peer's FIN.

        Raises:
            ConnError: The connection failed or was closed by this side.
        """
        while not self.closed:
            try:
                return self._sock.recv(CHUNK_BYTES)
            except BlockingIOError:
                await self._wait(anyio.wait_readable)
            except OSError as exc:
                raise ConnError(type(exc).__name__) from exc
        raise ConnError("closed by this side")

    async def send(self, data: bytes) -> None:
        """Writes all bytes.

        Raises:
            ConnError: The connection failed or was closed by this side.
        """
        remaining = memoryview(data)
        while remaining:
            if self.closed:
                raise ConnError("closed by this side")
            try:
                remaining = remaining[self._sock.send(remaining) :]
            except BlockingIOError:
                await self._wait(anyio.wait_writable)
            except OSError as exc:
                raise ConnError(type(exc).__name__) from exc

    async def _wait(
        self, wait: Callable[[socket.socket], Awaitable[None]]
    ) -> None:
        try:
            await wait(self._sock)
        except (anyio.ClosedResourceError, OSError, ValueError) as exc:
            raise ConnError("closed by this side") from exc

    def send_eof(self) -> None:
        """Sends a FIN; the connection can still receive."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Closes the connection with a FIN."""
        if not self.closed:
            self.closed = True
            anyio.notify_closing(self._sock)
            self._sock.close()

    def reset(self) -> None:
        """Closes the connection with a reset, without a FIN."""
        if not self.closed:
            with contextlib.suppress(OSError):
                linger = struct.pack("ii", 1, 0)
                self._sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
            self.close()


async def connect(address: Address, limit_s: float) -> Conn:
    """Returns a new connection.

    Raises:
        ConnError: It was refused or not established within the limit.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        with anyio.fail_after(limit_s):
            error = sock.connect_ex(address)
            if error:
                await anyio.wait_writable(sock)
                error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    except TimeoutError as exc:
        sock.close()
        raise ConnError(
            f"no connection to {address[0]}:{address[1]} within {limit_s:g} s"
        ) from exc
    except BaseException:
        sock.close()
        raise
    if error:
        sock.close()
        raise ConnError(f"{address[0]}:{address[1]} refused: errno {error}")
    return Conn(sock)


async def serve(
    address: Address,
    handle: Callable[[Conn], Awaitable[None]],
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Accepts connections until cancelled; each is closed after its handler."""
    with socket.create_server(address, backlog=BACKLOG) as listener:
        listener.setblocking(False)
        async with anyio.create_task_group() as tasks:

            async def run(conn: Conn) -> None:
                try:
                    await handle(conn)
                except ConnError:
                    # The peer disconnected; only the socket is to be closed.
                    pass
                finally:
                    conn.close()

            task_status.started()
            while True:
                await anyio.wait_readable(listener)
                with contextlib.suppress(BlockingIOError, ConnectionError):
                    tasks.start_soon(run, Conn(listener.accept()[0]))
