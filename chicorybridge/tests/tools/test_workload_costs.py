"""Tests of the measured sizes of workload reports."""

from chicorybridge.tools.measurements.workload_costs import (
    measure_sizes,
    measure_totals_size,
)

# Relative distance of points from a line that fits well.
MAX_WORST_SHARE = 0.1


def test_reports_grow_linearly_with_targets():
    """Each target adds at least its ID; 16 targets fit one packet."""
    for slope in measure_sizes():
        assert slope.per_unit >= len('i-0123456789')
        assert slope.worst_share <= MAX_WORST_SHARE
        assert slope.estimate_at(16) < 1400


def test_sums_of_an_aggregator_grow_linearly_with_changed_targets():
    """The changes of one interval of a large zone fit one packet."""
    slope = measure_totals_size()
    assert slope.worst_share <= MAX_WORST_SHARE
    assert slope.estimate_at(8) < 1400
