"""A small deployment for the review's scripts, on loopback addresses.

It starts relay processes with the command of the deploy file and plays the
platform, the workers and the clients as `PROTOCOL.md` describes them. Only the
standard library is used.
"""

import asyncio
import base64
import contextlib
import json
import math
import os
import pathlib
import random
import secrets
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The words of `run` in deploy/system.toml.
COMMAND = ["python3", "src/applespring_relay.py", "--log-level", "INFO"]
# The platform restarts a process that ended after a short delay.
RESTART_DELAY_S = 0.3
START_LIMIT_S = 25.0
# Ready instances need this long to find each other and to count as in touch.
CONTACT_S = 3.0
HOST = "review.example"
KEY = "key-of-the-review"
TENANT = "tenant-1"
STORE_DELAY_S = 0.004
FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 8625, 8621, 8628, 7740
# Three times `heartbeatMs`.
LAPSE_S = 3.6
# LOST allows so many ("more than three times").
LOST_MAX = 3
# Fault: "on a tenth of the machines in use (two at least) processes end by
# themselves three times in the day".
FAULT_ENDS, FAULT_MACHINES_MIN = 3, 2
STAGE_RESULT_BYTES = 500_000
CONNECTION_ERRORS = (OSError, EOFError, asyncio.IncompleteReadError, ValueError)


class Record:
    """What was sent, answered and run, written to `record.txt` at the end."""

    def __init__(self) -> None:
        self._started_at = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Returns the seconds since the start of the script."""
        return time.monotonic() - self._started_at

    def add(self, text: str) -> None:
        """Adds a line with the present time."""
        self.lines.append(f"{self.now():8.3f}  {text}")

    def write(self, path: pathlib.Path) -> None:
        """Writes all lines."""
        path.write_text("\n".join(self.lines) + "\n")


class Request:
    """A received request."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Returns the first line and the headers, names in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Returns the next chunk of a chunked body, empty at its end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


class Conn:
    """A connection of a stand-in server."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        # What a case keeps for this connection.
        self.notes: dict[str, Any] = {}

    async def send(self, data: bytes) -> None:
        """Sends bytes."""
        self._writer.write(data)
        await self._writer.drain()

    async def reply(
        self,
        status: int,
        body: bytes = b"",
        headers: Iterable[tuple[str, str]] = (),
    ) -> None:
        """Sends a whole answer."""
        await self.send(make_answer(status, body, headers))

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()

    def reset(self) -> None:
        """Resets the connection."""
        self._writer.transport.abort()


def make_answer(
    status: int, body: bytes, headers: Iterable[tuple[str, str]] = ()
) -> bytes:
    """Returns the bytes of a whole answer."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


Handler = Callable[[Request, Conn], Awaitable[None]]


class HttpServer:
    """HTTP/1.1 server; one request at a time on a connection."""

    def __init__(self, host: str, handler: Handler, port: int = 0) -> None:
        self.host = host
        self.port = port
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._conns: set[Conn] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """IP:port."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Opens the port, a free one the first time."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def crash(self) -> None:
        """Closes the port and resets all connections, as a killed process."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for conn in list(self._conns):
            conn.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = Conn(writer)
        task = asyncio.current_task()
        assert task is not None
        self._conns.add(conn)
        self._tasks.add(task)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = b""
                if "content-length" in headers:
                    body = await reader.readexactly(
                        int(headers["content-length"])
                    )
                elif "chunked" in headers.get("transfer-encoding", ""):
                    while data := await read_chunk(reader):
                        body += data
                await self._handler(
                    Request(method, target, headers, body), conn
                )
        except (*CONNECTION_ERRORS, asyncio.CancelledError):
            pass
        finally:
            self._conns.discard(conn)
            self._tasks.discard(task)
            writer.close()


