"""Tests of lines through measured points."""

import pytest

from chicorybridge.tools.measurements.slopes import fit


def _fit(*points):
    return fit('state', unit='bytes', size_unit='targets', points=points)


def test_line_through_points_reaches_other_sizes():
    """The slope and the fixed part are found; a straight line fits."""
    slope = _fit((1, 12), (2, 14), (10, 30))
    assert slope.at(1000) == pytest.approx(2010)
    assert slope.worst_share == pytest.approx(0)


def test_a_curve_shows_as_distance_from_the_line():
    """A figure that does not grow evenly is told."""
    assert _fit((1, 1), (10, 100), (100, 10_000)).worst_share > 1


def test_two_points_are_too_few():
    """Any two points lie on a line."""
    with pytest.raises(ValueError, match='points'):
        _fit((1, 1), (2, 2))
