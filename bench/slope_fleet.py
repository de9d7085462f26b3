"""Measures platform load and the spread of configurations, in virtual time."""

from collections import Counter
from collections.abc import Awaitable, Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import anyio
from loguru import logger
from trio.testing import MockClock

from bench.slope_document import DOMAINS, make_addresses, write_document
from bench.slope_fit import Slope
from standins.fleet import EntryHost, VirtualFleet
from standins.peer_network import MemoryTransport

ENTRIES_PER_DOMAIN = (4, 8, 17, 29)
INSTANCES = tuple(DOMAINS * count for count in ENTRIES_PER_DOMAIN)
SETTLE_S = 6.0
STEADY_S = 5.0
OUTAGE_S = 12.0
SPREAD_LIMIT_S = 20.0
SAMPLE_S = 0.05
LOSS_PROBABILITY = 0.3
WORKERS = 4

FIGURES = (
    ("mass start: peak", "calls/s"),
    ("steady: platform calls", "calls/s"),
    ("steady: datagrams sent by an instance", "1/s"),
    ("steady: datagram bytes sent by an instance", "KB/s"),
    ("configuration, all see the platform", "s"),
    ("the same: bytes between peers, per instance", "KB"),
    ("configuration, one failure domain sees it", "s"),
    ("the same: bytes between peers, per instance", "KB"),
    ("the same with datagrams lost", "s"),
    ("healed partition from the platform: peak", "calls/s"),
    ("instance list, all see it: bytes, per instance", "KB"),
    ("platform back after an outage: peak", "calls/s"),
    ("mass restart: peak", "calls/s"),
)


class ControlFleet(VirtualFleet):
    """A fleet of entry instances that run their control plane only.

    That is configuration, membership, peers and keys.
    """

    async def _run_instance(self, host: EntryHost) -> None:
        instance = host.instance
        with host.scope:
            async with anyio.create_task_group() as tasks:
                await tasks.start(instance.keys.run)
                await tasks.start(instance.peers.run)
                tasks.start_soon(instance.config.run)
                tasks.start_soon(instance.members.run)
                tasks.start_soon(instance._peering.run)


