"""Measures the latency and processor time that an entry instance costs.

`make overhead` starts one entry instance and stand-ins without a service time,
each as a process. In the same run it measures requests through the entry
instance and direct calls of the same stand-ins, and the processor time of the
entry process for each request and each relayed token.
"""

import os
import pathlib
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from typing import Annotated, Any

import anyio
import httpx
import orjson
from hdrh.histogram import HdrHistogram

from applespring.cli import EXIT_DONE, EXIT_FAULT, Range, run_program
from applespring.load.sse import EventReader
from demo.cluster import Cluster
from demo.process import StartError

ENTRY = "entry-local-1"
TOKENS_PER_STREAM = 200
TOKENS_PER_S = 1_000_000.0
CALLERS = 8
STREAM_CALLERS = 8
WARM_UP_REQUESTS = 50
REQUEST_TIMEOUT_S = 60.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")

DOCUMENT = """
site = "overhead"
region = "local"
failure_domains = ["local"]

[[pool]]
name = "lookup"
kind = "service"
expected_s = 0.001
upstream = [{ name = "lookup-1", address = "127.0.0.1:11", \
failure_domain = "local", slots = 1000 }]

[[pool]]
name = "language-model"
kind = "generate"
model = "small"
resumes = true
expected_s = 0.1
max_tokens = 4096
upstream = [{ name = "engine-1", address = "127.0.0.1:12", \
failure_domain = "local", slots = 1000 }]

[[pipeline]]
name = "lookup"
deadline_s = 60.0
deadline_max_s = 60.0
stages = [{ name = "lookup", pool = "lookup" }]

[[pipeline]]
name = "generate"
deadline_s = 60.0
deadline_max_s = 60.0
stages = [{ name = "generate", pool = "language-model" }]

[[account]]
name = "web"

[[rule]]
name = "all"
then = { priority = 5 }
"""

Send = Callable[[httpx.AsyncClient], Awaitable[None]]


class Measurement:
    """Request times of one kind of request and processor time of the entry.

    Attributes:
        histogram: Request times in microseconds.
        elapsed_s: Seconds from the first request to the last answer.
        processor_s: Processor seconds of the entry process in that time.
        count: Number of requests.
    """

    __slots__ = ("histogram", "elapsed_s", "processor_s", "count")

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, 60_000_000, 3)
        self.elapsed_s = 0.0
        self.processor_s = 0.0
        self.count = 0

    def percentile_ms(self, percentile: float) -> float:
        """Returns a percentile of the request times in milliseconds."""
        return self.histogram.get_value_at_percentile(percentile) / 1000


class OverheadBench:
    """Sends requests to one cluster and measures them."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._pid = cluster.children[ENTRY].popen.pid
        self._number = 0

    async def measure(
        self, send: Send, count: int, callers: int
    ) -> Measurement:
        """Sends `count` requests; each caller waits for its answer.

        Args:
            send: Sends one request and reads its answer.
            count: Number of requests.
            callers: Callers that send at the same time.
        """
        measurement = Measurement()
        remaining = count

        async def call(client: httpx.AsyncClient) -> None:
            nonlocal remaining
            while remaining > 0:
                remaining -= 1
                started = time.perf_counter()
                await send(client)
                micros = round((time.perf_counter() - started) * 1e6)
                measurement.histogram.record_value(max(1, micros))
                measurement.count += 1

        # A client for each caller: the time that a shared connection pool costs
        # grows with the number of its connections.
        clients = [
            httpx.AsyncClient(timeout=REQUEST_TIMEOUT_S, trust_env=False)
            for _ in range(callers)
        ]
        processor_s = read_processor_s(self._pid)
        started = time.perf_counter()
        async with anyio.create_task_group() as tasks:
            for client in clients:
                tasks.start_soon(call, client)
        measurement.elapsed_s = time.perf_counter() - started
        measurement.processor_s = read_processor_s(self._pid) - processor_s
        for client in clients:
            await client.aclose()
        return measurement

    async def call_direct(self, client: httpx.AsyncClient) -> None:
        """Calls the service stand-in directly."""
        await _post(
            client,
            f"{self._cluster.urls['lookup-1']}/v1/call",
            {
                "request_id": self._next_id(),
                "stage": "lookup",
                "attempt": 1,
                "input": {"text": "where"},
            },
        )

    async def call_entry(self, client: httpx.AsyncClient) -> None:
        """Calls the same service through the entry instance."""
        await _post(
            client,
            f"{self._cluster.entries[ENTRY].url}/v1/pipelines/lookup/requests",
            {"input": {"text": "where"}},
        )

    async def stream_direct(self, client: httpx.AsyncClient) -> None:
        """Reads a stream of the engine stand-in directly."""
        body = {
            "request_id": self._next_id(),
            "attempt": 1,
            "prompt": f"tokens={TOKENS_PER_STREAM}",
            "max_tokens": TOKENS_PER_STREAM,
            "stream": True,
        }
        url = f"{self._cluster.urls['engine-1']}/v1/completions"
        await _read_stream(client, url, body, "message", TOKENS_PER_STREAM + 1)

    async def stream_entry(self, client: httpx.AsyncClient) -> None:
        """Reads the same stream through the entry instance."""
        base = self._cluster.entries[ENTRY].url
        body = {"input": f"tokens={TOKENS_PER_STREAM}", "stream": True}
        url = f"{base}/v1/pipelines/generate/requests"
        await _read_stream(client, url, body, "token", TOKENS_PER_STREAM)

    def _next_id(self) -> str:
        self._number += 1
        return f"direct-{self._number}"


async def _post(client: httpx.AsyncClient, url: str, body: Any) -> None:
    headers = {"Applespring-Account": "web"}
    resp = await client.post(url, json=body, headers=headers)
    if resp.status_code != 200:
        raise RuntimeError(f"{url}: {resp.status_code} {resp.text}")


async def _read_stream(
    client: httpx.AsyncClient, url: str, body: Any, name: str, count: int
) -> None:
    headers = {"Applespring-Account": "web"}
    reader, event_count = EventReader(), 0
    async with client.stream(
        "POST", url, content=orjson.dumps(body), headers=headers
    ) as resp:
        if resp.status_code != 200:
            raise RuntimeError(f"{url}: {await resp.aread()!r}")
        async for data in resp.aiter_bytes():
            event_count += sum(event == name for event, _ in reader.feed(data))
    if event_count != count:
        raise RuntimeError(
            f"{url}: {event_count} {name!r} events, expected {count}"
        )


def read_processor_s(pid: int) -> float:
    """Returns the processor seconds of a process, user and system."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


