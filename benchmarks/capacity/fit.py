"""Least-squares lines with standard errors, and estimates with propagated errors."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class Estimate:
    """A value with its standard error; arithmetic propagates the errors of independent operands to first order."""

    value: float
    error: float = 0.0

    def __add__(self, other: Estimate | float) -> Estimate:
        other = as_estimate(other)
        return Estimate(self.value + other.value, math.hypot(self.error, other.error))

    def __radd__(self, other: float) -> Estimate:
        return self + other

    def __mul__(self, other: Estimate | float) -> Estimate:
        other = as_estimate(other)
        error = math.hypot(self.error * other.value, other.error * self.value)
        return Estimate(self.value * other.value, error)

    def __rmul__(self, other: float) -> Estimate:
        return self * other

    def __truediv__(self, other: Estimate | float) -> Estimate:
        other = as_estimate(other)
        value = self.value / other.value
        error = math.hypot(self.error / other.value, other.error * value / other.value)
        return Estimate(value, error)

    def __rtruediv__(self, other: float) -> Estimate:
        return Estimate(other) / self


def as_estimate(value: Estimate | float) -> Estimate:
    """Return a plain number as an estimate without error."""
    return value if isinstance(value, Estimate) else Estimate(float(value))


@dataclass(frozen=True)
class Line:
    """y = intercept + slope * x, fitted by least squares.

    `residual_deviation`: standard deviation of the residuals, with n - 2 degrees of freedom.
    """

    slope: float
    intercept: float
    slope_error: float
    residual_deviation: float
    mean_x: float
    sum_of_squares_x: float
    count: int

    def at(self, x: float) -> Estimate:
        """Return the fitted y at x, with the standard error of the fitted mean."""
        variance_factor = 1 / self.count + (x - self.mean_x) ** 2 / self.sum_of_squares_x
        return Estimate(self.intercept + self.slope * x, self.residual_deviation * math.sqrt(variance_factor))

    @property
    def slope_estimate(self) -> Estimate:
        """The slope with its standard error."""
        return Estimate(self.slope, self.slope_error)


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line to (x, y) points.

    Raises ValueError for fewer than three points and if all have the same x, as these give no standard error.
    """
    count = len(points)
    if count < 3:
        raise ValueError(f"fitting a line with its standard error needs at least three points, got {count}")
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_of_squares_x = sum((x - mean_x) ** 2 for x, _ in points)
    if sum_of_squares_x == 0:
        raise ValueError("cannot fit a line: all points have the same x")
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares_x
    intercept = mean_y - slope * mean_x
    sum_of_squared_residuals = sum((y - intercept - slope * x) ** 2 for x, y in points)
    residual_deviation = math.sqrt(sum_of_squared_residuals / (count - 2))
    return Line(
        slope=slope,
        intercept=intercept,
        slope_error=residual_deviation / math.sqrt(sum_of_squares_x),
        residual_deviation=residual_deviation,
        mean_x=mean_x,
        sum_of_squares_x=sum_of_squares_x,
        count=count,
    )
