"""Minimal stand-ins of upstreams, platform and peers, in one process."""

import asyncio
import contextlib
import os
import random
import socket
from collections import Counter
from collections.abc import Callable

import orjson

from applespring.core import gossip, placement
from applespring.core.errors import MessageError
from applespring.peer import codec
from applespring.peer.message import Heartbeat, HeartbeatEcho
from bench.slope_document import DOMAINS, make_entries
from bench.slope_parts import make_heartbeat

HOST = "127.0.0.1"
HEARTBEAT_S = 1.0
_FIRST_PORT = 15_000 + os.getpid() % 500 * 20
_PORTS = iter(range(_FIRST_PORT, 30_000))
LOAD_RESPONSE = (
    b'{"state":"serving","running":1,"waiting":0,"slots":32,"age_ms":20}'
)
NO_EVENTS_RESPONSE = b'{"events":[]}'

Respond = Callable[[str], tuple[float, bytes]]


class HttpProtocol(asyncio.Protocol):
    """Answers HTTP requests without a body and counts bytes.

    An empty answer of `respond` aborts the connection.
    """

    def __init__(
        self, respond: Respond, count: Callable[[int, int], None]
    ) -> None:
        self._respond = respond
        self._count = count
        self._data = b""
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio when a client has connected."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answers every complete request, each after its delay."""
        self._count(len(data), 0)
        self._data += data
        while b"\r\n\r\n" in self._data:
            head, _, self._data = self._data.partition(b"\r\n\r\n")
            delay_s, answer = self._respond(head.split(b" ", 2)[1].decode())
            if not answer:
                self._transport.abort()
                return
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._send, answer)

    def _send(self, answer: bytes) -> None:
        if not self._transport.is_closing():
            self._count(0, len(answer))
            self._transport.write(answer)


