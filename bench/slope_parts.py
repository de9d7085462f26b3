"""Measures processor time and bytes of control plane operations."""

import random
from collections.abc import Callable
from functools import partial

import orjson

from applespring.config import load_document
from applespring.core.drain import Drain
from applespring.core.fleet import Fleet
from applespring.core.gate import LoadReport
from applespring.core.membership import Membership
from applespring.core.order import EngineReport, EngineState, OrderPlanner
from applespring.core.ticket import Ticket
from applespring.entry.drain import DrainService
from applespring.entry.execution.gates import Gates
from applespring.entry.external.platform import parse_instances
from applespring.entry.mesh.peers import (
    HeartbeatContent,
    PeerService,
    ReceivedHeartbeat,
)
from applespring.entry.mesh.sharing import Sharing
from applespring.peer import codec
from applespring.peer.message import (
    AccountLoad,
    Heartbeat,
    HeartbeatEcho,
    Leaving,
    PoolLoad,
)
from bench.slope_document import make_addresses, make_entries, write_document
from bench.slope_fit import Slope, measure_cpu_s

UPSTREAMS = (60, 150, 300, 600)
PEERS = (50, 100, 200, 350)
ACCOUNTS = (300, 600, 1200, 1800)
# Peers whose load summary is in use: a summary expires after 3 s, and an
# instance receives heartbeats of 3 random peers a second and of the members of
# its key group.
FRESH_PEERS = 14


def measure_parts() -> list[Slope]:
    """Measures each operation at several sizes."""
    slopes = []
    for measure in (
        measure_documents,
        measure_lists,
        measure_heartbeats,
        measure_sharing,
        measure_membership,
        measure_gates,
        measure_orders,
    ):
        slopes += measure()
    return slopes


def measure_documents() -> list[Slope]:
    """Measures loading documents with more and more upstreams and accounts."""
    cpu, size = [], []
    for upstreams, accounts in (
        (60, 300),
        (150, 600),
        (300, 1200),
        (600, 1800),
    ):
        text = write_document(make_addresses(upstreams), accounts=accounts)
        kilobytes = len(text) / 1000
        cpu.append((kilobytes, 1e3 * measure_cpu_s(partial(_load, text))))
        size.append((upstreams + accounts, kilobytes))
    return [
        Slope("load a document", "ms", "KB", cpu, 1000),
        Slope("document", "KB", "upstreams + accounts", size, 2400),
    ]


def measure_lists() -> list[Slope]:
    """Measures parsing instance lists and applying them."""
    parse, offer, size = [], [], []
    for upstreams, peers in zip(UPSTREAMS, PEERS, strict=True):
        entries = make_entries(make_addresses(upstreams), make_addresses(peers))
        body = orjson.dumps({"revision": 1, "instances": entries})
        count = len(entries)
        parse.append(
            (count, 1e3 * measure_cpu_s(partial(parse_instances, body)))
        )
        offer.append((count, 1e3 * measure_cpu_s(_make_offer(body, upstreams))))
        size.append((count, len(body) / 1000))
    return [
        Slope("parse an instance list", "ms", "entries", parse, 950),
        Slope("take a newer instance list", "ms", "entries", offer, 950),
        Slope("instance list", "KB", "entries", size, 950),
    ]


def measure_heartbeats() -> list[Slope]:
    """Measures encoding and decoding heartbeats by number of pools."""
    encode, decode, size = [], [], []
    for pools in (2, 4, 8, 16):
        message = make_heartbeat(0, pools)
        data = codec.encode(message, codec.DATAGRAM_BYTES_MAX)
        encode.append((pools, 1e6 * measure_cpu_s(_make_encoder(message))))
        decode.append((pools, 1e6 * measure_cpu_s(_make_decoder(data))))
        size.append((pools, len(data)))
    echo = HeartbeatEcho(
        name="entry-1", incarnation=2**62, view_digest=3, moves=1, sequence=9
    )
    data = codec.encode(echo)
    both = measure_cpu_s(lambda: codec.decode(codec.encode(echo)))
    return [
        Slope("encode a heartbeat", "µs", "pools", encode, 16),
        Slope("decode a heartbeat", "µs", "pools", decode, 16),
        Slope("heartbeat", "bytes", "pools", size, 16),
        Slope(
            "encode and decode an echo",
            "µs",
            "-",
            _constant_points(1e6 * both),
            1,
        ),
        Slope("heartbeat echo", "bytes", "-", _constant_points(len(data)), 1),
    ]


