"""Kinds of faults; the function of each starts the fault, waits and ends it."""

import math
import random
import signal
from collections.abc import Awaitable, Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio

from soak import document
from soak.crowd import run_crowd
from soak.proxy import LinkFaults
from soak.record import (
    RESUMABLE,
    SAFE,
    STREAM,
    STREAMING,
    UNSAFE,
    CallerRequest,
    Evacuation,
    Fault,
    Version,
)
from soak.relays import CALLER_PORT, Relay
from soak.silence import PHASES
from soak.upstream import Misbehaviour
from soak.worker_hosts import WorkerHost

if TYPE_CHECKING:
    from soak.testbed import Testbed

Inject = Callable[["Testbed", random.Random], Awaitable[None]]
KINDS: dict[str, Inject] = {}
# Those that are chosen from without `--only`.
DEFAULT_KINDS: list[str] = []
# Shortest and longest duration of a fault.
DURATION_RANGE_S = (0.3, 2.5)
# Shortest and longest silence of a sound upstream, and time in which upstreams
# accept requests without answering them.
SILENCE_RANGE_S = (0.8, 1.5)
UNANSWERED_RANGE_S = (2.0, 5.0)
# Least and greatest share of requests with a part on which engines crash, and
# shortest and longest time for which they are sent.
DEADLY_SHARE_RANGE = (0.05, 0.3)
DEADLY_RANGE_S = (3.0, 8.0)
# Shortest and longest time for which a request that crashes workers is sent.
REPEATED_RANGE_S = (6.0, 14.0)
# Shortest and longest time from an announcement in answers to that of the
# store, and of a pause that a worker asks for.
ANNOUNCED_RANGE_S = (0.5, 4.0)
PAUSE_RANGE_S = (0.6, 4.0)
# Rate limits that workers name, and the shortest and longest time for which.
RATE_LIMITS_PER_S = (0.0, 0.5, 1.0, 2.0, 5.0, 20.0)
LIMITED_RANGE_S = (5.0, 12.0)
# Kinds of misbehaviour that occur one at a time.
MISBEHAVIOUR_NAMES = [
    name
    for name in Misbehaviour.__slots__
    if name not in ("doubling", "forgetting", "spoiling")
]
# Least and greatest shares of answers that are sent twice, of requests that are
# refused or fail and of results that are lost meanwhile, and the shortest and
# longest time for which.
DOUBLING_SHARES = {
    "doubling": (0.4, 1.0),
    "full": (0.1, 0.4),
    "failing": (0.1, 0.3),
    "forgetting": (0.0, 0.2),
}
DOUBLING_RANGE_S = (2.0, 4.0)
# Shortest and longest time from the silence to the removal of an entry.
REMOVED_RANGE_S = (0.1, 1.5)
# Shortest and longest time for which workers are cold.
COLD_RANGE_S = (2.0, 5.0)
# Shortest and longest age of a copy from which the store comes back, and time
# until what was written since is written again.
COPY_AGE_RANGE_S = (0.5, 5.0)
REWRITE_RANGE_S = (0.2, 1.8)
# Shortest and longest time for which a failure domain is evacuated.
EVACUATED_RANGE_S = (6.0, 12.0)
EVACUATION_PREFIX = "op/evacuate/"
# Shortest and longest time for which a crowd of clients stays.
CROWD_RANGE_S = (1.0, 7.0)
IDLE_TIMEOUTS_S = (1.0, 1.5, 2.0, 3.0, 4.5, 6.0)
# Shortest and longest time between changes of the idle limit, which overlap
# with connections that rest under an earlier limit.
IDLE_CHANGE_RANGE_S = (0.5, 2.0)
# Number of configurations in a burst, and the mean time between them.
BURST_VERSIONS = 5
BURST_GAP_S = 0.25
# An address may be reused this long after its worker was removed (`reuseAfterS`
# of the users' deployments).
ADDRESS_REUSE_S = 2.0
# Time after which a peer has given up a connection that does not answer.
GIVE_UP_S = 3.0


def fault(name: str, *, by_default: bool = True) -> Callable[[Inject], Inject]:
    """Registers a kind of fault under a name that `--only` takes.

    Args:
        name: The name.
        by_default: Whether it is chosen without `--only`. With another list of
            kinds, a seed decides other faults, and the seeds that are listed in
            KNOWN-RED.txt would no longer show what was seen.
    """

    def register(inject: Inject) -> Inject:
        KINDS[name] = inject
        if by_default:
            DEFAULT_KINDS.append(name)
        return inject

    return register


