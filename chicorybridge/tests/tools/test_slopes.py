"""Tests of linear fits of measured costs."""

import pytest

from chicorybridge.tools.measurements.slopes import fit


def _fit(*points):
    return fit('state', unit='bytes', size_unit='targets', points=points)


def test_fit_estimates_other_sizes():
    """The fit finds slope and intercept of exact points."""
    slope = _fit((1, 12), (2, 14), (10, 30))
    assert slope.estimate_at(1000) == pytest.approx(2010)
    assert slope.worst_share == pytest.approx(0)


def test_nonlinear_cost_has_large_distance_from_the_line():
    """A cost that does not grow linearly has a large `worst_share`."""
    assert _fit((1, 1), (10, 100), (100, 10_000)).worst_share > 1


def test_two_points_are_too_few():
    """Two points are refused: they always fit a line exactly."""
    with pytest.raises(ValueError, match='points'):
        _fit((1, 1), (2, 2))
