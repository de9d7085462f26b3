"""A small deployment on loopback addresses: store, workers, relays, clients.

The scripts of the cases use it. Store, workers and clients follow the users'
pages; the relays are the project's own program, started with the command of the
deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterable
from urllib.parse import parse_qsl, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "pule25.example"
TENANT = "bozi300"
KEY = "9dnn2ctnfzs989anu6ws"
FRONT_PORT, READY_PORT, CONTROL_PORT = 8625, 8621, 8628
STORE_PORT = 8624
WORKER_PORT = 8080
STORE_ANSWER_S = 0.004
HEARTBEAT_S = 1.2
# An entry is removed after this many heartbeats of silence.
SILENT_BEATS = 3
RESTART_DELAY_S = 0.3
READY_LIMIT_S = 25.0
NOT_RUN = ("Not-Executed", "1")

Headers = list[tuple[str, str]]


class CannotRunError(Exception):
    """The case could not run."""


class Record:
    """Lines of `record.txt`, each with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._start

    def add(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Request:
    """A request that was read completely."""

    def __init__(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = {name.lower(): value for name, value in headers}
        self.body = body


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, Headers] | None:
    """Returns the first line and the headers, or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")
    headers = []
    for line in lines:
        name, found, value = line.partition(":")
        if found:
            headers.append((name.strip(), value.strip()))
    return first, headers


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Returns a body in chunks.

    Raises:
        asyncio.IncompleteReadError: It ended early.
    """
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if not size:
            return body


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Returns the next request of a connection, or None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    names = {name.lower(): value for name, value in head[1]}
    try:
        if "chunked" in names.get("transfer-encoding", "").lower():
            body = await read_chunks(reader)
        else:
            size = int(names.get("content-length", "0"))
            body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, head[1], body)


def make_answer(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Returns the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} x"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Server:
    """An HTTP/1.1 server that can end like a killed process."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def listen(self) -> None:
        """Accepts connections."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=256
        )

    def abort(self) -> None:
        """Ends: all connections are reset, and new ones are refused."""
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
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        work: asyncio.Future | None = None
        try:
            while (req := await read_request(reader)) is not None:
                # A close of the connection drops the request.
                work = asyncio.ensure_future(self.handle(req, writer))
                closed = asyncio.ensure_future(self._wait_closed(reader))
                await asyncio.wait(
                    [work, closed], return_when=asyncio.FIRST_COMPLETED
                )
                closed.cancel()
                if not work.done() or not work.result():
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            if work is not None:
                work.cancel()
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    @staticmethod
    async def _wait_closed(reader: asyncio.StreamReader) -> None:
        # Callers send one request at a time on a connection.
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.02)

    async def handle(self, req: Request, writer: asyncio.StreamWriter) -> bool:
        """Answers a request; returns whether the connection goes on."""
        raise NotImplementedError


