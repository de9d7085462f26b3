"""Sends load through a cluster while some of its processes are killed."""

import contextlib
import time
from typing import Any

import anyio
import httpx

from applespring.core.fleet import Fleet, StageKind
from applespring.load.arrival import plan_arrivals
from applespring.load.caller import Caller
from applespring.load.expect import ChainStage
from applespring.load.main import compare_records
from applespring.load.record import RecordError, fetch_records
from applespring.load.run import Runner
from applespring.load.summary import Summary
from applespring.load.workload import Choice, Workload
from demo.cluster import Cluster
from demo.scrape import Scraper

REQUEST_DEADLINE_S = 10.0
CALLER_GRACE_S = 2.0
IN_FLIGHT_MAX = 2000
LEAVING_ALLOWANCE_S = 5.0
CLIENTS = 8
BALANCER_POLL_S = 0.25
PROBE_LIMIT_S = 1.0
TOKENS_RANGE = (16, 48)

LOAD_DURATION_S = 16.0
ASSISTANT_PER_S = 20.0
EFFECT_PER_S = 8.0
RESUBMIT_SHARE = 0.3
ENTRY_KILL_AT_S = 5.0
ENGINE_KILL_AT_S = 9.0


class Drive:
    """One run of the load, with the processes killed during it.

    Attributes:
        summary: Results counted by the load generator.
        killed_entry: Name of the entry instance that was killed.
        killed_engine: Name of the engine that was killed.
        resubmitted: Number of requests sent again after a broken connection.
    """

    def __init__(self, cluster: Cluster, scraper: Scraper, seed: int) -> None:
        self.summary = Summary(REQUEST_DEADLINE_S)
        self.killed_entry = ""
        self.killed_engine = ""
        self.resubmitted = 0
        self._cluster = cluster
        self._scraper = scraper
        self._chains = make_chains(cluster.fleet)
        targets = [entry.url for entry in cluster.entries.values()]
        accounts = Choice(
            list(cluster.fleet.accounts),
            [account.weight for account in cluster.fleet.accounts.values()],
        )
        assistant = Workload(
            targets,
            Choice(["assistant"], [1.0]),
            accounts,
            self._chains,
            rate_per_s=ASSISTANT_PER_S,
            duration_s=LOAD_DURATION_S,
            seed=seed,
            deadline_s=REQUEST_DEADLINE_S,
            tokens=TOKENS_RANGE,
            stream_share=0.5,
        )
        effect = Workload(
            targets,
            Choice(["booking", "payment"], [1.0, 1.0]),
            accounts,
            self._chains,
            rate_per_s=EFFECT_PER_S,
            duration_s=LOAD_DURATION_S,
            seed=seed + 1,
            deadline_s=REQUEST_DEADLINE_S,
            key_share=1.0,
            resubmit_share=RESUBMIT_SHARE,
            issued_keys=True,
        )
        self._workloads = [assistant, effect]
        self._killed_engine_record: dict[str, Any] = {}

    async def run(self) -> None:
        """Runs the load, then compares answers and execution records."""
        async with contextlib.AsyncExitStack() as stack:
            clients = [
                await stack.enter_async_context(
                    httpx.AsyncClient(timeout=None, trust_env=False)
                )
                for _ in range(CLIENTS)
            ]
            caller = Caller(clients, REQUEST_DEADLINE_S, CALLER_GRACE_S)
            async with anyio.create_task_group() as background:
                background.start_soon(self._update_targets, clients[0])
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._kill_entry)
                    tasks.start_soon(self._kill_engine, clients[0])
                    for workload in self._workloads:
                        tasks.start_soon(self._run_workload, workload, caller)
                background.cancel_scope.cancel()
            await self._compare(clients[0])

    async def _run_workload(self, workload: Workload, caller: Caller) -> None:
        runner = Runner(
            workload, caller, self.summary, IN_FLIGHT_MAX, resubmit_broken=True
        )
        arrivals = plan_arrivals(workload, time.time_ns() // 1_000_000)
        await runner.run(arrivals, _ignore_progress)
        self.resubmitted += runner.resubmitted

    async def _update_targets(self, client: httpx.AsyncClient) -> None:
        """Sends only to ready instances, as a load balancer does."""
        while True:
            await anyio.sleep(BALANCER_POLL_S)
            ready = [
                entry.url
                for entry in self._cluster.entries.values()
                if await _probe(client, entry.url)
            ]
            for workload in self._workloads:
                # If none is ready, the previous targets are kept.
                workload.targets[:] = ready or workload.targets

    async def _kill_entry(self) -> None:
        await anyio.sleep(ENTRY_KILL_AT_S)
        self.killed_entry = list(self._cluster.entries)[-1]
        await self._scraper.scrape(self.killed_entry, "after")
        self._cluster.kill(self.killed_entry)
        _print_line(f"killed entry instance {self.killed_entry} (SIGKILL)")

    async def _kill_engine(self, client: httpx.AsyncClient) -> None:
        await anyio.sleep(ENGINE_KILL_AT_S)
        pool = next(
            pool
            for pool in self._cluster.fleet.pools.values()
            if pool.kind is StageKind.GENERATE
        )
        self.killed_engine = pool.upstreams[0].name
        url = self._cluster.urls[self.killed_engine]
        (self._killed_engine_record,) = await fetch_records(client, [url])
        self._cluster.kill(self.killed_engine)
        # It is unknown whether unfinished executions ended before the kill. A
        # generation may run twice, so counting them as completed can only
        # prevent a request from being reported as lost.
        for execution in self._killed_engine_record["executions"]:
            if execution["finished"] is None:
                execution["completed"] = True
        _print_line(f"killed engine {self.killed_engine} (SIGKILL)")

    async def _compare(self, client: httpx.AsyncClient) -> None:
        urls = [
            self._cluster.urls[name]
            for name in self._cluster.upstreams()
            if name != self.killed_engine
        ]
        try:
            records = await fetch_records(client, urls)
            compare_records(
                self._workloads[0],
                self.summary,
                [*records, self._killed_engine_record],
                LEAVING_ALLOWANCE_S,
            )
        except RecordError as exc:
            self.summary.add_violations("no_record", [str(exc)])


def make_chains(fleet: Fleet) -> dict[str, list[ChainStage]]:
    """Returns the stages of each pipeline, for the load generator."""
    return {
        pipeline.name: [
            ChainStage(pool.kind, stage.name, pool.max_tokens)
            for stage in pipeline.stages
            for pool in (fleet.pools[stage.pool],)
        ]
        for pipeline in fleet.pipelines.values()
    }


async def _probe(client: httpx.AsyncClient, url: str) -> bool:
    try:
        resp = await client.get(f"{url}/readyz", timeout=PROBE_LIMIT_S)
    except httpx.TransportError:
        return False
    return resp.status_code == 200


def _ignore_progress(line: str) -> None:
    del line


def _print_line(line: str) -> None:
    print(line, flush=True)
