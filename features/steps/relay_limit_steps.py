"""Steps about upstreams that name a rate limit."""

import json

import anyio
from behave import given, then, when

from features.fixtures.notice_world import LIMIT_WINDOW_S
from features.steps.relay_crash_steps import run_in_world
from features.steps.relay_notice_steps import run_traffic, send

# Requests in 4 s beyond the limit that a plan may send.
EXTRA_REQUESTS = 5
UNLIMITED = "none"


def set_limits(world, names, limit):
    """Lets upstreams name a limit in their answers from now on."""
    for name in names.split():
        if limit == UNLIMITED:
            world.limits.pop(name, None)
        else:
            world.limits[name] = float(limit)


def run_limited(context, rate, seconds, route, names, limit, then_do=None):
    """Sends requests at a rate; the upstreams name their limit from 2 s on."""
    context.names, context.limit = names.split(), limit
    context.ends_at = seconds

    async def say(world):
        await anyio.sleep(2.0)
        set_limits(world, names, limit)
        if then_do is not None:
            await then_do(world)

    run_traffic(context, rate, seconds, route, say)


@given("each reading of the clock takes {ns:d} ns")
def given_clock(context, ns):
    context.world.clock_step_s = ns / 1e9


@when(
    "{rate:d} requests a second come for {seconds:d} s on the route {route}, "
    "and {names} have from 2 s on a limit of {limit:g} a second"
)
def when_limited(context, rate, seconds, route, names, limit):
    run_limited(context, rate, seconds, route, names, limit)


@when(
    "{rate:d} requests a second come for {seconds:d} s on the route {route}, "
    "and {names} have from 2 s on a limit of {limit:g} a second, and from 8 s "
    "on {after}"
)
def when_changed(context, rate, seconds, route, names, limit, after):
    async def change(world):
        await anyio.sleep(6.0)
        set_limits(world, names, after)
        context.changed_at = anyio.current_time()

    # An upstream with a limit of 0 gets a request each 10 s.
    seconds = max(seconds, 22 if limit == 0 else 0)
    run_limited(context, rate, seconds, route, names, limit, change)


@when(
    "{rate:d} requests a second come for {seconds:d} s on the route {route}, "
    "and {names} have from 2 s on a limit of {limit:g} a second, and at 6 s "
    "instances {event}"
)
def when_members_change(context, rate, seconds, route, names, limit, event):
    async def change(world):
        await anyio.sleep(4.0)
        first = world.instances["i0"].state.rank_schedulers("plain")[0]
        if event == "join":
            for number in range(7, 10):
                await world.start(f"i{number}", world.tasks)
        else:
            name = first if event.startswith("leave") else "i3"
            world.kill(name)
            instance = world.instances.pop(name)
            if event.startswith("leave"):
                instance.peers.leaving = instance.state.leaving = True
                await instance.peers.announce()
            else:
                await anyio.sleep(1.5)
                await world.start(name, world.tasks)

    run_limited(context, rate, seconds, route, names, limit, change)


@when(
    "{rate:d} requests a second come for {seconds:d} s on the route {route}, "
    "and {name} with a limit of {limit:g} a second starts again at 4 s"
)
def when_starts_again(context, rate, seconds, route, name, limit):
    async def crash(world):
        await anyio.sleep(2.0)
        await world.upstreams[name].crash()
        set_limits(world, name, UNLIMITED)
        context.again_at = anyio.current_time() + 3.0

    run_limited(context, rate, seconds, route, name, limit, crash)


@when(
    "{name} has a limit of {limit:g} a second and {count:d} requests come at "
    "once each second for {seconds:d} s on the route {route}"
)
def when_at_once(context, name, limit, count, seconds, route):
    async def scenario(world):
        set_limits(world, name, limit)
        async with anyio.create_task_group() as callers:
            # The first answer names the limit, and the first requests after it
            # may not come at once.
            for second in range(seconds):
                for number in range(count if second else 1):
                    prefix = "r" if second > 1 else "first"
                    request = f"{prefix}{second}-{number}"
                    await send(context, callers, request, route)
                await anyio.sleep(1.0)

    run_in_world(context, scenario)


