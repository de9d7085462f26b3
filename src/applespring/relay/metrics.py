"""Metrics of a relay instance.

All label values come from bounded sets, so the number of series is bounded.
"""

from applespring.metric_family import (
    CounterFamily,
    GaugeFamily,
    HistogramFamily,
)

REQUEST_BUCKETS_S = (
    0.02,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.3,
    1.7,
    2.5,
    5.0,
    8.0,
    12.0,
    20.0,
)
CALL_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0)


class RelayMetrics:
    """Metric families of a relay instance, rendered in the order of the slots.

    Attributes:
        requests: Final answers, by route and outcome.
        request_s: Time from arrival to the end of an answer, by route.
        first_event_s: Time from arrival to the first event of a stream, by
            route.
        engine_first_event_s: Time from sending a stream to its first event, as
            estimated and as seen, by pool.
        engine_choices: Choices of engines by learned costs, by pool and reason.
        attempts: Attempts at upstreams, by pool and outcome.
        stage_calls: Stage calls, by pool and outcome.
        stage_call_s: Duration of stage calls, by pool.
        permits: Permits for upstreams with a rate limit, by pool and outcome.
        choices: Learned choices of upstreams, by pool and reason.
        work_s: Time of requests of plain pools as it was expected and as it
            was, by pool and kind.
        piece_failures: Pieces without a result, by pool and reason.
        state_changes: Changes of the last known state, by kind.
        gauges: Values read at each scrape, by name.
    """

    __slots__ = (
        "requests",
        "request_s",
        "first_event_s",
        "engine_first_event_s",
        "engine_choices",
        "attempts",
        "stage_calls",
        "stage_call_s",
        "permits",
        "choices",
        "work_s",
        "piece_failures",
        "state_changes",
        "gauges",
    )

    def __init__(self) -> None:
        prefix = "applespring_relay_"
        self.requests = CounterFamily(
            prefix + "requests_total", "Final answers", ("route", "outcome")
        )
        self.request_s = HistogramFamily(
            prefix + "request_seconds",
            "Seconds from arrival to the end of the answer",
            ("route",),
            REQUEST_BUCKETS_S,
        )
        self.first_event_s = HistogramFamily(
            prefix + "first_event_seconds",
            "Seconds from arrival to the first event",
            ("route",),
            REQUEST_BUCKETS_S,
        )
        self.engine_first_event_s = HistogramFamily(
            prefix + "engine_first_event_seconds",
            "Seconds from sending to the first event of an engine",
            ("pool", "figure"),
            REQUEST_BUCKETS_S,
        )
        self.engine_choices = CounterFamily(
            prefix + "engine_choices_total",
            "Choices of engines by learned costs",
            ("pool", "reason"),
        )
        self.attempts = CounterFamily(
            prefix + "attempts_total",
            "Attempts at upstreams",
            ("pool", "outcome"),
        )
        self.stage_calls = CounterFamily(
            prefix + "stage_calls_total", "Stage calls", ("pool", "outcome")
        )
        self.stage_call_s = HistogramFamily(
            prefix + "stage_call_seconds",
            "Seconds of a stage call",
            ("pool",),
            CALL_BUCKETS_S,
        )
        self.permits = CounterFamily(
            prefix + "permits_total",
            "Permits for upstreams with a rate limit",
            ("pool", "outcome"),
        )
        self.choices = CounterFamily(
            prefix + "choices_total",
            "Learned choices of upstreams",
            ("pool", "reason"),
        )
        self.work_s = CounterFamily(
            prefix + "work_seconds_total",
            "Seconds of requests, expected and taken",
            ("pool", "kind"),
        )
        self.piece_failures = CounterFamily(
            prefix + "piece_failures_total",
            "Pieces that were not produced",
            ("pool", "reason"),
        )
        self.state_changes = CounterFamily(
            prefix + "beliefs_total",
            "Changes of what the instance believes",
            ("kind",),
        )
        self.gauges = GaugeFamily(
            prefix + "state", "State of the instance", ("name",)
        )

    def render(self) -> str:
        """Returns all families in Prometheus text format."""
        lines = []
        for name in self.__slots__:
            for series_lines in getattr(self, name).render():
                lines.extend(series_lines)
        return "\n".join(lines) + "\n"
