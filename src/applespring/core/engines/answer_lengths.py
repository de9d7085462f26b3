"""Estimates of how many events an engine will send for a stream.

The caller names the largest number of output tokens, and may estimate it. Both
may be far off, and an event may contain several tokens. So the ratio of events
to each figure is learned by route, as well as the number of events itself, and
the figure whose estimates have been closest is used.
"""

import math
from collections import OrderedDict

# Routes that are remembered; the least recently used one is forgotten.
ROUTES_MAX = 512
# Share of a measurement in an estimate, once there are enough of them.
SHARE_MIN = 0.05
# Relative error of an estimate without measurements.
INITIAL_ERROR = 1.0
# Bounds of a ratio of events to a figure, as natural logarithms.
LOG_RATIO_MAX = 12.0


class AnswerLength:
    """Estimated number of events of an answer.

    Attributes:
        events: Number of events.
        spread: Mean absolute error of such estimates, in events.
    """

    __slots__ = ("events", "spread")

    def __init__(self, events: float, spread: float) -> None:
        self.events = events
        self.spread = spread


class _Figure:
    """Ratio of events to one figure, and the error of its estimates.

    The ratio is a geometric mean, which a few figures that are far off do not
    move much.
    """

    __slots__ = ("_log_ratio", "_error", "count")

    def __init__(self) -> None:
        self._log_ratio = 0.0
        self._error = 0.0
        self.count = 0

    def estimate(self, figure: float) -> float:
        return figure * math.exp(self._log_ratio)

    @property
    def error(self) -> float:
        """Mean absolute error in events."""
        return self._error

    def record(self, figure: float, events: int) -> None:
        self.count += 1
        share = max(SHARE_MIN, 1.0 / self.count)
        if self.count > 1:
            error = abs(self.estimate(figure) - events)
            # The first measurement has no error to compare with.
            error_share = max(SHARE_MIN, 1.0 / (self.count - 1))
            self._error += error_share * (error - self._error)
        log_ratio = math.log(max(events, 0.5) / figure)
        log_ratio = min(LOG_RATIO_MAX, max(-LOG_RATIO_MAX, log_ratio))
        self._log_ratio += share * (log_ratio - self._log_ratio)


class AnswerLengths:
    """Learned lengths of answers by route."""

    __slots__ = ("_routes",)

    def __init__(self) -> None:
        # Figures of a route: the count itself, the maximum, the caller's hint.
        self._routes: OrderedDict[str, tuple[_Figure, ...]] = OrderedDict()

    def estimate(
        self, route: str, tokens_max: int, tokens_hint: int
    ) -> AnswerLength:
        """Returns the estimated length of an answer, 0 if nothing is known.

        Args:
            route: Name of the route.
            tokens_max: Largest number of output tokens, or 0 if not named.
            tokens_hint: The caller's estimate of it, or 0 if it gave none.
        """
        figures = self._routes.get(route)
        if figures is None:
            return AnswerLength(0.0, INITIAL_ERROR)
        best, best_value = figures[0], 1
        for figure, value in zip(
            figures, (1, tokens_max, tokens_hint), strict=True
        ):
            if value and figure.count > 1 and figure.error < best.error:
                best, best_value = figure, value
        return AnswerLength(best.estimate(best_value), best.error)

    def record(
        self, route: str, tokens_max: int, tokens_hint: int, events: int
    ) -> None:
        """Records the number of events of a complete answer.

        Args:
            route: Name of the route.
            tokens_max: See `estimate`.
            tokens_hint: See `estimate`.
            events: Number of its events.
        """
        figures = self._routes.get(route)
        if figures is None:
            figures = self._routes[route] = (_Figure(), _Figure(), _Figure())
            if len(self._routes) > ROUTES_MAX:
                self._routes.popitem(last=False)
        else:
            self._routes.move_to_end(route)
        for figure, value in zip(
            figures, (1, tokens_max, tokens_hint), strict=True
        ):
            if value:
                figure.record(value, events)

    def __len__(self) -> int:
        return len(self._routes)
