"""Stand-ins and processes for the scripts of the third review.

A store, workers, clients and links in one asyncio program, and relay processes
started with the command of the deploy file. Only the standard library is used.
Every address is a loopback address.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "lab.example"
KEY = "key-of-harbour"
TENANT = "harbour"
FRONT_PORT, READY_PORT, CONTROL_PORT, STORE_PORT = 8625, 8621, 8628, 8624
PEER_PORTS = "7740,7755"
PEER_PORT = 7740
METRICS_PORT = 9464
GRACE_S = 8.0
START_LIMIT_S = 30.0
READ_BYTES = 65536
STORE_DELAY_S = 0.004
# The bounds of the small deployments' sheets.
BOUNDS = {
    "seedLagS": "3",
    "reuseAfterS": "2",
    "contactMs": "3000",
    "ackMs": "4000",
    "catchUpS": "4",
    "drainMs": "2000",
    "graceS": "8",
    "lossSlackMs": "200",
    "configApplyMs": "2000",
    "rollbackSlackMs": "250",
    "maxStretchMs": "5000",
    "retryBudgetRatio": "0.2",
    "budgetWindowS": "10",
    "budgetExtraRetries": "54",
    "recoverS": "12",
    "passMs": "120",
    "reuseWindowS": "10",
}

Address = tuple[str, int]


class LabError(Exception):
    """The case could not be run."""


class Request:
    """A request as a server received it.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers, names in lower case.
        body: Complete body.
    """

    __slots__ = ("method", "target", "headers", "body")

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def request_id(self) -> str:
        """The id of the client's request, or ""."""
        return self.headers.get("request-id", "")


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._started_at

    def add(self, event: str, **fields: Any) -> dict[str, Any]:
        """Adds an event and returns it."""
        entry = {"at": round(self.now(), 4), "event": event, **fields}
        self.events.append(entry)
        return entry

    def find(self, event: str) -> list[dict[str, Any]]:
        """Returns the events of one kind."""
        return [e for e in self.events if e["event"] == event]

    def write(self, path: pathlib.Path, verdict: str) -> None:
        """Writes all events in order, and the verdict."""
        events = sorted(self.events, key=lambda e: e["at"])
        lines = [json.dumps(entry) for entry in events]
        path.write_text("\n".join([*lines, verdict, ""]))


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Returns the first line and the headers of a message, or None."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    return first, headers


def format_answer(
    status: int, headers: Sequence[tuple[str, str]], body: bytes
) -> bytes:
    """Returns an answer with its length."""
    lines = [f"HTTP/1.1 {status} x"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[bool]]


