"""Configurations and registry entries in the format of the users' platform."""

from typing import Any

from soak import upstream
from soak.record import RESUMABLE, SAFE, STAGED, STREAM, UNSAFE

HOST = "soak.example"
ACCOUNT = "harbour"
KEY = "key-of-all-versions"
PLAIN, ENGINES, STAGE = "plain", "engines", "stage"
POOL_BY_KIND = {
    SAFE: PLAIN,
    UNSAFE: PLAIN,
    STREAM: ENGINES,
    RESUMABLE: ENGINES,
    STAGED: ENGINES,
}
TIMEOUTS_S = {SAFE: 1.5, UNSAFE: 1.5, STREAM: 5.0, RESUMABLE: 5.0, STAGED: 6.0}
TARGETS_S = {SAFE: 0.3, UNSAFE: 0.3, STREAM: 0.6, RESUMABLE: 0.6, STAGED: 1.5}
ATTEMPTS_MAX = {SAFE: 2, UNSAFE: 1, STREAM: 1, RESUMABLE: 2, STAGED: 1}
# For each stage, the indexes of the stages whose results it uses.
STAGE_INPUTS: tuple[tuple[int, ...], ...] = ((), (0,))
# Number of pieces of each stage, by index.
SEGMENTS = (2, 1)
CONNECTIONS_MAX = 200
TARGET_GAP_S = 0.2
# The longest wait of a caller for the next event of a stream is the greatest of
# a time, a multiple of the latency target and a multiple of the gap target.
PATIENCE_MIN_S = 2.0
PATIENCE_TARGETS = 4
PATIENCE_GAPS = 8
IDLE_TIMEOUT_S = 15.0
# What a service says of its cold workers, and the bound of the settings: most
# requests that one gets in a second.
COLD_START_S = 1.5
COLD_PER_S = 2.0
COLD_OVERSHOOT = 1.5
COLD_SLACK = 1
COLD_SECOND_MAX = COLD_PER_S * COLD_OVERSHOOT + COLD_SLACK


def patience_s(kind: str) -> float:
    """Returns how long a caller waits for the next event of a stream."""
    return max(
        PATIENCE_MIN_S,
        PATIENCE_TARGETS * TARGETS_S[kind],
        PATIENCE_GAPS * TARGET_GAP_S,
    )


def versioned_path(version: int) -> str:
    """Returns the path prefix of the route that only this version has."""
    return f"/v{version}/"


def versioned_key(version: int) -> str:
    """Returns the API key that only this version has."""
    return f"key-of-{version}"


def make_document(
    version: int, idle_timeout_s: float = IDLE_TIMEOUT_S
) -> dict[str, Any]:
    """Returns the configuration with the given version and idle limit."""
    routes = [_make_route(kind, f"/{kind}/", kind) for kind in POOL_BY_KIND]
    routes.append(_make_route("versioned", versioned_path(version), SAFE))
    return {
        "version": version,
        "routes": routes,
        "services": [
            _make_service(PLAIN),
            _make_service(
                ENGINES, engine={"slots": 64, "kvCapacityTokens": 600_000}
            ),
            _make_service(
                STAGE,
                segments={
                    "slots": 1,
                    "queue": 2,
                    "batch": upstream.BATCH_MAX,
                    "callMs": upstream.CALL_S * 1000,
                    "itemMs": upstream.PIECE_S * 1000,
                    "headroomMb": upstream.RESULT_MEMORY_MB,
                    "handleTtlS": upstream.RESULT_TTL_S,
                    "linkMbps": 1000,
                },
            ),
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1_000_000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": int(idle_timeout_s * 1000),
        },
        "tenants": [
            {
                "name": ACCOUNT,
                "apiKeys": [KEY, versioned_key(version)],
                "priority": 1,
            }
        ],
    }


def _make_route(name: str, prefix: str, kind: str) -> dict[str, Any]:
    streaming = POOL_BY_KIND[kind] == ENGINES
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": "streaming" if streaming else kind,
        "timeoutMs": int(TIMEOUTS_S[kind] * 1000),
        "targetLatencyMs": int(TARGETS_S[kind] * 1000),
        "priority": 1,
        "service": POOL_BY_KIND[kind],
        "maxAttempts": ATTEMPTS_MAX[kind],
        "stages": [
            {
                "service": STAGE,
                "after": list(inputs),
                "length": upstream.RESULT_BYTES,
            }
            for inputs in STAGE_INPUTS
        ]
        if kind == STAGED
        else [],
        "public": False,
        "stickySessions": streaming,
        "resumable": kind == RESUMABLE,
        "targetGapMs": int(TARGET_GAP_S * 1000),
    }


def _make_service(name: str, **fields: Any) -> dict[str, Any]:
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": CONNECTIONS_MAX,
        "coldStartS": COLD_START_S,
        "coldPerS": COLD_PER_S,
        **fields,
    }


def make_entry(
    pool: str,
    address: str,
    domain: str,
    state: str,
    born_ms: int,
    cold_s: float = 0.0,
) -> dict[str, Any]:
    """Returns the registry entry of a worker."""
    return {
        "service": pool,
        "address": address,
        "zone": domain,
        "version": 1,
        "slots": 1 if pool == STAGE else 64,
        "state": state,
        "coldRemainingMs": int(1000 * cold_s),
        "sequence": 1,
        "born": born_ms,
    }