@contextmanager
def recorded_fault(
    testbed: "Testbed", kind: str, targets: Iterable[str]
) -> Iterator[None]:
    """Records a fault that lasts until the context is left."""
    active = Fault(kind, targets, testbed.clock())
    testbed.records.faults.append(active)
    try:
        yield
    finally:
        active.ended_at = testbed.clock()


def _sample(rng: random.Random, items: Sequence, share: float = 0.5) -> list:
    """Returns one or more random items, at most the given share of them."""
    return rng.sample(items, rng.randint(1, max(1, int(share * len(items)))))


def _draw_duration(rng: random.Random) -> float:
    return rng.uniform(*DURATION_RANGE_S)


async def _restart_relays(
    testbed: "Testbed",
    kind: str,
    relays: Sequence[Relay],
    end_process: Callable,
) -> None:
    """Ends processes and waits until their replacements are ready."""
    targets = [f"instance:{relay.name}" for relay in relays]
    with recorded_fault(testbed, kind, targets):
        children = [relay.child for relay in relays]
        for relay in relays:
            end_process(relay)
        for relay, child in zip(relays, children, strict=True):
            await testbed.wait_ready(relay, child)


@fault("relay killed")
async def kill_relay(testbed: "Testbed", rng: random.Random) -> None:
    """Kills a relay with SIGKILL."""
    relay = rng.choice(testbed.relays)
    await _restart_relays(testbed, "kill", [relay], testbed.supervisor.kill)


@fault("relays killed")
async def kill_relays(testbed: "Testbed", rng: random.Random) -> None:
    """Kills one or more relays, up to all, with SIGKILL at the same time."""
    relays = _sample(rng, testbed.relays, 1.0)
    await _restart_relays(testbed, "herd", relays, testbed.supervisor.kill)


@fault("relay stopped")
async def stop_relay(testbed: "Testbed", rng: random.Random) -> None:
    """Stops a relay with SIGTERM and waits for its replacement."""
    await _restart_with_sigterm(testbed, rng.choice(testbed.relays))


@fault("relays stopped in turn")
async def roll_relays(testbed: "Testbed", rng: random.Random) -> None:
    """Restarts every relay with SIGTERM, one after the other."""
    for relay in rng.sample(testbed.relays, len(testbed.relays)):
        await _restart_with_sigterm(testbed, relay)


async def _restart_with_sigterm(testbed: "Testbed", relay: Relay) -> None:
    with recorded_fault(testbed, "term", [f"term:{relay.name}"]):
        child = relay.child
        testbed.supervisor.send_sigterm(relay)
        await testbed.wait_ready(relay, child)


@fault("relay signalled while it stops")
async def signal_stopping(testbed: "Testbed", rng: random.Random) -> None:
    """Sends a relay SIGTERM, then SIGHUP and SIGTERM while it shuts down."""
    relay = rng.choice(testbed.relays)
    with recorded_fault(testbed, "term", [f"term:{relay.name}"]):
        child = relay.child
        testbed.supervisor.send_sigterm(relay)
        for signum in rng.sample([signal.SIGHUP, signal.SIGTERM], 2):
            await anyio.sleep(rng.uniform(0.05, 0.5))
            if relay.child is child:
                relay.signal(signum)
        await testbed.wait_ready(relay, child)


@fault("relay paused")
async def pause_relay(testbed: "Testbed", rng: random.Random) -> None:
    """Pauses a relay with SIGSTOP, then resumes it with SIGCONT."""
    relay = rng.choice(testbed.relays)
    with recorded_fault(testbed, "pause", [f"instance:{relay.name}"]):
        relay.signal(signal.SIGSTOP)
        try:
            await anyio.sleep(_draw_duration(rng))
        finally:
            relay.signal(signal.SIGCONT)


@fault("settings changed")
async def change_settings(testbed: "Testbed", rng: random.Random) -> None:
    """Writes other seeds into a settings file, with or without SIGHUP."""
    relay = rng.choice(testbed.relays)
    relay.write_settings(_sample(rng, testbed.relays, 1.0))
    if rng.random() < 0.5:
        relay.signal(signal.SIGHUP)


@contextmanager
def _impaired(link: LinkFaults, rng: random.Random) -> Iterator[None]:
    """Blocks a link in one or both directions, or delays it, at random."""
    name = rng.choice(["blocked_to", "blocked_from", "both", "delay"])
    if name == "delay":
        link.delay_s = rng.uniform(0.05, 0.4)
        try:
            yield
        finally:
            link.delay_s = 0.0
        return
    names = ["blocked_to", "blocked_from"] if name == "both" else [name]
    for name in names:
        setattr(link, name, getattr(link, name) + 1)
    try:
        yield
    finally:
        for name in names:
            setattr(link, name, getattr(link, name) - 1)


