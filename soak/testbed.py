"""Composition root of one run of the soak."""

import pathlib
import random
from collections.abc import Sequence

import anyio

from demo.process import Child, PortChooser, stop_children
from soak import document
from soak.caller import Caller
from soak.faults import KINDS, publish
from soak.record import STALL, TESTBED, Fault, Records
from soak.relays import STORE_PORT, Relay, RelaySupervisor
from soak.server import HttpServer
from soak.store import Store
from soak.upstream import WorkerContext
from soak.worker_hosts import WorkerHost

DOMAINS = ("koper", "izola")
FIRST_WORKER_PORT = 8100
# Host parts of the addresses: processes, the proxies in front of them, and
# what the soak serves itself.
RELAY_OCTET, PROXY_OCTET, WORKER_OCTET, SERVER_OCTET = 10, 110, 200, 210
WORKER_HOST_COUNTS = {document.PLAIN: 3, document.ENGINES: 3, document.STAGE: 2}
# A process starts in about 2 s; more beside a full CI run.
START_LIMIT_S = 20.0
POLL_S = 0.05
# Share of faults that come two or three times, and the pause between.
REPEAT_SHARE = 0.3
REPEAT_GAP_MAX_S = 0.5
# After the last fault the instances are back in touch (`contactMs` of the
# users' deployments), then serve as before (`recoverS`) while callers go on.
RECONNECT_S = 4.0
RECOVERED_LOAD_S = 4.0
# A turn of the soak's loop that takes longer is noted: beside other work of the
# machine it may be late itself.
STALL_POLL_S = 0.02
STALL_MIN_S = 0.1


class Plan:
    """How one run goes.

    Attributes:
        seed: Decides faults and requests.
        length_s: Time in which faults begin.
        faults: Number of faults; some are repeated.
        relays: Number of relay processes.
        callers: Number of callers.
        only: Kinds of fault to choose from; all if empty.
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
        self.only = list(only) or list(KINDS)


class Testbed:
    """Everything of one run.

    Attributes:
        plan: How it goes.
        records: What was seen.
        store: The platform's store.
        fleet: The relay processes.
        relays: The same, in order.
        places: Where workers stand.
    """

    def __init__(
        self, plan: Plan, directory: pathlib.Path, network: int
    ) -> None:
        """Wires the parts.

        Args:
            plan: How the run goes.
            directory: Where settings and logs go.
            network: Number that no other run of this machine has, from which
                the loopback addresses are made.
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
        """Plays the run; returns what was seen.

        Raises:
            TimeoutError: The instances were not ready in time.
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
        """Waits until an instance receives new connections.

        Args:
            relay: The instance.
            predecessor: A process of it that does not count, since it ends.

        Raises:
            TimeoutError: It is not ready in time.
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
        """Injects one fault of the plan, some of them several times."""
        rng = random.Random(f"{self.plan.seed} fault {number}")
        await anyio.sleep(rng.uniform(0.0, self.plan.length_s))
        inject = KINDS[rng.choice(self.plan.only)]
        repeats = rng.randint(2, 3) if rng.random() < REPEAT_SHARE else 1
        for _ in range(repeats):
            await inject(self, rng)
            await anyio.sleep(rng.uniform(0.0, REPEAT_GAP_MAX_S))

    async def _watch_stalls(self) -> None:
        """Notes when the soak itself does not keep up."""
        while True:
            before = self.clock()
            await anyio.sleep(STALL_POLL_S)
            if self.clock() - before > STALL_MIN_S:
                stall = Fault(STALL, [TESTBED], before)
                stall.ended_at = self.clock()
                self.records.faults.append(stall)

    async def _stop(self) -> None:
        """Stops every instance in order."""
        for relay in self.relays:
            relay.restart = False
            self.supervisor.send_sigterm(relay)
        # Those that stay too long are killed and noted by the fleet.
        while any(r.child.running for r in self.relays if r.child):
            await anyio.sleep(POLL_S)

    def _kill_all(self) -> None:
        for relay in self.relays:
            relay.restart = False
        children = [r.child for r in self.relays if r.child is not None]
        stop_children(children, 0.0)


def run_plan(plan: Plan, directory: pathlib.Path) -> Records:
    """Plays one run from start to end."""
    chooser = PortChooser()

    async def run() -> Records:
        # A port that is locked by this run alone numbers its addresses.
        return await Testbed(plan, directory, chooser.choose()).run()

    try:
        return anyio.run(run)
    finally:
        chooser.close()
