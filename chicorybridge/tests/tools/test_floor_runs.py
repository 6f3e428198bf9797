"""Tests of the floor under random faults, with fixed seeds."""

import pytest

from chicorybridge.common.errors import PromiseError
from chicorybridge.fleet.freshness import Freshness
from chicorybridge.tools.simulations.floor_runs import FloorRun

MINUTE_MS = 60_000


@pytest.mark.parametrize('seed', [1, 2])
def test_floor_holds_under_random_faults(seed):
    """The slots out at all entries together fit the budget."""
    floor_run = FloorRun(seed=seed)
    floor_run.run(for_ms=MINUTE_MS)
    assert floor_run.max_ejected_slots > 0


def _fails_somewhere(seeds):
    for seed in seeds:
        try:
            FloorRun(seed=seed).run(for_ms=2 * MINUTE_MS)
        except PromiseError:
            return True
    return False


@pytest.mark.long
def test_check_catches_announcements_honoured_while_stale(monkeypatch):
    """Without the bound by echo, a paused host's ejections stay."""
    record = Freshness.record

    def take_as_fresh(self, stamp, *, sender, now):  # noqa: WPS430
        record(self, stamp, sender=sender, now=now)
        return now + 10 * MINUTE_MS

    monkeypatch.setattr(Freshness, 'record', take_as_fresh)
    assert _fails_somewhere(range(10))


@pytest.mark.long
@pytest.mark.parametrize('seed', range(10, 20))
def test_floor_holds_for_long(seed):
    """The same, longer and over more seeds."""
    FloorRun(seed=seed).run(for_ms=30 * MINUTE_MS)
