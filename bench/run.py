"""Runs one case of the benchmark and measures it."""

import time
from collections import Counter, defaultdict
from typing import Any

import anyio
import trio
from trio.testing import MockClock

from applespring.core.fleet import StageKind
from bench.audit import find_violations, request_id
from bench.baselines import POLICIES
from bench.bound import bound_requests
from bench.fleet import BenchFleet, caller_request_id
from bench.scenario import (
    WARM_UP_S,
    Arrival,
    Scenario,
    plan_arrivals,
)
from bench.site import ENTRIES_PER_DOMAIN, Site, load_sites
from standins.fleet import CallerReply

# Time for cancelled calls to end before the execution records are read.
SETTLE_S = 1.0
# An answer written exactly at the deadline still has to reach its caller.
REPLY_TRAVEL_S = 0.005


class Case:
    """What one run measures.

    BENCH_JSON has the attributes under their names.

    Attributes:
        site: Name of the site.
        scenario: Name of the scenario.
        policy: Name of the policy.
        seed: Seed of arrivals and of the task order.
        duration_s: Seconds of measured arrivals, in virtual time.
    """

    __slots__ = ("site", "scenario", "policy", "seed", "duration_s")

    def __init__(
        self,
        site: str,
        scenario: str,
        policy: str,
        seed: int,
        duration_s: float,
    ) -> None:
        self.site = site
        self.scenario = scenario
        self.policy = policy
        self.seed = seed
        self.duration_s = duration_s


def run_case(case: Case) -> dict[str, Any]:
    """Runs a case in virtual time and returns its figures."""
    site = load_sites()[case.site]
    scenario = Scenario(case.scenario)
    policy = POLICIES[case.policy]
    arrivals = plan_arrivals(site, scenario, case.seed, case.duration_s)
    started = time.perf_counter()
    figures: dict[str, Any] = {}

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            fleet = BenchFleet(
                tasks,
                site.document,
                entries_per_domain=ENTRIES_PER_DOMAIN,
                seed=case.seed,
                policy=policy.selection,
                load_lag_s=scenario.load_lag_s,
                create_instance=policy.create_instance,
            )
            await fleet.start()
            first_half_calls: Counter[str] = Counter()
            replies = await _submit_all(
                site,
                scenario,
                fleet,
                arrivals,
                case.duration_s,
                first_half_calls,
            )
            figures.update(
                _measure(site, scenario, fleet, replies, case.duration_s)
            )
            late_calls = _count_calls(fleet)
            late_calls.subtract(first_half_calls)
            figures["late_calls"] = dict(late_calls)
            tasks.cancel_scope.cancel()

    _make_deterministic(case.seed)
    anyio.run(
        run,
        backend="trio",
        backend_options={"clock": MockClock(autojump_threshold=0)},
    )
    names = {name: getattr(case, name) for name in Case.__slots__}
    return names | figures | {"real_s": time.perf_counter() - started}


def _make_deterministic(seed: int) -> None:
    """Fixes the order in which trio runs tasks that are ready together.

    Trio shuffles them on purpose and has no public option against it; without
    this, two runs of one seed differ.
    """
    internals = trio._core._run  # noqa: SLF001
    internals._ALLOW_DETERMINISTIC_SCHEDULING = True  # noqa: SLF001
    internals._r.seed(seed)  # noqa: SLF001


