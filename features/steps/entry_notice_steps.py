"""Steps about upstreams of the JSON interface that ask for a pause."""

import anyio
import httpx
from behave import given, then, when

from applespring.core.errors import MessageError
from applespring.core.fleet import Upstream
from applespring.core.notices import UpstreamNotices
from applespring.core.order import EngineState, Order
from applespring.entry.external.engines import ControlClient, OrderRefusedError
from features.fixtures.entry_notices import PausedFleet


@given("entry instances whose upstreams may ask for a pause")
def given_fleet(context):
    context.paused_fleet = PausedFleet()


@when(
    "{rate:d} requests a second come for {seconds:d} s on the pipeline "
    "{pipeline}, and {name} asks at {at:d} s for a pause of {pause:d} s"
)
def when_pauses(context, rate, seconds, pipeline, name, at, pause):
    played = context.paused_fleet

    async def scenario(fleet, callers):
        for number in range(rate * seconds):
            if number == rate * at:
                context.again_at = anyio.current_time() + pause
                played.paused_until[name] = context.again_at
            callers.start_soon(played.submit, fleet, number, pipeline)
            await anyio.sleep(1 / rate)

    played.run(scenario)


@when(
    "all upstreams of the pool {pool} ask for a pause of {pause:d} s and "
    "{count:d} requests follow {after:d} s later on the pipeline {pipeline}"
)
def when_all(context, pool, pause, count, after, pipeline):
    played = context.paused_fleet

    async def scenario(fleet, callers):
        context.again_at = anyio.current_time() + pause
        for upstream in fleet.fleet.pools[pool].upstreams:
            played.paused_until[upstream.name] = context.again_at
        for number in range(10 * len(fleet.entries)):
            callers.start_soon(played.submit, fleet, number, pipeline)
            await anyio.sleep(after / (10 * len(fleet.entries)))
        context.asked_at = anyio.current_time()
        for number in range(count):
            callers.start_soon(played.submit, fleet, number, pipeline)

    played.run(scenario)


@then(
    "at most {count:d} calls reach an upstream in a pause that an instance was "
    "told of"
)
def then_few(context, count):
    played = context.paused_fleet
    assert played.pauses
    assert played.count_paused() <= count, played.count_paused()


@then("{name} gets calls again within {seconds:g} s of the end of its pause")
def then_again(context, name, seconds):
    times = [
        at
        for _, upstream, at in context.paused_fleet.arrivals
        if upstream == name and at >= context.again_at
    ]
    assert times and times[0] <= context.again_at + seconds, times[:1]


@then("at least {count:d} in 100 requests are served")
def then_served(context, count):
    statuses = [reply.status for _, reply in context.paused_fleet.replies]
    assert 100 * statuses.count(200) >= count * len(statuses), (
        len(statuses),
        statuses.count(200),
    )


@then("these are refused within {ms:d} ms, each to come back after the pause")
def then_refused(context, ms):
    later = [
        (at, reply)
        for at, reply in context.paused_fleet.replies
        if at >= context.asked_at
    ]
    assert later
    for at, reply in later:
        assert reply.status == 503, (reply.status, reply.document)
        assert reply.document["verdict"] == "not_run", reply.document
        assert reply.elapsed_s <= ms / 1000, reply.elapsed_s
        back_at = at + reply.elapsed_s + float(reply.headers["retry-after"])
        assert back_at >= context.again_at - 0.01, back_at


@given("an engine that answers control calls with a pause of {pause:d} s")
def given_engine(context, pause):
    context.calls = []

    def answer(request):
        context.calls.append(request.url.path)
        return httpx.Response(503, headers={"Retry-After": str(pause)})

    context.answer = answer


@when("its cache events are read twice and an order is sent")
def when_controlled(context):
    notices = UpstreamNotices()
    engine = Upstream("e", "127.0.0.1:1", "north", 4)

    async def scenario():
        async with httpx.AsyncClient(
            transport=httpx.MockTransport(context.answer)
        ) as http:
            control = ControlClient(
                http,
                lambda name: notices.find((name, 0), 1.0) is not None,
                lambda name, report: notices.record((name, 0), report, 1.0),
            )
            for _ in range(2):
                try:
                    await control.read_cache_events(engine, 0)
                except MessageError as exc:
                    context.detail = str(exc)
            order = Order(engine, 1, EngineState("m", "", "1", ""), True)
            try:
                await control.send_order(order, lambda: None)
            except OrderRefusedError:
                context.detail = "withheld"

    anyio.run(scenario)


@then("one call has reached it")
def then_one(context):
    assert context.calls == ["/v1/cache_events"], context.calls