@fault("store cut off")
async def cut_store(testbed: "Testbed", rng: random.Random) -> None:
    """Blocks or delays the links from some relays to the store."""
    relays = _sample(rng, testbed.relays, 1.0)
    with recorded_fault(
        testbed, "store cut", [f"store:{r.name}" for r in relays]
    ):
        async with anyio.create_task_group() as tasks:
            seed = rng.random()

            async def impair(relay: Relay) -> None:
                with _impaired(relay.store_link, random.Random(seed)):
                    await anyio.sleep(_draw_duration(random.Random(seed)))

            for relay in relays:
                tasks.start_soon(impair, relay)


@fault("peers cut off")
async def cut_peers(testbed: "Testbed", rng: random.Random) -> None:
    """Blocks or delays the link from the other relays to one relay."""
    relay = rng.choice(testbed.relays)
    with (
        recorded_fault(testbed, "peer cut", [f"peer:{relay.name}"]),
        _impaired(relay.peer_link, rng),
    ):
        await anyio.sleep(_draw_duration(rng))


@fault("worker cut off")
async def cut_worker(testbed: "Testbed", rng: random.Random) -> None:
    """Blocks or delays the links to some worker hosts."""
    worker_hosts = _sample(rng, testbed.worker_hosts)
    with recorded_fault(
        testbed, "worker cut", [f"place:{p.name}" for p in worker_hosts]
    ):
        async with anyio.create_task_group() as tasks:

            async def impair(worker_host: WorkerHost) -> None:
                with _impaired(worker_host.link, rng):
                    await anyio.sleep(_draw_duration(rng))

            for worker_host in worker_hosts:
                tasks.start_soon(impair, worker_host)


@fault("connections reset")
async def reset_connections(testbed: "Testbed", rng: random.Random) -> None:
    """Resets or permanently blocks the open connections of some links."""
    proxies = {f"place:{p.name}": p.proxy for p in testbed.worker_hosts}
    for relay in testbed.relays:
        proxies[f"store:{relay.name}"] = relay.store_proxy
        proxies[f"peer:{relay.name}"] = relay.peer_proxy
    targets = _sample(rng, list(proxies), 1.0)
    with recorded_fault(testbed, "connections", targets):
        blocked = rng.random() < 0.4
        for target in targets:
            if blocked:
                proxies[target].block_connections()
            else:
                proxies[target].reset_all()
        if blocked:
            await anyio.sleep(GIVE_UP_S)


@fault("new connections refused")
async def refuse_connections(testbed: "Testbed", rng: random.Random) -> None:
    """Resets new connections to some worker hosts."""
    worker_hosts = _sample(rng, testbed.worker_hosts)
    with recorded_fault(
        testbed, "refusing", [f"place:{p.name}" for p in worker_hosts]
    ):
        for worker_host in worker_hosts:
            worker_host.link.refusing += 1
        await anyio.sleep(_draw_duration(rng))
        for worker_host in worker_hosts:
            worker_host.link.refusing -= 1


@fault("worker crashed")
async def crash_worker(testbed: "Testbed", rng: random.Random) -> None:
    """Crashes workers; they restart under the same or another id."""
    worker_hosts = _sample(rng, testbed.worker_hosts)
    with recorded_fault(
        testbed, "crash", [f"place:{p.name}" for p in worker_hosts]
    ):
        async with anyio.create_task_group() as tasks:
            for worker_host in worker_hosts:
                tasks.start_soon(
                    _crash_worker,
                    worker_host,
                    _draw_duration(rng),
                    rng.random() < 0.5,
                )


async def _crash_worker(
    worker_host: WorkerHost,
    downtime_s: float,
    same_id: bool,
    cold_s: float = 0.0,
) -> None:
    worker = worker_host.crash_worker()
    if worker is None:
        return
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(worker_host.expire_entry, worker)
        await anyio.sleep(downtime_s)
        if worker_host.worker is None:
            worker_host.start_worker(
                worker.name if same_id else "", cold_s=cold_s
            )


@fault("part crashes engines")
async def crash_on_part(testbed: "Testbed", rng: random.Random) -> None:
    """Lets callers send a prompt part on which engines crash."""
    testbed.records.deadly_share = rng.uniform(*DEADLY_SHARE_RANGE)
    await anyio.sleep(rng.uniform(*DEADLY_RANGE_S))
    testbed.records.deadly_share = 0.0


