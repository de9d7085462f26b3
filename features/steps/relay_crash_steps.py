"""Steps about prompt parts that crash engines."""

import anyio
from behave import given, then, when

from features.fixtures.crash_world import CrashWorld, make_rng
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
    late = world.deadly_arrivals([DEADLY], fifth_crash_at(world) + seconds)
    assert len(late) <= count, (len(late), len(world.crash_times))


@then(
    "at least half of the sound requests from {seconds:d} s after the fifth "
    "crash are served"
)
def then_served(context, seconds):
    world = context.world
    end = fifth_crash_at(world) + seconds
    share = world.served_share([DEADLY], end, float("inf"))
    assert share >= 0.5, share
