"""Heartbeats, datagrams and requests between entry instances."""

import random
from collections.abc import Awaitable, Callable, Iterable

import anyio
from anyio.abc import TaskStatus

from applespring.core import gossip
from applespring.core.errors import MessageError
from applespring.peer import codec
from applespring.peer.message import (
    AccountLoad,
    Ack,
    Heartbeat,
    Leaving,
    Message,
    PoolLoad,
    UpstreamRate,
)
from applespring.peer.transport import PeerUnreachableError, Transport

HEARTBEAT_INTERVAL_S = 1.0
RECEIVED_HEARTBEATS_MAX = 1024
HEARTBEAT_POOLS_MAX = 16
HEARTBEAT_ACCOUNTS_MAX = 8
HEARTBEAT_NOTICES_MAX = 16

Handler = Callable[[Message], Awaitable[Message | None]]


class PeerInfo:
    """Name, `IP:port` and failure domain of an entry instance."""

    __slots__ = ("name", "address", "failure_domain")

    def __init__(self, name: str, address: str, failure_domain: str) -> None:
        self.name = name
        self.address = address
        self.failure_domain = failure_domain


class HeartbeatContent:
    """Changing part of a heartbeat, as supplied by the instance.

    Attributes:
        state: `live` or `leaving`.
        config_revision: Revision of the configuration in force.
        list_revision: Revision of the instance list in use.
        pools: Load of each pool, only the first `HEARTBEAT_POOLS_MAX`.
        accounts: Demand of the busiest client accounts, only the first
            `HEARTBEAT_ACCOUNTS_MAX`.
        leaving: Leaving notices, only the first `HEARTBEAT_NOTICES_MAX`.
        limits: Rate limits of upstreams.
    """

    __slots__ = (
        "state",
        "config_revision",
        "list_revision",
        "pools",
        "accounts",
        "leaving",
        "limits",
    )

    def __init__(
        self,
        state: str = "live",
        config_revision: int = 0,
        list_revision: int = 0,
        pools: Iterable[PoolLoad] = (),
        accounts: Iterable[AccountLoad] = (),
        leaving: Iterable[Leaving] = (),
        limits: Iterable[UpstreamRate] = (),
    ) -> None:
        self.state = state
        self.config_revision = config_revision
        self.list_revision = list_revision
        self.pools = tuple(pools)[:HEARTBEAT_POOLS_MAX]
        self.accounts = tuple(accounts)[:HEARTBEAT_ACCOUNTS_MAX]
        self.leaving = tuple(leaving)[:HEARTBEAT_NOTICES_MAX]
        self.limits = tuple(limits)


class KeyGroupView:
    """Digest of the key group's view, and the names of its members."""

    __slots__ = ("digest", "members")

    def __init__(self, digest: int = 0, members: Iterable[str] = ()) -> None:
        self.digest = digest
        self.members = tuple(members)


class ReceivedHeartbeat:
    """The newest heartbeat of a peer, with the local time of its receipt."""

    __slots__ = ("heartbeat", "received_at")

    def __init__(self, heartbeat: Heartbeat, received_at: float) -> None:
        self.heartbeat = heartbeat
        self.received_at = received_at


