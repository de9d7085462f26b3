"""What an operator should know of a routing document before it is sent.

Besides the faults of `core/route_faults.py`: entries that never match or take
effect, and limits that contradict each other.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping

from applespring.core.homes import intersect
from applespring.core.route import (
    PoolSpec,
    Route,
    RouteKind,
    RoutingDocument,
)
from applespring.core.route_faults import Fault, find_faults

PRIORITY_MAX = 9


class Entries:
    """The entries of a document in its order, also those of equal names.

    Attributes:
        document: The document.
        pools: All pools; the document has one of each name.
    """

    __slots__ = ("document", "pools")

    def __init__(
        self, document: RoutingDocument, pools: Iterable[PoolSpec]
    ) -> None:
        self.document = document
        self.pools = tuple(pools)


def review(
    entries: Entries, regions: Mapping[str, str] | None = None
) -> list[Fault]:
    """Returns every fault, those of `find_faults` first.

    Args:
        entries: The document.
        regions: Region of each failure domain, if the settings are known.
    """
    doc = entries.document
    faults = find_faults(doc)
    for index, route in enumerate(doc.routes):
        faults += _check_route(index, route)
        faults += _check_route_homes(index, route, doc)
    faults += _find_repeated(
        "route", [route.name for route in doc.routes], "name"
    )
    faults += _check_pools(entries)
    faults += _check_accounts(doc)
    faults += _check_limits(doc)
    if regions is not None:
        faults += _check_regions(doc, frozenset(regions.values()))
    return faults


def _find_repeated(
    entity: str, names: list[str], field: str
) -> Iterator[Fault]:
    first: dict[str, int] = {}
    for index, name in enumerate(names):
        if first.setdefault(name, index) != index:
            yield Fault(
                entity,
                index,
                (field,),
                f'{entity} "{name}": the {field} is that of {entity} number '
                f"{first[name] + 1}",
            )


def _check_route(index: int, route: Route) -> Iterator[Fault]:
    def fault(message: str, *field: str | int, **relies: tuple) -> Fault:
        message = f'route "{route.name}": {message}'
        return Fault("route", index, field, message, **relies)

    if not route.host or ":" in route.host or "/" in route.host:
        yield fault(
            f'never matches: host "{route.host}"; allowed: a host name without '
            "port or path",
            "host",
        )
    weights = [weight for _, weight in route.targets]
    for number, (pool, weight) in enumerate(route.targets):
        if weight < 0 or (weight == 0 and sum(weights) > 0):
            yield fault(
                f'pool "{pool}" gets no requests: weight {weight:g}; allowed: '
                "above 0",
                "targets",
                number,
                "weight",
            )
    if route.attempts_max < 1:
        yield fault(
            f"at most {route.attempts_max} upstreams; allowed: 1 or more",
            "attempts_max",
        )
    if route.attempts_max > 1 and not route.idempotent:
        yield fault(
            f"at most {route.attempts_max} upstreams, but its requests may be "
            "neither repeated nor resumed",
            "attempts_max",
            own=("kind", "resumable"),
        )
    is_stream = route.kind is RouteKind.STREAMING
    if route.resumable and not is_stream:
        yield fault(
            f"resumable takes no effect with kind {route.kind.value}",
            "resumable",
            own=("kind",),
        )
    if route.resumable and is_stream and route.attempts_max == 1:
        yield fault(
            "is resumable, but never resumed with at most 1 upstream",
            "attempts_max",
            own=("resumable", "kind"),
        )
    if route.gap_s > route.timeout_s:
        yield fault(
            f"the gap of {route.gap_s:g} s exceeds the timeout of "
            f"{route.timeout_s:g} s",
            "gap_s",
            own=("timeout_s",),
        )
    if not 0 <= route.priority <= PRIORITY_MAX:
        yield fault(
            f"priority {route.priority}; allowed: 0 to {PRIORITY_MAX}",
            "priority",
        )


def _check_route_homes(
    index: int, route: Route, doc: RoutingDocument
) -> Iterator[Fault]:
    if not route.homes or route.public:
        return
    refused = [
        account.name
        for account in doc.accounts
        if account.homes and not intersect(route.homes, account.homes)
    ]
    if refused:
        names = ", ".join(f'"{name}"' for name in refused)
        yield Fault(
            "route",
            index,
            ("homes",),
            f'route "{route.name}": refuses all requests of {names}: its homes '
            f"{_join(route.homes)} are none of theirs",
            others=(("account", "homes"),),
        )


def _check_pools(entries: Entries) -> Iterator[Fault]:
    doc = entries.document
    yield from _find_repeated("pool", [p.name for p in entries.pools], "name")
    named = {pool for route in doc.routes for pool, _ in route.targets}
    named |= {step.pool for route in doc.routes for step in route.stages}
    for index, pool in enumerate(entries.pools):

        def fault(
            message: str,
            *field: str | int,
            number: int = index,
            **relies: tuple,
        ) -> Fault:
            name = entries.pools[number].name
            return Fault(
                "pool", number, field, f'pool "{name}": {message}', **relies
            )

        if pool.name not in named:
            yield fault(
                "no route names it",
                others=(("route", "targets"), ("route", "stages")),
            )
        if pool.connections_max < 1:
            yield fault(
                f"{pool.connections_max} connections; allowed: 1 or more",
                "connections_max",
            )
        if pool.cold_per_s > 0 and pool.cold_start_s <= 0:
            yield fault(
                f"a cold rate of {pool.cold_per_s:g} a second without a cold "
                "start",
                "cold_per_s",
                own=("cold_start_s",),
            )
        if pool.batch is not None:
            yield from _check_batch(index, pool, doc)


def _check_batch(
    index: int, pool: PoolSpec, doc: RoutingDocument
) -> Iterator[Fault]:
    batch = pool.batch
    assert batch is not None
    for field, value in (("slots", batch.slots), ("batch", batch.batch)):
        if value < 1:
            yield Fault(
                "pool",
                index,
                ("batch", field),
                f'pool "{pool.name}": {field} {value}; allowed: 1 or more',
            )
    targets = {
        route.name: route.target_s
        for route in doc.routes
        if any(step.pool == pool.name for step in route.stages)
    }
    call_s = batch.call_s + batch.batch * batch.piece_s
    if targets and call_s > max(targets.values()):
        yield Fault(
            "pool",
            index,
            ("batch", "call_s"),
            f'pool "{pool.name}": a call of {batch.batch} pieces takes '
            f"{call_s:g} s, longer than the target of every route that uses it "
            f"({max(targets.values()):g} s at most)",
            others=(("route", "target_s"), ("route", "timeout_s")),
        )


def _check_accounts(doc: RoutingDocument) -> Iterator[Fault]:
    names = [account.name for account in doc.accounts]
    yield from _find_repeated("account", names, "name")
    owners: dict[str, str] = {}
    for index, account in enumerate(doc.accounts):
        label = f'account "{account.name}"'
        if not account.keys:
            yield Fault("account", index, ("keys",), f"{label}: has no keys")
        for key, count in Counter(account.keys).items():
            # Keys are secrets, so messages have their positions only.
            number = account.keys.index(key)
            place = ("keys", number)
            if not key:
                yield Fault(
                    "account",
                    index,
                    place,
                    f"{label}: key {number + 1} is empty",
                )
            if count > 1:
                yield Fault(
                    "account",
                    index,
                    place,
                    f"{label}: key {number + 1} stands {count} times",
                )
            if key in owners:
                yield Fault(
                    "account",
                    index,
                    place,
                    f"{label}: key {number + 1} is also a key of account "
                    f'"{owners[key]}"; the last one gets its requests',
                )
            owners.setdefault(key, account.name)
        if account.priority is not None and not (
            0 <= account.priority <= PRIORITY_MAX
        ):
            yield Fault(
                "account",
                index,
                ("priority",),
                f"{label}: priority {account.priority}; allowed: 0 to "
                f"{PRIORITY_MAX}",
            )
    if doc.accounts and doc.routes and all(r.public for r in doc.routes):
        yield Fault(
            "account",
            0,
            (),
            f"{len(doc.accounts)} accounts are never looked at: every route is "
            "public",
            others=(("route", "public"),),
        )


def _check_limits(doc: RoutingDocument) -> Iterator[Fault]:
    limits = doc.limits
    if limits.header_s > limits.idle_s:
        yield Fault(
            "limits",
            0,
            ("header_s",),
            f"the time for a head of {limits.header_s:g} s exceeds the idle "
            f"time-out of {limits.idle_s:g} s",
            own=("idle_s",),
        )
    for field in ("header_bytes", "body_bytes"):
        if getattr(limits, field) < 1:
            yield Fault(
                "limits",
                0,
                (field,),
                f"{field} {getattr(limits, field)}; allowed: 1 or more",
            )


def _check_regions(
    doc: RoutingDocument, known: frozenset[str]
) -> Iterator[Fault]:
    for entity, entries in (("route", doc.routes), ("account", doc.accounts)):
        for index, entry in enumerate(entries):
            unknown = entry.homes - known
            if unknown:
                yield Fault(
                    entity,
                    index,
                    ("homes",),
                    f'{entity} "{entry.name}": no failure domain is in its '
                    f"homes {_join(unknown)}; the settings name "
                    f"{_join(known) or 'no region'}",
                )


def _join(names: Iterable[str]) -> str:
    return ", ".join(sorted(names))