@fault("request crashes workers")
async def crash_on_request(testbed: "Testbed", rng: random.Random) -> None:
    """Lets callers send a request that crashes each worker that runs it."""
    records = testbed.records
    kind = rng.choice([SAFE, UNSAFE, STREAM, RESUMABLE])
    path = f"/{kind}/repeated-{len(records.deadly_targets)}?n=0"
    records.deadly_targets.add(path)
    records.repeated = CallerRequest(
        "",
        kind,
        instance="",
        path=path,
        key="",
        body=b"" if kind == SAFE else b"repeated",
        events=5 if kind in STREAMING else 0,
        deadline_s=0.0,
    )
    await anyio.sleep(rng.uniform(*REPEATED_RANGE_S))
    records.repeated = None


@fault("worker leaves")
async def leave_worker(testbed: "Testbed", rng: random.Random) -> None:
    """Drains a worker; another one starts at its address later."""
    worker_host = rng.choice(testbed.worker_hosts)
    with recorded_fault(testbed, "leave", [f"leaving:{worker_host.name}"]):
        await worker_host.drain_worker()
        await anyio.sleep(ADDRESS_REUSE_S)
        if worker_host.worker is None:
            worker_host.start_worker()


@fault("worker removed behind silence", by_default=False)
async def remove_worker(testbed: "Testbed", rng: random.Random) -> None:
    """Removes a worker's entry after connections to the store went silent.

    The worker does not drain first, and serves longer than `DRAIN_NOTICE_S`.
    """
    worker_host = rng.choice(testbed.worker_hosts)
    worker = worker_host.worker
    if worker is None:
        return
    with recorded_fault(testbed, "leave", [f"leaving:{worker_host.name}"]):
        with recorded_fault(testbed, "silence", ["silent:store"]):
            for relay in testbed.relays:
                relay.store_proxy.block_connections()
        await anyio.sleep(rng.uniform(*REMOVED_RANGE_S))
        if worker_host.worker is worker:
            await worker_host.remove_worker()
        await anyio.sleep(ADDRESS_REUSE_S)
        if worker_host.worker is None:
            worker_host.start_worker()


@fault("worker says that it leaves")
async def announce_leave(testbed: "Testbed", rng: random.Random) -> None:
    """Lets a worker say that it leaves, and drains it some time later.

    At times another start of it is there before the store lists that it leaves.
    """
    worker_host = rng.choice(testbed.worker_hosts)
    with recorded_fault(testbed, "leave", [f"leaving:{worker_host.name}"]):
        worker = worker_host.worker
        if worker is None:
            return
        worker.leaving = True
        await anyio.sleep(rng.uniform(*ANNOUNCED_RANGE_S))
        if worker_host.worker is not worker:
            return
        if rng.random() < 0.5:
            await _crash_worker(worker_host, _draw_duration(rng), True)
            return
        await worker_host.drain_worker()
        await anyio.sleep(ADDRESS_REUSE_S)
        if worker_host.worker is None:
            worker_host.start_worker()


@fault("workers ask for a pause")
async def ask_pause(testbed: "Testbed", rng: random.Random) -> None:
    """Lets workers, up to all, refuse requests and ask for no more."""
    for worker_host in _sample(rng, testbed.worker_hosts, 1.0):
        if worker_host.worker is not None:
            worker_host.worker.paused_until = testbed.clock() + rng.uniform(
                *PAUSE_RANGE_S
            )
    await anyio.sleep(_draw_duration(rng))


@fault("workers name a rate limit")
async def name_limit(testbed: "Testbed", rng: random.Random) -> None:
    """Lets workers, up to all, name a limit in their answers for a time."""
    workers = [
        host.worker
        for host in _sample(rng, testbed.worker_hosts, 1.0)
        # The rule counts from when a worker first names a limit.
        if host.worker is not None and host.worker.limit_per_s is None
    ]
    for worker in workers:
        worker.limit_per_s = rng.choice(RATE_LIMITS_PER_S)
    await anyio.sleep(rng.uniform(*LIMITED_RANGE_S))
    for worker in workers:
        worker.limit_per_s = math.inf


