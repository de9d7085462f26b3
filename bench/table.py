"""Prints the tables of the policy benchmark."""

from collections.abc import Iterable, Mapping

from bench.site import Site
from bench.targets import (
    Finding,
    Run,
    attainment,
    count_violations,
    group_runs,
    ratio,
    wasted_share,
)

_HEADER = (
    f"{'site':7} {'scenario':15} {'policy':14} {'attain':>7} {'bound':>7}"
    f" {'of bnd':>7} {'small':>7} {'wasted':>7} {'added':>7}"
    f" {'lm cost':>8} {'cost':>7} {'viol':>5}"
)


def print_runs(
    sites: Mapping[str, Site], runs: list[Run], policies: Iterable[str]
) -> None:
    """Prints a line for each site, scenario and policy, over all seeds."""
    print(_HEADER)
    grouped = {policy: group_runs(runs, policy) for policy in policies}
    keys = dict.fromkeys(key for cases in grouped.values() for key in cases)
    for site, scenario in keys:
        for policy, cases in grouped.items():
            found = cases.get((site, scenario))
            if found:
                start = f"{site:7} {scenario:15} {policy:14}"
                print(start, _describe(sites[site], found))


def _describe(site: Site, runs: list[Run]) -> str:
    small = attainment(runs, "by_account", site.small_accounts)
    answered = max(1, sum(run["in_time"] for run in runs))
    costs = {
        pool: sum(run["cost"][pool] * run["in_time"] for run in runs) / answered
        for pool in site.fleet.pools
    }
    return (
        f"{ratio(runs, 'in_time', 'offered'):7.2%}"
        f" {ratio(runs, 'bound', 'offered'):7.2%}"
        f" {ratio(runs, 'in_time', 'bound'):7.2%} {small:7.2%}"
        f" {wasted_share(runs):7.2%} {ratio(runs, 'added', 'calls'):7.2%}"
        f" {costs['language-model']:8.3f} {sum(costs.values()):7.3f}"
        f" {count_violations(runs):5d}"
    )


def print_findings(findings: Iterable[Finding]) -> None:
    """Prints each target with its worst value and its limit."""
    print()
    for finding in findings:
        state = "met" if finding.met else "MISSED"
        print(
            f"{state:6} {finding.site:7} {finding.target}:"
            f" {finding.value:.4f} (limit {finding.limit}),"
            f" worst in {finding.scenario}"
        )
