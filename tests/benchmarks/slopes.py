"""Points measured at several sizes, and the straight line through them."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import sqrt

LEAST_POINTS = 4


@dataclass(frozen=True)
class Fit:
    """A least-squares line and the standard error of its slope."""

    slope: float
    intercept: float
    slope_error: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size


@dataclass(frozen=True)
class Series:
    """One quantity measured at several sizes."""

    title: str
    size_name: str
    unit: str
    points: tuple[tuple[float, float], ...]
    target: float  # the size of two years from now

    def table(self) -> str:
        """Return the points, the fit and its value at the target."""
        line = fit(self.points)
        values = '  '.join(
            f'{size:g}: {value:.4g}' for size, value in self.points
        )
        error = 100 * line.slope_error / abs(line.slope) if line.slope else 0
        return (
            f'{self.title} [{self.unit}] by {self.size_name}\n'
            f'    {values}\n'
            f'    fit {line.intercept:.4g} + {line.slope:.4g} x, '
            f'slope error {error:.0f} %; '
            f'at {self.target:g}: {line.at(self.target):.4g}'
        )


def fit(points: Sequence[tuple[float, float]]) -> Fit:
    """Fit a line by least squares."""
    if len(points) < LEAST_POINTS:
        raise ValueError(f'{len(points)} sizes are too few for a slope')
    count = len(points)
    mean_x = sum(size for size, _ in points) / count
    mean_y = sum(value for _, value in points) / count
    spread = sum((size - mean_x) ** 2 for size, _ in points)
    slope = (
        sum((size - mean_x) * (value - mean_y) for size, value in points)
        / spread
    )
    intercept = mean_y - slope * mean_x
    residual = sum(
        (value - intercept - slope * size) ** 2 for size, value in points
    )
    slope_error = sqrt(residual / (count - 2) / spread)
    return Fit(slope, intercept, slope_error)
