"""Steps about upstreams of the JSON interface that name a rate limit."""

import anyio
from behave import then, when

from features.fixtures.notice_world import LIMIT_WINDOW_S
from features.steps.relay_limit_steps import EXTRA_REQUESTS


def run_limited(context, rate, seconds, pipeline, names, limit, ends=None):
    """Sends requests at a rate; upstreams name a limit from 2 s on.

    Args:
        context: The context.
        rate: Requests a second.
        seconds: For how long.
        pipeline: Their pipeline.
        names: Returns the names of the upstreams, given the fleet.
        limit: Calls a second.
        ends: When the limit ends, or None.
    """
    played = context.paused_fleet

    async def scenario(fleet, callers):
        context.names, context.limit = names(fleet), limit
        context.started_at = anyio.current_time()
        context.ends_at = context.started_at + seconds
        for number in range(rate * seconds):
            if number == rate * 2:
                played.limits = dict.fromkeys(context.names, limit)
            if ends is not None and number == rate * ends:
                played.limits = {}
            callers.start_soon(played.submit, fleet, number, pipeline)
            await anyio.sleep(1 / rate)

    played.run(scenario)


def pool_names(pool):
    return lambda fleet: [u.name for u in fleet.fleet.pools[pool].upstreams]


@when(
    "{rate:d} requests a second come for {seconds:d} s on the pipeline "
    "{pipeline}, and {name} has from 2 s on a limit of {limit:g} a second"
)
def when_limited(context, rate, seconds, pipeline, name, limit):
    run_limited(context, rate, seconds, pipeline, lambda _: [name], limit)


@when(
    "{rate:d} requests a second come for {seconds:d} s on the pipeline "
    "{pipeline}, and the pool {pool} has from 2 s on limits of {limit:g} a "
    "second"
)
def when_pool_limited(context, rate, seconds, pipeline, pool, limit):
    run_limited(context, rate, seconds, pipeline, pool_names(pool), limit)


@when(
    "{rate:d} requests a second come for {seconds:d} s on the pipeline "
    "{pipeline}, and the pool {pool} has from 2 to {ends:d} s limits of "
    "{limit:g} a second"
)
def when_limit_ends(context, rate, seconds, pipeline, pool, ends, limit):
    run_limited(context, rate, seconds, pipeline, pool_names(pool), limit, ends)


@then("{name} gets in 4 s no more than its limit and 5 calls")
def then_limited(context, name):
    allowed = LIMIT_WINDOW_S * context.limit + EXTRA_REQUESTS
    for upstream in context.names:
        assert name in ("each", upstream)
        most = context.paused_fleet.count_limited(upstream)
        assert most <= allowed, (upstream, most, allowed)


@then("each gets calls for at least {share:g} of its limit from {since:d} s on")
def then_used(context, share, since):
    since_at = context.started_at + since
    for name in context.names:
        found = sum(
            upstream == name and since_at <= at < context.ends_at
            for _, upstream, at in context.paused_fleet.arrivals
        )
        per_s = found / (context.ends_at - since_at)
        assert per_s >= share * context.limit, (name, per_s, context.limit)


@then(
    "requests that are refused have not run, and are refused within {ms:d} ms"
)
def then_refused(context, ms):
    refused = [
        reply
        for _, reply in context.paused_fleet.replies
        if reply.status != 200
    ]
    assert refused
    for reply in refused:
        assert reply.status == 503, (reply.status, reply.document)
        assert reply.document["verdict"] == "not_run", reply.document
        assert float(reply.headers["retry-after"]) > 0.0
        assert reply.elapsed_s <= ms / 1000, (reply.elapsed_s, reply.document)


@then("at least {count:d} submissions a second are served from {since:d} s on")
def then_served_again(context, count, since):
    replies = context.paused_fleet.replies
    since_at = context.started_at + since
    served = sum(r.status == 200 and at >= since_at for at, r in replies)
    assert served >= count * (context.ends_at - since_at), served
