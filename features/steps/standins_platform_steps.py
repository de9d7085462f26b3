"""Steps for the stand-in for the platform."""

import anyio
from behave import given, then, when

from features.fixtures.asgi import drive, run_virtual
from standins.platform import Platform

INSTANCE = {
    "name": "a",
    "role": "entry",
    "address": "127.0.0.1:1",
    "failure_domain": "koper",
    "state": "live",
}


def put(target, body):
    async def send(app):
        return await drive(app, "PUT", target, body)

    return send


async def prepare(context):
    app = Platform(limit_per_s=context.limit)
    for step in context.setup:
        assert (await step(app)).status == 200
    return app


def drive_during(context, target, after_s=0, event=None):
    async def scenario():
        app = await prepare(context)
        start = anyio.current_time()
        async with anyio.create_task_group() as tasks:

            async def change():
                await anyio.sleep(after_s)
                await event(app)

            if event:
                tasks.start_soon(change)
            context.answer = await drive(app, "GET", target)
            context.elapsed = anyio.current_time() - start

    run_virtual(scenario)


@given('a platform with the document "{text}"')
def given_platform(context, text):
    context.limit = 2000
    context.setup = [put("/admin/config", text.encode())]


@given("a platform that allows {limit:d} calls a second")
def given_limited(context, limit):
    context.limit = limit
    context.setup = [put("/admin/config", b"a = 1")]


@given('the document "{text}"')
def given_document(context, text):
    context.setup.append(put("/admin/config", text.encode()))


@given("the platform faults {spec}")
def given_platform_faults(context, spec):
    context.setup.append(put("/admin/faults", spec.encode()))


@when(
    "a watch after revision {after:d} waits {wait:d} s and "
    '"{text}" appears after {seconds:d} s'
)
def when_watch_change(context, after, wait, text, seconds):
    target = f"/v1/config?after={after}&wait_s={wait}"
    drive_during(context, target, seconds, put("/admin/config", text.encode()))


@when("a watch after revision {after:d} waits {wait:d} s")
def when_watch(context, after, wait):
    drive_during(context, f"/v1/config?after={after}&wait_s={wait}")


@when(
    "a watch after revision {after:d} waits {wait:d} s and "
    "an outage starts after {seconds:d} s"
)
def when_watch_outage(context, after, wait, seconds):
    outage = put("/admin/faults", {"outage": True})
    target = f"/v1/config?after={after}&wait_s={wait}"
    drive_during(context, target, seconds, outage)


@when("a list watch waits {wait:d} s and an instance appears after {s:d} s")
def when_list_watch(context, wait, s):
    publish = put("/admin/instances", [INSTANCE])
    drive_during(context, f"/v1/instances?after=0&wait_s={wait}", s, publish)


@when("{count:d} reads come at once and 1 a second later")
def when_reads(context, count):
    async def scenario():
        app = await prepare(context)
        answers = [await drive(app, "GET", "/v1/config") for _ in range(count)]
        await anyio.sleep(1)
        answers.append(await drive(app, "GET", "/v1/config"))
        context.statuses = [answer.status for answer in answers]

    run_virtual(scenario)


@when("the configuration is read")
def when_read(context):
    drive_during(context, "/v1/config")


@when('"{what}" is published')
def when_published(context, what):
    sends = {
        "1000001 bytes": put("/admin/config", b"#" * 1_000_001),
        "an instance without name": put(
            "/admin/instances", [{"role": "entry"}]
        ),
        "an unknown fault": put("/admin/faults", {"outrage": True}),
    }

    async def scenario():
        app = await prepare(context)
        context.answer = await sends[what](app)

    run_virtual(scenario)
    context.elapsed = 0


@then("the watch answers revision {revision:d} at {seconds:d} s")
def then_watch(context, revision, seconds):
    assert context.answer.headers["applespring-revision"] == str(revision)
    assert context.elapsed == seconds, context.elapsed


@then("the list answers revision {revision:d} at {seconds:d} s")
def then_list(context, revision, seconds):
    value = context.answer.json()
    assert value == {"revision": revision, "instances": [INSTANCE]}, value
    assert context.elapsed == seconds, context.elapsed


@then("the answer is {status:d} at {seconds:d} s")
def then_status_at(context, status, seconds):
    assert context.answer.status == status, context.answer.status
    assert context.elapsed == seconds, context.elapsed


@then("the answer is {status:d}")
def then_status(context, status):
    assert context.answer.status == status, context.answer.status


@then('the statuses are "{statuses}"')
def then_statuses(context, statuses):
    assert context.statuses == [int(s) for s in statuses.split(",")]


@then('the answer is revision {revision:d} with "{text}"')
def then_revision(context, revision, text):
    assert context.answer.headers["applespring-revision"] == str(revision)
    assert context.answer.body.decode() == text


@then("the connection is reset at {seconds:d} s")
def then_reset_at(context, seconds):
    assert context.answer.aborted
    assert context.elapsed == seconds, context.elapsed


@then('the answer is not "{text}"')
def then_not(context, text):
    assert context.answer.status == 200
    assert context.answer.body != text.encode()
