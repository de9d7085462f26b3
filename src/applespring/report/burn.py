"""Attainment, burn rates and error budgets."""

from collections.abc import Mapping, Sequence

from applespring.report.series import History, Window, sum_by

REQUESTS = "applespring_requests_total"
ANSWERED = "answered"
COUNTED_OUTCOMES = frozenset(("answered", "late", "refused"))
"""Outcomes that count for the service level; others are due to the caller."""


class ServiceLevel:
    """The service level of one pipeline or client account in a window.

    Attributes:
        answered: Number of requests answered completely and in time.
        counted: Number of requests that count for the service level.
        excluded: Number of requests that were rejected because of an error of
            the caller or a rule, or whose caller disconnected.
        allowed_failures: Number of requests of `counted` that the objective
            allows to fail, or None without an objective.
    """

    __slots__ = ("answered", "counted", "excluded", "allowed_failures")

    def __init__(self) -> None:
        self.answered = 0.0
        self.counted = 0.0
        self.excluded = 0.0
        self.allowed_failures: float | None = 0.0

    def add(self, outcome: str, count: float, objective: float | None) -> None:
        """Adds requests with an outcome."""
        if outcome not in COUNTED_OUTCOMES:
            self.excluded += count
            return
        self.counted += count
        self.answered += count if outcome == ANSWERED else 0.0
        if objective is None:
            self.allowed_failures = None
        elif self.allowed_failures is not None:
            self.allowed_failures += count * (1.0 - objective)

    @property
    def attainment(self) -> float | None:
        """Fraction answered completely and in time; None without requests."""
        return self.answered / self.counted if self.counted else None

    @property
    def objective(self) -> float | None:
        """Mean objective, weighted by requests; None if it is unknown."""
        if not self.counted or self.allowed_failures is None:
            return None
        return 1.0 - self.allowed_failures / self.counted

    @property
    def burn_rate(self) -> float | None:
        """Failed requests as a multiple of those allowed; None if unknown."""
        if not self.counted or self.allowed_failures is None:
            return None
        failed = self.counted - self.answered
        if self.allowed_failures == 0.0:
            return float("inf") if failed else 0.0
        return failed / self.allowed_failures

    @property
    def budget_left(self) -> float | None:
        """Remaining fraction of the error budget, below 0 if overspent."""
        burn = self.burn_rate
        return None if burn is None else 1.0 - burn


class Subject:
    """A pipeline or a client account with its service levels.

    Attributes:
        name: Its name.
        overall: Its service level over all scrapes.
        windows: Its service level in each window, in the order of
            `ServiceLevels.windows`.
    """

    __slots__ = ("name", "overall", "windows")

    def __init__(
        self, name: str, overall: ServiceLevel, windows: Sequence[ServiceLevel]
    ) -> None:
        self.name = name
        self.overall = overall
        self.windows = windows


class ServiceLevels:
    """Service levels of all pipelines and client accounts.

    Attributes:
        windows: The windows and what the scrapes cover of them.
        pipelines: Levels by pipeline, sorted by name.
        accounts: Levels by client account, sorted by name.
        without_objective: Pipelines with requests but no objective.
    """

    __slots__ = ("windows", "pipelines", "accounts", "without_objective")

    def __init__(
        self,
        windows: Sequence[Window],
        pipelines: Sequence[Subject],
        accounts: Sequence[Subject],
        without_objective: Sequence[str],
    ) -> None:
        self.windows = windows
        self.pipelines = pipelines
        self.accounts = accounts
        self.without_objective = without_objective


def measure_service_levels(
    history: History,
    objectives: Mapping[str, float],
    accounts: Sequence[str],
    windows_s: Sequence[float],
) -> ServiceLevels:
    """Returns the service levels in each window.

    Args:
        history: The scrapes.
        objectives: Objective of each pipeline by name, 0 to 1.
        accounts: Client accounts of the document, which are included even if
            they sent no request.
        windows_s: Lengths in seconds of the windows, which end at the last
            scrape.
    """
    spans: list[float | None] = [None, *windows_s]
    counts = [
        sum_by(history.increase(REQUESTS, span), *REQUEST_LABELS)
        for span in spans
    ]
    seen = {labels[0] for labels in counts[0]}
    return ServiceLevels(
        [history.window(span) for span in windows_s],
        _measure_by_label(counts, 0, objectives, objectives),
        _measure_by_label(counts, 1, accounts, objectives),
        sorted(seen - set(objectives)),
    )


REQUEST_LABELS = ("pipeline", "account", "outcome")


def _measure_by_label(
    counts: Sequence[Mapping[tuple[str, ...], float]],
    position: int,
    listed_names: Sequence[str] | Mapping[str, float],
    objectives: Mapping[str, float],
) -> list[Subject]:
    """Returns the levels by the label at one position of `REQUEST_LABELS`."""
    names = sorted(
        {labels[position] for labels in counts[0]} | set(listed_names)
    )
    subjects = []
    for name in names:
        levels = [
            _sum_level(count, position, name, objectives) for count in counts
        ]
        subjects.append(Subject(name, levels[0], levels[1:]))
    return subjects


def _sum_level(
    count: Mapping[tuple[str, ...], float],
    position: int,
    name: str,
    objectives: Mapping[str, float],
) -> ServiceLevel:
    level = ServiceLevel()
    for labels, value in count.items():
        if labels[position] == name:
            level.add(labels[2], value, objectives.get(labels[0]))
    return level
