"""Model of an accepted routing document.

A route selects requests by host and path prefix. It names the pools that answer
them, the stages that run before, and whether requests may be repeated. The
adapter of a platform builds these objects; they are not changed afterwards.
"""

import enum
from collections.abc import Iterable, Sequence


class RouteKind(enum.Enum):
    """Whether requests of a route may be repeated or get a stream as answer."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class StageStep:
    """One stage of a route, executed before the request itself.

    Attributes:
        index: Position among the stages of the route, from 0.
        pool: Name of the pool that executes it.
        after: Indices of the stages whose results are its inputs.
        result_bytes: Approximate size of the result of one piece.
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
        host: Host name that it serves, in lower case.
        prefix: Path prefix, beginning and ending with a slash.
        kind: Whether its requests may be repeated.
        timeout_s: Longest time that a caller is kept waiting.
        target_s: Latency target: time within which an answer is on time.
        priority: Rank, 0 is the most urgent.
        targets: Pools with their weights.
        attempts_max: Most upstreams that may execute one request.
        stages: Stages that run before the request itself.
        public: Whether callers need no key.
        resumable: Whether another upstream may continue a broken stream.
        gap_s: Longest time between two events of a stream that is on time.
        sticky: Whether requests name the parts of their prompts and should go
            to engines that have these parts cached.
        homes: Regions whose upstreams may get its requests; empty for all.
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
        "homes",
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
        homes: Iterable[str] = (),
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
        self.homes = frozenset(homes)

    @property
    def idempotent(self) -> bool:
        """Whether a request may be executed more than once."""
        return self.kind is RouteKind.SAFE or self.resumable

    def choose_pool(self, point: float) -> str:
        """Returns a pool by weighted choice.

        Args:
            point: Random number from 0 up to but not including 1.
        """
        total = sum(weight for _, weight in self.targets)
        remaining_weight = point * total
        for pool, weight in self.targets:
            remaining_weight -= weight
            if remaining_weight < 0:
                return pool
        return self.targets[-1][0]


class EngineSpec:
    """Capacity of one engine of a pool.

    Attributes:
        slots: Requests that it executes at the same time.
        cache_tokens: Tokens that fit into its cache.
    """

    __slots__ = ("slots", "cache_tokens")

    def __init__(self, slots: int, cache_tokens: int) -> None:
        self.slots = slots
        self.cache_tokens = cache_tokens


class BatchSpec:
    """Batch size, timing and result memory of one upstream of a stage pool.

    Attributes:
        slots: Calls that it executes at the same time.
        batch: Maximum number of pieces in a call.
        call_s: Fixed time of a call.
        piece_s: Approximate time that each piece adds to a call.
        result_memory_bytes: Memory for results.
        result_ttl_s: Time after its call after which a result expires.
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
        connections_max: Connections that one upstream accepts from all
            instances together.
        engine: Capacity of its engines, or None if it has none.
        batch: Batching of its upstreams, or None if it executes no stages.
        cold_start_s: How long an upstream is cold after a start; 0 if never.
        cold_per_s: Requests a second that a cold upstream takes from all
            instances together; 0 without a bound.
    """

    __slots__ = (
        "name",
        "connections_max",
        "engine",
        "batch",
        "cold_start_s",
        "cold_per_s",
    )

    def __init__(
        self,
        name: str,
        connections_max: int,
        engine: EngineSpec | None = None,
        batch: BatchSpec | None = None,
        cold_start_s: float = 0.0,
        cold_per_s: float = 0.0,
    ) -> None:
        self.name = name
        self.connections_max = connections_max
        self.engine = engine
        self.batch = batch
        self.cold_start_s = cold_start_s
        self.cold_per_s = cold_per_s


class CallerLimits:
    """Bounds on what a caller may send.

    Attributes:
        header_bytes: Maximum size of a request's head.
        body_bytes: Maximum size of a request's body.
        header_s: Time within which a head has to arrive.
        idle_s: Time after which an idle connection is closed.
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
        name: Name that is sent to upstreams.
        keys: Keys by which its callers identify themselves.
        priority: Rank that takes precedence over the route's, or None.
        homes: Regions whose upstreams may get its requests; empty for all.
    """

    __slots__ = ("name", "keys", "priority", "homes")

    def __init__(
        self,
        name: str,
        keys: Sequence[str],
        priority: int | None = None,
        homes: Iterable[str] = (),
    ) -> None:
        self.name = name
        self.keys = tuple(keys)
        self.priority = priority
        self.homes = frozenset(homes)


class RoutingDocument:
    """An accepted document: routes, pools, client accounts and limits.

    Attributes:
        version: Version of the document; a higher one is newer.
        routes: All routes.
        pools: Pools by name.
        limits: Bounds on what callers may send.
        has_accounts: Whether it names client accounts, be it none. Requests
            then need a key of one of them, however many keys there are.
        accounts: Client accounts.
        accounts_by_key: Client accounts by key.
    """

    __slots__ = (
        "version",
        "routes",
        "pools",
        "limits",
        "has_accounts",
        "accounts",
        "accounts_by_key",
        "_hosts",
    )

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        pools: Iterable[PoolSpec],
        limits: CallerLimits,
        accounts: Iterable[ClientAccount] | None = None,
    ) -> None:
        """Builds the tables by name, key and host.

        Args:
            version: Version of the document.
            routes: All routes.
            pools: All pools.
            limits: Bounds on what callers may send.
            accounts: Client accounts, or None if the document has none and no
                request needs a key. An empty one lets nobody in.
        """
        self.version = version
        self.routes = tuple(routes)
        self.pools = {pool.name: pool for pool in pools}
        self.limits = limits
        self.has_accounts = accounts is not None
        self.accounts = tuple(accounts or ())
        # An empty key would let requests in that have none.
        self.accounts_by_key = {
            key: account
            for account in self.accounts
            for key in account.keys
            if key
        }
        hosts: dict[str, list[Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host, []).append(route)
        # With the longest prefixes first, the first match is the longest one.
        for routes_of_host in hosts.values():
            routes_of_host.sort(key=lambda r: -len(r.prefix))
        self._hosts = hosts

    def needs_key(self, route: Route) -> bool:
        """Returns whether requests of a route need the key of an account."""
        return self.has_accounts and not route.public

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None.

        Args:
            host: The Host header, possibly with a port.
            path: The path as sent by the caller, without the query.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        for route in self._hosts.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