class Store:
    """The platform's store: items, ranges and watches."""

    def __init__(self, host: str) -> None:
        self.server = HttpServer(host, self._handle)
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._revision = 100
        self._changed = asyncio.Event()

    def put(self, key: str, value: Any) -> None:
        """Writes a value as JSON."""
        self._revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {
            "key": key,
            "value": text,
            "revision": self._revision,
            "created": self._revision,
            "lease": 0,
        }
        self._items[key] = item
        self._add(item)

    def delete(self, key: str) -> None:
        """Removes a key."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._add({"key": key, "revision": self._revision, "deleted": True})

    def _add(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, req: Request, conn: Conn) -> None:
        path, _, query = req.target.partition("?")
        fields = dict(
            pair.partition("=")[::2] for pair in query.split("&") if pair
        )
        await asyncio.sleep(STORE_DELAY_S)
        prefix = fields.get("prefix", "").replace("%2F", "/")
        if path == "/kv-range":
            found = sorted(k for k in self._items if k.startswith(prefix))
            answer: dict[str, Any] = {
                "items": [self._items[k] for k in found],
                "hasMore": False,
                "at": self._revision,
            }
        elif path == "/kv-watch":
            answer = await self._watch(
                prefix, int(fields["after"]), int(fields["waitMs"]) / 1000
            )
        else:
            await conn.reply(404)
            return
        await conn.reply(
            200,
            json.dumps(answer).encode(),
            [("Content-Type", "application/json")],
        )

    async def _watch(
        self, prefix: str, after: int, wait_s: float
    ) -> dict[str, Any]:
        until = time.monotonic() + wait_s
        while True:
            changed = self._changed
            events = [
                e
                for e in self._history
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "at": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)


class Worker:
    """One worker: its server and its entry in the store."""

    def __init__(
        self, world: "World", name: str, service: str, zone: str, slots: int
    ) -> None:
        self.world = world
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.server = HttpServer(world.host(200 + len(world.workers)), self._on)
        self.born = 0
        self._beats = 0
        self._lapse: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Starts the process of the worker and registers it."""
        if self._lapse is not None:
            self._lapse.cancel()
        self.born = int(time.time() * 1000)
        await self.server.start()
        self.world.store.put(f"servers/{self.name}", self.entry())
        self.world.record.add(
            f"worker {self.name} of {self.service} runs at "
            f"{self.server.address}"
        )

    def leave(self) -> None:
        """Removes the entry, as a worker that never reports `draining`."""
        self.world.store.delete(f"servers/{self.name}")
        self.world.record.add(f"the entry of {self.name} is removed")

    async def crash(self) -> None:
        """Kills the worker; its entry lapses after three beats of silence."""
        self.world.record.add(f"worker {self.name} crashes")
        await self.server.crash()
        self._lapse = asyncio.get_running_loop().call_later(
            LAPSE_S, self.world.store.delete, f"servers/{self.name}"
        )

    def entry(self) -> dict[str, Any]:
        """Returns its entry."""
        self._beats += 1
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": 1,
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self._beats,
            "born": self.born,
        }

    async def _on(self, req: Request, conn: Conn) -> None:
        echo = []
        if "request-id" in req.headers:
            echo = [("Request-Id", req.headers["request-id"])]
        target = req.headers.get("target-instance", self.name)
        if target != self.name:
            await conn.reply(421, b"", [*echo, ("Not-Executed", "1")])
            return
        await self.serve(req, conn, echo)

    async def serve(
        self, req: Request, conn: Conn, echo: list[tuple[str, str]]
    ) -> None:
        """Answers one request that is meant for this worker."""
        raise NotImplementedError


class PlainWorker(Worker):
    """Runs a request for `work_s` and answers with its signature."""

    work_s = 0.045

    async def serve(
        self, req: Request, conn: Conn, echo: list[tuple[str, str]]
    ) -> None:
        """See `Worker.serve`."""
        request_id = req.headers.get("request-id", "")
        self.world.note_run(request_id, self)
        await asyncio.sleep(self.work_s)
        await conn.reply(
            200,
            f"done {request_id}".encode(),
            [*echo, ("Response-Signature", f"{self.name}.{request_id}")],
        )