class HttpServer:
    """Serves HTTP/1.1 with keep-alive on a loopback address.

    The handler returns whether the connection may be used again.
    """

    def __init__(self, address: Address, handler: Handler) -> None:
        self.address = address
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begins to listen."""
        self._server = await asyncio.start_server(
            self._serve, *self.address, limit=4 * 1024 * 1024, backlog=512
        )

    async def stop(self) -> None:
        """Stops listening and resets all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ", 2)
                size = int(head[1].get("content-length", "0"))
                body = await reader.readexactly(size)
                req = Request(method, target, head[1], body)
                if not await self._handler(req, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Cancelled only at the end of the case.
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()


class Store:
    """The platform's store: one revision counter, ranges and watches."""

    def __init__(self, address: Address, record: Record) -> None:
        self.server = HttpServer(address, self._handle)
        self._record = record
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._revision = 10
        self._changed = asyncio.Event()

    def put(self, key: str, value: Any) -> None:
        """Stores a value as JSON."""
        self._revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "revision": self._revision,
            "created": self._revision,
            "lease": 0,
        }
        self._items[key] = item
        self._add(item)

    def delete(self, key: str) -> None:
        """Removes a key."""
        self._revision += 1
        self._items.pop(key, None)
        self._add({"key": key, "revision": self._revision, "deleted": True})

    def _add(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._record.add("store_written", key=event["key"])
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, req: Request, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(STORE_DELAY_S)
        path, _, query_text = req.target.partition("?")
        query = {}
        for pair in query_text.split("&"):
            name, _, value = pair.partition("=")
            query[name] = value
        if path == "/kv-range":
            items = [self._items[key] for key in sorted(self._items)]
            answer = {"items": items, "hasMore": False, "at": self._revision}
        else:
            answer = await self._watch(query)
        body = json.dumps(answer).encode()
        headers = [("Content-Type", "application/json")]
        writer.write(format_answer(200, headers, body))
        await writer.drain()
        return True

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        after, wait_s = int(query["after"]), int(query["waitMs"]) / 1000
        ends_at = time.monotonic() + wait_s
        while True:
            events = [e for e in self._history if e["revision"] > after]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "at": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


class Link:
    """TCP and UDP to one address, through another, until it is cut.

    What a cut link carries does not arrive, as behind a partition.

    Attributes:
        is_cut: Whether nothing arrives.
        cut_from: Hosts from which no datagram arrives.
        carried: Bytes that arrived over TCP.
    """

    def __init__(self, listen: Address, target: Address) -> None:
        self.is_cut = False
        self.cut_from: set[str] = set()
        self.carried = 0
        self._listen = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._udp: asyncio.DatagramTransport | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begins to forward."""
        self._server = await asyncio.start_server(self._serve, *self._listen)
        loop = asyncio.get_running_loop()
        link = self

        class Forward(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: Address) -> None:
                is_cut = link.is_cut or addr[0] in link.cut_from
                if not is_cut and link._udp is not None:
                    link._udp.sendto(data, link._target)

        self._udp, _ = await loop.create_datagram_endpoint(
            Forward, local_addr=self._listen
        )

    async def stop(self) -> None:
        """Stops forwarding."""
        if self._server is not None:
            self._server.close()
        if self._udp is not None:
            self._udp.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while self.is_cut:
                await asyncio.sleep(0.05)
            up_reader, up_writer = await asyncio.open_connection(*self._target)
            self._writers.add(up_writer)
            await asyncio.gather(
                self._pump(reader, up_writer), self._pump(up_reader, writer)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            self._writers.discard(writer)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                while self.is_cut:
                    await asyncio.sleep(0.05)
                self.carried += len(data)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            # Cancelled only at the end of the case.
            pass
        finally:
            writer.transport.abort()
            self._writers.discard(writer)


class Relay:
    """One machine of the system with the process of the deploy file.

    Attributes:
        name: Name of the machine.
        host: Address at which its process listens.
        link: Link from the other machines to it.
        process: Its process, or None.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        host: str,
        link_host: str,
        store: Address,
        folder: pathlib.Path,
    ) -> None:
        self.name = name
        self.host = host
        self.link_host = link_host
        self.link = Link((link_host, PEER_PORT), (host, PEER_PORT))
        self.process: subprocess.Popen[bytes] | None = None
        self._zone = zone
        self._store = store
        self._folder = folder

    @property
    def front(self) -> Address:
        """The address for clients."""
        return (self.host, FRONT_PORT)

    def start(self, seeds: Sequence["Relay"], budget_extra: str = "") -> None:
        """Writes the settings file and starts the process."""
        host = self.host
        bounds = dict(BOUNDS)
        if budget_extra:
            bounds["budgetExtraRetries"] = budget_extra
        lines = {
            "node": self.name,
            "role": "relay",
            "machineClass": "edge",
            "serves": "edge,control",
            "ip": self.link_host,
            "zone": self._zone,
            "region": "lab",
            "zones.a": "lab",
            "zones.b": "lab",
            "zones.c": "lab",
            "listen.front": f"{host}:{FRONT_PORT}",
            "listen.ready": f"{host}:{READY_PORT}",
            "listen.control": f"{host}:{CONTROL_PORT}",
            "internalPorts": PEER_PORTS,
            "seeds": ",".join(f"{s.link_host}:{CONTROL_PORT}" for s in seeds),
            "firstStart": "true",
            "limits.cores": "2",
            "limits.memoryMb": "300",
            "limits.maxFds": "4100",
            "limits.linkMbps": "1000.0",
            "heartbeatMs": "1200",
            "platform.address": f"{self._store[0]}:{self._store[1]}",
            "platform.form": "read",
            "platform.readsPerS": "2000",
            **{f"bounds.{name}": value for name, value in bounds.items()},
        }
        path = self._folder / f"{self.name}.conf"
        path.write_text("".join(f"{n}={v}\n" for n, v in lines.items()))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["relay"]["run"].split()
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["APPLESPRING_CONFIG"] = str(path)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                process_group=0,
            )

    def send(self, signum: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signum)

    async def wait_ready(self) -> None:
        """Waits until the machine says that it is ready.

        Raises:
            LabError: It does not in time.
        """
        ends_at = time.monotonic() + START_LIMIT_S
        while time.monotonic() < ends_at:
            if self.process is not None and self.process.poll() is not None:
                raise LabError(f"{self.name} has ended")
            with contextlib.suppress(OSError, TimeoutError):
                status, _ = await fetch((self.host, READY_PORT), "/ready")
                if status == 200:
                    return
            await asyncio.sleep(0.1)
        raise LabError(f"{self.name} is not ready")

    def log_lines(self) -> list[dict[str, Any]]:
        """Returns the structured log lines of its processes."""
        lines = []
        path = self._folder / f"{self.name}.log"
        for line in path.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines


async def fetch(address: Address, target: str) -> tuple[int, dict[str, str]]:
    """Returns status and headers of an answer to a GET request."""
    async with asyncio.timeout(1.0):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            head = await read_head(reader)
        finally:
            writer.transport.abort()
    if head is None:
        raise OSError("no answer")
    return int(head[0].split()[1]), head[1]