class FleetRun:
    """Measures one fleet in all situations of `FIGURES`.

    Attributes:
        calls: Times of the calls that reached the platform, in seconds.
        sent: Counts of datagrams and bytes sent between peers.
        figures: The results in the order of `FIGURES`.
    """

    def __init__(self, entries_per_domain: int) -> None:
        self.entries_per_domain = entries_per_domain
        self.calls: list[float] = []
        self.sent: Counter[str] = Counter()
        self.figures: list[float] = []
        self._fleet: ControlFleet
        self._document = write_document(
            make_addresses(DOMAINS), pools=1, accounts=12, pipelines=1
        ).replace("reports_load = true", "reports_load = false")

    def run(self) -> list[float]:
        """Runs the fleet and returns the figures."""
        with _CountedTransport(self.sent):
            anyio.run(
                self._run,
                backend="trio",
                backend_options={"clock": MockClock(autojump_threshold=0)},
            )
        return self.figures

    async def _run(self) -> None:
        async with anyio.create_task_group() as tasks:
            fleet = self._fleet = ControlFleet(
                tasks,
                self._document,
                entries_per_domain=self.entries_per_domain,
            )
            self._count_calls()
            await fleet.start()
            await self._observe()
            tasks.cancel_scope.cancel()

    async def _observe(self) -> None:
        fleet = self._fleet
        count = len(fleet.entries)
        await anyio.sleep(SETTLE_S)
        self.figures.append(self._peak_call_rate(0.0))
        await self._observe_steady(count)
        await self._measure_change(self._measure_spread, count)
        for domain in fleet.fleet.failure_domains[1:]:
            fleet.network.cut(domain, "platform")
        await self._measure_change(self._measure_spread, count)
        fleet.peer_network.loss = LOSS_PROBABILITY
        self.figures.append(await self._measure_spread())
        fleet.peer_network.loss = 0.0
        await anyio.sleep(OUTAGE_S)
        healed_at = anyio.current_time()
        fleet.heal()
        await anyio.sleep(SETTLE_S)
        self.figures.append(self._peak_call_rate(healed_at))
        self.sent.clear()
        await fleet.publish_list()
        await anyio.sleep(SETTLE_S)
        self.figures.append(self.sent["request bytes"] / 1000 / count)
        await self._observe_outage()

    async def _observe_steady(self, count: int) -> None:
        self.sent.clear()
        before = len(self.calls)
        await anyio.sleep(STEADY_S)
        per_s = 1.0 / STEADY_S
        self.figures += [
            (len(self.calls) - before) * per_s,
            self.sent["datagrams"] * per_s / count,
            self.sent["datagram bytes"] * per_s / count / 1000,
        ]

    async def _observe_outage(self) -> None:
        fleet = self._fleet
        fleet.platform.outage = True
        await anyio.sleep(OUTAGE_S)
        back_at = anyio.current_time()
        fleet.platform.outage = False
        await anyio.sleep(SETTLE_S)
        self.figures.append(self._peak_call_rate(back_at))
        for name in fleet.entries:
            fleet.kill_entry(name)
        restarted_at = anyio.current_time()
        for name in fleet.entries:
            fleet.run_entry(name)
        await anyio.sleep(SETTLE_S)
        self.figures.append(self._peak_call_rate(restarted_at))

    async def _measure_change(
        self, act: Callable[[], Awaitable[float]], count: int
    ) -> None:
        """Adds the figures of a change: its seconds, and the KB sent for it."""
        self.sent.clear()
        self.figures.append(await act())
        await anyio.sleep(SETTLE_S)
        self.figures.append(self.sent["request bytes"] / 1000 / count)

    async def _measure_spread(self) -> float:
        """Publishes a document; returns the seconds until all have it in force.

        It waits at most SPREAD_LIMIT_S.
        """
        started_at = anyio.current_time()
        revision = await self._fleet.publish(self._document)
        with anyio.move_on_after(SPREAD_LIMIT_S):
            while not self._is_in_force(revision):
                await anyio.sleep(SAMPLE_S)
        return anyio.current_time() - started_at

    def _is_in_force(self, revision: int) -> bool:
        hosts = self._fleet.entries.values()
        return all(
            host.instance.config.tracker.revision >= revision for host in hosts
        )

    def _count_calls(self) -> None:
        check = self._fleet.platform.intercept_request

        def intercept_request(req: Any) -> Any:
            self.calls.append(anyio.current_time())
            return check(req)

        self._fleet.platform.intercept_request = intercept_request

    def _peak_call_rate(self, since: float) -> float:
        """Returns the most platform calls in any second from `since` on."""
        times = [at for at in self.calls if at >= since]
        first = most = 0
        for last, at in enumerate(times):
            while at - times[first] >= 1.0:
                first += 1
            most = max(most, last - first + 1)
        return float(most)


class _CountedTransport:
    """Context manager that counts what all in-memory transports send."""

    def __init__(self, sent: Counter[str]) -> None:
        self._sent = sent
        self._send = MemoryTransport.send
        self._request = MemoryTransport.request

    def __enter__(self) -> None:
        sent, send, request = self._sent, self._send, self._request

        async def counted_send(
            transport: MemoryTransport, address: str, data: bytes
        ) -> None:
            sent["datagrams"] += 1
            sent["datagram bytes"] += len(data)
            await send(transport, address, data)

        async def counted_request(
            transport: MemoryTransport,
            address: str,
            data: bytes,
            timeout_s: float,
        ) -> bytes:
            sent["request bytes"] += len(data)
            reply = await request(transport, address, data, timeout_s)
            sent["request bytes"] += len(reply)
            return reply

        MemoryTransport.send = counted_send
        MemoryTransport.request = counted_request

    def __exit__(self, *exc: object) -> None:
        MemoryTransport.send = self._send
        MemoryTransport.request = self._request


def run_fleet(entries_per_domain: int) -> list[float]:
    """Measures one fleet; runs in a worker process, whose log it disables."""
    logger.remove()
    return FleetRun(entries_per_domain).run()


def measure_fleets() -> list[Slope]:
    """Measures fleets of several sizes and fits each figure."""
    with ProcessPoolExecutor(WORKERS) as pool:
        runs = list(pool.map(run_fleet, reversed(ENTRIES_PER_DOMAIN)))[::-1]
    return [
        Slope(
            name,
            unit,
            "instances",
            list(zip(INSTANCES, (run[i] for run in runs), strict=True)),
            350,
        )
        for i, (name, unit) in enumerate(FIGURES)
    ]