class Store(Server):
    """The platform's store."""

    def __init__(self, host: str) -> None:
        super().__init__(host, STORE_PORT)
        self._items: dict[str, dict] = {}
        self._history: list[dict] = []
        self._revision = 10
        self._changed = asyncio.Event()

    def put(self, key: str, value: object) -> None:
        """Stores a value as JSON."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._revision += 1
        old = self._items.get(key)
        self._items[key] = {
            "key": key,
            "value": text,
            "revision": self._revision,
            "created": old["created"] if old else self._revision,
            "lease": 0,
        }
        self._notify(self._items[key])

    def delete(self, key: str) -> None:
        """Removes a key."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._notify(
                {"key": key, "revision": self._revision, "deleted": True}
            )

    def _notify(self, event: dict) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, req: Request, writer: asyncio.StreamWriter) -> bool:
        """Answers a read or a watch."""
        url = urlsplit(req.target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        await asyncio.sleep(STORE_ANSWER_S)
        status, page = 200, {}
        if url.path == "/kv-range":
            after = query.get("after", "")
            items = [
                self._items[key]
                for key in sorted(self._items)
                if key.startswith(query["prefix"]) and key > after
            ]
            page = {"items": items, "hasMore": False, "at": self._revision}
        elif url.path == "/kv-watch":
            page = await self._watch(query)
        else:
            status = 404
        headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
        writer.write(make_answer(status, headers, json.dumps(page).encode()))
        await writer.drain()
        return True

    async def _watch(self, query: dict[str, str]) -> dict:
        after, wait_s = int(query["after"]), int(query["waitMs"]) / 1000
        ends_at = time.monotonic() + wait_s
        while True:
            events = [
                event
                for event in self._history
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "at": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


class StoreAddress(Server):
    """A further address of the store."""

    def __init__(self, store: Store, host: str) -> None:
        super().__init__(host, STORE_PORT)
        self._store = store

    async def handle(self, req: Request, writer: asyncio.StreamWriter) -> bool:
        """Answers as the store does."""
        return await self._store.handle(req, writer)


class Worker(Server):
    """A worker: registers itself, runs requests, and may crash."""

    def __init__(
        self,
        world: "World",
        name: str,
        service: str,
        host: str,
        zone: str,
        *,
        slots: int = 64,
    ) -> None:
        super().__init__(host, WORKER_PORT)
        self.world = world
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.up = False
        self.started_at = 0.0
        self.said: Headers = []

    @property
    def address(self) -> str:
        """IP:port."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Starts, or starts again under the same id."""
        await self.listen()
        self.up = True
        self.started_at = time.time()
        self.reset_state()
        self.register("ready")

    def reset_state(self) -> None:
        """Forgets what it held before; called at each start."""

    def register(self, state: str) -> None:
        """Writes its entry."""
        self.world.store.put(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": 1,
                "slots": self.slots,
                "state": state,
                "coldRemainingMs": 0,
                "sequence": 1,
                "born": int(1000 * self.started_at),
            },
        )

    async def crash(self, for_s: float) -> None:
        """Ends without a word, and starts again after a time."""
        self.world.record.add(f"worker {self.name} crashes for {for_s:g} s")
        self.up = False
        self.abort()
        silent_s = SILENT_BEATS * HEARTBEAT_S
        await asyncio.sleep(min(for_s, silent_s))
        if for_s > silent_s:
            self.world.store.delete(f"servers/{self.name}")
            await asyncio.sleep(for_s - silent_s)
        await self.start()
        self.world.record.add(f"worker {self.name} is back")

    async def handle(self, req: Request, writer: asyncio.StreamWriter) -> bool:
        """Answers a request, or turns away one for another worker."""
        echo = []
        if "request-id" in req.headers:
            echo = [("Request-Id", req.headers["request-id"])]
        target = req.headers.get("target-instance", self.name)
        if target != self.name:
            writer.write(make_answer(421, [*echo, NOT_RUN]))
            return True
        return await self.run(req, echo, writer)

    async def run(
        self, req: Request, echo: Headers, writer: asyncio.StreamWriter
    ) -> bool:
        """Runs a request; returns whether the connection goes on."""
        raise NotImplementedError

    def sign(self, request: str) -> tuple[str, str]:
        """Returns the signature of an answer."""
        return ("Response-Signature", f"{self.name}.{request}")


class PlainWorker(Worker):
    """Answers after a time with one body."""

    def __init__(
        self, *args: object, work_s: float, body_bytes: int = 800, **kw: object
    ) -> None:
        super().__init__(*args, **kw)
        self.work_s = work_s
        self.body_bytes = body_bytes

    async def run(
        self, req: Request, echo: Headers, writer: asyncio.StreamWriter
    ) -> bool:
        """See `Worker.run`."""
        request = req.headers.get("request-id", "")
        self.world.note_run(request, self, req)
        await asyncio.sleep(self.work_s)
        body = request.encode().ljust(self.body_bytes, b".")
        headers = [*echo, self.sign(request), *self.said]
        writer.write(make_answer(200, headers, body))
        await writer.drain()
        return True


class EngineWorker(Worker):
    """Streams events after it has fetched the inputs."""

    def __init__(
        self, *args: object, events: int = 10, gap_s: float = 0.05, **kw: object
    ) -> None:
        super().__init__(*args, **kw)
        self.events = events
        self.gap_s = gap_s

    async def run(
        self, req: Request, echo: Headers, writer: asyncio.StreamWriter
    ) -> bool:
        """See `Worker.run`."""
        request = req.headers.get("request-id", "")
        handles = [h for h in req.headers.get("inputs", "").split(",") if h]
        made = [self.world.fetch(handle) for handle in handles]
        if None in made:
            writer.write(make_answer(409, [*echo, NOT_RUN]))
            return True
        self.world.note_run(request, self, req, made)
        headers = [*echo, self.sign(request), *self.said]
        lines = ["HTTP/1.1 200 x", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += ["Transfer-Encoding: chunked", "", ""]
        # At fixed times, so that a stream takes as long on a slow machine.
        loop = asyncio.get_running_loop()
        due_at = loop.time()
        writer.write("\r\n".join(lines).encode())
        for number in range(1, self.events + 1):
            due_at += self.gap_s
            await asyncio.sleep(max(0.0, due_at - loop.time()))
            event = f"id: {number}\ndata: {request} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class StageWorker(Worker):
    """Makes pieces, one call at a time."""

    def __init__(
        self,
        *args: object,
        call_s: float,
        item_s: float,
        free_mb: float,
        handle_s: float,
        **kw: object,
    ) -> None:
        super().__init__(*args, **kw)
        self.call_s = call_s
        self.item_s = item_s
        self.free_mb = free_mb
        self.handle_s = handle_s
        self.reset_state()

    def reset_state(self) -> None:
        """See `Worker.reset_state`."""
        self.results: dict[str, dict] = {}
        self._turn = asyncio.Lock()
        self._start_number = random.randrange(1 << 40)

    def make_handle(self) -> str:
        """Returns a handle that no other result ever had."""
        return f"{self.address}/{random.randrange(1 << 48):012x}"

    async def run(
        self, req: Request, echo: Headers, writer: asyncio.StreamWriter
    ) -> bool:
        """See `Worker.run`."""
        json_type = ("Content-Type", "application/json")
        headers = [*echo, json_type, *self.said]
        path = urlsplit(req.target).path
        if path == "/stage-free":
            for handle in json.loads(req.body)["handles"]:
                self.results.pop(handle, None)
            answer: dict = {}
        elif path == "/report":
            answer = {"queued": 0, "busy": False, "freeMb": self.free_mb}
        elif path == "/health":
            answer = {}
        else:
            answer = {"items": await self._call(json.loads(req.body)["items"])}
        writer.write(make_answer(200, headers, json.dumps(answer).encode()))
        await writer.drain()
        return True

    async def _call(self, items: list[dict]) -> list[dict]:
        async with self._turn:
            fetched = [
                [self.world.fetch(h) for h in item.get("inputs", [])]
                for item in items
            ]
            await asyncio.sleep(self.call_s + self.item_s * len(items))
        answers = []
        for item, inputs in zip(items, fetched, strict=True):
            self.world.note_piece(item, self, inputs)
            if None in inputs:
                answers.append({"reason": "gone"})
                continue
            handle = self.make_handle()
            self.results[handle] = item
            loop = asyncio.get_running_loop()
            results = self.results
            loop.call_later(self.handle_s, results.pop, handle, None)
            answers.append({"handle": handle})
        return answers


class Relay:
    """One machine of the system and its process."""

    def __init__(self, world: "World", name: str, zone: str, host: str) -> None:
        self.world = world
        self.name = name
        self.zone = zone
        self.host = host
        self.child: subprocess.Popen | None = None
        self.ended: list[int] = []
        self.restart = True
        # Address of the store in its settings.
        self.store_host = world.store.host
        self._requested = False
        self._directory = world.directory
        self.log_path = world.directory / f"{name}.log"

    @property
    def front(self) -> tuple[str, int]:
        """Address at which it serves clients."""
        return (self.host, FRONT_PORT)

    def write_settings(self) -> pathlib.Path:
        """Writes its settings file, and returns the path."""
        world = self.world
        seeds = ",".join(f"{r.host}:{CONTROL_PORT}" for r in world.relays[:3])
        lines = {
            "node": self.name,
            "role": "relay",
            "machineClass": "edge",
            "serves": "edge,control",
            "ip": self.host,
            "zone": self.zone,
            "region": "primorska",
            **{f"zones.{r.zone}": "primorska" for r in world.relays},
            "listen.front": f"{self.host}:{FRONT_PORT}",
            "listen.ready": f"{self.host}:{READY_PORT}",
            "listen.control": f"{self.host}:{CONTROL_PORT}",
            "internalPorts": "7740,7755",
            "seeds": seeds,
            "firstStart": "true",
            "limits.memoryMb": "300",
            "limits.maxFds": "4100",
            "limits.linkMbps": "1000.0",
            "discovery": "platform",
            "heartbeatMs": "1200",
            "bounds.contactMs": "3000",
            "bounds.drainMs": "2000",
            "bounds.graceS": "8",
            "bounds.lossSlackMs": "200",
            "bounds.configApplyMs": "2000",
            "bounds.retryBudgetRatio": "0.2",
            "bounds.budgetWindowS": "10",
            "bounds.budgetExtraRetries": "54",
            "platform.address": f"{self.store_host}:{STORE_PORT}",
            "platform.form": "read",
            "platform.readsPerS": "2000",
        }
        path = self._directory / f"{self.name}.conf"
        text = "".join(f"{name}={value}\n" for name, value in lines.items())
        path.write_text(text)
        return path

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["APPLESPRING_CONFIG"] = str(self.write_settings())
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self._requested = False
        with self.log_path.open("ab") as log:
            self.child = subprocess.Popen(
                [
                    sys.executable,
                    "src/applespring_relay.py",
                    "--log-level",
                    "INFO",
                ],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.world.record.add(f"relay {self.name} starts")

    def send(self, signum: signal.Signals) -> None:
        """Sends a signal."""
        self.world.record.add(f"relay {self.name} gets {signum.name}")
        if signum in (signal.SIGTERM, signal.SIGKILL):
            self._requested = True
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signum)

    async def supervise(self) -> None:
        """Starts the process, and again after it has ended."""
        while self.restart:
            self.start()
            assert self.child is not None
            while self.child.poll() is None:
                await asyncio.sleep(0.02)
            code = self.child.returncode
            self.world.record.add(
                f"relay {self.name} has ended with {code}, "
                + ("as asked" if self._requested else "BY ITSELF")
            )
            if not self._requested:
                self.ended.append(code)
            await asyncio.sleep(RESTART_DELAY_S)

    async def is_ready(self) -> bool:
        """Asks for its readiness."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, READY_PORT), 0.5
            )
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def kill(self) -> None:
        """Ends the process for good."""
        self.restart = False
        self._requested = True
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()


class Answer:
    """What a client got for a request.

    Attributes:
        status: HTTP status, or 0 if no head arrived.
        complete: Whether the answer arrived whole.
        body: What arrived of the body.
        detail: How it ended if it is not complete.
    """

    def __init__(self) -> None:
        self.status = 0
        self.complete = False
        self.headers: dict[str, str] = {}
        self.body = b""
        self.detail = ""

    def describe(self) -> str:
        """Returns the status, and whether the answer is complete."""
        end = "complete" if self.complete else f"INCOMPLETE ({self.detail})"
        return f"status {self.status} {end}"


class Channel:
    """A client's connection to a relay, kept for several requests."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.used = 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Whether it may be used for the next request."""
        return (
            self._writer is not None
            and not self._writer.is_closing()
            and self._reader is not None
            and not self._reader.at_eof()
        )

    async def open(self) -> bool:
        """Opens the connection; returns whether that worked."""
        try:
            self._reader, self._writer = await asyncio.wait_for(
                asyncio.open_connection(*self.relay.front), 1.0
            )
        except (OSError, TimeoutError):
            return False
        self.used = 0
        return True

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
        self._writer = self._reader = None

    async def request(
        self, method: str, target: str, headers: Headers, body: bytes = b""
    ) -> Answer:
        """Sends a request and reads its answer."""
        assert self._writer is not None and self._reader is not None
        answer = Answer()
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.used += 1
        try:
            self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await self._writer.drain()
            await self._read(answer)
        except (OSError, asyncio.IncompleteReadError) as exc:
            answer.detail = type(exc).__name__
        if not answer.complete or answer.headers.get("connection") == "close":
            self.close()
        return answer

    async def _read(self, answer: Answer) -> None:
        assert self._reader is not None
        head = await read_head(self._reader)
        if head is None:
            answer.detail = "the connection ended"
            return
        answer.status = int(head[0].split(" ")[1])
        answer.headers = {n.lower(): v for n, v in head[1]}
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            answer.body = await read_chunks(self._reader)
        else:
            size = int(answer.headers.get("content-length", "0"))
            while len(answer.body) < size:
                data = await self._reader.read(size - len(answer.body))
                if not data:
                    answer.detail = f"{len(answer.body)} of {size} bytes"
                    return
                answer.body += data
        answer.complete = True


class World:
    """Store, workers and relays of one run.

    Attributes:
        runs: Names of the workers that ran each request, by its id.
        trouble: Whether the disruption takes place.
    """

    def __init__(self, case: pathlib.Path) -> None:
        self.record = Record(case / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.directory = pathlib.Path(self._temporary.name)
        self._prefix = _choose_network()
        self.store = Store(self.address(2))
        self.relays: list[Relay] = []
        self.workers: list[Worker] = []
        self.runs: dict[str, list[str]] = {}
        # Last worker that ran each request, and when.
        self.run_times: dict[str, tuple[str, float]] = {}
        self.inputs: dict[str, list[dict]] = {}
        self.pieces: list[tuple[dict, list]] = []
        self._tasks: list[asyncio.Task] = []
        self._numbers = iter(range(1, 1 << 30))
        self.record.add(f"disruption: {'yes' if self.trouble else 'no'}")

    def address(self, octet: int) -> str:
        """Returns an address of this run."""
        return f"{self._prefix}.{octet}"

    def new_id(self) -> str:
        """Returns a new request id."""
        return f"{next(self._numbers):04x}{random.randrange(1 << 48):012x}"

    def add_relays(self, zones: Iterable[str]) -> None:
        """Adds one relay in each of these zones."""
        for zone in zones:
            number = len(self.relays) + 1
            self.relays.append(
                Relay(self, f"edge-{number}", zone, self.address(10 + number))
            )

    def note_run(
        self,
        request: str,
        worker: Worker,
        req: Request,
        inputs: Iterable[dict] = (),
    ) -> None:
        """Records that a worker began to work on a request."""
        self.runs.setdefault(request, []).append(worker.name)
        self.run_times[request] = (worker.name, self.record.now())
        self.inputs[request] = list(inputs)
        self.record.add(
            f"worker {worker.name} runs {request} {req.method} {req.target}"
        )

    def note_piece(self, item: dict, worker: Worker, inputs: list) -> None:
        """Records that a worker made a piece."""
        self.pieces.append((item, inputs))
        self.record.add(
            f"worker {worker.name} makes piece {item['id']} "
            f"{item['stage']} {item['segment']}"
        )

    def fetch(self, handle: str) -> dict | None:
        """Returns the piece that a handle stands for at its worker now."""
        address = handle.partition("/")[0]
        for worker in self.workers:
            if worker.address == address and worker.up:
                assert isinstance(worker, StageWorker)
                return worker.results.get(handle)
        return None

    def spawn(self, awaitable: Awaitable[object]) -> asyncio.Task:
        """Runs something beside the rest until the end of the run."""
        task = asyncio.ensure_future(awaitable)
        self._tasks.append(task)
        return task

    async def start(self, document: dict) -> None:
        """Starts everything, and waits until the relays are ready.

        Raises:
            CannotRunError: One is not ready in time.
        """
        await self.store.listen()
        self.store.put("op/config", document)
        for worker in self.workers:
            await worker.start()
        for relay in self.relays:
            self.spawn(relay.supervise())
        ends_at = self.record.now() + READY_LIMIT_S
        for relay in self.relays:
            while not await relay.is_ready():
                if self.record.now() > ends_at:
                    tail = relay.log_path.read_text()[-2000:]
                    raise CannotRunError(f"{relay.name} not ready: {tail}")
                await asyncio.sleep(0.1)
        self.record.add("all relays are ready")
        # The instances learn of each other.
        await asyncio.sleep(2.0)

    def stop(self) -> None:
        """Ends all processes that were started."""
        for relay in self.relays:
            relay.kill()
        for task in self._tasks:
            task.cancel()
        for server in (self.store, *self.workers):
            server.abort()
        self._temporary.cleanup()

    def faults_logged(self, relay: Relay) -> list[str]:
        """Returns the last lines of tracebacks in the log of a relay."""
        text = relay.log_path.read_text(errors="replace")
        return [
            line.strip(" |")
            for line in text.splitlines()
            if "Error:" in line and not line.startswith("{")
        ]


def _choose_network() -> str:
    """Returns the first three octets of loopback addresses that are free."""
    for _ in range(50):
        prefix = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        try:
            with socket.create_server((f"{prefix}.2", STORE_PORT)):
                return prefix
        except OSError:
            continue
    raise CannotRunError("no free loopback address")


def run_case(
    case: pathlib.Path,
    play: Callable[[World], Awaitable[str]],
    make_world: Callable[[pathlib.Path], World] = World,
) -> int:
    """Plays a case.

    Args:
        case: Folder of the case.
        play: Plays it, and returns how the rule was broken, or "".
        make_world: Makes the world of the run.

    Returns:
        1 if the rule was broken, 0 if it held, 2 if the case could not run.
    """

    async def run() -> str:
        world = make_world(case)
        try:
            broken = await play(world)
            world.record.add(f"result: {broken or 'the rule held'}")
            return broken
        except CannotRunError as exc:
            world.record.add(f"the case could not run: {exc}")
            raise
        finally:
            world.stop()

    try:
        broken = asyncio.run(run())
    except (CannotRunError, OSError) as exc:
        print(f"could not run: {exc}")
        return 2
    print(broken or "the rule held")
    return 1 if broken else 0


def make_route(
    name: str, kind: str, service: str, timeout_ms: int, **fields: object
) -> dict:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": timeout_ms // 4,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "stages": [],
        "public": False,
        "stickySessions": kind == "streaming",
        "resumable": False,
        "targetGapMs": 200,
        **fields,
    }


def make_document(version: int, routes: list, services: list) -> dict:
    """Returns a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
    }


def make_service(name: str, **fields: object) -> dict:
    """Returns a service of the configuration."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 360,
        **fields,
    }


def make_headers(request: str, deadline_ms: int, **more: str) -> Headers:
    """Returns the headers of a client's request."""
    return [
        ("Request-Id", request),
        ("Request-Deadline", str(deadline_ms)),
        ("X-Api-Key", KEY),
        *((name.replace("_", "-"), value) for name, value in more.items()),
    ]
