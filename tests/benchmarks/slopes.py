"""Quantities measured at several sizes, and their least-squares lines."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import sqrt

MIN_POINTS = 4


@dataclass(frozen=True)
class LineFit:
    """A least-squares line and the standard error of its slope."""

    slope: float
    intercept: float
    slope_error: float

    def value_at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size


@dataclass(frozen=True)
class Series:
    """One quantity measured at several sizes."""

    title: str
    size_name: str
    unit: str
    points: tuple[tuple[float, float], ...]
    target_size: float  # expected in two years

    def format_table(self) -> str:
        """Format the points, the fitted line and its value at the target."""
        line_fit = fit_line(self.points)
        values = '  '.join(
            f'{size:g}: {value:.4g}' for size, value in self.points
        )
        error_percent = (
            100 * line_fit.slope_error / abs(line_fit.slope)
            if line_fit.slope
            else 0
        )
        return (
            f'{self.title} [{self.unit}] by {self.size_name}\n'
            f'    {values}\n'
            f'    fit {line_fit.intercept:.4g} + {line_fit.slope:.4g} x, '
            f'slope error {error_percent:.0f} %; '
            f'at {self.target_size:g}: '
            f'{line_fit.value_at(self.target_size):.4g}'
        )


def fit_line(points: Sequence[tuple[float, float]]) -> LineFit:
    """Fit a line by least squares."""
    if len(points) < MIN_POINTS:
        raise ValueError(f'{len(points)} sizes are too few for a slope')
    count = len(points)
    mean_x = sum(size for size, _ in points) / count
    mean_y = sum(value for _, value in points) / count
    size_squares = sum((size - mean_x) ** 2 for size, _ in points)
    slope = (
        sum((size - mean_x) * (value - mean_y) for size, value in points)
        / size_squares
    )
    intercept = mean_y - slope * mean_x
    residual = sum(
        (value - intercept - slope * size) ** 2 for size, value in points
    )
    slope_error = sqrt(residual / (count - 2) / size_squares)
    return LineFit(slope, intercept, slope_error)
