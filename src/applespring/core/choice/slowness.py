"""How much slower each upstream is than its pool expects.

The estimate has two terms, each a mean of the ratio of the time that requests
took to the time that was expected. The lasting one has a long half-life and
approaches 1 without samples; the momentary one has a short half-life and
approaches the lasting one. So a slowdown is seen at its first late answers,
and an upstream that got no requests because of one is tried again soon. An
upstream's own report of its speed multiplies the estimate as long as it is
recent; the learned part is then the speed without it.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable

from applespring.core.latency import PRIOR_SAMPLES, DecayedMean

Identity = tuple[str, int]

# Half-lives of the samples, in seconds.
LASTING_HALF_LIFE_S = 30.0
MOMENTARY_HALF_LIFE_S = 0.4
# An upstream's report changes many times a second.
REPORT_HALF_LIFE_S = 0.1
# A sample moves the lasting term by at most this factor of it, since the cost
# of a single request is uncertain and a slowdown may be short.
LASTING_STEP_MAX = 1.5
# Bounds of a sample and of a report. Below the lower one an answer is an error
# or comes from a cache.
RATIO_MIN = 0.05
RATIO_MAX = 50.0
# Expected times below this are clock noise.
EXPECTED_MIN_S = 1e-4
# Above the 600 upstreams of the design scale, with room for restarts; beyond
# it the least recently used one is forgotten.
UPSTREAMS_MAX = 2048
# Requests in progress of an upstream whose start is remembered, beyond which
# the latest ones do not count as overdue.
OUTSTANDING_MAX = 256
# Requests in progress that are compared with their expected time: the oldest.
OVERDUE_LOOKED_AT = 4
# Differences of less than this many standard errors do not count: the least of
# many estimates would be the one with the largest error.
ERRORS_SHRUNK = 2.0
# Variance of the ratios until enough samples show it.
VARIANCE_PRIOR = 0.25
# An upstream counts in `SlownessTable.spread` from this weight of samples on.
SPREAD_WEIGHT_MIN = 3.0


class Outstanding:
    """A request in progress.

    Attributes:
        identity: Name and start time of its upstream.
        expected_s: Expected time at an ordinary upstream of the pool.
        started_at: When it was sent.
    """

    __slots__ = ("identity", "expected_s", "started_at")

    def __init__(
        self, identity: Identity, expected_s: float, started_at: float
    ) -> None:
        self.identity = identity
        self.expected_s = expected_s
        self.started_at = started_at


class _Upstream:
    __slots__ = (
        "lasting",
        "momentary",
        "squares",
        "outstanding",
        "reported",
        "reported_at",
    )

    def __init__(self) -> None:
        self.lasting = DecayedMean(1.0, LASTING_HALF_LIFE_S)
        self.momentary = DecayedMean(1.0, MOMENTARY_HALF_LIFE_S)
        self.squares = DecayedMean(VARIANCE_PRIOR, LASTING_HALF_LIFE_S)
        self.outstanding: dict[Outstanding, None] = {}
        self.reported = 1.0
        self.reported_at = -math.inf

    def report_factor(self, now: float) -> float:
        """Returns the last report, which approaches 1 with its age."""
        age_s = max(0.0, now - self.reported_at)
        return self.reported ** (0.5 ** (age_s / REPORT_HALF_LIFE_S))

    def settled(self, now: float) -> float:
        """Returns the lasting term without what its samples may not show."""
        return _shrink(
            self.lasting.mean(now), 1.0, self._error(self.lasting, now)
        )

    def learned(self, now: float, late: float) -> float:
        """Returns both terms together.

        Args:
            now: Current time in seconds.
            late: Time of a request in progress by its expected time.
        """
        momentary = self.momentary
        settled = momentary.prior_s = self.settled(now)
        mean, weight = momentary.mean(now), momentary.weight(now)
        if late > mean:
            # It counts as a sample of at least that time, in place of one of
            # the prior's.
            weight += 1.0
            replaced = settled if weight <= PRIOR_SAMPLES else mean
            mean += (late - replaced) / max(weight, PRIOR_SAMPLES)
        error = math.sqrt(self.squares.mean(now) / max(weight, PRIOR_SAMPLES))
        return _shrink(mean, settled, error)

    def _error(self, mean: DecayedMean, now: float) -> float:
        """Returns the standard error of a mean of ratios."""
        weight = max(PRIOR_SAMPLES, mean.weight(now))
        return math.sqrt(self.squares.mean(now) / weight)

    def add(self, ratio: float, now: float) -> None:
        ratio = _bounded(ratio)
        mean = self.lasting.mean(now)
        step = min(max(ratio, mean / LASTING_STEP_MAX), mean * LASTING_STEP_MAX)
        self.lasting.add(step, now)
        self.squares.add((step - mean) * (step - mean), now)
        self.momentary.add(ratio, now)


class SlownessTable:
    """Slowness of upstreams, by identity (name and start time).

    Source of the form: an exponentially weighted mean with a prior, as
    `DecayedMean`, once for each of two time scales.
    """

    __slots__ = ("_upstreams",)

    def __init__(self) -> None:
        self._upstreams: OrderedDict[Identity, _Upstream] = OrderedDict()

    def start(
        self, identity: Identity, expected_s: float, now: float
    ) -> Outstanding:
        """Records that a request was sent; see `record` for `expected_s`.

        The request counts once it is overdue, until `finish` or `discard`.
        """
        work = Outstanding(identity, max(EXPECTED_MIN_S, expected_s), now)
        outstanding = self._obtain(identity).outstanding
        if len(outstanding) < OUTSTANDING_MAX:
            outstanding[work] = None
        return work

    def finish(self, work: Outstanding, now: float) -> None:
        """Records that a request was answered."""
        self.discard(work)
        self.record(work.identity, work.expected_s, now - work.started_at, now)

    def discard(self, work: Outstanding) -> None:
        """Forgets a request that ended without showing the speed."""
        upstream = self._upstreams.get(work.identity)
        if upstream is not None:
            upstream.outstanding.pop(work, None)

    def record(
        self, identity: Identity, expected_s: float, took_s: float, now: float
    ) -> None:
        """Records the time that a request took.

        Args:
            identity: Name and start time of the upstream.
            expected_s: Estimated time of this request at an ordinary upstream
                of the pool, in seconds, with the wait that was expected there.
                So dear requests do not count as a slow upstream.
            took_s: Time that it took, in seconds.
            now: Current time in seconds.
        """
        upstream = self._obtain(identity)
        ratio = max(0.0, took_s) / max(EXPECTED_MIN_S, expected_s)
        upstream.add(ratio / upstream.report_factor(now), now)

    def report(self, identity: Identity, percent: float, now: float) -> None:
        """Records an upstream's own word on its speed.

        Args:
            identity: Name and start time of the upstream.
            percent: How long work takes there at this moment, 100 as usual.
                A value that is not above 0 is ignored.
            now: Current time in seconds.
        """
        if not 0.0 < percent < math.inf:
            return
        upstream = self._obtain(identity)
        upstream.reported = _bounded(percent / 100.0)
        upstream.reported_at = now

    def overdue(self, identity: Identity, now: float) -> float:
        """Returns by how much the oldest requests in progress are late.

        Returns:
            Time since they were sent, divided by the expected time: the
            highest of a few; 0 without requests in progress.
        """
        upstream = self._upstreams.get(identity)
        if upstream is None:
            return 0.0
        highest = 0.0
        for index, work in enumerate(upstream.outstanding):
            if index == OVERDUE_LOOKED_AT:
                break
            ratio = (now - work.started_at) / work.expected_s
            highest = max(highest, ratio)
        return min(RATIO_MAX, highest)

    def slowness(self, identity: Identity, now: float) -> float:
        """Returns the factor by which an upstream is slower than expected.

        1 if nothing is known of it, below 1 for a faster one.
        """
        upstream = self._upstreams.get(identity)
        if upstream is None:
            return 1.0
        factor = upstream.report_factor(now)
        late = self.overdue(identity, now) / factor
        return upstream.learned(now, late) * factor

    def spread(self, identities: Iterable[Identity], now: float) -> float:
        """Returns how much upstreams differ in speed.

        The variance of the lasting terms, less the part that the spread of the
        requests explains (method of moments of a one-way random-effects
        model).

        Returns:
            Standard deviation of the speeds, relative to their mean; 0 if they
            do not differ or too little is known.
        """
        means, errors = [], []
        for identity in identities:
            upstream = self._upstreams.get(identity)
            if upstream is None:
                continue
            weight = upstream.lasting.weight(now)
            if weight < SPREAD_WEIGHT_MIN:
                continue
            mean = upstream.lasting.sample_mean()
            means.append(mean)
            errors.append(upstream.squares.sample_mean() / (weight - 1.0))
        count = len(means)
        if count < 2:
            return 0.0
        centre = sum(means) / count
        between = sum((m - centre) ** 2 for m in means) / (count - 1)
        return math.sqrt(max(0.0, between - sum(errors) / count)) / centre

    def forget(self, identity: Identity) -> None:
        """Forgets an upstream that has ended."""
        self._upstreams.pop(identity, None)

    def __len__(self) -> int:
        return len(self._upstreams)

    def _obtain(self, identity: Identity) -> _Upstream:
        upstream = self._upstreams.get(identity)
        if upstream is None:
            upstream = self._upstreams[identity] = _Upstream()
            if len(self._upstreams) > UPSTREAMS_MAX:
                self._upstreams.popitem(last=False)
        else:
            self._upstreams.move_to_end(identity)
        return upstream


def _bounded(ratio: float) -> float:
    return min(RATIO_MAX, max(RATIO_MIN, ratio))


def _shrink(value: float, towards: float, error: float) -> float:
    """Returns a value moved by `ERRORS_SHRUNK` errors, at most to another.

    Soft thresholding (Donoho and Johnstone, 1994).
    """
    by = ERRORS_SHRUNK * error
    if value > towards:
        return max(towards, value - by)
    return min(towards, value + by)