class StageWorker(Worker):
    """Runs stage calls one after the other; keeps results for a time."""

    # Fixed time of a call, time of a piece, and lifetime of a result.
    call_s, piece_s, ttl_s = 0.15, 0.016, 4.0
    queue = 2
    room_mb = 56.0
    result_mb = 0.5

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._turn = asyncio.Lock()
        self._calls = 0
        # How much longer work takes than usual.
        self.slow = 1.0

    def load(self) -> list[tuple[str, str]]:
        """Returns the headers of all answers."""
        running = min(1, self._calls)
        return [("Server-Load", f"{running},{self._calls - running},1")]

    async def serve(
        self, req: Request, conn: Conn, echo: list[tuple[str, str]]
    ) -> None:
        """See `Worker.serve`."""
        headers = [*echo, *self.load(), ("Content-Type", "application/json")]
        if req.target == "/report":
            kept = self.world.kept_at(self)
            body = {
                "queued": max(0, self._calls - 1),
                "busy": self._calls > 0,
                "freeMb": int(self.room_mb - self.result_mb * kept),
            }
            await conn.reply(200, json.dumps(body).encode(), headers)
        elif req.target == "/stage-free":
            for handle in json.loads(req.body)["handles"]:
                self.world.results.pop(handle, None)
            await conn.reply(200, b"{}", headers)
        elif self._calls > self.queue:
            await conn.reply(503, b"", [*headers, ("Not-Executed", "1")])
        else:
            self._calls += 1
            try:
                async with self._turn:
                    items = json.loads(req.body)["items"]
                    await asyncio.sleep(
                        self.slow * (self.call_s + self.piece_s * len(items))
                    )
                    answer = self.make_results(items)
            finally:
                self._calls -= 1
            await self.answer_call(conn, answer, headers)

    def make_results(self, items: list[dict[str, Any]]) -> bytes:
        """Runs pieces; returns the body of the answer."""
        out: list[dict[str, str]] = []
        for item in items:
            inputs = item.get("inputs", [])
            if any(i not in self.world.results for i in inputs):
                out.append({"reason": "gone"})
                continue
            handle = f"{self.server.address}/{secrets.token_hex(6)}"
            self.world.add_result(self, handle, item, inputs)
            out.append({"handle": handle})
        return json.dumps({"items": out}).encode()

    async def answer_call(
        self, conn: Conn, body: bytes, headers: list[tuple[str, str]]
    ) -> None:
        """Sends the answer of a call."""
        await conn.reply(200, body, headers)


class EngineWorker(Worker):
    """Runs streams; reads the results that `Inputs` names."""

    # Time to the first event, number of events, and time between two.
    first_s, events, gap_s = 0.6, 10, 0.05

    async def serve(
        self, req: Request, conn: Conn, echo: list[tuple[str, str]]
    ) -> None:
        """See `Worker.serve`."""
        if req.target == "/report":
            body = {
                "stage": "unified",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": 0,
                "queued": 0,
                "running": 0,
                "kvUsed": 0,
                "kvTotal": 600000,
                "handles": 0,
            }
            await conn.reply(200, json.dumps(body).encode(), echo)
            return
        request_id = req.headers.get("request-id", "")
        inputs = [i for i in req.headers.get("inputs", "").split(",") if i]
        if any(i not in self.world.results for i in inputs):
            await conn.reply(409, b"", [*echo, ("Not-Executed", "1")])
            return
        self.world.note_run(request_id, self, inputs)
        await asyncio.sleep(self.first_s)
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"Request-Id: {request_id}",
            f"Response-Signature: {self.name}.{request_id}",
            "Transfer-Encoding: chunked",
        ]
        await conn.send("\r\n".join([*head, "", ""]).encode())
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            await conn.send(b"%x\r\n%s\r\n" % (len(event), event))
            await asyncio.sleep(self.gap_s)
        await conn.send(b"0\r\n\r\n")


