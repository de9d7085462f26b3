"""Steps with crowds of clients of a real entry process."""

import anyio
from behave import given, then, when

from applespring.load.check import Outcome
from features.fixtures.client_crowd import Crowd
from features.fixtures.process_figures import (
    LEFT_LIMIT_S,
    SEND_LIMIT_S,
    SOCKETS_AT_REST_MAX,
    ProcessFigures,
)
from features.fixtures.processes import Call, start_fleet

ENTRY = "entry-koper-1"


@given("an entry process with {memory:d} MB and {descriptors:d} descriptors")
def given_entry(context, memory, descriptors):
    start_fleet(
        context,
        entry_flags=[]
        if __import__("os").environ.get("OLD")
        else [
            "--memory-mb",
            str(memory),
            "--descriptors-max",
            str(descriptors),
        ],
    )


@when("the entry instance has {count:d} clients that {act}")
def when_entry_crowd(context, count, act):
    fleet = context.processes
    process = ProcessFigures(fleet.children[ENTRY])
    address = ("127.0.0.1", fleet.entries[ENTRY].port)

    def submit():
        call = Call(fleet, ENTRY, "ask")
        call.wait()
        return call

    async def run():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(process.watch_sockets)
            crowd = Crowd(act, count, address)
            tasks.start_soon(crowd.run)
            with anyio.move_on_after(SEND_LIMIT_S):
                await crowd.done.wait()
            await process.settle()
            context.call = await anyio.to_thread.run_sync(submit)
            crowd.leave()
            with anyio.move_on_after(LEFT_LIMIT_S):
                while process.sockets() > SOCKETS_AT_REST_MAX:
                    await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    context.lives = process.child.running
    if context.lives:
        context.peak_mb = process.peak_mb()
        context.sockets_left = process.sockets()
        print(f"peak: {context.peak_mb:.0f} MB")
    context.most_sockets = process.most_sockets
    print(f"most sockets: {process.most_sockets}")


@then("an ordinary submission was answered meanwhile")
def then_submission(context):
    assert context.call.result.outcome is Outcome.WHOLE, context.call.describe()
