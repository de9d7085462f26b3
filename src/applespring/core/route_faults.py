"""Semantic faults of a routing document, which its format does not rule out.

An instance accepts a document with such faults and serves it as far as
possible: a route whose pool does not exist refuses requests because it has no
upstream. Operators should find these faults before they publish the document.
"""

from collections import Counter
from collections.abc import Iterator

from applespring.core.route import Route, RouteKind, RoutingDocument


def find_faults(doc: RoutingDocument) -> list[str]:
    """Returns a message for each fault.

    Faults of single routes come first, in the order of the document.
    """
    faults = [fault for route in doc.routes for fault in _check(route, doc)]
    route_counts = Counter((route.host, route.prefix) for route in doc.routes)
    faults += [
        f"{count} routes serve {host}{prefix}; the first one is used"
        for (host, prefix), count in route_counts.items()
        if count > 1
    ]
    return faults


def _check(route: Route, doc: RoutingDocument) -> Iterator[str]:
    name = f'route "{route.name}"'
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield f'{name}: prefix "{route.prefix}" lacks a slash at an end'
    if not sum(weight for _, weight in route.targets) > 0:
        yield f"{name}: its targets have no weight"
    if route.target_s > route.timeout_s:
        yield (
            f"{name}: the target of {route.target_s:g} s is after the"
            f" timeout of {route.timeout_s:g} s"
        )
    for pool, _ in route.targets:
        if pool not in doc.pools:
            yield f'{name}: pool "{pool}" does not exist'
    if route.stages and route.kind is not RouteKind.STREAMING:
        yield f"{name}: stages are executed for streams only"
    for step in route.stages:
        stage = f"{name}: stage {step.index}"
        spec = doc.pools.get(step.pool)
        if spec is None:
            yield f'{stage}: pool "{step.pool}" does not exist'
        elif spec.batch is None:
            yield f'{stage}: pool "{step.pool}" executes no stages'
        elif step.result_bytes > spec.batch.result_memory_bytes:
            yield (
                f"{stage}: a result of {step.result_bytes:g} bytes exceeds the"
                f' memory of "{step.pool}"'
                f" ({spec.batch.result_memory_bytes:g} bytes)"
            )
        for predecessor in step.after:
            if not 0 <= predecessor < step.index:
                yield (
                    f"{stage}: follows stage {predecessor},"
                    " which is not earlier"
                )
