"""Steps that forward requests and streams through a relay instance."""

import json

import anyio
import httpcore
import httpx
from behave import given, then, when
from loguru import logger

from applespring.core.rate_limits import Limit
from applespring.relay.http_transport import HttpTransport
from features.fixtures.relay_world import SIGNED, RelayWorld, events
from features.fixtures.virtual import run_virtual

FAILURES = {
    "refused connection": "refuse",
    "reset": "reset",
    "no answer": "no_answer",
    "503 not executed": (503, {"Not-Executed": "1"}, [b""]),
    "other request's id": (
        200,
        {**SIGNED, "Request-Id": "another"},
        [b"wrong"],
    ),
    "no request id": (200, {**SIGNED, "Request-Id": ""}, [b"wrong"]),
    "no signature": (200, {}, [b"forged"]),
    "truncated": (200, SIGNED, [b"half", httpx.ReadError("cut")]),
    "500": (500, SIGNED, [b"failed"]),
    "503 without a reason": (503, SIGNED, [b"busy"]),
}
# Headers of answers by what is said of their signature.
SIGNATURES = {
    "with a signature": SIGNED,
    "without a signature": {},
    "with an empty signature": {"Response-Signature": ""},
    'unsigned, "not executed"': {"Not-Executed": "1"},
}
SPOILED_BODY = bytes(40)
CONNECTION_CUT = httpx.RemoteProtocolError("cut")


class SharedScript:
    """Script shared by all upstreams: each call takes the next step.

    So a scenario needs not know which upstream is called first.
    """

    def __init__(self, script):
        self.script = script

    def __bool__(self):
        return bool(self.script)

    def pop(self, _):
        """Removes and returns the next step; the index is ignored."""
        return self.script.pop(0)


def make_world(context, pool, names):
    context.world = RelayWorld()
    context.script = []
    for name in names.split(", "):
        upstream = context.world.add_upstream(name, pool)
        upstream.script = SharedScript(context.script)
    context.outage_s = 0.0
    context.ready = True
    context.preparations = []
    context.background = None


@given("a relay with the plain upstreams {names}")
def given_plain(context, names):
    make_world(context, "plain", names)


@given("a relay with the engines {names}")
def given_engines(context, names):
    make_world(context, "engines", names)


class ResetBackend(httpcore.AsyncNetworkBackend):
    """Fails as httpcore's backend does on a socket that was closed."""

    async def connect_tcp(self, *_, **__):
        """Raises the AttributeError of a socket that is None."""
        sock = None
        sock.setsockopt(0, 0, 0)


@given("a connection that was reset before its options were set")
def given_reset_early(context):
    context.transport = HttpTransport(verify=False)
    context.transport._pool._network_backend = ResetBackend()


@then("the call fails as not connected")
def then_not_connected(context):
    async def run():
        request = httpx.Request("GET", "http://127.0.0.1:1/")
        try:
            await context.transport.handle_async_request(request)
        except httpx.ConnectError:
            return
        raise AssertionError("no ConnectError")

    run_virtual(run)


@given("the instance is at the end of its shutdown")
def given_closed(context):
    def close():
        state = context.world.instances["one"].state
        state.leaving = state.closed = True

    context.preparations.append(close)


@given("a relay that has not read the registry")
def given_not_ready(context):
    make_world(context, "plain", "a")
    context.ready = False


@given('the first upstream that is called fails with "{failure}"')
def given_failure(context, failure):
    context.script.append(FAILURES[failure])


@given("the first upstream that is called answers {status:d} {how}")
def given_success(context, status, how):
    body = b"" if status == 204 else SPOILED_BODY
    headers = {**SIGNATURES[how], "Content-Length": str(len(body))}
    context.script.append((status, headers, [body]))


@given("then every upstream is full")
def given_all_full(context):
    for upstream in context.world.upstreams.values():
        upstream.default = FAILURES["503 not executed"]


@given("every upstream is down")
def given_all_down(context):
    for upstream in context.world.upstreams.values():
        upstream.down = True