class PeerService:
    """Sends heartbeats, records those of peers, and carries requests.

    Attributes:
        incarnation: Random number that identifies this process.
        received_heartbeats: Newest heartbeat of each peer, at most
            `RECEIVED_HEARTBEATS_MAX`.
        messages_rejected: Number of messages that could not be decoded or that
            have no handler.
        handler_errors: Number of messages whose handler raised an exception.
        content: Returns the content of the next heartbeat.
        key_group_view: Returns the current view of the key group.
        before_heartbeat: Called with the sequence number of each heartbeat
            before it is sent.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        failure_domain: str,
        transport: Transport,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.failure_domain = failure_domain
        self.received_heartbeats: dict[str, ReceivedHeartbeat] = {}
        self.messages_rejected = 0
        self.handler_errors = 0
        self.content: Callable[[], HeartbeatContent] = HeartbeatContent
        self.key_group_view: Callable[[], KeyGroupView] = KeyGroupView
        self.before_heartbeat: Callable[[int], None] = lambda _: None
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._peers: dict[str, PeerInfo] = {}
        self._handlers: dict[type[Message], Handler] = {}
        self._heartbeat_callbacks: list[Callable[[Heartbeat], None]] = []
        self._duplicates = gossip.DuplicateFilter()
        # A delayed echo of a heartbeat of a previous incarnation must not match
        # one of this incarnation, so each starts at a random sequence number.
        self._sequence = (incarnation >> 1) & ~0xFFFFFFFF

    def set_peers(self, peers: Iterable[PeerInfo]) -> None:
        """Replaces the listed entry instances; the local one is ignored."""
        self._peers = {p.name: p for p in peers if p.name != self.name}

    def is_listed(self, peer_name: str) -> bool:
        """Whether a peer is in the instance list."""
        return peer_name in self._peers

    def listed_names(self) -> list[str]:
        """Returns the names of the other listed instances."""
        return sorted(self._peers)

    def register(self, message_type: type[Message], handler: Handler) -> None:
        """Sets the handler of a message type; it returns the reply, or None."""
        self._handlers[message_type] = handler

    def on_heartbeat(self, callback: Callable[[Heartbeat], None]) -> None:
        """Adds a callback that gets each heartbeat that is recorded."""
        self._heartbeat_callbacks.append(callback)

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Handles messages of peers and sends heartbeats until cancelled."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(
                self._transport.run, self._on_datagram, self._on_request
            )
            task_status.started()
            while True:
                await self._send_heartbeats()
                await anyio.sleep(HEARTBEAT_INTERVAL_S)

    async def request(
        self, peer_name: str, message: Message, timeout_s: float
    ) -> Message:
        """Sends a request to a peer and returns its reply.

        Raises:
            PeerUnreachableError: Nothing was sent; for example, the peer is
                not listed or the message is too large.
            PeerLostError: There is no reply; the peer may have received it.
            MessageError: The reply cannot be decoded.
        """
        peer = self._peers.get(peer_name)
        if peer is None:
            raise PeerUnreachableError(
                f"{peer_name} is not in the instance list"
            )
        try:
            data = codec.encode(message)
        except MessageError as exc:
            raise PeerUnreachableError(str(exc)) from exc
        reply = await self._transport.request(peer.address, data, timeout_s)
        return codec.decode(reply)

    async def send(self, peer_name: str, message: Message) -> None:
        """Sends a datagram, which may be lost, if the peer is listed."""
        if peer_name in self._peers:
            data = codec.encode(message, codec.DATAGRAM_BYTES_MAX)
            await self.send_data(peer_name, data)

    async def send_data(self, peer_name: str, data: bytes) -> None:
        """Sends an encoded datagram, if the peer is listed."""
        peer = self._peers.get(peer_name)
        if peer is not None:
            await self._transport.send(peer.address, data)

    async def announce(self, topic: tuple[str, int]) -> None:
        """Sends a heartbeat at once to at most `gossip.FANOUT` random peers.

        Args:
            topic: Identifies the update, such as `("leaving", incarnation)`.
                Further calls with the same topic do nothing. The update itself
                is in the content of the heartbeat.
        """
        if not self._duplicates.is_first(topic):
            return
        domains = {n: p.failure_domain for n, p in self._peers.items()}
        names = gossip.choose_announce_peers(
            self.name, self.failure_domain, domains, self._rng
        )
        await self._send_heartbeat_to(names)

    async def _send_heartbeats(self) -> None:
        domains = {n: p.failure_domain for n, p in self._peers.items()}
        names = gossip.choose_heartbeat_peers(
            self.name,
            self.failure_domain,
            domains,
            self.key_group_view().members,
            self._rng,
        )
        await self._send_heartbeat_to(names)

    async def _send_heartbeat_to(self, names: Iterable[str]) -> None:
        self._sequence += 1
        self.before_heartbeat(self._sequence)
        data = self._encode_heartbeat()
        for name in names:
            peer = self._peers.get(name)
            if peer is not None:
                await self._transport.send(peer.address, data)

    def _encode_heartbeat(self) -> bytes:
        content = self.content()
        pools, accounts = content.pools, content.accounts
        limits = content.limits
        while True:
            heartbeat = Heartbeat(
                name=self.name,
                incarnation=self.incarnation,
                failure_domain=self.failure_domain,
                state=content.state,
                config_revision=content.config_revision,
                list_revision=content.list_revision,
                view_digest=self.key_group_view().digest,
                sequence=self._sequence,
                pools=pools,
                accounts=accounts,
                leaving=content.leaving,
                limits=limits,
            )
            try:
                return codec.encode(heartbeat, codec.DATAGRAM_BYTES_MAX)
            except MessageError:
                # Long names can exceed a datagram. Drop loads rather than the
                # heartbeat, whose other fields the key lease needs.
                if not pools and not accounts and not limits:
                    raise
                limits = limits[: len(limits) // 2]
                pools = pools[: len(pools) // 2]
                accounts = accounts[: len(accounts) // 2]

    async def _on_datagram(self, data: bytes) -> None:
        message = self._decode(data)
        try:
            await self._handle_datagram(message)
        except Exception:
            # A faulty message must not stop the handling of others.
            self.handler_errors += 1

    async def _handle_datagram(self, message: Message | None) -> None:
        if isinstance(message, Heartbeat) and not self._record_heartbeat(
            message
        ):
            return
        handler = self._handlers.get(type(message))
        reply = await handler(message) if handler else None
        if reply is not None and hasattr(message, "name"):
            await self.send(message.name, reply)
        if isinstance(message, Heartbeat):
            for notice in message.leaving:
                topic = (f"leaving {notice.name}", notice.incarnation)
                await self.announce(topic)

    async def _on_request(self, data: bytes) -> bytes | None:
        message = self._decode(data)
        if message is None:
            return codec.encode(Ack(accepted=False, detail="malformed"))
        handler = self._handlers.get(type(message))
        if handler is None:
            self.messages_rejected += 1
            detail = f"there is no handler for {type(message).__name__}"
            return codec.encode(Ack(accepted=False, detail=detail))
        try:
            reply = await handler(message)
            return codec.encode(Ack() if reply is None else reply)
        except Exception:
            # Without a reply the peer assumes that its request may have been
            # executed, which may be true.
            self.handler_errors += 1
            return None

    def _decode(self, data: bytes) -> Message | None:
        try:
            return codec.decode(data)
        except MessageError:
            self.messages_rejected += 1
            return None

    def _record_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Records a heartbeat; returns False for a local or outdated one."""
        if heartbeat.name == self.name:
            return False
        previous = self.received_heartbeats.pop(heartbeat.name, None)
        if previous is not None:
            last = previous.heartbeat
            same_incarnation = last.incarnation == heartbeat.incarnation
            if same_incarnation and last.sequence >= heartbeat.sequence:
                self.received_heartbeats[heartbeat.name] = previous
                return False
        self.received_heartbeats[heartbeat.name] = ReceivedHeartbeat(
            heartbeat, self._clock()
        )
        if len(self.received_heartbeats) > RECEIVED_HEARTBEATS_MAX:
            del self.received_heartbeats[next(iter(self.received_heartbeats))]
        for callback in self._heartbeat_callbacks:
            callback(heartbeat)
        return True
