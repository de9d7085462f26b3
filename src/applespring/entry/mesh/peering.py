"""Exchange of configuration, instance lists and leaving notices with peers."""

from collections import deque
from collections.abc import Callable

import anyio

from applespring.core.errors import ApplespringError, MessageError
from applespring.core.instances import (
    InstanceEntry,
    InstanceList,
    InstanceState,
)
from applespring.entry.external.config import ConfigService
from applespring.entry.external.members import MemberService
from applespring.entry.mesh.keys import KeyService
from applespring.entry.mesh.peers import PeerInfo, PeerService
from applespring.peer.message import (
    Ack,
    ConfigDocument,
    FetchConfig,
    Heartbeat,
    ListedInstance,
    ListUpdate,
    Message,
)

PUSH_TIMEOUT_S = 2.0
# Limits what one instance sends per round of 1 s; at the design scale a list
# has 100 KB.
PUSHES_PER_ROUND_MAX = 3
# A peer that can read from the platform has the newest list after one watch
# (1.5 s). A peer that is behind for LIST_GRACE_S gets it from this instance.
LIST_GRACE_S = 3.0
# Time in which an offered document may still arrive from the platform before
# the offer is accepted.
OFFER_WAIT_S = 0.3
OFFER_POLL_S = 0.05
REVISIONS_MAX = 64


class ConfigPeerMessages:
    """Creates the messages that `ConfigService` sends to peers."""

    __slots__ = ()

    def fetch_config(self, after: int) -> FetchConfig:
        """Returns a request for a document newer than revision `after`."""
        return FetchConfig(revision=after + 1)

    def config_document(self, revision: int, text: str) -> "PeerDocument":
        """Returns a document for `ConfigPeerLink`, which offers it first."""
        return PeerDocument(revision, text)


class PeerDocument:
    """A configuration document received from a peer or to be sent to one.

    Attributes:
        revision: Revision, 0 when the sender has no document.
        text: The TOML text.
    """

    __slots__ = ("revision", "text")

    def __init__(self, revision: int, text: str) -> None:
        self.revision = revision
        self.text = text

    def to_message(self) -> ConfigDocument:
        """Returns the message that carries the document text as UTF-8."""
        return ConfigDocument(
            revision=self.revision, document=self.text.encode()
        )


class ConfigPeerLink:
    """Sends the requests of `ConfigService` to peers."""

    __slots__ = ("_peers",)

    def __init__(self, peers: PeerService) -> None:
        self._peers = peers

    async def request(
        self,
        peer_name: str,
        message: Message | PeerDocument,
        timeout_s: float,
    ) -> PeerDocument | None:
        """Sends a message and returns the document of the reply, if any.

        A document is offered by its revision first and sent only if the peer
        accepts: it may have 1 MB, and most peers get it from the platform at
        the same time.

        Raises:
            ApplespringError: There was no reply, or it could not be decoded.
        """
        if isinstance(message, PeerDocument):
            offer = ConfigDocument(revision=message.revision, document=b"")
            reply = await self._peers.request(peer_name, offer, timeout_s)
            if not (isinstance(reply, Ack) and reply.accepted):
                return None
            message = message.to_message()
        reply = await self._peers.request(peer_name, message, timeout_s)
        if not isinstance(reply, ConfigDocument):
            return None
        return _read_document(reply)


