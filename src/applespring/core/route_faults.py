"""Semantic faults of a routing document, which its format does not rule out.

An instance accepts a document with such faults and serves it as far as
possible: a route whose pool does not exist refuses requests because it has no
upstream. Operators should find these faults before they publish the document.
"""

from collections import Counter
from collections.abc import Iterator

from applespring.core.route import Route, RouteKind, RoutingDocument

# Keys, and positions in lists, that lead from an entry to one of its values.
FieldPath = tuple[str | int, ...]


class Fault:
    """One fault of a routing document.

    Attributes:
        entity: What has it: "route", "pool", "account", "limits" or
            "document".
        index: Position of the entry among those of its kind.
        field: Path of the value in the entry; empty for the entry.
        message: One sentence that names the entry, the value and the bound.
        own: Other fields of the entry that the fault depends on.
        others: Fields of any entry that it depends on, as (entity, field).
    """

    __slots__ = ("entity", "index", "field", "message", "own", "others")

    def __init__(
        self,
        entity: str,
        index: int,
        field: FieldPath,
        message: str,
        *,
        own: tuple[str, ...] = (),
        others: tuple[tuple[str, str], ...] = (),
    ) -> None:
        self.entity = entity
        self.index = index
        self.field = field
        self.message = message
        self.own = own
        self.others = others

    def __str__(self) -> str:
        return self.message


def find_faults(doc: RoutingDocument) -> list[Fault]:
    """Returns every fault by which an instance serves less than is configured.

    Faults of single routes come first, in the order of the document.
    """
    faults = [
        fault
        for index, route in enumerate(doc.routes)
        for fault in _check(index, route, doc)
    ]
    counts = Counter((route.host, route.prefix) for route in doc.routes)
    last = {(r.host, r.prefix): n for n, r in enumerate(doc.routes)}
    faults += [
        Fault(
            "route",
            last[host, prefix],
            ("prefix",),
            f"{count} routes serve {host}{prefix}; the first one is used",
            own=("host",),
        )
        for (host, prefix), count in counts.items()
        if count > 1
    ]
    return faults


def _check(index: int, route: Route, doc: RoutingDocument) -> Iterator[Fault]:
    def fault(message: str, *field: str | int, **relies: tuple) -> Fault:
        message = f'route "{route.name}": {message}'
        return Fault("route", index, field, message, **relies)

    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield fault(
            f'prefix "{route.prefix}" lacks a slash at an end', "prefix"
        )
    if not sum(weight for _, weight in route.targets) > 0:
        yield fault("its targets have no weight", "targets")
    if route.target_s > route.timeout_s:
        yield fault(
            f"the target of {route.target_s:g} s is after the"
            f" timeout of {route.timeout_s:g} s",
            "target_s",
            own=("timeout_s",),
        )
    for number, (pool, _) in enumerate(route.targets):
        if pool not in doc.pools:
            yield fault(
                f'pool "{pool}" does not exist',
                "targets",
                number,
                "pool",
                others=(("pool", "name"),),
            )
    if route.stages and route.kind is not RouteKind.STREAMING:
        yield fault(
            "stages are executed for streams only", "stages", own=("kind",)
        )
    for step in route.stages:
        yield from _check_stage(index, route, step.index, doc)


def _check_stage(
    index: int, route: Route, number: int, doc: RoutingDocument
) -> Iterator[Fault]:
    step = route.stages[number]

    def fault(message: str, field: str, **relies: tuple) -> Fault:
        message = f'route "{route.name}": stage {number}: {message}'
        path = ("stages", number, field)
        return Fault("route", index, path, message, **relies)

    spec = doc.pools.get(step.pool)
    if spec is None:
        yield fault(
            f'pool "{step.pool}" does not exist',
            "pool",
            others=(("pool", "name"),),
        )
    elif spec.batch is None:
        yield fault(
            f'pool "{step.pool}" executes no stages',
            "pool",
            others=(("pool", "batch"),),
        )
    elif step.result_bytes > spec.batch.result_memory_bytes:
        yield fault(
            f"a result of {step.result_bytes:g} bytes exceeds the"
            f' memory of "{step.pool}"'
            f" ({spec.batch.result_memory_bytes:g} bytes)",
            "result_bytes",
            others=(("pool", "batch"),),
        )
    for predecessor in step.after:
        if not 0 <= predecessor < step.index:
            yield fault(
                f"follows stage {predecessor}, which is not earlier", "after"
            )
