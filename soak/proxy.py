"""Loopback proxies that stand in the way of connections and datagrams."""

import contextlib
import socket

import anyio
from anyio.abc import TaskStatus

from soak.net import Address, Conn, ConnError, connect, serve

# How often a silent direction is looked at.
BLOCKED_POLL_S = 0.02
CONNECT_LIMIT_S = 1.0


class LinkFaults:
    """Faults of the way to one address; several may hold at once.

    Attributes:
        delay_s: Added to each transfer.
        silent_to: Number of faults by which nothing reaches the address.
        silent_from: Number of those by which nothing comes back from it.
        refusing: Number of those by which new connections are reset.
    """

    __slots__ = ("delay_s", "blocked_to", "blocked_from", "refusing")

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.blocked_to = 0
        self.blocked_from = 0
        self.refusing = 0


class _ProxiedConnection:
    """One connection and its other half."""

    __slots__ = ("client", "server", "blocked")

    def __init__(self, client: Conn, server: Conn) -> None:
        self.client = client
        self.server = server
        self.blocked = False

    def reset(self) -> None:
        self.client.reset()
        self.server.reset()


class TcpProxy:
    """Passes connections on to an address.

    Bytes are held, not lost, while a direction is silent: that is what the
    kernel's repetitions come to after a short cut.

    Attributes:
        faults: Faults in force.
    """

    def __init__(
        self, listen: Address, target: Address, faults: LinkFaults
    ) -> None:
        self.faults = faults
        self._listen = listen
        self._target = target
        self._connections: set[_ProxiedConnection] = set()

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled."""
        await serve(self._listen, self._serve, task_status=task_status)

    def reset_all(self) -> None:
        """Resets every connection."""
        for connection in list(self._connections):
            connection.reset()

    def block_connections(self) -> None:
        """Silences every connection that is open, for good."""
        for connection in self._connections:
            connection.blocked = True

    async def _serve(self, client: Conn) -> None:
        if self.faults.refusing:
            client.reset()
            return
        try:
            server = await connect(self._target, CONNECT_LIMIT_S)
        except ConnError:
            client.reset()
            return
        connection = _ProxiedConnection(client, server)
        self._connections.add(connection)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._forward, connection, client, server)
                tasks.start_soon(self._forward, connection, server, client)
        finally:
            self._connections.discard(connection)
            server.close()

    async def _forward(
        self, connection: _ProxiedConnection, source: Conn, sink: Conn
    ) -> None:
        """Passes one direction on, up to its end."""
        to_target = source is connection.client
        try:
            while True:
                data = await source.receive()
                if self.faults.delay_s:
                    await anyio.sleep(self.faults.delay_s)
                while connection.blocked or self._is_blocked(to_target):
                    if source.closed:
                        return
                    await anyio.sleep(BLOCKED_POLL_S)
                if not data:
                    sink.send_eof()
                    return
                await sink.send(data)
        except ConnError:
            # The other half must end alike.
            connection.reset()

    def _is_blocked(self, to_target: bool) -> bool:
        faults = self.faults
        return bool(faults.blocked_to if to_target else faults.blocked_from)


class UdpProxy:
    """Passes datagrams on to an address; silent ones are lost.

    Attributes:
        faults: Faults in force.
    """

    def __init__(
        self, listen: Address, target: Address, faults: LinkFaults
    ) -> None:
        self.faults = faults
        self._listen = listen
        self._target = target

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.setblocking(False)

            async def forward(data: bytes) -> None:
                await anyio.sleep(self.faults.delay_s)
                if not self.faults.blocked_to:
                    # What the kernel does not take at once is lost.
                    with contextlib.suppress(OSError):
                        sender.sendto(data, self._target)

            async with (
                await anyio.create_udp_socket(
                    local_host=self._listen[0], local_port=self._listen[1]
                ) as receiver,
                anyio.create_task_group() as tasks,
            ):
                task_status.started()
                async for data, _ in receiver:
                    tasks.start_soon(forward, data)
