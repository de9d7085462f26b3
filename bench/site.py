"""The two sites, scaled down to shorten the runs.

One entry instance in each of three failure domains replaces eight instances.
Slots are divided by 4, so that an instance's share of a pool stays between 2
and 12 slots. A generation has an eighth of the tokens at an eighth of the rate,
so that it takes as long as in the document.
"""

import pathlib
import re
from collections.abc import Mapping

from applespring.config.document import load_document
from applespring.core.fleet import Fleet, Pipeline, StageKind

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
SLOTS_DIVISOR = 4
TOKENS_DIVISOR = 8
TOKENS_PER_S = 8.0
FIRST_TOKEN_S = 0.1
ENTRIES_PER_DOMAIN = 1


class Site:
    """A site and the load that is offered to it.

    Attributes:
        name: Name of its document in `EXAMPLES`, without the ending.
        rates: Pipeline to requests a second; together they fully use the
            busiest pools.
        burst_pipelines: Pipelines whose load rises in a burst.
        token_range: Least and most tokens that a generation asks for.
        large_account: The account that exceeds its share.
        small_accounts: Accounts that must not suffer from it.
        document: The scaled document.
        fleet: The scaled document, parsed.
        token_limits: Pipeline to the token limits that the rules may set.
    """

    __slots__ = (
        "name",
        "rates",
        "burst_pipelines",
        "token_range",
        "large_account",
        "small_accounts",
        "document",
        "fleet",
        "token_limits",
    )

    def __init__(
        self,
        name: str,
        rates: Mapping[str, float],
        burst_pipelines: tuple[str, ...],
        token_range: tuple[int, int],
        large_account: str,
        small_accounts: tuple[str, ...],
    ) -> None:
        self.name = name
        self.rates = dict(rates)
        self.burst_pipelines = burst_pipelines
        self.token_range = token_range
        self.large_account = large_account
        self.small_accounts = small_accounts
        text = (EXAMPLES / f"{name}.toml").read_text(encoding="utf-8")
        self.document = scale_document(text)
        result = load_document(self.document, 1)
        if result.fleet is None:
            raise ValueError("\n".join(str(error) for error in result.errors))
        self.fleet: Fleet = result.fleet
        self.token_limits = {
            pipeline.name: find_token_limits(self.fleet, pipeline)
            for pipeline in self.fleet.pipelines.values()
        }

    def mean_work_s(self, pipeline: str, pool: str, limit: int) -> float:
        """Returns the mean slot seconds of a request in a pool.

        Args:
            pipeline: Name of the pipeline.
            pool: Name of the pool.
            limit: Token limit of a generation.
        """
        spec = self.fleet.pools[pool]
        stages = self.fleet.pipelines[pipeline].stages
        calls = sum(stage.pool == pool for stage in stages)
        if spec.kind is not StageKind.GENERATE:
            return calls * spec.expected_s
        low, high = self.token_range
        counts = [min(count, limit) for count in range(low, high + 1)]
        mean = sum(counts) / len(counts)
        return calls * (FIRST_TOKEN_S + (mean - 1) / TOKENS_PER_S)

    def longest_deadline_s(self, pool: str) -> float:
        """Returns the longest deadline of the pipelines that use a pool."""
        return max(
            pipeline.deadline_s
            for pipeline in self.fleet.pipelines.values()
            if any(stage.pool == pool for stage in pipeline.stages)
        )

    def lowest_token_limit(self, pipeline: str) -> int:
        """Returns the lowest token limit of a pipeline, or 1 if it has none."""
        return min(self.token_limits[pipeline], default=1)


def scale_document(text: str) -> str:
    """Divides slots and token limits and multiplies the cost of a token."""

    def divide(name: str, divisor: int, source: str) -> str:
        return re.sub(
            rf"\b{name} = (\d+)",
            lambda found: f"{name} = {int(found[1]) // divisor}",
            source,
        )

    text = divide("slots", SLOTS_DIVISOR, text)
    text = divide("max_tokens", TOKENS_DIVISOR, text)
    return text.replace("cost = 0.02", f"cost = {0.02 * TOKENS_DIVISOR}")


def find_token_limits(fleet: Fleet, pipeline: Pipeline) -> list[int]:
    """Returns the token limits of the pools and rules for a pipeline."""
    pools = [fleet.pools[stage.pool] for stage in pipeline.stages]
    found = [p.max_tokens for p in pools if p.kind is StageKind.GENERATE]
    if found:
        for rule in fleet.rules:
            named = rule.when.get("pipeline", pipeline.name)
            names = named if isinstance(named, list | tuple) else [named]
            if pipeline.name in names and "max_tokens" in rule.then:
                found.append(rule.then["max_tokens"])
    return found


def load_sites() -> dict[str, Site]:
    """Returns the sites by name."""
    return {
        "obalne": Site(
            "obalne",
            # Fully uses language model and payments, the other pools to 0.6.
            {
                "assistant": 9.0,
                "notice": 3.0,
                "payment": 15.0,
                "booking": 9.0,
                "permit": 12.0,
            },
            ("assistant", "notice"),
            (18, 30),
            "tourist-board",
            ("kiosks-koper", "kiosks-piran", "back-office"),
        ),
        "ramdin": Site(
            "ramdin",
            # Fully uses language model and logbook, the other pools to 0.5.
            {
                "catch-summary": 6.0,
                "haul-declaration": 24.0,
                "buyer-ledger": 15.0,
                "crew-roster": 20.0,
                "ice-booking": 15.0,
            },
            ("catch-summary",),
            (24, 40),
            "auction-hall",
            ("cooperative", "inspectors", "office"),
        ),
    }
