"""Records and logs which upstreams are cold.

`core/cold_upstreams.py` decides. Here it learns of entries, of answers, and of
upstreams that can't be reached.
"""

import math

from loguru import logger

from applespring.core.catalog import ListedUpstream
from applespring.core.cold_upstreams import ColdChange, ColdSource
from applespring.permits.broker import PermitBroker
from applespring.relay.metrics import RelayMetrics
from applespring.relay.state import RelayState

# A message of a peer that arrives so long after a connection attempt began
# shows that the instance could be reached meanwhile.
HEARD_AFTER_S = 0.05


class ColdRecorder:
    """Passes what shows the state of upstreams to the cold upstreams."""

    __slots__ = ("_state", "_metrics", "_cold", "_permits")

    def __init__(self, state: RelayState, metrics: RelayMetrics) -> None:
        self._state = state
        self._metrics = metrics
        self._cold = state.notices.limits.cold
        self._permits: PermitBroker | None = None

    def set_permits(self, permits: PermitBroker) -> None:
        """Sets what tells other instances of upstreams that became cold."""
        self._permits = permits

    def record_entry(self, upstream: ListedUpstream, *, is_new: bool) -> None:
        """Records an entry from the registry or a peer.

        Args:
            upstream: The entry.
            is_new: Whether this start was not listed before, and others were.
        """
        held = self._state.catalog.get(upstream.name)
        if (
            held is None
            or held.identity != upstream.identity
            or held.revision != upstream.revision
        ):
            return
        now = self._state.clock()
        was_listed = self._cold.listed_s(upstream.identity, now) > 0.0
        self.report(
            self._cold.record_entry(
                upstream.identity,
                upstream.pool,
                upstream.cold_s,
                upstream.revision,
                now,
                is_new=is_new,
            )
        )
        if (
            not was_listed
            and self._permits is not None
            and self._cold.bound_of(upstream.pool) is not None
            and self._cold.listed_s(upstream.identity, now) > 0.0
        ):
            # Others that have not read the entry yet ask for no permits. Those
            # that are told of it before they read it don't repeat the news.
            self._permits.announce()

    def record_report(
        self, upstream: ListedUpstream, cold_s: float, sent_at: float
    ) -> None:
        """Records what an answer says of its upstream."""
        self.report(
            self._cold.record_report(
                upstream.identity, cold_s, sent_at, self._state.clock()
            )
        )

    def record_answer(self, upstream: ListedUpstream, sent_at: float) -> None:
        """Records that an upstream has answered a request."""
        if self._cold:
            self._cold.record_answer(
                upstream.identity, sent_at, self._state.clock()
            )

    def record_refusal(self, upstream: ListedUpstream) -> None:
        """Records that no process listens at the address of an upstream."""
        self._suspect(upstream)

    def record_timeout(
        self, upstream: ListedUpstream, started_at: float
    ) -> None:
        """Records that no connection to an upstream could be opened in time.

        It counts only if a peer in the upstream's failure domain was heard from
        meanwhile, since otherwise the path to that domain may be cut.

        Args:
            upstream: The upstream.
            started_at: When the attempt began.
        """
        heard_at = max(
            (
                peer.direct_received_at
                for peer in self._state.peer_table.all_peers()
                if peer.failure_domain == upstream.failure_domain
            ),
            default=-math.inf,
        )
        if heard_at >= started_at + HEARD_AFTER_S:
            self._suspect(upstream)

    def _suspect(self, upstream: ListedUpstream) -> None:
        self.report(
            self._cold.suspect(
                upstream.identity, upstream.pool, self._state.clock()
            )
        )

    def begin_domain(self, failure_domain: str) -> None:
        """Treats the upstreams of a failure domain as just started.

        Called when its evacuation ends. They may have become cold shortly
        before, without a newer entry.
        """
        for upstream in self._state.catalog.all().values():
            if upstream.failure_domain == failure_domain:
                self.report(
                    self._cold.begin(
                        upstream.identity,
                        upstream.pool,
                        self._state.clock(),
                        ColdSource.EVACUATION,
                    )
                )

    def expire(self) -> None:
        """Reports the upstreams whose time has ended."""
        for change in self._cold.expire(
            self._state.clock(), self._state.catalog.all()
        ):
            self.report(change)

    def report(self, change: ColdChange | None) -> None:
        """Logs and counts a change, if its pool has a bound for cold ones."""
        if change is None or self._cold.bound_of(change.pool) is None:
            return
        kind = "upstream_cold" if change.is_cold else "upstream_warm"
        self._state.notices.limits.reopen((change.name, change.born_ms))
        if change.is_cold and self._permits is not None:
            self._permits.drop_burst(change.name)
        self._metrics.state_changes.inc(kind)
        for_s = change.until - self._state.clock()
        log = logger.bind(
            event=kind,
            upstream=change.name,
            born_ms=change.born_ms,
            pool=change.pool,
            source=change.source.value,
        )
        if not change.is_cold:
            log.info("upstream {} is no longer cold", change.name)
        elif for_s == math.inf:
            log.bind(for_s=None).info(
                "upstream {} can't be reached and counts as cold until it is "
                "listed anew, or for a time after its next answer",
                change.name,
            )
        else:
            log.bind(for_s=round(for_s, 3)).info(
                "upstream {} is cold for {:.3f} s", change.name, for_s
            )
