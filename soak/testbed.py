"""Creates and runs all components of one run of the soak."""

import pathlib
import random
from collections.abc import Sequence

import anyio

from demo.process import Child, PortChooser, stop_children
from soak import document
from soak.caller import Caller
from soak.faults import DEFAULT_KINDS, KINDS, publish
from soak.record import STALL, TESTBED, Fault, Records
from soak.relays import STORE_PORT, Relay, RelaySupervisor
from soak.server import HttpServer
from soak.store import Store
from soak.upstream import WorkerContext
from soak.worker_hosts import WorkerHost

DOMAINS = ("koper", "izola")
FIRST_WORKER_PORT = 8100
# Last octets of the loopback addresses: of the relay processes and of the
# proxies in front of them (each plus the number of the relay), of the proxies
# in front of the worker hosts, and of the servers of the soak itself.
RELAY_OCTET, PROXY_OCTET, WORKER_OCTET, SERVER_OCTET = 10, 110, 200, 210
WORKER_HOST_COUNTS = {document.PLAIN: 3, document.ENGINES: 3, document.STAGE: 2}
# A process starts in about 2 s, and takes longer during a full CI run.
START_LIMIT_S = 20.0
POLL_S = 0.05
# Share of faults that are injected two or three times, and the longest gap.
REPEAT_SHARE = 0.3
REPEAT_GAP_MAX_S = 0.5
# Time after the last fault for the instances to reconnect (`contactMs` of the
# users' deployments) and to serve as before (`recoverS`), then the time during
# which requests still have to be served.
RECONNECT_S = 4.0
RECOVERED_LOAD_S = 4.0
# Interval of the check for pauses of the soak's own event loop, and the least
# delay that is recorded: on a busy machine the soak itself may be late.
STALL_POLL_S = 0.02
STALL_MIN_S = 0.1


class Plan:
    """Parameters of one run.

    Attributes:
        seed: Seed of the faults, requests and worker behaviour.
        length_s: Time in which faults start.
        faults: Number of faults; some are repeated.
        relays: Number of relay processes.
        callers: Number of callers.
        only: Kinds of faults to choose from; all if empty.
    """

    __slots__ = ("seed", "length_s", "faults", "relays", "callers", "only")

    def __init__(
        self,
        seed: int,
        *,
        length_s: float = 15.0,
        faults: int = 10,
        relays: int = 4,
        callers: int = 12,
        only: Sequence[str] = (),
    ) -> None:
        self.seed = seed
        self.length_s = length_s
        self.faults = faults
        self.relays = relays
        self.callers = callers
        self.only = list(only) or list(DEFAULT_KINDS)


