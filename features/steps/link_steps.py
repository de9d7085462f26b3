"""Steps about the codec and the link between entry instances."""

import random
import struct
from contextlib import asynccontextmanager

import anyio
from behave import given, then
from hypothesis import given as generate
from hypothesis import settings
from hypothesis import strategies as st

from applespring.core import gossip
from applespring.core.errors import MessageError
from applespring.entry.mesh.peers import HeartbeatContent, PeerInfo, PeerService
from applespring.peer import codec, message
from applespring.peer.link import SocketTransport
from applespring.peer.transport import PeerLostError, PeerUnreachableError

HOST = "127.0.0.1"
# Time after which a request counts as lost; long enough for another one to be
# answered meanwhile on a busy machine.
TIMEOUT_S = 2.0


class LinkedPair:
    """Two peer services, `one` and `two`, which communicate over sockets."""

    def __init__(self, close_unresponsive=False):
        self.opened = anyio.Event()
        self.stalled = anyio.Event()
        self.may_answer = anyio.Event()
        self.timed_out = anyio.Event()
        self.services = []
        self.transports = []
        for index, name in enumerate(["one", "two"]):
            transport = SocketTransport(
                HOST, 0, close_unresponsive=close_unresponsive
            )
            service = PeerService(
                name,
                index + 1,
                "koper",
                transport,
                anyio.current_time,
                random.Random(index),
            )
            service.register(message.KeyQuery, self.answer)
            self.services.append(service)
            self.transports.append(transport)

    async def answer(self, query):
        """Returns the key as the owner; fails on `fail`, hangs on `stall`.

        The key `slow` is answered once `may_answer` is set.
        """
        if query.key == "fail":
            raise RuntimeError
        if query.key == "stall":
            self.stalled.set()
            await anyio.sleep_forever()
        if query.key == "slow":
            await self.may_answer.wait()
        return message.KeyReply(
            state="unknown", verdict="not_run", reason="", owner=query.key
        )

    def list_both(self):
        """Gives each service the addresses of both."""
        infos = [
            PeerInfo(s.name, f"{HOST}:{t.port}", "koper")
            for s, t in zip(self.services, self.transports, strict=True)
        ]
        for service in self.services:
            service.set_peers(infos)

    async def ask(self, key, timeout_s=30.0):
        """Sends a query from `one` to `two`."""
        query = message.KeyQuery(key=key, account="")
        return await self.services[0].request("two", query, timeout_s)


@asynccontextmanager
async def linked(close_unresponsive=False):
    """Runs both services of a `LinkedPair`."""
    pair = LinkedPair(close_unresponsive)
    with anyio.fail_after(60):
        async with anyio.create_task_group() as tasks:
            pair.scopes = []
            for service in pair.services:
                scope = anyio.CancelScope()
                pair.scopes.append(scope)

                async def run(service, scope, task_status):
                    with scope:
                        await service.run(task_status=task_status)

                await tasks.start(run, service, scope)
            pair.list_both()
            yield pair
            tasks.cancel_scope.cancel()


def run_linked(context, check):
    async def main():
        close_unresponsive = getattr(context, "close_unresponsive", False)
        async with linked(close_unresponsive) as pair:
            await check(pair)

    anyio.run(main, backend=context.backend)


@given('two linked instances on "{backend}"')
def given_backend(context, backend):
    context.backend = backend


@given(
    'two linked instances on "{backend}" that close unresponsive connections'
)
def given_closing(context, backend):
    context.backend = backend
    context.close_unresponsive = True


@then("a request that waits is answered although another one timed out")
def then_answered_late(context):
    async def check(pair):
        replies = {}

        async def ask_slow():
            replies["slow"] = (await pair.ask("slow")).owner

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask_slow)
            tasks.start_soon(
                expect_error, PeerLostError, pair, "stall", TIMEOUT_S
            )
            await pair.stalled.wait()
            await pair.ask("other")
            await pair.timed_out.wait()
            pair.may_answer.set()
        assert replies == {"slow": "slow"}

    run_linked(context, check)


