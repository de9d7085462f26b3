"""Increases of counters in time windows, across restarts and gaps."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence

from applespring.report.exposition import Labels, Scrape
from applespring.report.scrape import INSTANCE_INFO_METRIC

# Least fraction of a window that the scrapes must cover. It is below 1, since
# scrapes are not taken exactly at the bounds of a window.
COVERED_FRACTION_MIN = 0.95
# An instance is reported as stale if its last scrape is older than this many of
# its longest intervals between scrapes.
STALE_INTERVALS = 1.5


class Window:
    """A time window that ends at the last scrape.

    Attributes:
        requested_s: Requested length, or None for all scrapes.
        covered_s: Length of the part that the scrapes cover.
    """

    __slots__ = ("requested_s", "covered_s")

    def __init__(self, requested_s: float | None, covered_s: float) -> None:
        self.requested_s = requested_s
        self.covered_s = covered_s

    @property
    def partial(self) -> bool:
        """Whether the scrapes cover too little of the window."""
        if self.requested_s is None:
            return False
        return self.covered_s < COVERED_FRACTION_MIN * self.requested_s


class History:
    """The scrapes of all instances.

    Attributes:
        instances: Scrapes by instance name, ordered by time.
        notes: Gaps and other defects of the data, for readers of the report.
    """

    __slots__ = ("instances", "notes", "_restarts")

    def __init__(self, scrapes: Iterable[Scrape]) -> None:
        self.instances: dict[str, list[Scrape]] = {}
        self.notes: list[str] = []
        self._restarts: set[tuple[str, float]] = set()
        seen: set[tuple[str, float]] = set()
        for scrape in sorted(scrapes, key=lambda s: (s.instance, s.time_s)):
            if (scrape.instance, scrape.time_s) in seen:
                self.notes.append(
                    f"{scrape.instance}: a second scrape at"
                    f" {scrape.time_s:g} is ignored"
                )
                continue
            seen.add((scrape.instance, scrape.time_s))
            self.instances.setdefault(scrape.instance, []).append(scrape)
        self._note_gaps()

    @property
    def start_s(self) -> float:
        """Time of the first scrape."""
        return min(s[0].time_s for s in self.instances.values())

    @property
    def end_s(self) -> float:
        """Time of the last scrape."""
        return max(s[-1].time_s for s in self.instances.values())

    @property
    def times(self) -> list[float]:
        """Times of all scrapes, sorted."""
        return sorted(
            {s.time_s for group in self.instances.values() for s in group}
        )

    def window(self, requested_s: float | None) -> Window:
        """Returns the window of this length that ends at the last scrape."""
        start_s = self.start_s
        if requested_s is not None:
            start_s = max(start_s, self.end_s - requested_s)
            start_s = max(
                (time_s for time_s in self.times if time_s <= start_s),
                default=start_s,
            )
        return Window(requested_s, self.end_s - start_s)

    def increase(
        self, name: str, requested_s: float | None = None
    ) -> dict[Labels, float]:
        """Returns the increase of a counter by label set, over all instances.

        Args:
            name: Name of the counter.
            requested_s: Length of the window, which ends at the last scrape, or
                None for all scrapes. An instance with a single scrape then
                adds what it has counted since its start.
        """
        start_s = float("-inf")
        if requested_s is not None:
            start_s = self.end_s - requested_s
        return self.increase_between(name, start_s, self.end_s)

    def increase_between(
        self, name: str, start_s: float, end_s: float
    ) -> dict[Labels, float]:
        """Returns the increase of a counter between two times."""
        totals: dict[Labels, float] = defaultdict(float)
        for group in self.instances.values():
            selected = list(_select(group, start_s, end_s))
            since_start = start_s == float("-inf")
            if since_start and len(selected) == 1:
                selected.insert(
                    0, Scrape(selected[0].instance, selected[0].time_s)
                )
            for before, after in zip(selected, selected[1:], strict=False):
                restarted = (after.instance, after.time_s) in self._restarts
                old = Scrape() if restarted else before
                for labels, value in _increases(name, old, after):
                    totals[labels] += value
        return dict(totals)

    def _note_gaps(self) -> None:
        """Adds notes about restarts, single scrapes and stale instances."""
        for name, group in self.instances.items():
            for before, after in zip(group, group[1:], strict=False):
                if _restarted(before, after):
                    self._restarts.add((name, after.time_s))
                    self.notes.append(
                        f"{name}: restarted between {before.time_s:g} and"
                        f" {after.time_s:g}; what it counted between its last"
                        " scrape and the restart is unknown"
                    )
            if len(group) == 1:
                self.notes.append(
                    f"{name}: one scrape only; its totals since its start are"
                    " part of the overall figures, and of no window"
                )
            stale_s = self.end_s - group[-1].time_s
            if stale_s > STALE_INTERVALS * _longest_interval_s(group):
                self.notes.append(
                    f"{name}: no scrape in the last {stale_s:g} s"
                )


def sum_by(
    values: dict[Labels, float], *names: str
) -> dict[tuple[str, ...], float]:
    """Returns the sums by the values of these labels."""
    sums: dict[tuple[str, ...], float] = defaultdict(float)
    for labels, value in values.items():
        by_name = dict(labels)
        sums[tuple(by_name.get(name, "") for name in names)] += value
    return dict(sums)


def _longest_interval_s(group: Sequence[Scrape]) -> float:
    """Returns the longest time between two scrapes; infinite for one scrape."""
    return max(
        (
            after.time_s - before.time_s
            for before, after in zip(group, group[1:], strict=False)
        ),
        default=float("inf"),
    )


def _select(
    group: Sequence[Scrape], start_s: float, end_s: float
) -> Iterator[Scrape]:
    """Yields the last scrape up to the start, and those until the end."""
    before = [s for s in group if s.time_s <= start_s]
    yield from before[-1:]
    yield from (s for s in group if start_s < s.time_s <= end_s)


def _restarted(before: Scrape, after: Scrape) -> bool:
    """Whether the incarnation changed or, if it is unknown, a counter fell."""
    old = before.find_label(INSTANCE_INFO_METRIC, "incarnation")
    new = after.find_label(INSTANCE_INFO_METRIC, "incarnation")
    if old and new:
        return old != new
    return any(
        value < before.samples.get(name, {}).get(labels, 0.0)
        for name, series in after.samples.items()
        if name.endswith("_total")
        for labels, value in series.items()
    )


def _increases(
    name: str, before: Scrape, after: Scrape
) -> Iterator[tuple[Labels, float]]:
    """Yields the increase of each series; a fall counts as a restart from 0."""
    old = before.samples.get(name, {})
    for labels, value in after.samples.get(name, {}).items():
        old_value = old.get(labels, 0.0)
        yield labels, value - old_value if value >= old_value else value
