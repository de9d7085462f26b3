"""Messages between relay instances: heartbeats with gossip, and requests."""

import random
from collections.abc import Awaitable, Callable, Iterable, Sequence
from functools import partial
from typing import Protocol

import anyio
from anyio.abc import TaskStatus
from loguru import logger

from applespring.core.errors import ApplespringError, MessageError
from applespring.core.peer_table import Peer, PeerState, PeerTable
from applespring.peer import message
from applespring.peer.codec import DATAGRAM_BYTES_MAX, decode, encode
from applespring.peer.transport import PeerUnreachableError, Transport
from applespring.quarantine.crash_messages import split_crashes

HEARTBEAT_INTERVAL_S = 0.25
# Above FULL_MESH_PEERS_MAX other instances, heartbeats are less frequent and go
# to this many random instances.
LARGE_FLEET_HEARTBEAT_INTERVAL_S = 0.5
LARGE_FLEET_FANOUT = 6
# States of other instances in one heartbeat, so that it fits a datagram: the
# most recently received ones, so that updates spread, and random others.
NEWEST_ROWS_MAX = 4
RANDOM_ROWS_MAX = 6
LOADS_MAX = 8
# In a large fleet the state of an instance takes seconds to spread. An instance
# that has just started therefore requests the states of all others from random
# peers: for this time, with a pause between requests that is shorter until the
# first peer has answered.
JOIN_DURATION_S = 4.0
JOIN_PAUSE_S = 0.4
JOIN_FIRST_PAUSE_S = 0.1
# How long an instance waits for the first answer before it takes itself for the
# only one.
JOIN_WAIT_S = 0.5
# Seeds that are not in the peer table get one out of this many heartbeats.
HEARTBEATS_PER_SEED_CONTACT = 4
QUEUE_WAITS_MAX = 8
# A peer replies within milliseconds; a connection without a reply is closed
# after this time.
REPLY_TIMEOUT_S = 0.4


class GossipSource(Protocol):
    """Supplies what this instance reports, and records the gossip of peers."""

    def document_version(self) -> int:
        """Returns the version of the document in force."""

    def entries_revision(self) -> int:
        """Returns the revision up to which upstream entries are held."""

    def evacuations_revision(self) -> int:
        """Returns the revision of the last known change of evacuations."""

    def loads(self) -> Iterable[message.UpstreamLoad]:
        """Returns the local load at each upstream, largest first."""

    def queue_waits(self) -> Iterable[message.PoolWait]:
        """Returns the queue waits of the pools scheduled here."""

    def record_gossip(self, sender: str, gossip: message.Gossip) -> None:
        """Records loads and queue waits reported by another instance."""


Handler = Callable[[message.Message], Awaitable[message.Message]]