class Result:
    """A stage result and what it was made of."""

    def __init__(
        self, maker: Worker, item: dict[str, Any], inputs: list[str]
    ) -> None:
        self.maker = maker
        self.request = item["id"]
        self.stage = item["stage"]
        self.segment = item["segment"]
        self.inputs = inputs


class Link:
    """A relay's path to the store, which may be cut."""

    def __init__(self, host: str, target: HttpServer) -> None:
        self._host = host
        self._target = target
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Set when the connections of its time go silent.
        self._silence = asyncio.Event()

    @property
    def address(self) -> str:
        """IP:port at which the relay finds the store."""
        return f"{self._host}:{self.port}"

    async def heal(self) -> None:
        """Opens the path."""
        if self._server is None:
            self._server = await asyncio.start_server(
                self._serve, self._host, self.port
            )
            self.port = self._server.sockets[0].getsockname()[1]

    async def cut(self) -> None:
        """Resets all connections and refuses others."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def silence(self) -> None:
        """Lets open connections go silent for good; new ones work."""
        self._silence.set()
        self._silence = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        silence = self._silence
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._target.host, self._target.port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._copy(reader, far_writer, silence),
                self._copy(far_reader, writer, silence),
            )
        finally:
            self._writers -= {writer, far_writer}

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        silence: asyncio.Event,
    ) -> None:
        try:
            while data := await reader.read(65536):
                if silence.is_set():
                    continue
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Relay:
    """One machine of the system with its process."""

    def __init__(self, world: "World", number: int, zone: str) -> None:
        self.world = world
        self.name = f"edge-{zone}-{number}"
        self.zone = zone
        self.ip = world.host(10 + number)
        self.link = Link(world.host(110 + number), world.store.server)
        self.process: asyncio.subprocess.Process | None = None
        # Ends that nobody asked for: time and exit status.
        self.own_ends: list[tuple[float, int]] = []
        self.stopping = False
        self.log = world.folder / f"{self.name}.log"
        self.config = world.folder / f"{self.name}.conf"

    def write_settings(self) -> None:
        """Writes the settings file, as DEPLOY.md shows it."""
        seeds = ",".join(
            f"{relay.ip}:{CONTROL_PORT}" for relay in self.world.relays[:3]
        )
        lines = [
            f"node={self.name}",
            "role=relay",
            "machineClass=edge",
            "serves=edge,control",
            f"ip={self.ip}",
            f"zone={self.zone}",
            "region=primorska",
            *(f"zones.{z}=primorska" for z in self.world.zones),
            f"listen.front={self.ip}:{FRONT_PORT}",
            f"listen.ready={self.ip}:{READY_PORT}",
            f"listen.control={self.ip}:{CONTROL_PORT}",
            f"internalPorts={PEER_PORT},{PEER_PORT + 15}",
            f"seeds={seeds}",
            "firstStart=true",
            "limits.linkMbps=1000.0",
            "limits.memoryMb=300",
            "limits.maxFds=4100",
            "discovery=platform",
            "entry=vip",
            "heartbeatMs=1200",
            "contracts=base,drain,config,cost,retry,recover,engine,stream,"
            "tenants,platform,stages",
            "bounds.reuseAfterS=2",
            "bounds.contactMs=3000",
            "bounds.drainMs=2000",
            "bounds.graceS=8",
            "bounds.lossSlackMs=200",
            "bounds.configApplyMs=2000",
            "bounds.retryBudgetRatio=0.2",
            "bounds.budgetWindowS=10",
            "bounds.budgetExtraRetries=54",
            f"platform.address={self.link.address}",
            "platform.form=read",
        ]
        self.config.write_text("\n".join(lines) + "\n")

    async def run(self) -> None:
        """Starts the process, and again after each end, until cancelled."""
        env = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
        env |= {
            "LANG": "C.UTF-8",
            "APPLESPRING_CONFIG": str(self.config),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        while not self.stopping:
            self.write_settings()
            with self.log.open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *COMMAND, cwd=ROOT, env=env, stdout=log, stderr=log
                )
            status = await self.process.wait()
            if not self.stopping:
                self.own_ends.append((self.world.record.now(), status))
                self.world.record.add(
                    f"process of {self.name} ended by itself, status {status}"
                )
                await asyncio.sleep(RESTART_DELAY_S)

    async def is_ready(self) -> bool:
        """Returns whether it answers its status check with 200."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, READY_PORT), 1.0
            )
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1.0)
            return " 200" in first
        except (*CONNECTION_ERRORS, TimeoutError):
            return False
        finally:
            writer.close()

    def find_error(self) -> str:
        """Returns the last line of a traceback in its log, or ""."""
        for line in reversed(self.log.read_text(errors="replace").split("\n")):
            text = line.lstrip(" |")
            if text[:1].isalpha() and ("Error:" in text or "URL:" in text):
                return text[:200]
        return ""

    def kill(self) -> None:
        """Ends the process."""
        self.stopping = True
        if self.process is not None and self.process.returncode is None:
            self.process.kill()


