"""Steps about the bytes that upstreams and the store send."""

import anyio
import httpx
import orjson
from behave import given, then, when

from applespring.core.errors import ApplespringError, FailureKind, StageError
from applespring.core.fleet import Upstream
from applespring.entry.external.engines import ControlClient
from applespring.platform.store import Store
from features.fixtures.relay_world import RelayWorld
from features.fixtures.virtual import run_virtual
from features.fixtures.wire import (
    CLOSE,
    RESET,
    Endless,
    WireUpstream,
    event,
    head,
)

CHUNKED = b"Transfer-Encoding: chunked\r\n"
HALF_EVENT = b"id: 9\nda"
FAST = b"x" * 50_000
FAST_S = 0.001
SLOW_S = 0.05
PAGE = orjson.dumps({"at": 5, "items": []})


def give_upstream(context, name, *scripts):
    if not hasattr(context, "wire"):
        context.wire = {}
    context.wire[name] = WireUpstream(*scripts)


def in_chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def framed(body):
    return head(framing=b"Content-Length: %d\r\n" % len(body)) + body


@given(
    "upstream a sends a plain answer without length or chunks and then {end}"
)
def given_plain(context, end):
    give_upstream(context, "a", [head(), b"who", 0.01, b"le", end])


@given("upstream b answers")
def given_other(context):
    give_upstream(context, "b", [framed(b"other")])


@given("engine a sends a stream without chunks: {sent}")
def given_stream(context, sent):
    script = [head()]
    for step in sent.split(", "):
        if step.startswith("events"):
            first, last = (int(n) for n in step.split()[1::2])
            for number in range(first, last + 1):
                script += [event(number), 0.01]
        else:
            script.append({"half": HALF_EVENT}.get(step, step))
    give_upstream(context, "a", script)


@given("engine b sends the events {first:d} to {last:d} in chunks")
def given_next_engine(context, first, last):
    script = [head(framing=CHUNKED)]
    script += [in_chunk(event(n)) for n in range(first, last + 1)]
    give_upstream(context, "b", [*script, b"0\r\n\r\n"])


def endless_script(what):
    speed, _, rest = what.partition(" ")
    pause_s = SLOW_S if speed == "slow" else FAST_S
    chunk = b"x" if speed == "slow" else FAST
    return {
        "bytes in a head": [Endless(chunk, pause_s)],
        "header lines": [
            b"HTTP/1.1 200 x\r\n",
            Endless(b"A: b\r\n" * 99, FAST_S),
        ],
        "interim answers": [Endless(b"HTTP/1.1 100 x\r\n\r\n", SLOW_S)],
        "bytes in a body": [head(), Endless(chunk, pause_s)],
        "bytes of no event": [head(), Endless(chunk, pause_s)],
        "refusal with a slow body": [
            b"HTTP/1.1 503 x\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n\r\n",
            Endless(b"x", SLOW_S),
        ],
    }[rest]


@given("upstream a sends the events 1 to 2 and {what} without end")
def given_begun_endless(context, what):
    first, *rest = endless_script(what)
    script = [first, event(1), 0.01, event(2), 0.01, *rest]
    give_upstream(context, "a", script)


@given("upstream a sends {what} without end")
def given_endless(context, what):
    give_upstream(context, "a", endless_script(what))


@given("upstream b answers on the {kind} route")
def given_other_kind(context, kind):
    if kind in ("stream", "resume"):
        given_next_engine(context, 1, 4)
    else:
        given_other(context)


@given("the connection to {name} fails while a body is written")
def given_failing_upload(context, name):
    context.wire[name].fails_uploads = True


@given("upstream a sends a signed answer with the status {status}")
def given_status(context, status):
    answer = framed(b"none").replace(b" 200 ", b" %s " % status.encode(), 1)
    give_upstream(context, "a", [answer])


@when("a caller sends a {kind} request on the wire")
def when_request(context, kind):
    pool = "engines" if kind in ("stream", "resume") else "plain"

    async def run():
        world = context.world = RelayWorld()
        for name, upstream in context.wire.items():
            world.add_upstream(name, pool)
            world.upstreams[name] = upstream
        async with anyio.create_task_group() as tasks:
            await world.start("one", tasks)
            await anyio.sleep(1.0)
            context.sent_at = anyio.current_time()
            context.reply = await world.request("one", f"/{kind}/x")
            await anyio.sleep(0.5)
            tasks.cancel_scope.cancel()

    run_virtual(run)


@then('it gets {status:d} with "{body}"')
@then('it gets {status:d} with ""')
def then_answer(context, status, body=""):
    reply = context.reply
    assert reply.status == status, (reply.status, reply.body)
    if body:
        assert reply.ended and reply.body == body.encode(), reply.body


@then("the caller gets the events 1 to {last:d} and {end}")
def then_events(context, last, end):
    reply = context.reply
    expected = b"".join(event(n) for n in range(1, last + 1))
    if end == "an end":
        assert reply.ended, reply.status
        assert reply.body == expected, reply.body
    elif last:
        assert not reply.ended and reply.cut
        assert reply.body == expected, reply.body
    else:
        assert reply.status == 502, reply.status


