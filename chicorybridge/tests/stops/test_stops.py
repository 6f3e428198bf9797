"""Planned stops of host programs under load, as seeds say."""

import os
from types import MappingProxyType

import pytest

from chicorybridge.tests.stops.runs import run_seed

# Seeds to run, as FIRST-LAST.
SEEDS_VARIABLE = 'CHICORYBRIDGE_STOP_SEEDS'
LONG_SEEDS = '200-219'
CAUSES_BY_SEED = MappingProxyType(
    {
        12: 'the end of the stops of three hosts reset answers on the way',
        16: 'the idle limit reset answers on the way',
        20: 'the end of a stop reset answers on the way',
        22: 'a shorter idle limit reset answers on the way',
        25: 'the same on three hosts that stop one after the other',
    }
)


def _long_seeds() -> range:
    first, _, last = os.environ.get(SEEDS_VARIABLE, LONG_SEEDS).partition('-')
    return range(int(first), int(last or first) + 1)


@pytest.mark.parametrize('seed', CAUSES_BY_SEED)
def test_no_request_is_lost_around_a_planned_stop(seed, tmp_path):
    report = run_seed(seed, tmp_path)
    assert not report.breaches, str(report)


@pytest.mark.long
@pytest.mark.parametrize('seed', _long_seeds())
def test_no_request_is_lost_around_many_stops(seed, tmp_path):
    """The same over as many seeds as asked for."""
    report = run_seed(seed, tmp_path)
    assert not report.breaches, str(report)
