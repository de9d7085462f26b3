"""Counts violations of P1 to P4 in replies and execution records."""

from collections import Counter, defaultdict
from typing import Any

from applespring.load.expect import ChainStage, expected_output
from bench.fleet import BenchFleet, caller_request_id
from bench.scenario import Arrival
from bench.site import Site
from standins.fleet import CallerReply

VIOLATION_KINDS = ("lost", "doubled", "swapped", "false_not_run", "broken")


def expected_outputs(site: Site, arrival: Arrival) -> list[Any]:
    """Returns the complete outputs that are correct for a request.

    There is one for each token limit that the rules may set.
    """
    stages = site.fleet.pipelines[arrival.pipeline].stages
    outputs = []
    for limit in site.token_limits[arrival.pipeline] or [1]:
        chain = [
            ChainStage(site.fleet.pools[stage.pool].kind, stage.name, limit)
            for stage in stages
        ]
        outputs.append(expected_output(chain, arrival.payload))
    return outputs


def request_id(arrival: Arrival) -> str:
    """Returns the caller's request id of an arrival."""
    return f"bench-{arrival.number}"


def find_violations(
    site: Site, fleet: BenchFleet, replies: list[tuple[Arrival, CallerReply]]
) -> dict[str, int]:
    """Returns the number of violations of each kind.

    - lost: an answered request for which some stage of its pipeline did not
      complete;
    - doubled: a non-idempotent stage executed more than once for a request;
    - swapped: an answer whose output is not the one of its input;
    - false_not_run: a refusal with verdict not_run although a stage with an
      effect started;
    - broken: no reply; always a fault, as no scenario stops an entry instance.
    """
    violations = Counter(dict.fromkeys(VIOLATION_KINDS, 0))
    started, completed = _read_records(fleet)
    for (pool, _, _), count in started.items():
        violations["doubled"] += (
            count > 1 and not fleet.fleet.pools[pool].idempotent
        )
    effects = defaultdict(int)
    for (pool, request, _), count in started.items():
        effects[request] += count * fleet.fleet.pools[pool].effect
    for arrival, reply in replies:
        name = request_id(arrival)
        if reply.status == 0:
            violations["broken"] += 1
        elif reply.answered:
            outputs = expected_outputs(site, arrival)
            violations["swapped"] += reply.document["output"] not in outputs
            stages = site.fleet.pipelines[arrival.pipeline].stages
            violations["lost"] += any(
                not completed[s.pool, name, s.name] for s in stages
            )
        elif reply.document["verdict"] == "not_run":
            violations["false_not_run"] += effects[name] > 0
    return dict(violations)


def _read_records(fleet: BenchFleet) -> tuple[Counter, Counter]:
    """Returns the started and the completed executions.

    Both are counted by pool, caller's request id and stage.
    """
    started: Counter[tuple[str, str, str]] = Counter()
    completed: Counter[tuple[str, str, str]] = Counter()
    for pool in fleet.fleet.pools.values():
        for upstream in pool.upstreams:
            record = fleet.upstreams[upstream.name].record
            if record.dropped:
                raise RuntimeError(
                    f"{upstream.name} dropped {record.dropped} records"
                )
            for run in record.executions:
                key = (pool.name, caller_request_id(run.request_id), run.stage)
                started[key] += 1
                completed[key] += run.completed
    return started, completed
