"""Relay processes: settings, supervision and readiness probes."""

import contextlib
import math
import pathlib
import signal
from collections.abc import Callable, Sequence

import anyio

from demo.process import Child
from soak.document import COLD_OVERSHOOT, COLD_SLACK
from soak.net import Address, ConnError, connect
from soak.proxy import LinkFaults, TcpProxy, UdpProxy
from soak.record import STARVED, Fault, Records

CALLER_PORT = 8625
READY_PORT = 8621
PEER_PORT = 7740
STORE_PORT = 8624
# Time after which the platform restarts a process that ended.
RESTART_DELAY_S = 0.3
EXIT_POLL_S = 0.02
# The load balancer probes each instance every second, and stops sending new
# connections after two failed probes in a row.
READY_PROBE_S = 1.0
FAILED_PROBES_MAX = 2
# Time from SIGTERM to SIGKILL, and the setting `bounds.graceS`.
TERM_GRACE_S = 8.0
# A younger process is sent no SIGHUP: the signal would end it until the
# interpreter has reached the first lines of the program, which ignore SIGHUP.
SIGHUP_AGE_MIN_S = 1.0
# Memory of the users' smallest machines; fewer descriptors, so that a crowd can
# use them up. 200 are not for sockets (the platform's deployment page).
MEMORY_MB = 160
DESCRIPTORS_MAX = 400
SOCKETS_MAX = DESCRIPTORS_MAX - 200
READY_STATUS_LINE = b"HTTP/1.1 200"
# Interval at which the time is read for which a process could have run but had
# to wait for a processor, and the least wait in it that is recorded.
STARVED_POLL_S = 0.1
STARVED_MIN_S = 0.05


class Relay:
    """One instance with its process, its settings and its links.

    Attributes:
        name: Its name.
        domain: Its failure domain.
        host: IP at which its process listens.
        peer_link: Faults of the link from other instances to it.
        store_link: Faults of its link to the store.
        peer_proxy: Proxy of the TCP connections of other instances to it.
        store_proxy: Proxy of its connections to the store.
        child: Its process, or None before the first start.
        restart: Whether its process is restarted after it ended.
        failed_probes: Number of failed readiness probes in a row.
        ready_child: Process of the last successful readiness probe, or None.
    """

    def __init__(
        self,
        name: str,
        domain: str,
        host: str,
        proxy_host: str,
        store: Address,
        directory: pathlib.Path,
    ) -> None:
        """Initializes the instance without starting its process.

        Args:
            name: Its name.
            domain: Its failure domain.
            host: IP at which its process listens.
            proxy_host: IP of the proxies through which others reach it.
            store: Address of the store.
            directory: Directory of its settings and log files.
        """
        self.name = name
        self.domain = domain
        self.host = host
        self.peer_link = LinkFaults()
        self.store_link = LinkFaults()
        peer_address, proxy_address = (host, PEER_PORT), (proxy_host, PEER_PORT)
        self.peer_proxy = TcpProxy(proxy_address, peer_address, self.peer_link)
        self._udp_proxy = UdpProxy(proxy_address, peer_address, self.peer_link)
        self._store = (proxy_host, STORE_PORT)
        self.store_proxy = TcpProxy(self._store, store, self.store_link)
        self.child: Child | None = None
        self.restart = True
        self.failed_probes = FAILED_PROBES_MAX
        self.ready_child: Child | None = None
        self._started_at = -math.inf
        self._proxy_host = proxy_host
        self._directory = directory

    @property
    def log_path(self) -> pathlib.Path:
        """File with the log lines of all its processes."""
        return self._directory / f"{self.name}.log"

    @property
    def settings_path(self) -> pathlib.Path:
        """Settings file that its processes read."""
        return self._directory / f"{self.name}.conf"

    def write_settings(self, seeds: Sequence["Relay"]) -> None:
        """Writes the settings file in the platform's format."""
        host, proxy_host = self.host, self._proxy_host
        seed_addresses = ",".join(
            f"{s._proxy_host}:{READY_PORT}" for s in seeds
        )
        lines = {
            "node": self.name,
            "zone": self.domain,
            "ip": proxy_host,
            "listen.front": f"{host}:{CALLER_PORT}",
            "listen.ready": f"{host}:{READY_PORT}",
            "internalPorts": f"{PEER_PORT},{PEER_PORT + 10}",
            "seeds": seed_addresses,
            "platform.address": f"{self._store[0]}:{self._store[1]}",
            "limits.memoryMb": f"{MEMORY_MB}",
            "limits.maxFds": f"{DESCRIPTORS_MAX}",
            "bounds.graceS": f"{TERM_GRACE_S:g}",
            "bounds.coldOvershoot": f"{COLD_OVERSHOOT:g}",
            "bounds.coldSlack": f"{COLD_SLACK:g}",
        }
        text = "".join(f"{name}={value}\n" for name, value in lines.items())
        self.settings_path.write_text(text)

    async def serve_links(self) -> None:
        """Runs the proxies of its links until cancelled."""
        async with anyio.create_task_group() as tasks:
            for proxy in (self.peer_proxy, self._udp_proxy, self.store_proxy):
                tasks.start_soon(proxy.run)

    def start(self) -> None:
        """Starts a new process."""
        self._started_at = anyio.current_time()
        self.child = Child(
            self.name,
            ["applespring_relay", "--config", str(self.settings_path)],
            self._directory / f"{self.name}.err",
            output=self.log_path,
        )

    def signal(self, signum: signal.Signals) -> None:
        """Sends a signal to its process, if it runs and can handle it."""
        age_s = anyio.current_time() - self._started_at
        if signum == signal.SIGHUP and age_s < SIGHUP_AGE_MIN_S:
            return
        if self.child is not None and self.child.running:
            self.child.send(signum)


