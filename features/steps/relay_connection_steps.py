"""Steps that use callers' connections to a relay instance in virtual time."""

import asyncio

import anyio
import h11
from behave import given, then, when

from applespring.core.idle_limit import HOLD_MARGIN_S, IdleLimit
from applespring.platform.wire import PlatformProtocol
from applespring.relay.compose import RelayInstance
from applespring.relay.log import LogWriter
from applespring.relay.settings import RelaySettings
from demo.process import PortChooser
from features.fixtures.relay_world import HOST, FakeRegistry, RelayWorld
from features.fixtures.virtual_server import run_virtual_server

# Callers use a connection again until it has rested for this share of the idle
# limit in force, and no longer than the Keep-Alive header of its last answer
# allows (the platform's protocol page).
REUSE_SHARE = 0.8
# The platform's bound for a change to be in force (`configApplyMs`).
CONFIG_APPLY_S = 2.0
# Way of an answer to its caller and of the next request back.
ROUND_TRIP_S = 0.006
WAIT_LIMIT_S = 60.0


class Caller:
    """One connection of a caller to an instance.

    Attributes:
        keep_alive_s: Time stated by the last answer, or None.
        status: Status of the last answer, or None if there was none.
    """

    def __init__(self):
        self.keep_alive_s = None
        self.status = None

    async def connect(self, address):
        """Opens the connection."""
        host, _, port = address.partition(":")
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.state = h11.Connection(h11.CLIENT)

    async def request(self, request_id):
        """Sends a request and reads its answer, if there is one."""
        self.status = None
        headers = [("Host", HOST), ("Request-Id", request_id)]
        head = h11.Request(method="GET", target="/safe/x", headers=headers)
        data = self.state.send(head) + self.state.send(h11.EndOfMessage())
        try:
            self.writer.write(data)
            while True:
                event = self.state.next_event()
                if event is h11.NEED_DATA:
                    self.state.receive_data(await self.reader.read(65536))
                elif isinstance(event, h11.Response):
                    self.status = event.status_code
                    stated = dict(event.headers).get(b"keep-alive", b"")
                    _, _, seconds = stated.partition(b"timeout=")
                    self.keep_alive_s = int(seconds) if seconds else None
                elif isinstance(event, h11.EndOfMessage):
                    self.state.start_next_cycle()
                    return
        except (OSError, h11.RemoteProtocolError):
            self.status = None


def make_instance(context):
    context.ports = PortChooser()
    addresses = [f"127.0.0.1:{context.ports.choose()}" for _ in range(4)]
    settings = RelaySettings(
        name="one",
        failure_domain="koper",
        caller_address=addresses[0],
        ready_address=addresses[1],
        metrics_address=addresses[2],
        peer_address=addresses[3],
        seeds=(),
        registry_address="127.0.0.1:1",
    )
    context.address = addresses[0]
    return RelayInstance(
        settings,
        PlatformProtocol(),
        lambda _, __: FakeRegistry(context.world),
        lambda: settings,
        LogWriter(),
    )


@given("a relay whose callers may leave a connection idle for {seconds:d} s")
def given_relay(context, seconds):
    context.world = RelayWorld(idle_limit_s=seconds)
    context.idle_limit_s = seconds
    context.actions = []
    context.caller = Caller()


@given("a caller that got an answer")
def given_answered(context):
    async def ask():
        await context.caller.connect(context.address)
        await context.caller.request("r1")
        assert context.caller.status is not None

    context.actions.append(ask)


@when("the idle limit changes to {seconds:d} s")
def when_changes(context, seconds):
    async def change():
        context.world.idle_limit_s = context.idle_limit_s = seconds
        context.world.publish()

    context.actions.append(change)


@when("the caller sends again as late as it may")
def when_sends_again(context):
    async def ask():
        caller = context.caller
        rest_s = REUSE_SHARE * context.idle_limit_s
        if caller.keep_alive_s is not None:
            rest_s = min(rest_s, caller.keep_alive_s)
        await anyio.sleep(rest_s + ROUND_TRIP_S)
        await caller.request("r2")

    context.actions.append(ask)


@then("it gets an answer on the same connection")
def then_answered(context):
    instance = make_instance(context)

    async def run():
        loop = asyncio.get_running_loop()
        serving = loop.create_task(instance.run())
        with anyio.fail_after(WAIT_LIMIT_S):
            while instance.state.document is None:
                await anyio.sleep(0.1)
            await anyio.sleep(CONFIG_APPLY_S)
            for action in context.actions:
                await action()
        context.caller.writer.close()
        # The server library raises further errors when it is cancelled.
        loop.set_exception_handler(lambda *_: None)
        serving.cancel()

    try:
        run_virtual_server(run)
    finally:
        context.ports.close()
    assert context.caller.status is not None


@given(
    "an idle limit of {first:d} s that is replaced by {second:d} s while "
    "answers take {answer:d} s"
)
def given_replaced(context, first, second, answer):
    context.idle_limit = IdleLimit(float(first))
    context.idle_limit.replace(float(second), float(answer), 0.0)


@then(
    "a connection that rests from {now:d} s on stays open for over {held:d} s"
)
def then_held(context, now, held):
    assert context.idle_limit.held_s(float(now)) == held + HOLD_MARGIN_S


@then("the answers state {seconds:d} s")
def then_stated(context, seconds):
    assert context.idle_limit.stated_s == seconds
