"""Configuration, instance lists and leaving notices between instances."""

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
# Bounds what one instance sends a second; a list of the design scale has
# 100 KB.
PUSHES_MAX = 3
# A peer that reads the platform has the newest list after one watch (1.5 s).
# Only one that is behind for longer than this needs it from a peer.
LIST_GRACE_S = 3.0
# How long a peer that is offered a document waits for its own watch first.
OFFER_WAIT_S = 0.3
OFFER_POLL_S = 0.05
REVISIONS_KEPT = 64


class ConfigPeerMessages:
    """Makes the messages by which `ConfigService` talks to peers."""

    __slots__ = ()

    def fetch_config(self, after: int) -> FetchConfig:
        """Makes a request for a document newer than `after`."""
        return FetchConfig(revision=after + 1)

    def config_document(self, revision: int, text: str) -> "PeerDocument":
        """Makes a document message."""
        return PeerDocument(revision, text)


class PeerDocument:
    """A configuration document on its way from or to a peer.

    Attributes:
        revision: Its revision, 0 when the sender has none.
        text: Its text.
    """

    __slots__ = ("revision", "text")

    def __init__(self, revision: int, text: str) -> None:
        self.revision = revision
        self.text = text

    def to_message(self) -> ConfigDocument:
        """Returns the message that carries the document."""
        return ConfigDocument(
            revision=self.revision, document=self.text.encode()
        )


class ConfigPeerLink:
    """Requests of `ConfigService` to peers."""

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

        A document may have 1 MB and most peers have it from the platform at
        the same moment, so it is offered by its revision first.

        Raises:
            ApplespringError: There was no reply, or not a document.
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
    """Handles what peers say about configuration and membership."""

    __slots__ = (
        "_peers",
        "_config",
        "_members",
        "_keys",
        "_seeds",
        "_clock",
        "_revisions",
        "_behind",
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
        """Registers the handlers.

        Args:
            peers: Carries the messages.
            config: Takes configuration documents.
            members: Takes lists and leaving notices.
            keys: Is told the live entry instances.
            seeds: Entry instances that are known before the first list.
            clock: Seconds on the monotonic clock.
        """
        self._peers = peers
        self._config = config
        self._members = members
        self._keys = keys
        self._seeds = seeds
        self._clock = clock
        # Times at which list revisions were first in force here.
        self._revisions: deque[tuple[float, int]] = deque(maxlen=REVISIONS_KEPT)
        self._behind: dict[str, None] = {}
        peers.set_peers(seeds)
        peers.register(FetchConfig, self._on_fetch_config)
        peers.register(ConfigDocument, self._on_document)
        peers.register(ListUpdate, self._on_list)
        peers.on_heartbeat(self._on_heartbeat)
        members.subscribe(self.update_peers)

    def update_peers(self) -> None:
        """Applies the live entry instances of the membership."""
        self._note_revision()
        membership = self._members.membership
        membership.note_incarnation(self._peers.name, self._peers.incarnation)
        entries = membership.entries()
        listed = [
            PeerInfo(e.name, e.address, e.failure_domain) for e in entries
        ]
        known = {peer.name for peer in listed}
        extra = [seed for seed in self._seeds if seed.name not in known]
        self._peers.set_peers(listed if listed else extra)
        domains: dict[str, list[str]] = {}
        for entry in entries:
            domains.setdefault(entry.failure_domain, []).append(entry.name)
        self._keys.update_instances(domains)

    async def run(self) -> None:
        """Brings peers with an older instance list up to date."""
        while True:
            await anyio.sleep(1.0)
            revision = self._members.membership.listed.revision
            # The next heartbeat of a peer shows whether it is still behind.
            behind = list(self._behind)[:PUSHES_MAX]
            self._behind.clear()
            for name in behind:
                await self._push_list(name, revision)

    def _note_revision(self) -> None:
        revision = self._members.membership.listed.revision
        if not self._revisions or revision > self._revisions[-1][1]:
            self._revisions.append((self._clock(), revision))

    def _settled_revision(self) -> int:
        """Returns the list revision that every reader should have by now."""
        latest = self._clock() - LIST_GRACE_S
        settled = [number for at, number in self._revisions if at <= latest]
        return settled[-1] if settled else 0

    async def _push_list(self, name: str, revision: int) -> None:
        offer = ListUpdate(revision=revision, instances=[])
        try:
            reply = await self._peers.request(name, offer, PUSH_TIMEOUT_S)
            if isinstance(reply, Ack) and reply.accepted:
                update = self._make_list()
                await self._peers.request(name, update, PUSH_TIMEOUT_S)
        except ApplespringError:
            return

    def _make_list(self) -> ListUpdate:
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
        if heartbeat.list_revision < self._settled_revision():
            self._behind[heartbeat.name] = None
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
        """Accepts an offered document that the platform does not bring."""
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
        MessageError: The document is not UTF-8.
    """
    if message.revision == 0:
        return None
    try:
        return PeerDocument(message.revision, message.document.decode())
    except UnicodeDecodeError as exc:
        raise MessageError("the document is not UTF-8") from exc