class RelaySupervisor:
    """Starts, ends, restarts and probes the processes of all instances.

    Attributes:
        relays: The instances by name.
    """

    def __init__(
        self,
        relays: Sequence[Relay],
        records: Records,
        clock: Callable[[], float],
    ) -> None:
        self.relays = {relay.name: relay for relay in relays}
        self._records = records
        self._clock = clock
        # When the soak last ended or stopped the process, by instance.
        self._end_requested_at: dict[str, float] = {}

    def rotation(self) -> list[tuple[str, Address]]:
        """Returns name and address of instances that get new connections."""
        ready = [
            r
            for r in self.relays.values()
            if r.failed_probes < FAILED_PROBES_MAX
        ]
        return [(r.name, (r.host, CALLER_PORT)) for r in ready]

    def seeds(self) -> list[Relay]:
        """Returns the instances that settings files name as seeds."""
        return list(self.relays.values())[:3]

    def kill(self, relay: Relay) -> None:
        """Kills a process with SIGKILL."""
        self._end_requested_at[relay.name] = self._clock()
        relay.signal(signal.SIGKILL)

    def send_sigterm(self, relay: Relay) -> None:
        """Sends SIGTERM; `run` kills the process `TERM_GRACE_S` later."""
        now = self._clock()
        self._end_requested_at[relay.name] = now
        self._records.sigterms.setdefault(relay.name, []).append(now)
        relay.signal(signal.SIGTERM)

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Supervises and probes every instance until cancelled."""
        async with anyio.create_task_group() as tasks:
            for relay in self.relays.values():
                tasks.start_soon(relay.serve_links)
                tasks.start_soon(self._supervise, relay)
                tasks.start_soon(self._probe_readiness, relay)
                tasks.start_soon(self._watch_waits, relay)
            task_status.started()

    async def _supervise(self, relay: Relay) -> None:
        while True:
            if relay.restart:
                relay.write_settings(self.seeds())
                relay.start()
                await self._wait_for_end(relay)
            await anyio.sleep(RESTART_DELAY_S)

    async def _wait_for_end(self, relay: Relay) -> None:
        assert relay.child is not None
        started_at = self._clock()
        while relay.child.running:
            await anyio.sleep(EXIT_POLL_S)
            sigterms = self._records.sigterms.get(relay.name, ())
            since_start = [at for at in sigterms if at >= started_at]
            if since_start and self._clock() > since_start[0] + TERM_GRACE_S:
                self._records.late_exits.append((relay.name, self._clock()))
                self.kill(relay)
        now = self._clock()
        if self._end_requested_at.get(relay.name, -math.inf) < started_at:
            code = relay.child.popen.returncode
            self._records.unexpected_exits.append((relay.name, now, code))

    async def _watch_waits(self, relay: Relay) -> None:
        """Records when the process of an instance waits for a processor."""
        child, waited_s, since = None, 0.0, self._clock()
        while True:
            previous, previous_s = child, waited_s
            child, waited_s = relay.child, _read_wait_s(relay.child)
            now = self._clock()
            if child is previous and waited_s - previous_s > STARVED_MIN_S:
                starved = Fault(STARVED, [f"starved:{relay.name}"], since)
                starved.ended_at = now
                self._records.faults.append(starved)
            self._record_use(relay.name, child)
            since = now
            await anyio.sleep(STARVED_POLL_S)

    def _record_use(self, name: str, child: Child | None) -> None:
        """Records what a process uses, if that is more than it may."""
        peak_mb, sockets = _read_peak_mb(child), _count_sockets(child)
        if peak_mb > MEMORY_MB:
            self._records.oversized[name] = peak_mb
        if sockets > SOCKETS_MAX:
            most = self._records.most_sockets.get(name, 0)
            self._records.most_sockets[name] = max(most, sockets)

    async def _probe_readiness(self, relay: Relay) -> None:
        while True:
            ready = False
            with anyio.move_on_after(READY_PROBE_S):
                ready = await _is_ready(relay)
            relay.failed_probes = 0 if ready else relay.failed_probes + 1
            if ready:
                relay.ready_child = relay.child
            await anyio.sleep(READY_PROBE_S)


def _read_wait_s(child: Child | None) -> float:
    """Returns how long a process has waited for a processor, 0 if it ended."""
    if child is None:
        return 0.0
    try:
        text = pathlib.Path(f"/proc/{child.popen.pid}/schedstat").read_text()
    except OSError:
        return 0.0
    return int(text.split()[1]) / 1e9


def _read_peak_mb(child: Child | None) -> float:
    """Returns the most memory that a process has used, 0 if it ended."""
    if child is None:
        return 0.0
    try:
        text = pathlib.Path(f"/proc/{child.popen.pid}/status").read_text()
    except OSError:
        return 0.0
    for line in text.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024 / 1e6
    return 0.0


def _count_sockets(child: Child | None) -> int:
    """Returns the number of open sockets of a process, 0 if it ended."""
    if child is None:
        return 0
    count = 0
    with contextlib.suppress(OSError):
        for path in pathlib.Path(f"/proc/{child.popen.pid}/fd").iterdir():
            # Others may be closed meanwhile.
            with contextlib.suppress(FileNotFoundError):
                count += path.readlink().name.startswith("socket:")
    return count


async def _is_ready(relay: Relay) -> bool:
    try:
        conn = await connect((relay.host, READY_PORT), READY_PROBE_S)
    except ConnError:
        # A process that does not accept connections is not ready.
        return False
    try:
        await conn.send(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
        return (await conn.receive()).startswith(READY_STATUS_LINE)
    except ConnError:
        return False
    finally:
        conn.close()
