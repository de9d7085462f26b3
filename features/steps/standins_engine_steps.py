"""Steps for the stand-in for an engine."""

import anyio
import orjson
from behave import then, when

from features.fixtures.asgi import drive, run_virtual
from features.fixtures.upstream import save_executions, start_standin

PATH = "/v1/completions"


def completion(request_id, prompt, **members):
    call = {"request_id": request_id, "attempt": 1, "stream": True}
    return call | {"prompt": prompt} | members


def with_app(context, function):
    async def scenario():
        app = await start_standin(context)
        await function(app)
        await save_executions(context, app)

    run_virtual(scenario)


async def run_group(app, bodies):
    answers = []

    async def run(body):
        answers.append(await drive(app, "POST", PATH, body))

    async with anyio.create_task_group() as tasks:
        for body in bodies:
            tasks.start_soon(run, body)
            await anyio.wait_all_tasks_blocked()
    return answers


@when('a prompt "{prompt}" is generated completely and from token {index:d}')
def when_resumed(context, prompt, index):
    async def run(app):
        first = completion("a", prompt)
        second = completion("a", prompt, resume_from=index)
        context.first = (await drive(app, "POST", PATH, first)).tokens()
        context.second = (await drive(app, "POST", PATH, second)).tokens()

    with_app(context, run)


@then("the second stream equals the first from token {index:d}")
def then_continues(context, index):
    assert len(context.first) == 10, context.first
    assert context.first[-1] == "[DONE]"
    assert context.second == context.first[index:]


@when("{few:d} and then {many:d} calls of {count:d} tokens run at once")
def when_groups(context, few, many, count):
    async def run(app):
        context.gaps = []
        for size in (few, many):
            prompts = [f"{size}-{i} tokens={count}" for i in range(size)]
            bodies = [completion(p, p) for p in prompts]
            # The gap is measured halfway, when all calls of the group run.
            half = count // 2
            context.gaps.append(
                {
                    round(answer.times[half + 1] - answer.times[half], 6)
                    for answer in await run_group(app, bodies)
                }
            )

    with_app(context, run)


@then('the gaps between tokens are "{seconds}" s')
def then_gap(context, seconds):
    assert context.gaps == [{float(s)} for s in seconds.split(",")]


@when('calls with priorities "{priorities}" arrive in this order')
def when_priorities(context, priorities):
    async def run(app):
        bodies = [
            completion(p, "x tokens=4", priority=int(p))
            for p in priorities.split(",")
        ]
        await run_group(app, bodies)

    with_app(context, run)


@then('they started in the order "{order}"')
def then_order(context, order):
    started = [e["request_id"] for e in context.executions]
    assert started == order.split(","), started


@when('a long call ends by "{way}" after {seconds:d} s while another waits')
def when_ended(context, way, seconds):
    async def run(app):
        context.started_at = anyio.current_time()
        long = completion("long", "x tokens=200")
        leave_s = seconds if way == "disconnect" else None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(drive, app, "POST", PATH, long, None, leave_s)
            await anyio.wait_all_tasks_blocked()
            other = completion("other", "y tokens=4")
            tasks.start_soon(drive, app, "POST", PATH, other)
            await anyio.sleep(seconds)
            if way == "cancel":
                wanted = {"request_id": "long"}
                await drive(app, "POST", "/v1/cancel", wanted)

    with_app(context, run)


@then("the other call starts at {seconds:d} s")
def then_other(context, seconds):
    started = {e["request_id"]: e["started"] for e in context.executions}
    assert round(started["other"] - context.started_at, 6) == seconds, started


@then("the long call is not completed")
def then_long(context):
    done = {e["request_id"]: e["completed"] for e in context.executions}
    assert done == {"long": False, "other": True}, done


@when("a waiting call is cancelled")
def when_waiting_cancelled(context):
    async def run(app):
        async with anyio.create_task_group() as tasks:
            first = completion("first", "x tokens=9")
            tasks.start_soon(drive, app, "POST", PATH, first)
            await anyio.wait_all_tasks_blocked()

            async def wait():
                body = completion("second", "y tokens=9")
                context.answer = await drive(app, "POST", PATH, body)

            tasks.start_soon(wait)
            await anyio.wait_all_tasks_blocked()
            wanted = {"request_id": "second"}
            await drive(app, "POST", "/v1/cancel", wanted)

    with_app(context, run)


