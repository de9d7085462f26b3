"""Steps about the cost of control work in a large fleet."""

import random
import ssl
from types import SimpleNamespace

import anyio
import httpx
from behave import given, then, when

from applespring.core import gossip
from applespring.core.drain import Drain
from applespring.core.fleet import StageKind
from applespring.core.instances import InstanceEntry, InstanceList
from applespring.core.membership import Membership
from applespring.core.order import OrderPlanner
from applespring.core.share import AccountDemand
from applespring.core.ticket import Ticket
from applespring.entry.drain import DrainService
from applespring.entry.execution.gates import Gates
from applespring.entry.execution.origins import OriginTransport
from applespring.entry.external.engines import EngineService
from applespring.entry.mesh import peering
from applespring.entry.mesh.peers import ReceivedHeartbeat
from applespring.entry.mesh.sharing import Sharing
from applespring.peer.message import (
    Ack,
    ConfigDocument,
    Heartbeat,
    ListUpdate,
    PoolLoad,
)
from features.fixtures.documents import make_fleet, make_pool
from features.fixtures.virtual import run_virtual
from features.steps.service_steps import World

PEER = "koper-2"


def make_heartbeat(name, *, list_revision=0, demand=0.0):
    return Heartbeat(
        name=name,
        incarnation=1,
        failure_domain="koper",
        state="live",
        config_revision=0,
        list_revision=list_revision,
        view_digest=0,
        sequence=1,
        pools=(PoolLoad(pool="svc", running=0, waiting=0, demand=demand),),
    )


@given('the list {revision:d} "all" with {count:d} entry instances')
def given_large_list(context, revision, count):
    world = context.world
    upstreams = [
        f"{upstream.name}:{pool.name}"
        for pool in world.pools
        for upstream in pool.upstreams
    ]
    entries = [f"koper-{number}:entry" for number in range(count)]
    world.platform.publish_list(revision, upstreams + entries)


@given(
    "a pool of {near:d} local and a pool of {far:d} remote reporting upstreams"
)
def given_near_and_far(context, near, far):
    local = " ".join(f"l{n}" for n in range(near))
    remote = " ".join(f"r{n}@izola" for n in range(far))
    context.world = World(
        [
            make_pool("near", local, reports_load=True),
            make_pool("far", remote, reports_load=True),
        ]
    )
    context.world.platform.publish(5, "valid")


@then("at most {most:d} probes were made in any round after {since:g} s")
def then_rounds_after(context, most, since):
    probed = context.world.instances["koper-1"].probe.probed
    times = [at for at, _ in probed if at > since]
    found = max(times.count(at) for at in set(times))
    assert found <= most, found


@then('"{name}" may use an upstream of the remote pool')
def then_remote(context, name):
    usable = context.world.instances[name].usable_at_end
    assert any(upstream.startswith("r") for upstream in usable), usable


@given("a key group of {size:d} instances in a failure domain of {count:d}")
def given_group(context, size, count):
    names = [f"entry-{n}" for n in range(count)]
    context.peers = dict.fromkeys(names, "koper")
    context.group = names[:size]


@then(
    "an instance {where:w} the group sends its heartbeat to {most:d} peers"
    " at most"
)
def then_receivers(context, where, most):
    name = context.group[0] if where == "in" else "entry-28"
    for seed in range(50):
        chosen = gossip.choose_heartbeat_peers(
            name, "koper", context.peers, context.group, random.Random(seed)
        )
        assert len(chosen) <= most, chosen
        if where == "in":
            assert set(chosen) >= set(context.group) - {name}


class CountingGates(Gates):
    """Gates that count how often shares and usable upstreams are applied."""

    def __init__(self):
        super().__init__("koper", lambda: 100.0, random.Random(0))
        self.usable_calls = 0
        self.share_calls = 0

    def set_usable(self, pool, names, opens_at):
        self.usable_calls += 1
        super().set_usable(pool, names, opens_at)

    def set_share(self, pool, fraction):
        self.share_calls += 1
        super().set_share(pool, fraction)


