"""Steps about homes of routes and accounts."""

import itertools
import json

import anyio
import httpx
from behave import given, then, when
from loguru import logger

from applespring.peer import message
from applespring.peer.codec import decode, encode
from features.fixtures.home_world import INSTANCES, REGIONS, HomeWorld
from features.fixtures.relay import address_of
from features.fixtures.relay_world import SIGNED, events
from features.fixtures.virtual import run_virtual

SETTLE_S = 12.0
# Enough that not all of them go to the engine that has their prefix.
COUNT = 120
EAST_ENGINES = {address_of("engines1"), address_of("engines3")}
PROMPT = (b"prompt-prefix", b"shared:4000,own:10")
FAILURES = {
    "answers with 500": (500, SIGNED, [b"failed"]),
    "refuses with 503": (503, {"Not-Executed": "1"}, [b""]),
    "breaks off after an event": (
        200,
        SIGNED,
        [*events(1, 1), httpx.RemoteProtocolError("cut")],
    ),
}


def run_world(context, actions):
    """Runs the instances of the world and actions, in virtual time."""
    world, context.unknown = context.world, []

    async def run():
        async with anyio.create_task_group() as tasks:
            await world.start_all(tasks)
            with anyio.fail_after(60):
                await actions(world, tasks)
            tasks.cancel_scope.cancel()

    def record(line):
        if line.record["extra"].get("event") == "region_unknown":
            context.unknown.append(line.record["extra"])

    sink = logger.add(record)
    try:
        run_virtual(run)
    finally:
        logger.remove(sink)


async def send_all(context, world, route, count):
    """Sends requests to each instance and waits for the answers."""
    async with anyio.create_task_group() as callers:
        for instance, number in itertools.product(INSTANCES, range(count)):
            request = f"{instance}-{number}"
            context.requests.append(request)
            callers.start_soon(world.send, instance, route, request, "bound")
    await anyio.sleep(0.5)


@given("instances and upstreams in two regions")
def given_world(context):
    context.world, context.requests = HomeWorld(), []


@given(
    "instances and upstreams in two regions, and no known region of {domain}"
)
def given_unknown(context, domain):
    known = {d: r for d, r in REGIONS.items() if d != domain}
    context.world, context.requests = HomeWorld(known), []


@given('routes have the homes "{route}" and the account "{account}"')
@given('routes have the homes "" and the account "{account}"')
@given('routes have the homes "{route}" and the account ""')
@given('routes have the homes "" and the account ""')
def given_homes(context, route="", account=""):
    context.world.set_route_homes(route.split())
    context.world.set_account_homes(account.split())


@given("every upstream in {region} {fails}")
def given_failing(context, region, fails):
    for name, upstream in context.world.upstreams.items():
        domain = context.world.listed[name].failure_domain
        if REGIONS[domain] == region and not name.startswith("stage"):
            upstream.default = FAILURES[fails]


@given("no upstream of the pools {pools} in {region} is listed")
def given_none_listed(context, pools, region):
    world = context.world
    for name, upstream in list(world.listed.items()):
        in_region = REGIONS[upstream.failure_domain] == region
        if in_region and upstream.pool in pools.split():
            del world.listed[name]


@given("each call of a stage takes {seconds:g} s")
def given_slow_calls(context, seconds):
    for upstream in context.world.upstreams.values():
        upstream.stage_delays = [seconds] * 100


@when(
    "{count:d} requests of the account are sent to each instance on the route "
    "{route}"
)
def when_sent(context, count, route):
    run_world(context, lambda world, _: send_all(context, world, route, count))


@when("a request is sent to each instance on the route {route}")
@when("a request of the account is sent to each instance on the route {route}")
def when_one_sent(context, route):
    when_sent(context, 1, route)


@when(
    "engines in east have read prompts that are then sent with homes west and "
    "without"
)
def when_fetching(context):
    async def send_many(world, account, count):
        async with anyio.create_task_group() as callers:
            for n in range(count):
                callers.start_soon(
                    world.send,
                    "i0",
                    "stream",
                    f"{account}{n}",
                    account,
                    [(b"prompt-prefix", f"{account}:1200,own:9".encode())],
                )

    async def actions(world, tasks):
        del tasks
        await send_many(world, "bound", 1)
        await send_many(world, "free", 1)
        world.set_account_homes([])
        world.set_route_homes([])
        await anyio.sleep(1.0)
        world.arrivals.clear()
        world.set_account_homes(["west"])
        await anyio.sleep(1.0)
        for upstream in world.upstreams.values():
            upstream.head_delay_s = 1.0
        await send_many(world, "bound", COUNT)
        await send_many(world, "free", COUNT)

    context.world.set_route_homes(["east"])
    run_world(context, actions)


def send_then(context, count, change):
    """Sends staged requests and changes the world while their pieces wait."""

    async def actions(world, tasks):
        for number in range(count):
            request = f"r{number}"
            context.requests.append(request)
            tasks.start_soon(world.send, "i0", "staged", request, "free")
        await anyio.sleep(0.3)
        change(world)
        context.changed_at = anyio.current_time()
        await anyio.sleep(0.5)
        context.calls_before = len(world.calls)
        await anyio.sleep(SETTLE_S)

    run_world(context, actions)


@when('{count:d} staged requests are sent and then the homes become "{homes}"')
@when('{count:d} staged requests are sent and then the homes become ""')
def when_homes_change(context, count, homes=""):
    send_then(
        context, count, lambda world: world.set_route_homes(homes.split())
    )