def measure_sharing() -> list[Slope]:
    """Measures applying shares, account weights and heartbeat contents."""
    applied, weighed, described = [], [], []
    for peers in PEERS:
        sharing = make_sharing(600, peers)
        applied.append((peers, 1e3 * measure_cpu_s(sharing.apply)))
        weighed.append(
            (peers, 1e6 * measure_cpu_s(lambda s=sharing: s.weight("a-1", 2.0)))
        )
    for accounts in ACCOUNTS:
        sharing = make_sharing(600, 350, accounts)
        described.append((accounts, 1e3 * measure_cpu_s(sharing.describe)))
    return [
        Slope("Sharing.apply, 600 upstreams", "ms", "peers", applied, 350),
        Slope("weight of an account", "µs", "peers", weighed, 350),
        Slope("content of a heartbeat", "ms", "accounts", described, 1800),
    ]


def measure_membership() -> list[Slope]:
    """Measures confirming a list, ticks and the search for stale evidence."""
    confirm, tick, probe = [], [], []
    for upstreams in UPSTREAMS:
        view = make_membership(upstreams, 350)

        def confirm_list(view: Membership = view) -> None:
            view.confirm_list(1, 0.0, 0.0)

        confirm.append((upstreams, 1e3 * measure_cpu_s(confirm_list)))
        tick.append(
            (upstreams, 1e3 * measure_cpu_s(lambda v=view: v.tick(0.0)))
        )
        probe.append(
            (
                upstreams,
                1e3
                * measure_cpu_s(lambda v=view: v.find_upstreams_to_probe(0.0)),
            )
        )
    return [
        Slope("confirm a list", "ms", "upstreams", confirm, 600),
        Slope("tick of the membership", "ms", "upstreams", tick, 600),
        Slope("look for stale evidence", "ms", "upstreams", probe, 600),
    ]


def measure_gates() -> list[Slope]:
    """Measures a call through a gate, and a load report, by pool size."""
    calls, reports = [], []
    for upstreams in (15, 30, 60):
        text = write_document(make_addresses(upstreams), pools=1)
        gates = Gates("domain-0", lambda: 1.0, random.Random(0))
        gates.apply(_load(text))
        gate = gates.gate("pool-0")

        def run_call(gate: object = gate) -> None:
            gate.submit(Ticket("r", "s", "a", deadline_at=60.0), 1.0)
            grants, _ = gate.take(1.0)
            gate.finish(grants[0], None, 0.1, 1.0)

        def report(gates: Gates = gates) -> None:
            gates.record_report(
                "pool-0", "engine-0", LoadReport("serving", 1, 0, 32)
            )

        calls.append((upstreams, 1e6 * measure_cpu_s(run_call)))
        reports.append((upstreams, 1e6 * measure_cpu_s(report)))
    return [
        Slope("gate: submit, grant, finish", "µs", "upstreams", calls, 15),
        Slope("gate: take a load report", "µs", "upstreams", reports, 15),
    ]


