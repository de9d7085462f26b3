"""Steps about second answers of stage upstreams to requests without an id."""

import collections
import json

import anyio
from behave import given, then, when
from loguru import logger

from features.fixtures.platform_text import make_route
from features.fixtures.relay_world import SIGNED, STAGES, RelayWorld, events
from features.fixtures.stage_answering import (
    CALL,
    EXTRA_BYTES,
    MB,
    RELEASE,
    REPORT,
    Extra,
    StageAnsweringUpstream,
    send_again,
    send_again_without_result,
    target_of,
)
from features.steps.relay_staging_steps import run_instances, send

TARGETS = {
    "a call": CALL,
    "a release": RELEASE,
    "a report": REPORT,
    "a request": "/mixed",
}
# Time within which an answer is on time, longer than any wait in a scenario.
TARGET_MS = 10_000
# Time of an answer to a caller beyond what the calls take.
SETTLE_S = 20.0
# Larger than half of the memory; with the results of another scheduler, one
# fits.
LARGE_BYTES = 15 * MB
OTHERS_MB = 8
# Plain requests for each staged one.
PLAIN_COUNT = 8


@given("a stage upstream over HTTP whose calls take {seconds:g} s")
def given_upstream(context, seconds):
    build(context, seconds, STAGES[0]["length"])


@given("a stage upstream over HTTP that holds one result at a time")
def given_small_upstream(context):
    build(context, 0.2, LARGE_BYTES)
    change_segments(context, handleTtlS=3.0)
    context.upstream.ttl_s = 3.0
    context.upstream.unknown_mb = OTHERS_MB
    context.upstream.report_s = 0.02


@given("a stage upstream over HTTP with calls of {count:d} pieces")
def given_large_batch(context, count):
    build(context, 0.7, STAGES[0]["length"])
    change_segments(context, batch=count, itemMs=1.0)


def build(context, call_s, length):
    """Makes the world with one stage upstream over HTTP and an engine."""
    stages = [{**stage, "length": length} for stage in STAGES]
    context.names, context.replies, context.records = ["one"], {}, []
    world = context.world = RelayWorld(
        routes=[
            make_route(
                "staged",
                "/staged/",
                service="engines",
                stages=stages,
                targetLatencyMs=TARGET_MS,
                timeoutMs=6 * TARGET_MS,
            ),
            make_route("mixed", "/mixed/", kind="unsafe", service="stage"),
        ]
    )
    world.add_upstream("s0", "stage")
    engine = world.add_upstream("engine", "engines")
    engine.default = (200, SIGNED, events(1, 2))
    upstream = StageAnsweringUpstream("s0", call_s)
    upstream.result_bytes = length
    context.upstream = world.upstreams["s0"] = upstream

    def keep(line):
        line.record["reports"] = len(upstream.find_sendings(REPORT))
        context.records.append(line.record)

    context.add_cleanup(logger.remove, logger.add(keep, level="DEBUG"))


def change_segments(context, **changes):
    document = json.loads(context.world.document)
    document["services"][2]["segments"].update(changes)
    context.world.document = json.dumps(document).encode()


@given(
    "{count:d} times it sends {what} to {earlier} where that to {due} is due"
)
def given_extra(context, count, what, earlier, due):
    context.upstream.extra = Extra(
        TARGETS[earlier.replace("an earlier", "a")],
        (TARGETS[due],),
        EXTRA_BYTES[what],
        count,
        is_next="an earlier" not in earlier,
    )


@given("its releases {first:d} to {last:d} are refused with {status:d}")
def given_refusals(context, first, last, status):
    context.upstream.refusal_status = status
    context.upstream.refused = range(first, last + 1)


@given(
    "its releases {first:d} to {last:d} are refused with {status:d}, without a "
    "time to wait"
)
def given_refusals_only(context, first, last, status):
    given_refusals(context, first, last, status)
    context.upstream.refusal_headers = ()


@given(
    "its calls {first:d} and {second:d} give only the reason {reason}, in two "
    "answers each"
)
def given_failing(context, first, second, reason):
    upstream = context.upstream
    upstream.failing = {first: reason, second: reason}
    upstream.extra = Extra(CALL, (CALL, REPORT), send_again_without_result, 2)


@given("{what} follows the answer to its call {number:d} in the same segment")
def given_together(context, what, number):
    context.upstream.together[number] = EXTRA_BYTES[what]


@given(
    "the answer to the first call on a connection comes again after {count:d} "
    "pieces"
)
def given_forgotten(context, count):
    upstream = context.upstream

    def make(_, last, sending):
        del last
        calls = upstream.find_sendings(CALL)
        first = next(
            n
            for n, call in enumerate(calls)
            if call.connection == sending.connection
        )
        made = sum(len(json.loads(c.content)["items"]) for c in calls[first:])
        if made < count:
            return b""
        return send_again(upstream, calls[first], sending)

    upstream.extra = Extra(CALL, (CALL,), make, 1)


@given("results of another scheduler that fill {megabytes:d} MB of it")
def given_unknown(context, megabytes):
    context.upstream.unknown_mb = megabytes


@given("its answers to callers look like those to calls and reports")
def given_plain_body(context):
    context.upstream.plain_body = lambda: json.dumps(
        {"items": [{"handle": "10.9.9.9:80/foreign"}], "freeMb": 27}
    ).encode()


