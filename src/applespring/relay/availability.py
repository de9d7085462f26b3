"""Refusal of requests whose pool takes none."""

from applespring.core import reason
from applespring.core.errors import RefusalError
from applespring.core.notices import spread_return_s
from applespring.core.verdict import Verdict
from applespring.relay.state import RelayState

# Retry-After while it is not known when an upstream takes requests again.
RETRY_AFTER_S = 0.3


def check_pool(
    state: RelayState, pool: str, request: str, *, within_s: float = 0.0
) -> None:
    """Checks that an upstream of a pool takes requests soon.

    Args:
        state: State of the instance.
        pool: Name of the pool.
        request: Id of the request.
        within_s: Time until the request needs the upstream.

    Raises:
        RefusalError: None takes requests then; the request has not run.
    """
    opens_in_s = state.pool_opens_in_s(pool)
    if opens_in_s is None or opens_in_s > within_s:
        raise make_unavailable_refusal(state, pool, request)


def make_unavailable_refusal(
    state: RelayState, pool: str, request: str
) -> RefusalError:
    """Returns the refusal of a request that has not run, since none takes it.

    Its Retry-After is after the end of the first pause, if all upstreams that
    do not leave are paused.
    """
    opens_in_s = state.pool_opens_in_s(pool)
    detail = f"pool {pool} has no upstream that accepts new work"
    if opens_in_s:
        detail = (
            f"all upstreams of pool {pool} are paused for {opens_in_s:.2f} s"
        )
    return RefusalError(
        reason.NO_UPSTREAM,
        Verdict.NOT_RUN,
        detail,
        retry_after_s=spread_return_s(opens_in_s or RETRY_AFTER_S, request),
        retry_after_known=bool(opens_in_s),
    )
