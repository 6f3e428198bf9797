"""Randomised simulations of a fleet; the long ones run by command."""

import pytest

from chicorybridge import settings
from chicorybridge.common.errors import PromiseError
from chicorybridge.tools.simulations.fleetruns import FleetRun

LONG_SEEDS = range(100, 120)


@pytest.mark.parametrize('seed', [1, 2])
def test_promises_hold_in_short_runs(seed):
    """The fleet agrees on the newest version after two minutes of faults."""
    report = FleetRun(seed=seed, size=6).run(minutes=2)
    assert report.accepted == report.versions


def test_runs_detect_hosts_excused_too_soon(monkeypatch):
    """A fleet that excuses silent hosts at once breaks the promise."""
    monkeypatch.setattr(settings, 'MAX_EXCUSED_SHARE', 1)
    monkeypatch.setattr(settings, 'EXCUSE_AFTER_MS', 0)
    with pytest.raises(PromiseError):
        FleetRun(seed=1, size=8).run(minutes=5)


@pytest.mark.long
@pytest.mark.parametrize('seed', LONG_SEEDS)
def test_promises_hold_in_long_runs(seed):
    """Promises hold during an hour of faults with twelve hosts."""
    FleetRun(seed=seed, size=12).run(minutes=60)
