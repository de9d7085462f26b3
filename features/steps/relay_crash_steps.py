"""Steps about prompt parts that crash engines."""

import json

import anyio
from behave import given, then, when

from applespring.core.catalog import UpstreamState
from features.fixtures.crash_world import (
    DOWN_S,
    FIRST_EVENT_S,
    CrashWorld,
    make_rng,
)
from features.fixtures.virtual import run_virtual

DEADLY = "dead"
CRASHES = 5
# Time for the instances to find each other.
START_S = 2.0


def run_in_world(context, scenario):
    """Runs a coroutine function beside the instances of the world."""

    async def run():
        world = context.world
        async with anyio.create_task_group() as tasks:
            world.tasks = tasks
            for number in range(context.instance_count):
                await world.start(f"i{number}", tasks)
            await anyio.sleep(START_S)
            await scenario(world)
            tasks.cancel_scope.cancel()

    run_virtual(run)


@given("{instances:d} relay instances with {engines:d} engines")
def given_world(context, instances, engines):
    context.world = CrashWorld(engines)
    context.instance_count = instances
    context.rng = make_rng(1)


@when(
    "{rate:d} requests a second come for {seconds:d} s on the route {route}, "
    "and from {at:d} s on a share of {share:g} has a part that crashes engines"
)
def when_deadly(context, rate, seconds, route, at, share):
    rng = context.rng

    async def scenario(world):
        world.deadly_parts = {DEADLY}
        started_at = anyio.current_time()

        def make_parts(_):
            parts = [f"shared{rng.randrange(40)}"]
            due = anyio.current_time() >= started_at + at
            if due and rng.random() < share:
                parts.append(DEADLY)
            return parts

        await world.run_traffic(
            rng, seconds=seconds, per_s=rate, make_parts=make_parts, route=route
        )

    run_in_world(context, scenario)


@given("the part dead is quarantined since engines crashed on it")
def given_quarantined(context):
    async def scenario(world):
        world.deadly_parts = {DEADLY}
        for number in range(2):
            name = f"i{number % context.instance_count}"
            await send_deadly(world, f"first{number}", name)
        await anyio.sleep(1.0)
        assert world.count_quarantined() == context.instance_count

    context.preparation = scenario


async def send_deadly(world, request, instance, route="stream"):
    prompt = [f"shared {request}", DEADLY, f"own {request}"]
    await world.send(request, None, prompt, f"/{route}/{request}", instance)


@when("a caller sends a staged request with the part dead")
def when_staged(context):
    async def scenario(world):
        await context.preparation(world)
        context.sent_at = anyio.current_time()
        await send_deadly(world, "staged", "i2", "staged")

    run_in_world(context, scenario)
    context.last = "staged"


@when("3 requests with the part dead are sent, after {one:g} and {two:g} s")
def when_three(context, one, two):
    async def scenario(world):
        world.deadly_parts = {DEADLY}
        async with anyio.create_task_group() as callers:
            for number, pause_s in enumerate([0.0, one, two]):
                await anyio.sleep(pause_s)
                callers.start_soon(
                    send_deadly, world, f"r{number}", f"i{number}"
                )

    run_in_world(context, scenario)
    context.last = "r2"


@when(
    "{rate:d} requests a second come for {seconds:d} s, and one in ten has a "
    "part whose {fate}"
)
def when_reset(context, rate, seconds, fate):
    rng = context.rng

    async def scenario(world):
        world.reset_parts = {"unlucky"}
        if fate == "connections time out":
            # No engine shows any progress.
            world.first_event_s = 3.0
            world.reset_cause = TimeoutError()

        def make_parts(number):
            shared = f"shared{rng.randrange(40)}"
            return [shared, "unlucky"] if number % 10 == 0 else [shared]

        await world.run_traffic(
            rng,
            seconds=seconds,
            per_s=rate,
            make_parts=make_parts,
            route="stream",
        )

    run_in_world(context, scenario)


@when("requests with the part late are at engines that are leaving and end")
def when_leaving(context):
    async def scenario(world):
        world.first_event_s = 1.0
        for number in range(3):
            async with anyio.create_task_group() as callers:
                callers.start_soon(
                    world.send,
                    f"r{number}",
                    None,
                    ["shared", "late", f"own{number}"],
                    f"/stream/{number}",
                    "i0",
                )
                await anyio.sleep(0.1)
                (arrival,) = world.find_arrivals(f"r{number}")
                world.relist(arrival.upstream, UpstreamState.LEAVING)
                # The instance learns of it.
                await anyio.sleep(0.5)
                await world.upstreams[arrival.upstream].crash()
            await anyio.sleep(1.0)

    run_in_world(context, scenario)


@when(
    "engines no longer crash on it and a request with it comes each {gap:g} s "
    "for {seconds:d} s"
)
def when_sound_again(context, gap, seconds):
    async def scenario(world):
        await context.preparation(world)
        world.deadly_parts = set()
        async with anyio.create_task_group() as callers:
            for number in range(int(seconds / gap)):
                instance = f"i{number % context.instance_count}"
                callers.start_soon(
                    send_deadly, world, f"again{number}", instance
                )
                await anyio.sleep(gap)

    run_in_world(context, scenario)


