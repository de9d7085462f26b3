"""Gossip between relay instances: who is there, and what they know."""

import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

import anyio
from anyio.abc import TaskStatus
from loguru import logger

from applespring.core.errors import ApplespringError, MessageError
from applespring.core.peer_table import Peer, PeerState, PeerTable
from applespring.peer import message
from applespring.peer.codec import DATAGRAM_BYTES_MAX, decode, encode
from applespring.peer.transport import PeerUnreachableError, Transport

HEARTBEAT_INTERVAL_S = 0.25
# In a large fleet: interval, and instances that get a heartbeat each time.
LARGE_FLEET_HEARTBEAT_INTERVAL_S = 0.5
LARGE_FLEET_FANOUT = 6
# Rows of other instances in one heartbeat, so that it fits a datagram: those
# heard of last, so that news spreads, and any others.
NEWEST_ROWS_MAX = 4
RANDOM_ROWS_MAX = 6
LOADS_MAX = 8
# In a large fleet rows spread over seconds. An instance that has just started
# asks a peer for all of them: for so long, and with a pause that is short until
# the first one has answered.
JOIN_DURATION_S = 4.0
JOIN_PAUSE_S = 0.4
JOIN_FIRST_PAUSE_S = 0.1
# Seeds that are not known yet are asked each so many heartbeats.
HEARTBEATS_PER_SEED_CONTACT = 4
QUEUE_WAITS_MAX = 8
# A reply to a message between instances takes milliseconds; a silent
# connection is closed after this time.
REPLY_TIMEOUT_S = 0.4


class GossipSource(Protocol):
    """What the rest of the instance contributes to gossip."""

    def document_version(self) -> int:
        """Returns the version of the document in force."""

    def entries_revision(self) -> int:
        """Returns the revision up to which entries are known."""

    def loads(self) -> Iterable[message.UpstreamLoad]:
        """Returns the instance's own load at upstreams, largest first."""

    def queue_waits(self) -> Iterable[message.PoolWait]:
        """Returns the waiting times of the queues that it keeps."""

    def record_gossip(self, sender: str, gossip: message.Gossip) -> None:
        """Takes the gossip of another instance."""


Handler = Callable[[message.Message], Awaitable[message.Message]]


