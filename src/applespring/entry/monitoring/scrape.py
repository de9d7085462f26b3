"""Metrics that are read from other components at each scrape."""

from collections.abc import Callable, Iterator, Mapping

from applespring.core.counters import GateCounters
from applespring.core.drain import DrainState
from applespring.core.fleet import Fleet
from applespring.core.gate import PoolGate
from applespring.core.instances import ListOutcome
from applespring.core.key_table import KeyTable
from applespring.core.membership import DispatchCheck, Membership
from applespring.core.order import OrderPlanner
from applespring.core.retry import RetryBudget
from applespring.core.revision import Acceptance
from applespring.entry.drain import DrainService
from applespring.entry.execution.gates import Clock, Gates
from applespring.entry.external.config import ConfigService
from applespring.entry.external.members import MemberService
from applespring.entry.external.platform import PlatformClient
from applespring.entry.mesh.peers import PeerService
from applespring.entry.monitoring.metrics import Metrics
from applespring.metric_family import CounterFamily, GaugeFamily
from applespring.serving.figures import CallerFigures

# Shown instead of infinity, which plots of a gauge can't show; it exceeds every
# deadline.
EXPECTED_MAX_S = 3600.0

_ReadSamples = Callable[[], Iterator[tuple[float, tuple[str, ...]]]]


