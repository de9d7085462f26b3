"""Steps about a registry that comes back from a copy."""

import anyio
from behave import given, then, when

from features.fixtures.crash_world import CrashingService, make_rng
from features.fixtures.era_world import EraWorld
from features.steps.relay_crash_steps import run_in_world
from features.steps.relay_notice_steps import send

RATE_PER_S = 60


@given("{instances:d} instances that read a store")
def given_world(context, instances):
    context.world = EraWorld(1)
    context.world.add_services(3)
    context.instance_count = instances
    context.rng = make_rng(5)


def play(context, scenario, seconds, rate=RATE_PER_S):
    """Sends plain requests beside a scenario."""

    async def run(world):
        async with anyio.create_task_group() as callers:
            callers.start_soon(scenario, world)
            for number in range(int(rate * seconds)):
                await send(context, callers, f"r{number}", "safe")
                await anyio.sleep(1 / rate)

    world = context.world
    world_start = world.start

    async def start(name, tasks):
        if not world.instances:
            world.write_all()
        return await world_start(name, tasks)

    world.start = start
    run_in_world(context, run)


def add_service(world, name):
    """Starts a plain upstream and lists it."""
    world.add_upstream(name, "plain")
    world.upstreams[name] = CrashingService(name, world)
    world.write_entry(name)


def count_users(world, name):
    """Returns how many instances may send requests to a plain upstream."""
    return sum(
        name in [u.name for u in instance.state.usable_upstreams("plain")]
        for instance in world.instances.values()
    )


async def advance(world, revisions):
    """Writes an entry again and again, so that revisions rise."""
    for _ in range(revisions):
        world.write_entry("e0")
        await anyio.sleep(0.01)


@when("the store comes back from a copy, and then p0 leaves and p4 joins")
def when_changes_follow(context):
    async def scenario(world):
        copied = world.store.copy()
        await advance(world, 60)
        await anyio.sleep(1.0)
        # The workers write their entries again.
        for name in world.listed:
            world.write_entry(name)
        await anyio.sleep(2.0)
        world.store.restore(copied)
        await anyio.sleep(3.0)
        world.write_entry("p0", "draining")
        add_service(world, "p4")
        await anyio.sleep(2.0)
        context.uses = count_users(world, "p4")

    play(context, scenario, 12)


@when("p0 leaves, p3 joins and a document is published, and the store {event}")
def when_copy(context, event):
    async def scenario(world):
        await anyio.sleep(1.0)
        copied = world.store.copy()
        world.write_entry("p0", "draining")
        add_service(world, "p3")
        world.publish()
        world.write_document()
        await anyio.sleep(3.0)
        if event.endswith("cut off"):
            world.registries["i0"].unreachable = True
        world.store.restore(copied)
        if event.endswith("twice"):
            await anyio.sleep(0.3)
            world.store.restore(copied)
        # The workers write their entries again within about 2 s.
        context.uses = context.instance_count
        for _ in range(15):
            await anyio.sleep(0.1)
            context.uses = min(context.uses, count_users(world, "p3"))
        world.write_entry("p0", "draining")
        world.write_entry("p3")
        world.write_document()
        await anyio.sleep(2.0)
        world.registries["i0"].unreachable = False

    play(context, scenario, 12)


@when("p3 joins, and the store comes back from a copy without it for good")
def when_not_back(context):
    async def scenario(world):
        copied = world.store.copy()
        add_service(world, "p3")
        await anyio.sleep(3.0)
        world.store.restore(copied)
        await anyio.sleep(4.0)
        context.uses = count_users(world, "p3")

    play(context, scenario, 10)


@when("the store comes back from a copy, without any requests")
def when_idle(context):
    async def scenario(world):
        copied = world.store.copy()
        await advance(world, 60)
        await anyio.sleep(2.0)
        world.store.reads.clear()
        context.again_at = anyio.current_time()
        world.store.restore(copied)

    play(context, scenario, 8, rate=1)


@then("no call reaches {name} later than {bound:g} s after it left")
def then_none_late(context, name, bound):
    late = context.world.late_to(name, bound)
    assert not late, (len(late), late[0].at, context.world.left_at)


@then("all instances use {name}")
@then("all instances use {name} meanwhile")
def then_used(context, name):
    assert context.uses == context.instance_count, context.uses


@then("no instance uses {name} any more")
def then_unused(context, name):
    assert context.uses == 0, context.uses


@then("all instances have the newest document")
def then_documents(context):
    versions = {
        i.state.document_version for i in context.world.instances.values()
    }
    assert versions == {context.world.version - 1}, versions


@then(
    "at most {count:d} instances read it within {ms:d} ms, and all within "
    "{seconds:g} s"
)
def then_spread(context, count, ms, seconds):
    times = [
        at
        for at in context.world.store.reads
        if at <= context.again_at + seconds
    ]
    assert len(times) >= context.instance_count, len(times)
    most = max(
        sum(at <= other < at + ms / 1000 for other in times) for at in times
    )
    assert most <= count, most
