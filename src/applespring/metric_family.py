"""Metric families that are cheap to update on the request path.

An update changes a dictionary. The collectors of aioprometheus, whose updates
serialize the labels and take about ten times as long, are created only when
the metrics are scraped. They are created and rendered for a bounded number of
series at a time, so that a scrape does not delay the tokens of other requests.
"""

import bisect
import itertools
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.collectors import Collector
from aioprometheus.formats.text import TextFormatter
from aioprometheus.histogram import Histogram as Distribution

SERIES_MAX = 4000
"""Most label sets of a family; any others are counted under `OTHER_LABEL`."""

SERIES_PER_CHUNK = 50
"""Series in each list of lines that `render` yields."""

OTHER_LABEL = "other"
HEADER_LINES = 2
"""Lines `# HELP` and `# TYPE`, which only the first list of a family has."""

_FORMATTER = TextFormatter()


class MetricFamily:
    """The series of one metric.

    Attributes:
        name: Name in the exposition.
        label_names: Names of the labels, in the order in which updates give
            their values.
    """

    __slots__ = ("name", "label_names", "_doc", "_series")

    def __init__(self, name: str, doc: str, label_names: Sequence[str]) -> None:
        self.name = name
        self.label_names = tuple(label_names)
        self._doc = doc
        self._series: dict[tuple[str, ...], Any] = {}

    def render(self) -> Iterator[list[str]]:
        """Yields the lines of at most `SERIES_PER_CHUNK` series at a time."""
        series = list(self._series.items())
        for start in range(0, max(1, len(series)), SERIES_PER_CHUNK):
            collector = self._create_collector()
            for values, value in series[start : start + SERIES_PER_CHUNK]:
                labels = dict(zip(self.label_names, values, strict=True))
                collector.set_value(labels, self._to_collector_value(value))
            lines = _FORMATTER.marshall_lines(collector)
            yield lines[HEADER_LINES:] if start else lines

    def _create_collector(self) -> Collector:
        raise NotImplementedError

    def _to_collector_value(self, value: Any) -> Any:
        """Returns a value in the form in which the collector stores it."""
        return value

    def _limit_labels(self, values: tuple[str, ...]) -> tuple[str, ...]:
        """Returns the label values to count under, which bounds the series."""
        if values in self._series or len(self._series) < SERIES_MAX:
            return values
        return (OTHER_LABEL,) * len(values)


class CounterFamily(MetricFamily):
    """Counters by label values."""

    __slots__ = ()

    def inc(self, *values: str, by: float = 1) -> None:
        """Adds to the total of these label values."""
        values = self._limit_labels(values)
        self._series[values] = self._series.get(values, 0) + by

    def set(self, total: float, *values: str) -> None:
        """Sets the total of these label values to one counted elsewhere.

        A lower total than the current one is ignored, since readers of the
        metrics interpret a counter that falls as a restart.
        """
        values = self._limit_labels(values)
        self._series[values] = max(total, self._series.get(values, 0))

    def total(self, *values: str) -> float:
        """Returns the total of these label values."""
        return self._series.get(values, 0)

    def _create_collector(self) -> Counter:
        return Counter(self.name, self._doc, registry=Registry())


class GaugeFamily(MetricFamily):
    """Values that are collected when the metrics are scraped."""

    __slots__ = ()

    def replace(self, series: Mapping[tuple[str, ...], float]) -> None:
        """Replaces all series, so that none outlives what it describes."""
        self._series = dict(list(series.items())[:SERIES_MAX])

    def _create_collector(self) -> Gauge:
        return Gauge(self.name, self._doc, registry=Registry())


class _BucketCounts:
    """Number of observations in each bucket, and the sum of their values.

    The last bucket has no upper bound.
    """

    __slots__ = ("counts", "sum")

    def __init__(self, buckets: int) -> None:
        self.counts = [0] * buckets
        self.sum = 0.0


class HistogramFamily(MetricFamily):
    """Distributions by label values.

    An observation increments one bucket. The cumulative counts of the
    exposition are computed when it is rendered.
    """

    __slots__ = ("_bucket_bounds", "_upper_bounds")

    def __init__(
        self,
        name: str,
        doc: str,
        label_names: Sequence[str],
        buckets: Sequence[float],
    ) -> None:
        super().__init__(name, doc, label_names)
        self._upper_bounds = tuple(buckets)
        self._bucket_bounds = (*buckets, float("inf"))

    def observe(self, value: float, *values: str) -> None:
        """Adds an observation."""
        observed = self._series.get(values)
        if observed is None:
            values = self._limit_labels(values)
            observed = self._series.get(values)
        if observed is None:
            observed = self._series[values] = _BucketCounts(
                len(self._bucket_bounds)
            )
        observed.counts[bisect.bisect_left(self._upper_bounds, value)] += 1
        observed.sum += value

    def _create_collector(self) -> Histogram:
        return Histogram(
            self.name,
            self._doc,
            registry=Registry(),
            buckets=self._bucket_bounds,
        )

    def _to_collector_value(self, value: _BucketCounts) -> Distribution:
        distribution = Distribution(*self._bucket_bounds)
        totals = list(itertools.accumulate(value.counts))
        for bound, total in zip(self._bucket_bounds, totals, strict=True):
            distribution.buckets[float(bound)] = total
        distribution.sum = value.sum
        distribution.observations = totals[-1]
        return distribution
