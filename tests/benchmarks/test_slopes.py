"""Tests of the least-squares line through measured points."""

import pytest

from tests.benchmarks.slopes import fit_line


def test_a_straight_line_is_found_without_error() -> None:
    line = fit_line([(size, 3 + 2 * size) for size in (1, 2, 5, 9)])

    assert line.value_at(100) == pytest.approx(203)
    assert line.slope_error == pytest.approx(0)


def test_scatter_shows_as_an_error_of_the_slope() -> None:
    line = fit_line([(1, 1), (2, 3), (3, 2), (4, 5)])

    assert line.slope == pytest.approx(1.1)
    # Residuals -0.1, 0.8, -1.3 and 0.6 give sqrt(2.7 / 2 / 5): 2 degrees of
    # freedom, and 5 is the sum of the squared deviations of the sizes.
    assert line.slope_error == pytest.approx(0.5196, abs=0.0001)


def test_three_sizes_are_too_few() -> None:
    with pytest.raises(ValueError, match='too few'):
        fit_line([(1, 1), (2, 2), (3, 3)])