class StateReader:
    """Copies counts and states of the components into the metrics."""

    __slots__ = (
        "_metrics",
        "_clock",
        "_gates",
        "_membership",
        "_members",
        "_config",
        "_platform",
        "_peers",
        "_drain",
        "_table",
        "_budget",
        "_planner",
        "_callers",
        "_counters",
        "_gauges",
    )

    def __init__(
        self,
        metrics: Metrics,
        clock: Clock,
        *,
        gates: Gates,
        members: MemberService,
        config: ConfigService,
        platform: PlatformClient,
        peers: PeerService,
        drain: DrainService,
        table: KeyTable,
        budget: RetryBudget,
        planner: OrderPlanner,
        callers: CallerFigures,
        identity: Mapping[str, str],
    ) -> None:
        """Registers the metrics.

        Args:
            metrics: The metrics to register them with.
            clock: Seconds on the monotonic clock.
            gates: The gates of all pools.
            members: The service that updates the membership view.
            config: The service that updates the configuration.
            platform: The client of the platform.
            peers: The link to other instances.
            drain: The graceful shutdown.
            table: The key table.
            budget: The retry budget.
            planner: Decides on orders to engines.
            callers: What callers use.
            identity: Labels of `applespring_instance_info` and their values.
        """
        self._metrics = metrics
        self._clock = clock
        self._gates = gates
        self._membership: Membership = members.membership
        self._members = members
        self._config = config
        self._platform = platform
        self._peers = peers
        self._drain = drain
        self._table = table
        self._budget = budget
        self._planner = planner
        self._callers = callers
        self._counters: list[tuple[CounterFamily, _ReadSamples]] = []
        self._gauges: list[tuple[GaugeFamily, _ReadSamples]] = []
        info = metrics.gauge(
            "applespring_instance_info",
            "Always 1; the labels identify the process",
            *identity,
        )
        values = tuple(identity.values())
        self._gauges.append((info, lambda: iter([(1.0, values)])))
        self._declare_counters()
        self._declare_pool_gauges()
        self._declare_gauges()

    def read(self) -> None:
        """Updates all values."""
        for family, values_of in self._counters:
            for total, labels in values_of():
                family.set(total, *labels)
        for family, values_of in self._gauges:
            family.replace({labels: value for value, labels in values_of()})

    def _add_counter(
        self, name: str, doc: str, read: _ReadSamples, *label_names: str
    ) -> None:
        family = self._metrics.counter(name, doc, *label_names)
        self._counters.append((family, read))

    def _add_gauge(
        self, name: str, doc: str, read: _ReadSamples, *label_names: str
    ) -> None:
        family = self._metrics.gauge(name, doc, *label_names)
        self._gauges.append((family, read))

    def _declare_counters(self) -> None:
        self._add_counter(
            "applespring_gate_tickets_total",
            "Tickets and grants of a pool's gate, by event",
            self._read_gate_counters,
            "pool",
            "event",
        )
        self._add_counter(
            "applespring_retry_budget_total",
            "Requests to the budget of added attempts, by outcome",
            lambda: iter(
                [
                    (self._budget.granted, ("granted",)),
                    (self._budget.denied, ("denied",)),
                ]
            ),
            "outcome",
        )
        self._add_counter(
            "applespring_config_offers_total",
            "Configuration documents offered, by what became of them",
            lambda: (
                (self._config.tracker.counts[outcome], (outcome.value,))
                for outcome in Acceptance
            ),
            "outcome",
        )
        self._add_counter(
            "applespring_list_offers_total",
            "Instance lists offered, by what became of them",
            lambda: (
                (self._membership.listed.counts[outcome], (outcome.value,))
                for outcome in ListOutcome
            ),
            "outcome",
        )
        self._add_counter(
            "applespring_platform_errors_total",
            "Calls to the platform that failed, by kind",
            lambda: (
                (count, (kind,))
                for kind, count in self._platform.errors.items()
            ),
            "kind",
        )
        for name, doc, read in self._unlabelled_counters():
            self._add_counter(name, doc, _read_unlabelled(read))

    def _unlabelled_counters(
        self,
    ) -> Iterator[tuple[str, str, Callable[[], float]]]:
        """Yields name, description and reader of counters without labels."""
        yield (
            "applespring_platform_calls_total",
            "Calls to the platform",
            lambda: self._platform.calls,
        )
        yield (
            "applespring_list_reads_failed_total",
            "Reads of the instance list that confirmed nothing",
            lambda: self._members.reads_failed,
        )
        yield (
            "applespring_load_probes_total",
            "Load reports asked for",
            lambda: self._members.probes,
        )
        yield (
            "applespring_load_probes_failed_total",
            "Load reports that did not arrive",
            lambda: self._members.probe_failures,
        )
        yield (
            "applespring_load_probes_deferred_total",
            "Load reports put off to a later round",
            lambda: self._members.probes_deferred,
        )
        yield (
            "applespring_peer_messages_rejected_total",
            "Messages of peers that were not understood",
            lambda: self._peers.messages_rejected,
        )
        yield (
            "applespring_peer_handler_errors_total",
            "Messages of peers whose handling failed",
            lambda: self._peers.handler_errors,
        )
        yield (
            "applespring_peer_config_failures_total",
            "Requests to peers for a configuration that failed",
            lambda: self._config.peer_failures,
        )
        yield (
            "applespring_pauses_total",
            "Pauses of this process that it noticed",
            lambda: self._membership.pauses,
        )
        yield (
            "applespring_leaving_notices_evicted_total",
            "Leaving notices dropped for lack of room",
            lambda: self._membership.leaving.evicted,
        )
        yield (
            "applespring_orders_withheld_total",
            "Orders held back for want of a recent confirmation",
            lambda: self._planner.withheld,
        )
        yield (
            "applespring_cache_event_gaps_total",
            "Gaps found in the cache events of engines",
            lambda: sum(
                gate.prefixes.sequence_gaps for gate in self._pools().values()
            ),
        )
        yield (
            "applespring_drain_refused_total",
            "Requests refused at the bound of the drain",
            lambda: self._drain.refused,
        )
        yield (
            "applespring_drain_abandoned_total",
            "Requests left unanswered at the end of the drain",
            lambda: self._drain.abandoned,
        )

    def _declare_pool_gauges(self) -> None:
        self._add_gauge(
            "applespring_queue_length",
            "Tickets that wait",
            self._read_by_pool(lambda _, gate: len(gate)),
            "pool",
        )
        self._add_gauge(
            "applespring_pool_busy_ratio",
            "Fraction of this instance's share of the slots in use",
            self._read_by_pool(lambda _, gate: gate.busy(self._clock())),
            "pool",
        )
        self._add_gauge(
            "applespring_pool_expected_seconds",
            "Expected seconds of a call in the pool",
            self._read_by_pool(
                lambda _, gate: min(
                    gate.expected_s(self._clock()), EXPECTED_MAX_S
                )
            ),
            "pool",
        )
        self._add_gauge(
            "applespring_upstreams",
            "Upstreams by whether they may get new work",
            self._read_upstreams,
            "pool",
            "state",
        )
        self._add_gauge(
            "applespring_evidence_age_seconds",
            "Age of the oldest evidence that a pool's upstreams serve",
            self._read_evidence_ages,
            "pool",
        )

    def _declare_gauges(self) -> None:
        self._add_gauge(
            "applespring_drain_state",
            "1 for the state of the shutdown, 0 for the others",
            lambda: (
                (float(state is self._drain.drain.state), (state.value,))
                for state in DrainState
            ),
            "state",
        )
        self._add_gauge(
            "applespring_config_confirmed_age_seconds",
            "Seconds since the platform confirmed the configuration",
            self._read_confirmed_age,
        )
        for name, doc, read in (
            (
                "applespring_requests_in_flight",
                "Requests, streams and forwarded calls in flight",
                lambda: self._drain.drain.in_flight,
            ),
            (
                "applespring_config_revision",
                "Revision of the document in force, 0 for none",
                lambda: self._config.tracker.revision,
            ),
            (
                "applespring_config_highest_invalid_revision",
                "Highest remembered revision that failed validation, or 0",
                lambda: self._config.tracker.highest_invalid,
            ),
            (
                "applespring_list_revision",
                "Revision of the instance list in force, 0 for none",
                lambda: self._membership.listed.revision,
            ),
            (
                "applespring_peers_heard",
                "Peers of which a heartbeat is remembered",
                lambda: len(self._peers.received_heartbeats),
            ),
            (
                "applespring_leaving_notices",
                "Leaving notices in force",
                lambda: len(self._membership.leaving),
            ),
            (
                "applespring_key_table_entries",
                "Idempotency keys remembered, in flight or finished",
                lambda: len(self._table),
            ),
        ):
            self._add_gauge(name, doc, _read_unlabelled(read))
        self._add_gauge(
            "applespring_callers",
            "What callers use and what was turned away",
            lambda: (
                (value, (name,)) for name, value in self._callers.read().items()
            ),
            "name",
        )

    def _pools(self) -> dict[str, PoolGate]:
        return self._gates.all_gates()

    def _fleet(self) -> Fleet | None:
        return self._config.tracker.fleet

    def _read_by_pool(
        self, read: Callable[[str, PoolGate], float]
    ) -> _ReadSamples:
        return lambda: (
            (read(name, gate), (name,)) for name, gate in self._pools().items()
        )

    def _read_gate_counters(self) -> Iterator[tuple[float, tuple[str, ...]]]:
        for pool, gate in self._pools().items():
            for event in GateCounters.__slots__:
                yield getattr(gate.counters, event), (pool, event)

    def _read_upstreams(self) -> Iterator[tuple[float, tuple[str, ...]]]:
        fleet, now = self._fleet(), self._clock()
        for pool in fleet.pools.values() if fleet else ():
            checks = [
                self._membership.check_dispatch(upstream.name, now)
                for upstream in pool.upstreams
            ]
            for check in DispatchCheck:
                yield checks.count(check), (pool.name, check.value)

    def _read_evidence_ages(self) -> Iterator[tuple[float, tuple[str, ...]]]:
        fleet, now = self._fleet(), self._clock()
        for pool in fleet.pools.values() if fleet else ():
            found = [
                self._membership.evidence(upstream.name)
                for upstream in pool.upstreams
            ]
            ages = [now - evidence.at for evidence in found if evidence]
            if ages:
                yield max(ages), (pool.name,)

    def _read_confirmed_age(self) -> Iterator[tuple[float, tuple[str, ...]]]:
        if self._config.confirmed_at is not None:
            yield self._clock() - self._config.confirmed_at, ()


def _read_unlabelled(read: Callable[[], float]) -> _ReadSamples:
    return lambda: iter([(read(), ())])
