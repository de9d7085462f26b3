"""Steps about an instance that shuts down while requests wait."""

import json
import math

import anyio
from behave import given, then, when

from applespring.relay.drain import RelayDrain
from features.fixtures.relay_world import SIGNED, RelayWorld, events
from features.fixtures.virtual import run_virtual
from features.steps.relay_staging_steps import (
    find_scheduler,
    run_instances,
)
from features.steps.relay_staging_steps import send as send_staged

KILLED_AFTER_S = 8.0
LIMIT_S = 7.3
# Requests may take this long, so that only the shutdown ends them.
REQUEST_LIMIT_S = 15.0
TARGET_S = 3.0


def never_answer(world):
    for upstream in world.upstreams.values():
        upstream.default = "no_answer"


def stop_after_events(world):
    world.upstreams["e0"].default = (200, SIGNED, [*events(1, 2), 1e6])


def hold_stage_calls(world):
    world.upstreams["s0"].stage_delays = [math.inf] * 100


# What makes requests wait, as a function of the world.
PLACES = {
    "an upstream that never answers": never_answer,
    "an engine that never answers": never_answer,
    "a stage upstream that never answers": hold_stage_calls,
    "an engine that stops after 2 events": stop_after_events,
    "callers that keep their connections": lambda _: None,
}


@given("a relay that is to shut down with {count:d} engines, and {where}")
def given_relay(context, count, where):
    world = context.world = RelayWorld()
    for route in world.routes:
        route.update(
            timeoutMs=1000 * REQUEST_LIMIT_S, targetLatencyMs=1000 * TARGET_S
        )
    world.publish()
    for number in range(count):
        world.add_upstream(f"e{number}", "engines")
    world.add_upstream("p0", "plain")
    world.add_upstream("s0", "stage")
    context.upload_s = 0.0
    if where.startswith("a caller that sends its body for"):
        context.upload_s = float(where.split()[-2])
    elif where.startswith("an upstream that answers after"):
        world.upstreams["p0"].head_delay_s = float(where.split()[-2])
    else:
        PLACES[where](world)


def shut_down(context, route, sent_after_s, **options):
    """Sends a request some time after SIGTERM, and waits for the end."""

    async def run():
        world = context.world
        async with anyio.create_task_group() as tasks:
            one = await world.start("one", tasks)
            # Schedules the stages of requests at an instance that leaves.
            await world.start("two", tasks)
            await anyio.sleep(0.5)
            context.term_at = anyio.current_time()
            stopped = anyio.Event()

            async def send(after_s):
                await anyio.sleep(after_s)
                context.reply = await world.request(
                    "one",
                    f"/{route}/x",
                    headers=[(b"segments", b"1,1"), (b"segment-key", b"k")],
                    deadline_ms=int(1000 * REQUEST_LIMIT_S),
                    upload_s=context.upload_s,
                    **options,
                )

            def stop_server():
                if sent_after_s is None:
                    tasks.start_soon(send, 0.0)
                stopped.set()

            if sent_after_s is not None:
                tasks.start_soon(send, sent_after_s)
            context.reply = None
            drain = RelayDrain(
                one.state, one.peers, one.scheduler, one.application
            )
            await drain.run(stop_server, stopped)
            # The process ends here, and with it what is still in progress.
            context.ended_at = anyio.current_time()
            tasks.cancel_scope.cancel()

    run_virtual(run)


@when("a caller sends a {route:w} request {after:g} s after SIGTERM")
def when_sends(context, route, after):
    shut_down(context, route, after)


@when(
    "a caller that takes {seconds:g} s to read each part sends a {route:w} "
    "request {after:g} s after SIGTERM"
)
def when_reads_slowly(context, seconds, route, after):
    shut_down(context, route, after, read_s=seconds)


@when(
    "a caller that takes {seconds:g} s to read each part sends a request as "
    "the server stops"
)
def when_crosses(context, seconds):
    shut_down(context, "unsafe", None, read_s=seconds)


@when(
    "the scheduler shuts down just after another instance got a staged request"
)
def when_scheduler_ends(context):
    context.waiting = {}

    async def actions(tasks):
        name = find_scheduler(context)
        one = context.world.instances[name]
        other = next(n for n in context.names if n != name)
        send_staged(context, tasks, other, "r0", "1,1")
        await anyio.sleep(0.1)
        term_at = anyio.current_time()

        async def observe():
            while True:
                await anyio.sleep(0.1)
                after_s = anyio.current_time() - term_at
                context.waiting[after_s] = one.scheduler.busy

        tasks.start_soon(observe)
        stopped = anyio.Event()
        drain = RelayDrain(one.state, one.peers, one.scheduler, one.application)
        await drain.run(stopped.set, stopped)
        context.world.kill(name)

    run_instances(context, actions)


@then("no piece waits at the scheduler {seconds:g} s after SIGTERM")
def then_none_waits(context, seconds):
    busy = [after_s for after_s, b in context.waiting.items() if b]
    # The call was in progress, so its piece was not returned at once.
    assert busy and max(busy) < seconds, busy


@then("it gets {result} between {first:g} s and {last:g} s after SIGTERM")
def then_gets_between(context, result, first, last):
    reply = context.reply
    assert reply is not None, "the process ended without an answer"
    took_s = reply.ended_at - context.term_at
    assert first <= took_s <= last, took_s
    if result == "the events 1 to 2 and no end":
        assert reply.body == b"".join(events(1, 2)), reply.body
        assert reply.cut and not reply.ended
        return
    check_refusal(reply, result)


def check_refusal(reply, result):
    """Checks a reply against its status and verdict."""
    status, verdict = result.split()
    assert reply.status == int(status), (reply.status, reply.body)
    assert reply.ended, reply.body
    assert json.loads(reply.body)["verdict"] == verdict, reply.body


@then("it gets {result} before the instance has ended")
def then_gets_before(context, result):
    assert context.reply is not None, "the process ended without an answer"
    check_refusal(context.reply, result)


@then("it gets its whole answer")
def then_whole(context):
    assert context.reply is not None, "the process ended without an answer"
    assert context.reply.status == 200, context.reply.body
    assert context.reply.ended and context.reply.body == b"answer of p0"


@then("the instance has ended before it is killed after {seconds:g} s")
def then_ended(context, seconds):
    took_s = context.ended_at - context.term_at
    assert took_s < seconds, took_s
