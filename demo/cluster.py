"""The complete system as separate processes on the loopback address."""

import pathlib
import signal
import time
from collections.abc import Sequence
from typing import Any

import httpx

from applespring.config.document import load_document
from applespring.core.fleet import Fleet, Pool, StageKind, Upstream
from demo.process import HOST, Child, PortChooser, StartError, stop_children

START_LIMIT_S = 120.0
STOP_LIMIT_S = 30.0
HTTP_LIMIT_S = 30.0
POLL_S = 0.05
TOKENS_PER_S = 100.0
FIRST_TOKEN_S = 0.05
LOAD_LAG_S = 0.2
JITTER_SHARE = 0.3


class Entry:
    """Name and ports of an entry instance, the same after a restart.

    Attributes:
        name: Name in the instance list.
        failure_domain: Failure domain of the instance.
        port: TCP port for callers.
        peer_port: TCP and UDP port for other entry instances.
    """

    __slots__ = ("name", "failure_domain", "port", "peer_port")

    def __init__(
        self, name: str, failure_domain: str, port: int, peer_port: int
    ) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.port = port
        self.peer_port = peer_port

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://{HOST}:{self.port}"


class Cluster:
    """The stand-ins and entry instances of a document.

    Attributes:
        document: Configuration document with the addresses of this cluster.
        fleet: The parsed document.
        entries: Entry instances by name.
        children: Running processes by name; the platform is `platform`.
        urls: Base URLs of the stand-ins by name.
        client: HTTP client for the stand-ins and operator endpoints.
    """

    def __init__(
        self,
        document: str,
        log_dir: pathlib.Path,
        *,
        entries_per_domain: int = 2,
        pools: Sequence[str] = (),
        tokens_per_s: float = TOKENS_PER_S,
        service_s: float | None = None,
        drain_grace_s: float = 0.2,
        drain_limit_s: float = 60.0,
        entry_flags: Sequence[str] = (),
    ) -> None:
        """Chooses ports without starting a process.

        Args:
            document: Text of the document; its addresses are replaced.
            log_dir: Directory of the log files of the processes.
            entries_per_domain: Entry instances in each failure domain.
            pools: Pools whose upstreams are started; default all.
            tokens_per_s: Tokens per second of one call of an engine.
            service_s: Seconds of a call of the other stand-ins; default the
                pool's expected time.
            drain_grace_s: Flag `--drain-grace-s` of the entry instances.
            drain_limit_s: Flag `--drain-limit-s` of the entry instances.
            entry_flags: Further flags of the entry instances.
        """
        self.document = document
        self.fleet = _load(document)
        self.entries: dict[str, Entry] = {}
        self.children: dict[str, Child] = {}
        self.urls: dict[str, str] = {}
        self.client = httpx.Client(timeout=HTTP_LIMIT_S, trust_env=False)
        self._log_dir = log_dir
        self._pools = pools
        self._tokens_per_s = tokens_per_s
        self._service_s = service_s
        self._entry_flags = list(entry_flags)
        self._drain_settings = (drain_grace_s, drain_limit_s)
        self._listed: dict[str, dict[str, str]] = {}
        ports = self._ports = PortChooser()
        for domain in self.fleet.failure_domains:
            for number in range(1, entries_per_domain + 1):
                name = f"entry-{domain}-{number}"
                self.entries[name] = Entry(
                    name, domain, ports.choose(), ports.choose()
                )

    def start(self) -> None:
        """Starts all processes; waits until all entry instances are ready.

        Raises:
            StartError: A process ended or was not ready in time.
        """
        self._log_dir.mkdir(parents=True, exist_ok=True)
        for old in self._log_dir.glob("*.log"):
            old.unlink()
        self._start_standins()
        self.publish(self.document)
        self.publish_list()
        for name in self.entries:
            self.spawn_entry(name)
        self.wait_ready(*self.entries)

    def stop(self) -> list[str]:
        """Ends all processes; returns the names of those killed by SIGKILL."""
        children = list(self.children.values())
        self.children.clear()
        entries = [child for child in children if child.name in self.entries]
        others = [child for child in children if child not in entries]
        try:
            killed = stop_children(entries, STOP_LIMIT_S)
            return killed + stop_children(others, STOP_LIMIT_S)
        finally:
            for child in children:
                if child.running:
                    child.kill()
            self.client.close()
            self._ports.close()

    def spawn_entry(self, name: str) -> None:
        """Starts the process of an entry instance without waiting."""
        entry = self.entries[name]
        grace_s, limit_s = self._drain_settings
        argv = ["applespring.entry.main", "--name", name]
        argv += ["--failure-domain", entry.failure_domain]
        argv += ["--platform", self.urls["platform"].removeprefix("http://")]
        argv += ["--listen-port", str(entry.port)]
        argv += ["--peer-port", str(entry.peer_port)]
        argv += ["--drain-grace-s", str(grace_s)]
        argv += ["--drain-limit-s", str(limit_s)]
        self._spawn(name, [*argv, *self._entry_flags])

    def wait_ready(self, *names: str) -> None:
        """Waits until the named entry instances are ready.

        Raises:
            StartError: One ended, or is not ready within `START_LIMIT_S`.
        """
        deadline = time.monotonic() + START_LIMIT_S
        for name in names:
            while not self.is_ready(name):
                if not self.children[name].running:
                    raise StartError(
                        f"{name} ended before it was ready;"
                        f" see {self.log(name)}"
                    )
                if time.monotonic() > deadline:
                    raise StartError(
                        f"{name} is not ready within {START_LIMIT_S:g} s;"
                        f" see {self.log(name)}"
                    )
                time.sleep(POLL_S)

    def is_ready(self, name: str) -> bool:
        """Returns whether `/readyz` of an entry instance answers 200."""
        try:
            url = f"{self.entries[name].url}/readyz"
            return self.client.get(url).status_code == 200
        except httpx.TransportError:
            return False

    def log(self, name: str) -> pathlib.Path:
        """Returns the file with the log lines of a process."""
        return self._log_dir / f"{name}.log"

    def signal(self, name: str, signum: signal.Signals) -> None:
        """Sends a signal to a process."""
        self.children[name].send(signum)

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL."""
        self.children.pop(name).kill()

    def wait_end(self, name: str, limit_s: float = START_LIMIT_S) -> int:
        """Waits until a process ends; returns its exit code."""
        code = self.children[name].wait(limit_s)
        del self.children[name]
        return code

    def publish(self, document: str) -> int:
        """Publishes a document on the platform; returns its revision."""
        url = f"{self.urls['platform']}/admin/config"
        resp = self.client.put(url, content=document)
        resp.raise_for_status()
        return resp.json()["revision"]

    def set_listed(self, name: str, state: str | None) -> None:
        """Changes the listed state of an instance and publishes the list.

        Args:
            name: An entry instance or upstream.
            state: `live`, `leaving`, or None to remove it from the list.
        """
        if state is None:
            self._listed.pop(name)
        else:
            self._listed[name]["state"] = state
        self.publish_list()

    def publish_list(self) -> None:
        """Publishes the instance list on the platform."""
        url = f"{self.urls['platform']}/admin/instances"
        resp = self.client.put(url, json=list(self._listed.values()))
        resp.raise_for_status()

    def get(self, name: str, path: str) -> Any:
        """Returns the JSON body that a process serves at a path."""
        entry = self.entries.get(name)
        base = entry.url if entry else self.urls[name]
        resp = self.client.get(f"{base}{path}")
        resp.raise_for_status()
        return resp.json()

    def read_record(self, name: str) -> dict[str, Any]:
        """Returns the execution record of an upstream."""
        return self.get(name, "/admin/executions")

    def upstreams(self) -> dict[str, Pool]:
        """Returns the pool of each started upstream, by upstream name."""
        return {
            upstream.name: pool
            for pool in self.fleet.pools.values()
            if not self._pools or pool.name in self._pools
            for upstream in pool.upstreams
        }

    def _start_standins(self) -> None:
        self._spawn("platform", ["standins.platform"])
        started = self.upstreams()
        for pool in self.fleet.pools.values():
            for upstream in pool.upstreams:
                if upstream.name in started:
                    self._spawn(
                        upstream.name, self._upstream_argv(pool, upstream)
                    )
        deadline = time.monotonic() + START_LIMIT_S
        for name, child in self.children.items():
            line = child.read_line(max(0.0, deadline - time.monotonic()))
            self.urls[name] = f"http://{HOST}:{int(line.split()[1])}"
        self._rewrite_document()
        self._list_processes()

    def _upstream_argv(self, pool: Pool, upstream: Upstream) -> list[str]:
        argv = ["--name", upstream.name, "--slots", str(upstream.slots)]
        argv += ["--load-lag-s", str(LOAD_LAG_S)]
        argv += [_make_flag("idempotent", pool.idempotent)]
        argv += [_make_flag("effect", pool.effect)]
        if pool.kind is StageKind.GENERATE:
            argv += ["--tokens-per-s", str(self._tokens_per_s)]
            argv += ["--first-token-s", str(FIRST_TOKEN_S)]
            argv += ["--model", pool.model, "--model-version", pool.version]
            argv += [_make_flag("checks-fence", pool.fencing)]
            return ["standins.engine", *argv]
        service_s = self._service_s
        if service_s is None:
            service_s = pool.expected_s
        argv += ["--kind", pool.kind.value, "--service-s", str(service_s)]
        argv += ["--jitter", str(JITTER_SHARE)]
        argv += [_make_flag("deduplicates", pool.checks_keys)]
        argv += [_make_flag("reports-load", pool.reports_load)]
        return ["standins.service", *argv]

    def _spawn(self, name: str, argv: list[str]) -> None:
        self.children[name] = Child(name, argv, self.log(name))

    def _rewrite_document(self) -> None:
        for pool in self.fleet.pools.values():
            for upstream in pool.upstreams:
                url = self.urls.get(upstream.name)
                if url is not None:
                    old = f'"{upstream.address}"'
                    new = f'"{url.removeprefix("http://")}"'
                    self.document = self.document.replace(old, new)
        self.fleet = _load(self.document)

    def _list_processes(self) -> None:
        for pool in self.fleet.pools.values():
            for upstream in pool.upstreams:
                if upstream.name in self.urls:
                    self._add_listed(
                        upstream.name,
                        pool.name,
                        upstream.address,
                        upstream.failure_domain,
                    )
        for entry in self.entries.values():
            address = f"{HOST}:{entry.peer_port}"
            self._add_listed(entry.name, "entry", address, entry.failure_domain)

    def _add_listed(
        self, name: str, role: str, address: str, failure_domain: str
    ) -> None:
        self._listed[name] = {
            "name": name,
            "role": role,
            "address": address,
            "failure_domain": failure_domain,
            "state": "live",
        }


def _load(document: str) -> Fleet:
    result = load_document(document, revision=1)
    if result.fleet is None:
        raise StartError("; ".join(str(error) for error in result.errors))
    return result.fleet


def _make_flag(name: str, value: bool) -> str:
    return f"--{name}" if value else f"--no-{name}"
