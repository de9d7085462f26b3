"""Loopback proxies that inject network faults into TCP and UDP links."""

import contextlib
import socket

import anyio
from anyio.abc import TaskStatus

from soak.net import Address, Conn, ConnError, connect, serve

# Interval at which a blocked direction is checked again.
BLOCKED_POLL_S = 0.02
CONNECT_LIMIT_S = 1.0


class LinkFaults:
    """Faults of the link to one address; several may be active at once.

    Attributes:
        delay_s: Delay of each transfer, in both directions.
        blocked_to: Number of active faults that block traffic to the address.
        blocked_from: Number of active faults that block traffic from it.
        refusing: Number of active faults that reset new connections.
    """

    __slots__ = ("delay_s", "blocked_to", "blocked_from", "refusing")

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.blocked_to = 0
        self.blocked_from = 0
        self.refusing = 0


class _ProxiedConnection:
    """A connection of a client and the connection to the target."""

    __slots__ = ("client", "server", "blocked")

    def __init__(self, client: Conn, server: Conn) -> None:
        self.client = client
        self.server = server
        self.blocked = False

    def reset(self) -> None:
        self.client.reset()
        self.server.reset()


class TcpProxy:
    """Forwards connections to an address.

    Bytes are delayed, not lost, while a direction is blocked: after a short
    network outage, the retransmissions of TCP have the same effect.

    Attributes:
        faults: Active faults of the link.
    """

    def __init__(
        self, listen: Address, target: Address, faults: LinkFaults
    ) -> None:
        self.faults = faults
        self._listen = listen
        self._target = target
        self._connections: set[_ProxiedConnection] = set()
        self._closed_scope = anyio.CancelScope()
        self._reopened = anyio.Event()

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled."""
        started = False
        while True:
            with self._closed_scope:
                status = anyio.TASK_STATUS_IGNORED if started else task_status
                started = True
                await serve(self._listen, self._serve, task_status=status)
            await self._reopened.wait()
            self._closed_scope = anyio.CancelScope()

    def close_port(self) -> None:
        """Ends all connections and refuses new ones, as an ended process."""
        self._reopened = anyio.Event()
        self._closed_scope.cancel()
        self.reset_all()

    def open_port(self) -> None:
        """Accepts connections again."""
        self._reopened.set()

    def reset_all(self) -> None:
        """Resets every open connection."""
        for connection in list(self._connections):
            connection.reset()

    def block_connections(self) -> None:
        """Blocks both directions of every open connection permanently."""
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
        """Forwards one direction until its FIN or an error."""
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
            # The other connection must end with a reset, too.
            connection.reset()

    def _is_blocked(self, to_target: bool) -> bool:
        faults = self.faults
        return bool(faults.blocked_to if to_target else faults.blocked_from)


class UdpProxy:
    """Forwards datagrams to an address; those of a blocked link are lost.

    Attributes:
        faults: Active faults of the link.
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
                    # A datagram that the kernel does not accept is lost.
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
