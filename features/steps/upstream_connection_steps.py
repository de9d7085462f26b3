"""Steps about requests that wait for connections to an upstream."""

import contextlib

import anyio
from behave import given, then, when

from applespring.relay.upstream_connections import ConnectionPool
from features.fixtures.virtual import run_virtual

CLOSE_S = 0.01
HOLD_S = 0.05


class _Transport:
    """A transport whose connection is open from its first request on."""

    def __init__(self, context):
        self.context = context
        self.is_open = False

    def send(self):
        """Sends a request."""
        if not self.is_open:
            self.is_open = True
            self.context.open_count += 1
            self.context.most = max(self.context.most, self.context.open_count)

    async def aclose(self):
        """Closes its connection.

        Raises:
            OSError: Connections fail to close.
        """
        # It counts no more once its end is being sent.
        self.context.open_count -= self.is_open
        await anyio.sleep(CLOSE_S)
        if self.context.close_fails:
            raise OSError("not connected")


@given("an upstream with at most {limit:d} connections, all idle")
def given_pool(context, limit):
    context.limit, context.open_count, context.most = limit, 0, 0
    context.close_fails = False

    async def open_all():
        pool = context.pool = ConnectionPool(
            lambda: _Transport(context), limit, anyio.current_time
        )
        used = [await pool.acquire("", ["first"], 0.4) for _ in range(limit)]
        for connection in used:
            connection.transport.send()
            await pool.release(connection, keep=True)

    context.open_all = open_all


@given("a client that sends one request of {seconds:g} s after the other")
def given_client(context, seconds):
    context.ended = 0

    async def send_all():
        number = 0
        while True:
            number += 1
            connection = await context.pool.acquire("", [str(number)], 10.0)
            await anyio.sleep(seconds)
            await context.pool.release(connection, keep=True)
            context.ended += 1

    context.send_all = send_all


@given("its connections fail to close")
def given_failing(context):
    context.close_fails = True


@when("{count:d} requests that they can't carry come at once")
def when_at_once(context, count):
    async def send():
        connection = await context.pool.acquire("", ["first"], 10.0)
        connection.transport.send()
        await anyio.sleep(HOLD_S)
        await context.pool.release(connection, keep=True)

    async def run():
        await context.open_all()
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(send)

    run_virtual(run)


@when("a request of another client comes and waits {seconds:g} s at most")
def when_waits(context, seconds):
    async def run():
        await context.open_all()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(context.send_all)
            await anyio.sleep(0.5 * HOLD_S)
            try:
                await context.pool.acquire("", ["other"], seconds)
                context.ended_before = context.ended
            except TimeoutError:
                context.ended_before = None
            tasks.cancel_scope.cancel()

    run_virtual(run)


@when("a request ends whose connection is closed, while another one waits")
def when_closed(context):
    async def wait():
        ended_at = anyio.current_time() + HOLD_S
        with contextlib.suppress(TimeoutError):
            await context.pool.acquire("", ["other"], 10.0)
            context.waited_s = anyio.current_time() - ended_at

    async def run():
        await context.open_all()
        connection = await context.pool.acquire("", ["a"], 0.4)
        context.waited_s = None
        with anyio.move_on_after(20.0):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(wait)
                await anyio.sleep(HOLD_S)
                with contextlib.suppress(OSError):
                    await context.pool.release(connection, keep=False)

    run_virtual(run)


@then("it never has more than {limit:d} connections")
def then_limit(context, limit):
    assert context.most <= limit, context.most


@then("it gets a connection after one request of the first client")
def then_first(context):
    assert context.ended_before == 1, context.ended_before


@then("that one gets a connection at once")
def then_at_once(context):
    assert context.waited_s is not None, "it got none"
    assert context.waited_s <= 2 * CLOSE_S, context.waited_s
