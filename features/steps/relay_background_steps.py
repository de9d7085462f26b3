"""Steps about background work of an instance that fails."""

import json

import anyio
from behave import then, when
from loguru import logger

from features.steps.relay_crash_steps import run_in_world
from features.steps.relay_notice_steps import send


class FaultyProtocol:
    """A protocol of which one function raises an error a number of times."""

    def __init__(self, protocol, name, count):
        self._protocol = protocol
        self._name = name
        self._left = count

    def __getattr__(self, name):
        """Returns a function of the protocol.

        Raises:
            RuntimeError: It is the one that fails.
        """
        if name == self._name and self._left:
            self._left -= 1
            raise RuntimeError("nobody foresaw this")
        return getattr(self._protocol, name)


@when(
    "{what} fails {times:d} times with an unexpected error while {count:d} "
    "staged requests come"
)
def when_work_fails(context, what, times, count):
    context.fault_lines = []
    sink = logger.add(
        lambda line: context.fault_lines.append(line.record),
        filter=lambda record: record["extra"].get("event") == "fault",
    )
    context.add_cleanup(logger.remove, sink)

    async def scenario(world):
        scheduler = world.instances["i0"].scheduler
        scheduler._protocol = FaultyProtocol(scheduler._protocol, what, times)
        async with anyio.create_task_group() as callers:
            for number in range(count):
                await send(context, callers, f"r{number}", "staged", "i0")
                await anyio.sleep(0.05)
        async with anyio.create_task_group() as callers:
            await send(context, callers, "next", "staged", "i0")

    run_in_world(context, scenario)


@then("every caller has got its whole answer, or a refusal that says not run")
def then_answered(context):
    for name, reply in context.world.replies.items():
        assert reply.ended and not reply.cut, name
        if reply.status != 200:
            assert reply.status == 503, (name, reply.status)
            assert json.loads(reply.body)["verdict"] == "not_run", reply.body


@then("{count:d} log lines say that {work} failed with an unexpected error")
def then_logged(context, count, work):
    found = [line["message"] for line in context.fault_lines]
    assert len([m for m in found if work in m]) == count, found
