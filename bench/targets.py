"""The targets of the policy benchmark and their check.

The figures of a case are summed over its seeds. A target is met if the worst
case meets it.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from bench.site import Site

Run = dict[str, Any]
Cases = Mapping[tuple[str, str], list[Run]]

AVOIDING_SHARE_MIN = 0.99
BOUND_SHARE_MIN = 0.9
ADDED_SHARE_MAX = 0.1
WASTED_SHARE_MAX = 0.02
SMALL_LOSS_MAX = 0.01


class Finding:
    """A target and its measured value in the worst case.

    Attributes:
        target: The target in words.
        site: Name of the site.
        scenario: Case with the worst value.
        value: The measured value.
        limit: Maximum or minimum of the value.
        met: Whether the value is within the limit.
    """

    __slots__ = ("target", "site", "scenario", "value", "limit", "met")

    def __init__(
        self,
        target: str,
        site: str,
        scenario: str,
        value: float,
        limit: float,
        met: bool,
    ) -> None:
        self.target = target
        self.site = site
        self.scenario = scenario
        self.value = value
        self.limit = limit
        self.met = met

    def to_json(self) -> dict[str, Any]:
        """Returns the attributes under their names."""
        return {name: getattr(self, name) for name in self.__slots__}


def group_runs(
    runs: Iterable[Run], policy: str
) -> dict[tuple[str, str], list[Run]]:
    """Returns the runs of a policy by site and scenario."""
    cases = defaultdict(list)
    for run in runs:
        if run["policy"] == policy:
            cases[run["site"], run["scenario"]].append(run)
    return dict(cases)


def ratio(runs: list[Run], numerator: str, denominator: str) -> float:
    """Returns the ratio of the sums of two figures over the runs."""
    return sum(r[numerator] for r in runs) / max(
        1e-9, sum(r[denominator] for r in runs)
    )


def wasted_share(runs: list[Run]) -> float:
    """Returns the share of tokens of requests not answered in time."""
    tokens = [run["tokens"] for run in runs]
    return ratio(tokens, "wasted", "all")


def attainment(runs: list[Run], table: str, names: Iterable[str]) -> float:
    """Returns the share of requests answered in time of some names.

    Args:
        runs: The runs.
        table: `by_pipeline` or `by_account`.
        names: Names of pipelines or accounts.
    """
    counts = [run[table].get(name, (0, 0)) for run in runs for name in names]
    return sum(c[0] for c in counts) / max(1, sum(c[1] for c in counts))


def count_violations(runs: Iterable[Run]) -> int:
    """Returns the number of violations of P1 to P4 in these runs."""
    return sum(sum(run["violations"].values()) for run in runs)


def check_targets(sites: Mapping[str, Site], cases: Cases) -> list[Finding]:
    """Returns the findings for all targets that these cases cover."""
    found = []
    for site in sites.values():
        for check in (
            _check_avoiding,
            _check_bound,
            _check_added,
            _check_wasted,
            _check_small,
            _check_violations,
        ):
            found += check(site, cases)
    return found


def _select_cases(
    site: Site, cases: Cases, *conditions: str
) -> dict[str, list[Run]]:
    return {
        scenario: runs
        for (name, scenario), runs in cases.items()
        if name == site.name
        and (not conditions or set(conditions) & set(scenario.split("+")))
    }


def _find_worst(
    target: str,
    site: Site,
    cases: Mapping[str, list[Run]],
    limit: float,
    measure: Callable[[list[Run]], float],
    *,
    at_least: bool,
) -> list[Finding]:
    values = {name: measure(runs) for name, runs in cases.items()}
    if not values:
        return []
    pick = min if at_least else max
    scenario = pick(values, key=values.__getitem__)
    value = values[scenario]
    met = value >= limit if at_least else value <= limit
    return [Finding(target, site.name, scenario, value, limit, met)]


def _check_avoiding(site: Site, cases: Cases) -> list[Finding]:
    steady = cases.get((site.name, "steady"))
    if not steady:
        return []
    names = [name for name in site.rates if name not in site.burst_pipelines]
    before = attainment(steady, "by_pipeline", names)
    return _find_worst(
        "pipelines that avoid the burst stage keep 99%",
        site,
        _select_cases(site, cases, "burst"),
        AVOIDING_SHARE_MIN,
        lambda runs: attainment(runs, "by_pipeline", names) / before,
        at_least=True,
    )


def _check_bound(site: Site, cases: Cases) -> list[Finding]:
    return _find_worst(
        "90% of the bound at twice the capacity",
        site,
        _select_cases(site, cases, "double"),
        BOUND_SHARE_MIN,
        lambda runs: ratio(runs, "in_time", "bound"),
        at_least=True,
    )


def _check_added(site: Site, cases: Cases) -> list[Finding]:
    return _find_worst(
        "added attempts at most 10% of calls",
        site,
        _select_cases(site, cases),
        ADDED_SHARE_MAX,
        lambda runs: ratio(runs, "added", "calls"),
        at_least=False,
    )


def _check_wasted(site: Site, cases: Cases) -> list[Finding]:
    return _find_worst(
        "at most 2% of generation cost on late responses",
        site,
        _select_cases(site, cases),
        WASTED_SHARE_MAX,
        wasted_share,
        at_least=False,
    )


def _check_small(site: Site, cases: Cases) -> list[Finding]:
    steady = cases.get((site.name, "steady"))
    if not steady:
        return []
    before = attainment(steady, "by_account", site.small_accounts)
    return _find_worst(
        "small accounts within one point",
        site,
        _select_cases(site, cases, "account"),
        SMALL_LOSS_MAX,
        lambda runs: (
            before - attainment(runs, "by_account", site.small_accounts)
        ),
        at_least=False,
    )


def _check_violations(site: Site, cases: Cases) -> list[Finding]:
    return _find_worst(
        "no violation of P1 to P4",
        site,
        _select_cases(site, cases),
        0.0,
        lambda runs: float(count_violations(runs)),
        at_least=False,
    )