class Peering:
    """Sends and applies configuration and membership updates.

    Peers whose instance list stays behind get the local one.
    """

    __slots__ = (
        "_peers",
        "_config",
        "_members",
        "_keys",
        "_seeds",
        "_clock",
        "_revision_times",
        "_peers_behind",
    )

    def __init__(
        self,
        peers: PeerService,
        config: ConfigService,
        members: MemberService,
        keys: KeyService,
        seeds: tuple[PeerInfo, ...],
        *,
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        """Registers the message handlers and applies the seeds.

        Args:
            peers: Sends and receives the messages.
            config: Decides on configuration documents of peers.
            members: Decides on lists and leaving notices of peers.
            keys: Gets the live entry instances of each list.
            seeds: Entry instances to contact until a list has been read.
            clock: Returns seconds on the monotonic clock.
        """
        self._peers = peers
        self._config = config
        self._members = members
        self._keys = keys
        self._seeds = seeds
        self._clock = clock
        # List revisions, each with the time from which it was in force here.
        self._revision_times: deque[tuple[float, int]] = deque(
            maxlen=REVISIONS_MAX
        )
        self._peers_behind: dict[str, None] = {}
        peers.set_peers(seeds)
        peers.register(FetchConfig, self._on_fetch_config)
        peers.register(ConfigDocument, self._on_document)
        peers.register(ListUpdate, self._on_list)
        peers.on_heartbeat(self._on_heartbeat)
        members.subscribe(self.update_peers)

    def update_peers(self) -> None:
        """Applies the live entry instances of the list in force.

        Without any in the list, the seeds stay in use.
        """
        self._record_revision()
        membership = self._members.membership
        membership.note_incarnation(self._peers.name, self._peers.incarnation)
        entries = membership.entries()
        listed = [
            PeerInfo(e.name, e.address, e.failure_domain) for e in entries
        ]
        listed_names = {peer.name for peer in listed}
        unlisted_seeds = [
            seed for seed in self._seeds if seed.name not in listed_names
        ]
        self._peers.set_peers(listed if listed else unlisted_seeds)
        domains: dict[str, list[str]] = {}
        for entry in entries:
            domains.setdefault(entry.failure_domain, []).append(entry.name)
        self._keys.update_instances(domains)

    async def run(self) -> None:
        """Sends the instance list to peers that stay behind, until cancelled.

        Each round of 1 s reaches at most `PUSHES_PER_ROUND_MAX` peers.
        """
        while True:
            await anyio.sleep(1.0)
            revision = self._members.membership.listed.revision
            # Peers beyond the limit are not queued: the next heartbeat of each
            # peer shows whether it is still behind.
            behind = list(self._peers_behind)[:PUSHES_PER_ROUND_MAX]
            self._peers_behind.clear()
            for name in behind:
                await self._push_list(name, revision)

    def _record_revision(self) -> None:
        revision = self._members.membership.listed.revision
        if not self._revision_times or revision > self._revision_times[-1][1]:
            self._revision_times.append((self._clock(), revision))

    def _expected_revision(self) -> int:
        """Returns the newest list revision that peers should have by now."""
        latest = self._clock() - LIST_GRACE_S
        expected = [
            number for at, number in self._revision_times if at <= latest
        ]
        return expected[-1] if expected else 0

    async def _push_list(self, name: str, revision: int) -> None:
        offer = ListUpdate(revision=revision, instances=[])
        try:
            reply = await self._peers.request(name, offer, PUSH_TIMEOUT_S)
            if isinstance(reply, Ack) and reply.accepted:
                update = self._make_list_update()
                await self._peers.request(name, update, PUSH_TIMEOUT_S)
        except ApplespringError:
            return

    def _make_list_update(self) -> ListUpdate:
        listed = self._members.membership.listed
        return ListUpdate(
            revision=listed.revision,
            instances=[
                ListedInstance(
                    name=e.name,
                    role=e.role,
                    address=e.address,
                    failure_domain=e.failure_domain,
                    state=e.state.value,
                )
                for e in listed.all_entries()
            ],
        )

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._config.record_peer_revision(
            heartbeat.name, heartbeat.config_revision
        )
        if heartbeat.list_revision < self._expected_revision():
            self._peers_behind[heartbeat.name] = None
        self._members.note_incarnation(heartbeat.name, heartbeat.incarnation)
        if heartbeat.state == "leaving":
            self._members.note_leaving(
                heartbeat.name, heartbeat.incarnation, heartbeat.name
            )
        for notice in heartbeat.leaving:
            self._members.note_leaving(
                notice.name,
                notice.incarnation,
                heartbeat.name,
                max(0.0, notice.age_s),
            )

    async def _on_fetch_config(self, message: FetchConfig) -> ConfigDocument:
        document = self._config.make_document(message.revision - 1)
        return PeerDocument(document.revision, document.text).to_message()

    async def _on_document(self, message: ConfigDocument) -> Ack:
        if message.revision > 0 and not message.document:
            return await self._answer_offer(message.revision)
        document = _read_document(message)
        if document is not None:
            self._config.offer(document.revision, document.text, "peer")
        return Ack()

    async def _answer_offer(self, revision: int) -> Ack:
        """Accepts an offered document unless the platform sends it in time."""
        tracker = self._config.tracker
        with anyio.move_on_after(OFFER_WAIT_S):
            while tracker.revision < revision:
                await anyio.sleep(OFFER_POLL_S)
        return Ack(accepted=tracker.revision < revision)

    async def _on_list(self, message: ListUpdate) -> Ack:
        if not message.instances:
            listed = self._members.membership.listed
            return Ack(accepted=message.revision > listed.revision)
        try:
            entries = [
                InstanceEntry(
                    e.name,
                    e.role,
                    e.address,
                    e.failure_domain,
                    InstanceState(e.state),
                )
                for e in message.instances
            ]
        except ValueError as exc:
            return Ack(accepted=False, detail=str(exc))
        offered = InstanceList(message.revision, entries)
        self._members.offer_list(offered, "peer", None)
        return Ack()


def _read_document(message: ConfigDocument) -> PeerDocument | None:
    """Returns the document of a message, or None when it has none.

    Raises:
        MessageError: The document is not valid UTF-8.
    """
    if message.revision == 0:
        return None
    try:
        return PeerDocument(message.revision, message.document.decode())
    except UnicodeDecodeError as exc:
        raise MessageError(
            f"document revision {message.revision} is not UTF-8: {exc}"
        ) from exc