@when(
    "{count:d} staged requests are sent and then the stage upstreams in "
    "{region} are removed"
)
def when_removed(context, count, region):
    def remove(world):
        world.revision += 1
        for name, upstream in list(world.listed.items()):
            in_region = REGIONS[upstream.failure_domain] == region
            if in_region and upstream.pool == "stage":
                del world.listed[name]
                world.removed.append(name)

    send_then(context, count, remove)


@when(
    "the same requests are sent without regions, with regions, and with homes "
    "that are all regions"
)
def when_compared(context):
    context.traces = []
    variants = ({}, [], []), (REGIONS, [], []), (REGIONS, ["west", "east"], [])
    for regions, route_homes, account_homes in variants:
        context.world, context.requests = HomeWorld(regions), []
        context.world.set_route_homes(route_homes)
        context.world.set_account_homes(account_homes)
        context.world.version = 20
        context.world.publish()
        run_world(context, _send_every_kind)
        world = context.world
        context.traces.append(
            (
                [(a.upstream, a.target, a.at) for a in world.arrivals],
                [
                    (name, [(i["id"], i["stage"], i["segment"]) for i in items])
                    for name, items in world.calls
                ],
                [(to, m.request, m.stage) for to, m in world.submissions],
                [(r, reply.status) for r, reply in world.replies.items()],
            )
        )


async def _send_every_kind(world, tasks):
    del tasks
    world.upstreams["plain1"].default = FAILURES["answers with 500"]
    world.upstreams["engines1"].default = FAILURES["breaks off after an event"]
    routes = [route["name"] for route in world.routes]
    async with anyio.create_task_group() as callers:
        for number, route in enumerate(routes * 8):
            callers.start_soon(
                world.send,
                f"i{number % 3}",
                route,
                f"r{number}",
                "bound" if number % 2 else "free",
                [PROMPT],
            )
            await anyio.sleep(0.02)


@when("a submission without homes is encoded and decoded")
def when_encoded(context):
    fields = {
        name: 0
        for name in message.StageSubmit.__slots__
        if name not in message.StageSubmit.DEFAULTS
    }
    for name in ("origin", "origin_address", "pool", "request"):
        fields[name] = "x"
    fields.update(failure_domain="", begun=False, inputs=(), pieces=())
    context.decoded = decode(encode(message.StageSubmit(**fields)))


@then("all are served")
def then_served(context):
    replies = context.world.replies
    statuses = {r: replies[r].status for r in context.requests}
    assert set(statuses.values()) == {200}, statuses
    assert all(replies[r].ended for r in context.requests)


@then("only upstreams in {domains} got work of them")
def then_only(context, domains):
    found = [context.world.domains_of(r) for r in context.requests]
    assert all(found), found
    assert set().union(*found) <= set(domains.split()), found


@then("at least {count:d} upstreams got work of them")
def then_several(context, count):
    upstreams = {
        a.upstream
        for r in context.requests
        for a in context.world.find_arrivals(r)
    }
    assert len(upstreams) >= count, upstreams


@then("pieces were sent to other instances only in {domains}")
def then_bodies(context, domains):
    for receiver, msg in context.world.submissions:
        assert INSTANCES[receiver] in domains.split(), (receiver, msg.origin)


@then(
    "they are refused within {seconds:g} s as not run, with a time to come back"
)
def then_refused_at_once(context, seconds):
    then_refused(context)
    for request in context.requests:
        reply = context.world.replies[request]
        assert reply.ended_at - 2.0 <= seconds, reply.ended_at
        assert float(reply.headers[b"retry-after"]) > 0.0


@then("they are refused as not run")
def then_refused(context):
    for request in context.requests:
        reply = context.world.replies[request]
        problem = json.loads(reply.body)
        assert reply.status == 503, reply.status
        assert problem["reason"] == "no_upstream", problem
        assert problem["verdict"] == "not_run", problem


@then("they are refused within {seconds:g} s of that")
def then_refused_soon(context, seconds):
    for request in context.requests:
        reply = context.world.replies[request]
        assert reply.ended_at <= context.changed_at + seconds, reply.ended_at


@then('the detail says "{text}"')
def then_detail(context, text):
    for request in context.requests:
        problem = json.loads(context.world.replies[request].body)
        assert text in problem["detail"], problem


@then("no upstream got work of them")
def then_none(context):
    assert not any(context.world.domains_of(r) for r in context.requests)


@then("requests without homes fetch from them")
def then_fetches(context):
    fetches = {context.world.fetch_of(f"free{n}") for n in range(COUNT)}
    assert fetches & EAST_ENGINES, fetches


@then("requests with homes fetch from none of them")
def then_fetches_not(context):
    for n in range(COUNT):
        assert context.world.domains_of(f"bound{n}") <= {"koper", "izola"}
        assert context.world.fetch_of(f"bound{n}") not in EAST_ENGINES


@then("calls later than 0.5 s after that go only to upstreams in {domains}")
def then_later_calls(context, domains):
    world = context.world
    later = [name for name, _ in world.calls[context.calls_before :]]
    assert later
    found = {world.listed[name].failure_domain for name in later}
    assert found <= set(domains.split()), found


@then("no call is made later than 0.5 s after that")
def then_no_calls(context):
    assert len(context.world.calls) == context.calls_before > 0


@then("each instance logged once that the region of {domain} is not known")
def then_logged(context, domain):
    found = [line["failure_domain"] for line in context.unknown]
    assert found == [domain] * len(INSTANCES), found


@then("the same upstreams got the same requests at the same times")
def then_same(context):
    first, *others = context.traces
    assert all(first), [len(part) for part in first]
    assert all(other == first for other in others)


@then("it has no homes")
def then_no_homes(context):
    assert context.decoded.homes == ()
