"""Linear regression whose measurements are forgotten."""

from collections.abc import Sequence


class DecayedRegression:
    """Weighted least squares with a prior and exponential forgetting.

    Source: ridge regression towards the prior (Hoerl and Kennard 1970), on
    moments in which each measurement weighs `1 - decay` of the next one. The
    prior keeps its weight, so that a coefficient that the measurements do not
    determine stays near it.

    Attributes:
        coefficients: Coefficients, none below 0.
        count: Number of measurements.
    """

    __slots__ = (
        "coefficients",
        "count",
        "_prior",
        "_prior_weights",
        "_decay",
        "_moments",
        "_products",
    )

    def __init__(
        self,
        prior: Sequence[float],
        prior_weights: Sequence[float],
        decay: float,
    ) -> None:
        """Starts with the prior.

        Args:
            prior: Coefficients before the first measurement, above 0.
            prior_weights: Weight of each, as a number of measurements in which
                the term alone makes up the whole result.
            decay: Share of its weight that a measurement loses with each
                further one.
        """
        size = len(prior)
        self.coefficients = list(prior)
        self.count = 0
        self._prior = tuple(prior)
        self._prior_weights = [
            w / (p * p) for p, w in zip(prior, prior_weights, strict=True)
        ]
        self._decay = decay
        self._moments = [[0.0] * size for _ in range(size)]
        self._products = [0.0] * size

    def record(
        self, terms: Sequence[float], result: float, weight: float
    ) -> None:
        """Adds a measurement.

        Args:
            terms: Values of the terms, in the order of the coefficients.
            result: Measured result.
            weight: Inverse of the variance of the result.
        """
        self.count += 1
        kept = 1.0 - self._decay
        for i, (row, term) in enumerate(zip(self._moments, terms, strict=True)):
            for j, other in enumerate(terms):
                row[j] = kept * row[j] + weight * term * other
            self._products[i] = (
                kept * self._products[i] + weight * term * result
            )
        self._solve()

    def _solve(self) -> None:
        """Solves the normal equations by Gaussian elimination.

        They are symmetric and positive definite, so no pivoting is needed.
        """
        size = len(self._prior)
        rows = [
            [*row, product]
            for row, product in zip(self._moments, self._products, strict=True)
        ]
        for i, weight in enumerate(self._prior_weights):
            rows[i][i] += weight
            rows[i][size] += weight * self._prior[i]
        for i in range(size):
            for k in range(i + 1, size):
                factor = rows[k][i] / rows[i][i]
                for j in range(i, size + 1):
                    rows[k][j] -= factor * rows[i][j]
        found = [0.0] * size
        for i in reversed(range(size)):
            rest = sum(rows[i][j] * found[j] for j in range(i + 1, size))
            found[i] = (rows[i][size] - rest) / rows[i][i]
        self.coefficients = [max(0.0, value) for value in found]
