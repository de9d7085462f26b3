"""Reads the routing document and the upstreams from the registry.

While the registry is unreachable, `relay/peer_sync.py` fetches them from peers.
"""

import random
from collections.abc import Iterable, Sequence

import anyio
from loguru import logger

from applespring.clock import wait_until
from applespring.core.catalog import ListedUpstream
from applespring.core.engines.learned import LearnedEngines
from applespring.core.era import era_of, revision_of
from applespring.core.errors import ApplespringError, MessageError
from applespring.core.rejection_filter import RejectionFilter
from applespring.peer import message
from applespring.relay.cold_recorder import ColdRecorder
from applespring.relay.evacuation import EvacuationRecorder
from applespring.relay.metrics import RelayMetrics
from applespring.relay.peers import LOADS_MAX, Peers
from applespring.relay.plain import PlainForwarder
from applespring.relay.registry import (
    EntryChange,
    HistoryLostError,
    Registry,
    RegistryUpdate,
)
from applespring.relay.stage_scheduler import StageScheduler
from applespring.relay.state import RelayState

# Delay after a failed read, doubled up to the maximum.
RETRY_DELAY_MIN_S = 0.05
RETRY_DELAY_MAX_S = 0.5
EXPIRY_INTERVAL_S = 0.2
# Timeout of a watch. It is long, since the platform charges for every call.
# With the time to detect a dead connection it stays below the 3 s after which
# an unknown route may be due to a stale document, and after which a removed
# upstream must get no more work (`contactMs`). Each watch is shortened by a
# random factor, so that not all instances miss the same change on dead
# connections.
WATCH_TIMEOUT_MAX_S = 2.2
WATCH_TIMEOUT_SHARE_MIN = 0.6
# Pause between two watches, so that changes in quick succession share a call.
# Each change ends the watch of every instance, and the platform charges for
# every call. The pause is short, since a removed upstream must get no more work
# after 2 s.
WATCH_PAUSE_S = 0.2
LARGE_FLEET_WATCH_PAUSE_S = 0.8
# After its history is lost, the instances read the registry this long apart on
# the mean, and all within the maximum.
READ_SPREAD_S = 0.005
READ_SPREAD_MAX_S = 1.0
# Loads of plain pools in a heartbeat; engines have the other places.
PLAIN_LOADS_MAX = 3


class _WatchEndedError(ApplespringError):
    """A watch was not answered; the registry may be there all the same."""


