"""Planned stops of host programs under load, drawn from seeds."""

import os
from types import MappingProxyType

import pytest

from chicorybridge.tests.stops.runs import run_seed

# Environment variable with the seeds of the long run, as FIRST-LAST.
SEEDS_VARIABLE = 'CHICORYBRIDGE_STOP_SEEDS'
DEFAULT_LONG_SEEDS = '200-219'
# The fault that each seed guards against.
FAULTS_BY_SEED = MappingProxyType(
    {
        12: 'three hosts reset unfinished answers at the end of their stops',
        16: 'the idle timeout reset unfinished answers',
        20: 'the end of a stop reset unfinished answers',
        22: 'a shorter idle timeout reset unfinished answers',
        25: 'the same as 22, on three hosts that stop one after the other',
    }
)


def _long_seeds() -> range:
    first, _, last = os.environ.get(
        SEEDS_VARIABLE, DEFAULT_LONG_SEEDS
    ).partition('-')
    return range(int(first), int(last or first) + 1)


@pytest.mark.parametrize('seed', FAULTS_BY_SEED)
def test_no_request_is_lost_around_a_planned_stop(seed, tmp_path):
    report = run_seed(seed, tmp_path)
    assert not report.breaches, str(report)


@pytest.mark.long
@pytest.mark.parametrize('seed', _long_seeds())
def test_no_request_is_lost_around_many_stops(seed, tmp_path):
    """Run the same check over the seeds of the environment variable."""
    report = run_seed(seed, tmp_path)
    assert not report.breaches, str(report)