@then("the connection is closed if nothing at all arrives")
def then_closed_silent(context):
    async def check(pair):
        await pair.ask("other")
        (connection,) = pair.transports[0]._connections.values()
        await expect_error(PeerLostError, pair, "stall", TIMEOUT_S)
        assert connection.closed

    run_linked(context, check)


@then("{count:d} concurrent requests get their own replies over one connection")
def then_replies(context, count):
    async def check(pair):
        replies = {}

        async def ask(key):
            replies[key] = (await pair.ask(key)).owner

        async with anyio.create_task_group() as tasks:
            for i in range(count):
                tasks.start_soon(ask, f"k{i}")
        await pair.ask("again")
        assert replies == {f"k{i}": f"k{i}" for i in range(count)}
        assert len(pair.transports[1]._accepted) == 1

    run_linked(context, check)


@then("each request gets its own reply of a peer that replies late and twice")
def then_late_and_twice(context):
    def make_reply(header, text):
        reply = codec.encode(
            message.KeyReply(
                state="unknown", verdict="not_run", reason="", owner=text
            )
        )
        return struct.pack(">I", 8 + len(reply)) + header[4:] + reply

    async def answer(stream):
        late = b""
        async with stream:
            while True:
                header = await read(stream, 12)
                length = int.from_bytes(header[:4])
                query = codec.decode(await read(stream, length - 8))
                if query.key == "stall":
                    late = make_reply(header, "stall")
                    continue
                replies = [query.key, "second"]
                data = [make_reply(header, text) for text in replies]
                await stream.send(late + b"".join(data) + late)

    async def read(stream, count):
        data = b""
        while len(data) < count:
            data += await stream.receive(count - len(data))
        return data

    async def check(pair):
        listener = await anyio.create_tcp_listener(local_host=HOST)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        pair.services[0].set_peers([PeerInfo("two", f"{HOST}:{port}", "koper")])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, answer)
            await expect_error(PeerLostError, pair, "stall", 0.5)
            owners = [(await pair.ask(key)).owner for key in "abc"]
            tasks.cancel_scope.cancel()
        assert owners == ["a", "b", "c"], owners

    run_linked(context, check)


@then("a heartbeat arrives and is recorded")
def then_heartbeat(context):
    async def check(pair):
        arrived = anyio.Event()
        pair.services[1].on_heartbeat(lambda _: arrived.set())
        await arrived.wait()
        assert (
            pair.services[1].received_heartbeats["one"].heartbeat.incarnation
            == 1
        )

    run_linked(context, check)


async def expect_error(error, pair, key, timeout_s=30.0):
    try:
        await pair.ask(key, timeout_s)
    except error:
        pair.timed_out.set()
        return
    raise AssertionError(f"no {error.__name__}")


@then("a request to a closed port is reported as not sent")
def then_not_sent(context):
    async def check(pair):
        async with await anyio.create_tcp_listener(local_host=HOST) as closed:
            port = closed.extra(anyio.abc.SocketAttribute.local_port)
        info = PeerInfo("two", f"{HOST}:{port}", "koper")
        pair.services[0].set_peers([info])
        await expect_error(PeerUnreachableError, pair, "k")

    run_linked(context, check)


@then("a request without a reply is reported as possibly received")
def then_no_reply(context):
    async def check(pair):
        await pair.ask("connect")
        await expect_error(PeerLostError, pair, "stall", 2.0)

    run_linked(context, check)


@then("a request to an instance that stops is reported as possibly received")
def then_stops(context):
    async def check(pair):
        async def stop():
            await pair.stalled.wait()
            pair.scopes[1].cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(stop)
            await expect_error(PeerLostError, pair, "stall")

    run_linked(context, check)


@then("a request to an address without a port is reported as not sent")
def then_no_port(context):
    async def check(pair):
        info = PeerInfo("two", HOST, "koper")
        pair.services[0].set_peers([info])
        await expect_error(PeerUnreachableError, pair, "k")

    run_linked(context, check)


@then(
    "a request whose handler fails is reported as possibly received, and others"
    " are answered"
)
def then_handler_fails(context):
    async def check(pair):
        await expect_error(PeerLostError, pair, "fail", 2.0)
        assert pair.services[1].handler_errors == 1
        assert (await pair.ask("k")).owner == "k"

    run_linked(context, check)


