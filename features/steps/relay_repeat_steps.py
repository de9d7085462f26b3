"""Steps about requests that crash each upstream that runs them."""

import anyio
from behave import given, then, when

from features.fixtures.crash_world import CrashWorld, make_rng
from features.steps.relay_crash_steps import run_in_world, served_share

DEADLY = "deadly"
CRASHES = 3
# Routes whose callers send a request again after a failure.
REPEATED_ROUTES = ("safe", "resume", "staged-resume")
# Sound requests have these parts too.
PARTS = ["common", "subject0"]


@given(
    "{instances:d} relay instances with {engines:d} engines and {services:d} "
    "services"
)
def given_world(context, instances, engines, services):
    context.world = CrashWorld(engines)
    context.world.add_services(services)
    context.instance_count = instances
    context.rng = make_rng(2)


def stage_headers(route):
    """Returns the headers that state the pieces of a staged request."""
    if not route.startswith("staged"):
        return ()
    return ((b"segments", b"2,1"), (b"segment-key", b"aa"))


async def send_with_retry(world, rng, request, target, route, parts):
    """Sends a request, and again at another instance if it fails."""
    names = rng.sample(sorted(world.instances), 2)
    deadline_ms = 1000 if route in ("safe", "unsafe") else 12000
    for attempt, name in enumerate(names):
        request_id = f"{request}-{attempt}"
        await world.send(
            request_id,
            rng,
            parts,
            target,
            name,
            deadline_ms,
            headers=stage_headers(route),
        )
        served = world.replies[request_id].status == 200
        if served or route not in REPEATED_ROUTES:
            return


@when(
    "{rate:d} sound requests a second come for {seconds:d} s on the route "
    "{route}, and from {at:d} s on each {gap:d} s one that crashes its {place}"
)
def when_deadly(context, rate, seconds, route, at, gap, place):
    rng = context.rng
    target = f"/{route}/{DEADLY}"

    async def scenario(world):
        by_place = world.deadly_targets
        if place == "stage":
            by_place = world.deadly_stage_targets
        by_place.add(target)

        async def send_deadly(callers):
            await anyio.sleep(at)
            for number in range((seconds - at) // gap):
                callers.start_soon(
                    send_with_retry,
                    world,
                    rng,
                    f"{DEADLY}{number}",
                    target,
                    route,
                    [*PARTS, "own"],
                )
                await anyio.sleep(gap)

        async with anyio.create_task_group() as callers:
            callers.start_soon(send_deadly, callers)
            for number in range(seconds * rate):
                callers.start_soon(
                    send_with_retry,
                    world,
                    rng,
                    f"sound{number}",
                    f"/{route}/{number}",
                    route,
                    [PARTS[0], f"subject{rng.randrange(10)}", f"own{number}"],
                )
                await anyio.sleep(1 / rate)

    run_in_world(context, scenario)


@given("their addresses accept connections while they are down")
def given_proxies(context):
    context.world.hides_crashes = True


async def send_sound(world, rng, callers, number, route, target):
    callers.start_soon(
        send_with_retry,
        world,
        rng,
        f"sound{number}",
        target,
        route,
        [PARTS[0], f"subject{rng.randrange(10)}", f"own{number}"],
    )


@when(
    "{rate:d} sound requests a second come for {seconds:d} s on the route "
    "{route}, and one in three comes again and is reset"
)
def when_reset(context, rate, seconds, route):
    async def scenario(world):
        world.reset_targets = {f"/{route}/again"}
        async with anyio.create_task_group() as callers:
            for number in range(rate * seconds):
                name = "again" if number % 3 == 0 else number
                target = f"/{route}/{name}"
                await send_sound(
                    world, context.rng, callers, number, route, target
                )
                await anyio.sleep(1 / rate)

    run_in_world(context, scenario)


@when(
    "{rate:d} requests a second come for {seconds:d} s on the route {route}, "
    "most of them the same one, and upstreams crash every {gap:d} s"
)
def when_ordinary(context, rate, seconds, route, gap):
    rng = context.rng

    async def scenario(world):
        pool = "engines" if route == "resume" else "plain"
        names = [n for n, u in world.listed.items() if u.pool == pool]
        async with anyio.create_task_group() as callers:
            for number in range(rate * seconds):
                is_hot = rng.random() < 0.7
                target = f"/{route}/{'hot' if is_hot else number}"
                await send_sound(world, rng, callers, number, route, target)
                await anyio.sleep(1 / rate)
                if number % (gap * rate) == gap * rate - 1:
                    await world.upstreams[rng.choice(names)].crash()

    run_in_world(context, scenario)


@then("no request is refused because of a crash")
def then_none_refused(context):
    refused = [
        reply.body
        for reply in context.world.replies.values()
        if b"quarantined" in reply.body or b"crashed on" in reply.body
    ]
    assert not refused, refused[:3]
    assert not context.world.count_quarantined()


@then("no sound request is refused because of its prompt")
def then_prompts_served(context):
    refused = [
        reply.body
        for request, reply in context.world.replies.items()
        if request.startswith("sound") and b"prompt part" in reply.body
    ]
    assert not refused, (len(refused), refused[:1])


def deadly_arrivals(world):
    """Returns when the request reached upstreams of the kind that it crashes.

    A stage call with several of its pieces counts once.
    """
    if world.deadly_stage_targets:
        calls = {c for c in world.stage_arrivals if c[2].startswith(DEADLY)}
        return sorted(at for at, *_ in calls)
    return [a.at for a in world.arrivals if a.request.startswith(DEADLY)]


def third_crash_at(world):
    assert len(world.crash_times) >= 2, world.crash_times
    return world.crash_times[:CRASHES][-1]


@then(
    "at most {count:d} arrivals of that request follow later than {seconds:d} "
    "s after its third crash"
)
def then_few(context, count, seconds):
    world = context.world
    after = third_crash_at(world) + seconds
    late = [at for at in deadly_arrivals(world) if at > after]
    assert len(late) <= count, (len(late), len(world.crash_times))


@then(
    "at least half of the sound requests from {seconds:d} s after its third "
    "crash are served"
)
def then_served(context, seconds):
    world = context.world
    after = third_crash_at(world) + seconds
    replies = [
        world.replies[request]
        for request, (at, _) in world.sent.items()
        if at >= after and request.startswith("sound")
    ]
    assert len(replies) >= 20, len(replies)
    assert served_share(replies) >= 0.5, served_share(replies)
