"""Steps about retry budgets, events, logs and priorities of an instance."""

import contextlib
import os

import anyio
from behave import given, then, when
from loguru import logger

from applespring.core.events import EventSplitter
from applespring.core.route import ClientAccount
from applespring.core.window import AttemptWindow
from applespring.platform.document import decode_document
from applespring.relay.exchange import Exchange
from applespring.relay.log import BUFFER_LINES_MAX, LogWriter
from applespring.relay.protocol import CallerRequest
from features.fixtures.platform_text import make_configuration

# Far above what reading a pipe takes.
READ_LIMIT_S = 20.0


@given("a retry budget of {ratio:g} a request plus {extra:d} shared in {s:d} s")
def given_budget(context, ratio, extra, s):
    context.window = AttemptWindow(ratio, s, extra)


@when(
    "{count:d} requests arrive at {at:d} and each asks for an added attempt "
    "among {instances:d} instances"
)
def when_requests(context, count, at, instances):
    context.instances = instances
    for _ in range(count):
        context.window.record_request(at)
    context.granted = sum(
        context.window.try_acquire(at, instances) for _ in range(count)
    )


@then("at most {count:d} are granted")
def then_granted(context, count):
    assert 0 < context.granted <= count, context.granted


@then("none is granted at {at:d}")
def then_none(context, at):
    assert not context.window.try_acquire(at, context.instances)


@then("one is granted at {at:d} after {count:d} more requests")
def then_one(context, at, count):
    for _ in range(count):
        context.window.record_request(at)
    assert context.window.try_acquire(at, context.instances)


@given('the stream "{text}" arrives in chunks of {size:d} bytes')
def given_stream(context, text, size):
    data = text.replace("|", "\n").encode()
    context.splitter = EventSplitter()
    context.forwarded = b"".join(
        context.splitter.feed(data[at : at + size])
        for at in range(0, len(data), size)
    )


@then("the events up to {event:d} are forwarded")
def then_forwarded(context, event):
    assert context.forwarded == b"id: 1\ndata: a\n\n"
    assert context.splitter.last_id == str(event)


@then("an unfinished event is buffered")
def then_event_buffered(context):
    assert context.splitter.partial
    context.splitter.drop_partial()
    assert not context.splitter.partial


@given("a full log pipe that is not read")
def given_full_log(context):
    context.reader, context.fd = os.pipe()
    context.log = LogWriter(context.fd)
    context.log.install("INFO")
    while context.log.flush():
        logger.info("x" * 1000)


@when("{lines:d} lines and then {warnings:d} warnings are logged")
def when_logged(context, lines, warnings):
    for n in range(lines):
        logger.info("line {}", n)
    for n in range(warnings):
        logger.warning("warning {}", n)


@then("nothing blocks")
def then_not_blocked(context):
    assert not context.log.flush() or context.log._partial == b""


@then("at most {count:d} lines are buffered, the warnings among them")
def then_buffered(context, count):
    assert count == BUFFER_LINES_MAX
    buffered = context.log._partial
    assert buffered.count(b"\n") <= count + 1
    assert buffered.count(b"warning") == 100
    assert context.log.dropped_total >= 3000


@when("the pipe is read again")
def when_reads(context):
    os.set_blocking(context.reader, False)
    context.read = b""
    for _ in range(200):
        with contextlib.suppress(BlockingIOError):
            context.read += os.read(context.reader, 1 << 16)
        context.log.flush()
    logger.remove()


@then("the number of dropped lines is logged")
def then_dropped_logged(context):
    assert b"log lines left out" in context.read
    os.close(context.reader)
    os.close(context.fd)


@given("requests of these accounts and routes")
def given_priorities(context):
    document = decode_document(make_configuration())
    context.priorities = {}
    for row in context.table:
        route = document.routes[0]
        route.priority = int(row["route priority"])
        account = row["account priority"]
        client = ClientAccount("x", ["k"], int(account)) if account else None
        exchange = Exchange(
            CallerRequest(
                request_id="r",
                method="POST",
                target=b"/",
                host="h",
                headers=(),
            ),
            document,
            route,
            "pool",
            client,
            0.0,
            None,
            lambda: False,
        )
        context.priorities[row["request"]] = exchange.stage_priority


@then("their order in the queues is {names}")
def then_order(context, names):
    ordered = sorted(context.priorities, key=context.priorities.get)
    assert ordered == names.split(", "), context.priorities


@given(
    "a log whose reader has paused while {count:d} lines of {size:d} bytes came"
)
def given_paused_reader(context, count, size):
    context.paused_lines = count
    # The other fields of a line have over 100 bytes.
    half = "x" * ((size - 100) // 2)
    context.line_fields = {"detail": half, "route": half}


@when("the reader goes on")
def when_reader_goes_on(context):
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    log = LogWriter(writer)
    log.install("INFO")
    context.read = b""

    async def read_until(text):
        with anyio.fail_after(READ_LIMIT_S):
            while text not in context.read:
                with contextlib.suppress(BlockingIOError):
                    context.read += os.read(reader, 1 << 16)
                await anyio.sleep(0.001)

    async def run():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(log.run)
            for n in range(context.paused_lines):
                logger.bind(**context.line_fields).info("paused line {};", n)
            with anyio.fail_after(READ_LIMIT_S):
                while len(log._partial) < 1 << 20:
                    await anyio.sleep(0.01)
            await read_until(b"paused line %d;" % (context.paused_lines - 1))
            logger.info("later line;")
            await read_until(b"later line;")
            tasks.cancel_scope.cancel()

    anyio.run(run)
    logger.remove()


@then("all of these lines arrive")
def then_all_arrive(context):
    count = context.read.count(b"paused line ")
    assert count == context.paused_lines, count


@then("so does one that is logged then")
def then_later_arrives(context):
    assert b"later line;" in context.read