async def _measure(cluster: Cluster, requests: int, streams: int) -> None:
    bench = OverheadBench(cluster)
    for send in (bench.call_direct, bench.call_entry, bench.stream_entry):
        await bench.measure(send, WARM_UP_REQUESTS, CALLERS)
    for callers in (1, CALLERS):
        direct = await bench.measure(bench.call_direct, requests, callers)
        entry = await bench.measure(bench.call_entry, requests, callers)
        print(
            f"{callers} callers, {requests} requests:"
            f" direct p50 {direct.percentile_ms(50):.2f} ms,"
            f" p99 {direct.percentile_ms(99):.2f} ms;"
            f" through the entry p50 {entry.percentile_ms(50):.2f} ms,"
            f" p99 {entry.percentile_ms(99):.2f} ms;"
            f" {entry.processor_s / entry.count * 1e3:.2f} ms of processor"
            f" time each, {entry.count / entry.processor_s:.0f} requests a"
            f" second per core",
            flush=True,
        )
    direct = await bench.measure(bench.stream_direct, streams, STREAM_CALLERS)
    entry = await bench.measure(bench.stream_entry, streams, STREAM_CALLERS)
    tokens = TOKENS_PER_STREAM * entry.count
    print(
        f"{STREAM_CALLERS} callers, {streams} streams of {TOKENS_PER_STREAM}"
        " tokens:"
        f" direct p50 {direct.percentile_ms(50):.0f} ms;"
        f" through the entry p50 {entry.percentile_ms(50):.0f} ms;"
        f" {entry.processor_s / tokens * 1e6:.0f} us of processor time a"
        f" token, {tokens / entry.processor_s:.0f} tokens a second per core",
        flush=True,
    )


def run_overhead(
    *,
    requests: Annotated[int, Range(1, 1_000_000)] = 1000,
    streams: Annotated[int, Range(1, 1_000_000)] = 100,
) -> int:
    """Measures the latency and processor time that an entry instance costs.

    Args:
        requests: Requests of each kind that is not streamed.
        streams: Streams of each kind.
    """
    with tempfile.TemporaryDirectory() as directory:
        cluster = Cluster(
            DOCUMENT,
            pathlib.Path(directory),
            entries_per_domain=1,
            tokens_per_s=TOKENS_PER_S,
            service_s=0.0,
        )
        try:
            cluster.start()
            anyio.run(_measure, cluster, requests, streams)
        except StartError as exc:
            print(exc, file=sys.stderr)
            return EXIT_FAULT
        finally:
            cluster.stop()
    return EXIT_DONE


def main() -> int:
    """Runs the program and returns its exit code."""
    return run_program(
        "overhead", run_overhead, fault_meaning="the cluster did not start"
    )


if __name__ == "__main__":
    sys.exit(main())
