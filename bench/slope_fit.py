"""Linear fits of measurements at several sizes, and their output."""

import math
import statistics
import time
from collections.abc import Callable, Sequence
from typing import Any

ROUNDS = 5
ROUND_S = 0.04


class Slope:
    """A quantity measured at several sizes, with its linear fit.

    Attributes:
        name: What was measured.
        unit: Unit of the values.
        size: Name of what the sizes count.
        sizes: The sizes measured.
        values: The value at each size.
        plan: The planned size, at which `at_plan` evaluates the fit.
        slope: Increase of the value for each unit of size.
        slope_error: Standard error of the slope.
        intercept: Fitted value at size 0.
        residual: Root mean square of the residuals.
    """

    __slots__ = (
        "name",
        "unit",
        "size",
        "sizes",
        "values",
        "plan",
        "slope",
        "slope_error",
        "intercept",
        "residual",
    )

    def __init__(
        self,
        name: str,
        unit: str,
        size: str,
        points: Sequence[tuple[float, float]],
        plan: float,
    ) -> None:
        """Fits a line through the points (size, value), at least two."""
        self.name = name
        self.unit = unit
        self.size = size
        self.sizes = [float(x) for x, _ in points]
        self.values = [float(y) for _, y in points]
        self.plan = float(plan)
        self.slope, self.intercept = statistics.linear_regression(
            self.sizes, self.values
        )
        squares = sum(
            (y - self.intercept - self.slope * x) ** 2
            for x, y in zip(self.sizes, self.values, strict=True)
        )
        self.residual = math.sqrt(squares / len(points))
        mean = statistics.fmean(self.sizes)
        spread = sum((x - mean) ** 2 for x in self.sizes)
        degrees_of_freedom = max(1, len(points) - 2)
        self.slope_error = math.sqrt(squares / degrees_of_freedom / spread)

    @property
    def at_plan(self) -> float:
        """The fitted value at the planned size."""
        return self.intercept + self.slope * self.plan

    def to_json(self) -> dict[str, Any]:
        """Returns all attributes and the fitted value at the planned size."""
        fields = {name: getattr(self, name) for name in self.__slots__}
        return fields | {"at_plan": self.at_plan}

    def to_row(self) -> str:
        """Returns a row of a Markdown table."""
        sizes = ", ".join(f"{x:g}" for x in self.sizes)
        values = ", ".join(f"{y:.4g}" for y in self.values)
        return (
            f"| {self.name} ({self.unit}) | {self.size}: {sizes} | {values} "
            f"| {self.slope:.3g} ± {self.slope_error:.1g} "
            f"| {self.intercept:.3g} | {self.residual:.2g} "
            f"| {self.at_plan:.4g} at {self.plan:g} |"
        )


TABLE_HEADING = (
    "| quantity (unit) | sizes | values | slope ± error | intercept "
    "| residual | fit at plan |\n|---|---|---|---|---|---|---|"
)


def measure_cpu_s(action: Callable[[], Any]) -> float:
    """Returns the processor seconds of one call, the median of ROUNDS rounds.

    A round repeats the call for about ROUND_S.
    """
    action()
    calls = 1
    while True:
        elapsed_s = _time_calls(action, calls)
        if elapsed_s >= ROUND_S:
            break
        calls = max(calls * 2, int(calls * ROUND_S / max(1e-6, elapsed_s)))
    rounds = [_time_calls(action, calls) / calls for _ in range(ROUNDS)]
    return statistics.median(rounds)


def _time_calls(action: Callable[[], Any], calls: int) -> float:
    started_s = time.process_time()
    for _ in range(calls):
        action()
    return time.process_time() - started_s
