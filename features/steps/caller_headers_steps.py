"""Steps with headers of callers that take far more than their bytes."""

import anyio
import orjson
from behave import given, then, when

from applespring.platform.wire import PlatformProtocol
from applespring.relay.upstream_connections import Connection
from features.fixtures.virtual import run_virtual


def decode(*headers):
    return PlatformProtocol().decode_request(
        "POST", b"/", [(b"Host", b"x"), *headers]
    )


@given('a request with "{name}: {value}"')
def given_number(context, name, value):
    if value == "1e9 written out":
        value = "1" + "0" * 400
    context.req = decode((name.encode(), value.encode()))


@then("the decoded {field} is {value:g}")
def then_number(context, field, value):
    assert getattr(context.req, field) == value, getattr(context.req, field)


@given("requests whose prompt parts have names of {size:d} bytes")
def given_parts(context, size):
    context.parts = []
    for last in "aab":
        name = "x" * (size - 1) + last
        req = decode((b"Prompt-Prefix", f"{name}:10".encode()))
        context.parts += req.prompt_parts


@then("their parts have names of at most {size:d} characters")
def then_short(context, size):
    assert [part.tokens for part in context.parts] == [10, 10, 10]
    for part in context.parts:
        assert len(part.name) <= size, len(part.name)


@then("equal names stay equal, and different ones different")
def then_equal(context):
    first, second, third = (part.name for part in context.parts)
    assert first == second != third


@given("a connection that has carried {count:d} ids of {size:d} bytes")
def given_connection(context, count, size):
    context.connection = Connection(None, "")
    context.ids = [str(n).ljust(size, "x") for n in range(count)]
    context.connection.record(context.ids)


@then("it remembers at most {count:d} characters")
def then_remembers(context, count):
    total = sum(len(mark) for mark in context.connection._marks)
    assert total <= count, total


@then("it knows which ids it has carried")
def then_knows(context):
    for request_id in context.ids:
        assert context.connection.has_carried([request_id])
        assert not context.connection.has_carried([request_id + "x"])


@when("a request with {count:d} pieces is sent, and one with {other:d}")
def when_pieces(context, count, other):
    context.replies = {}

    async def run():
        async with anyio.create_task_group() as tasks:
            await context.world.start("one", tasks)
            await anyio.sleep(1.0)
            for name, pieces in (("first", count), ("other", other)):
                context.replies[name] = await context.world.request(
                    "one",
                    "/staged/x",
                    request=name,
                    headers=[
                        (b"segments", b"%d" % pieces),
                        (b"segment-key", b"k"),
                    ],
                )
            tasks.cancel_scope.cancel()

    run_virtual(run)


@then("the first one is refused with {status:d} as not run")
def then_refused(context, status):
    reply = context.replies["first"]
    assert reply.status == status, (reply.status, reply.body[:300])
    assert orjson.loads(reply.body)["verdict"] == "not_run"


@then("the other one is answered")
def then_answered(context):
    assert context.replies["other"].status == 200
