"""The subcommand that checks a configuration which the platform publishes."""

import sys
from collections.abc import Iterator

from applespring.check.commands import read_file
from applespring.cli import EXIT_DONE, EXIT_FAULT
from applespring.core import reason
from applespring.core.errors import MessageError, SettingsError
from applespring.core.route import (
    ClientAccount,
    Route,
    RouteKind,
    RoutingDocument,
)
from applespring.core.route_faults import find_faults
from applespring.platform.document import decode_document

# The platform's store accepts values up to this size.
PUBLISHED_MAX_BYTES = 8 * 1024 * 1024


def published(file: str, *, request: str = "", key: str = "") -> int:
    """Checks a saved configuration of the platform and explains a request.

    The file holds the value of `op/config` as the store returns it, decoded
    from base64.

    Args:
        file: The saved configuration.
        request: Method and address of a request, for example
            `POST pule25.example/puxa400/ask`.
        key: Key of the client account that sends it.
    """
    try:
        doc = decode_document(read_file(file, PUBLISHED_MAX_BYTES))
    except MessageError as exc:
        print(f"{file}: {exc}", file=sys.stderr)
        return EXIT_FAULT
    faults = find_faults(doc)
    for fault in faults:
        print(f"{file}: {fault}", file=sys.stderr)
    accounts = {account.name for account in doc.accounts}
    print(
        f"{file}: version {doc.version}, {len(doc.routes)} routes,"
        f" {len(doc.pools)} pools, {len(accounts)} accounts,"
        f" {len(doc.accounts_by_key)} keys"
    )
    if request:
        print("\n".join(explain_request(doc, request, key)))
    return EXIT_FAULT if faults else EXIT_DONE


def explain_request(
    doc: RoutingDocument, request: str, key: str
) -> Iterator[str]:
    """Yields a line for each setting that decides about a request, in order.

    Raises:
        SettingsError: The request is not a method and an address.
    """
    method, _, address = request.partition(" ")
    host, slash, path = address.partition("/")
    if not (method and host and slash):
        raise SettingsError(
            f"--request={request} is not allowed; allowed: a method, a space,"
            " a host and a path"
        )
    limits = doc.limits
    yield (
        f"limits: head {limits.header_bytes} bytes in {limits.header_s:g} s,"
        f" body {limits.body_bytes} bytes, idle {limits.idle_s:g} s"
    )
    route = doc.match(host, f"/{path}".partition("?")[0])
    if route is None:
        yield _describe_refusal(reason.UNKNOWN_ROUTE)
        return
    yield from _describe_route(route)
    client = doc.accounts_by_key.get(key)
    if doc.needs_key(route):
        if client is None:
            yield _describe_refusal(reason.UNKNOWN_KEY)
            return
        yield _describe_client(client, route)
    for stage in route.stages:
        after = ", ".join(map(str, stage.after))
        yield (
            f'stage {stage.index}: pool "{stage.pool}"'
            + (f" after {after}" if after else "")
            + f", results of {stage.result_bytes:g} bytes"
        )
    total = sum(weight for _, weight in route.targets)
    if not total:
        yield _describe_refusal(reason.NO_UPSTREAM)
        return
    yield "decision: forwarded to " + ", ".join(
        f'pool "{pool}" ({weight / total:.0%})'
        for pool, weight in route.targets
    )


def _describe_route(route: Route) -> Iterator[str]:
    kind = route.kind.value
    if route.kind is RouteKind.STREAMING:
        kind += ", resumable" if route.resumable else ", not resumable"
    yield (
        f'route "{route.name}": {route.host}{route.prefix}, {kind},'
        f" {'public' if route.public else 'with a key'}"
    )
    yield (
        f"    timeout {route.timeout_s:g} s, target {route.target_s:g} s,"
        f" priority {route.priority}, at most {route.attempts_max} upstreams"
    )


def _describe_client(client: ClientAccount, route: Route) -> str:
    if client.priority is None:
        return (
            f'account "{client.name}": priority {route.priority}, the route\'s'
        )
    return f'account "{client.name}": priority {client.priority}, its own'


def _describe_refusal(refusal_reason: reason.Reason) -> str:
    return (
        f"decision: refused with {refusal_reason.status}"
        f" {refusal_reason.code}: {refusal_reason.title}"
    )