class Sent:
    """One client attempt and how it ended."""

    def __init__(self, request_id: str, relay: Relay, kept: bool) -> None:
        self.request_id = request_id
        self.relay = relay
        # Whether its channel had carried an answer before.
        self.kept = kept
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.status = 0
        self.complete = False
        # Whether the channel ended without a complete answer.
        self.closed = False


class World:
    """The whole deployment of one script."""

    def __init__(self, zones: Iterable[str] = ("koper", "izola")) -> None:
        self.zones = list(zones)
        self.record = Record()
        self._net = (random.randrange(16, 240), random.randrange(1, 250))
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._folder.name)
        self.store = Store(self.host(2))
        self.workers: list[Worker] = []
        self.relays: list[Relay] = []
        self.results: dict[str, Result] = {}
        # All results ever made, for checks after they were freed.
        self.made: dict[str, Result] = {}
        self.runs: dict[str, list[tuple[float, Worker, list[str]]]] = {}
        self.sent: list[Sent] = []
        self.channels: list[Channel] = []
        # What a case keeps for its check.
        self.notes: dict[str, Any] = {}
        self._config: dict[str, Any] = {}
        self._tasks: list[asyncio.Task] = []

    def host(self, octet: int) -> str:
        """Returns a loopback address of this run."""
        return f"127.{self._net[0]}.{self._net[1]}.{octet}"

    def configure(self, **changes: Any) -> None:
        """Writes the configuration with other values of some fields.

        Args:
            **changes: Fields of the configuration; `keys` are those of its
                tenant.
        """
        keys = changes.pop("keys", None)
        self._config |= changes
        if keys is not None:
            self._config["tenants"] = [
                tenant | {"apiKeys": keys} for tenant in self._config["tenants"]
            ]
        self.store.put("op/config", self._config)

    def note_run(
        self, request_id: str, worker: Worker, inputs: Iterable[str] = ()
    ) -> None:
        """Records that a worker begins to run a request."""
        run = (self.record.now(), worker, list(inputs))
        self.runs.setdefault(request_id, []).append(run)
        self.record.add(
            f"{worker.name} runs {request_id} with inputs {list(inputs)}"
        )

    def add_result(
        self,
        maker: Worker,
        handle: str,
        item: dict[str, Any],
        inputs: list[str],
    ) -> None:
        """Records a stage result, kept until it is freed or expires."""
        result = Result(maker, item, inputs)
        self.results[handle] = self.made[handle] = result
        self.record.add(
            f"{maker.name} makes {handle} for {result.request}, stage "
            f"{result.stage}, piece {result.segment}, from {inputs}"
        )
        asyncio.get_running_loop().call_later(
            StageWorker.ttl_s, self.results.pop, handle, None
        )

    def kept_at(self, maker: Worker) -> int:
        """Returns how many results a worker keeps."""
        return sum(r.maker is maker for r in self.results.values())

    def start(self, work: Awaitable[None]) -> asyncio.Task:
        """Starts a task that ends with the script."""
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    async def start_relays(self, count: int) -> None:
        """Starts the processes and waits until all are in touch."""
        self.relays = [
            Relay(self, n, self.zones[n % len(self.zones)])
            for n in range(count)
        ]
        for relay in self.relays:
            await relay.link.heal()
            self.start(relay.run())
        for relay in self.relays:
            await self.wait_ready(relay)
        await asyncio.sleep(CONTACT_S)

    async def wait_ready(self, relay: Relay) -> None:
        """Waits until a relay is ready.

        Raises:
            SetupError: It is not within `START_LIMIT_S`.
        """
        until = time.monotonic() + START_LIMIT_S
        while not await relay.is_ready():
            if time.monotonic() > until:
                raise SetupError(f"{relay.name} is not ready")
            await asyncio.sleep(0.1)

    async def call(
        self,
        relay: Relay,
        path: str,
        headers: Iterable[tuple[str, str]],
        *,
        deadline_ms: int,
        channel: "Channel | None" = None,
        body: bytes = b"{}",
        key: str = KEY,
    ) -> Sent:
        """Sends one request on a channel and reads the whole answer."""
        own = channel is None
        channel = channel or Channel(relay)
        sent = Sent(secrets.token_hex(8), relay, channel.answers > 0)
        self.sent.append(sent)
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {sent.request_id}",
            f"Request-Deadline: {deadline_ms}",
            f"X-Api-Key: {key}",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in headers),
        ]
        data = "\r\n".join([*lines, "", ""]).encode() + body
        try:
            reader, writer = await channel.open()
            writer.write(data)
            sent.sent_at = self.record.now()
            self.record.add(f"client sends {sent.request_id} to {relay.name}")
            await asyncio.wait_for(
                self._read_answer(sent, reader), deadline_ms / 1000 + 0.5
            )
            channel.answers += 1
        except TimeoutError:
            channel.close()
        except CONNECTION_ERRORS as exc:
            sent.closed = sent.sent_at > 0.0
            channel.close()
            self.record.add(
                f"client: channel of {sent.request_id} ends without an "
                f"answer ({type(exc).__name__})"
            )
        sent.ended_at = self.record.now()
        self.record.add(
            f"client: {sent.request_id} ends with status {sent.status}, "
            f"complete {sent.complete}"
        )
        if own:
            channel.close()
            self.channels.remove(channel)
        return sent

    async def _read_answer(
        self, sent: Sent, reader: asyncio.StreamReader
    ) -> None:
        first, headers = await read_head(reader)
        sent.status = int(first.split(" ")[1])
        if "content-length" in headers:
            await reader.readexactly(int(headers["content-length"]))
        elif "chunked" in headers.get("transfer-encoding", ""):
            while await read_chunk(reader):
                pass
        sent.complete = True

    async def stop(self) -> None:
        """Ends all processes, servers and tasks."""
        for relay in self.relays:
            relay.kill()
        for task in self._tasks:
            task.cancel()
        for relay in self.relays:
            await relay.link.cut()
            if relay.process is not None:
                await relay.process.wait()
        for server in [w.server for w in self.workers] + [self.store.server]:
            await server.crash()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for channel in self.channels:
            channel.close()
        # Lets closed connections end while the event loop still runs.
        await asyncio.sleep(0.1)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for relay in self.relays:
                target = pathlib.Path(keep) / relay.log.name
                target.write_bytes(relay.log.read_bytes())
        self._folder.cleanup()


