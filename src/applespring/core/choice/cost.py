"""What a request is likely to cost, learned from earlier ones.

The cost of a request is the time in seconds for which an ordinary upstream of
its pool works on it. The estimate is a decayed mean over requests of the same
route, size class and account. A class with few samples takes the rest of its
weight from the next wider one: account, size class, route, pool (a hierarchical
mean with a prior of `latency.PRIOR_SAMPLES` samples at each level). Size
classes are powers of two of the request's size.
"""

import math
from collections import OrderedDict

from applespring.core.latency import DecayedMean

# Half-life of the samples, in seconds.
HALF_LIFE_S = 20.0
# Classes that are kept; the least recently used one is forgotten. The design
# scale has 20 pipelines and 1,800 accounts, few of which are busy at once.
CLASSES_MAX = 4096


class RequestFeatures:
    """What tells the cost of a request before it is sent.

    Attributes:
        request_id: Id of the request.
        pool: Pool that executes it.
        route: Name of its route.
        account: Name of its client account, or "".
        size: Its size in bytes, or another measure that the route's requests
            have in common; 0 if there is none.
    """

    __slots__ = ("request_id", "pool", "route", "account", "size")

    def __init__(
        self,
        request_id: str,
        pool: str,
        route: str,
        account: str = "",
        size: int = 0,
    ) -> None:
        self.request_id = request_id
        self.pool = pool
        self.route = route
        self.account = account
        self.size = size

    def classes(self) -> tuple[tuple, ...]:
        """Returns the classes that the request belongs to, widest first."""
        size_class = self.size.bit_length()
        return (
            (self.pool,),
            (self.pool, self.route),
            (self.pool, self.route, size_class),
            (self.pool, self.route, size_class, self.account),
        )


class CostEstimate:
    """Expected cost of a request.

    Attributes:
        mean_s: Mean, in seconds.
        spread_s: Standard deviation of a single request, in seconds.
    """

    __slots__ = ("mean_s", "spread_s")

    def __init__(self, mean_s: float, spread_s: float) -> None:
        self.mean_s = mean_s
        self.spread_s = spread_s


class _Class:
    __slots__ = ("mean", "squares")

    def __init__(self) -> None:
        self.mean = DecayedMean(0.0, HALF_LIFE_S)
        self.squares = DecayedMean(0.0, HALF_LIFE_S)


class CostTable:
    """Learned costs by pool, route, size class and account."""

    __slots__ = ("_classes",)

    def __init__(self) -> None:
        self._classes: OrderedDict[tuple, _Class] = OrderedDict()

    def record(
        self, features: RequestFeatures, cost_s: float, now: float
    ) -> None:
        """Records the cost that a request turned out to have.

        Args:
            features: What was known of it.
            cost_s: Its cost in seconds, without the wait for its turn.
            now: Current time in seconds.
        """
        for key in features.classes():
            found = self._classes.get(key)
            if found is None:
                found = self._classes[key] = _Class()
                if len(self._classes) > CLASSES_MAX:
                    self._classes.popitem(last=False)
            else:
                self._classes.move_to_end(key)
            found.mean.add(cost_s, now)
            found.squares.add(cost_s * cost_s, now)

    def estimate(
        self, features: RequestFeatures, now: float
    ) -> CostEstimate | None:
        """Returns the expected cost, or None before the pool's first answer."""
        mean_s = square = None
        for key in features.classes():
            found = self._classes.get(key)
            if found is None:
                break
            # Without a wider class, the samples alone count.
            found.mean.prior_s = (
                found.mean.sample_mean() if mean_s is None else mean_s
            )
            found.squares.prior_s = (
                found.squares.sample_mean() if square is None else square
            )
            mean_s, square = found.mean.mean(now), found.squares.mean(now)
        if mean_s is None or square is None:
            return None
        return CostEstimate(
            mean_s, math.sqrt(max(0.0, square - mean_s * mean_s))
        )

    def __len__(self) -> int:
        return len(self._classes)
