"""Steps about stages, documents and upstreams across instances."""

import collections
import itertools
import json
import math

import anyio
import httpx
from behave import given, then, when

from applespring.peer import message
from applespring.peer.codec import decode
from features.fixtures.relay import make_upstream
from features.fixtures.relay_world import (
    CALL_S,
    SIGNED,
    STEP_S,
    RelayWorld,
    events,
)
from features.fixtures.virtual import run_virtual

RUN_LIMIT_S = 60
# Time without an event after which the caller of a staged request leaves: four
# times the latency target of its route.
EVENT_WAIT_S = 5.2
# Time until a scheduler without an acknowledgement says what became of pieces.
SAID_AFTER_S = 0.25
CONNECTION_CUT = httpx.RemoteProtocolError("cut")


@given("relay instances {names} with {count:d} stage upstreams and an engine")
def given_world(context, names, count):
    context.names = names.split(", ")
    context.world = RelayWorld()
    for n in range(count):
        context.world.add_upstream(f"s{n}", "stage")
    engine = context.world.add_upstream("engine", "engines")
    engine.default = (200, SIGNED, events(1, 2))
    context.replies = {}


@given("an engine that answers after {seconds:g} s")
def given_slow_engine(context, seconds):
    context.world.upstreams["engine"].head_delay_s = seconds


@given("a stage upstream that answers its second call like its first")
def given_duplicate_answer(context):
    context.world.upstreams["s0"].duplicate_answers = 1


@given("an engine that lacks a result {count:d} times")
def given_lacking_engine(context, count):
    lacking = (409, {"Not-Executed": "1"}, [b""])
    context.world.upstreams["engine"].script = [lacking] * count


@given("an engine that sends an event each {seconds:g} s")
def given_slow_stream(context, seconds):
    first, second = events(1, 2)
    engine = context.world.upstreams["engine"]
    engine.default = (200, SIGNED, [first, seconds, second])


@given("an engine whose stream breaks off after its first event")
def given_broken_stream(context):
    engine = context.world.upstreams["engine"]
    engine.script = [(200, SIGNED, [*events(1, 1), CONNECTION_CUT])]
    engine.default = (200, SIGNED, events(2, 2))