@fault("workers are cold")
async def turn_cold(testbed: "Testbed", rng: random.Random) -> None:
    """Lets workers, up to all, be cold for a time, some after a restart."""
    async with anyio.create_task_group() as tasks:
        for worker_host in _sample(rng, testbed.worker_hosts, 1.0):
            cold_s = rng.uniform(*COLD_RANGE_S)
            again = rng.random() < 0.5
            down_s = _draw_duration(rng)
            if again:
                tasks.start_soon(
                    _restart_cold, testbed, worker_host, down_s, cold_s
                )
            else:
                tasks.start_soon(worker_host.turn_cold, cold_s)


async def _restart_cold(
    testbed: "Testbed", worker_host: WorkerHost, down_s: float, cold_s: float
) -> None:
    with recorded_fault(testbed, "crash", [f"place:{worker_host.name}"]):
        await _crash_worker(worker_host, down_s, True, cold_s)
    await anyio.sleep(cold_s)


@fault("workers misbehave")
async def misbehave(testbed: "Testbed", rng: random.Random) -> None:
    """Applies one kind of misbehaviour to the workers of some hosts."""
    worker_hosts = _sample(rng, testbed.worker_hosts)
    name = rng.choice(MISBEHAVIOUR_NAMES)
    with recorded_fault(
        testbed, f"workers {name}", [f"place:{p.name}" for p in worker_hosts]
    ):
        value = rng.uniform(2, 8) if name == "slow" else rng.uniform(0.1, 1.0)
        for worker_host in worker_hosts:
            setattr(worker_host.misbehaviour, name, value)
        await anyio.sleep(_draw_duration(rng))
        # Not the values from before: they may be those of a fault that overlaps
        # and would then last to the end of the run.
        sound = getattr(Misbehaviour(), name)
        for worker_host in worker_hosts:
            setattr(worker_host.misbehaviour, name, sound)


@fault("workers spoil answers", by_default=False)
async def spoil_answers(testbed: "Testbed", rng: random.Random) -> None:
    """Lets workers answer with successes that they did not sign."""
    hosts = _sample(rng, testbed.worker_hosts)
    places = [f"place:{host.name}" for host in hosts]
    with recorded_fault(testbed, "workers spoil answers", places):
        for host in hosts:
            host.misbehaviour.spoiling = rng.uniform(0.1, 1.0)
        await anyio.sleep(_draw_duration(rng))
        for host in hosts:
            host.misbehaviour.spoiling = 0.0


@fault("workers answer twice")
async def double_answers(testbed: "Testbed", rng: random.Random) -> None:
    """Lets all workers send answers twice, refuse, fail and lose results.

    In some pools only one worker is left, so that it gets a request again that
    it has refused or failed.
    """
    duration_s = rng.uniform(*DOUBLING_RANGE_S)
    hosts = testbed.worker_hosts
    pools = sorted({host.pool for host in hosts})
    small_pools = _sample(rng, pools, 1.0)
    places = [f"place:{host.name}" for host in hosts]
    with recorded_fault(testbed, "workers answer twice", places):
        for host in hosts:
            for name, shares in DOUBLING_SHARES.items():
                setattr(host.misbehaviour, name, rng.uniform(*shares))
        async with anyio.create_task_group() as tasks:
            for pool in small_pools:
                pool_hosts = [host for host in hosts if host.pool == pool]
                for host in pool_hosts[1:]:
                    tasks.start_soon(_crash_worker, host, duration_s, True)
            await anyio.sleep(duration_s)
        for host in hosts:
            for name in DOUBLING_SHARES:
                setattr(host.misbehaviour, name, 0.0)


@fault("workers silent")
async def pause_answers(testbed: "Testbed", rng: random.Random) -> None:
    """Lets sound workers send nothing for about a second, then go on."""
    worker_hosts = _sample(rng, testbed.worker_hosts, 1.0)
    phases = _sample(rng, PHASES, 1.0)
    with (
        recorded_fault(
            testbed,
            f"silent {sorted(phases)}",
            [f"silent:{p.name}" for p in worker_hosts],
        ),
        _counted([p.silence.pausing for p in worker_hosts], phases),
    ):
        await anyio.sleep(rng.uniform(*SILENCE_RANGE_S))


@fault("workers never answer")
async def end_answers(testbed: "Testbed", rng: random.Random) -> None:
    """Lets workers accept requests and never answer, or end within answers."""
    worker_hosts = _sample(rng, testbed.worker_hosts)
    phases = _sample(rng, PHASES, 1.0)
    with (
        recorded_fault(
            testbed,
            f"never answering {sorted(phases)}",
            [f"silent:{p.name}" for p in worker_hosts],
        ),
        _counted([p.silence.ending for p in worker_hosts], phases),
    ):
        await anyio.sleep(rng.uniform(*UNANSWERED_RANGE_S))


