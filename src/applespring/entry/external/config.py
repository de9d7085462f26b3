"""Keeps the configuration current from the platform and the peers."""

import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Protocol

import anyio
from loguru import logger

from applespring.core.errors import ApplespringError
from applespring.core.fleet import Fleet
from applespring.core.revision import (
    Acceptance,
    RevisionTracker,
    StartupReadiness,
)
from applespring.entry.external.pacing import Pacer
from applespring.entry.external.platform import (
    ConfigReply,
    PlatformClient,
    PlatformError,
)

FANOUT = 3
CONFIG_WAIT_S = 5.0
CONFIG_INTERVAL_S = 1.0
PEER_TIMEOUT_S = 2.0
START_LIMIT_S = 5.0
# Spreads the first reads of a mass restart.
START_SPREAD_S = 2.0
PLATFORM = "platform"
PEERS = "peers"
PEER_ERRORS = (ApplespringError, OSError, TimeoutError)


class Document(Protocol):
    """A `ConfigDocument` as far as this module reads it.

    Attributes:
        revision: Revision of the document, 0 if the peer has none newer.
        text: Text of the document.
    """

    revision: int
    text: str


class PeerLink(Protocol):
    """Requests to other instances."""

    async def request(
        self, peer_name: str, message: Any, timeout_s: float
    ) -> Any:
        """Sends a message and returns the reply, or raises OSError,
        TimeoutError or ApplespringError.
        """  # noqa: D205


class PeerMessages(Protocol):
    """Makes the messages of the peer protocol."""

    def fetch_config(self, after: int) -> Any:
        """Makes a `FetchConfig` for a document newer than `after`."""

    def config_document(self, revision: int, text: str) -> Document:
        """Makes a `ConfigDocument`."""


async def _return_at_once() -> None:
    return None


