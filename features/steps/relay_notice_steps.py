"""Steps about upstreams that say that they leave or need a pause."""

import json
import math

import anyio
from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st

from applespring.clock import wait_until
from features.fixtures.crash_world import make_rng
from features.fixtures.notice_world import NoticeWorld
from features.fixtures.platform_text import make_configuration
from features.fixtures.virtual import run_virtual
from features.steps.relay_crash_steps import run_in_world
from features.steps.relay_repeat_steps import stage_headers

PAUSE_S = 4.0
# Time of a request that is sent on its own.
REQUEST_S = 1.0
DEADLINE_MS = 12000


@given(
    "{instances:d} instances with {engines:d} engines and {services:d} "
    "services that speak"
)
def given_world(context, instances, engines, services):
    context.world = NoticeWorld(engines)
    context.world.add_services(services)
    context.instance_count = instances
    context.rng = make_rng(3)


@given("a connection to an upstream takes {seconds:g} s to open")
def given_slow_connections(context, seconds):
    context.world.connect_s = seconds


@given("a paused upstream answers after {seconds:g} s")
def given_slow_refusals(context, seconds):
    context.world.refusal_s = seconds


@given(
    "timers fire {percent:g} % early by a clock that takes {us:d} us to read"
)
def given_early_timers(context, percent, us):
    context.world.clock_lag = percent / 100
    context.world.clock_reading_s = us / 1e6


@given("a stage call takes {seconds:g} s and no call may be repeated")
def given_long_calls(context, seconds):
    world = context.world
    world.settings = {"retry_ratio": 0.0, "retry_extra": 0.0}
    (stage,) = (
        service
        for service in json.loads(make_configuration())["services"]
        if "segments" in service
    )
    stage["segments"]["callMs"] = 1000 * seconds
    world.stage_service = stage
    world.publish()


def start_of(world, name):
    return (name, world.starts[name])


def speak(world, name, says, pause_s=PAUSE_S):
    """Lets an upstream say something in its answers from now on."""
    if says == "asks for a pause":
        world.paused_until[name] = anyio.current_time() + pause_s
    else:
        world.leaving.add(start_of(world, name))


async def send(context, callers, request, route, instance=None):
    """Sends a request in the background."""
    world = context.world
    plain = route in ("safe", "unsafe")
    callers.start_soon(
        world.send,
        request,
        context.rng,
        [f"shared{context.rng.randrange(40)}", f"own {request}"],
        f"/{route}/{request}",
        instance,
        1000 if plain else DEADLINE_MS,
        stage_headers(route),
    )


def run_traffic(context, rate, seconds, route, say):
    """Sends requests at a rate, beside `say`, which gets the start time."""

    async def scenario(world):
        context.started_at = anyio.current_time()
        async with anyio.create_task_group() as callers:
            callers.start_soon(say, world)
            for number in range(rate * seconds):
                await send(context, callers, f"r{number}", route)
                await anyio.sleep(1 / rate)

    run_in_world(context, scenario)


@when(
    "{rate:d} requests a second come for {seconds:d} s on the route {route}, "
    "and {name} says from {at:d} s on that it leaves"
)
def when_leaves(context, rate, seconds, route, name, at):
    context.name = name

    async def say(world):
        await anyio.sleep(at)
        speak(world, name, "says that it leaves")

    run_traffic(context, rate, seconds, route, say)


@when(
    "{rate:d} requests a second come for {seconds:d} s on the route {route}, "
    "and {name} asks at {at:d} s for a pause of {pause:g} s"
)
def when_pauses(context, rate, seconds, route, name, at, pause):
    context.name = name

    async def say(world):
        await anyio.sleep(at)
        speak(world, name, "asks for a pause", pause)
        context.again_at = anyio.current_time() + pause

    run_traffic(context, rate, seconds, route, say)


@when(
    "{rate:d} requests a second come for {seconds:d} s on the route {route}, "
    "and {name} {says} at {at:d} s and starts again at {again:d} s"
)
def when_starts_again(context, rate, seconds, route, name, says, at, again):
    context.name = name

    async def say(world):
        await anyio.sleep(at)
        speak(world, name, says, 60.0)
        await anyio.sleep(again - at)
        world.paused_until.pop(name, None)
        # An upstream that is still used, as without the notice, comes back.
        await world.upstreams[name].crash()
        await anyio.sleep(3.0)
        context.again_at = anyio.current_time()

    run_traffic(context, rate, seconds, route, say)