class Watcher:
    """Applies the registry's changes to the state, and reports it to peers."""

    def __init__(
        self,
        state: RelayState,
        registry: Registry,
        peers: Peers,
        plain: PlainForwarder,
        scheduler: StageScheduler,
        evacuations: EvacuationRecorder,
        cold: ColdRecorder,
        metrics: RelayMetrics,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._registry = registry
        self._peers = peers
        self._plain = plain
        self._scheduler = scheduler
        self._evacuations = evacuations
        self._cold = cold
        self._metrics = metrics
        self._rng = rng
        self._contact_lost = False
        # Whether a watch was not answered before the next read.
        self._had_gap = False
        self._rejections = RejectionFilter()
        self._watch_scope: anyio.CancelScope | None = None
        peers.set_gossip_source(self)

    @property
    def registry_unreachable(self) -> bool:
        """Whether the last read failed, or none has succeeded yet."""
        return self._contact_lost or self._state.registry_read_at < 0

    async def run(self) -> None:
        """Watches the registry until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_with_retries)
            tasks.start_soon(self._expire_upstreams)

    def renew_watch(self) -> None:
        """Starts the current watch again, on a new connection.

        Called when peers hold changes that the watch should have reported.
        """
        if self._watch_scope is not None:
            self._metrics.state_changes.inc("watch_renewed")
            logger.bind(
                event="watch_renewed", revision=self._state.entries_revision
            ).info(
                "watch renewed: peers hold changes after revision {}",
                self._state.entries_revision,
            )
            self._watch_scope.cancel()

    async def _watch_with_retries(self) -> None:
        """Watches the registry, and starts again after each failure.

        A watch that ends may only have lost its connection. Whether the
        registry is away shows the read that follows on another one.
        """
        delay_s = RETRY_DELAY_MIN_S
        while True:
            started_at = self._state.clock()
            try:
                await self._watch()
            except _WatchEndedError as exc:
                self._had_gap = True
                self._metrics.state_changes.inc("watch_ended")
                logger.bind(event="watch_ended").info(
                    "a watch of the registry was not answered; reading it "
                    "again: {}",
                    exc,
                )
            except HistoryLostError as exc:
                logger.bind(event="history_lost").info(
                    "changes of the registry were missed; reading it again: {}",
                    exc,
                )
                delay_s = RETRY_DELAY_MIN_S
                # A registry that has just come back is not read by all at once.
                await anyio.sleep(self._rng.uniform(0.0, self._spread_s()))
                continue
            except (ApplespringError, ValueError, TypeError) as exc:
                self._record_lost_contact(exc, started_at)
            if self._state.clock() - started_at > 1.0:
                delay_s = RETRY_DELAY_MIN_S
            await anyio.sleep(delay_s)
            delay_s = min(RETRY_DELAY_MAX_S, 2 * delay_s)

    def _spread_s(self) -> float:
        """Returns the time over which all instances read the registry again."""
        count = 1 + len(self._peers.table.all_peers())
        return min(READ_SPREAD_MAX_S, READ_SPREAD_S * count)

    def _record_lost_contact(self, exc: Exception, called_at: float) -> None:
        self._state.catalog.lose_contact(called_at)
        if not self._contact_lost:
            self._contact_lost = True
            self._metrics.state_changes.inc("registry_lost")
            logger.bind(event="registry_lost").warning(
                "registry is unreachable: {}", exc
            )

    async def _watch(self) -> None:
        """Reads everything, then applies changes as they are reported.

        Raises:
            HistoryLostError: Changes of the registry were missed.
            _WatchEndedError: A watch was not answered.
            ApplespringError: The read was not answered.
        """
        update = await self._registry.read()
        self._record_contact(update)
        self.record_rejections(update.changes, "registry")
        listed = [c.upstream for c in update.changes if c.upstream is not None]
        self.apply_upstreams(listed)
        for name in self._state.catalog.replace(
            listed, self._state.clock(), after_gap=self._had_gap
        ):
            logger.bind(
                event="upstream_removed",
                upstream=name,
                revision=update.revision,
                dropped=True,
            ).info("upstream {} is no longer listed", name)
            self._remove_upstream(name)
        self._had_gap = False
        self._evacuations.record_read(update.evacuations, update.revision)
        while True:
            update = await self._wait_for_changes(update.revision)
            self._record_contact(update)
            self._apply_changes(update.changes)
            self._evacuations.record_changes(
                update.evacuations, update.revision
            )
            # Changes during the pause come with the next answer.
            large = self._peers.table.exceeds_full_mesh
            await anyio.sleep(
                LARGE_FLEET_WATCH_PAUSE_S if large else WATCH_PAUSE_S
            )

    async def _wait_for_changes(self, revision: int) -> RegistryUpdate:
        while True:
            wait_s = WATCH_TIMEOUT_MAX_S * self._rng.uniform(
                WATCH_TIMEOUT_SHARE_MIN, 1.0
            )
            with anyio.CancelScope() as self._watch_scope:
                try:
                    return await self._registry.wait_for_changes(
                        revision, wait_s
                    )
                except HistoryLostError:
                    raise
                except (ApplespringError, ValueError, TypeError) as exc:
                    raise _WatchEndedError(str(exc)) from exc
                finally:
                    self._watch_scope = None

    def _record_contact(self, update: RegistryUpdate) -> None:
        """Records an answer of the registry, and applies its document."""
        now = self._state.clock()
        self._state.catalog.regain_contact(now)
        self._enter_era(update.revision)
        self._state.registry_read_at = now
        self._state.entries_revision = update.revision
        if self._contact_lost:
            self._contact_lost = False
            self._metrics.state_changes.inc("registry_regained")
            logger.bind(event="registry_regained").info(
                "registry is reachable again, at revision {}", update.revision
            )
        if update.document is not None:
            self.apply_document(update.document, "registry")

    def _enter_era(self, revision: int) -> None:
        era = era_of(revision)
        if self._state.catalog.enter_era(era, self._state.clock()):
            self._metrics.state_changes.inc("registry_era")
            logger.bind(event="registry_era", era=era, revision=revision).info(
                "the registry has come back from a copy: era {} at revision {}",
                era,
                revision_of(revision),
            )

    def apply_document(self, data: bytes, source: str) -> None:
        """Puts a document in force if it is newer than the current one.

        A malformed one is logged and ignored.
        """
        try:
            doc = self._registry.decode_document(data)
        except MessageError as exc:
            self._metrics.state_changes.inc("document_rejected")
            logger.bind(event="document_rejected", source=source).error(
                "document from {} rejected: {}", source, exc
            )
            return
        held = self._state.document
        if held is not None and doc.version <= held.version:
            return
        previous = self._state.document_version
        previous_limit_s = self._state.idle_limit.limit_s
        self._state.replace_document(doc, data)
        self._metrics.state_changes.inc("document_accepted")
        logger.bind(
            event="document_accepted",
            version=doc.version,
            previous=previous,
            source=source,
            routes=len(doc.routes),
        ).info(
            "document version {} from {} replaces version {}",
            doc.version,
            source,
            previous,
        )
        if doc.limits.idle_s != previous_limit_s:
            logger.bind(
                event="idle_limit",
                limit_s=doc.limits.idle_s,
                previous_s=previous_limit_s,
                document_version=doc.version,
            ).info(
                "callers may leave connections idle for {:g} s, not {:g} s",
                doc.limits.idle_s,
                previous_limit_s,
            )

    def apply_upstreams(self, upstreams: Iterable[ListedUpstream]) -> None:
        """Applies entries that are newer than those in the catalog."""
        upstreams = list(upstreams)
        newest = max((u.revision for u in upstreams), default=0)
        self._enter_era(max(newest, self._state.entries_revision))
        now, has_entries = self._state.clock(), bool(self._state.catalog.all())
        for upstream in upstreams:
            held = self._state.catalog.get(upstream.name)
            born_ms = held.born_ms if held is not None else upstream.born_ms
            is_new = has_entries and (
                held is None or held.identity != upstream.identity
            )
            if self._state.catalog.put(upstream, now):
                self._log_listed(upstream)
                if born_ms != upstream.born_ms:
                    self._state.engines.restart(
                        upstream.name, self._state.clock()
                    )
                    self._plain.selector.restart(upstream.name)
            self._cold.record_entry(upstream, is_new=is_new)

    def record_rejections(
        self, changes: Iterable[EntryChange], source: str
    ) -> None:
        """Counts and logs the entries that name no upstream.

        Args:
            changes: Entries, of which those without a fault are ignored.
            source: "registry", or the name of the peer that sent them.
        """
        now = self._state.clock()
        for change in changes:
            if not change.fault:
                continue
            self._metrics.state_changes.inc("entry_rejected")
            if self._rejections.admit(change.name, change.revision, now):
                logger.bind(
                    event="entry_unreadable"
                    if source == "registry"
                    else "entries_rejected",
                    upstream=change.name,
                    revision=change.revision,
                    source=source,
                    left_out=self._rejections.take_left_out(),
                ).warning(
                    "entry {!r:.80} from {} names no upstream: {}",
                    change.name,
                    source,
                    change.fault,
                )

    def _apply_changes(self, changes: Sequence[EntryChange]) -> None:
        self.record_rejections(changes, "registry")
        now = self._state.clock()
        for change in changes:
            if change.upstream is not None:
                self.apply_upstreams([change.upstream])
                continue
            held = self._state.catalog.get(change.name)
            if held is None:
                continue
            dropped = self._state.catalog.remove(change.name, now)
            logger.bind(
                event="upstream_removed",
                upstream=change.name,
                pool=held.pool,
                revision=change.revision,
                dropped=dropped,
            ).info("upstream {} is no longer listed", change.name)
            if dropped:
                self._remove_upstream(change.name)

    def _log_listed(self, upstream: ListedUpstream) -> None:
        logger.bind(
            event="upstream_listed",
            upstream=upstream.name,
            pool=upstream.pool,
            address=upstream.address,
            state=upstream.state.value,
            revision=upstream.revision,
        ).info(
            "upstream {} of pool {} is listed as {}",
            upstream.name,
            upstream.pool,
            upstream.state.value,
        )

    def _remove_upstream(self, name: str) -> None:
        self._state.engines.remove(name)
        self._plain.selector.remove(name)

    async def _expire_upstreams(self) -> None:
        clock, catalog = self._state.clock, self._state.catalog
        while True:
            await wait_until(
                min(clock() + EXPIRY_INTERVAL_S, catalog.expires_at), clock
            )
            self._evacuations.settle()
            for name in self._state.catalog.expire(self._state.clock()):
                logger.bind(event="upstream_lapsed", upstream=name).info(
                    "upstream {} was not listed again after a registry outage",
                    name,
                )
                self._remove_upstream(name)
            for upstream in self._state.catalog.take_unbelieved(
                self._state.clock()
            ):
                self._log_listed(upstream)
                self._cold.record_entry(upstream, is_new=True)
            self._cold.expire()

    # The methods of GossipSource.

    def document_version(self) -> int:
        """See `GossipSource.document_version`."""
        return self._state.document_version

    def entries_revision(self) -> int:
        """See `GossipSource.entries_revision`."""
        return self._state.entries_revision

    def evacuations_revision(self) -> int:
        """See `GossipSource.evacuations_revision`."""
        return self._state.evacuations.changed_at

    def loads(self) -> list[message.UpstreamLoad]:
        """See `GossipSource.loads`."""
        plain = self._plain_loads()
        learned = self._state.engines.learned
        if learned is not None:
            return [*plain, *self._learned_loads(learned, len(plain))]
        loads = self._state.engines.local_loads()
        ranked = sorted(loads.items(), key=lambda item: -item[1][1])
        return [
            *plain,
            *(
                message.UpstreamLoad(
                    upstream=name, requests=count, tokens=tokens
                )
                for name, (count, tokens) in ranked
            ),
        ]

    def _learned_loads(
        self, learned: LearnedEngines, other_rows: int
    ) -> list[message.UpstreamLoad]:
        """Returns the loads of engines that have room beside other rows."""
        loads = learned.list_loads(self._state.clock(), LOADS_MAX - other_rows)
        return [
            message.UpstreamLoad(
                upstream=name,
                requests=requests,
                tokens=tokens,
                work_s=work_s,
                slowness=slowness,
            )
            for name, (requests, tokens, work_s, slowness) in loads.items()
        ]

    def _plain_loads(self) -> list[message.UpstreamLoad]:
        """Returns the largest loads of plain pools, if they are told."""
        work = self._plain.selector.local_work(self._state.clock())
        ranked = sorted(work.items(), key=lambda item: -item[1][1])
        return [
            message.UpstreamLoad(
                upstream=name, requests=count, tokens=0, work_s=work_s
            )
            for name, (count, work_s) in ranked[:PLAIN_LOADS_MAX]
        ]

    def queue_waits(self) -> list[message.PoolWait]:
        """See `GossipSource.queue_waits`."""
        return [
            message.PoolWait(
                pool=pool,
                on_time_s=on_time_s,
                whole_s=total_s,
                opens_in_s=opens_in_s,
            )
            for pool, (
                on_time_s,
                total_s,
                opens_in_s,
            ) in self._scheduler.queue_waits().items()
        ]

    def record_gossip(self, sender: str, gossip: message.Gossip) -> None:
        """See `GossipSource.record_gossip`."""
        now = self._state.clock()
        self._state.engines.record_peer_loads(
            sender,
            {
                load.upstream: (load.requests, load.tokens)
                for load in gossip.loads
            },
            now,
        )
        if self._state.engines.learned is not None:
            self._state.engines.learned.record_peer(
                sender,
                {
                    load.upstream: (
                        load.requests,
                        load.tokens,
                        load.work_s,
                        load.slowness,
                    )
                    for load in gossip.loads
                },
                now,
            )
        self._plain.selector.record_peer_work(
            sender,
            {
                load.upstream: load.work_s
                for load in gossip.loads
                if load.work_s > 0.0
            },
            now,
        )
        for wait in gossip.waits:
            self._state.queue_waits.put(
                wait.pool, wait.on_time_s, wait.whole_s, wait.opens_in_s, now
            )
