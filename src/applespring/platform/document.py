"""Decoding of the operator's configuration and the workers' registry entries.

The platform names some things differently. Its configuration is the routing
document here, a service a pool, a worker an upstream, a tenant a client
account, a zone a failure domain, and the items of a stage call are pieces.
"""

import base64
import binascii
from collections.abc import Mapping
from typing import Any

import orjson
from loguru import logger

from applespring.core.catalog import ListedUpstream, UpstreamState
from applespring.core.cold_upstreams import COLD_MAX_S
from applespring.core.errors import MessageError
from applespring.core.route import (
    BatchSpec,
    CallerLimits,
    ClientAccount,
    EngineSpec,
    PoolSpec,
    Route,
    RouteKind,
    RoutingDocument,
    StageStep,
)
from applespring.core.upstream_check import check_upstream, check_whole
from applespring.platform.document_fields import check_fields

DOCUMENT_KEY = "op/config"
ENTRY_PREFIX = "servers/"
# The rest of the key is the name of a failure domain.
EVACUATION_PREFIX = "op/evacuate/"
_STATE_BY_NAME = {
    "ready": UpstreamState.READY,
    "draining": UpstreamState.LEAVING,
}
_BYTES_PER_MB = 1_000_000
# Largest count of changes that an entry may state.
ENTRY_SEQUENCE_MAX = 2**64 - 1
# Highest rate of cold upstreams that is accepted.
COLD_PER_S_MAX = 1e6


def decode_value(item: dict[str, Any]) -> bytes:
    """Returns the decoded value of an item of the store.

    Raises:
        MessageError: The item has no value, or it is not base64.
    """
    value = item.get("value")
    if not isinstance(value, str):
        raise MessageError(
            f"item {item.get('key')!r} of the store has no text value"
        )
    try:
        return base64.b64decode(value, validate=True)
    except binascii.Error as exc:
        raise MessageError(
            f"value of item {item.get('key')!r} is not base64: {exc}"
        ) from exc


def decode_document(data: bytes) -> RoutingDocument:
    """Decodes the operator's configuration.

    Raises:
        MessageError: It is not JSON, or a field is missing or malformed. The
            message has its place, the value and the bound.
    """
    try:
        doc = orjson.loads(data)
    except ValueError as exc:
        raise MessageError(f"the configuration is malformed: {exc!r}") from exc
    check_fields(doc)
    return build_document(doc)


