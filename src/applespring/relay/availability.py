"""Refusal of requests whose pool takes none."""

from collections.abc import Iterable

from applespring.core import reason
from applespring.core.errors import RefusalError
from applespring.core.homes import Regions
from applespring.core.notices import spread_return_s
from applespring.core.verdict import Verdict
from applespring.relay.state import RelayState

# Retry-After while it is not known when an upstream takes requests again.
RETRY_AFTER_S = 0.3


def check_pool(
    state: RelayState,
    pool: str,
    request: str,
    *,
    within_s: float = 0.0,
    regions: Regions = None,
) -> None:
    """Checks that an upstream of a pool takes requests soon.

    Args:
        state: State of the instance.
        pool: Name of the pool.
        request: Id of the request.
        within_s: Time until the request needs the upstream.
        regions: Regions that the homes of the request allow.

    Raises:
        RefusalError: None takes requests then; the request has not run.
    """
    opens_in_s = state.pool_opens_in_s(pool, limits=False, regions=regions)
    if opens_in_s is None or opens_in_s > within_s:
        raise make_unavailable_refusal(state, pool, request, regions)


def make_unavailable_refusal(
    state: RelayState, pool: str, request: str, regions: Regions = None
) -> RefusalError:
    """Returns the refusal of a request that has not run, since none takes it.

    Its Retry-After is when the first upstream takes requests again, if all that
    do not leave are paused or have no permit left.
    """
    if state.is_pool_evacuated(pool, regions):
        return _make_evacuation_refusal(state, pool)
    opens_in_s = state.pool_opens_in_s(pool, regions=regions)
    homes = describe_homes(regions)
    detail = f"pool {pool} has no upstream that accepts new work{homes}"
    if opens_in_s:
        detail = (
            f"all upstreams of pool {pool}{homes} are paused, or get no more "
            f"requests by their rate limits, for {opens_in_s:.2f} s"
        )
    return RefusalError(
        reason.NO_UPSTREAM,
        Verdict.NOT_RUN,
        detail,
        retry_after_s=make_return_s(
            state, pool, request, opens_in_s or RETRY_AFTER_S, regions
        ),
        retry_after_known=bool(opens_in_s),
    )


def describe_homes(regions: Regions) -> str:
    """Returns the end of a detail that names the regions, or "" for all."""
    if regions is None:
        return ""
    if not regions:
        return " (no region is a home of both the route and the account)"
    return f" in the homes of the request ({', '.join(sorted(regions))})"


def check_evacuations(
    state: RelayState, pools: Iterable[str], regions: Regions = None
) -> None:
    """Checks that no pool has all of its upstreams in evacuated domains.

    Args:
        state: State of the instance.
        pools: Names of the pools.
        regions: Regions that the homes of the request allow.

    Raises:
        RefusalError: One has; the request has not run.
    """
    for pool in pools:
        if state.is_pool_evacuated(pool, regions):
            raise _make_evacuation_refusal(state, pool)


def _make_evacuation_refusal(state: RelayState, pool: str) -> RefusalError:
    """Returns a refusal without Retry-After, since nothing tells the end."""
    return RefusalError(
        reason.NO_UPSTREAM,
        Verdict.NOT_RUN,
        f"all upstreams of pool {pool} are in evacuated failure domains: "
        f"{', '.join(state.evacuations.domains)}",
    )


def make_return_s(
    state: RelayState,
    pool: str,
    request: str,
    wait_s: float,
    regions: Regions = None,
) -> float:
    """Returns the Retry-After of a request that a pool can't take now.

    Where rate limits bound the pool, callers are spread over the time that the
    pool needs for all that were refused here.

    Args:
        state: State of the instance.
        pool: Name of the pool.
        request: Id of the request.
        wait_s: Time until the first upstream takes requests.
        regions: Regions that the homes of the request allow.
    """
    per_s = state.pool_rate_limit(pool, regions)
    if per_s is None:
        return spread_return_s(wait_s, request)
    return state.return_times(pool).add(wait_s, per_s, request, state.clock())