class DatagramReceiver(asyncio.DatagramProtocol):
    """Passes the datagrams of one peer's socket to a function."""

    def __init__(self, receive: Callable[[bytes], None]) -> None:
        self.receive = receive

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Called by asyncio for each datagram."""
        del addr
        self.receive(data)


class ControlStandIns:
    """Stand-ins of all that the control plane of one entry instance talks to.

    Attributes:
        name: Name of the entry instance that is measured.
        document: The configuration document that the platform serves.
        entries: Items of the instance list that the platform serves.
        counts: Messages and bytes by interface and direction, as seen from
            the entry instance.
        outage: Whether the platform resets its connections.
        platform: Address of the platform.
        peer_port: Port of the entry instance's peer link.
    """

    def __init__(self, peer_port: int) -> None:
        self.name = ""
        self.document = ""
        self.entries: list[dict] = []
        self.counts: Counter[str] = Counter()
        self.outage = False
        self.platform = ""
        self.peer_port = peer_port
        self._rng = random.Random(1)
        self._resources = contextlib.AsyncExitStack()
        self._peers: list[asyncio.DatagramTransport] = []
        self._tasks: list[asyncio.Task] = []
        self._sequence = 1

    async def open(self, upstreams: int, peers: int) -> tuple[str, ...]:
        """Opens all sockets; returns the addresses of the upstreams."""
        loop = asyncio.get_running_loop()
        addresses = []
        for _ in range(upstreams):
            addresses.append(await self._listen(self._respond_upstream, "load"))
        self.platform = await self._listen(self._respond_platform, "platform")
        peer_addresses = []
        for number in range(peers):

            def receive(data: bytes, number: int = number) -> None:
                self._receive_datagram(number, data)

            transport, _ = await loop.create_datagram_endpoint(
                lambda r=receive: DatagramReceiver(r), local_addr=(HOST, 0)
            )
            self._resources.callback(transport.close)
            self._peers.append(transport)
            port = transport.get_extra_info("sockname")[1]
            peer_addresses.append(f"{HOST}:{port}")
        self.entries = make_entries(addresses, peer_addresses)
        self._choose_name()
        return tuple(addresses)

    def start(self) -> None:
        """Starts sending the peers' heartbeats."""
        self._tasks.append(asyncio.create_task(self._send_heartbeats()))

    async def close(self) -> None:
        """Stops the heartbeats and closes all sockets."""
        for task in self._tasks:
            task.cancel()
        await self._resources.aclose()

    async def _listen(self, respond: Respond, interface: str) -> str:
        def count(received: int, sent: int) -> None:
            # Counts are named from the side of the entry instance: what a
            # stand-in receives is sent.
            self.counts[f"{interface} sent"] += received
            self.counts[f"{interface} received"] += sent
            self.counts[f"{interface} calls"] += received > 0

        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: HttpProtocol(respond, count), HOST, 0, backlog=1024
        )
        self._resources.callback(server.close)
        return f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def _respond_upstream(self, path: str) -> tuple[float, bytes]:
        events = path.startswith("/v1/cache_events")
        self.counts["cache reads" if events else "load polls"] += 1
        return 0.0, _answer(
            200, NO_EVENTS_RESPONSE if events else LOAD_RESPONSE
        )

    def _respond_platform(self, path: str) -> tuple[float, bytes]:
        if self.outage:
            return 0.0, b""
        wait_s = 0.0
        known = 0
        for field in path.partition("?")[2].split("&"):
            name, _, value = field.partition("=")
            wait_s = float(value) if name == "wait_s" else wait_s
            known = int(value) if name == "after" else known
        if known >= 1:
            return wait_s, _answer(304, b"")
        if path.startswith("/v1/config"):
            return 0.0, _answer(200, self.document.encode())
        body = {"revision": 1, "instances": self.entries}
        return 0.0, _answer(200, orjson.dumps(body))

    def _choose_name(self) -> None:
        """Sets a name that puts the instance in its key group.

        The members of a key group have the highest control plane load.
        """
        address = f"{HOST}:{self.peer_port}"
        for number in range(1000):
            self.name = f"measured-{number}"
            self._domains = {
                entry["name"]: entry["failure_domain"]
                for entry in self.entries
                if entry["role"] == "entry"
            } | {self.name: "domain-0"}
            self._groups = {
                f"domain-{n}": placement.choose_group(
                    f"domain-{n}",
                    [p for p, d in self._domains.items() if d == f"domain-{n}"],
                )
                for n in range(DOMAINS)
            }
            if self.name in self._groups["domain-0"]:
                break
        item = {"name": self.name, "role": "entry", "address": address}
        self.entries.append(
            item | {"failure_domain": "domain-0", "state": "live"}
        )

    async def _send_heartbeats(self) -> None:
        """Sends those heartbeats of all peers that the instance receives."""
        while True:
            self._sequence += 1
            step_s = HEARTBEAT_S / max(1, len(self._peers))
            for number in range(len(self._peers)):
                self._send_heartbeat(number)
                await asyncio.sleep(step_s)

    def _send_heartbeat(self, number: int) -> None:
        name, domain = f"entry-{number}", f"domain-{number % DOMAINS}"
        chosen = gossip.choose_heartbeat_peers(
            name, domain, self._domains, self._groups[domain], self._rng
        )
        if self.name not in chosen:
            return
        heartbeat = make_heartbeat(number, 16, self._sequence)
        heartbeat.config_revision = heartbeat.list_revision = 1
        heartbeat.leaving = ()
        heartbeat.view_digest = placement.view_digest(
            domain, self._groups[domain]
        )
        self._send(number, codec.encode(heartbeat))
        self.counts["heartbeats received"] += 1

    def _send(self, number: int, data: bytes) -> None:
        self.counts["peers received"] += len(data)
        self._peers[number].sendto(data, (HOST, self.peer_port))

    def _receive_datagram(self, number: int, data: bytes) -> None:
        self.counts["peers sent"] += len(data)
        with contextlib.suppress(MessageError):
            message = codec.decode(data)
            if isinstance(message, Heartbeat):
                self.counts["heartbeats sent"] += 1
                if f"entry-{number}" in self._groups["domain-0"]:
                    echo = HeartbeatEcho(
                        name=f"entry-{number}",
                        incarnation=2**62 + number,
                        view_digest=message.view_digest,
                        moves=0,
                        sequence=message.sequence,
                    )
                    self._send(number, codec.encode(echo))


def _answer(status: int, body: bytes) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nApplespring-Revision: 1\r\n"
    if status == 200:
        head += f"Content-Length: {len(body)}\r\n"
    return f"{head}\r\n".encode() + body


def find_port() -> int:
    """Returns a port free for TCP and UDP.

    It is below the ports that the kernel assigns to sockets bound to port 0.
    """
    for port in _PORTS:
        with (
            contextlib.suppress(OSError),
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind((HOST, port))
            udp.bind((HOST, port))
            return port
    raise SystemExit(f"no port from {_FIRST_PORT} to 29999 is free")
