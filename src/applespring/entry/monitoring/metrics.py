"""Metrics of an entry instance.

The number of label values is bounded: pipelines, stages, pools and accounts
come from the accepted document, all other values from lists in the code. The
accounts with the largest weights in the document are labelled by name, the
remaining ones as `other`, so that all instances with the same document use the
same labels.
"""

from collections.abc import Iterable, Sequence

import anyio.lowlevel

from applespring.core.fleet import Fleet
from applespring.core.request import StageCost
from applespring.metric_family import (
    OTHER_LABEL,
    CounterFamily,
    GaugeFamily,
    HistogramFamily,
    MetricFamily,
)

ACCOUNT_LABELS_MAX = 32
UNKNOWN_LABEL = "unknown"

# The bounds include the service level objectives, so that the share of requests
# within them can be read from the buckets: 1.6 s to the first token, 78 ms
# between tokens, deadlines of 10 s.
REQUEST_BUCKETS_S = (
    0.005,
    0.02,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    1.6,
    2.5,
    5.0,
    7.5,
    10.0,
    20.0,
    60.0,
)
FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.4, 5.0, 10.0)
TOKEN_GAP_BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.06, 0.078, 0.1, 0.2, 0.5, 2)


class Metrics:
    """The metrics that an instance counts itself.

    Attributes:
        families: All metric families by name.
        requests: Final answers to callers.
        refusals: Refusals by reason.
        keyed_requests: Final answers to requests with a key, by verdict.
        request_s: Time from arrival to the final answer.
        first_token_s: Time from arrival to the first token sent.
        token_gap_s: Time between two writes of tokens.
        cost: Cost units by stage.
        wasted_cost: Cost units of requests without a complete answer in time.
        stage_calls: Stage calls started.
        attempts: Attempts of stage calls that ended.
        added_attempts: Retries and reroutes of stage calls.
        orders: Orders to engines.
        events: Other events.
    """

    __slots__ = (
        "families",
        "requests",
        "refusals",
        "keyed_requests",
        "request_s",
        "first_token_s",
        "token_gap_s",
        "cost",
        "wasted_cost",
        "stage_calls",
        "attempts",
        "added_attempts",
        "orders",
        "events",
        "_accounts",
        "_pipelines",
    )

    def __init__(self) -> None:
        self.families: dict[str, MetricFamily] = {}
        self._accounts: dict[str, str] = {}
        self._pipelines: frozenset[str] = frozenset()
        self._declare_requests()
        self._declare_work()

    def _declare_requests(self) -> None:
        self.requests = self.counter(
            "applespring_requests_total",
            "Requests that ended, by outcome",
            "pipeline",
            "account",
            "outcome",
        )
        self.refusals = self.counter(
            "applespring_refusals_total",
            "Refusals sent to callers",
            "pipeline",
            "reason",
            "verdict",
        )
        self.keyed_requests = self.counter(
            "applespring_keyed_requests_total",
            "Requests with an idempotency key that ended, by verdict",
            "verdict",
        )
        self.request_s = self._histogram(
            "applespring_request_seconds",
            "Seconds from arrival to the final answer",
            REQUEST_BUCKETS_S,
        )
        self.first_token_s = self._histogram(
            "applespring_first_token_seconds",
            "Seconds from arrival to the first token sent",
            FIRST_TOKEN_BUCKETS_S,
        )
        self.token_gap_s = self._histogram(
            "applespring_token_gap_seconds",
            "Seconds between two events with tokens",
            TOKEN_GAP_BUCKETS_S,
        )

    def _declare_work(self) -> None:
        self.cost = self.counter(
            "applespring_stage_cost_total",
            "Cost units spent, also on attempts that failed",
            "pipeline",
            "stage",
        )
        self.wasted_cost = self.counter(
            "applespring_stage_cost_wasted_total",
            "Cost units spent on requests not answered whole in time",
            "pipeline",
            "stage",
        )
        self.stage_calls = self.counter(
            "applespring_stage_calls_total", "Stage calls begun", "pool"
        )
        self.attempts = self.counter(
            "applespring_stage_attempts_total",
            "Attempts of stage calls that ended, by outcome",
            "pool",
            "outcome",
        )
        self.added_attempts = self.counter(
            "applespring_stage_added_attempts_total",
            "Attempts beyond the first of their stage call, by cause",
            "pool",
            "cause",
        )
        self.orders = self.counter(
            "applespring_orders_total", "Orders to engines", "outcome"
        )
        self.events = self.counter(
            "applespring_events_total", "Other events", "event"
        )

    def counter(self, name: str, doc: str, *label_names: str) -> CounterFamily:
        """Creates and registers a counter."""
        family = CounterFamily(name, doc, label_names)
        self.families[name] = family
        return family

    def gauge(self, name: str, doc: str, *label_names: str) -> GaugeFamily:
        """Creates and registers a gauge."""
        family = GaugeFamily(name, doc, label_names)
        self.families[name] = family
        return family

    def _histogram(
        self, name: str, doc: str, buckets: Sequence[float]
    ) -> HistogramFamily:
        family = HistogramFamily(name, doc, ("pipeline",), buckets)
        self.families[name] = family
        return family

    def set_fleet(self, fleet: Fleet) -> None:
        """Sets the pipelines and accounts that are labelled by name."""
        self._pipelines = frozenset(fleet.pipelines)
        largest = sorted(
            fleet.accounts.values(), key=lambda a: (-a.weight, a.name)
        )
        self._accounts = {
            account.name: account.name
            if rank < ACCOUNT_LABELS_MAX
            else OTHER_LABEL
            for rank, account in enumerate(largest)
        }

    def account_label(self, account: str) -> str:
        """Returns the label of a client account, `unknown` by default."""
        return self._accounts.get(account, UNKNOWN_LABEL)

    def pipeline_label(self, pipeline: str) -> str:
        """Returns the label of a pipeline, `unknown` by default."""
        return pipeline if pipeline in self._pipelines else UNKNOWN_LABEL

    def count_costs(
        self, pipeline: str, costs: Iterable[StageCost], *, wasted: bool
    ) -> None:
        """Counts the costs of a run of a pipeline."""
        pipeline = self.pipeline_label(pipeline)
        for spent in costs:
            self.cost.inc(pipeline, spent.stage, by=spent.cost)
            if wasted:
                self.wasted_cost.inc(pipeline, spent.stage, by=spent.cost)

    async def render(self) -> bytes:
        """Returns the exposition in the Prometheus text format.

        Yields to the event loop between parts, since an exposition of many
        series would block it.
        """
        lines: list[str] = []
        for family in self.families.values():
            for part in family.render():
                lines += part
                await anyio.lowlevel.checkpoint()
        return ("\n".join(lines) + "\n").encode()