@given("the registry is unreachable for {seconds:d} s")
def given_registry_outage(context, seconds):
    context.outage_s = float(seconds)


@given("the engine sends the events {first:d} to {last:d} and ends")
@given("the next engine sends the events {first:d} to {last:d} and ends")
def given_events(context, first, last):
    context.script.append((200, SIGNED, events(first, last)))


@given("the engine sends the events {first:d} to {last:d} and is cut off")
def given_cut(context, first, last):
    context.script.append((200, SIGNED, [*events(first, last), CONNECTION_CUT]))


@given(
    "the engine sends the events {first:d} to {last:d} and is cut off inside "
    "event {part:d}"
)
def given_cut_inside(context, first, last, part):
    partial_event = events(part, part)[0][:5]
    chunks = [*events(first, last), partial_event, CONNECTION_CUT]
    context.script.append((200, SIGNED, chunks))


@given("the engine sends the events {first:d} to {last:d} and then nothing")
def given_no_more_events(context, first, last):
    chunks = [*events(first, last), 1e6]
    context.script.append((200, SIGNED, chunks))


@given(
    "the engine sends the events {first:d} to {last:d}, is silent for "
    "{silent:f} s, and ends with event {end:d}"
)
def given_silence(context, first, last, silent, end):
    chunks = [*events(first, last), silent, *events(end, end)]
    context.script.append((200, SIGNED, chunks))


@given("the next engine refuses the request as full")
def given_next_full(context):
    context.script.append(FAILURES["503 not executed"])


@given("the retry budget of the {pool} is free")
def given_budget_free(context, pool):
    del context, pool


@given("the retry budget of the {pool} is used up")
def given_budget_used(context, pool):
    name = {"engines": "engines", "plain pool": "plain"}[pool]

    def use_up():
        state = context.world.instances["one"].state
        while state.attempt_window(name).try_acquire(state.clock(), 1):
            pass

    context.preparations.append(use_up)


@given("upstream {name} has a rate limit that leaves no permit")
def given_no_permit(context, name):
    def use_up():
        instance = context.world.instances["one"]
        state, upstream = instance.state, context.world.listed[name]
        state.notices.limits.record(upstream.identity, 0.0, 0.0, 0.0)
        permits = instance._permits._permits
        for _ in range(20):
            # Requests that wait have the next permits.
            permits.request(
                upstream.identity,
                upstream.pool,
                Limit(0.25),
                100.0,
                state.clock(),
            )

    context.preparations.append(use_up)


@given("the upstreams answer after {seconds:f} s")
def given_slow_answers(context, seconds):
    for upstream in context.world.upstreams.values():
        upstream.head_delay_s = seconds


@given("each engine sends its first event after {seconds:f} s")
def given_slow_engines(context, seconds):
    for upstream in context.world.upstreams.values():
        upstream.script = []
        upstream.default = (200, SIGNED, events(1, 2))
        upstream.head_delay_s = seconds


@given("a stage upstream that is lost when the stream has begun")
def given_stage_lost(context):
    stage = context.world.add_upstream("stage-one", "stage")

    async def lose():
        while not context.world.find_arrivals():
            await anyio.sleep(0.05)
        stage.down = True

    context.background = lose


def send_requests(context, kind, count=1, **options):
    """Starts an instance, prepares it and sends requests one by one."""

    async def run():
        async with anyio.create_task_group() as tasks:
            components = await context.world.start("one", tasks)
            if context.ready:
                await anyio.sleep(0.5)
            else:
                components.state.document = None
            for step in context.preparations:
                step()
                await anyio.sleep(0.5)
            if context.background:
                tasks.start_soon(context.background)
            if context.outage_s:
                context.world.registries["one"].unreachable = True
                await anyio.sleep(context.outage_s)
            started_at = anyio.current_time()
            for _ in range(count):
                context.reply = await context.world.request(
                    "one", f"/{kind}/x", **options
                )
            context.took_s = context.reply.ended_at - started_at
            tasks.cancel_scope.cancel()

    run_virtual(run)


