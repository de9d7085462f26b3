"""Families of metrics that are cheap to update on the request path.

An update changes a dictionary. The collectors of aioprometheus, whose updates
serialize the labels and take about ten times as long, are made when the
metrics are scraped. They are made and rendered for some series at a time, so
that a scrape does not hold up the tokens of other requests.
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
"""Most label sets of a family; further ones are counted under `OTHER_LABEL`."""

SERIES_PER_CHUNK = 50
"""Series rendered at a time."""

OTHER_LABEL = "other"
HEADER_LINES = 2

_FORMATTER = TextFormatter()


class MetricFamily:
    """A metric with its documented labels.

    Attributes:
        name: Name in the exposition.
        label_names: Names of its labels, in the order of their values.
    """

    __slots__ = ("name", "label_names", "_doc", "_series")

    def __init__(self, name: str, doc: str, label_names: Sequence[str]) -> None:
        self.name = name
        self.label_names = tuple(label_names)
        self._doc = doc
        self._series: dict[tuple[str, ...], Any] = {}

    def render(self) -> Iterator[list[str]]:
        """Yields the lines of the exposition in parts of bounded length."""
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
        """Returns a value as the collector holds it."""
        return value

    def _limit_labels(self, values: tuple[str, ...]) -> tuple[str, ...]:
        """Returns the label values to use, so that the series stay bounded."""
        if values in self._series or len(self._series) < SERIES_MAX:
            return values
        return (OTHER_LABEL,) * len(values)


class CounterFamily(MetricFamily):
    """Totals by label values."""

    __slots__ = ()

    def inc(self, *values: str, by: float = 1) -> None:
        """Adds to the total of these label values."""
        values = self._limit_labels(values)
        self._series[values] = self._series.get(values, 0) + by

    def set(self, total: float, *values: str) -> None:
        """Takes over a total that another part counts.

        A total that its owner corrects downwards stays, since readers take a
        falling counter for a restart.
        """
        values = self._limit_labels(values)
        self._series[values] = max(total, self._series.get(values, 0))

    def total(self, *values: str) -> float:
        """Returns the total of these label values."""
        return self._series.get(values, 0)

    def _create_collector(self) -> Counter:
        return Counter(self.name, self._doc, registry=Registry())


class GaugeFamily(MetricFamily):
    """Values that are read from other parts when the metrics are scraped."""

    __slots__ = ()

    def replace(self, series: Mapping[tuple[str, ...], float]) -> None:
        """Takes all values, so that no series outlives what it describes."""
        self._series = dict(list(series.items())[:SERIES_MAX])

    def _create_collector(self) -> Gauge:
        return Gauge(self.name, self._doc, registry=Registry())


class _BucketCounts:
    """Observations by bucket; the last bucket has no upper bound."""

    __slots__ = ("counts", "sum")

    def __init__(self, buckets: int) -> None:
        self.counts = [0] * buckets
        self.sum = 0.0


class HistogramFamily(MetricFamily):
    """Distributions by label values.

    An observation adds to one bucket; the cumulative counts of the exposition
    are summed up when it is rendered.
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
