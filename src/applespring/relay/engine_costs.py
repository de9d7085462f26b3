"""Estimated costs of streams: admission and metrics.

Nothing here applies unless engines are chosen by learned costs.
"""

from applespring.core import reason
from applespring.core.catalog import ListedUpstream
from applespring.core.engines.attempt import EngineAttempt
from applespring.core.engines.stream_cost import StreamCost
from applespring.core.errors import RefusalError
from applespring.core.verdict import Verdict
from applespring.relay.availability import make_return_s
from applespring.relay.exchange import Exchange
from applespring.relay.metrics import RelayMetrics
from applespring.relay.state import RelayState


def make_cost(state: RelayState, exchange: Exchange) -> StreamCost | None:
    """Returns the estimated cost of a stream, or None if it is not learned."""
    learned = state.engines.learned
    if learned is None:
        return None
    req, route = exchange.req, exchange.route
    pool = exchange.document.pools.get(exchange.pool)
    engine = pool.engine if pool is not None else None
    return StreamCost(
        exchange.pool,
        route.name,
        tokens_in=req.tokens_in,
        tokens_max=req.tokens_out,
        tokens_hint=req.tokens_hint,
        answer=learned.lengths.estimate(
            route.name, req.tokens_out, req.tokens_hint
        ),
        cache_tokens=engine.cache_tokens if engine is not None else 0,
        slots=engine.slots if engine is not None else 0,
    )


def check_first_event(
    state: RelayState, exchange: Exchange, prefix_name: str
) -> None:
    """Checks that an engine may send a first event before the caller leaves.

    The request is refused before its stages are executed, and only if it would
    be too late at every engine even with the usual error of the estimate.

    Args:
        state: State of the instance.
        exchange: The request.
        prefix_name: Name of the prompt prefix that it shares with others.

    Raises:
        RefusalError: Its caller would leave first; it has not run.
    """
    cost = make_cost(state, exchange)
    if cost is None:
        return
    now = state.clock()
    earliest_s = state.engines.earliest_first_event_s(
        state.usable_upstreams(
            exchange.pool, regions=exchange.regions_in(state.document)
        ),
        subject=prefix_name,
        parts=[(p.name, p.tokens) for p in exchange.req.prompt_parts],
        cost=cost,
        now=now,
    )
    excess_s = earliest_s - (exchange.refuse_at - now)
    if excess_s <= 0.0:
        return
    raise RefusalError(
        reason.OVERLOADED,
        Verdict.NOT_RUN,
        f"the first event of an engine of pool {exchange.pool} is expected "
        f"{excess_s:.2f} s after the caller leaves",
        retry_after_s=make_return_s(
            state, exchange.pool, exchange.request_id, excess_s
        ),
    )


def record_choice(
    state: RelayState,
    metrics: RelayMetrics,
    exchange: Exchange,
    upstream: ListedUpstream,
    prefix_name: str,
) -> None:
    """Counts the choice of an engine by whether it is the prefix's home."""
    if state.engines.learned is None:
        return
    home = state.engines.home(
        state.usable_upstreams(
            exchange.pool, regions=exchange.regions_in(state.document)
        ),
        prefix_name,
        state.clock(),
    )
    is_home = home is not None and home.name == upstream.name
    metrics.engine_choices.inc(exchange.pool, "home" if is_home else "cost")


def record_first_event(
    metrics: RelayMetrics, exchange: Exchange, attempt: EngineAttempt
) -> None:
    """Records the estimated and the seen time to a first event."""
    if attempt.expected_s < 0.0:
        return
    family = metrics.engine_first_event_s
    family.observe(attempt.expected_s, exchange.pool, "estimated")
    family.observe(attempt.first_event_s, exchange.pool, "seen")
