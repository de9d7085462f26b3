"""Worker hosts: an address, the link to it, and the worker that runs there."""

import itertools
import time

import anyio

from soak import document
from soak.net import Address
from soak.proxy import LinkFaults, TcpProxy
from soak.record import Fault
from soak.server import HttpServer, Reply, Request
from soak.silence import CONTROL_TARGETS, Silence
from soak.store import Store
from soak.upstream import (
    EngineWorker,
    Misbehaviour,
    PlainWorker,
    StageWorker,
    Worker,
    WorkerContext,
)

WORKER_CLASSES: dict[str, type[Worker]] = {
    document.PLAIN: PlainWorker,
    document.ENGINES: EngineWorker,
    document.STAGE: StageWorker,
}
# Time that a worker whose entry was removed goes on serving. All instances have
# to notice that within 3 s of the silence before it.
REMOVED_SERVES_S = 4.5
# Time that a draining worker still serves after the store has acknowledged it.
DRAIN_NOTICE_S = 2.0
# Shortest and longest time until an engine that crashed on a prompt part is
# back.
CRASH_RANGE_S = (0.5, 1.5)
# Time in which all instances have read that a worker has become cold.
COLD_NOTICE_S = 1.5
# Time after which the store removes the entry of a worker that ended.
ENTRY_EXPIRY_S = 1.0


class WorkerHost:
    """An address at which workers run one after the other.

    Attributes:
        name: Its name.
        pool: Service of its workers.
        domain: Its failure domain.
        worker: Worker that runs there now, or None.
        link: Faults of the link to it.
        proxy: Proxy of that link.
        misbehaviour: Deviations of its workers from the protocol.
        silence: Phases in which its workers send nothing.
    """

    def __init__(
        self,
        name: str,
        pool: str,
        domain: str,
        proxy_address: Address,
        server_address: Address,
        store: Store,
        context: WorkerContext,
    ) -> None:
        self.name = name
        self.pool = pool
        self.domain = domain
        self.worker: Worker | None = None
        self.link = LinkFaults()
        self.proxy = TcpProxy(proxy_address, server_address, self.link)
        self.misbehaviour = Misbehaviour()
        self.silence = Silence()
        self._address = f"{proxy_address[0]}:{proxy_address[1]}"
        self._server = HttpServer(server_address, self._handle)
        self._store = store
        self._context = context
        self._worker_numbers = itertools.count(1)
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Serves until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await tasks.start(self._server.run)
            await tasks.start(self.proxy.run)
            task_status.started()

    def start_worker(self, name: str = "", *, cold_s: float = 0.0) -> None:
        """Starts and registers a worker, by default under a new id.

        Args:
            name: Its id, or "".
            cold_s: How long it is cold.
        """
        name = name or f"{self.name}-{next(self._worker_numbers)}"
        worker = WORKER_CLASSES[self.pool](
            name, self.pool, self.misbehaviour, self._context
        )
        if isinstance(worker, StageWorker):
            worker.address = self._address
        worker.crash = self._crash_on_request
        self._context.records.domains[worker.start] = self.domain
        self.worker = worker
        worker.born_ms = time.time_ns() // 1_000_000
        worker.cold_from = self._context.clock()
        worker.cold_until = worker.cold_from + cold_s
        self.proxy.open_port()
        self._register(worker, "ready", cold_s)

    async def turn_cold(self, cold_s: float) -> None:
        """Lets its worker be cold for a time, and say so in its entry."""
        worker = self.worker
        if worker is None or self._leaves(worker):
            return
        self._register(worker, "ready", cold_s)
        clock = self._context.clock
        worker.cold_from = clock() + COLD_NOTICE_S
        worker.cold_until = clock() + cold_s
        await anyio.sleep(cold_s)
        # It may have become cold again meanwhile.
        if (
            self.worker is worker
            and not self._leaves(worker)
            and worker.cold_until <= clock()
        ):
            self._register(worker, "ready")

    def _leaves(self, worker: Worker) -> bool:
        drained = self._context.records.drain_acked_at
        return worker.leaving or worker.start in drained

    def crash_worker(self) -> Worker | None:
        """Ends the worker at once; its registry entry stays."""
        worker, self.worker = self.worker, None
        if worker is not None:
            worker.stop()
            self.proxy.close_port()
            self._server.reset_all()
        return worker

    def _crash_on_request(self, cause: str) -> None:
        """Ends the worker, which comes back later.

        Args:
            cause: The deadly prompt part, or the path of the request.
        """
        worker = self.crash_worker()
        if worker is not None and self._tasks is not None:
            crashes = self._context.records.deadly_crashes
            crashes.setdefault(cause, []).append(self._context.clock())
            self._tasks.start_soon(self._come_back, worker)

    async def _come_back(self, worker: Worker) -> None:
        records, clock = self._context.records, self._context.clock
        crash = Fault("crash on request", [f"place:{self.name}"], clock())
        records.faults.append(crash)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.expire_entry, worker)
            await anyio.sleep(self._context.rng.uniform(*CRASH_RANGE_S))
            if self.worker is None:
                same_id = self._context.rng.random() < 0.5
                self.start_worker(worker.name if same_id else "")
        crash.ended_at = clock()

    async def expire_entry(self, worker: Worker) -> None:
        """Removes the entry of an ended worker later, unless it runs again."""
        await anyio.sleep(ENTRY_EXPIRY_S)
        if self.worker is None or self.worker.name != worker.name:
            self._store.delete(f"servers/{worker.name}")

    async def drain_worker(self) -> None:
        """Registers the worker as draining, then ends it and its entry."""
        worker = self.worker
        if worker is None:
            return
        acked_at = self._register(worker, "draining")
        self._context.records.drain_acked_at[worker.start] = acked_at
        await anyio.sleep(DRAIN_NOTICE_S + ENTRY_EXPIRY_S)
        if self.worker is worker:
            self.crash_worker()
        self._store.delete(f"servers/{worker.name}")

    async def remove_worker(self) -> None:
        """Removes the entry of the worker, which ends some time later."""
        worker = self.worker
        if worker is None:
            return
        now = self._context.clock()
        self._store.delete(f"servers/{worker.name}")
        self._context.records.drain_acked_at[worker.start] = now
        await anyio.sleep(REMOVED_SERVES_S)
        if self.worker is worker:
            self.crash_worker()

    def _register(
        self, worker: Worker, state: str, cold_s: float = 0.0
    ) -> float:
        entry = document.make_entry(
            self.pool,
            self._address,
            self.domain,
            state,
            worker.born_ms,
            cold_s,
        )
        return self._store.put(f"servers/{worker.name}", entry)

    async def _handle(self, req: Request, reply: Reply) -> None:
        if self.worker is None:
            reply.reset()
        else:
            reply.silence = self.silence
            reply.is_control = req.target in CONTROL_TARGETS
            self.worker.speak(req, reply)
            await self.worker.handle(req, reply)