def build_document(doc: Mapping[str, Any]) -> RoutingDocument:
    """Builds a document from a configuration whose fields were checked.

    Raises:
        MessageError: A field is missing or malformed.
    """
    limits = doc.get("limits") or {}
    try:
        return RoutingDocument(
            version=int(doc["version"]),
            routes=[_decode_route(r) for r in doc["routes"]],
            pools=[_decode_pool(s) for s in doc["services"]],
            limits=CallerLimits(
                header_bytes=int(limits.get("maxHeaderBytes", 16384)),
                body_bytes=int(limits.get("maxBodyBytes", 4194304)),
                header_s=limits.get("headerTimeoutMs", 5000) / 1000,
                idle_s=limits.get("idleTimeoutMs", 15000) / 1000,
            ),
            accounts=None
            if doc.get("tenants") is None
            else [_decode_account(tenant) for tenant in doc["tenants"]],
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise MessageError(f"the configuration is malformed: {exc!r}") from exc


def decode_pools(doc: Mapping[str, Any]) -> list[PoolSpec]:
    """Returns all pools of a sound configuration, also those of equal names."""
    return [_decode_pool(service) for service in doc["services"]]


def _decode_homes(entry: dict[str, Any]) -> list[str]:
    """Returns the homes of a route or tenant; empty if it has none."""
    return entry.get("allowedRegions") or []


def _decode_account(tenant: dict[str, Any]) -> ClientAccount:
    """Returns a client account, which may hold no key."""
    return ClientAccount(
        tenant["name"],
        tenant["apiKeys"],
        tenant.get("priority"),
        _decode_homes(tenant),
    )


def _decode_route(route: dict[str, Any]) -> Route:
    split = route.get("trafficSplit")
    if split:
        targets = [(t["service"], float(t["weight"])) for t in split]
    else:
        targets = [(route["service"], 1.0)]
    stages = route.get("stages") or ()
    return Route(
        name=route["name"],
        host=route["host"].lower(),
        prefix=route["prefix"],
        kind=RouteKind(route["kind"]),
        timeout_s=route["timeoutMs"] / 1000,
        target_s=route.get("targetLatencyMs", route["timeoutMs"]) / 1000,
        priority=int(route.get("priority", 0)),
        targets=targets,
        attempts_max=int(route.get("maxAttempts", 1)),
        # `length` is the size of one result in bytes, not a number of pieces.
        stages=[
            StageStep(i, s["service"], s.get("after") or (), s["length"])
            for i, s in enumerate(stages)
        ],
        public=bool(route.get("public", False)),
        resumable=bool(route.get("resumable", False)),
        gap_s=(route.get("targetGapMs") or 0) / 1000,
        sticky=bool(route.get("stickySessions", False)),
        homes=_decode_homes(route),
    )


def _decode_pool(service: dict[str, Any]) -> PoolSpec:
    engine = service.get("engine")
    segments = service.get("segments")
    name = service["name"]
    return PoolSpec(
        name=name,
        connections_max=int(service.get("maxConnections", 100)),
        engine=EngineSpec(
            int(engine.get("slots", 1)),
            int(engine.get("kvCapacityTokens", 0)),
        )
        if engine
        else None,
        # `segments` describes the batched calls of a stage pool, and
        # `headroomMb` in it is the memory of one worker for results.
        batch=BatchSpec(
            slots=int(segments["slots"]),
            batch=int(segments["batch"]),
            call_s=segments["callMs"] / 1000,
            piece_s=segments["itemMs"] / 1000,
            result_memory_bytes=segments["headroomMb"] * _BYTES_PER_MB,
            result_ttl_s=segments["handleTtlS"],
        )
        if segments
        else None,
        cold_start_s=_read_figure(name, "coldStartS", service, COLD_MAX_S)
        or 0.0,
        cold_per_s=_read_figure(name, "coldPerS", service, COLD_PER_S_MAX)
        or 0.0,
    )


def entry_name(key: str) -> str:
    """Returns the name of the worker from the key of its registry entry."""
    return key.removeprefix(ENTRY_PREFIX)


def decode_entry(key: str, data: bytes, revision: int) -> ListedUpstream:
    """Decodes a registry entry.

    Args:
        key: Key of the entry in the store.
        data: Value of the entry.
        revision: Revision of the store that wrote the entry.

    Raises:
        MessageError: The entry is not JSON, or a field is missing, of the wrong
            type or out of range. A malformed `coldRemainingMs` alone is
            ignored.
    """
    name = entry_name(key)
    try:
        entry = orjson.loads(data)
        upstream = ListedUpstream(
            name=name,
            born_ms=entry.get("born", 0),
            pool=entry["service"],
            address=entry["address"],
            failure_domain=entry["zone"],
            slots=entry["slots"],
            state=_STATE_BY_NAME[entry["state"]],
            revision=revision,
        )
        check_upstream(upstream)
        check_whole(
            name, "sequence", entry.get("sequence", 0), ENTRY_SEQUENCE_MAX
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise MessageError(f"entry {key!r} is malformed: {exc!r}") from exc
    cold_ms = _read_figure(key, "coldRemainingMs", entry, 1000 * COLD_MAX_S)
    if cold_ms is not None:
        upstream.cold_s = cold_ms / 1000
    return upstream


def _read_figure(
    thing: str, field: str, fields: dict[str, Any], bound: float
) -> float | None:
    """Returns a figure that may be missing, None then or if it is malformed.

    A malformed one is logged.

    Args:
        thing: What has the figure, for the log.
        field: Its name.
        fields: The fields of the thing.
        bound: Its largest value; the least one is 0.
    """
    value = fields.get(field)
    if value is None:
        return None
    if (
        isinstance(value, (int, float))
        and not isinstance(value, bool)
        and 0.0 <= value <= bound
    ):
        return float(value)
    logger.bind(
        event="figure_rejected",
        thing=thing,
        field=field,
        value=repr(value)[:40],
    ).warning(
        "{} of {} is {!r:.40}, not a number from 0 to {:g}, and is ignored",
        field,
        thing,
        value,
        bound,
    )
    return None