def measure_orders() -> list[Slope]:
    """Measures planning orders while all engines are in the desired state."""
    points = []
    for upstreams in UPSTREAMS:
        fleet = _load(write_document(make_addresses(upstreams)))
        planner = OrderPlanner("entry-0", 0.0)
        reports = {
            upstream.name: EngineReport(
                EngineState(pool.model, pool.adapter, pool.version, pool.role),
                0.0,
            )
            for pool in fleet.pools.values()
            for upstream in pool.upstreams
        }
        entries = {"domain-0": [f"entry-{n}" for n in range(30)]}

        plan = partial(planner.plan, fleet, reports, entries, 0.0, 0.0)
        points.append((upstreams, 1e3 * measure_cpu_s(plan)))
    return [Slope("plan orders", "ms", "upstreams", points, 600)]


def make_heartbeat(peer: int, pools: int, sequence: int = 1) -> Heartbeat:
    """Returns a heartbeat with the contents of a busy instance."""
    return Heartbeat(
        name=f"entry-{peer}",
        incarnation=2**62 + peer,
        failure_domain=f"domain-{peer % 12}",
        state="live",
        config_revision=1600,
        list_revision=700,
        view_digest=2**61 + 17,
        sequence=2**60 + sequence,
        pools=[
            PoolLoad(pool=f"pool-{n}", running=n, waiting=1, demand=0.3 * n)
            for n in range(pools)
        ],
        accounts=[
            AccountLoad(account=f"account-{n}", demand=0.1) for n in range(8)
        ],
        leaving=[Leaving(name="engine-7", incarnation=0)],
    )


def make_membership(upstreams: int, peers: int) -> Membership:
    """Returns a membership whose list was confirmed at time 0."""
    view = Membership()
    view.set_fleet(_load(write_document(make_addresses(upstreams))))
    entries = make_entries(make_addresses(upstreams), make_addresses(peers))
    body = orjson.dumps({"revision": 1, "instances": entries})
    view.offer_list(parse_instances(body), "platform", 0.0, 0.0)
    view.tick(0.0)
    return view


def make_sharing(upstreams: int, peers: int, accounts: int = 8) -> Sharing:
    """Returns a `Sharing` with heartbeats of all peers.

    Those of the last FRESH_PEERS are recent, the others have expired.
    """
    gates = Gates("domain-0", lambda: 0.0, random.Random(0))
    gates.apply(_load(write_document(make_addresses(upstreams))))
    link = PeerService(
        "entry-x", 2**62 + 5, "domain-0", None, lambda: 0.0, random.Random(0)
    )
    link.content = HeartbeatContent
    for peer in range(peers):
        fresh = peer >= peers - FRESH_PEERS
        heartbeat = make_heartbeat(peer, 16)
        link.received_heartbeats[heartbeat.name] = ReceivedHeartbeat(
            heartbeat, 0.0 if fresh else -60.0
        )
    drain = DrainService(Drain(1.0, 2.0), clock=lambda: 0.0)
    sharing = Sharing(
        gates,
        link,
        make_membership(upstreams, peers),
        drain,
        lambda: 1600,
        lambda: 0.0,
    )
    for account in range(accounts):
        sharing.record_request(f"account-{account}")
    return sharing


def _load(text: str) -> Fleet:
    result = load_document(text, 1)
    if result.fleet is None:
        raise SystemExit("\n".join(map(str, result.errors[:5])))
    return result.fleet


def _make_offer(body: bytes, upstreams: int) -> Callable[[], None]:
    """Returns a function that offers a newer list at each call."""
    view = make_membership(upstreams, 1)
    offered = parse_instances(body)

    def offer() -> None:
        offered.revision += 1
        view.offer_list(offered, "platform", 0.0, 0.0)

    return offer


def _make_encoder(message: Heartbeat) -> Callable[[], bytes]:
    return lambda: codec.encode(message, codec.DATAGRAM_BYTES_MAX)


def _make_decoder(data: bytes) -> Callable[[], Heartbeat]:
    return lambda: codec.decode(data)


def _constant_points(value: float) -> list[tuple[float, float]]:
    """Returns the points of a value that does not depend on a size."""
    return [(0.0, value), (1.0, value)]