async def _submit_all(
    site: Site,
    scenario: Scenario,
    fleet: BenchFleet,
    arrivals: list[Arrival],
    duration_s: float,
    first_half_calls: Counter[str],
) -> list[tuple[Arrival, CallerReply]]:
    """Submits all requests; returns each with its reply.

    Args:
        site: The site.
        scenario: The scenario.
        fleet: The started fleet.
        arrivals: The requests, in order.
        duration_s: Seconds of measured arrivals.
        first_half_calls: Receives the calls up to half of `duration_s`; see
            `_count_calls`.
    """
    names = list(fleet.entries)
    replies: list[tuple[Arrival, CallerReply]] = []
    keys = {
        name: await fleet.issue_keys(name, len(arrivals) // 2 + 100)
        for name in names
    }
    start = anyio.current_time()

    async def submit(arrival: Arrival) -> None:
        via = names[int(arrival.entry_position * len(names))]
        spec = site.fleet.pipelines[arrival.pipeline]
        reply = await fleet.submit(
            via,
            arrival.pipeline,
            arrival.account,
            arrival.payload,
            key=keys[via].pop() if spec.key_required else "",
            request_id=request_id(arrival),
        )
        replies.append((arrival, reply))

    async def record_first_half() -> None:
        await anyio.sleep_until(start + WARM_UP_S + duration_s / 2)
        first_half_calls.update(_count_calls(fleet))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(record_first_half)
        applied = False
        for arrival in arrivals:
            if not applied and arrival.at_s >= WARM_UP_S:
                await anyio.sleep_until(start + WARM_UP_S)
                scenario.apply_faults(site, fleet)
                applied = True
            await anyio.sleep_until(start + arrival.at_s)
            tasks.start_soon(submit, arrival)
    await anyio.sleep(SETTLE_S)
    return replies


def _measure(
    site: Site,
    scenario: Scenario,
    fleet: BenchFleet,
    replies: list[tuple[Arrival, CallerReply]],
    duration_s: float,
) -> dict[str, Any]:
    measured = [pair for pair in replies if pair[0].at_s >= WARM_UP_S]
    offered: Counter[str] = Counter()
    by_pipeline: dict[str, list[int]] = defaultdict(lambda: [0, 0])
    by_account: dict[str, list[int]] = defaultdict(lambda: [0, 0])
    outcomes: Counter[str] = Counter()
    small_outcomes: Counter[str] = Counter()
    in_time: set[str] = set()
    for arrival, reply in measured:
        deadline_s = site.fleet.pipelines[arrival.pipeline].deadline_s
        answered_in_time = (
            reply.answered and reply.elapsed_s <= deadline_s + REPLY_TRAVEL_S
        )
        offered[arrival.pipeline] += 1
        for counts in (
            by_pipeline[arrival.pipeline],
            by_account[arrival.account],
        ):
            counts[0] += answered_in_time
            counts[1] += 1
        if answered_in_time:
            in_time.add(request_id(arrival))
        outcome = _describe_outcome(arrival, reply, answered_in_time)
        outcomes[outcome] += 1
        small_outcomes[outcome] += arrival.account in site.small_accounts
    bound = bound_requests(site, offered, scenario.slot_s(site, duration_s))
    instances = [host.instance for host in fleet.entries.values()]
    return {
        "offered": len(measured),
        "in_time": len(in_time),
        "bound": min(bound, len(measured)),
        "by_pipeline": dict(by_pipeline),
        "by_account": dict(by_account),
        "outcomes": dict(outcomes.most_common()),
        "small_outcomes": dict((+small_outcomes).most_common()),
        "cost": _measure_cost(site, fleet, measured, in_time),
        "tokens": _measure_tokens(fleet, measured, in_time),
        "calls": sum(instance.calls for instance in instances),
        "added": sum(instance.added_attempts for instance in instances),
        "violations": find_violations(site, fleet, replies),
    }


def _count_calls(fleet: BenchFleet) -> Counter[str]:
    """Returns the attempts so far by `POOL granted` and `POOL failed`."""
    found: Counter[str] = Counter()
    for host in fleet.entries.values():
        for pool, gate in host.instance.gates.all_gates().items():
            found[f"{pool} granted"] += gate.counters.granted
            found[f"{pool} failed"] += gate.counters.failed
    return found


def _describe_outcome(
    arrival: Arrival, reply: CallerReply, answered_in_time: bool
) -> str:
    if answered_in_time:
        return "in time"
    if reply.answered:
        return f"{arrival.pipeline} late"
    document = reply.document or {}
    return " ".join(
        (
            arrival.pipeline,
            str(document.get("reason")),
            str(document.get("stage")),
        )
    )


def _measure_cost(
    site: Site,
    fleet: BenchFleet,
    measured: list[tuple[Arrival, CallerReply]],
    in_time: set[str],
) -> dict[str, float]:
    """Returns the cost of each pool for each request answered in time.

    A generation costs by its tokens, any other stage by its calls.
    """
    names = {request_id(arrival) for arrival, _ in measured}
    tokens = fleet.count_tokens()
    found = {}
    for pool in site.fleet.pools.values():
        if pool.kind is StageKind.GENERATE:
            units = sum(tokens[name] for name in names)
        else:
            units = sum(
                caller_request_id(run.request_id) in names
                for upstream in pool.upstreams
                for run in fleet.upstreams[upstream.name].record.executions
            )
        found[pool.name] = units * pool.cost / max(1, len(in_time))
    return found


def _measure_tokens(
    fleet: BenchFleet,
    measured: list[tuple[Arrival, CallerReply]],
    in_time: set[str],
) -> dict[str, int]:
    """Returns all tokens, and those of requests not answered in time."""
    tokens = fleet.count_tokens()
    names = [request_id(arrival) for arrival, _ in measured]
    return {
        "all": sum(tokens[name] for name in names),
        "wasted": sum(tokens[n] for n in names if n not in in_time),
    }