@when(
    "{count:d} callers send staged requests with {counts} pieces, and more "
    "callers plain requests to it, over {seconds:g} s"
)
def when_both(context, count, counts, seconds):
    context.plain = {}

    async def actions(tasks):
        async def send_plain(request):
            context.plain[request] = await context.world.request(
                "one", "/mixed/x", request=request
            )

        for n in range(count):
            send(context, tasks, "one", f"r{n}", counts)
            for k in range(PLAIN_COUNT):
                tasks.start_soon(send_plain, f"p{n}.{k}")
                await anyio.sleep(seconds / count / PLAIN_COUNT)

    run_instances(context, actions, SETTLE_S)


def find_runs(context):
    """Returns the requests that arrived at the engine."""
    runs = [a for a in context.world.arrivals if a.upstream == "engine"]
    assert runs
    return runs


@then("no engine and no call is given results of another request")
def then_no_foreign(context):
    upstream = context.upstream
    foreign = []
    for sending in upstream.find_sendings(CALL):
        for item in json.loads(sending.content)["items"]:
            inputs = item.get("inputs", [])
            found = upstream.find_foreign(item["id"], inputs, 0)
            if found:
                foreign.append(("call", item["id"], found))
    for run in find_runs(context):
        handles = run.headers["Inputs"].split(",")
        stage = max(
            (p[1] for p in upstream.pieces.values() if p[0] == run.request),
            default=0,
        )
        found = upstream.find_foreign(run.request, handles, stage)
        if found:
            foreign.append(("engine", run.request, found))
    assert not foreign, (len(foreign), foreign[:3])


@then("no engine is given results that were released before")
def then_not_released(context):
    releases = context.upstream.find_sendings(RELEASE)
    for run in find_runs(context):
        released = {
            handle
            for sending in releases
            if sending.arrived_at <= run.at
            for handle in json.loads(sending.content)["handles"]
        }
        handles = set(run.headers["Inputs"].split(","))
        assert not handles & released, (run.at, handles & released)


@then("it has sent {count:d} second answers")
def then_sent(context, count):
    upstream = context.upstream
    sent = len(upstream.extras) + len(upstream.together)
    assert sent == count, [s.target for s in upstream.extras]


@then("at most {count:d} of its calls fail")
def then_failed(context, count):
    failed = [
        r["message"]
        for r in context.records
        if r["extra"].get("event") == "stage_call" and "failure" in r["extra"]
    ]
    assert len(failed) <= count, failed


@then("no request is sent on a connection with an answer still to come")
def then_in_order(context):
    answers, early = {}, []
    for sending in context.upstream.sendings:
        last = answers.get(sending.connection)
        if last is not None and last.answer_at > sending.arrived_at:
            early.append(
                f"{sending.target} at {sending.arrived_at:.2f} s on connection "
                f"{sending.connection}, where the answer to {last.target} "
                f"comes at {last.answer_at:.2f} s"
            )
        answers[sending.connection] = sending
    assert not early, (len(early), early[:3])


@then("no call finds its memory full")
def then_room(context):
    no_room = context.upstream.no_room
    assert not no_room, (len(no_room), no_room[:3])


@then("all results of refused releases are released later")
def then_released(context):
    refused, released = set(), set()
    for sending in context.upstream.find_sendings(RELEASE):
        handles = json.loads(sending.content)["handles"]
        (released if sending.ran else refused).update(handles)
    assert refused and refused <= released, refused - released


@then("its calls for one piece come on different connections")
def then_other_connections(context):
    connections = collections.defaultdict(list)
    for sending in context.upstream.find_sendings(CALL):
        for item in json.loads(sending.content)["items"]:
            piece = (item["id"], item["stage"], item["segment"])
            connections[piece].append(sending.connection)
    repeated = [c for c in connections.values() if len(c) > 1]
    assert repeated
    assert all(len(set(c)) == len(c) for c in repeated), repeated


@then("each figure that is set is that of the last report")
def then_figures(context):
    reports = context.upstream.find_sendings(REPORT)
    wrong, count = [], 0
    for record in context.records:
        if record["extra"].get("event") != "room_corrected":
            continue
        # Reports are requested one after another.
        last = reports[record["reports"] - 1]
        expected = json.loads(last.body)["freeMb"] * MB
        count += 1
        if abs(record["extra"]["free_bytes"] - expected) > 1:
            wrong.append((record["extra"]["free_bytes"], expected))
    assert count and not wrong, (count, wrong[:3])


@then("every plain caller gets the answer to its request or a failure")
def then_plain(context):
    answers = {
        s.request: s.body
        for s in context.upstream.sendings
        if target_of(s) == "/mixed"
    }
    assert context.plain
    for request, reply in context.plain.items():
        assert reply.status is not None and reply.ended, request
        if reply.status == 200:
            seen = (request, reply.body, answers.get(request))
            assert reply.body == answers.get(request), seen


@then("its {calls:d} calls took at most {count:d} connections")
def then_connections(context, calls, count):
    upstream = context.upstream
    numbers = {
        name: (
            len(upstream.find_sendings(target)),
            len(upstream.find_connections(target)),
        )
        for name, target in TARGETS.items()
    }
    seen = f"requests and connections: {numbers}"
    assert numbers["a call"][0] >= calls, seen
    assert numbers["a call"][1] <= count, seen
