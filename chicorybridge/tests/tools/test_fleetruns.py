"""Randomised runs of the fleet: few and short here, long by command."""

import pytest

from chicorybridge import settings
from chicorybridge.common.errors import PromiseError
from chicorybridge.tools.simulations.fleetruns import FleetRun

LONG_SEEDS = range(100, 120)


@pytest.mark.parametrize('seed', [1, 2])
def test_promises_hold_in_short_runs(seed):
    """Two minutes of faults, then a fleet that agrees."""
    report = FleetRun(seed=seed, size=6).run(minutes=2)
    assert report.accepted == report.versions


def test_runs_catch_hosts_excused_too_soon(monkeypatch):
    """A fleet that excuses any silent host breaks the promise."""
    monkeypatch.setattr(settings, 'MAX_EXCUSED_SHARE', 1)
    monkeypatch.setattr(settings, 'EXCUSE_AFTER_MS', 0)
    with pytest.raises(PromiseError):
        FleetRun(seed=1, size=8).run(minutes=5)


@pytest.mark.long
@pytest.mark.parametrize('seed', LONG_SEEDS)
def test_promises_hold_in_long_runs(seed):
    """An hour of faults with twelve hosts."""
    FleetRun(seed=seed, size=12).run(minutes=60)