class Channel:
    """A channel of a client to one relay, kept for many requests."""

    def __init__(self, relay: Relay) -> None:
        self._relay = relay
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None
        self.answers = 0
        relay.world.channels.append(self)

    async def open(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Returns the streams, of a new connection if there is none."""
        if self._streams is None:
            self._streams = await asyncio.open_connection(
                self._relay.ip, FRONT_PORT
            )
        return self._streams

    def close(self) -> None:
        """Closes the connection; the next request opens another."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
        self.answers = 0


class SetupError(Exception):
    """The case could not run."""


async def deploy(
    world: World,
    stage_kind: type[StageWorker] = StageWorker,
    count: int = 2,
    *,
    stages: Sequence[str] = ("thumbs",),
    batch: int = 8,
    resumable: bool = False,
) -> list[StageWorker]:
    """Starts workers of all services and writes the configuration.

    Args:
        world: The deployment.
        stage_kind: Kind of the workers that run stages.
        count: Workers of each service.
        stages: Services that run the stages of a generation.
        batch: Most pieces of a stage call.
        resumable: Whether the streams may be resumed.

    Returns:
        The workers that run stages.
    """
    for n in range(count):
        zone = world.zones[n % len(world.zones)]
        for kind, service, slots in (
            (EngineWorker, "pool", 64),
            *((stage_kind, service, 1) for service in stages),
            (PlainWorker, "bookings", 6),
        ):
            worker = kind(world, f"i-{service}-{n}", service, zone, slots)
            world.workers.append(worker)
            await worker.start()
    stream = {
        "timeoutMs": 12000,
        "targetLatencyMs": 1300,
        "targetGapMs": 200,
        "stickySessions": True,
        "resumable": resumable,
        "maxAttempts": 2 if resumable else 1,
    }
    steps = [
        {"service": service, "after": [], "length": STAGE_RESULT_BYTES}
        for service in stages
    ]
    config = make_config(
        [
            make_route("gen", "pool", "streaming", **stream, stages=steps),
            make_route("chat", "pool", "streaming", **stream),
            make_route(
                "book",
                "bookings",
                "unsafe",
                timeoutMs=1000,
                targetLatencyMs=200,
            ),
        ],
        [
            {"name": "pool", "engine": {"slots": 64}},
            *(
                {"name": service, "segments": make_segments(batch=batch)}
                for service in stages
            ),
            {"name": "bookings"},
        ],
    )
    world.configure(**config)
    return [x for x in world.workers if isinstance(x, StageWorker)]


def start_traffic(
    world: World,
    *,
    generations_per_s: float = 2.0,
    segments: str = "2",
    kept_channels: int = 5,
) -> None:
    """Starts clients at every relay, which send until the end.

    Args:
        world: The deployment.
        generations_per_s: Generations with a stage that a relay gets a second,
            each on a channel of its own.
        segments: Number of pieces of each stage.
        kept_channels: Channels to a relay that carry one chat after the other.
    """

    async def generate(relay: Relay) -> None:
        while True:
            headers = prompt_headers(segments)
            world.start(world.call(relay, "/gen/a", headers, deadline_ms=12000))
            await asyncio.sleep(1 / generations_per_s)

    async def chat(relay: Relay) -> None:
        channel = Channel(relay)
        while True:
            await world.call(
                relay,
                "/chat/a",
                prompt_headers(""),
                deadline_ms=12000,
                channel=channel,
            )
            await asyncio.sleep(0.05)

    async def book(relay: Relay) -> None:
        channel = Channel(relay)
        while True:
            await world.call(
                relay, "/book/a", [], deadline_ms=1000, channel=channel
            )
            await asyncio.sleep(0.25)

    for relay in world.relays:
        world.start(generate(relay))
        world.start(book(relay))
        for _ in range(kept_channels):
            world.start(chat(relay))


def make_route(name: str, service: str, kind: str, **fields: Any) -> dict:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "service": service,
        "kind": kind,
        "priority": 1,
        "maxAttempts": 1,
        "public": False,
        **fields,
    }


