"""Steps about second answers to requests of the JSON interface."""

import anyio
import h11
import httpx
from anyio.abc import SocketAttribute
from behave import given, then, when

from applespring.core.errors import MessageError, StageError
from applespring.core.fleet import Upstream
from applespring.core.integrity import CallId
from applespring.core.order import EngineState, Order
from applespring.entry.answer_match import MatchingTransport
from applespring.entry.execution.calls import Call, UpstreamClient
from applespring.entry.external.engines import ControlClient
from applespring.entry.external.platform import PlatformClient, PlatformError
from applespring.entry.http_clients import open_clients
from features.fixtures.documents import make_pool
from features.fixtures.entry_answers import SENDING_HEADER, EntryUpstream
from features.fixtures.virtual import run_virtual

UPSTREAM = Upstream("u", "127.0.0.1:1", "koper", 1)
REPORT = {"running": 0, "waiting": 0, "slots": 1, "age_ms": 0}


@given("an upstream that {repeats} and answers {script}")
def given_upstream(context, repeats, script):
    context.upstream = EntryUpstream(script, repeats=repeats == "repeats")


def make_client(context):
    transport = MatchingTransport(context.upstream.make_transport(), "p")
    return httpx.AsyncClient(
        transport=transport, base_url="http://127.0.0.1:1", timeout=None
    )


def make_call(number):
    return Call(
        CallId(f"r{number}", "encode", 1),
        make_pool("encoder", "u", refusal_not_run=(503,), idempotent=True),
        UPSTREAM,
        "x",
        key="",
        priority=5,
        max_tokens=0,
        started_at=0.0,
        timeout_s=1.0,
        guard=lambda: None,
    )


@when("{count:d} calls are made on the JSON interface")
def when_calls(context, count):
    context.outcomes = []

    async def run():
        async with make_client(context) as http:
            client = UpstreamClient(http, http, lambda *_: None)
            for number in range(count):
                try:
                    await client.call_service(make_call(number))
                    context.outcomes.append("ran")
                except StageError as exc:
                    context.outcomes.append(
                        f"{exc.kind.value} {exc.verdict.label}"
                    )

    run_virtual(run)


@then("their outcomes are {outcomes}")
def then_outcomes(context, outcomes):
    assert context.outcomes == outcomes.split(", "), context.outcomes


@then("every call with the outcome not_run was refused")
def then_refused(context):
    for outcome, sending in zip(
        context.outcomes, context.upstream.sendings, strict=True
    ):
        assert not (sending.ran and "not_run" in outcome), context.outcomes


@then("{count:d} connections were opened")
def then_connections(context, count):
    assert len(context.upstream.connections) == count


def make_control(http):
    return ControlClient(http, lambda _name: False, lambda _name, _report: None)


async def read_state(control):
    try:
        return (await control.probe(UPSTREAM)).state
    except (MessageError, httpx.HTTPError):
        return "nothing"


@when("its load is read, and twice more after it has begun to leave")
def when_loads(context):
    documents = context.upstream.documents
    documents["/v1/load"] = {"state": "serving", **REPORT}

    async def run():
        async with make_client(context) as http:
            control = make_control(http)
            context.states = [await read_state(control)]
            documents["/v1/load"] = {"state": "leaving", **REPORT}
            context.states += [await read_state(control) for _ in range(2)]

    run_virtual(run)


@then("it was read as {states}")
def then_states(context, states):
    assert context.states == states.split(", "), context.states


@when("its load is read and it gets an order")
def when_order(context):
    context.upstream.documents["/v1/load"] = {"state": "serving", **REPORT}
    context.answer = "nothing"
    order = Order(UPSTREAM, 1, EngineState("m", "", "1", ""), True)

    async def run():
        async with make_client(context) as http:
            control = make_control(http)
            assert await read_state(control) == "serving"
            try:
                status = await control.send_order(order, lambda: None)
                context.answer = str(status)
            except httpx.HTTPError:
                return

    run_virtual(run)


@then("the order was answered with {answer}")
@then("the list was answered with {answer}")
def then_answer(context, answer):
    assert context.answer == answer, context.answer


@when("it is asked as the platform for the configuration and for the list")
def when_platform(context):
    context.upstream.documents["/v1/instances"] = {
        "revision": 9,
        "instances": [],
    }
    context.answer = "nothing"

    async def run():
        async with make_client(context) as http:
            platform = PlatformClient(http)
            assert (await platform.watch_config(5, 1.0)).text is None
            try:
                reply = await platform.watch_instances(7, 1.0)
            except PlatformError:
                return
            context.answer = f"revision {reply.revision}"

    run_virtual(run)


@given("a server on a socket that {repeats}")
def given_server(context, repeats):
    context.repeats = repeats == "repeats"


@when("{count:d} requests are sent with the {name} client of an instance")
def when_sent(context, count, name):
    async def send(clients, url):
        for _ in range(count):
            await get(getattr(clients, name), url)

    run_server(context, 10, send)


@when("{count:d} requests are sent at once over at most 1 connection")
def when_sent_at_once(context, count):
    async def send(clients, url):
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(get, clients.pooled, url)

    run_server(context, 1, send)


async def get(client, url):
    resp = await client.get(url)
    assert resp.content == b"{}", resp


def run_server(context, connections_max, send):
    """Runs a server, and a function with the clients of an instance."""
    context.accepted = 0

    async def serve(stream):
        context.accepted += 1
        parser = h11.Connection(h11.SERVER)
        async with stream:
            async for data in stream:
                parser.receive_data(data)
                await answer(stream, parser)

    async def answer(stream, parser):
        headers = []
        while (event := parser.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Request):
                headers = [("content-length", "2")]
                if context.repeats:
                    headers += [
                        h for h in event.headers if h[0] == SENDING_HEADER
                    ]
            elif isinstance(event, h11.EndOfMessage):
                resp = h11.Response(status_code=200, headers=headers)
                data = parser.send(resp) + parser.send(h11.Data(data=b"{}"))
                await stream.send(data + parser.send(h11.EndOfMessage()))
                parser.start_next_cycle()

    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            async with open_clients(connections_max, address) as clients:
                with anyio.fail_after(30):
                    await send(clients, f"http://{address}/")
            tasks.cancel_scope.cancel()

    anyio.run(run)


@then("{count:d} connections were accepted")
def then_accepted(context, count):
    assert context.accepted == count, context.accepted