@given(
    "stage upstreams that answer {count:d} calls after {seconds:g} s, then none"
)
def given_silent_stages(context, count, seconds):
    context.slow_answer_s = seconds
    for name, upstream in context.world.upstreams.items():
        if name != "engine":
            upstream.stage_delays = [seconds] * (count // 2)
            upstream.stage_delays += [math.inf] * 100


@given("no retry budget")
def given_no_budget(context):
    context.world.settings = {"retry_ratio": 0.0, "retry_extra": 0.0}


@given("a stage upstream that is silent for {seconds:g} s in its first call")
def given_silent_call(context, seconds):
    context.world.upstreams["s0"].stage_delays = [CALL_S + seconds]


def run_instances(context, actions, seconds=6.0):
    """Starts the instances and runs actions, in virtual time.

    Args:
        context: Context of the scenario.
        actions: Coroutine function that is called 1 s after the start, with
            the task group of the instances.
        seconds: Time from the end of the actions to the end of the run.
    """

    async def run():
        context.started_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for name in context.names:
                await context.world.start(name, tasks)
            await anyio.sleep(1.0)
            with anyio.fail_after(RUN_LIMIT_S):
                await actions(tasks)
                await anyio.sleep(seconds)
            tasks.cancel_scope.cancel()

    run_virtual(run)


def send(
    context, tasks, instance, request, counts, *, path="/staged/x", **options
):
    """Sends a staged request in its own task; the reply is in the context."""

    async def send_request():
        context.replies[request] = await context.world.request(
            instance,
            path,
            request=request,
            headers=[
                (b"segments", counts.encode()),
                (b"segment-key", b"k"),
            ],
            **options,
        )

    tasks.start_soon(send_request)


def find_scheduler(context, name="one"):
    ranked = context.world.instances[name].state.peer_table.rank_schedulers(
        "stage", anyio.current_time(), self_link_mbps=1000.0
    )
    return ranked[0]


@when("a caller sends a staged request with {counts} pieces to each instance")
def when_each(context, counts):
    async def actions(tasks):
        for partition in getattr(context, "partitions", ()):
            context.world.network.cut(*partition)
            await anyio.sleep(1.5)
        for n, name in enumerate(context.names):
            send(context, tasks, name, f"r{n}", counts)

    run_instances(context, actions)


@when("a caller sends a staged request of a route that may be resumed")
def when_resumable(context):
    async def actions(tasks):
        send(context, tasks, "one", "r0", "1,2", path="/staged-resume/x")

    run_instances(context, actions)


@when("instance {name} is cut off from the others for {seconds:d} s")
def when_cut(context, name, seconds):
    del seconds
    others = [n for n in context.names if n != name]
    context.partitions = [([name], others)]


@when(
    "the scheduler {fate} 0.1 s after a caller of another instance sent a "
    "staged request"
)
def when_lost(context, fate):
    lose_scheduler(context, fate, "2,2")


@when(
    "the scheduler starts to shut down 0.1 s after a caller of another "
    "instance sent a staged request with {counts} pieces"
)
def when_shuts_down_with(context, counts):
    lose_scheduler(context, "starts to shut down", counts)


def lose_scheduler(context, fate, counts):
    async def actions(tasks):
        scheduler = find_scheduler(context)
        other = next(n for n in context.names if n != scheduler)
        send(context, tasks, other, "r0", counts)
        await anyio.sleep(0.1)
        components = context.world.instances[scheduler]
        if fate == "is killed":
            context.world.kill(scheduler)
        elif fate == "is cut off":
            others = [n for n in context.names if n != scheduler]
            context.world.network.cut([scheduler], others)
        else:
            components.state.leaving = True
            components.peers.leaving = True
            await components.peers.announce()
            context.waiting_before = components.scheduler.queue_lengths()[
                "stage"
            ]
            await components.scheduler.return_queued_pieces()
            context.waiting_after = components.scheduler.queue_lengths()[
                "stage"
            ]

    run_instances(context, actions)


@when(
    "a caller sends a staged request with {counts} pieces and disconnects "
    "after {seconds:g} s"
)
def when_disconnects(context, counts, seconds):
    async def actions(tasks):
        send(context, tasks, "one", "r0", counts, disconnect_after_s=seconds)
        await anyio.sleep(seconds + 0.1)
        context.calls_at_disconnect = len(context.world.calls)

    run_instances(context, actions)


@when(
    "{count:d} callers send staged requests with {counts} pieces over "
    "{seconds:g} s"
)
def when_burst(context, count, counts, seconds):
    async def actions(tasks):
        for n in range(count):
            name = context.names[n % len(context.names)]
            context.sent_at = getattr(context, "sent_at", {})
            context.sent_at[f"r{n}"] = anyio.current_time()
            send(context, tasks, name, f"r{n}", counts)
            await anyio.sleep(seconds / count)

    run_instances(context, actions, 15.0)


@when(
    "the registry is unreachable for instance {name} and version "
    "{version:d} is published"
)
def when_published_unreachable(context, name, version):
    async def actions(tasks):
        del tasks
        context.world.registries[name].unreachable = True
        await anyio.sleep(0.5)
        context.world.version = version
        context.world.publish()

    run_instances(context, actions, 2.0)


@when("version {newer:d} is published, and then version {older:d}")
def when_two(context, newer, older):
    async def actions(tasks):
        del tasks
        for version in (newer, older):
            context.world.version = version
            context.world.publish()
            await anyio.sleep(1.0)

    run_instances(context, actions, 1.0)


def start_without_registry(context, name, actions):
    async def start(tasks):
        for registry in context.world.registries.values():
            registry.unreachable = True
        await context.world.start(name, tasks, registry_unreachable=True)
        await anyio.sleep(2.0)
        actions(tasks)

    run_instances(context, start)


@when("the registry is unreachable and instance {name} starts")
def when_starts(context, name):
    start_without_registry(context, name, lambda _: None)


@when(
    "the registry is unreachable, instance {name} starts, and a caller sends "
    "it a request"
)
def when_starts_called(context, name):
    start_without_registry(
        context,
        name,
        lambda tasks: send(context, tasks, name, "r1", "2,1"),
    )


def list_late(context, name, late, fault):
    """Lists an upstream while an instance's registry has a fault."""

    async def actions(tasks):
        del tasks
        setattr(context.world.registries[name], fault, True)
        await anyio.sleep(0.5)
        context.world.add_upstream(late, "stage")

    run_instances(context, actions, 2.0)


@when(
    "the registry is unreachable for instance {name} and upstream {late} is "
    "listed"
)
def when_listed_unreachable(context, name, late):
    list_late(context, name, late, "unreachable")


@when(
    "the watch of instance {name} stops answering and upstream {late} is listed"
)
def when_listed_watch_hangs(context, name, late):
    list_late(context, name, late, "watch_hangs")


@when(
    "the upstreams of a peer arrive at instance {name} after the registry, "
    "which lacks {gone} by then"
)
def when_arrive_late(context, name, gone):
    world = context.world
    context.late_replies = 0

    async def actions(tasks):
        del tasks
        registry = world.registries[name]
        transport = world.network.transports["two"]
        handle = transport._on_request

        async def handle_late(data):
            reply = await handle(data)
            if isinstance(decode(data), message.FetchUpstreams):
                del world.listed[gone]
                world.revision += 1
                registry.unreachable = False
                # Less than the time within which a peer has to reply.
                await anyio.sleep(0.35)
                context.late_replies += not world.instances[
                    name
                ].watcher.registry_unreachable
                transport._on_request = handle
            return reply

        transport._on_request = handle_late
        registry.unreachable = True
        world.add_upstream("s2", "stage")

    run_instances(context, actions)
    assert context.late_replies == 1, context.late_replies


@then("instance {name} lists {held} and not {gone}")
def then_lists(context, name, held, gone):
    listed = context.world.instances[name].state.catalog.all()
    assert held in listed and gone not in listed, list(listed)


@given("{count:d} relay instances with 1 stage upstreams and an engine")
def given_large(context, count):
    given_world(context, ", ".join(f"r{n}" for n in range(count)), 1)


@when("all of them start at the same moment")
def when_all_start(context):
    async def run():
        async with anyio.create_task_group() as tasks:
            for name in context.names:
                await context.world.start(name, tasks)
            await anyio.sleep(1.0)
            now = anyio.current_time()
            context.schedulers = {
                components.state.peer_table.rank_schedulers(
                    "stage", now, self_link_mbps=1000.0
                )[0]
                for components in context.world.instances.values()
            }
            tasks.cancel_scope.cancel()

    run_virtual(run)


@when("all of them start at once and each gets a staged request at once")
def when_start_with_requests(context):
    async def run():
        async with anyio.create_task_group() as tasks:
            for name in context.names:
                seeds = context.names[:3]
                await context.world.start(name, tasks, seeds=seeds)
            # The registry is read within a few ms.
            await anyio.sleep(0.02)
            for n, name in enumerate(context.names):
                send(context, tasks, name, f"r{n}", "1,2")
            await anyio.sleep(6.0)
            tasks.cancel_scope.cancel()

    run_virtual(run)


@when(
    "a caller sends a staged request while the stage upstream is full for "
    "{seconds:g} s"
)
def when_full(context, seconds):
    async def actions(tasks):
        context.full_until = anyio.current_time() + seconds
        upstream = context.world.upstreams["s0"]
        upstream.free_mb = 0
        send(context, tasks, "one", "r0", "1,2")
        await anyio.sleep(seconds)
        context.calls_while_full = len(context.world.calls)
        upstream.free_mb = 28

    run_instances(context, actions)


@when(
    "an instance is killed while its stage call lasts, and starts again with "
    "another request"
)
def when_restarted_with_call(context):
    async def actions(tasks):
        world = context.world
        scheduler = find_scheduler(context)
        name = next(n for n in context.names if n != scheduler)
        world.upstreams["s0"].stage_delays = [1.5]
        send(context, tasks, name, "r1", "1,1")
        await anyio.sleep(0.3)
        world.kill(name)
        await world.start(name, tasks)
        # Before it has read the registry, an instance refuses requests.
        while not world.instances[name].state.ready:
            await anyio.sleep(STEP_S)
        send(context, tasks, name, "r2", "1,1")

    run_instances(context, actions)


@when(
    "the stage upstream numbers its handles and starts again between two "
    "requests"
)
def when_numbers_again(context):
    async def actions(tasks):
        world = context.world
        upstream = world.upstreams["s0"]
        for request, counts in (("r1", "30,30"), ("r2", "1,1")):
            upstream.handle_numbers = itertools.count(1)
            send(context, tasks, "one", request, counts)
            await anyio.sleep(6.0)
            world.revision += 1
            held = world.listed["s0"]
            world.listed["s0"] = make_upstream(
                "s0",
                held.pool,
                held.failure_domain,
                born_ms=held.born_ms + 1,
                address=held.address,
                revision=world.revision,
            )
            await anyio.sleep(1.0)

    run_instances(context, actions)


@then("neither stages nor the engine read results of the earlier request")
def then_own_inputs(context):
    (arrival,) = engine_arrivals(context, "r2")
    handles = arrival.headers["Inputs"].split(",")
    for _, items in context.world.calls:
        for item in items:
            if item["id"] == "r2":
                handles += item.get("inputs", ())
    assert all("/r2-" in handle for handle in handles), handles


@then("no stage call was made in the first {seconds:g} s")
def then_no_call_while_full(context, seconds):
    del seconds
    assert context.calls_while_full == 0, context.world.calls


@then("all of them choose the same scheduler within 1 s")
def then_same_scheduler(context):
    assert len(context.schedulers) == 1, context.schedulers


@then("instance {name} has upstream {late} within 2 s")
def then_has_upstream(context, name, late):
    assert context.world.instances[name].state.catalog.is_ready(late)


@then("instance {name} has version {version:d} within 2 s")
def then_version(context, name, version):
    assert context.world.instances[name].state.document.version == version


@then("instance {name} has the document within 2 s")
def then_document(context, name):
    assert context.world.instances[name].state.document is not None


@then("every instance has version {version:d}")
def then_every(context, version):
    found = [p.state.document.version for p in context.world.instances.values()]
    assert set(found) == {version}, found


@then("every caller gets an answer")
def then_answers(context):
    assert context.replies
    for reply in context.replies.values():
        assert reply.status == 200, (reply.status, reply.body)
        assert reply.body == b"".join(events(1, 2)) and reply.ended


@then("the engine got the results of the last stage of each request")
def then_inputs(context):
    for request in context.replies:
        (run,) = context.world.find_arrivals(request)
        handles = run.headers["Inputs"].split(",")
        names = [h.partition("/")[2] for h in handles]
        assert names == [f"{request}-1-0", f"{request}-1-1"], names


@then("only one instance schedules the pool")
def then_one_scheduler(context):
    schedulers = [
        name
        for name, components in context.world.instances.items()
        if "stage" in components.scheduler.queue_lengths()
    ]
    assert len(schedulers) == 1, schedulers


@then("pieces of different requests shared a call")
def then_shared(context):
    shared = [{i["id"] for i in items} for _, items in context.world.calls]
    assert max(map(len, shared)) > 1, shared


@then("every result was released")
def then_released(context):
    made = {
        f"{i['id']}-{i['stage']}-{i['segment']}"
        for _, items in context.world.calls
        for i in items
    }
    released = {
        handle.partition("/")[2]
        for a in context.world.arrivals
        if a.target == "/stage-free"
        for handle in json.loads(a.body)["handles"]
    }
    assert made and made == released, made ^ released


@then(
    "the last release came within {seconds:g} s of the last request to the "
    "engine"
)
def then_released_early(context, seconds):
    last_request_at = max(
        arrival.at
        for request in context.replies
        for arrival in engine_arrivals(context, request)
    )
    last_release_at = max(
        a.at for a in context.world.arrivals if a.target == "/stage-free"
    )
    assert last_release_at <= last_request_at + seconds, (
        last_release_at,
        last_request_at,
    )


def engine_arrivals(context, request):
    return [
        a
        for a in context.world.find_arrivals(request)
        if a.upstream == "engine"
    ]


@then("each piece was made {count:d} times")
def then_made(context, count):
    made = collections.Counter(
        (i["id"], i["stage"], i["segment"])
        for _, items in context.world.calls
        for i in items
    )
    assert set(made.values()) == {count}, made


@then("every caller is refused with {status:d}")
def then_all_refused(context, status):
    assert {r.status for r in context.replies.values()} == {status}


@then("no call is made after it disconnected")
def then_no_calls(context):
    assert len(context.world.calls) == context.calls_at_disconnect


@then("no piece waits there any more")
def then_none_waits(context):
    assert context.waiting_before > 0
    assert context.waiting_after == 0


@then("no engine is called")
def then_no_engine(context):
    assert not context.world.find_arrivals("r0")


@then(
    "some are refused within {seconds:g} s as not run, with a time to retry "
    "after"
)
def then_refused(context, seconds):
    refused = {r: x for r, x in context.replies.items() if x.status == 503}
    assert refused
    quick = [
        reply
        for request, reply in refused.items()
        if reply.ended_at - context.sent_at[request] <= seconds
    ]
    assert len(quick) == len(refused), (len(quick), len(refused))
    for reply in quick:
        assert json.loads(reply.body)["verdict"] == "not_run"
        assert float(reply.headers[b"retry-after"]) > 0


@then("no request that was refused had a piece called")
def then_no_waste(context):
    called = {i["id"] for _, items in context.world.calls for i in items}
    refused = {r for r, x in context.replies.items() if x.status == 503}
    assert not called & refused, called & refused


@when(
    "the engine's entry lapses while the registry is unreachable for "
    "{seconds:g} s"
)
def when_lapses(context, seconds):
    async def actions(tasks):
        del tasks
        registry = context.world.registries["one"]
        state = context.world.instances["one"].state
        now = anyio.current_time()
        state.engines.start_request("engine", ["part"], 100, now)
        state.engines.end_request("engine", now, failed=False)
        assert (
            state.engines.unread_prompt_tokens("engine", [("part", 100)], now)
            == 0
        )
        registry.unreachable = True
        await anyio.sleep(seconds)
        del context.world.listed["engine"]
        registry.unreachable = False

    run_instances(context, actions)


@then("no state of the engine is left")
def then_no_state(context):
    state = context.world.instances["one"].state
    assert state.catalog.get("engine") is None, state.catalog.all()
    assert (
        state.engines.unread_prompt_tokens("engine", [("part", 100)], 0.0)
        == 100
    )


@when(
    "a caller with a deadline of {deadline:d} ms sends a staged request after "
    "{count:d} others"
)
def when_after_others(context, deadline, count):
    async def actions(tasks):
        for n in range(0, count, 2):
            for k in (n, n + 1):
                send(context, tasks, "one", f"other{k}", "4,0")
            await anyio.sleep(context.slow_answer_s + 0.1)
        context.replies.clear()
        # The longest wait of its caller, by its deadline or for an event.
        wait_s = min(deadline / 1000, EVENT_WAIT_S)
        context.leaves_at = anyio.current_time() + wait_s
        send(
            context,
            tasks,
            "one",
            "r0",
            "1,0",
            deadline_ms=deadline,
            disconnect_after_s=wait_s,
        )

    run_instances(context, actions)


@then(
    "it is refused with {status:d} as not run, {seconds:g} s before it leaves"
)
def then_refused_in_time(context, status, seconds):
    (reply,) = context.replies.values()
    assert reply.status == status and reply.ended, (reply.status, reply.body)
    assert json.loads(reply.body)["verdict"] == "not_run", reply.body
    assert float(reply.headers[b"retry-after"]) > 0
    assert reply.ended_at <= context.leaves_at - seconds, (
        reply.ended_at,
        context.leaves_at,
    )


@when(
    "a submitter falls silent whose pieces become too late, and another one "
    "submits a piece just after that"
)
def when_late_and_silent(context):
    async def actions(tasks):
        scheduler = find_scheduler(context)
        silent, other = (n for n in context.names if n != scheduler)
        # Six calls of 0.25 s, for which there is no time.
        send(context, tasks, silent, "late", "24,0", deadline_ms=1250)
        await anyio.sleep(0.1)
        context.world.network.transports[silent].resumed = anyio.Event()
        await anyio.sleep(0.85)
        context.sent_at = {"r0": anyio.current_time()}
        send(context, tasks, other, "r0", "1,0")

    run_instances(context, actions)


@then("the caller of the other one gets an answer within {seconds:g} s")
def then_answered_within(context, seconds):
    reply = context.replies["r0"]
    assert reply.status == 200 and reply.ended, (reply.status, reply.body)
    took_s = reply.ended_at - context.sent_at["r0"]
    assert took_s <= seconds, took_s


@when(
    "the submitter and the scheduler are cut off for {seconds:g} s, "
    "{delay:g} s after a caller sent a staged request"
)
def when_cut_during(context, seconds, delay):
    def begin(submitter, scheduler):
        context.world.network.cut([submitter], [scheduler])
        return context.world.network.heal

    silence_submitter(context, begin, seconds, delay)


@when(
    "the submitter gets no message and sends none for {seconds:g} s, "
    "{delay:g} s after a caller sent a staged request"
)
def when_paused_during(context, seconds, delay):
    def begin(submitter, scheduler):
        del scheduler
        transport = context.world.network.transports[submitter]
        transport.resumed = anyio.Event()
        return transport.resumed.set

    silence_submitter(context, begin, seconds, delay)


def silence_submitter(context, begin, seconds, delay):
    """Silences the submitter of a staged request for a time.

    Args:
        context: Context of the scenario.
        begin: Called with the names of the submitter and its scheduler;
            returns the function that ends the silence.
        seconds: Length of the silence.
        delay: Time from the request to the silence.
    """

    async def actions(tasks):
        scheduler = find_scheduler(context, context.names[0])
        submitter = next(n for n in context.names if n != scheduler)
        send(context, tasks, submitter, "r0", "1,2")
        await anyio.sleep(delay)
        end = begin(submitter, scheduler)
        await anyio.sleep(seconds)
        end()

    run_instances(context, actions)


@when(
    "the first acknowledgement of results is lost after a caller sent a staged "
    "request"
)
def when_acknowledgement_lost(context):
    async def actions(tasks):
        scheduler = find_scheduler(context)
        submitter = next(n for n in context.names if n != scheduler)
        transport = context.world.network.transports[submitter]
        handle = transport._on_request
        acknowledged = []

        async def handle_and_lose(data):
            reply = await handle(data)
            if isinstance(decode(data), message.StageDone):
                acknowledged.append(reply)
                if len(acknowledged) == 1:
                    return None
            return reply

        transport._on_request = handle_and_lose
        send(context, tasks, submitter, "r0", "1,2")

    run_instances(context, actions)


def lose_acknowledgement(context, handle_lost):
    """Has a scheduler get pieces without an acknowledgement.

    Args:
        context: Context of the scenario.
        handle_lost: Called with the peers of the scheduler and the message.
    """

    async def actions(tasks):
        scheduler = find_scheduler(context)
        submitter = next(n for n in context.names if n != scheduler)
        transport = context.world.network.transports[scheduler]
        handle = transport._on_request
        peers = context.world.instances[scheduler].peers
        lost = []

        async def handle_and_lose(data):
            msg = decode(data)
            if isinstance(msg, message.StageSubmit) and not lost:
                lost.append(msg)
                tasks.start_soon(handle_lost, peers, msg)
                return None
            return await handle(data)

        transport._on_request = handle_and_lose
        send(context, tasks, submitter, "r0", "1,2")

    # The next scheduler has the pieces made meanwhile.
    context.world.upstreams["s0"].stage_delays = [2 * SAID_AFTER_S]
    run_instances(context, actions)


@when(
    "a scheduler does not acknowledge pieces and then says they failed: {why}"
)
def when_unacknowledged(context, why):
    async def fail(peers, msg):
        await anyio.sleep(SAID_AFTER_S)
        results = [
            message.PieceResult(segment=piece.segment, failure=why)
            for piece in msg.pieces
        ]
        done = message.StageDone(ticket=msg.ticket, results=results)
        await peers.request(msg.origin_address, done)

    lose_acknowledgement(context, fail)


@when("a scheduler makes pieces that it did not acknowledge")
def when_made(context):
    async def make(peers, msg):
        await anyio.sleep(SAID_AFTER_S)
        results = [
            message.PieceResult(segment=piece.segment, handle="first/1")
            for piece in msg.pieces
        ]
        done = message.StageDone(ticket=msg.ticket, results=results)
        reply = await peers.request(msg.origin_address, done)
        assert reply.accepted, reply

    lose_acknowledgement(context, make)


@then("the next stage got the results that were made first")
def then_first(context):
    inputs = [
        piece["inputs"]
        for _, items in context.world.calls
        for piece in items
        if piece["stage"] == 1
    ]
    assert inputs and all(handles == ["first/1"] for handles in inputs), inputs


@then("no result was released before the engine was called")
def then_not_released_early(context):
    called_at = min(a.at for a in engine_arrivals(context, "r0"))
    released_at = min(
        a.at for a in context.world.arrivals if a.target == "/stage-free"
    )
    assert called_at <= released_at, (called_at, released_at)


@then("every caller is refused within {seconds:g} s")
def then_refused_within(context, seconds):
    for reply in context.replies.values():
        assert reply.status == 503, (reply.status, reply.body)
        assert json.loads(reply.body)["verdict"] == "not_run", reply.body
        # The requests are sent 1 s after the start.
        assert reply.ended_at <= context.started_at + 1.0 + seconds