class ConfigService:
    """Takes newer revisions from the platform and from peers.

    Attributes:
        tracker: The configuration in force.
        confirmed_at: When the platform last confirmed it as the newest valid
            one, or None.
        subscriber_failures: Number of subscriber calls that raised.
        peer_failures: Number of peer requests that failed.
    """

    __slots__ = (
        "tracker",
        "confirmed_at",
        "subscriber_failures",
        "peer_failures",
        "_client",
        "_link",
        "_messages",
        "_peer_names",
        "_wait_members",
        "_rng",
        "_clock",
        "_readiness",
        "_subscribers",
        "_has_asked",
        "_invalid_revision",
        "_etag",
        "_read_next",
        "_accepted_event",
        "_accepted_source",
        "_pending_fetch",
        "_pending_event",
    )

    def __init__(
        self,
        tracker: RevisionTracker,
        client: PlatformClient,
        link: PeerLink,
        messages: PeerMessages,
        peer_names: Callable[[], Sequence[str]],
        rng: random.Random,
        *,
        wait_members: Callable[[], Awaitable[None]] = _return_at_once,
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        """Wires the service.

        Args:
            tracker: Decides on documents.
            client: Reads the platform.
            link: Reaches the peers.
            messages: Makes the messages for peers.
            peer_names: Returns the names of the live peers.
            rng: Source of jitter and of the choice of peers.
            wait_members: Returns when the peers are known or cannot be.
            clock: Seconds on the monotonic clock.
        """
        self.tracker = tracker
        self.confirmed_at: float | None = None
        self.subscriber_failures = 0
        self.peer_failures = 0
        self._client = client
        self._link = link
        self._messages = messages
        self._peer_names = peer_names
        self._wait_members = wait_members
        self._rng = rng
        self._clock = clock
        self._readiness: StartupReadiness | None = None
        self._subscribers: list[Callable[[Fleet], None]] = []
        self._has_asked = False
        self._invalid_revision = 0
        self._etag = ""
        self._read_next = False
        self._accepted_event = anyio.Event()
        self._accepted_source = ""
        self._pending_fetch: tuple[int, str] | None = None
        self._pending_event = anyio.Event()

    @property
    def is_ready(self) -> bool:
        """Whether the start-up sequence found a configuration to serve."""
        return self._readiness is not None and self._readiness.is_ready(
            self._clock()
        )

    def subscribe(self, callback: Callable[[Fleet], None]) -> None:
        """Calls back with each configuration that comes into force."""
        self._subscribers.append(callback)

    def offer(self, revision: int, text: str, source: str) -> Acceptance:
        """Takes a document from the platform or a peer."""
        outcome = self.tracker.offer(revision, text, source, self._clock())
        if outcome is Acceptance.ACCEPTED:
            logger.info(
                "configuration revision {} from {} is in force",
                revision,
                source,
            )
            self._accepted_source = source
            self._notify_subscribers()
            self._accepted_event.set()
        return outcome

    def make_document(self, after: int) -> Document:
        """Returns the reply to a `FetchConfig` of a peer."""
        if self.tracker.revision <= after:
            return self._messages.config_document(0, "")
        return self._messages.config_document(
            self.tracker.revision, self.tracker.text
        )

    def record_peer_revision(self, peer: str, revision: int) -> None:
        """Notes the revision of a peer's heartbeat; fetches a newer one."""
        pending = self._pending_fetch[0] if self._pending_fetch else 0
        if revision > max(self.tracker.revision, pending):
            self._pending_fetch = (revision, peer)
            self._pending_event.set()

    async def run(self) -> None:
        """Starts up, then watches until cancelled."""
        self._readiness = StartupReadiness(
            self.tracker, (PLATFORM, PEERS), self._clock() + START_LIMIT_S
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch)
            tasks.start_soon(self._fetch_from_peers)
            tasks.start_soon(self._push_accepted)
            tasks.start_soon(self._run_pending_fetches)

    async def _watch(self) -> None:
        pacer = Pacer(self._rng, CONFIG_INTERVAL_S)
        await anyio.sleep(self._rng.uniform(0, START_SPREAD_S))
        while True:
            started_at = self._clock()
            try:
                failed = not await self._read_platform()
            except PlatformError as exc:
                if pacer.failures == 0:
                    logger.warning("configuration watch failed: {}", exc)
                failed = True
            self._readiness.settle(PLATFORM)
            elapsed_s = self._clock() - started_at
            await anyio.sleep(pacer.next_delay_s(elapsed_s, failed))

    async def _read_platform(self) -> bool:
        """Makes one call; returns whether the reply was plausible."""
        asked_at = self._clock()
        if self._read_next and self._invalid_revision > self.tracker.revision:
            reply = await self._client.fetch_config(
                self._etag, self._invalid_revision
            )
            return self._apply_reply(reply, asked_at, 0.0)
        # The first answer is needed at once: readiness waits for it.
        wait_s = (
            CONFIG_WAIT_S if self._has_asked and self.tracker.fleet else 0.0
        )
        self._has_asked = True
        after = max(self.tracker.revision, self._invalid_revision)
        reply = await self._client.watch_config(after, wait_s)
        return self._apply_reply(reply, asked_at, wait_s)

    def _apply_reply(
        self, reply: ConfigReply, asked_at: float, wait_s: float
    ) -> bool:
        """Takes a reply of the platform.

        The watch asks for revisions after an invalid newest one, or it would
        return that one at once each time. An impossibly high revision in a
        garbage reply would then hide all later ones, so each such watch that
        returns nothing is followed by a plain read.
        """
        if reply.text is None:
            self._read_next = not self._read_next
            if reply.revision < self.tracker.revision:
                return False
            self._confirm(asked_at, wait_s)
            return True
        outcome = self.offer(reply.revision, reply.text, PLATFORM)
        self._read_next = False
        if outcome is Acceptance.INVALID:
            self._invalid_revision = reply.revision
            self._etag = reply.etag
            logger.warning(
                "configuration revision {} is invalid", reply.revision
            )
            return False
        self._invalid_revision = 0
        if outcome in (Acceptance.ACCEPTED, Acceptance.SAME):
            self._confirm(asked_at, 0.0)
        return outcome is Acceptance.ACCEPTED

    def _confirm(self, asked_at: float, wait_s: float) -> None:
        # The platform decided at the end of its wait at the earliest, and a
        # reply may be read long after it was sent.
        confirmed_at = min(self._clock(), asked_at + wait_s)
        if self.tracker.fleet is not None:
            self.confirmed_at = max(self.confirmed_at or 0.0, confirmed_at)

    async def _fetch_from_peers(self) -> None:
        await self._wait_members()
        async with anyio.create_task_group() as tasks:
            for peer in self._choose_peers(""):
                tasks.start_soon(self._fetch_from_peer, peer)
        self._readiness.settle(PEERS)

    async def _fetch_from_peer(self, peer: str) -> None:
        message = self._messages.fetch_config(self.tracker.revision)
        reply = await self._request_peer(peer, message)
        if reply is not None and reply.revision > self.tracker.revision:
            self.offer(reply.revision, reply.text, peer)

    async def _push_accepted(self) -> None:
        while True:
            await self._accepted_event.wait()
            self._accepted_event = anyio.Event()
            message = self._messages.config_document(
                self.tracker.revision, self.tracker.text
            )
            async with anyio.create_task_group() as tasks:
                for peer in self._choose_peers(self._accepted_source):
                    tasks.start_soon(self._request_peer, peer, message)

    async def _run_pending_fetches(self) -> None:
        pacer = Pacer(self._rng, 0.5)
        while True:
            await self._pending_event.wait()
            self._pending_event = anyio.Event()
            started_at = self._clock()
            if self._pending_fetch is not None:
                _, peer = self._pending_fetch
                await self._fetch_from_peer(peer)
            # The next heartbeat names the revision again if this failed.
            self._pending_fetch = None
            elapsed_s = self._clock() - started_at
            await anyio.sleep(pacer.next_delay_s(elapsed_s, False))

    async def _request_peer(self, peer: str, message: Any) -> Any:
        try:
            with anyio.fail_after(PEER_TIMEOUT_S):
                return await self._link.request(peer, message, PEER_TIMEOUT_S)
        except PEER_ERRORS:
            self.peer_failures += 1
            return None

    def _choose_peers(self, excluded: str) -> list[str]:
        names = sorted(name for name in self._peer_names() if name != excluded)
        return self._rng.sample(names, min(FANOUT, len(names)))

    def _notify_subscribers(self) -> None:
        for callback in self._subscribers:
            try:
                callback(self.tracker.fleet)
            except Exception:  # noqa: BLE001
                # One failing part must not keep the others on an old revision.
                self.subscriber_failures += 1
                logger.exception("a subscriber failed on a new configuration")