@then("it answers {status:d} with Applespring-Not-Run and is not in the record")
def then_cancelled(context, status):
    assert context.answer.status == status
    then_marked(context)
    assert [e["request_id"] for e in context.executions] == ["first"]
    assert context.slot_queue.running == 0


@when("the same prompt of {size:d} bytes is generated twice")
def when_twice(context, size):
    async def run(app):
        context.first_token_s = []
        for _ in range(2):
            started_at = anyio.current_time()
            body = completion("a", "x" * size, max_tokens=1)
            answer = await drive(app, "POST", PATH, body)
            context.first_token_s.append(round(answer.times[0] - started_at, 6))

    with_app(context, run)


@then('the first tokens took "{seconds}" s')
def then_first(context, seconds):
    assert context.first_token_s == [float(s) for s in seconds.split(",")], (
        context.first_token_s
    )


@when("prompts of {first:d} and {second:d} bytes are cached")
def when_cached(context, first, second):
    async def run(app):
        context.events = {}
        for size, text in ((first, "x"), (second, "y")):
            body = completion("a", text * size, max_tokens=1)
            await drive(app, "POST", PATH, body)
        for wait_s in (2, 4):
            await anyio.sleep(2)
            answer = await drive(app, "GET", "/v1/cache_events?after=0")
            context.events[wait_s] = answer.json()["events"]

    with_app(context, run)


@then(
    "after 2 s there are {early:d} events and after 4 s "
    '"stored" {stored:d} and "evicted" {evicted:d}'
)
def then_events(context, early, stored, evicted):
    assert len(context.events[2]) == early
    kinds = [event["event"] for event in context.events[4]]
    assert kinds.count("stored") == stored, kinds
    assert kinds.count("evicted") == evicted, kinds


@then("some sequence numbers are missing from the events")
def then_missing(context):
    numbers = [event["seq"] for event in context.events[4]]
    assert 0 < len(numbers) < 64, numbers
    assert numbers == sorted(set(numbers))


@when('orders for versions "{a}" and "{b}" have fences {x:d} and {y:d}')
def when_orders(context, a, b, x, y):
    async def run(app):
        for version, fence in ((a, x), (b, y)):
            order = {"fence": fence, "version": version}
            context.answer = await drive(app, "POST", "/v1/orders", order)
        context.load = (await drive(app, "GET", "/v1/load")).json()

    with_app(context, run)


@then('the last order answers {status:d} and version "{version}" is loaded')
def then_loaded(context, status, version):
    assert context.answer.status == status
    assert context.load["version"] == version


@when('a prompt "{prompt}" is generated')
def when_generated(context, prompt):
    async def run(app):
        body = completion("a", prompt)
        context.answer = await drive(app, "POST", PATH, body)

    with_app(context, run)


@when('a prompt "{prompt}" is generated and the faults end after {s:d} s')
def when_stalled(context, prompt, s):
    async def run(app):
        context.started_at = anyio.current_time()

        async def clear():
            await anyio.sleep(s)
            await drive(app, "PUT", "/admin/faults", {"faults": []})

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(clear)
            body = completion("a", prompt)
            context.answer = await drive(app, "POST", PATH, body)

    with_app(context, run)


@then("{count:d} tokens came before {a:d} s and the others at {b:d} s or later")
def then_stalled(context, count, a, b):
    times = [at - context.started_at for at in context.answer.times]
    assert len(times) == 5, times
    assert max(times[:count]) < a
    assert min(times[count:]) >= b, times


def describe_token(event):
    if event == "[DONE]":
        return "DONE"
    if event is None:
        return "garbage"
    return str(event["index"]) if event["request_id"] == "a" else "other"


@then('the token indexes are "{indexes}"')
def then_indexes(context, indexes):
    seen = [describe_token(event) for event in context.answer.tokens()]
    seen += ["reset"] if context.answer.aborted else []
    assert seen == indexes.split(","), seen


@when("a call with {{{change}}} is sent")
def when_bad_call(context, change):
    async def run(app):
        body = completion("a", "x") | orjson.loads("{" + change + "}")
        context.answer = await drive(app, "POST", PATH, body)

    with_app(context, run)
    assert context.executions == []


@then("the answer has Applespring-Not-Run")
def then_marked(context):
    assert context.answer.headers["applespring-not-run"] == "true"
