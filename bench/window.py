"""Measures the time from the check of a key to the last byte of its call.

The owner of a caller-chosen key checks its lease directly before it writes the
call. If the process is paused in between for longer than the lease, the call
may be written after another owner has taken over. Upstreams that check keys or
fences refuse such a call; at the others this window is the remaining risk that
it runs twice.
"""

import math
import sys
import time
from collections.abc import Sequence
from typing import Annotated

import anyio
import httpx
import orjson

from applespring.cli import Range, run_program
from bench.process import start_service

CHECKED = "http11.send_request_headers.started"
WRITTEN = "http11.send_request_body.complete"
MICROSECONDS_PER_SECOND = 1e6


class WindowProbe:
    """Trace function of httpcore that measures the window of each request.

    Attributes:
        windows_s: The windows in seconds.
    """

    __slots__ = ("windows_s", "_checked_at")

    def __init__(self) -> None:
        self.windows_s: list[float] = []
        self._checked_at = math.nan

    async def __call__(self, event: str, info: dict) -> None:
        """Handles one trace event."""
        del info
        if event == CHECKED:
            self._checked_at = time.perf_counter()
        elif event == WRITTEN:
            self.windows_s.append(time.perf_counter() - self._checked_at)


def measure(
    *,
    calls: Annotated[int, Range(10, 100000)] = 2000,
    concurrency: Annotated[int, Range(1, 256)] = 1,
    body_bytes: Annotated[int, Range(1, 1000000)] = 1000,
) -> int:
    """Prints quantiles of the window in microseconds.

    Args:
        calls: Number of calls.
        concurrency: Calls in flight at the same time.
        body_bytes: Size of the input.

    Returns:
        0.
    """
    with start_service() as address:
        windows_s = anyio.run(_run, address, calls, concurrency, body_bytes)
    print(
        f"{len(windows_s)} calls, {concurrency} at once, {body_bytes} bytes:"
        f" {_describe(windows_s)}"
    )
    return 0


async def _run(
    address: str, calls: int, concurrency: int, body_bytes: int
) -> list[float]:
    probes = [WindowProbe() for _ in range(concurrency)]
    limits = httpx.Limits(max_keepalive_connections=0)

    async def call(index: int) -> None:
        for number in range(calls // concurrency):
            body = {
                "request_id": f"{index}-{number}",
                "stage": "pay",
                "attempt": 1,
                "input": "x" * body_bytes,
            }
            resp = await client.post(
                f"http://{address}/v1/call",
                content=orjson.dumps(body),
                extensions={"trace": probes[index]},
            )
            resp.raise_for_status()

    async with (
        httpx.AsyncClient(limits=limits, timeout=30.0) as client,
        anyio.create_task_group() as tasks,
    ):
        for index in range(concurrency):
            tasks.start_soon(call, index)
    return [window for probe in probes for window in probe.windows_s]


def _describe(windows_s: Sequence[float]) -> str:
    ordered = sorted(windows_s)
    parts = []
    for name, share in (("p50", 0.5), ("p99", 0.99), ("max", 1.0)):
        index = min(len(ordered) - 1, int(share * len(ordered)))
        parts.append(f"{name} {ordered[index] * MICROSECONDS_PER_SECOND:.0f}")
    return ", ".join(parts) + " us"


if __name__ == "__main__":
    sys.exit(run_program("window", measure))