class Testbed:
    """All components of one run: relays, store, worker hosts and callers.

    Attributes:
        plan: Parameters of the run.
        records: What callers and upstreams observed.
        clock: Monotonic clock in seconds.
        store: Stand-in for the platform's store.
        supervisor: Supervisor of the relay processes.
        relays: Relays in the order of their numbers.
        worker_hosts: Worker hosts of all pools.
    """

    def __init__(
        self, plan: Plan, directory: pathlib.Path, network: int
    ) -> None:
        """Creates the components without starting them.

        Args:
            plan: Parameters of the run.
            directory: Directory of settings and log files.
            network: 16-bit number unique among the runs on this machine; the
                middle octets of the loopback addresses.
        """
        self.plan = plan
        self.records = Records()
        self.clock = anyio.current_time
        self.store = Store(self.clock)
        prefix = f"127.{network >> 8}.{network & 255}"
        store = (f"{prefix}.{SERVER_OCTET}", STORE_PORT)
        self._store_server = HttpServer(store, self.store.handle)
        self.relays = [
            Relay(
                f"relay-{n}",
                DOMAINS[n % len(DOMAINS)],
                f"{prefix}.{RELAY_OCTET + n}",
                f"{prefix}.{PROXY_OCTET + n}",
                store,
                directory,
            )
            for n in range(plan.relays)
        ]
        self.supervisor = RelaySupervisor(self.relays, self.records, self.clock)
        context = WorkerContext(
            self.records, self.clock, random.Random(f"{plan.seed} workers")
        )
        self.worker_hosts: list[WorkerHost] = []
        for pool, count in WORKER_HOST_COUNTS.items():
            for n in range(count):
                port = FIRST_WORKER_PORT + len(self.worker_hosts)
                self.worker_hosts.append(
                    WorkerHost(
                        f"{pool}-{n}",
                        pool,
                        DOMAINS[n % len(DOMAINS)],
                        (f"{prefix}.{WORKER_OCTET}", port),
                        (f"{prefix}.{SERVER_OCTET}", port),
                        self.store,
                        context,
                    )
                )

    async def run(self) -> Records:
        """Executes the run; returns its records.

        Raises:
            TimeoutError: The instances were not ready within `START_LIMIT_S`.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_stalls)
            await tasks.start(self._store_server.run)
            for worker_host in self.worker_hosts:
                await tasks.start(worker_host.run)
                worker_host.start_worker()
            publish(self)
            try:
                await tasks.start(self.supervisor.run)
                for relay in self.relays:
                    await self.wait_ready(relay)
                await self._run_load()
                await self._stop()
            finally:
                self._kill_all()
            tasks.cancel_scope.cancel()
        return self.records

    async def wait_ready(
        self, relay: Relay, predecessor: Child | None = None
    ) -> None:
        """Waits until an instance has passed a readiness probe.

        Args:
            relay: The instance.
            predecessor: Process of the instance that is ending, whose
                readiness does not count.

        Raises:
            TimeoutError: It is not ready within `START_LIMIT_S`.
        """
        with anyio.fail_after(START_LIMIT_S):
            while relay.ready_child in (None, predecessor):
                await anyio.sleep(POLL_S)

    async def _run_load(self) -> None:
        stop = anyio.Event()
        async with anyio.create_task_group() as callers:
            for n in range(self.plan.callers):
                rng = random.Random(f"{self.plan.seed} caller {n}")
                caller = Caller(
                    f"c{n}",
                    rng,
                    self.records,
                    self.supervisor.rotation,
                    self.clock,
                )
                callers.start_soon(caller.run, stop)
            async with anyio.create_task_group() as faults:
                for n in range(self.plan.faults):
                    faults.start_soon(self._inject, n)
            await anyio.sleep(RECONNECT_S)
            self.records.faults_ended_at = self.clock()
            await anyio.sleep(RECOVERED_LOAD_S)
            stop.set()

    async def _inject(self, number: int) -> None:
        """Injects one fault of the plan, sometimes two or three times."""
        rng = random.Random(f"{self.plan.seed} fault {number}")
        await anyio.sleep(rng.uniform(0.0, self.plan.length_s))
        inject = KINDS[rng.choice(self.plan.only)]
        repeats = rng.randint(2, 3) if rng.random() < REPEAT_SHARE else 1
        for _ in range(repeats):
            await inject(self, rng)
            await anyio.sleep(rng.uniform(0.0, REPEAT_GAP_MAX_S))

    async def _watch_stalls(self) -> None:
        """Records pauses of the soak's own event loop as faults."""
        while True:
            before = self.clock()
            await anyio.sleep(STALL_POLL_S)
            if self.clock() - before > STALL_MIN_S:
                stall = Fault(STALL, [TESTBED], before)
                stall.ended_at = self.clock()
                self.records.faults.append(stall)

    async def _stop(self) -> None:
        """Stops every instance with SIGTERM and waits for its end."""
        for relay in self.relays:
            relay.restart = False
            self.supervisor.send_sigterm(relay)
        # The supervisor kills and records those that do not exit in time.
        while any(r.child.running for r in self.relays if r.child):
            await anyio.sleep(POLL_S)

    def _kill_all(self) -> None:
        for relay in self.relays:
            relay.restart = False
        children = [r.child for r in self.relays if r.child is not None]
        stop_children(children, 0.0)


def run_plan(plan: Plan, directory: pathlib.Path) -> Records:
    """Executes one run on loopback addresses of its own."""
    chooser = PortChooser()

    async def run() -> Records:
        # The network number is a port locked for this run alone, so that no
        # other run on the machine uses the same addresses.
        return await Testbed(plan, directory, chooser.choose()).run()

    try:
        return anyio.run(run)
    finally:
        chooser.close()