class Peers:
    """Messages from and to the other instances.

    Attributes:
        table: Last known state of the other instances.
        name: Name of this instance.
        incarnation: Time of day at its start; distinguishes its starts.
        address: IP:port of its peer link.
        leaving: Whether this instance is shutting down.
        seeds: Peer addresses that get heartbeats before they are in the table.
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
        # Set to send the next heartbeat before its time.
        self._heartbeat_due = anyio.Event()
        self._handlers: dict[type[message.Message], Handler] = {}
        self._gossip_source: GossipSource | None = None
        self._crash_receiver: Callable[[message.Gossip], None] | None = None
        self._list_limits: Callable[[], Sequence[message.UpstreamRate]] = tuple
        self._receive_limits: (
            Callable[[Sequence[message.UpstreamRate]], None] | None
        ) = None
        self._list_cold: Callable[[], Sequence[message.ColdUpstream]] = tuple
        self._receive_cold: (
            Callable[[Sequence[message.ColdUpstream]], None] | None
        ) = None
        # Set once a peer has named the other instances, or none answers.
        self._joined = anyio.Event()
        self.register_handler(message.FetchPeers, self._on_fetch_peers)

    def set_gossip_source(self, source: GossipSource) -> None:
        """Sets the source; without one, heartbeats carry no loads or waits."""
        self._gossip_source = source

    def set_crash_receiver(
        self, receive: Callable[[message.Gossip], None]
    ) -> None:
        """Sets what is called with the gossip of peers that has crashes."""
        self._crash_receiver = receive

    def set_limit_exchange(
        self,
        list_limits: Callable[[], Sequence[message.UpstreamRate]],
        receive_limits: Callable[[Sequence[message.UpstreamRate]], None],
    ) -> None:
        """Sets the source and the receiver of upstreams' rate limits.

        Args:
            list_limits: Returns those to send, the most important first.
            receive_limits: Called with those that a peer sends.
        """
        self._list_limits = list_limits
        self._receive_limits = receive_limits

    def set_cold_exchange(
        self,
        list_cold: Callable[[], Sequence[message.ColdUpstream]],
        receive_cold: Callable[[Sequence[message.ColdUpstream]], None],
    ) -> None:
        """Sets the source and the receiver of cold upstreams.

        Args:
            list_cold: Returns those to send with the next heartbeat.
            receive_cold: Called with those that a peer sends.
        """
        self._list_cold = list_cold
        self._receive_cold = receive_cold

    def reachable_names(self) -> list[str]:
        """Returns the names of the other instances that can be reached."""
        return [p.name for p in self.table.reachable(self._clock())]

    async def request_trial(
        self, decider: str, trial: message.Trial
    ) -> message.Message:
        """Asks an instance, which may be this one, for a trial.

        Raises:
            PeerError: It did not answer.
            MessageError: The reply cannot be decoded.
        """
        return await self.request(self.address_of(decider), trial)

    async def send_crashes(
        self,
        crashes: Sequence[message.UpstreamCrash],
        histories: Sequence[message.CandidateHistory],
        *,
        to_all: bool,
    ) -> None:
        """Sends crashes of upstreams.

        Args:
            crashes: The crashes.
            histories: What is known of their candidates.
            to_all: Whether to send it to all instances, or to those that would
                get the next heartbeat.
        """
        addresses = self._choose_addresses(to_all)
        make_gossip = partial(message.Gossip, sender=self.local_row())
        for data in split_crashes(make_gossip, crashes, histories):
            for address in addresses:
                await self._transport.send(address, data)

    def register_handler(
        self, kind: type[message.Message], handler: Handler
    ) -> None:
        """Registers the handler of a message type, replacing any other."""
        self._handlers[kind] = handler

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Answers peers and sends heartbeats until cancelled.

        `task_status` reports the start once the transport receives messages.
        """
        async with anyio.create_task_group() as tasks:
            await tasks.start(
                self._transport.run, self._on_datagram, self._on_request
            )
            task_status.started()
            tasks.start_soon(self._join)
            while True:
                await self._send_heartbeat()
                large = self.table.exceeds_full_mesh
                with anyio.move_on_after(
                    LARGE_FLEET_HEARTBEAT_INTERVAL_S
                    if large
                    else HEARTBEAT_INTERVAL_S
                ):
                    await self._heartbeat_due.wait()
                self._heartbeat_due = anyio.Event()

    async def wait_joined(self) -> None:
        """Waits until the other instances are known, for `JOIN_WAIT_S` at most.

        An instance that knows no other would take itself for the scheduler of
        every pool. After a start of all instances at once, each would call the
        same upstreams.
        """
        await self._joined.wait()

    async def _join(self) -> None:
        """Requests the state of all instances for `JOIN_DURATION_S`."""
        started_at = self._clock()
        join_until = started_at + JOIN_DURATION_S
        pause_s = JOIN_FIRST_PAUSE_S
        while self._clock() < join_until:
            await anyio.sleep(pause_s)
            if self._clock() >= started_at + JOIN_WAIT_S:
                self._joined.set()
            known_addresses = [peer.address for peer in self.table.all_peers()]
            others = sorted({*known_addresses, *self.seeds} - {self.address})
            if not others:
                self._joined.set()
                continue
            request = message.FetchPeers(sender=self.local_row())
            try:
                reply = await self.request(self._rng.choice(others), request)
            except ApplespringError as exc:
                logger.bind(event="fetch_failed", what="peers").info(
                    "state of instances was not fetched: {}", exc
                )
                continue
            if isinstance(reply, message.PeerList):
                pause_s = JOIN_PAUSE_S
                now = self._clock()
                for row in reply.peers:
                    self._record_row(row, now, direct=False)
                    self.table.vouch(row.name, now)
                self._joined.set()

    async def _on_fetch_peers(self, msg: message.FetchPeers) -> message.Message:
        now = self._clock()
        self._record_row(msg.sender, now, direct=True)
        reachable = self.table.reachable(now)
        rows = [_to_row(peer) for peer in reachable]
        return message.PeerList(peers=(self.local_row(), *rows))

    async def announce(self) -> None:
        """Sends a heartbeat to all instances at once.

        Called after a change of this instance's state that must not wait.
        """
        await self._send_heartbeat(to_all=True)

    def hasten_heartbeat(self) -> None:
        """Has the next heartbeat sent at once, to the usual receivers.

        Called after a change that all learn together: a heartbeat of each of
        them to all others would be too many.
        """
        self._heartbeat_due.set()

    async def request(
        self, address: str, msg: message.Message
    ) -> message.Message:
        """Sends a message and returns the reply.

        A message to this instance itself is handled without the transport.

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
        """Returns the peer address of an instance, this one included.

        Raises:
            PeerUnreachableError: The instance is not in the peer table.
        """
        if name == self.name:
            return self.address
        peer = self.table.get(name)
        if peer is None:
            raise PeerUnreachableError(
                f"instance {name} is not in the peer table"
            )
        return peer.address

    def local_row(self) -> message.PeerRow:
        """Returns the state of this instance as sent to others."""
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
            evacuations_revision=source.evacuations_revision() if source else 0,
        )

    def _choose_addresses(self, to_all: bool) -> list[str]:
        """Returns the addresses that get the next heartbeat."""
        known_addresses = sorted(p.address for p in self.table.all_peers())
        addresses = known_addresses
        if self.table.exceeds_full_mesh and not to_all:
            addresses = self._rng.sample(known_addresses, LARGE_FLEET_FANOUT)
        if (
            self._heartbeat_count % HEARTBEATS_PER_SEED_CONTACT == 0
            or not known_addresses
        ):
            addresses = [
                *addresses,
                *(s for s in self.seeds if s not in known_addresses),
            ]
        self._heartbeat_count += 1
        return [address for address in addresses if address != self.address]

    def _choose_rows(self) -> list[message.PeerRow]:
        """Returns the states of other instances to send in a heartbeat."""
        peers = self.table.all_peers()
        peers.sort(key=lambda peer: -peer.received_at)
        newest, remaining = peers[:NEWEST_ROWS_MAX], peers[NEWEST_ROWS_MAX:]
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
            # All instances submit pieces to a scheduler and need its queue
            # waits.
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
        limits = self._list_limits()
        cold = self._list_cold()
        while True:
            gossip = message.Gossip(
                sender=self.local_row(),
                peers=rows,
                loads=loads,
                waits=waits[:QUEUE_WAITS_MAX],
                limits=tuple(limits),
                cold=tuple(cold),
            )
            data = encode(gossip)
            if len(data) <= DATAGRAM_BYTES_MAX or not (
                rows or loads or limits or cold
            ):
                return data
            if rows or loads:
                rows, loads = rows[: len(rows) // 2], loads[: len(loads) // 2]
            else:
                limits = limits[: len(limits) // 2]
                cold = cold[: len(cold) // 2]

    async def _on_datagram(self, data: bytes) -> None:
        try:
            gossip = decode(data, DATAGRAM_BYTES_MAX)
        except MessageError as exc:
            logger.bind(event="gossip_rejected").warning(
                "datagram of {} bytes rejected: {}", len(data), exc
            )
            return
        if not isinstance(gossip, message.Gossip):
            return
        now = self._clock()
        if gossip.sender.name == self.name:
            return
        self._record_row(gossip.sender, now, direct=True)
        for row in gossip.peers:
            self._record_row(row, now, direct=False)
        if gossip.limits and self._receive_limits is not None:
            self._receive_limits(gossip.limits)
        if gossip.cold and self._receive_cold is not None:
            self._receive_cold(gossip.cold)
        if gossip.crashes:
            # Datagrams with crashes have no loads, which stay as they were.
            if self._crash_receiver is not None:
                self._crash_receiver(gossip)
        elif self._gossip_source is not None:
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
            row.evacuations_revision,
        )
        if self.table.record_heartbeat(peer, now, direct=direct):
            logger.bind(
                event="peer_found",
                peer=row.name,
                incarnation=row.incarnation,
                direct=direct,
            ).info(
                "instance {} is new or has restarted, at {}",
                row.name,
                row.address,
            )

    async def _on_request(self, data: bytes) -> bytes | None:
        try:
            return encode(await self._dispatch(decode(data)))
        except ApplespringError as exc:
            logger.bind(event="peer_request_failed").warning(
                "request of a peer was not answered: {}", exc
            )
            return None

    async def _dispatch(self, msg: message.Message) -> message.Message:
        handler = self._handlers.get(type(msg))
        if handler is None:
            raise MessageError(f"no handler for message {type(msg).__name__}")
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
        evacuations_revision=peer.evacuations_revision,
    )