@when("upstream {name} is removed from the registry")
def when_removed(context, name):
    def remove():
        context.world.listed.pop(name)
        context.world.removed.append(name)

    context.preparations.append(remove)


@when("a caller sends a {kind:w} request")
def when_sends(context, kind):
    send_requests(context, kind)


@when("a caller sends a request on the route {route}")
def when_sends_staged(context, route):
    headers = [(b"segments", b"1,1"), (b"segment-key", b"k")]
    send_requests(context, route, headers=headers)


@when(
    "a caller that reads nothing for {seconds:f} s after event 1 sends a "
    "{kind:w} request"
)
def when_reads_slowly(context, seconds, kind):
    send_requests(context, kind, pause_after_first_s=seconds)


@when("{count:d} resume requests come {rate:d} per second")
def when_load(context, count, rate):
    context.replies = []

    async def run():
        async with anyio.create_task_group() as tasks:
            await context.world.start("one", tasks)
            await anyio.sleep(0.5)
            async with anyio.create_task_group() as callers:

                async def call(number):
                    reply = await context.world.request(
                        "one", "/resume/x", request=f"r{number}"
                    )
                    context.replies.append(reply)

                for number in range(count):
                    callers.start_soon(call, number)
                    await anyio.sleep(1 / rate)
            tasks.cancel_scope.cancel()

    run_virtual(run)


@then(
    "at least {answered:d} are answered and the engines got at most {sent:d} "
    "requests"
)
def then_load(context, answered, sent):
    served = [reply for reply in context.replies if reply.status == 200]
    assert len(served) >= answered, len(served)
    assert len(context.world.arrivals) <= sent, len(context.world.arrivals)


@when("a caller sends {count:d} unsafe requests")
def when_sends_many(context, count):
    send_requests(context, "unsafe", count)


@given("the address of {name} belongs to another upstream")
def given_misdirected(context, name):
    upstream = context.world.upstreams[name]
    upstream.script = []
    upstream.default = (421, {}, [b""])
    other = next(u for n, u in context.world.upstreams.items() if n != name)
    other.script = []
    other.default = (200, SIGNED, events(1, 2))


@given("{name} never answers and {other} answers at once")
def given_never_answers(context, name, other):
    for upstream in context.world.upstreams.values():
        upstream.script = []
    context.world.upstreams[name].default = "no_answer"
    context.world.upstreams[other].default = (200, SIGNED, events(1, 2))


@when("a caller sends {count:d} stream requests of different sessions")
def when_sends_sessions(context, count):
    async def run():
        async with anyio.create_task_group() as tasks:
            await context.world.start("one", tasks)
            await anyio.sleep(0.5)
            context.replies = [
                await context.world.request("one", "/stream/x", request=f"r{n}")
                for n in range(count)
            ]
            tasks.cancel_scope.cancel()

    run_virtual(run)


@then("all are answered and {name} was called {count:d} times")
def then_called(context, name, count):
    assert {reply.status for reply in context.replies} == {200}
    then_called_times(context, name, count)


@then("{name:w} was called {count:d} times")
def then_called_times(context, name, count):
    asked = [a for a in context.world.arrivals if a.upstream == name]
    assert len(asked) == count, len(asked)


@when("a caller sends a {kind:w} request with the key {key:w}")
def when_key(context, kind, key):
    send_requests(context, kind, key=key)


@when("a caller sends a {kind:w} request and disconnects after {ms:d} ms")
def when_disconnects(context, kind, ms):
    send_requests(context, kind, disconnect_after_s=ms / 1e3)


@when("a caller sends a {kind:w} request with a deadline of {ms:d} ms")
def when_deadline(context, kind, ms):
    send_requests(context, kind, deadline_ms=ms)