class Peers:
    """The link to other instances.

    Attributes:
        table: What is known of them.
        name: Name of this instance.
        incarnation: Number of its start.
        address: IP:port of its own link.
        leaving: Whether this instance is shutting down.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        failure_domain: str,
        address: str,
        link_mbps: float,
        table: PeerTable,
        transport: Transport,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.table = table
        self.name = name
        self.incarnation = incarnation
        self.address = address
        self.leaving = False
        self.seeds: tuple[str, ...] = ()
        self._failure_domain = failure_domain
        self._transport = transport
        self._clock = clock
        self._link_mbps = link_mbps
        self._rng = rng
        self._sequence = 0
        self._heartbeat_count = 0
        self._handlers: dict[type[message.Message], Handler] = {}
        self._gossip_source: GossipSource | None = None
        self.register_handler(message.FetchPeers, self._on_fetch_peers)

    def set_gossip_source(self, source: GossipSource) -> None:
        """Names the part that contributes to gossip."""
        self._gossip_source = source

    def register_handler(
        self, kind: type[message.Message], handler: Handler
    ) -> None:
        """Registers the handler of a kind of message."""
        self._handlers[kind] = handler

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves and sends heartbeats until cancelled."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(
                self._transport.run, self._on_datagram, self._on_request
            )
            task_status.started()
            tasks.start_soon(self._join)
            while True:
                await self._send_heartbeat()
                large = self.table.exceeds_full_mesh
                await anyio.sleep(
                    LARGE_FLEET_HEARTBEAT_INTERVAL_S
                    if large
                    else HEARTBEAT_INTERVAL_S
                )

    async def _join(self) -> None:
        """Learns of all instances, as long as this one is new."""
        join_until = self._clock() + JOIN_DURATION_S
        pause_s = JOIN_FIRST_PAUSE_S
        while self._clock() < join_until:
            await anyio.sleep(pause_s)
            known = [peer.address for peer in self.table.all_peers()]
            others = sorted({*known, *self.seeds} - {self.address})
            if not others:
                continue
            request = message.FetchPeers(sender=self.local_row())
            try:
                reply = await self.request(self._rng.choice(others), request)
            except ApplespringError as exc:
                logger.bind(event="fetch_failed", what="peers").info("{}", exc)
                continue
            if isinstance(reply, message.PeerList):
                pause_s = JOIN_PAUSE_S
                for row in reply.peers:
                    self._record_row(row, self._clock(), direct=False)

    async def _on_fetch_peers(self, msg: message.FetchPeers) -> message.Message:
        now = self._clock()
        self._record_row(msg.sender, now, direct=True)
        reachable = self.table.reachable(now)
        rows = [_to_row(peer) for peer in reachable]
        return message.PeerList(peers=(self.local_row(), *rows))

    async def announce(self) -> None:
        """Sends everyone a heartbeat, after a change that others need."""
        await self._send_heartbeat(to_all=True)

    async def request(
        self, address: str, msg: message.Message
    ) -> message.Message:
        """Sends a message and returns the reply.

        Raises:
            PeerUnreachableError: Nothing was sent.
            PeerLostError: The peer may have received it.
            MessageError: The reply cannot be decoded.
        """
        if address == self.address:
            return await self._dispatch(msg)
        data = await self._transport.request(
            address, encode(msg), REPLY_TIMEOUT_S
        )
        return decode(data)

    def address_of(self, name: str) -> str:
        """Returns the address of an instance.

        Raises:
            PeerUnreachableError: The instance is not known.
        """
        if name == self.name:
            return self.address
        peer = self.table.get(name)
        if peer is None:
            raise PeerUnreachableError(f"instance {name} is not known")
        return peer.address

    def local_row(self) -> message.PeerRow:
        """Returns what this instance says of itself."""
        source = self._gossip_source
        return message.PeerRow(
            name=self.name,
            incarnation=self.incarnation,
            address=self.address,
            failure_domain=self._failure_domain,
            state=PeerState.LEAVING if self.leaving else PeerState.LIVE,
            sequence=self._sequence,
            document_version=source.document_version() if source else 0,
            link_mbps=self._link_mbps,
            entries_revision=source.entries_revision() if source else 0,
        )

    def _choose_addresses(self, to_all: bool) -> list[str]:
        """Returns the addresses of this interval's heartbeat."""
        known = sorted(p.address for p in self.table.all_peers())
        addresses = known
        if self.table.exceeds_full_mesh and not to_all:
            addresses = self._rng.sample(known, LARGE_FLEET_FANOUT)
        if (
            self._heartbeat_count % HEARTBEATS_PER_SEED_CONTACT == 0
            or not known
        ):
            addresses = [*addresses, *(s for s in self.seeds if s not in known)]
        self._heartbeat_count += 1
        return [address for address in addresses if address != self.address]

    def _choose_rows(self) -> list[message.PeerRow]:
        """Returns what this heartbeat says of other instances."""
        known = self.table.all_peers()
        known.sort(key=lambda peer: -peer.received_at)
        newest, remaining = known[:NEWEST_ROWS_MAX], known[NEWEST_ROWS_MAX:]
        others = self._rng.sample(
            remaining, min(RANDOM_ROWS_MAX, len(remaining))
        )
        return [_to_row(peer) for peer in (*newest, *others)]

    async def _send_heartbeat(self, *, to_all: bool = False) -> None:
        self._sequence += 1
        self.table.expire(self._clock())
        data = self._encode(self._choose_rows())
        addresses = self._choose_addresses(to_all)
        for address in addresses:
            await self._transport.send(address, data)
        if (
            self.table.exceeds_full_mesh
            and not to_all
            and self._schedules_pools()
        ):
            # Everyone submits to a keeper and needs its waiting times.
            heartbeat = self._encode([])
            for peer in self.table.all_peers():
                if peer.address not in addresses:
                    await self._transport.send(peer.address, heartbeat)

    def _schedules_pools(self) -> bool:
        return self._gossip_source is not None and any(
            self._gossip_source.queue_waits()
        )

    def _encode(self, rows: list[message.PeerRow]) -> bytes:
        loads = list(self._gossip_source.loads()) if self._gossip_source else []
        waits = (
            list(self._gossip_source.queue_waits())
            if self._gossip_source
            else []
        )
        loads = loads[:LOADS_MAX]
        while True:
            gossip = message.Gossip(
                sender=self.local_row(),
                peers=rows,
                loads=loads,
                waits=waits[:QUEUE_WAITS_MAX],
            )
            data = encode(gossip)
            if len(data) <= DATAGRAM_BYTES_MAX or not (rows or loads):
                return data
            rows, loads = rows[: len(rows) // 2], loads[: len(loads) // 2]

    async def _on_datagram(self, data: bytes) -> None:
        try:
            gossip = decode(data, DATAGRAM_BYTES_MAX)
        except MessageError as exc:
            logger.bind(event="gossip_rejected").warning("{}", exc)
            return
        if not isinstance(gossip, message.Gossip):
            return
        now = self._clock()
        if gossip.sender.name == self.name:
            return
        self._record_row(gossip.sender, now, direct=True)
        for row in gossip.peers:
            self._record_row(row, now, direct=False)
        if self._gossip_source is not None:
            self._gossip_source.record_gossip(gossip.sender.name, gossip)

    def _record_row(
        self, row: message.PeerRow, now: float, *, direct: bool
    ) -> None:
        peer = Peer(
            row.name,
            row.incarnation,
            row.address,
            row.failure_domain,
            row.state,
            row.sequence,
            row.document_version,
            row.link_mbps,
            row.entries_revision,
        )
        if self.table.record_heartbeat(peer, now, direct=direct):
            logger.bind(
                event="peer_found",
                peer=row.name,
                incarnation=row.incarnation,
                direct=direct,
            ).info("instance found")

    async def _on_request(self, data: bytes) -> bytes | None:
        try:
            reply = await self._dispatch(decode(data))
        except ApplespringError as exc:
            logger.bind(event="peer_request_failed").warning("{}", exc)
            return None
        return encode(reply)

    async def _dispatch(self, msg: message.Message) -> message.Message:
        handler = self._handlers.get(type(msg))
        if handler is None:
            raise MessageError(f"no handler for {type(msg).__name__}")
        return await handler(msg)


def _to_row(peer: Peer) -> message.PeerRow:
    return message.PeerRow(
        name=peer.name,
        incarnation=peer.incarnation,
        address=peer.address,
        failure_domain=peer.failure_domain,
        state=peer.state,
        sequence=peer.sequence,
        document_version=peer.document_version,
        link_mbps=peer.link_mbps,
        entries_revision=peer.entries_revision,
    )
