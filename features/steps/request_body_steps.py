"""Steps with bodies of requests that take their time, in virtual time."""

import anyio
from behave import given, then, when

from features.fixtures.relay_world import RelayWorld
from features.fixtures.virtual import run_virtual

# A part of a body comes this often.
PART_S = 0.5


@given("a route with a time-out of {limit:d} s and an idle limit of {idle:d} s")
def given_route(context, limit, idle):
    context.world = RelayWorld(idle_limit_s=idle)
    for route in context.world.routes:
        route["timeoutMs"] = limit * 1000
    context.world.add_upstream("plain", "plain")
    context.world.publish()


@when("a caller sends its body for {upload:d} s with a deadline of {limit:d} s")
def when_slow(context, upload, limit):
    send(context, parts=int(upload / PART_S), deadline_ms=limit * 1000)


@when("a caller stops within its body")
def when_stops(context):
    send(context, parts=2, ends=False)


def send(context, **options):
    async def run():
        world = context.world
        async with anyio.create_task_group() as tasks:
            await world.start("one", tasks)
            await anyio.sleep(1.0)
            sent_at = anyio.current_time()
            context.reply = await world.request(
                "one", "/unsafe/x", upload_s=PART_S, **options
            )
            context.took_s = anyio.current_time() - sent_at
            tasks.cancel_scope.cancel()

    run_virtual(run)


@then("its request ends with {status:d}")
def then_status(context, status):
    assert context.reply.status == status, (
        context.reply.status,
        context.reply.body[:300],
    )


@then("it took at most {seconds:g} s")
def then_took(context, seconds):
    assert context.took_s <= seconds, context.took_s
