"""Fetches documents and upstream entries from peers.

Documents are fetched at any time, since the newest version always wins. Entries
of upstreams are fetched only while the registry cannot be read: peers do not
pass on removals, so stale entries remain until the next full read of the
registry.

Orders to evacuate failure domains are fetched at any time too, all of them with
the revision up to which they are known, so that their end is learned as well.
"""

import anyio
from loguru import logger

from applespring.core.catalog import ListedUpstream
from applespring.core.errors import ApplespringError
from applespring.core.peer_table import Peer
from applespring.peer import message
from applespring.relay.evacuation import EvacuationRecorder
from applespring.relay.metrics import RelayMetrics
from applespring.relay.peers import Peers
from applespring.relay.state import RelayState
from applespring.relay.upstream_messages import (
    NOT_KNOWN,
    decode_upstreams,
    encode_upstream,
)
from applespring.relay.watch import Watcher

# Interval between checks for peers with newer data.
FETCH_INTERVAL_S = 0.2
# If a peer has had a later revision for this long without a report of it by the
# watch, the connection of the watch is assumed to be dead. A working watch
# starts again after a pause of at most 0.8 s.
WATCH_RENEWAL_DELAY_S = 1.2


class PeerSync:
    """Fetches newer data from peers, and answers their requests for it."""

    def __init__(
        self,
        state: RelayState,
        peers: Peers,
        watcher: Watcher,
        evacuations: EvacuationRecorder,
        metrics: RelayMetrics,
    ) -> None:
        self._state = state
        self._peers = peers
        self._watcher = watcher
        self._evacuations = evacuations
        self._metrics = metrics
        # Since when a peer has held a later revision, and the local revision at
        # that time; -1 if no peer holds one.
        self._behind_since = 0.0
        self._behind_revision = -1
        peers.register_handler(message.FetchConfig, self._on_fetch_document)
        peers.register_handler(message.FetchUpstreams, self._on_fetch_upstreams)
        peers.register_handler(
            message.FetchEvacuations, self._on_fetch_evacuations
        )

    async def run(self) -> None:
        """Fetches from peers until cancelled."""
        while True:
            await anyio.sleep(FETCH_INTERVAL_S)
            reachable = self._peers.table.reachable(self._state.clock())
            # Before the upstreams, so that none of an evacuated domain is used
            # by an instance that has just started.
            await self._fetch_evacuations(reachable)
            await self._fetch_document(reachable)
            if self._watcher.registry_unreachable:
                if not self._lacks_evacuations(reachable):
                    await self._fetch_upstreams(reachable)
            else:
                self._check_watch(reachable)

    def _lacks_evacuations(self, reachable: list[Peer]) -> bool:
        """Returns whether an instance without upstreams has yet to get orders.

        It would count as ready with the upstreams, and use evacuated ones.
        """
        held = self._state.evacuations
        return not self._state.entries_revision and any(
            peer.evacuations_revision > held.complete_at for peer in reachable
        )

    async def _fetch_evacuations(self, reachable: list[Peer]) -> None:
        """Fetches all orders from a peer that may know of a change.

        The end of an order leaves no trace at a peer that has started since.
        An instance that holds orders and can't read the registry therefore
        also asks a peer with later entries.
        """
        held = self._state.evacuations
        is_unsure = bool(held) and self._watcher.registry_unreachable
        newer = [
            peer
            for peer in reachable
            if peer.evacuations_revision > held.complete_at
            or (is_unsure and peer.entries_revision > held.complete_at)
        ]
        if not newer:
            return
        # The one heard from last is the most likely to answer.
        peer = max(newer, key=lambda peer: peer.received_at)
        reply = await self._request(
            peer, message.FetchEvacuations(revision=held.complete_at)
        )
        if isinstance(reply, message.EvacuationList):
            self._evacuations.record_peer(
                [d.name for d in reply.domains], reply.revision, peer.name
            )

    async def _fetch_document(self, reachable: list[Peer]) -> None:
        version = self._state.document_version
        for peer in reachable:
            if peer.document_version > version:
                reply = await self._request(
                    peer, message.FetchConfig(revision=version)
                )
                if isinstance(reply, message.ConfigDocument) and reply.document:
                    self._watcher.apply_document(reply.document, peer.name)
                return

    async def _fetch_upstreams(self, reachable: list[Peer]) -> None:
        local_revision = self._state.entries_revision
        for peer in reachable:
            if peer.entries_revision > local_revision:
                reply = await self._request(
                    peer, message.FetchUpstreams(revision=local_revision)
                )
                # The registry may have been read meanwhile. What it lacks since
                # would stay listed.
                if (
                    isinstance(reply, message.UpstreamList)
                    and self._watcher.registry_unreachable
                    and reply.revision > self._state.entries_revision
                ):
                    self._apply_upstreams(reply, peer.name)
                return

    def _check_watch(self, reachable: list[Peer]) -> None:
        """Renews a watch that has not reported changes held by a peer."""
        now, local_revision = self._state.clock(), self._state.entries_revision
        if all(peer.entries_revision <= local_revision for peer in reachable):
            self._behind_revision = -1
        elif self._behind_revision != local_revision:
            self._behind_since, self._behind_revision = now, local_revision
        elif now - self._behind_since > WATCH_RENEWAL_DELAY_S:
            self._behind_revision = -1
            self._watcher.renew_watch()

    async def _request(
        self, peer: Peer, request: message.Message
    ) -> message.Message | None:
        try:
            return await self._peers.request(peer.address, request)
        except ApplespringError as exc:
            logger.bind(
                event="fetch_failed",
                peer=peer.name,
                what=type(request).__name__,
            ).warning(
                "{} to instance {} was not answered: {}",
                type(request).__name__,
                peer.name,
                exc,
            )
            return None

    def _apply_upstreams(
        self, reply: message.UpstreamList, source: str
    ) -> None:
        upstreams, rejected = decode_upstreams(reply.upstreams)
        self._watcher.record_rejections(rejected, source)
        self._metrics.state_changes.inc("entries_from_peer")
        logger.bind(
            event="entries_from_peer",
            source=source,
            entries=len(upstreams),
            revision=reply.revision,
            previous=self._state.entries_revision,
        ).info(
            "{} upstream entries up to revision {} fetched from instance {}",
            len(upstreams),
            reply.revision,
            source,
        )
        self._watcher.apply_upstreams(upstreams)
        self._state.entries_revision = reply.revision

    async def _on_fetch_document(
        self, msg: message.FetchConfig
    ) -> message.Message:
        del msg
        return message.ConfigDocument(
            revision=self._state.document_version,
            document=self._state.document_data,
        )

    async def _on_fetch_evacuations(
        self, msg: message.FetchEvacuations
    ) -> message.Message:
        del msg
        held = self._state.evacuations
        return message.EvacuationList(
            revision=held.complete_at,
            domains=[
                message.EvacuatedDomain(name=name)
                for name in held.list_registered()
            ],
        )

    async def _on_fetch_upstreams(
        self, msg: message.FetchUpstreams
    ) -> message.Message:
        return message.UpstreamList(
            revision=self._state.entries_revision,
            upstreams=[
                self._to_message(upstream)
                for upstream in self._state.catalog.all().values()
                if upstream.revision > msg.revision
            ],
        )

    def _to_message(self, upstream: ListedUpstream) -> message.UpstreamEntry:
        cold_s = NOT_KNOWN
        if upstream.cold_s is not None:
            cold_s = self._state.notices.limits.cold.listed_s(
                upstream.identity, self._state.clock()
            )
        return encode_upstream(upstream, cold_s)