class Lab:
    """All stand-ins and processes of one case.

    Attributes:
        record: What was sent, answered and run.
        store: The platform's store.
        relays: The machines of the system.
        trouble: Whether the disruption takes place.
    """

    def __init__(self) -> None:
        self.record = Record()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.relays: list[Relay] = []
        self._net = _find_free_net()
        self.store = Store((self.address(0, 1), STORE_PORT), self.record)
        self._servers: list[HttpServer] = []
        self._numbers = 0

    def address(self, group: int, number: int) -> str:
        """Returns a loopback address that this case alone uses."""
        return f"127.{self._net}.{group}.{number}"

    async def add_worker(
        self,
        name: str,
        service: str,
        zone: str,
        slots: int,
        handler: Handler,
        born_ms: int = 0,
    ) -> HttpServer:
        """Starts a worker, lists it in the store and returns its server."""
        self._numbers += 1
        address = (self.address(2, self._numbers), 8080)
        server = HttpServer(address, handler)
        await server.start()
        self._servers.append(server)
        self.list_worker(name, service, zone, slots, server, born_ms)
        return server

    def list_worker(
        self,
        name: str,
        service: str,
        zone: str,
        slots: int,
        server: HttpServer,
        born_ms: int = 0,
    ) -> None:
        """Writes the entry of a worker; `born_ms` is left out if it is 0."""
        entry = {
            "service": service,
            "address": f"{server.address[0]}:{server.address[1]}",
            "zone": zone,
            "version": 1,
            "slots": slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
        }
        if born_ms:
            entry["born"] = born_ms
        self.store.put(f"servers/{name}", entry)

    async def start_relays(self, zones: Sequence[str]) -> None:
        """Starts one machine for each of the zones named, and waits for all."""
        await self.store.server.start()
        for number, zone in enumerate(zones, 1):
            relay = Relay(
                f"edge-{number}",
                zone,
                self.address(1, number),
                self.address(3, number),
                self.store.server.address,
                self.folder,
            )
            await relay.link.start()
            self.relays.append(relay)
        for relay in self.relays:
            relay.start(self.relays[:3])
        for relay in self.relays:
            await relay.wait_ready()
        self.record.add("ready", machines=[r.name for r in self.relays])

    async def stop(self) -> None:
        """Ends all processes and stand-ins of this case."""
        for relay in self.relays:
            relay.send(signal.SIGKILL)
            if relay.process is not None:
                relay.process.wait()
        for server in [*self._servers, self.store.server]:
            await server.stop()
        for relay in self.relays:
            await relay.link.stop()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _find_free_net() -> int:
    """Returns the second number of loopback addresses that nothing uses."""
    numbers = list(range(20, 250))
    random.shuffle(numbers)
    for number in numbers:
        try:
            for host in (f"127.{number}.1.1", f"127.{number}.0.1"):
                for port in (FRONT_PORT, METRICS_PORT, STORE_PORT, PEER_PORT):
                    with socket.create_server((host, port)):
                        pass
        except OSError:
            continue
        return number
    raise LabError("no loopback addresses are free")


def make_route(name: str, kind: str, service: str, **fields: Any) -> dict:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 12000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "stages": [],
        "public": False,
        "stickySessions": False,
        "resumable": False,
        "targetGapMs": 200,
        **fields,
    }


def make_config(
    version: int, routes: Sequence[dict], services: Sequence[dict]
) -> dict[str, Any]:
    """Returns a configuration with one tenant."""
    return {
        "version": version,
        "routes": list(routes),
        "services": [
            {"healthPath": "/health", "maxConnections": 360, **service}
            for service in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


def format_request(
    method: str,
    target: str,
    request_id: str,
    deadline_ms: int,
    headers: Sequence[tuple[str, str]] = (),
    body: bytes = b"",
) -> bytes:
    """Returns a client's request."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {request_id}",
        f"Request-Deadline: {deadline_ms}",
        f"X-Api-Key: {KEY}",
        *(f"{name}: {value}" for name, value in headers),
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def send(
    address: Address, data: bytes, limit_s: float
) -> tuple[int, dict[str, str], bytes]:
    """Sends a request on a new connection and returns the complete answer.

    Raises:
        OSError: The connection failed or ended early.
        TimeoutError: The answer took too long.
    """
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(data)
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("no answer")
            size = int(head[1].get("content-length", "0"))
            try:
                body = await reader.readexactly(size)
            except asyncio.IncompleteReadError as exc:
                raise ConnectionError("the answer ended early") from exc
        finally:
            writer.transport.abort()
    return int(head[0].split()[1]), head[1], body


def run_case(
    folder: pathlib.Path, case: Callable[[Lab], Awaitable[tuple[bool, str]]]
) -> int:
    """Runs a case and returns its exit code.

    Args:
        folder: Folder of the case, which gets `record.txt`.
        case: Returns whether the rule held, and what was seen.
    """

    async def run() -> int:
        lab = Lab()
        code, verdict = NOT_RUN, "NOT RUN"
        try:
            async with asyncio.timeout(110):
                held, detail = await case(lab)
            code = HELD if held else BROKEN
            verdict = f"{'HELD' if held else 'BROKEN'}: {detail}"
        except (LabError, OSError, TimeoutError) as exc:
            verdict = f"NOT RUN: {exc!r}"
        finally:
            await lab.stop()
            lab.record.write(folder / "record.txt", verdict)
        print(f"TROUBLE={int(lab.trouble)} {verdict}")
        return code

    return asyncio.run(run())
