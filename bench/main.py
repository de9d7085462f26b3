"""Compares the default policy with the baselines, in virtual time."""

import multiprocessing
import os
import pathlib
import sys
from typing import Annotated, Any

import orjson
from loguru import logger

from applespring.cli import EXIT_DONE, EXIT_FAULT, Range, run_program
from applespring.core.errors import SettingsError
from bench.baselines import POLICIES
from bench.run import Case, run_case
from bench.scenario import SCENARIOS, Scenario
from bench.site import load_sites
from bench.table import print_findings, print_runs
from bench.targets import check_targets, count_violations, group_runs

OURS = "ours"
JSON_VARIABLE = "BENCH_JSON"


def bench(
    *,
    site: list[str] = (),
    case: list[str] = (),
    policy: list[str] = (),
    seed: list[Annotated[int, Range(0, 1_000_000)]] = (1, 2, 3),
    duration: Annotated[float, Range(4, 600)] = 24.0,
    processes: Annotated[int, Range(1, 6)] = 6,
) -> int:
    """Measures the policy against the baselines in virtual time.

    With BENCH_JSON=path all figures are also written there.

    Args:
        site: Sites to run; all when none is given.
        case: Scenarios to run, named by conditions joined with +; all when none
            is given.
        policy: Policies to run; all when none is given.
        seed: Seeds; each case runs once with each.
        duration: Seconds of measured arrivals, in virtual time.
        processes: Runs at the same time.
    """
    sites = load_sites()
    site = _choose("site", site, sites)
    policy = _choose("policy", policy, POLICIES)
    cases = [
        Case(*names, number, duration)
        for number in seed
        for names in _product(site, _choose_cases(case), policy)
    ]
    runs = run_all(cases, processes)
    print_runs(sites, runs, policy)
    ours = group_runs(runs, OURS)
    chosen = {name: sites[name] for name in site}
    findings = check_targets(chosen, ours)
    print_findings(findings)
    _write_json(runs, [finding.to_json() for finding in findings])
    violations = count_violations(r for r in runs if r["policy"] == OURS)
    return EXIT_FAULT if violations else EXIT_DONE


def run_all(cases: list[Case], processes: int) -> list[dict[str, Any]]:
    """Runs the cases in worker processes; returns their figures in order."""
    context = multiprocessing.get_context("spawn")
    runs = []
    with context.Pool(processes, _disable_logs) as pool:
        for run in pool.imap(run_case, cases):
            runs.append(run)
            print(f"{len(runs)} of {len(cases)}", end="\r", file=sys.stderr)
    return runs


def _disable_logs() -> None:
    logger.remove()


def _choose(flag: str, names: Any, known: Any) -> list[str]:
    for name in names:
        if name not in known:
            raise SettingsError(f"--{flag}={name}: one of {', '.join(known)}")
    return list(names) or list(known)


def _choose_cases(names: Any) -> list[str]:
    try:
        return [Scenario(name).name for name in names] or list(SCENARIOS)
    except ValueError as exc:
        raise SettingsError(f"--case: {exc}") from exc


def _product(
    sites: list[str], cases: list[str], policies: list[str]
) -> list[tuple[str, str, str]]:
    return [(s, c, p) for s in sites for c in cases for p in policies]


def _write_json(runs: list[dict[str, Any]], findings: list[Any]) -> None:
    path = os.environ.get(JSON_VARIABLE)
    if path:
        data = {"runs": runs, "targets": findings}
        pathlib.Path(path).write_bytes(
            orjson.dumps(data, option=orjson.OPT_INDENT_2)
        )


if __name__ == "__main__":
    sys.exit(
        run_program("bench", bench, fault_meaning="an invariant was violated")
    )
