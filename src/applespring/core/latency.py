"""Decayed latency estimates."""

import math

HALF_LIFE_S = 10.0
PRIOR_SAMPLES = 3.0
PRIOR_HIGH_FACTOR = 2.0
# Under overload most calls start near the latest time that still meets their
# deadline, so the quantile decides how many end late: in a simulated pool at
# twice its capacity 1.0% to 2.0% of them at 0.95, 0.6% to 1.4% at 0.98.
HIGH_QUANTILE = 0.98
MIN_LATENCY_S = 1e-4
BUCKET_RATIO = 1.1
BUCKET_COUNT = 176
# Instead of decaying old samples, new ones weigh twice as much every half-life.
# Rescaling well before 2**1023 keeps the weights finite.
RESCALE_HALF_LIVES = 64.0

_LOG_RATIO = math.log(BUCKET_RATIO)


class DecayedMean:
    """Mean of samples whose weight halves every `half_life_s`.

    If the remaining weight is below `PRIOR_SAMPLES`, the prior makes up for the
    difference, so that an estimate without recent samples returns to the
    prior. Otherwise an old high estimate would keep calls away forever, and
    with them the samples that could correct it.
    """

    __slots__ = ("prior_s", "half_life_s", "_weight", "_sum", "_updated_at")

    def __init__(
        self, prior_s: float, half_life_s: float = HALF_LIFE_S
    ) -> None:
        self.prior_s = prior_s
        self.half_life_s = half_life_s
        self._weight = 0.0
        self._sum = 0.0
        self._updated_at = 0.0

    def add(self, sample_s: float, now: float) -> None:
        """Adds one sample, in seconds."""
        factor = self._decay(now)
        self._weight = self._weight * factor + 1.0
        self._sum = self._sum * factor + sample_s
        self._updated_at = max(self._updated_at, now)

    def weight(self, now: float) -> float:
        """Returns the remaining weight, in samples."""
        return self._weight * self._decay(now)

    def mean(self, now: float) -> float:
        """Returns the estimated mean in seconds."""
        weight = self.weight(now)
        if weight <= 0.0:
            return self.prior_s
        mean = self.sample_mean()
        prior_weight = PRIOR_SAMPLES - weight
        if prior_weight <= 0.0:
            return mean
        return (mean * weight + self.prior_s * prior_weight) / PRIOR_SAMPLES

    def sample_mean(self) -> float:
        """Returns the mean without the prior, or the prior without samples."""
        return self._sum / self._weight if self._weight else self.prior_s

    def reset(self, prior_s: float) -> None:
        """Discards all samples and sets the prior, in seconds."""
        self.prior_s = prior_s
        self._weight = 0.0
        self._sum = 0.0

    def _decay(self, now: float) -> float:
        elapsed = now - self._updated_at
        if elapsed <= 0.0:
            return 1.0
        return 0.5 ** (elapsed / self.half_life_s)


class LatencyEstimate:
    """Mean and high quantile of latency samples that decay.

    The samples are counted in logarithmic buckets, so the quantile is too high
    by a factor of at most `BUCKET_RATIO`.
    """

    __slots__ = ("_mean", "_buckets", "_origin_at", "_total_weight")

    def __init__(self, prior_s: float) -> None:
        self._mean = DecayedMean(prior_s)
        self._buckets = [0.0] * BUCKET_COUNT
        self._origin_at = 0.0
        self._total_weight = 0.0

    def add(self, sample_s: float, now: float) -> None:
        """Adds one sample, in seconds."""
        self._mean.add(sample_s, now)
        half_lives = (now - self._origin_at) / HALF_LIFE_S
        if half_lives > RESCALE_HALF_LIVES:
            self._rescale(half_lives, now)
            half_lives = 0.0
        weight = 2.0**half_lives
        self._buckets[_bucket(sample_s)] += weight
        self._total_weight += weight

    def weight(self, now: float) -> float:
        """Returns the remaining weight, in samples."""
        return self._mean.weight(now)

    def mean(self, now: float) -> float:
        """Returns the estimated mean in seconds."""
        return self._mean.mean(now)

    def high_quantile(self, now: float) -> float:
        """Returns the estimated `HIGH_QUANTILE` quantile in seconds."""
        prior = self._mean.prior_s * PRIOR_HIGH_FACTOR
        weight = min(self._mean.weight(now), PRIOR_SAMPLES)
        if weight <= 0.0 or self._total_weight <= 0.0:
            return prior
        prior_weight = PRIOR_SAMPLES - weight
        return (
            self._quantile() * weight + prior * prior_weight
        ) / PRIOR_SAMPLES

    def set_prior(self, prior_s: float) -> None:
        """Sets the prior, in seconds; the samples stay."""
        self._mean.prior_s = prior_s

    def _quantile(self) -> float:
        remaining = self._total_weight * (1.0 - HIGH_QUANTILE)
        for index in range(BUCKET_COUNT - 1, -1, -1):
            remaining -= self._buckets[index]
            if remaining < 0.0:
                return MIN_LATENCY_S * BUCKET_RATIO ** (index + 1)
        return MIN_LATENCY_S

    def _rescale(self, half_lives: float, now: float) -> None:
        # After about 1,000 half-lives the weights may round to zero: samples
        # that old do not count.
        factor = 0.5 ** min(half_lives, 1000.0)
        self._buckets = [count * factor for count in self._buckets]
        self._total_weight = sum(self._buckets)
        self._origin_at = now


def _bucket(sample_s: float) -> int:
    if sample_s <= MIN_LATENCY_S:
        return 0
    return min(
        int(math.log(sample_s / MIN_LATENCY_S) / _LOG_RATIO), BUCKET_COUNT - 1
    )