@when("{count:d} requests come at once on the route {route}, and {name} {says}")
def when_at_once(context, count, route, name, says):
    async def scenario(world):
        speak(world, name, says)
        async with anyio.create_task_group() as callers:
            for number in range(count):
                await send(context, callers, f"r{number}", route)
                await anyio.sleep(0.02)

    run_in_world(context, scenario)


def names_of(world, pool):
    return [n for n, u in world.listed.items() if u.pool == pool]


async def tell(context, callers, pool, says):
    """Lets all upstreams of a pool speak, and the instance hear each."""
    world = context.world
    route = {"plain": "safe", "engines": "stream", "stage": "staged"}[pool]
    for name in names_of(world, pool):
        speak(world, name, says)
    for number in range(6 * len(names_of(world, pool))):
        await send(context, callers, f"first{number}", route)
        await anyio.sleep(0.02)


@when(
    "all upstreams of {pool} ask for a pause of {pause:g} s and {count:d} "
    "requests follow {after:g} s later on the route {route}"
)
def when_all_paused(context, pool, pause, count, after, route):
    send_after(context, pool, "asks for a pause", count, after, route)
    context.again_at = context.told_at + pause


@when(
    "all upstreams of {pool} say that they leave and {count:d} requests "
    "follow {after:g} s later on the route {route}"
)
def when_all_leave(context, pool, count, after, route):
    send_after(context, pool, "says that it leaves", count, after, route)


def send_after(context, pool, says, count, after, route):
    async def scenario(world):
        context.told_at = anyio.current_time()
        async with anyio.create_task_group() as callers:
            await tell(context, callers, pool, says)
            await anyio.sleep(context.told_at + after - anyio.current_time())
            context.asked_at = anyio.current_time()
            for number in range(count):
                await send(context, callers, f"r{number}", route, "i0")

    run_in_world(context, scenario)


@when(
    "two engines crash on a request, and before its trial e0 asks for a pause"
)
def when_trial(context):
    async def scenario(world):
        world.deadly_targets = {"/stream/deadly"}

        async def send_deadly(request, instance):
            await world.send(
                request, None, ["shared", "own"], "/stream/deadly", instance
            )

        for number in range(2):
            await send_deadly(f"deadly{number}", f"i{number}")
        # All but e0 are busy, so that the trial would go to it.
        await anyio.sleep(world.crash_times[-1] + 4.5 - anyio.current_time())
        speak(world, "e0", "asks for a pause", 20.0)
        async with anyio.create_task_group() as callers:
            for number in range(12):
                await send(context, callers, f"r{number}", "stream", "i2")
                await anyio.sleep(0.1)
            context.trial_at = anyio.current_time()
            world.deadly_targets = set()
            await send_deadly("trial", "i2")

    run_in_world(context, scenario)


@when("a staged request ends while s0 is paused for {pause:g} s")
def when_ends_in_pause(context, pause):
    async def scenario(world):
        async with anyio.create_task_group() as callers:
            await send(context, callers, "r0", "staged", "i0")
            while not world.find_arrivals("r0"):
                await anyio.sleep(0.01)
            speak(world, "s0", "asks for a pause", pause)
            context.again_at = anyio.current_time() + pause
            # The answer to this one tells the instance.
            await send(context, callers, "r1", "staged", "i0")
        await anyio.sleep(2 * pause)

    run_in_world(context, scenario)


@when("a staged request is sent to a stage upstream that never answers it")
def when_silent_call(context):
    async def scenario(world):
        world.upstreams["s0"].stage_delays = [60.0]
        async with anyio.create_task_group() as callers:
            await send(context, callers, "silent", "staged", "i0")
        async with anyio.create_task_group() as callers:
            await send(context, callers, "next", "staged", "i0")

    run_in_world(context, scenario)


@then("the request is refused as not run before its caller leaves")
def then_refused_in_time(context):
    reply = context.world.replies["silent"]
    assert reply.status == 503, (reply.status, reply.body)
    assert json.loads(reply.body)["verdict"] == "not_run", reply.body


