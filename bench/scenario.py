"""The scenarios: the load that is offered and the faults that occur."""

import random

from bench.site import Site
from standins.fleet import VirtualFleet

WARM_UP_S = 4.0
STEADY_LOAD_FACTOR = 0.7
DOUBLE_LOAD_FACTOR = 2.0
BURST_FACTOR = 3.0
ACCOUNT_FACTOR = 10.0
SLOW_FACTOR = 10.0
LATE_LOAD_LAG_S = 2.0
LOAD_LAG_S = 0.2
BURST_START_S = 3.0
BURST_FRACTION = 0.5
ENGINE_POOL = "language-model"
FAILING_POOL = "retriever"


class Arrival:
    """One request to submit.

    Attributes:
        number: Position in the order of arrival.
        at_s: Seconds after the start.
        pipeline: Name of the pipeline.
        account: Name of the client account.
        entry_position: Fraction in [0, 1) of the list of entry instances at
            which the receiving one stands.
        tokens: Tokens that the input asks of a generation.
    """

    __slots__ = (
        "number",
        "at_s",
        "pipeline",
        "account",
        "entry_position",
        "tokens",
    )

    def __init__(
        self,
        at_s: float,
        pipeline: str,
        account: str,
        entry_position: float,
        tokens: int,
    ) -> None:
        self.number = 0
        self.at_s = at_s
        self.pipeline = pipeline
        self.account = account
        self.entry_position = entry_position
        self.tokens = tokens

    @property
    def payload(self) -> str:
        """Input of the request; its number makes it unique."""
        return f"question {self.number} tokens={self.tokens}"


class Scenario:
    """A scenario: conditions that hold at the same time.

    Attributes:
        name: Names of the conditions, joined with `+`.
        conditions: Those names.
    """

    __slots__ = ("name", "conditions")

    def __init__(self, name: str) -> None:
        """Splits the name into conditions.

        Raises:
            ValueError: The name has an unknown condition.
        """
        self.name = name
        self.conditions = frozenset(name.split("+"))
        unknown = self.conditions - CONDITIONS
        if unknown:
            raise ValueError(
                f"unknown condition {', '.join(sorted(unknown))}; allowed:"
                f" {', '.join(sorted(CONDITIONS))}"
            )

    @property
    def load_lag_s(self) -> float:
        """Age of load reports in seconds."""
        return LATE_LOAD_LAG_S if "late" in self.conditions else LOAD_LAG_S

    def rate(
        self, site: Site, pipeline: str, at_s: float, duration_s: float
    ) -> float:
        """Returns the offered requests a second, `at_s` after the start."""
        full = site.rates[pipeline]
        measured_s = at_s - WARM_UP_S
        if "double" in self.conditions and measured_s >= 0.0:
            return DOUBLE_LOAD_FACTOR * full * capacity_gain(site, pipeline)
        rate = STEADY_LOAD_FACTOR * full
        burst_s = measured_s - BURST_START_S
        if (
            "burst" in self.conditions
            and pipeline in site.burst_pipelines
            and 0.0 <= burst_s < BURST_FRACTION * duration_s
        ):
            rate *= BURST_FACTOR
        return rate

    def account_factor(self, site: Site, account: str, at_s: float) -> float:
        """Returns the factor by which an account's load exceeds its share."""
        exceeds = "account" in self.conditions and account == site.large_account
        return ACCOUNT_FACTOR if exceeds and at_s >= WARM_UP_S else 1.0

    def capacity_factors(self, site: Site) -> dict[str, float]:
        """Returns the remaining share of capacity of each faulty upstream."""
        engines = [u.name for u in site.fleet.pools[ENGINE_POOL].upstreams]
        found = {}
        if "slow" in self.conditions:
            found[engines[0]] = 1.0 / SLOW_FACTOR
        if "dead" in self.conditions:
            found[engines[-1]] = 0.0
        if "dead-retriever" in self.conditions:
            found[site.fleet.pools[FAILING_POOL].upstreams[0].name] = 0.0
        return found

    def apply_faults(self, site: Site, fleet: VirtualFleet) -> None:
        """Starts the faults; called at the first measured arrival."""
        for name, factor in self.capacity_factors(site).items():
            if factor:
                fleet.upstreams[name].slow_factor = 1.0 / factor
            else:
                fleet.network.kill(fleet.upstream_address(name))
        if "failing" in self.conditions:
            for upstream in site.fleet.pools[FAILING_POOL].upstreams:
                fleet.upstreams[upstream.name].fault_plan.replace(
                    [{"kind": "refuse", "probability": 0.5, "path": "/v1/call"}]
                )
        if "partition" in self.conditions:
            fleet.cut_domain(site.fleet.failure_domains[0])

    def slot_s(self, site: Site, duration_s: float) -> dict[str, float]:
        """Returns the slot seconds that each pool has; see `bench.bound`."""
        capacity_factors = self.capacity_factors(site)
        return {
            pool.name: (duration_s + site.longest_deadline_s(pool.name))
            * sum(
                u.slots * capacity_factors.get(u.name, 1.0)
                for u in pool.upstreams
            )
            for pool in site.fleet.pools.values()
        }


def capacity_gain(site: Site, pipeline: str) -> float:
    """Returns the ratio of capacities at the lowest and highest token limit."""
    limits = site.token_limits[pipeline]
    if not limits:
        return 1.0
    pool = ENGINE_POOL
    longest = site.mean_work_s(pipeline, pool, max(limits))
    return longest / site.mean_work_s(pipeline, pool, min(limits))


def plan_arrivals(
    site: Site, scenario: Scenario, seed: int, duration_s: float
) -> list[Arrival]:
    """Returns the arrivals in order, a Poisson process for each account.

    They are the same for each policy. Candidates come at the highest rate of
    any scenario and are thinned to the rate of this one.
    """
    found = []
    end = WARM_UP_S + duration_s
    accounts = site.fleet.accounts
    total = sum(account.weight for account in accounts.values())
    for pipeline in sorted(site.rates):
        for account in accounts.values():
            rng = random.Random(f"{seed}/{pipeline}/{account.name}")
            fraction = account.weight / total
            most = (
                site.rates[pipeline]
                * fraction
                * 2.0
                * BURST_FACTOR
                * ACCOUNT_FACTOR
            )
            at_s = rng.expovariate(most)
            while at_s < end:
                rate = (
                    scenario.rate(site, pipeline, at_s, duration_s) * fraction
                )
                rate *= scenario.account_factor(site, account.name, at_s)
                if rng.random() * most < rate:
                    tokens = rng.randint(*site.token_range)
                    found.append(
                        Arrival(
                            at_s, pipeline, account.name, rng.random(), tokens
                        )
                    )
                at_s += rng.expovariate(most)
    found.sort(key=lambda arrival: arrival.at_s)
    for number, arrival in enumerate(found):
        arrival.number = number
    return found


CONDITIONS = frozenset(
    (
        "steady",
        "burst",
        "double",
        "slow",
        "dead",
        "late",
        "partition",
        "account",
        "failing",
        "dead-retriever",
    )
)

# What `make bench` runs. Only regression tests use `failing` and
# `dead-retriever`.
SCENARIOS = (
    "steady",
    "burst",
    "double",
    "slow",
    "dead",
    "late",
    "partition",
    "account",
    "burst+slow",
    "partition+dead",
    "account+late",
)
