"""Measures the processor time of an entry process by stages and tokens."""

import asyncio
import contextlib
import statistics
import subprocess
from collections.abc import Sequence

import orjson

from applespring.core.integrity import digest
from bench.slope_document import make_item
from bench.slope_fit import Slope
from bench.slope_process import WARM_UP_S, read_cpu_s, start_entry
from bench.slope_standins import HOST, ControlStandIns, find_port

STAGES = (1, 2, 4, 6)
TOKENS = (32, 128, 512)
ROUNDS = 3
REQUESTS = 120
STREAMS = 12
CONNECTIONS = 4
IDLE_S = 4.0
TOKEN_GAP_S = 0.002
CLOSE_TIMEOUT_S = 2.0


class DataStandIns:
    """Minimal services and engines for measurements, each on its own port.

    Attributes:
        addresses: Name to `IP:port`.
    """

    def __init__(self) -> None:
        self.addresses: dict[str, str] = {}
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task] = set()

    async def open(self, names: Sequence[str]) -> None:
        """Listens on a port for each name.

        `engine-N` streams N tokens for each call; other names are services.
        """
        for name in names:
            tokens = int(name.partition("-")[2] or 0)
            server = await asyncio.start_server(
                lambda r, w, n=tokens: self._serve(r, w, n), HOST, 0
            )
            port = server.sockets[0].getsockname()[1]
            self.addresses[name] = f"{HOST}:{port}"
            self._servers.append(server)

    async def close(self) -> None:
        """Stops listening and waits up to CLOSE_TIMEOUT_S for connections."""
        for server in self._servers:
            server.close()
        await asyncio.wait(self._tasks, timeout=CLOSE_TIMEOUT_S)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        tokens: int,
    ) -> None:
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                call = orjson.loads((await read_message(reader))[1])
                if tokens:
                    await self._stream(writer, call, tokens)
                else:
                    writer.write(_answer(call))
        writer.close()

    async def _stream(
        self, writer: asyncio.StreamWriter, call: dict, tokens: int
    ) -> None:
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        writer.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
        for index in range(tokens):
            end = "stop" if index == tokens - 1 else None
            choice = {"index": 0, "text": "token ", "finish_reason": end}
            event = {
                "request_id": call["request_id"],
                "attempt": call["attempt"],
                "index": index,
                "choices": [choice],
            }
            _write_chunk(writer, b"data: " + orjson.dumps(event) + b"\n\n")
            # Engines send each token on its own; without the gap several would
            # arrive in one read.
            await asyncio.sleep(TOKEN_GAP_S)
        _write_chunk(writer, b"data: [DONE]\n\n")
        writer.write(b"0\r\n\r\n")


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Returns head and body of an HTTP/1.1 request or response."""
    head = await reader.readuntil(b"\r\n\r\n")
    fields = head.lower()
    if b"transfer-encoding: chunked" in fields:
        return head, await reader.readuntil(b"\r\n0\r\n\r\n")
    _, found, value = fields.partition(b"content-length: ")
    length = int(value.split(b"\r\n")[0]) if found else 0
    return head, await reader.readexactly(length)


def measure_data() -> list[Slope]:
    """Measures requests by number of stages and streams by number of tokens."""
    return asyncio.run(_measure())


async def _measure() -> list[Slope]:
    data_stand_ins = DataStandIns()
    await data_stand_ins.open(["service", *(f"engine-{n}" for n in TOKENS)])
    stand_ins = ControlStandIns(find_port())
    await stand_ins.open(0, 0)
    stand_ins.document = _write_document(data_stand_ins.addresses)
    stand_ins.entries += [
        make_item(f"{name}-a", name, address, 0)
        for name, address in data_stand_ins.addresses.items()
    ]
    port = find_port()
    process = start_entry(stand_ins, port)
    try:
        await asyncio.sleep(WARM_UP_S)
        idle = await _measure_idle(process)
        stages, tokens = [], []
        for count in STAGES:
            cost = await _measure_load(process, port, f"s{count}", False, idle)
            stages.append((count, cost))
        for count in TOKENS:
            cost = await _measure_load(process, port, f"t{count}", True, idle)
            tokens.append((count, cost))
    finally:
        process.kill()
        process.wait()
        await stand_ins.close()
        await data_stand_ins.close()
    return [
        Slope("request through service stages", "ms", "stages", stages, 6),
        Slope("stream of one generation", "ms", "tokens", tokens, 400),
    ]


async def _measure_idle(process: subprocess.Popen) -> float:
    before = read_cpu_s(process.pid)
    await asyncio.sleep(IDLE_S)
    return (read_cpu_s(process.pid) - before) / IDLE_S


async def _measure_load(
    process: subprocess.Popen,
    port: int,
    pipeline: str,
    stream: bool,
    idle: float,
) -> float:
    """Returns the median processor milliseconds of a request.

    Args:
        process: The entry process.
        port: Its port for callers.
        pipeline: Name of the pipeline.
        stream: Whether to stream the answers.
        idle: Processor seconds a second without requests, which are deducted.
    """
    count = STREAMS if stream else REQUESTS
    loop = asyncio.get_running_loop()
    costs = []
    for _ in range(ROUNDS):
        started_at, before = loop.time(), read_cpu_s(process.pid)
        share = count // CONNECTIONS
        await asyncio.gather(
            *(_send(port, pipeline, stream, share) for _ in range(CONNECTIONS))
        )
        elapsed_s = loop.time() - started_at
        used_s = read_cpu_s(process.pid) - before - idle * elapsed_s
        costs.append(1e3 * used_s / count)
    return statistics.median(costs)


async def _send(port: int, pipeline: str, stream: bool, count: int) -> None:
    reader, writer = await asyncio.open_connection(HOST, port)
    body = orjson.dumps({"input": "x" * 200, "stream": stream})
    head = (
        f"POST /v1/pipelines/{pipeline}/requests HTTP/1.1\r\nHost: x\r\n"
        f"Applespring-Account: account-0\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    for _ in range(count):
        writer.write(head.encode() + body)
        answer, content = await read_message(reader)
        if b" 200" not in answer.split(b"\r\n")[0] or (
            stream and b"event: end" not in content
        ):
            raise SystemExit(
                f"request of pipeline {pipeline} failed: {answer!r}"
                f" {content[-300:]!r}"
            )
    writer.close()


def _write_document(addresses: dict[str, str]) -> str:
    lines = ['site = "Scale"', 'region = "one"']
    lines.append('failure_domains = ["domain-0"]')
    for name, address in addresses.items():
        kind = "generate" if "-" in name else "service"
        lines += ["[[pool]]", f'name = "{name}"', f'kind = "{kind}"']
        if kind == "generate":
            lines += ['model = "m"', f"max_tokens = {name.partition('-')[2]}"]
        lines.append(
            f'upstream = [{{ name = "{name}-a", address = "{address}", '
            'failure_domain = "domain-0", slots = 64 }]'
        )
    chains = [(f"s{n}", ["service"] * n) for n in STAGES]
    chains += [(f"t{n}", [f"engine-{n}"]) for n in TOKENS]
    for name, pools in chains:
        stages = ", ".join(
            f'{{ name = "stage-{i}", pool = "{pool}" }}'
            for i, pool in enumerate(pools)
        )
        lines += ["[[pipeline]]", f'name = "{name}"', f"stages = [{stages}]"]
    lines += ["[[account]]", 'name = "account-0"']
    lines += ["[[rule]]", 'name = "rest"', ""]
    return "\n".join(lines)


def _answer(call: dict) -> bytes:
    fields = ("request_id", "stage", "attempt")
    output = call["input"]
    reply = {name: call[name] for name in fields}
    body = orjson.dumps(reply | {"output": output, "digest": digest(output)})
    head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