@when(
    "{count:d} requests with it come at all instances {after:d} s after the "
    "last crash"
)
def when_many(context, count, after):
    async def scenario(world):
        await context.preparation(world)
        await sleep_until(world.crash_times[-1] + after)
        async with anyio.create_task_group() as callers:
            for number in range(count):
                instance = f"i{number % context.instance_count}"
                callers.start_soon(
                    send_deadly, world, f"many{number}", instance
                )

    run_in_world(context, scenario)


@when(
    "the engine crashes {count:d} times under requests, each time as soon as "
    "it is back"
)
def when_crashes(context, count):
    async def scenario(world):
        for number in range(count):
            async with anyio.create_task_group() as callers:
                prompt = [f"s{number}", f"own{number}"]
                callers.start_soon(
                    world.send,
                    f"r{number}",
                    None,
                    prompt,
                    f"/stream/{number}",
                    "i0",
                )
                await anyio.sleep(0.1)
                await world.upstreams["e0"].crash()
            await anyio.sleep(DOWN_S + 0.3)
        engines = world.instances["i0"].state.engines
        context.available = engines.is_available("e0", anyio.current_time())

    run_in_world(context, scenario)


@then("it is available 0.3 s after its last return")
def then_available(context):
    assert len(context.world.crash_times) == 5
    assert context.available


@when(
    "a caller that waits {wait:d} s sends the part {after:g} s after the last "
    "crash, {trial} a trial"
)
def when_waits(context, wait, after, trial):
    async def scenario(world):
        await context.preparation(world)
        if trial == "after":
            await sleep_until(world.crash_times[-1] + 5.5)
            await send_deadly(world, "trial", "i1")
            after_s = 1.0
        else:
            after_s = after
        await sleep_until(world.crash_times[-1] + after_s)
        prompt = ["shared", DEADLY, "own"]
        await world.send("late", None, prompt, "/stream/x", "i0", 1000 * wait)

    run_in_world(context, scenario)


async def sleep_until(at):
    await anyio.sleep(max(0.0, at - anyio.current_time()))


@then("its refusal has {header}")
def then_retry_after(context, header):
    reply = context.world.replies["late"]
    assert reply.status == 503, (reply.status, reply.body)
    assert (b"retry-after" in reply.headers) == (header == "a Retry-After")


def fifth_crash_at(world):
    """Returns when the fifth engine crashed, or the last one."""
    assert world.crash_times, "no engine crashed"
    return world.crash_times[:CRASHES][-1]


@then(
    "at most {count:d} requests with the part reach engines later than "
    "{seconds:d} s after the fifth crash"
)
def then_few(context, count, seconds):
    world = context.world
    late = world.arrivals_with(DEADLY, fifth_crash_at(world) + seconds)
    assert len(late) <= count, (len(late), len(world.crash_times))


def served_share(replies):
    served = [r for r in replies if r.status == 200 and r.ended]
    return len(served) / len(replies)


@then(
    "at least half of the sound requests from {seconds:d} s after the fifth "
    "crash are served"
)
def then_served(context, seconds):
    world = context.world
    replies = world.replies_without(DEADLY, fifth_crash_at(world) + seconds)
    assert len(replies) >= 20, len(replies)
    assert served_share(replies) >= 0.5, served_share(replies)


def check_refusal(reply, status, code, verdict):
    problem = json.loads(reply.body)
    assert (reply.status, problem["reason"], problem["verdict"]) == (
        status,
        code,
        verdict,
    ), (reply.status, problem)


@then("it is refused within {ms:d} ms with {status:d}, {code} and {verdict}")
def then_refused_at_once(context, ms, status, code, verdict):
    reply = context.world.replies[context.last]
    check_refusal(reply, status, code, verdict)
    assert reply.ended_at - context.sent_at <= ms / 1000


@then("neither a stage nor an engine got it")
def then_unseen(context):
    assert not context.world.find_arrivals(context.last)
    assert not context.world.calls, context.world.calls


@then("the last one is refused with {status:d}, {code} and {verdict}")
def then_last_refused(context, status, code, verdict):
    check_refusal(context.world.replies[context.last], status, code, verdict)


@then("{count:d} engines crashed")
def then_crashed(context, count):
    assert len(context.world.crash_times) == count, context.world.crash_times


@then("no instance quarantines a part")
def then_none(context):
    assert not context.world.count_quarantined()
    assert context.world.arrivals_with("late") or context.world.reset_parts


@then(
    "all requests with it sent later than {seconds:d} s after the last crash "
    "are served"
)
def then_served_again(context, seconds):
    world = context.world
    replies = world.replies_with(DEADLY, world.crash_times[-1] + seconds)
    assert len(replies) >= 4 and served_share(replies) == 1.0


@then("one request with it was sent as a trial")
def then_one_trial(context):
    world = context.world
    crash_at = world.crash_times[-1]
    arrivals = world.arrivals_with(DEADLY, crash_at)
    trials = [a for a in arrivals if a.at < arrivals[0].at + FIRST_EVENT_S]
    assert len(trials) == 1, len(trials)


@then("one of them reached an engine, which crashed")
def then_one_more(context):
    world = context.world
    assert len(world.crash_times) == 3, world.crash_times
    count = sum(len(world.find_arrivals(f"many{n}")) for n in range(70))
    assert count == 1, count
