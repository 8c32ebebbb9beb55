"""Straight-line fits of measured points."""

from __future__ import annotations

import dataclasses
import math
import statistics
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A straight line through measured points.

    Attributes:
        name: What was measured.
        unit: Unit of the slope.
        slope: Growth for each step of x.
        intercept: Value at x = 0.
        error: Root mean square distance of the points, in units of y.
        points: The points, as measured.
    """

    name: str
    unit: str
    slope: float
    intercept: float
    error: float
    points: tuple[tuple[float, float], ...]

    def at(self, x: float) -> float:
        """Returns the line's value."""
        return self.intercept + self.slope * x

    def format(self) -> str:
        """Returns a line for a terminal."""
        shown = " ".join(f"({x:g}, {y:.4g})" for x, y in self.points)
        return (
            f"{self.name:<44}{self.slope:>12.4g} {self.unit:<26}"
            f"at 0: {self.intercept:<10.4g} error {self.error:<10.3g}{shown}"
        )


def fit(name: str, unit: str, points: Sequence[tuple[float, float]]) -> Slope:
    """Returns the least-squares line through the points."""
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    line = statistics.linear_regression(xs, ys)
    error = math.sqrt(
        statistics.fmean(
            (y - line.intercept - line.slope * x) ** 2 for x, y in points
        )
    )
    return Slope(name, unit, line.slope, line.intercept, error, tuple(points))
