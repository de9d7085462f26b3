"""Steps with crowds of clients that keep to no limit, and real processes."""

import contextlib
import signal
import tempfile
from collections import Counter

import anyio
from behave import given, then, when

from demo.process import PortChooser
from features.fixtures.client_crowd import (
    BODY_BYTES_MAX,
    Client,
    Crowd,
    make_head,
    send_bytes,
)
from features.fixtures.process_figures import (
    LEFT_LIMIT_S,
    SEND_LIMIT_S,
    SOCKETS_AT_REST_MAX,
    WAIT_LIMIT_S,
)
from features.fixtures.relay_process import (
    CALLER_PORT,
    METRICS_PORT,
    PEER_PORT,
    READY_PORT,
    RelayProcess,
)
from soak.net import ConnError, connect

# Time in which clients fill the backlog of a paused process.
CONNECT_S = 1.0
PORTS = {
    "callers": CALLER_PORT,
    "readiness": READY_PORT,
    "metrics": METRICS_PORT,
    "peers": PEER_PORT,
}


@given("a relay process with {memory_mb:d} MB and {descriptors:d} descriptors")
def given_relay(context, memory_mb, descriptors):
    context.relay_limits = {"memoryMb": memory_mb, "maxFds": descriptors}
    context.reads_log = True


@given("nothing reads its log")
def given_unread_log(context):
    context.reads_log = False


@when('{count:d} clients {act} at the port for "{port}"')
def when_crowd_at(context, count, act, port):
    run_crowd(context, count, act, port)


@when("{count:d} clients {act}")
def when_crowd(context, count, act):
    run_crowd(context, count, act, "callers")


@when("a crowd of {count:d} comes back at once to {act}")
def when_crowd_comes_back(context, count, act):
    run_crowd(context, count, act, "callers", comes_back=True)


@when("the process is paused while {count:d} clients connect")
def when_crowd_after_pause(context, count):
    run_crowd(
        context, count, "connect and send nothing", "callers", is_paused=True
    )


@when("a client in calm sends a whole body of {size:d} bytes")
def when_calm(context, size):
    async def check(relay, tasks):
        del tasks
        context.answer = await send_ordinary(relay, size)

    run_with_relay(context, check)


@when('a client offers to upgrade to "{protocol}"')
def when_upgrade(context, protocol):
    lines = ("Connection: Upgrade", f"Upgrade: {protocol}")

    async def check(relay, tasks):
        del tasks
        context.answer = await send_ordinary(relay, 0, *lines, method="GET")

    run_with_relay(context, check)


@when('a client sends {size:d} bytes to "{path}" before it reads')
def when_sends_first(context, size, path):
    async def check(relay, tasks):
        del tasks
        client = Client()
        client.conn = await connect(relay.address, WAIT_LIMIT_S)
        head = make_head(1, f"Content-Length: {size}", path=path)
        with contextlib.suppress(ConnError):
            await client.conn.send(head)
            await send_bytes(client.conn, size)
        with anyio.fail_after(WAIT_LIMIT_S):
            await client.watch()
        context.first_status = client.status
        context.answer = client.received
        client.conn.close()

    run_with_relay(context, check)


@when('a client sends "{line}" with "Expect: 100-continue"')
def when_expect(context, line):
    async def check(relay, tasks):
        conn = await connect(relay.address, WAIT_LIMIT_S)
        client = Client()
        client.conn = conn
        length = int(line.split()[1])
        tasks.start_soon(client.watch)
        await conn.send(make_head(1, line, "Expect: 100-continue"))
        await wait_for(lambda: b"\r\n\r\n" in client.received)
        context.first_status = client.status
        if client.status == 100 and length <= BODY_BYTES_MAX:
            await conn.send(bytes(length))
            await wait_for(lambda: client.received.count(b"HTTP/1.1 ") > 1)
            rest = client.received.partition(b"\r\n\r\n")[2]
            context.last_status = int(rest.split(b" ", 2)[1])
        conn.close()

    run_with_relay(context, check)