def make_config(routes: list[dict], services: list[dict]) -> dict[str, Any]:
    """Returns a configuration with one tenant."""
    return {
        "version": 3,
        "routes": routes,
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


def make_segments(**fields: Any) -> dict[str, Any]:
    """Returns the `segments` of a service that runs stages."""
    return {
        "slots": 1,
        "queue": StageWorker.queue,
        "batch": 8,
        "callMs": 150,
        "itemMs": 16,
        "headroomMb": StageWorker.room_mb,
        "handleTtlS": StageWorker.ttl_s,
        "linkMbps": 10000,
        **fields,
    }


def prompt_headers(segments: str) -> list[tuple[str, str]]:
    """Returns the headers of a generation with stages."""
    part = secrets.token_hex(4)
    return [
        ("Model", "m"),
        ("Token-Count", "1460,80"),
        ("Prompt-Prefix", f"5c1e07a2:800,{part}:660"),
        ("Segments", segments),
        ("Segment-Key", secrets.token_hex(6)),
    ]


def trouble() -> bool:
    """Returns whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def find_lost(world: World) -> list[Sent]:
    """Returns the requests that count for LOST ("at any time").

    Those that a machine took from a kept channel and passed on to a sound
    worker, and whose channel it closed without any part of an answer.
    """
    return [
        sent
        for sent in world.sent
        if sent.kept
        and sent.closed
        and not sent.status
        and sent.request_id in world.runs
    ]


def judge_ends(world: World) -> str:
    """Applies Fault to processes that end by themselves.

    No machine is disturbed in these cases: nothing is done to a process, to its
    link or to its path to the store.
    """
    often = [r for r in world.relays if len(r.own_ends) >= FAULT_ENDS]
    needed = max(FAULT_MACHINES_MIN, math.ceil(0.1 * len(world.relays)))
    ends = [len(relay.own_ends) for relay in world.relays]
    served = sum(sent.complete for sent in world.sent)
    broken_off = sum(sent.closed for sent in world.sent)
    text = (
        f"processes ended by themselves {ends} times (by machine); {served} "
        f"of {len(world.sent)} requests got a complete answer, the channels "
        f"of {broken_off} ended without one"
    )
    world.record.add(text)
    if not served:
        raise SetupError("no request was served")
    return f"Fault: {text}" if len(often) >= needed else ""


def judge_lost(world: World) -> str:
    """Applies LOST ("at any time") to what clients and workers have seen."""
    lost = find_lost(world)
    ends = sum(len(relay.own_ends) for relay in world.relays)
    served = sum(sent.complete for sent in world.sent)
    text = (
        f"{len(lost)} requests of kept channels that workers ran got no "
        f"answer, {served} of {len(world.sent)} got a complete one; "
        f"{ends} processes ended by themselves"
    )
    world.record.add(text)
    if not served:
        raise SetupError("no request was served")
    return f"LOST: {text}" if len(lost) > LOST_MAX else ""


def run_case(
    folder: pathlib.Path,
    play: Callable[[World], Awaitable[None]],
    judge: Callable[[World], str],
    limit_s: float = 110.0,
) -> None:
    """Plays a case, writes its record and ends with the status of the issue.

    Args:
        folder: Folder of the case.
        play: Plays the case.
        judge: Returns what broke the rule, or "" if it held. Raises a
            SetupError if the case did not come to the point.
        limit_s: Longest time of the play.
    """

    async def main() -> int:
        world = World()
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, asyncio.current_task(loop).cancel)
        try:
            await world.store.server.start()
            await asyncio.wait_for(play(world), limit_s)
            broken = judge(world)
            for relay in world.relays:
                if relay.own_ends:
                    world.record.add(
                        f"log of {relay.name}: {relay.find_error()}"
                    )
        except Exception as exc:  # noqa: BLE001
            # An error of the case itself is no broken rule.
            world.record.add(f"the case could not run: {exc!r}")
            print(f"could not run: {exc!r}")
            return 2
        finally:
            await world.stop()
            world.record.write(folder / "record.txt")
        world.record.add(f"verdict: {broken or 'the rule held'}")
        world.record.write(folder / "record.txt")
        print(broken or "the rule held")
        return 1 if broken else 0

    sys.exit(asyncio.run(main()))