@then("it gets {status:d} and {count:d} upstreams got the request")
def then_gets(context, status, count):
    runs = context.world.find_arrivals()
    assert context.reply.status == status, context.reply.body
    assert len(runs) == count, [a.upstream for a in runs]
    if status == 200:
        last = runs[-1].upstream.encode()
        assert context.reply.body == b"answer of " + last


@then("its answer is the upstream's")
def then_upstream_answer(context):
    reply = context.reply
    sent = b"" if reply.status == 204 else SPOILED_BODY
    assert reply.ended and reply.body == sent, reply.body
    assert reply.headers[b"response-signature"] == b"s", reply.headers


@then("it is answered {status:d}")
def then_answered(context, status):
    assert context.reply.status == status, context.reply.body


@then("{count:d} upstreams got the request")
def then_count(context, count):
    assert len(context.world.find_arrivals()) == count


@then('the verdict is ""')
def then_no_verdict(context):
    assert b"verdict" not in context.reply.body


@then('the verdict is "{verdict}"')
def then_verdict(context, verdict):
    assert json.loads(context.reply.body)["verdict"] == verdict


@then("it gets a Retry-After")
def then_retry_after(context):
    assert float(context.reply.headers[b"retry-after"]) > 0


@then("only upstream {name} got requests")
def then_only(context, name):
    assert {a.upstream for a in context.world.arrivals} == {name}


@then("the request ends at {ms:d} ms")
def then_ends(context, ms):
    assert abs(context.took_s - ms / 1e3) < 0.01, context.took_s
    assert context.reply.status is None


@then("the refusal was sent before the caller stops waiting after {ms:d} ms")
def then_in_time(context, ms):
    # The refusal has to reach the caller, who has waited since it sent the
    # request; the platform's clients are up to 3 ms away.
    assert context.took_s < ms / 1e3 - 0.006, context.took_s


@then("each upstream got a deadline of at most {ms:d} ms")
def then_deadlines(context, ms):
    deadlines_ms = [
        int(a.headers["Request-Deadline"])
        for a in context.world.find_arrivals()
    ]
    assert len(deadlines_ms) == 2
    assert deadlines_ms[1] <= deadlines_ms[0] <= ms


@then("it gets the events {first:d} to {last:d} and the end")
def then_events(context, first, last):
    assert context.reply.body == b"".join(events(first, last))
    assert context.reply.ended and not context.reply.cut


@then("it gets the events {first:d} to {last:d} and no end")
def then_no_end(context, first, last):
    assert context.reply.body == b"".join(events(first, last))
    assert context.reply.cut and not context.reply.ended


@then("the second engine was asked to resume after event {event:d}")
def then_resumed_after(context, event):
    second = context.world.find_arrivals()[1]
    assert second.headers["Last-Event-Id"] == str(event)


@then("the first engine's connection was closed before that")
def then_closed(context):
    first, second = context.world.find_arrivals()
    assert first in context.world.closed
    assert second.at > first.at


@when("a caller sends two stream requests on a connection and disconnects")
def when_sends_two(context):
    context.records = []
    sink = logger.add(lambda line: context.records.append(line.record["extra"]))
    context.script.insert(0, (200, SIGNED, events(1, 2)))

    async def run():
        async with anyio.create_task_group() as tasks:
            await context.world.start("one", tasks)
            await anyio.sleep(0.5)
            for pause_s in (0.0, 0.7):
                await anyio.sleep(pause_s)
                await context.world.request(
                    "one",
                    "/stream/x",
                    client=("10.0.0.9", 1234),
                    disconnect_after_s=1.5,
                )
            tasks.cancel_scope.cancel()

    try:
        run_virtual(run)
    finally:
        logger.remove(sink)


def find_last_record(context, event):
    return [r for r in context.records if r.get("event") == event][-1]


@then("the log has the time for which the engine was silent")
def then_silent(context):
    assert find_last_record(context, "attempt")["silent_s"] == 1.5


@then("the log has the time for which the connection had rested")
def then_rested(context):
    assert find_last_record(context, "request")["idle_s"] == 0.7