@then("the instance still answers a staged request")
def then_still_answers(context):
    reply = context.world.replies["next"]
    assert (reply.status, reply.ended) == (200, True), reply.body


@then("any of {count:d} generated waits ends once its clock shows the time")
def then_waits_end(context, count):
    # Part of a second by which timers fire early, time to read the clock, and
    # time of the wait from its first reading on.
    @settings(
        max_examples=count, deadline=None, derandomize=True, database=None
    )
    @given_values(
        st.floats(0.0, 0.5),
        st.floats(0.0, 0.1),
        st.one_of(st.floats(-10.0, 10.0), st.sampled_from([math.nan, -1e308])),
    )
    def check(early, reading_s, wait_s):
        shown = 0.0

        def clock():
            nonlocal shown
            shown = max(shown + reading_s, (1.0 - early) * anyio.current_time())
            return shown

        async def wait():
            at = clock() + wait_s
            await wait_until(at, clock)
            assert not shown < at, (shown, at)

        run_virtual(wait)

    check()


@then("its results are released by one call after the pause")
def then_released(context):
    told_at = min(notice.at for notice in context.world.notices)
    later = [
        d
        for d in context.world.deliveries
        if d.target == "/stage-free" and d.at > told_at
    ]
    of_first = [d for d in later if b"/r0-" in d.body]
    assert of_first and later[0].at >= context.again_at, (told_at, len(later))
    at_once = [d for d in later if d.at < later[0].at + 0.02]
    assert len(at_once) == 1, len(at_once)


@then("no call reaches it later than allowed from an instance that it told")
def then_not_late(context):
    world = context.world
    late = world.find_late()
    assert not late, (len(late), late[0].target, late[0].at)


@then(
    "at most {count:d} calls reach it in a pause that an instance was told of"
)
def then_not_in_pause(context, count):
    assert any(n.pause_s is not None for n in context.world.notices)
    assert context.world.count_paused() <= count, context.world.count_paused()


@then("it gets requests within {seconds:g} s of the end of its pause")
@then("it gets requests within {seconds:g} s of its next start")
def then_again(context, seconds):
    found = context.world.delivered_between(
        context.name, context.again_at, context.again_at + seconds
    )
    assert [d for d in found if d.target not in ("/report", "/stage-free")]


@then("all requests are served")
def then_served(context):
    failed = [
        (name, reply.status, reply.body[:200])
        for name, reply in context.world.replies.items()
        if reply.status != 200 or not reply.ended
    ]
    assert not failed, (len(failed), failed[:3])


def later_replies(context):
    replies = context.world.replies
    return [r for name, r in replies.items() if name.startswith("r")]


@then("these are refused within {ms:d} ms as not run, each with a Retry-After")
def then_refused(context, ms):
    for reply in later_replies(context):
        assert reply.status == 503, (reply.status, reply.body)
        assert json.loads(reply.body)["verdict"] == "not_run", reply.body
        assert reply.ended_at - context.asked_at <= ms / 1000, reply.ended_at
        assert b"retry-after" in reply.headers


@then(
    "these are refused within {ms:d} ms as not run, each to come back after "
    "the pause"
)
def then_refused_until(context, ms):
    then_refused(context, ms)
    for reply in later_replies(context):
        back_at = reply.ended_at + float(reply.headers[b"retry-after"])
        assert back_at >= context.again_at - 0.01, (back_at, reply.body)


@then("at least {count:d} of them are to come back at different times")
def then_spread(context, count):
    times = {r.headers[b"retry-after"] for r in later_replies(context)}
    assert len(times) >= count, times


@then("none of them reached an upstream of {pool}")
def then_none_reached(context, pool):
    world = context.world
    names = names_of(world, pool)
    reached = [
        d.target
        for d in world.deliveries
        if d.start[0] in names
        and d.sent_at >= context.asked_at
        and d.target not in ("/report", "/stage-free")
    ]
    assert not reached, reached


@then("the trial reached another engine")
def then_trial(context):
    world = context.world
    (arrival,) = world.find_arrivals("trial")
    assert arrival.upstream != "e0"
    assert world.replies["trial"].status == 200