@given('a gate with usable upstreams "{names}"')
def given_gate(context, names):
    context.gates = CountingGates()
    context.gates.apply(make_fleet(1, [make_pool("svc", names)]))
    context.view = Membership()
    context.received_heartbeats = {}
    set_pool(context, 1, names)
    drain = DrainService(Drain(1.0, 2.0), clock=lambda: 100.0)
    context.sharing = Sharing(
        context.gates,
        SimpleNamespace(received_heartbeats=context.received_heartbeats),
        context.view,
        drain,
        lambda: 1,
        lambda: 100.0,
    )
    # Only the first upstreams are listed.
    listed = [
        InstanceEntry(name, "svc", "127.0.0.1:1", "koper")
        for name in names.split()
    ]
    context.view.offer_list(InstanceList(1, listed), "platform", 100.0, 100.0)


def set_pool(context, revision, names):
    fleet = make_fleet(revision, [make_pool("svc", names)])
    context.view.set_fleet(fleet)
    context.gates.apply(fleet)


@when("the shares are applied {count:d} time")
@when("the shares are applied {count:d} times")
def when_applied(context, count):
    for _ in range(count):
        context.sharing.apply()


@when('the configuration adds upstream "{name}" to the pool')
def when_added(context, name):
    set_pool(context, 2, f"a {name}")


@then("the gate received its usable upstreams {count:d} time")
def then_received_usable(context, count):
    assert context.gates.usable_calls == count, context.gates.usable_calls


@then("the gate received its share {count:d} time")
def then_received_share(context, count):
    assert context.gates.share_calls == count, context.gates.share_calls


@then('the gate starts no call to "{name}"')
def then_no_call(context, name):
    gate = context.gates.gate("svc")
    assert not gate.pool_upstream(name).usable
    gate.submit(Ticket("r", "s", "a", deadline_at=160.0), 100.0)
    grants, _ = gate.take(100.0)
    assert [grant.upstream.name for grant in grants] == ["a"]


@given(
    "{count:d} peers whose last heartbeat came {age:g} s ago"
    " with demand {demand:g}"
)
def given_heartbeats(context, count, age, demand):
    for number in range(count):
        name = f"peer-{age:g}-{number}"
        heartbeat = make_heartbeat(name, demand=demand)
        context.received_heartbeats[name] = ReceivedHeartbeat(
            heartbeat, 100.0 - age
        )


@then("the shares are calculated from {count:d} summaries")
def then_summaries(context, count):
    found = context.sharing._summaries(100.0)
    assert len(found) == count, len(found)


@given("requests of {count:d} accounts at {at:g} s")
def given_requests(context, count, at):
    if not hasattr(context, "demand"):
        context.demand = AccountDemand()
    for number in range(count):
        context.demand.add(f"account-{at:g}-{number}", at)


@when("the busiest accounts are listed at {at:g} s")
def when_busiest(context, at):
    context.busiest = context.demand.busiest(8, at)


@then("{count:d} accounts have a recorded rate")
def then_recorded(context, count):
    assert len(context.demand._rates) == count, len(context.demand._rates)
    assert len(context.busiest) == count


class PeerLinkFake:
    """Records what is sent to the peer, which accepts if `accepts` is set."""

    name = "koper-1"
    incarnation = 1

    def __init__(self):
        self.sent = []
        self.accepts = True
        self.received_heartbeats = {}
        self.handlers = {}

    def set_peers(self, peers):
        """Does nothing: the fake has one peer."""

    def register(self, message_type, handler):
        """Stores the handler for a direct call by a step."""
        self.handlers[message_type] = handler

    def on_heartbeat(self, callback):
        """Stores the callback, which steps call with a heartbeat."""
        self.receive_heartbeat = callback

    async def request(self, peer_name, message, timeout_s):
        """Records whether the message is an offer or the list itself."""
        del timeout_s
        assert peer_name == PEER
        is_list = isinstance(message, ListUpdate) and bool(message.instances)
        self.sent.append("the list" if is_list else "an offer")
        return Ack(accepted=self.accepts)


