"""Routes of an accepted routing document and what they lead to.

A route selects requests by host and path prefix and names the pool that
answers them, the stages that come before, and what may be repeated. All data
here is immutable once built; the adapter of a platform builds it.
"""

import enum
from collections.abc import Iterable, Sequence


class RouteKind(enum.Enum):
    """What may be repeated of a route's requests."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class StageStep:
    """One stage of a route, done before the request itself can run.

    Attributes:
        index: Position among the stages of the route, from 0.
        pool: Name of the pool that executes it.
        after: Indices of the stages whose results it takes.
        result_bytes: Approximate size of one result.
    """

    __slots__ = ("index", "pool", "after", "result_bytes")

    def __init__(
        self, index: int, pool: str, after: Sequence[int], result_bytes: float
    ) -> None:
        self.index = index
        self.pool = pool
        self.after = tuple(after)
        self.result_bytes = result_bytes


class Route:
    """One route.

    Attributes:
        name: Name in the document.
        host: Host that it serves, in lower case.
        prefix: Path prefix, beginning and ending with a slash.
        kind: What may be repeated.
        timeout_s: Longest time that a caller is kept waiting.
        target_s: Time within which an answer has its full worth.
        priority: Rank, 0 is the most urgent.
        targets: Pools with their weights.
        attempts_max: Most upstreams to which one request may be sent.
        stages: Stages before the request itself.
        public: Whether callers need no key.
        resumable: Whether a broken stream may go on at another upstream.
        gap_s: Longest pause between two events of a stream that is on time.
        sticky: Whether requests carry prompt parts worth an affinity.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "kind",
        "timeout_s",
        "target_s",
        "priority",
        "targets",
        "attempts_max",
        "stages",
        "public",
        "resumable",
        "gap_s",
        "sticky",
    )

    def __init__(
        self,
        *,
        name: str,
        host: str,
        prefix: str,
        kind: RouteKind,
        timeout_s: float,
        target_s: float,
        priority: int,
        targets: Sequence[tuple[str, float]],
        attempts_max: int,
        stages: Sequence[StageStep] = (),
        public: bool = False,
        resumable: bool = False,
        gap_s: float = 0.0,
        sticky: bool = False,
    ) -> None:
        self.name = name
        self.host = host
        self.prefix = prefix
        self.kind = kind
        self.timeout_s = timeout_s
        self.target_s = target_s
        self.priority = priority
        self.targets = tuple(targets)
        self.attempts_max = attempts_max
        self.stages = tuple(stages)
        self.public = public
        self.resumable = resumable
        self.gap_s = gap_s
        self.sticky = sticky

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or self.resumable

    def choose_pool(self, point: float) -> str:
        """Returns the pool at a point in 0 to 1 of the weighted targets."""
        total = sum(weight for _, weight in self.targets)
        remaining_weight = point * total
        for pool, weight in self.targets:
            remaining_weight -= weight
            if remaining_weight < 0:
                return pool
        return self.targets[-1][0]


class EngineSpec:
    """What the engines of a pool can hold.

    Attributes:
        slots: Requests that run at once on one engine.
        cache_tokens: Tokens that its memory holds.
    """

    __slots__ = ("slots", "cache_tokens")

    def __init__(self, slots: int, cache_tokens: int) -> None:
        self.slots = slots
        self.cache_tokens = cache_tokens


class BatchSpec:
    """How one upstream of a stage pool works.

    Attributes:
        slots: Calls in progress at once.
        batch: Most pieces in a call.
        call_s: Fixed time of a call.
        piece_s: Approximate time of each piece in a call.
        result_memory_bytes: Memory for results.
        result_ttl_s: Time after its call for which a result is kept.
    """

    __slots__ = (
        "slots",
        "batch",
        "call_s",
        "piece_s",
        "result_memory_bytes",
        "result_ttl_s",
    )

    def __init__(
        self,
        slots: int,
        batch: int,
        call_s: float,
        piece_s: float,
        result_memory_bytes: float,
        result_ttl_s: float,
    ) -> None:
        self.slots = slots
        self.batch = batch
        self.call_s = call_s
        self.piece_s = piece_s
        self.result_memory_bytes = result_memory_bytes
        self.result_ttl_s = result_ttl_s


class PoolSpec:
    """One pool of upstreams.

    Attributes:
        name: Name in the document.
        connections_max: Connections that one upstream accepts in all.
        engine: What its engines hold, or None.
        batch: How its stage upstreams work, or None.
    """

    __slots__ = ("name", "connections_max", "engine", "batch")

    def __init__(
        self,
        name: str,
        connections_max: int,
        engine: EngineSpec | None = None,
        batch: BatchSpec | None = None,
    ) -> None:
        self.name = name
        self.connections_max = connections_max
        self.engine = engine
        self.batch = batch


class CallerLimits:
    """Bounds on what a caller may send.

    Attributes:
        header_bytes: Most bytes of a request's head.
        body_bytes: Most bytes of a body.
        header_s: Longest time for a head.
        idle_s: Longest time for which a connection may stay idle.
    """

    __slots__ = ("header_bytes", "body_bytes", "header_s", "idle_s")

    def __init__(
        self,
        header_bytes: int = 16384,
        body_bytes: int = 4194304,
        header_s: float = 5.0,
        idle_s: float = 15.0,
    ) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_s = header_s
        self.idle_s = idle_s


class ClientAccount:
    """A client account of the document.

    Attributes:
        name: Name that upstreams are told.
        keys: Keys that its callers send.
        priority: Rank that overrides the route's, or None.
    """

    __slots__ = ("name", "keys", "priority")

    def __init__(
        self, name: str, keys: Sequence[str], priority: int | None = None
    ) -> None:
        self.name = name
        self.keys = tuple(keys)
        self.priority = priority


class RoutingDocument:
    """An accepted document: routes, pools, client accounts and limits.

    Attributes:
        version: Version of the document; a higher one is newer.
        routes: All routes.
        pools: Pools by name.
        limits: Bounds for callers.
        clients: Client accounts; empty when no key is needed.
    """

    __slots__ = ("version", "routes", "pools", "limits", "clients", "_hosts")

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        pools: Iterable[PoolSpec],
        limits: CallerLimits,
        clients: Iterable[ClientAccount] = (),
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.pools = {pool.name: pool for pool in pools}
        self.limits = limits
        self.clients = {
            key: client for client in clients for key in client.keys
        }
        hosts: dict[str, list[Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host, []).append(route)
        # The first match in a list sorted by length is the longest prefix.
        for routes_of_host in hosts.values():
            routes_of_host.sort(key=lambda r: -len(r.prefix))
        self._hosts = hosts

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route of a request, or None.

        Args:
            host: The Host header, possibly with a port.
            path: The path as sent, without its query.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        for route in self._hosts.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
