"""Steps for service stand-ins and for faults of all upstream stand-ins."""

import anyio
import orjson
from behave import given, then, when

from applespring.core.integrity import digest
from features.fixtures.asgi import drive, run_virtual
from features.fixtures.upstream import save_executions, start_standin
from standins.engine import Engine
from standins.service import Service


def call_body(name):
    return {"request_id": name, "stage": "s", "attempt": 1, "input": name}


@given("{kind} stand-in with {options}")
def given_upstream(context, kind, options):
    factory = {"a service": Service, "an engine": Engine}[kind]
    context.faults = []
    context.make = lambda: factory(**orjson.loads(options))


@given("{kind} stand-in")
def given_default(context, kind):
    given_upstream(context, kind, "{}")


@given("the faults {faults}")
def given_faults(context, faults):
    context.faults = orjson.loads(faults)


async def send_calls(context, app, names, key="", leave_s=None):
    headers = {"Idempotency-Key": key} if key else {}
    started_at = anyio.current_time()
    context.answers, context.ended = {}, {}

    async def send(name):
        context.answers[name] = await drive(
            app, "POST", "/v1/call", call_body(name), headers, leave_s
        )
        context.ended[name] = round(anyio.current_time() - started_at, 6)

    async with anyio.create_task_group() as tasks:
        for name in names.split(","):
            tasks.start_soon(send, name)
            # Fixes the order of arrival, which trio randomizes otherwise.
            await anyio.wait_all_tasks_blocked()


def send_all(context, names, key="", leave_s=None):
    async def scenario():
        app = await start_standin(context)
        await send_calls(context, app, names, key, leave_s)
        await save_executions(context, app)

    run_virtual(scenario)


@when('calls "{names}" are sent')
def when_calls(context, names):
    send_all(context, names)


@when('calls "{names}" are sent with key "{key}"')
def when_calls_key(context, names, key):
    send_all(context, names, key)


@when('call "{name}" is sent and the client disconnects after {seconds:d} s')
def when_disconnects(context, name, seconds):
    send_all(context, name, leave_s=seconds)


@when('call "{name}" is sent and the faults are cleared after {seconds:d} s')
def when_cleared(context, name, seconds):
    async def scenario():
        app = await start_standin(context)

        async def clear():
            await anyio.sleep(seconds)
            await drive(app, "PUT", "/admin/faults", {"faults": []})

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(clear)
            await send_calls(context, app, name)

    run_virtual(scenario)


@when('calls "{names}" are sent one after the other')
def when_sequential(context, names):
    async def scenario():
        app = await start_standin(context)
        statuses = []
        for spec in getattr(context, "refused", []):
            answer = await drive(app, "PUT", "/admin/faults", {"faults": spec})
            assert answer.status == 400, answer.body
        for name in names.split(","):
            await send_calls(context, app, name)
            statuses.append(context.answers[name].status)
        context.statuses = statuses

    run_virtual(scenario)


@when("the faults {faults} are refused")
def when_refused(context, faults):
    context.refused = [orjson.loads(faults)]


@when("the load is read {first:d} s and {second:d} s after a call started")
def when_load(context, first, second):
    async def scenario():
        app = await start_standin(context)
        # Starts the history early enough for a report from before the call.
        await drive(app, "GET", "/v1/load")
        await anyio.sleep(10)
        context.loads = []

        async def read(after_s):
            await anyio.sleep(after_s)
            context.loads.append(await drive(app, "GET", "/v1/load"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read, first)
            tasks.start_soon(read, second)
            await send_calls(context, app, "a")

    run_virtual(scenario)


@when('"{method}" "{path}" is sent')
def when_sent(context, method, path, sending=""):
    headers = {"Applespring-Sending": sending} if sending else {}

    async def scenario():
        app = await start_standin(context)
        context.answer = await drive(app, method, path, headers=headers)

    run_virtual(scenario)


@when('"{method}" "{path}" is sent as the sending "{sending}"')
def when_sent_as(context, method, path, sending):
    when_sent(context, method, path, sending)


@then('the answer repeats the sending "{sending}"')
def then_repeats(context, sending):
    headers = context.answer.headers
    assert headers["applespring-sending"] == sending, headers


@when("its state becomes leaving and a call follows")
def when_leaving(context):
    async def scenario():
        app = await start_standin(context)
        await drive(app, "PUT", "/admin/state", {"state": "leaving"})
        await send_calls(context, app, "a")
        context.load = (await drive(app, "GET", "/v1/load")).json()

    run_virtual(scenario)


@then("the answer and the load report say leaving")
def then_leaving(context):
    headers = context.answers["a"].headers
    assert headers["applespring-state"] == "leaving"
    assert context.load["state"] == "leaving"


@then("the upstream answers {status:d}")
def then_upstream_status(context, status):
    assert context.answer.status == status, context.answer.status


@then('call "{name}" answers its own output with a matching digest')
def then_own(context, name):
    value = context.answers[name].json()
    assert value["request_id"] == name
    assert (value["stage"], value["attempt"]) == ("s", 1)
    assert value["output"]["text"] == name
    assert value["digest"] == digest(value["output"])


def executions_of(context, name):
    return [e for e in context.executions if e["request_id"] == name]


@then('"{name}" was executed {times:d} times')
def then_executed(context, name, times):
    assert len(executions_of(context, name)) == times, context.executions


@then('"{name}" was executed {times:d} times and {how}')
def then_executed_how(context, name, times, how):
    done = executions_of(context, name)
    assert len(done) == times, done
    assert all(e["completed"] == (how == "completed") for e in done), done
    assert all(e["finished"] is not None for e in done), done


@then('"{key}" was executed {times:d} times in all')
def then_key_executed(context, key, times):
    done = [e for e in context.executions if e["key"] == key]
    assert len(done) == times, done


@then("the running calls are {count:d}")
def then_running(context, count):
    assert context.slot_queue.running == count


@then('the calls ended after "{seconds}" s')
def then_ended(context, seconds):
    expected = [float(s) for s in seconds.split(",")]
    assert sorted(context.ended.values()) == expected, context.ended


@then('call "{name}" answers status {status:d}')
def then_call_status(context, name, status):
    assert context.answers[name].status == status


@then('call "{name}" answers {status:d} with Applespring-Not-Run')
def then_not_run(context, name, status):
    answer = context.answers[name]
    assert answer.status == status, answer.status
    assert answer.headers["applespring-not-run"] == "true"


@then('the call statuses are "{statuses}"')
def then_call_statuses(context, statuses):
    assert context.statuses == [int(s) for s in statuses.split(",")]


@then('the running calls reported are "{counts}"')
def then_reported(context, counts):
    reported = [answer.json()["running"] for answer in context.loads]
    assert reported == [int(c) for c in counts.split(",")], reported
    assert [a.json()["age_ms"] for a in context.loads] == [2000, 2000]


@then('call "{name}" shows "{effect}"')
def then_effect(context, name, effect):
    answer = context.answers[name]
    assert describe(answer, context.ended[name]) == effect


def describe(answer, ended):
    reset = "reset" if answer.aborted else ""
    if answer.status is None:
        return reset
    if answer.status == 503:
        marked = "applespring-not-run" in answer.headers
        return "not run" if marked else "refused"
    if len(answer.body) == 9:
        return f"cut {reset}".strip()
    half = len(answer.body) // 2
    if answer.body[:half] == answer.body[half:]:
        return "twice"
    try:
        value = answer.json()
    except orjson.JSONDecodeError:
        return "no JSON"
    if value["request_id"] != "a":
        return "other id"
    return "3 s late" if ended == 3.02 else "complete"