def make_peering(context, revision=0):
    context.link = PeerLinkFake()
    context.view = Membership()
    context.now = 0.0
    context.configured = SimpleNamespace(
        tracker=SimpleNamespace(revision=revision),
        record_peer_revision=lambda *_: None,
    )
    members = SimpleNamespace(
        membership=context.view,
        subscribe=lambda _: None,
        note_incarnation=lambda *_: None,
    )
    context.peering = peering.Peering(
        context.link,
        context.configured,
        members,
        SimpleNamespace(update_instances=lambda _: None),
        (),
        clock=lambda: context.now,
    )


@given("a peering that applied list {revision:d} at {at:g} s")
def given_peering(context, revision, at):
    make_peering(context)
    context.now = at
    listed = [InstanceEntry(PEER, "entry", "127.0.0.1:1", "koper")]
    context.view.offer_list(InstanceList(revision, listed), "platform", at, at)
    context.peering.update_peers()


@given("the peer has applied list {revision:d} meanwhile")
def given_applied(context, revision):
    del revision
    context.link.accepts = False


@when("a heartbeat with list {revision:d} comes from the peer at {at:g} s")
def when_heartbeat(context, at, revision):
    context.now = at
    heartbeat = make_heartbeat(PEER, list_revision=revision)
    context.link.received_heartbeats[PEER] = ReceivedHeartbeat(heartbeat, at)
    context.link.receive_heartbeat(heartbeat)


@when("the peering updates peers that are behind")
def when_updates(context):
    async def run():
        with anyio.move_on_after(3.5):
            await context.peering.run()

    run_virtual(run)


@then("the peer was sent {what}")
def then_sent(context, what):
    found = " and ".join(context.link.sent) or "nothing"
    assert found == what, found


@given("a peer with configuration revision {revision:d} that {watch}")
def given_config_peer(context, revision, watch):
    make_peering(context, revision)
    context.read = 6 if watch.startswith("reads revision") else None


@when("it is offered revision {revision:d}")
def when_offered(context, revision):
    handler = context.link.handlers[ConfigDocument]

    async def run():
        async with anyio.create_task_group() as tasks:
            if context.read:
                tasks.start_soon(read)
            offer = ConfigDocument(revision=revision, document=b"")
            context.reply = await handler(offer)

    async def read():
        await anyio.sleep(0.1)
        context.configured.tracker.revision = context.read

    run_virtual(run)


@then("it {answer:w} the document")
def then_answers(context, answer):
    assert context.reply.accepted == (answer == "accepts")


@given("{engines:d} engines with cache events and {listed:d} entry instances")
def given_engines(context, engines, listed):
    names = " ".join(f"e{n}" for n in range(engines))
    pool = make_pool("llm", names, StageKind.GENERATE, cache_events=True)
    context.fleet = make_fleet(1, [pool])
    gates = Gates("koper", lambda: 0.0, random.Random(0))
    gates.apply(context.fleet)
    context.engines = EngineService(
        None,
        gates,
        OrderPlanner("koper-1", 0.0),
        lambda: context.fleet,
        lambda: None,
        lambda: {"koper": [f"koper-{n}" for n in range(listed)]},
        None,
        lambda: 0.0,
    )


@then("an instance reads events of {count:d} engines, the same each time")
def then_reads(context, count):
    rounds = [
        [upstream.name for _, upstream in found]
        for found in (
            context.engines._choose_caches(context.fleet) for _ in range(3)
        )
    ]
    assert len(rounds[0]) == count, rounds[0]
    assert rounds[0] == rounds[1] == rounds[2]


@given("a transport that has called {count:d} addresses")
def given_transport(context, count):
    class Pool:
        closed = 0

        def __init__(self, **options):
            del options

        async def handle_async_request(self, request):
            del request
            return httpx.Response(200)

        async def aclose(self):
            Pool.closed += 1

    context.pool = Pool
    context.transport = OriginTransport(
        httpx.Limits(), ssl.create_default_context(), make_pool=Pool
    )

    async def run():
        for number in range(count):
            url = f"http://127.0.0.1:{10_000 + number}/v1/load"
            request = httpx.Request("GET", url)
            await context.transport.handle_async_request(request)
            await context.transport.handle_async_request(request)

    run_virtual(run)


@then("it has {count:d} connection pools and {closed:d} were closed")
def then_pools(context, count, closed):
    assert len(context.transport._pools) == count
    assert context.pool.closed == closed