def run_crowd(context, count, act, port, *, is_paused=False, comes_back=False):
    """Runs a crowd beside an ordinary client, and records what was used.

    If `is_paused`, the process is paused while the clients connect. If
    `comes_back`, they open other connections when theirs are closed.
    """

    async def check(relay, tasks):
        address = (relay.host, PORTS[port])
        crowd = Crowd(act, count, address, comes_back=comes_back)
        context.crowd = crowd
        if is_paused:
            relay.child.send(signal.SIGSTOP)
        tasks.start_soon(crowd.run)
        if is_paused:
            # Those that the backlog has no room for go on trying.
            with anyio.move_on_after(CONNECT_S):
                await crowd.done.wait()
            relay.child.send(signal.SIGCONT)
        # Clients that nobody reads from never finish.
        with anyio.move_on_after(SEND_LIMIT_S):
            await crowd.done.wait()
        if not comes_back:
            await relay.settle()
        context.attempts = 0
        context.answer = await send_ordinary(relay, 100, context=context)
        context.probe = await relay.probe()
        relay.answers_due.set()
        if not comes_back:
            await relay.settle()
        statuses = Counter(client.status for client in crowd.clients)
        print(f"answers by status, 0 for none: {dict(statuses)}")
        crowd.leave()
        with anyio.move_on_after(LEFT_LIMIT_S):
            while relay.sockets() > SOCKETS_AT_REST_MAX:
                await anyio.sleep(0.05)
        context.sockets_left = relay.sockets()

    run_with_relay(context, check)


def run_with_relay(context, check):
    """Runs a check with a relay process; records what the process used."""
    chooser = PortChooser()
    context.add_cleanup(chooser.close)

    async def run():
        with tempfile.TemporaryDirectory() as directory:
            relay = RelayProcess(
                directory,
                chooser.choose(),
                context.relay_limits,
                context.reads_log,
            )
            async with anyio.create_task_group() as tasks:
                await tasks.start(relay.run)
                await check(relay, tasks)
                context.lives = relay.child.running
                if context.lives:
                    context.peak_mb = relay.peak_mb()
                    print(f"peak: {context.peak_mb:.0f} MB")
                context.most_sockets = relay.most_sockets
                print(f"most sockets: {relay.most_sockets}")
                tasks.cancel_scope.cancel()

    anyio.run(run)


async def send_ordinary(relay, size, *lines, method="POST", context=None):
    """Sends one request within the limits; returns the head of its answer.

    If the connection is closed before the request was read, it is sent on
    another one, as clients do.
    """
    with anyio.fail_after(WAIT_LIMIT_S):
        while True:
            if context is not None:
                context.attempts += 1
            try:
                return await _send_ordinary(relay, size, lines, method)
            except ConnError:
                await anyio.sleep(0.1)


async def _send_ordinary(relay, size, lines, method):
    conn = await connect(relay.address, WAIT_LIMIT_S)
    try:
        if size:
            lines = (*lines, f"Content-Length: {size}")
        head = make_head(0, *lines, method=method, request_id="ordinary")
        await conn.send(head)
        await send_bytes(conn, size)
        received = b""
        while b"\r\n\r\n" not in received:
            data = await conn.receive()
            if not data:
                raise ConnError("closed without an answer")
            received += data
        return received
    finally:
        conn.close()


async def wait_for(condition):
    with anyio.fail_after(WAIT_LIMIT_S):
        while not condition():
            await anyio.sleep(0.02)


@then("the process lives")
def then_lives(context):
    assert context.lives


@then("it has used less than {memory_mb:d} MB")
def then_memory(context, memory_mb):
    assert context.peak_mb < memory_mb, context.peak_mb


@then("it has had at most {count:d} sockets open")
def then_sockets(context, count):
    assert context.most_sockets <= count, context.most_sockets


@then("an ordinary request was answered meanwhile")
def then_answered(context):
    assert context.answer.startswith(b"HTTP/1.1 200"), context.answer[:600]


@then("it was turned away at most once")
def then_turned_away(context):
    assert context.attempts <= 2, context.attempts


@then("the process answered probes of its readiness meanwhile")
def then_ready(context):
    assert context.probe


@then("the sockets of the clients that left are closed")
def then_closed(context):
    assert context.sockets_left <= SOCKETS_AT_REST_MAX, context.sockets_left


@then("it is answered")
def then_one_answered(context):
    assert context.answer.startswith(b"HTTP/1.1 200"), context.answer[:600]


@then("the first answer has the status {status:d}")
def then_first_status(context, status):
    assert context.first_status == status, context.first_status


@then("the answer says that its connection is closed")
def then_says_closed(context):
    head = context.answer.partition(b"\r\n\r\n")[0].lower()
    assert b"\r\nconnection: close" in head, head
    assert b"keep-alive" not in head, head


@then("the last answer has the status {status:d}")
def then_last_status(context, status):
    assert context.last_status == status, context.last_status