@then("it gets {result} within {ms:d} ms")
def then_result(context, result, ms):
    reply = context.reply
    took_s = reply.ended_at - context.sent_at
    assert took_s <= ms / 1000, took_s
    assert reply.ended and not reply.cut
    if result.isdigit():
        assert reply.status == int(result), reply.status
    elif result == "events":
        assert reply.body == b"".join(event(n) for n in range(1, 5))
    else:
        assert (reply.status, reply.body) == (200, result.encode())


@then("the connections to a are closed after at most {count:d} bytes")
def then_closed(context, count):
    connections = context.wire["a"].connections
    assert connections
    for connection in connections:
        assert connection.closed
        assert connection.read_bytes <= count, connection.read_bytes


@then("no engine counts as crashed")
def then_no_crash(context):
    ledger = context.world.instances["one"].crash_watch.ledger
    assert not ledger.select_crashes(0.0, count_max=9, age_max_s=9.0)


@given("a store that sends {what} without end")
def given_endless_store(context, what):
    context.store = WireUpstream(endless_script(what))


@given("a worker that sends {what} without end")
def given_endless_worker(context, what):
    context.store = WireUpstream(endless_script(what))


@given("a store that answers with the status {status}")
def given_store_status(context, status):
    answer = framed(PAGE).replace(b" 200 ", b" %s " % status.encode(), 1)
    context.store = WireUpstream([answer])


@given("a worker that reports its load with the status {status}")
def given_worker_status(context, status):
    given_store_status(context, status)
    context.store.scripts[0][0] = context.store.scripts[0][0].replace(
        b"Request-Id", b"applespring-state: leaving\r\nRequest-Id", 1
    )


@given("an upstream that answers early and without a length")
def given_early(context):
    give_upstream(context, "a", [head(request=""), b"{}", CLOSE])
    context.wire["a"].fails_uploads = True


@when("{target} is called with a body")
def when_called(context, target):
    async def run():
        world = RelayWorld()
        upstream = context.wire["a"]
        upstream.scripts[0][0] = upstream.scripts[0][0].replace(
            b"Request-Id: \r\n", b""
        )
        world.add_upstream("a", "plain")
        world.upstreams["a"] = upstream
        async with anyio.create_task_group() as tasks:
            await world.start("one", tasks)
            await anyio.sleep(1.0)
            instance = world.instances["one"]
            listed = instance.state.catalog.get("a")
            try:
                async with instance._client.call(
                    listed, "POST", target.encode(), [], b"body"
                ) as answer:
                    await answer.read(1000)
            except StageError as exc:
                context.failure = exc
            tasks.cancel_scope.cancel()

    context.failure = None
    run_virtual(run)


@then("the call fails as truncated")
def then_truncated(context):
    assert context.failure is not None
    assert context.failure.kind is FailureKind.TRUNCATED, context.failure


@then("nothing of the answer counts")
def then_nothing_counts(context):
    for report in context.reports:
        assert not report.leaving and report.pause_s is None


@when("its load is read")
def when_load(context):
    context.reports = []

    async def read():
        async with httpx.AsyncClient(transport=context.store.transport) as http:
            upstream = Upstream("u", "10.0.0.1:80", "koper", 1)
            await ControlClient(
                http,
                lambda _name: False,
                lambda _name, report: context.reports.append(report),
            ).probe(upstream)

    run_read(context, read)


@given("a store whose answer has no length and ends with {end}")
def given_store(context, end):
    body = {"close": [PAGE, CLOSE], "reset": [PAGE, RESET]}
    half = [PAGE[:-3], CLOSE]
    context.store = WireUpstream([head(), *body.get(end, half)])


@given("a store whose answer is the JSON {text}")
def given_store_json(context, text):
    context.store = WireUpstream([framed(text.encode())])


@when("it is watched")
def when_watched(context):
    async def read():
        store = Store(context.store.transport, "10.0.0.1:80")
        await store.watch("", 4, 1.0)

    run_read(context, read)


@when("it is read")
def when_read(context):
    async def read():
        store = Store(context.store.transport, "10.0.0.1:80")
        await store.read_prefix("")

    run_read(context, read)


def run_read(context, read):
    context.failure = None

    async def run():
        started_at = anyio.current_time()
        try:
            with anyio.move_on_after(60.0):
                await read()
        except (ApplespringError, httpx.HTTPError) as exc:
            context.failure = exc
        context.took_s = anyio.current_time() - started_at

    run_virtual(run)


@then("the read fails within {ms:d} ms and {count:d} bytes")
def then_fails_in_time(context, ms, count):
    assert context.failure is not None
    assert context.took_s <= ms / 1000, context.took_s
    (connection,) = context.store.connections
    assert connection.closed
    assert connection.read_bytes <= count, connection.read_bytes


@then("the read {result}")
def then_read(context, result):
    assert (context.failure is None) == (result == "succeeds"), context.failure