@then(
    "at least {served:d} of {count:d} requests are served, each within "
    "{seconds:g} s"
)
def then_some_served(context, served, count, seconds):
    replies = timed_replies(context)
    times = [took_s for reply, took_s in replies if reply.status == 200]
    assert len(times) * count >= served * len(replies), len(times)
    assert max(times) <= seconds, max(times)


@then(
    "the others are refused within {ms:d} ms, to come back within {seconds:g} s"
)
def then_others_refused(context, ms, seconds):
    for reply, took_s in timed_replies(context):
        if reply.status != 200:
            assert reply.status == 503, reply.body
            assert took_s <= ms / 1000, took_s
            back_s = float(reply.headers[b"retry-after"])
            assert 0.0 < back_s <= seconds, back_s


def timed_replies(context):
    """Returns the replies to all requests but the first ones, with times."""
    world = context.world
    return [
        (reply, reply.ended_at - world.sent[name][0])
        for name, reply in world.replies.items()
        if not name.startswith("first")
    ]


@when("{name} names a limit of {limit:g} a second to {instance} alone")
def when_told(context, name, limit, instance):
    async def scenario(world):
        set_limits(world, name, limit)
        for upstream in list(world.upstreams):
            if upstream.startswith("p") and upstream != name:
                world.upstreams[upstream].down = True
        async with anyio.create_task_group() as callers:
            await send(context, callers, "first", "safe", instance)
            while not any(n.per_s for n in world.notices):
                await anyio.sleep(0.01)
            told_at = anyio.current_time()
            while len(knowing(world)) < context.instance_count:
                await anyio.sleep(0.01)
            context.known_s = anyio.current_time() - told_at

    run_in_world(context, scenario)


def knowing(world):
    """Returns the instances that hold a limit."""
    return [i for i in world.instances.values() if i.state.notices.limits]


@then("all instances know it within {seconds:g} s")
def then_known(context, seconds):
    assert context.known_s <= seconds, context.known_s


@then("no upstream with a limit gets in 4 s more than that and 5 requests")
def then_limited(context):
    world = context.world
    allowed = LIMIT_WINDOW_S * context.limit + EXTRA_REQUESTS
    for name in context.names:
        most = world.count_limited((name, world.starts[name]), 0.0)
        assert most <= allowed, (name, most, allowed)


@then("each gets at least {share:g} of its limit from {since:d} s on")
def then_used(context, share, since):
    starts_at = context.started_at + since
    ends_at = context.started_at + context.ends_at
    for name in context.names:
        found = context.world.delivered_between(name, starts_at, ends_at)
        per_s = len(found) / (ends_at - starts_at)
        assert per_s >= share * context.limit, (name, per_s, context.limit)


@then("requests that are refused have not run, and are told when to come back")
def then_refused(context):
    for name, reply in context.world.replies.items():
        if reply.status == 200:
            continue
        assert reply.status == 503, (reply.status, reply.body)
        assert json.loads(reply.body)["verdict"] == "not_run", reply.body
        assert float(reply.headers[b"retry-after"]) > 0.0
        assert not context.world.find_arrivals(name), name


@then(
    "no instance holds a limit other than {limit} of an upstream that has "
    "answered since"
)
def then_held(context, limit):
    world = context.world
    expected = None if limit == UNLIMITED else float(limit)
    answered = {
        d.start[0] for d in world.deliveries if d.at > context.changed_at + 0.1
    }
    held = {
        (name, limits.per_s)
        for instance in world.instances.values()
        for (name, _), limits in instance.state.notices.limits
        if name in answered
    }
    assert answered and {per_s for _, per_s in held} == {expected}, held


@then("at least {count:d} requests a second are served from {since:d} s on")
def then_served_again(context, count, since):
    replies = context.world.replies.items()
    sent = context.world.sent
    since_at = context.started_at + since
    until_at = context.started_at + context.ends_at
    served = sum(
        r.status == 200 and sent[name][0] >= since_at for name, r in replies
    )
    assert served >= count * (until_at - since_at), served


@then("its next start gets {count:d} requests or more in a second")
def then_next_start(context, count):
    (name,) = context.names
    most = max(
        len(context.world.delivered_between(name, at, at + 1.0))
        for at in range(int(context.again_at), int(context.again_at) + 4)
    )
    assert most >= count, most
