"""Puts orders to evacuate failure domains in force, and logs them."""

from collections.abc import Callable, Iterable

from loguru import logger

from applespring.core.evacuations import EvacuationUpdate
from applespring.relay.metrics import RelayMetrics
from applespring.relay.peers import Peers
from applespring.relay.registry import EvacuationChange
from applespring.relay.stage_scheduler import StageScheduler
from applespring.relay.state import RelayState

REGISTRY = "registry"


class EvacuationRecorder:
    """Passes orders to `RelayState.evacuations`, and has them applied.

    Everything that chooses upstreams reads that table. Stage queues are woken,
    and peers get a heartbeat at once.
    """

    __slots__ = ("_state", "_peers", "_scheduler", "_metrics", "_begin_cold")

    def __init__(
        self,
        state: RelayState,
        peers: Peers,
        scheduler: StageScheduler,
        metrics: RelayMetrics,
        begin_cold: Callable[[str], None],
    ) -> None:
        """Sets the state and what depends on the orders.

        Args:
            state: State of the instance.
            peers: The other instances.
            scheduler: Queues of stage pools.
            metrics: Metrics that count changes.
            begin_cold: Called with a domain whose evacuation has ended, since
                its upstreams may be cold.
        """
        self._begin_cold = begin_cold
        self._state = state
        self._peers = peers
        self._scheduler = scheduler
        self._metrics = metrics

    def record_read(
        self, orders: Iterable[EvacuationChange], revision: int
    ) -> None:
        """Applies all orders that the registry held at a revision."""
        self._record_all(
            {o.failure_domain: o.revision for o in orders if o.in_force},
            revision,
            REGISTRY,
        )

    def record_changes(
        self, changes: Iterable[EvacuationChange], revision: int
    ) -> None:
        """Applies the registry's changes up to a revision."""
        update = self._state.evacuations.apply(
            [(c.failure_domain, c.in_force, c.revision) for c in changes],
            revision,
            self._known_domains(),
        )
        self._finish(update, REGISTRY)

    def record_peer(
        self, domains: Iterable[str], revision: int, source: str
    ) -> None:
        """Applies all orders that a peer knows up to a revision."""
        self._record_all(dict.fromkeys(domains, revision), revision, source)

    def settle(self) -> None:
        """Ends the time after which a copy of the registry is believed."""
        update = self._state.evacuations.settle(self._state.clock())
        self._finish(update, REGISTRY)

    def _record_all(
        self, orders: dict[str, int], revision: int, source: str
    ) -> None:
        update = self._state.evacuations.replace(
            orders, revision, self._state.clock(), self._known_domains()
        )
        self._finish(update, source)

    def _known_domains(self) -> set[str]:
        return {u.failure_domain for u in self._state.catalog.all().values()}

    def _finish(self, update: EvacuationUpdate, source: str) -> None:
        if not update:
            return
        revision = self._state.evacuations.changed_at
        for domain in update.begun:
            self._log_begun(domain, source, revision)
        for domain in update.ended:
            self._begin_cold(domain)
            self._metrics.state_changes.inc("evacuation_ended")
            logger.bind(
                event="evacuation_ended",
                failure_domain=domain,
                source=source,
                revision=revision,
            ).info(
                "evacuation of failure domain {} has ended, as {} says",
                domain,
                source,
            )
        for domain in update.dropped:
            self._metrics.state_changes.inc("evacuation_dropped")
            logger.bind(
                event="evacuation_dropped", failure_domain=domain
            ).error(
                "order to evacuate failure domain {} is not in force: there "
                "are more than {} orders",
                domain,
                len(self._state.evacuations.domains),
            )
        self._scheduler.apply_evacuations(update.ended)
        self._peers.hasten_heartbeat()

    def _log_begun(self, domain: str, source: str, revision: int) -> None:
        upstreams = sum(
            u.failure_domain == domain
            for u in self._state.catalog.all().values()
        )
        self._metrics.state_changes.inc("evacuation_begun")
        log = logger.bind(
            event="evacuation_begun",
            failure_domain=domain,
            source=source,
            revision=revision,
            upstreams=upstreams,
        )
        if not upstreams:
            log.warning(
                "failure domain {} is to be evacuated, as {} says; no upstream "
                "is listed in it",
                domain,
                source,
            )
            return
        log.info(
            "failure domain {} is evacuated, as {} says; its {} upstreams get "
            "nothing more",
            domain,
            source,
            upstreams,
        )