@contextmanager
def _counted(
    counts: Sequence[dict[str, int]], phases: Sequence[str]
) -> Iterator[None]:
    """Counts an active fault in phases until the context is left."""
    for count in counts:
        for phase in phases:
            count[phase] += 1
    try:
        yield
    finally:
        for count in counts:
            for phase in phases:
                count[phase] -= 1


@fault("store misbehaves")
async def misbehave_store(testbed: "Testbed", rng: random.Random) -> None:
    """Lets the store refuse, answer slowly, drop answers or its history."""
    store = testbed.store
    kind = rng.choice(["refuses", "slow", "losing", "forgets"])
    with recorded_fault(
        testbed, f"store {kind}", [f"store:{r.name}" for r in testbed.relays]
    ):
        if kind == "forgets":
            store.discard_history()
            return
        if kind == "refuses":
            store.refusal_status = rng.choice([429, 503])
        elif kind == "slow":
            store.delay_s = rng.uniform(0.1, 1.0)
        else:
            store.drops_answers = True
        await anyio.sleep(_draw_duration(rng))
        store.refusal_status, store.delay_s, store.drops_answers = 0, 0.0, False


@fault("store comes back from a copy")
async def restore_store(testbed: "Testbed", rng: random.Random) -> None:
    """Takes the store back; what was written since is written again later."""
    store = testbed.store
    copied = store.copy()
    await anyio.sleep(rng.uniform(*COPY_AGE_RANGE_S))
    with recorded_fault(
        testbed, "store restored", [f"store:{r.name}" for r in testbed.relays]
    ):
        lost = store.restore(copied)
        await anyio.sleep(rng.uniform(*REWRITE_RANGE_S))
        store.write_again(copied, lost)


@fault("failure domain evacuated")
async def evacuate_domain(testbed: "Testbed", rng: random.Random) -> None:
    """Has a failure domain evacuated for a time."""
    records, store = testbed.records, testbed.store
    held = {e.domain for e in records.evacuations if e.ended_at == math.inf}
    domains = {host.domain for host in testbed.worker_hosts} - held
    if not domains:
        return
    domain = rng.choice(sorted(domains))
    key = EVACUATION_PREFIX + domain
    order = Evacuation(domain, store.put(key, {}))
    records.evacuations.append(order)
    with recorded_fault(testbed, "evacuated", [f"evacuated:{domain}"]):
        await anyio.sleep(rng.uniform(*EVACUATED_RANGE_S))
    order.ended_at = testbed.clock()
    store.delete(key)


@fault("configuration changes")
async def change_configuration(testbed: "Testbed", rng: random.Random) -> None:
    """Stores one configuration, or a burst of them."""
    for _ in range(rng.choice([1, 1, BURST_VERSIONS])):
        publish(testbed, rng.randint(1, 4))
        await anyio.sleep(rng.uniform(0.0, 2 * BURST_GAP_S))


@fault("idle limit changes")
async def change_idle_limit(testbed: "Testbed", rng: random.Random) -> None:
    """Stores some configurations, each with another idle limit."""
    for _ in range(rng.randint(2, 4)):
        publish(testbed)
        await anyio.sleep(rng.uniform(*IDLE_CHANGE_RANGE_S))


@fault("clients keep to no limit", by_default=False)
async def send_crowd(testbed: "Testbed", rng: random.Random) -> None:
    """Lets a crowd of clients press one instance."""
    relay = rng.choice(testbed.relays)
    with recorded_fault(testbed, "crowd", [f"crowd:{relay.name}"]):
        await run_crowd(
            (relay.host, CALLER_PORT), rng, rng.uniform(*CROWD_RANGE_S)
        )


def publish(testbed: "Testbed", step: int = 1) -> None:
    """Stores a configuration whose version is `step` above the last one."""
    versions = testbed.records.versions
    number = step + (versions[-1].number if versions else 0)
    last_s = versions[-1].idle_timeout_s if versions else 0.0
    idle_timeout_s = random.Random(f"{testbed.plan.seed} {number}").choice(
        [timeout_s for timeout_s in IDLE_TIMEOUTS_S if timeout_s != last_s]
    )
    if versions:
        versions[-1].replaced_at = testbed.clock()
    acked_at = testbed.store.put(
        "op/config", document.make_document(number, idle_timeout_s)
    )
    versions.append(Version(number, acked_at, idle_timeout_s))
