"""Fit a straight line to values measured at several sizes."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ("Line", "fit_line")


class Line(NamedTuple):
    """A straight line fitted to values measured at several sizes."""

    intercept: float
    slope: float
    #: largest deviation of a measured value from the line, relative to that value
    max_relative_error: float

    def predict(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line to (size, value) points by least squares."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_squares_x = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_squares_x
    intercept = mean_y - slope * mean_x
    max_relative_error = max(abs(intercept + slope * x - y) / abs(y) for x, y in points)
    return Line(intercept, slope, max_relative_error)
