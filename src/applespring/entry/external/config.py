"""Updates of the configuration from the platform and from peers."""

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
# Instances that start at the same time make their first reads spread over this
# time.
START_SPREAD_S = 2.0
PLATFORM = "platform"
PEERS = "peers"
PEER_ERRORS = (ApplespringError, OSError, TimeoutError)


class Document(Protocol):
    """The fields of a `ConfigDocument` that this module reads.

    Attributes:
        revision: Revision of the document, 0 if the peer has no newer one.
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
    """Creates the messages of the peer protocol."""

    def fetch_config(self, after: int) -> Any:
        """Creates a `FetchConfig` for a document newer than `after`."""

    def config_document(self, revision: int, text: str) -> Document:
        """Creates a `ConfigDocument`."""


async def _return_at_once() -> None:
    return None


class ConfigService:
    """Fetches newer revisions from the platform and from peers.

    Attributes:
        tracker: Keeps the configuration in force.
        confirmed_at: When the platform last confirmed that configuration as
            the newest valid one, or None.
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
        "_has_requested",
        "_invalid_revision",
        "_etag",
        "_plain_read_next",
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
        """Initializes the service.

        Args:
            tracker: Accepts or rejects documents.
            client: Client of the platform.
            link: Sends requests to peers.
            messages: Creates the messages for peers.
            peer_names: Returns the names of the live peers.
            rng: Source of jitter and of the choice of peers.
            wait_members: Waits until the first read of the instance list has
                ended, with success or not.
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
        self._has_requested = False
        self._invalid_revision = 0
        self._etag = ""
        self._plain_read_next = False
        self._accepted_event = anyio.Event()
        self._accepted_source = ""
        self._pending_fetch: tuple[int, str] | None = None
        self._pending_event = anyio.Event()

    @property
    def is_ready(self) -> bool:
        """Whether there is a configuration that the instance may serve with.

        At start it waits up to START_LIMIT_S for all sources to be read.
        """
        return self._readiness is not None and self._readiness.is_ready(
            self._clock()
        )

    def subscribe(self, callback: Callable[[Fleet], None]) -> None:
        """Registers a callback for each configuration that is accepted."""
        self._subscribers.append(callback)

    def offer(self, revision: int, text: str, source: str) -> Acceptance:
        """Offers a document to the tracker and announces an accepted one."""
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
        """Records the revision in a peer's heartbeat; fetches a newer one."""
        pending = self._pending_fetch[0] if self._pending_fetch else 0
        if revision > max(self.tracker.revision, pending):
            self._pending_fetch = (revision, peer)
            self._pending_event.set()

    async def run(self) -> None:
        """Reads all sources at start, then watches until cancelled."""
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
        """Makes one call to the platform.

        Returns:
            Whether the reply was as expected: a valid newer document, or none.
        """
        asked_at = self._clock()
        if (
            self._plain_read_next
            and self._invalid_revision > self.tracker.revision
        ):
            reply = await self._client.fetch_config(
                self._etag, self._invalid_revision
            )
            return self._apply_reply(reply, asked_at, 0.0)
        # Readiness depends on the first answer, so the platform must not hold
        # that call.
        wait_s = (
            CONFIG_WAIT_S if self._has_requested and self.tracker.fleet else 0.0
        )
        self._has_requested = True
        after = max(self.tracker.revision, self._invalid_revision)
        reply = await self._client.watch_config(after, wait_s)
        return self._apply_reply(reply, asked_at, wait_s)

    def _apply_reply(
        self, reply: ConfigReply, asked_at: float, wait_s: float
    ) -> bool:
        """Applies a reply of the platform.

        If the newest revision is invalid, the watch asks for later ones, since
        it would otherwise return the invalid one at once each time. A corrupt
        reply with a far too high revision would then hide all later ones.
        Therefore each such watch that returns no document is followed by a
        plain read.
        """
        if reply.text is None:
            self._plain_read_next = not self._plain_read_next
            if reply.revision < self.tracker.revision:
                return False
            self._confirm(asked_at, wait_s)
            return True
        outcome = self.offer(reply.revision, reply.text, PLATFORM)
        self._plain_read_next = False
        if outcome is Acceptance.INVALID:
            self._invalid_revision = reply.revision
            self._etag = reply.etag
            logger.warning(
                "configuration revision {} is invalid;"
                " in force: revision {} (0 for none)",
                reply.revision,
                self.tracker.revision,
            )
            return False
        self._invalid_revision = 0
        if outcome in (Acceptance.ACCEPTED, Acceptance.SAME):
            self._confirm(asked_at, 0.0)
        return outcome is Acceptance.ACCEPTED

    def _confirm(self, asked_at: float, wait_s: float) -> None:
        # The reply states the newest revision at the end of the platform's
        # wait, but may be read long after that.
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
            # If this failed, the next heartbeat starts another fetch.
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
                # A failing subscriber must not keep the others on an old
                # revision.
                self.subscriber_failures += 1
                logger.exception(
                    "a subscriber failed on configuration revision {}",
                    self.tracker.revision,
                )