@then("a frame length of 4 GB and random bytes each close the connection")
def then_malformed(context):
    async def check(pair):
        port = pair.transports[1].port
        for data in (b"\xff" * 12, random.Random(1).randbytes(5000)):
            async with await anyio.connect_tcp(HOST, port) as stream:
                await stream.send(data)
                try:
                    await stream.receive()
                    raise AssertionError("the connection stays open")
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    pass
        assert pair.transports[1].frames_rejected == 2
        assert (await pair.ask("k")).owner == "k"

    run_linked(context, check)


def make_message(cls, depth=0):
    """Returns a message with a value in every field."""
    values = {}
    for name, wire_name, nested in codec._fields_of(cls):
        if nested is not None:
            part = make_message(nested)
            single = name in ("outcome", "sender")
            values[name] = part if single else (part, part)
            continue
        probe = getattr(codec._SCHEMA, cls.__name__).new_message()
        zero = getattr(probe, wire_name)
        full = {bool: True, int: 7, float: 0.5, str: "é", bytes: b"\0\xff"}
        values[name] = full[type(zero)]
    return cls(**values)


@then("every message type is decoded as it was encoded")
def then_round_trip(context):
    for cls in message.MESSAGES.values():
        sent = make_message(cls)
        assert codec.decode(codec.encode(sent)) == sent, sent


@then("{count:d} damaged messages raise no other error than MessageError")
def then_damaged(context, count):
    encoded = [codec.encode(make_message(c)) for c in message.MESSAGES.values()]
    refused = []

    @settings(
        max_examples=count, deadline=None, derandomize=True, database=None
    )
    @generate(st.sampled_from(encoded), st.binary(max_size=40), st.integers(0))
    def run(data, noise, offset):
        offset %= len(data)
        try:
            codec.decode(data[:offset] + noise + data[offset + len(noise) :])
        except MessageError:
            refused.append(offset)

    run()
    assert len(refused) > count // 4, len(refused)


@then("a message over the size bound is neither encoded nor decoded")
def then_bound(context):
    noise = random.Random(1).randbytes(3000)
    document = message.ConfigDocument(revision=1, document=noise)
    data = codec.encode(document)
    for call in (
        lambda: codec.encode(document, 2000),
        lambda: codec.decode(data, 2000),
    ):
        try:
            call()
        except MessageError:
            continue
        raise AssertionError("no MessageError")


@then("a heartbeat with 16 pools of 200 characters is sent without some pools")
def then_long(context):
    service = PeerService("one", 1, "koper", None, None, random.Random(1))
    rng = random.Random(1)
    service.content = lambda: HeartbeatContent(
        pools=[
            message.PoolLoad(
                pool=rng.randbytes(100).hex(), running=1, waiting=1, demand=1.0
            )
            for _ in range(16)
        ]
    )
    data = service._encode_heartbeat()
    assert len(data) <= codec.DATAGRAM_BYTES_MAX
    assert 0 < len(codec.decode(data).pools) < 16


@then("heartbeats of 350 instances go to at most 7 peers, updates to 3")
def then_fanout(context):
    peers = {f"e{i}": f"d{i % 12}" for i in range(350)}
    group = ("e0", "e12", "e24", "e36", "e48")
    rng = random.Random(1)
    for _ in range(100):
        heartbeat_peers = gossip.choose_heartbeat_peers(
            "e0", "d0", peers, group, rng
        )
        assert len(set(heartbeat_peers)) == len(heartbeat_peers) <= 7
        assert set(group) - {"e0"} <= set(heartbeat_peers)
        announce_peers = gossip.choose_announce_peers("e0", "d0", peers, rng)
        assert len(set(announce_peers)) == 3 and "e0" not in announce_peers
        assert any(peers[n] == "d0" for n in announce_peers)


@then("an update is forwarded upon its first receipt only")
def then_first(context):
    duplicates = gossip.DuplicateFilter()
    assert duplicates.is_first(("config", 7))
    assert not duplicates.is_first(("config", 7))
    assert duplicates.is_first(("config", 8))
