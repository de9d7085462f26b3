"""Steps about answers of stage upstreams that are not what they should be."""

import itertools

import httpx
from behave import given, then
from loguru import logger

ANSWERS = {
    "fast bytes": lambda: itertools.repeat(b"x" * 50_000),
    "slow bytes": lambda: itertools.cycle([b"x", 0.05]),
    "a body that is cut": lambda: [b"x", httpx.RemoteProtocolError("cut")],
}


@given("a stage upstream that answers {target} with {what}")
def given_answer(context, target, what):
    context.world.upstreams["s0"].bodies[target] = ANSWERS[what]
    context.records = []
    sink = logger.add(
        lambda line: context.records.append(line.record), level="DEBUG"
    )
    context.add_cleanup(logger.remove, sink)


@then("a log line of the kind {event} says {detail}")
def then_logged(context, event, detail):
    messages = [
        r["message"]
        for r in context.records
        if r["extra"].get("event") == event
    ]
    assert any(detail in message for message in messages), messages
