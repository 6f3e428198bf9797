"""Tests of the measurement of reports between hosts."""

from chicorybridge.tools.measurements.workload_costs import measure_sizes

# Of a line through points that are nearly on it.
WORST_SHARE = 0.1


def test_reports_grow_by_the_targets_that_they_name():
    """A datagram names each target once and fits a packet."""
    for slope in measure_sizes():
        assert slope.per_unit >= len('i-0123456789')
        assert slope.worst_share <= WORST_SHARE
        assert slope.at(16) < 1400
