"""Steps about answers of the store that belong to another call."""

import anyio
import orjson
from behave import given, then, when

from applespring.core.errors import ApplespringError
from applespring.platform.store import Store
from features.fixtures.virtual import run_virtual
from features.fixtures.wire import WireUpstream, head

OWN = {"at": 9, "items": [{"key": "own", "revision": 8}]}
ANSWERS = {
    "a page": {"at": 4, "items": [{"key": "a", "revision": 3}]},
    "an event": {"at": 6, "events": [{"key": "a", "revision": 6}]},
    "an older revision": {"at": 5, "events": []},
}


def framed(document):
    body = orjson.dumps(document)
    return head(framing=b"Content-Length: %d\r\n" % len(body)) + body


@given("a store that answers the first call after {delay:g} s")
def given_late(context, delay):
    late = framed(ANSWERS["a page"])
    context.wire = WireUpstream([delay, late], [framed(OWN)])


@given("a store whose connection carries {answers}")
def given_answers(context, answers):
    script = []
    for name in answers.split(", "):
        script += [framed(ANSWERS[name]), 0.01]
    context.wire = WireUpstream(script, [framed(OWN)])


async def send(store, call):
    """Sends a call; a watch begins at the revision of the answer before."""
    if "read" in call:
        await store.read_prefix("")
    else:
        await store.watch("", 6 if "after it" in call else 4, 1.0)


@when("{call} is given up after {wait:g} s, and the store is read 2 s later")
def when_given_up(context, call, wait):
    async def run():
        store = Store(context.wire.transport, "10.0.0.1:80")
        with anyio.move_on_after(wait):
            try:
                await send(store, call)
                raise AssertionError("the call was answered")
            except ApplespringError:
                pass
        await anyio.sleep(2.0)
        context.read = await store.read_prefix("")

    run_virtual(run)


@when("{calls} are sent to it")
def when_sent(context, calls):
    first, second = calls.split(", then ")
    context.failure = context.read = None

    async def run():
        store = Store(context.wire.transport, "10.0.0.1:80")
        await send(store, first)
        try:
            await send(store, second)
        except ApplespringError as exc:
            context.failure = exc
        try:
            context.read = await store.read_prefix("")
        except ApplespringError:
            return

    run_virtual(run)


@then("the second of them fails")
def then_fails(context):
    assert context.failure is not None


@then("that read gets its own answer")
@then("a read after it gets its own answer")
def then_own(context):
    assert context.read == (OWN["items"], OWN["at"]), context.read


@then("it was on another connection")
def then_other(context):
    first, _ = context.wire.connections
    assert first.closed
