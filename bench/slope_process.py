"""Measures the control plane cost of an entry process before stand-ins."""

import asyncio
import os
import pathlib
import statistics
import subprocess
import sys
from collections.abc import Sequence
from typing import Any

from bench.slope_document import write_document
from bench.slope_fit import Slope
from bench.slope_standins import ControlStandIns, find_port

WARM_UP_S = 8.0
WINDOW_S = 4.0
WINDOWS = 3
CASES_IN_PARALLEL = 3
INTERFACES = ("load", "platform", "peers")
SMALL_SIZE = (60, 50, 300)
PLAN_SIZE = (600, 350, 1800)


class Case:
    """A fleet size at which the process is measured.

    Attributes:
        upstreams: Number of upstreams.
        peers: Number of other entry instances.
        accounts: Number of client accounts.
        outage: Whether the platform resets its connections.
    """

    __slots__ = ("upstreams", "peers", "accounts", "outage")

    def __init__(
        self,
        upstreams: int,
        peers: int,
        accounts: int,
        *,
        outage: bool = False,
    ) -> None:
        self.upstreams = upstreams
        self.peers = peers
        self.accounts = accounts
        self.outage = outage


class Cost:
    """Control plane cost of the process, medians of the windows.

    Attributes:
        cpu_ms: Processor milliseconds a second, user and system.
        memory_mb: Resident memory in megabytes.
        rates: Events and bytes a second by name, as in
            `ControlStandIns.counts`.
    """

    __slots__ = ("cpu_ms", "memory_mb", "rates")

    def __init__(
        self, cpu_ms: float, memory_mb: float, rates: dict[str, float]
    ) -> None:
        self.cpu_ms = cpu_ms
        self.memory_mb = memory_mb
        self.rates = rates

    @property
    def sent_kb(self) -> float:
        """Kilobytes of payload sent a second."""
        return sum(self.rates.get(f"{i} sent", 0.0) for i in INTERFACES) / 1000

    @property
    def received_kb(self) -> float:
        """Kilobytes of payload received a second."""
        received = (self.rates.get(f"{i} received", 0.0) for i in INTERFACES)
        return sum(received) / 1000

    def to_json(self) -> dict[str, Any]:
        """Returns all attributes."""
        fields = ("cpu_ms", "memory_mb", "sent_kb", "received_kb", "rates")
        return {name: getattr(self, name) for name in fields}

    def to_row(self) -> str:
        """Returns the cells of a Markdown table."""
        polls = self.rates.get("load polls", 0.0)
        heartbeats = self.rates.get("heartbeats received", 0.0)
        return (
            f"{self.cpu_ms / 10:.2f} % | {self.memory_mb:.0f} | "
            f"{self.sent_kb:.2f} | {self.received_kb:.2f} | "
            f"{polls:.1f} | {heartbeats:.1f} |"
        )


def measure_cases(cases: Sequence[Case]) -> list[Cost]:
    """Measures the cases, CASES_IN_PARALLEL at a time."""
    return asyncio.run(_measure_all(cases))


def make_slopes(
    size: str, sizes: Sequence[float], costs: Sequence[Cost], plan: float
) -> list[Slope]:
    """Returns fits of processor time, memory and bytes by a size."""
    quantities = (
        ("process: control processor time", "ms/s", "cpu_ms"),
        ("process: resident memory", "MB", "memory_mb"),
        ("process: sent", "KB/s", "sent_kb"),
        ("process: received", "KB/s", "received_kb"),
    )
    return [
        Slope(
            name,
            unit,
            size,
            [(s, getattr(c, key)) for s, c in zip(sizes, costs, strict=True)],
            plan,
        )
        for name, unit, key in quantities
    ]


async def _measure_all(cases: Sequence[Case]) -> list[Cost]:
    free = asyncio.Semaphore(CASES_IN_PARALLEL)

    async def measure(case: Case) -> Cost:
        async with free:
            return await _measure(case)

    return await asyncio.gather(*(measure(case) for case in cases))


async def _measure(case: Case) -> Cost:
    stand_ins = ControlStandIns(find_port())
    addresses = await stand_ins.open(case.upstreams, case.peers)
    stand_ins.document = write_document(addresses, accounts=case.accounts)
    process = start_entry(stand_ins)
    try:
        stand_ins.start()
        await asyncio.sleep(WARM_UP_S)
        stand_ins.outage = case.outage
        if case.outage:
            await asyncio.sleep(WARM_UP_S)
        return await _observe(process, stand_ins)
    finally:
        process.kill()
        process.wait()
        await stand_ins.close()


async def _observe(
    process: subprocess.Popen, stand_ins: ControlStandIns
) -> Cost:
    cpus, rates = [], []
    loop = asyncio.get_running_loop()
    for _ in range(WINDOWS):
        started_at, cpu_s = loop.time(), read_cpu_s(process.pid)
        counts = stand_ins.counts.copy()
        await asyncio.sleep(WINDOW_S)
        elapsed_s = loop.time() - started_at
        cpus.append(1e3 * (read_cpu_s(process.pid) - cpu_s) / elapsed_s)
        rates.append(
            {
                name: (count - counts[name]) / elapsed_s
                for name, count in stand_ins.counts.items()
            }
        )
    if process.poll() is not None:
        raise SystemExit(
            f"the entry process exited with code {process.returncode}"
        )
    medians = {
        name: statistics.median(r.get(name, 0.0) for r in rates)
        for name in rates[-1]
    }
    return Cost(statistics.median(cpus), read_memory_mb(process.pid), medians)


def start_entry(stand_ins: ControlStandIns, port: int = 0) -> subprocess.Popen:
    """Starts an entry process; port 0 stands for any free port."""
    flags = {
        "name": stand_ins.name,
        "failure-domain": "domain-0",
        "platform": stand_ins.platform,
        "listen-port": str(port),
        "peer-port": str(stand_ins.peer_port),
        "log-level": "ERROR",
    }
    arguments = [part for k, v in flags.items() for part in (f"--{k}", v)]
    return subprocess.Popen(
        [sys.executable, "-m", "applespring.entry.main", *arguments],
        env=os.environ,
    )


def read_cpu_s(pid: int) -> float:
    """Returns the processor seconds of all threads of a process."""
    tasks = pathlib.Path(f"/proc/{pid}/task").iterdir()
    ran = [int((t / "schedstat").read_text().split()[0]) for t in tasks]
    return sum(ran) / 1e9


def read_memory_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB, or 0 without a value."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1000
    return 0.0
