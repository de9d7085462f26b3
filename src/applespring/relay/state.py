"""State of a relay instance, shared by its components."""

from collections.abc import Callable

from loguru import logger

from applespring.core.caller_memory import CallerMemory
from applespring.core.catalog import Catalog, ListedUpstream
from applespring.core.engine_selector import EngineSelector
from applespring.core.engines.learned import LearnedEngines
from applespring.core.evacuations import EvacuationTable
from applespring.core.first_event import FirstEventEstimate
from applespring.core.homes import DomainRegions, Regions
from applespring.core.idle_limit import IdleLimit
from applespring.core.notices import UpstreamNotices
from applespring.core.peer_table import PeerTable
from applespring.core.queue_waits import QueueWaits
from applespring.core.queueing.service_order import DEFAULT_ORDER
from applespring.core.reachability import DomainReachability
from applespring.core.return_times import ReturnTimes
from applespring.core.route import CallerLimits, RoutingDocument
from applespring.core.window import AttemptWindow
from applespring.relay.settings import RelaySettings
from applespring.serving.limits import CALLER_MEMORY_SHARE


class RelayState:
    """Last known state of the environment, and the state of the instance.

    Attributes:
        settings: Settings in force.
        document: The routing document in force, or None before the first.
        document_data: The encoded document, for peers.
        idle_limit: How long callers' connections may rest.
        catalog: Upstreams, from the registry or from peers.
        notices: What upstreams have said of themselves in answers.
        registry_read_at: When the registry last answered, or -1.
        entries_revision: Revision up to which the catalog has the upstreams'
            entries; 0 before the first.
        evacuations: Failure domains whose upstreams get nothing.
        engines: Load and health of engines.
        reachability: Answered and unanswered calls by failure domain.
        domain_regions: Region of each failure domain.
        peer_table: Last known state of the other instances.
        queue_waits: Latest queue waits of the stage pools.
        leaving: Whether this instance is shutting down.
        closed: Whether it refuses new requests, late in a shutdown.
        requests: Number of requests in progress.
        memory: What is held in memory for callers.
        clock: Monotonic clock in seconds that includes time spent suspended.
    """

    __slots__ = (
        "settings",
        "document",
        "document_data",
        "idle_limit",
        "catalog",
        "notices",
        "registry_read_at",
        "entries_revision",
        "evacuations",
        "engines",
        "queue_waits",
        "reachability",
        "peer_table",
        "domain_regions",
        "leaving",
        "closed",
        "requests",
        "memory",
        "clock",
        "_answer_limit_s",
        "_return_times",
        "_attempt_windows",
        "_first_events",
    )

    def __init__(
        self, settings: RelaySettings, clock: Callable[[], float]
    ) -> None:
        self.settings = settings
        self.document: RoutingDocument | None = None
        self.document_data = b""
        self.idle_limit = IdleLimit(CallerLimits().idle_s)
        self._answer_limit_s = 0.0
        self.catalog = Catalog()
        self.notices = UpstreamNotices()
        self.registry_read_at = -1.0
        self.entries_revision = 0
        self.evacuations = EvacuationTable()
        self.engines = EngineSelector(
            LearnedEngines() if settings.choice == "learned" else None
        )
        self.queue_waits = QueueWaits()
        self.reachability = DomainReachability()
        self.peer_table = PeerTable(settings.name)
        self.domain_regions = DomainRegions(
            {settings.failure_domain: settings.region, **settings.regions}
        )
        self.leaving = False
        self.closed = False
        self.requests = 0
        self.memory = CallerMemory(
            int(CALLER_MEMORY_SHARE * settings.memory_bytes)
        )
        self.clock = clock
        self._attempt_windows: dict[str, AttemptWindow] = {}
        self._first_events: dict[str, FirstEventEstimate] = {}
        self._return_times: dict[str, ReturnTimes] = {}

    def replace_document(self, doc: RoutingDocument, data: bytes) -> None:
        """Puts a document in force.

        Args:
            doc: The document.
            data: Its encoding, for peers.
        """
        self.idle_limit.replace(
            doc.limits.idle_s, self._answer_limit_s, self.clock()
        )
        # An answer in progress may have been admitted by an earlier document.
        self._answer_limit_s = max(
            [self._answer_limit_s, *(route.timeout_s for route in doc.routes)]
        )
        self.document = doc
        self.document_data = data
        self.notices.limits.cold.configure(
            doc.pools.values(),
            self.settings.cold_overshoot,
            self.settings.cold_slack,
        )

    @property
    def connection_header(self) -> tuple[bytes, bytes]:
        """Header of answers that tells what becomes of the connection."""
        if self.leaving:
            return b"connection", b"close"
        return b"keep-alive", b"timeout=%d" % self.idle_limit.stated_s

    def attempt_window(self, pool: str) -> AttemptWindow:
        """Returns the retry budget of a pool, created at first use."""
        window = self._attempt_windows.get(pool)
        if window is None:
            settings = self.settings
            window = self._attempt_windows[pool] = AttemptWindow(
                settings.retry_ratio,
                settings.retry_window_s,
                settings.retry_extra,
            )
        return window

    def first_event(self, pool: str) -> FirstEventEstimate:
        """Returns the estimate for a pool's engines, created at first use."""
        return self._first_events.setdefault(pool, FirstEventEstimate())

    def first_event_s(self, pool: str, route: str) -> float:
        """Returns the expected time to the first event of a route's stream.

        By route if the order of service uses deadlines, else for the pool.
        """
        estimate = self.first_event(pool)
        if self.settings.stage_order == DEFAULT_ORDER:
            return estimate.run_s
        return estimate.route_run_s(route)

    def return_times(self, pool: str) -> ReturnTimes:
        """Returns when refused callers of a pool are to come back."""
        return self._return_times.setdefault(pool, ReturnTimes())

    def usable_upstreams(
        self, pool: str, request: str = "", regions: Regions = None
    ) -> list[ListedUpstream]:
        """Returns the upstreams of a pool that may get a request now.

        Those that are paused get none. An upstream whose pause has just ended,
        or that is or was cold, is left out for most requests, see
        `UpstreamNotices.takes_share` and `takes_cold_share`.

        Args:
            pool: Name of the pool.
            request: Id of the request, or "" if it is not known yet.
            regions: Regions that its homes allow.
        """
        now = self.clock()
        staying = self.staying_upstreams(pool, regions)
        if not self.notices:
            return staying
        usable = [
            u for u in staying if self.notices.pauses.until(u.identity) <= now
        ]
        if not request:
            return usable
        if self.notices.limits.cold:
            usable = self._leave_out_cold(usable, request, now)
        return [
            u
            for u in usable
            if self.notices.takes_share(u.identity, request, len(staying), now)
        ] or usable

    def _leave_out_cold(
        self, upstreams: list[ListedUpstream], request: str, now: float
    ) -> list[ListedUpstream]:
        """Leaves out most cold upstreams, unless all of them are cold."""
        cold = self.notices.limits.cold
        warm_count = sum(cold.find(u.identity, now) is None for u in upstreams)
        return [
            u
            for u in upstreams
            if self.notices.takes_cold_share(
                u.identity, request, warm_count, now
            )
        ]

    def pool_opens_in_s(
        self, pool: str, *, limits: bool = True, regions: Regions = None
    ) -> float | None:
        """Returns when the first upstream of a pool takes requests again.

        Args:
            pool: Name of the pool.
            limits: Whether one with a rate limit counts as taking none until
                there is a permit.
            regions: Regions whose upstreams count.

        Returns:
            Seconds from now, 0 if one takes them now, or None if none of them
            is known to.
        """
        return self.notices.opens_in_s(
            (u.identity for u in self._ready_in(pool, regions)),
            self.clock(),
            limits=limits,
        )

    def pool_rate_limit(
        self, pool: str, regions: Regions = None
    ) -> float | None:
        """Returns what the upstreams of a pool take a second together.

        Returns:
            The sum of their rate limits, or None if one has none or there are
            no upstreams.
        """
        limits, now = self.notices.limits, self.clock()
        rates = [
            limit.per_s if (limit := limits.find(u.identity, now)) else None
            for u in self.staying_upstreams(pool, regions)
        ]
        return None if None in rates or not rates else sum(rates)

    def paused_until(self, pool: str) -> dict[str, float]:
        """Returns until when the paused upstreams of a pool are, by name."""
        now, pauses = self.clock(), self.notices.pauses
        return {
            u.name: pauses.until(u.identity)
            for u in self._ready_in(pool)
            if pauses.until(u.identity) > now
        }

    def staying_upstreams(
        self, pool: str, regions: Regions = None
    ) -> list[ListedUpstream]:
        """Returns the upstreams of a pool that accept work and are reachable.

        Paused ones are among them. The local failure domain never counts as
        unreachable. An upstream that has said that it leaves accepts no work,
        whatever the registry lists, and neither does one in an evacuated
        failure domain, the local one included.
        """
        unreachable = self.peer_table.unreachable_domains(self.clock())
        unreachable.discard(self.settings.failure_domain)
        ready = self._ready_in(pool, regions)
        return self.reachability.filter_reachable(
            [u for u in ready if not self._leaves(u)]
            if self.notices
            else ready,
            unreachable,
        )

    def _ready_in(
        self, pool: str, regions: Regions = None
    ) -> list[ListedUpstream]:
        """Returns the listed upstreams that evacuations and homes leave."""
        ready = self.catalog.ready(pool)
        if self.evacuations:
            ready = [u for u in ready if not self.is_evacuated(u)]
        if regions is None:
            return ready
        return [u for u in ready if self._allows(u.failure_domain, regions)]

    def _allows(self, failure_domain: str, regions: Regions) -> bool:
        """Returns whether a domain is in the regions; logs unknown ones."""
        allowed = self.domain_regions.allows(failure_domain, regions)
        for domain in self.domain_regions.take_unknown():
            logger.bind(event="region_unknown", failure_domain=domain).error(
                "the settings name no region of failure domain {!r}; requests "
                "with homes are not sent there",
                domain,
            )
        return allowed

    def is_evacuated(self, upstream: ListedUpstream) -> bool:
        """Returns whether an upstream's failure domain is evacuated."""
        return self.evacuations.covers(upstream.failure_domain)

    def is_pool_evacuated(self, pool: str, regions: Regions = None) -> bool:
        """Returns whether evacuations alone leave a pool no upstream.

        Args:
            pool: Name of the pool.
            regions: Regions that count; None for all.
        """
        if not self.evacuations:
            return False
        staying = [
            u
            for u in self.catalog.ready(pool)
            if not self._leaves(u)
            and (regions is None or self._allows(u.failure_domain, regions))
        ]
        return bool(staying) and all(self.is_evacuated(u) for u in staying)

    def _leaves(self, upstream: ListedUpstream) -> bool:
        return self.notices.leaving.is_leaving(*upstream.identity)

    def is_ready(self, name: str) -> bool:
        """Returns whether an upstream is listed and accepts new work.

        One in an evacuated failure domain may be stopped at any time.
        """
        found = self.catalog.get(name)
        return (
            found is not None
            and self.catalog.is_ready(name)
            and not self._leaves(found)
            and not self.is_evacuated(found)
        )

    def is_listed(self, identity: tuple[str, int]) -> bool:
        """Returns whether this start of an upstream is listed."""
        return self.catalog.is_listed(identity)

    def rank_schedulers(self, pool: str, regions: Regions = None) -> list[str]:
        """Returns the instances that may schedule a pool, best first.

        This instance is the only one if it knows no other.

        Args:
            pool: Name of the pool.
            regions: Regions whose instances may get the pieces. This instance
                has them already.
        """
        if regions is not None:
            return self._rank_schedulers_in(pool, regions)
        ranked = self.peer_table.rank_schedulers(
            pool,
            self.clock(),
            self_link_mbps=None if self.leaving else self.settings.link_mbps,
        )
        return ranked or [self.settings.name]

    def _rank_schedulers_in(self, pool: str, regions: Regions) -> list[str]:
        may_schedule = not self.leaving and self._allows(
            self.settings.failure_domain, regions
        )
        ranked = self.peer_table.rank_schedulers(
            pool,
            self.clock(),
            self_link_mbps=self.settings.link_mbps if may_schedule else None,
            allows=lambda domain: self._allows(domain, regions),
        )
        return ranked or [self.settings.name]

    @property
    def document_version(self) -> int:
        """Version of the document in force, 0 before the first."""
        return self.document.version if self.document else 0

    @property
    def has_upstreams(self) -> bool:
        """Whether entries were read from the registry or from a peer."""
        return self.registry_read_at >= 0 or self.entries_revision > 0

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send callers to this instance."""
        return (
            not self.leaving
            and self.document is not None
            and self.has_upstreams
        )
