"""Steps about answers of stage upstreams that are not what they should be."""

import collections
import contextlib
import itertools
import json
import math
import string

import httpx
from behave import given, then
from hypothesis import given as generate
from hypothesis import settings
from hypothesis import strategies as st
from loguru import logger

from applespring.core.errors import MessageError
from applespring.platform.wire import PlatformProtocol

PROTOCOL = PlatformProtocol()
VISIBLE = frozenset(string.ascii_letters + string.digits + string.punctuation)
BODIES = {
    "fast bytes": lambda: itertools.repeat(b"x" * 50_000),
    "slow bytes": lambda: itertools.cycle([b"x", 0.05]),
    "a body that is cut": lambda: [b"x", httpx.RemoteProtocolError("cut")],
}


def set_answer(context, target, make_body):
    """Sets the body of each answer of an upstream, and keeps the log lines.

    Args:
        context: Context of the scenario.
        target: Target of the calls that get the answer.
        make_body: Returns the chunks, pauses and errors of one body.
    """
    context.world.upstreams["s0"].bodies[target] = make_body
    context.records = []
    sink = logger.add(
        lambda line: context.records.append(line.record), level="DEBUG"
    )
    context.add_cleanup(logger.remove, sink)


@given("a stage upstream that answers {target} with {what}")
def given_answer(context, target, what):
    set_answer(context, target, BODIES[what])


@given("a stage upstream whose answer to {target} is the JSON {text}")
def given_json(context, target, text):
    set_answer(context, target, lambda: [text.encode()])


@given("the status of its answers to {target} is {status:d}")
def given_target_status(context, target, status):
    context.world.upstreams["s0"].statuses[target] = status


@given("its status is {status:d}")
def given_status(context, status):
    context.world.upstreams["s0"].statuses["/report"] = status


@then(
    "any of {count:d} generated answers is malformed or has usable handles and "
    "numbers"
)
def then_typed(context, count):
    del context
    scalars = (
        st.none()
        | st.booleans()
        | st.integers()
        | st.floats()
        | st.text(max_size=9)
    )
    values = st.recursive(
        scalars,
        lambda inner: (
            st.lists(inner, max_size=2)
            | st.dictionaries(st.text(max_size=2), inner, max_size=2)
        ),
        max_leaves=4,
    )
    item = st.fixed_dictionaries(
        {}, optional={"handle": values, "reason": values}
    )
    calls = st.fixed_dictionaries(
        {"items": st.lists(item | values, max_size=2)}
    )
    reports = st.fixed_dictionaries({"freeMb": values})
    pieces = [object()]
    accepted = collections.Counter()

    @settings(
        max_examples=count, deadline=None, derandomize=True, database=None
    )
    @generate(calls | values, reports | values)
    def run(call, report):
        with contextlib.suppress(MessageError):
            (reply,) = PROTOCOL.decode_call(json.dumps(call).encode(), pieces)
            accepted["call"] += 1
            assert isinstance(reply.handle, str)
            assert set(reply.handle) <= VISIBLE - {","}, reply.handle
            assert isinstance(reply.failure, str)
            assert reply.handle or reply.failure
        with contextlib.suppress(MessageError):
            free_bytes = PROTOCOL.decode_report(json.dumps(report).encode())
            accepted["report"] += 1
            assert 0.0 <= free_bytes < math.inf

    run()
    assert accepted["call"] and accepted["report"], accepted


@then("the headers of any of {count:d} generated answers are decoded")
def then_headers(context, count):
    del context
    names = st.sampled_from(
        (
            "Request-Id",
            "Response-Signature",
            "Not-Executed",
            "Retry-After",
            "Server-Limit",
            "Server-Load",
            "Server-Leaving",
            "Cold-Remaining-Ms",
        )
    )
    numbers = (
        st.integers().map(str)
        | st.floats().map(str)
        | st.just("9" * 5000)
        | st.just("1." + "9" * 5000)
    )
    texts = st.text(st.characters(max_codepoint=255), max_size=12)
    values = (
        numbers | texts | st.lists(numbers | texts, max_size=5).map(",".join)
    )
    headers = st.lists(st.tuples(names, values), max_size=4)

    @settings(
        max_examples=count, deadline=None, derandomize=True, database=None
    )
    @generate(st.sampled_from((200, 421, 429, 500, 503)), headers)
    def run(status, pairs):
        raw = [
            (name.encode(), value.encode("latin-1")) for name, value in pairs
        ]
        report = PROTOCOL.decode_reply(status, raw).self_report
        for number in (report.pause_s, report.rate_limit, report.cold_s):
            assert number is None or 0.0 <= number < math.inf, number

    run()


@then("a log line of the kind {event} says {detail}")
def then_logged(context, event, detail):
    messages = [
        r["message"]
        for r in context.records
        if r["extra"].get("event") == event
    ]
    assert any(detail in message for message in messages), messages
