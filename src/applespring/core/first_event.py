"""Estimates of how soon an engine sends the first event of a stream.

Engines of different pools, and of different deployments, read prompts at
different speeds and wait for different batches. Both are measured on the
requests that this instance sends.
"""

import math
from collections import OrderedDict

# Estimates before the first measurement.
INITIAL_RUN_S = 0.25
INITIAL_TOKENS_PER_S = 55_000.0
# Share of the requests whose first event comes within `run_s`.
RUN_QUANTILE = 0.9
# Relative change of `run_s` by one measurement, in units of its quantile.
RUN_STEP = 0.1
RUN_MIN_S = 0.01
RUN_MAX_S = 5.0
# Share of its weight that a measurement of the reading speed loses with each
# further one, so that the last hundred or so count.
SPEED_DECAY = 0.01
# Weight of the initial speed, in squared tokens: as much as fifty requests
# whose unread tokens differ from their mean by 2,000.
INITIAL_VARIANCE = 50 * 2000.0**2
# Least share of a measurement in the mean and deviation of a route's times, as
# in RFC 6298, 2. The first ones count with what the pool has shown as one.
ROUTE_SHARE_MIN = 1 / 8
# Mean deviations above the mean below which nine tenths of a normal
# distribution lie.
ROUTE_DEVIATIONS = 1.6
# Routes that are remembered; the least recently measured one is forgotten.
ROUTES_MAX = 512
TOKENS_PER_S_MIN = 1000.0
TOKENS_PER_S_MAX = 10_000_000.0


class FirstEventEstimate:
    """Time to the first event and reading speed of one pool's engines.

    Attributes:
        run_s: Time from sending a request to its first event that
            `RUN_QUANTILE` of the requests don't exceed.
    """

    __slots__ = (
        "run_s",
        "_routes",
        "_mean_tokens",
        "_mean_s",
        "_variance",
        "_covariance",
    )

    def __init__(self) -> None:
        self.run_s = INITIAL_RUN_S
        # Number of measurements, mean and mean deviation by route.
        self._routes: OrderedDict[str, tuple[int, float, float]] = OrderedDict()
        self._mean_tokens = 0.0
        self._mean_s = 0.0
        self._variance = INITIAL_VARIANCE
        self._covariance = INITIAL_VARIANCE / INITIAL_TOKENS_PER_S

    @property
    def tokens_per_s(self) -> float:
        """Prompt tokens that an engine reads in a second.

        The slope of the time to the first event over the unread tokens; waits
        that do not depend on the prompt do not change it.
        """
        slope = self._covariance / self._variance
        return min(
            TOKENS_PER_S_MAX,
            max(TOKENS_PER_S_MIN, 1.0 / max(slope, 1.0 / TOKENS_PER_S_MAX)),
        )

    def route_run_s(self, route: str) -> float:
        """Returns the time to the first event that most of a route keep to.

        Requests of one route resemble each other more than those of a pool. It
        is `run_s` before the first measurement of the route and never above:
        a long time would have all requests of the route refused, and without
        them it would never be measured again.
        """
        times = self._routes.get(route)
        if times is None:
            return self.run_s
        _, mean_s, deviation_s = times
        return min(self.run_s, mean_s + ROUTE_DEVIATIONS * deviation_s)

    def _record_route(self, route: str, took_s: float) -> None:
        count, mean_s, deviation_s = self._routes.get(
            route, (0, self.run_s, 0.0)
        )
        count += 1
        share = max(ROUTE_SHARE_MIN, 1.0 / (1 + count))
        off_s = took_s - mean_s
        self._routes[route] = (
            count,
            mean_s + share * off_s,
            deviation_s + share * (abs(off_s) - deviation_s),
        )
        self._routes.move_to_end(route)
        if len(self._routes) > ROUTES_MAX:
            self._routes.popitem(last=False)

    def record(
        self, unread_tokens: int, took_s: float, route: str = ""
    ) -> None:
        """Adds a measurement.

        Args:
            unread_tokens: Prompt tokens that the engine had to read.
            took_s: Time from sending the request to its first event.
            route: Route of the request, or "".
        """
        self._record_route(route, took_s)
        share = RUN_QUANTILE if took_s > self.run_s else RUN_QUANTILE - 1.0
        run_s = self.run_s * math.exp(RUN_STEP * share)
        self.run_s = min(RUN_MAX_S, max(RUN_MIN_S, run_s))
        # Exponentially weighted covariance (West 1979, with a fixed weight).
        tokens_off = unread_tokens - self._mean_tokens
        s_off = took_s - self._mean_s
        self._mean_tokens += SPEED_DECAY * tokens_off
        self._mean_s += SPEED_DECAY * s_off
        kept = 1.0 - SPEED_DECAY
        self._variance = kept * (self._variance + tokens_off**2)
        self._covariance = kept * (self._covariance + tokens_off * s_off)
