"""Tests of the floor under random faults with fixed seeds."""

import pytest

from chicorybridge.common.errors import PromiseError
from chicorybridge.fleet.freshness import Freshness
from chicorybridge.tools.simulations.floor_runs import FloorRun

MINUTE_MS = 60_000


@pytest.mark.parametrize('seed', [1, 2])
def test_floor_holds_under_random_faults(seed):
    """The slots ejected at all entries together fit the budget."""
    floor_run = FloorRun(seed=seed)
    floor_run.run(for_ms=MINUTE_MS)
    assert floor_run.max_ejected_slots > 0


def _any_run_fails(seeds):
    for seed in seeds:
        try:
            FloorRun(seed=seed).run(for_ms=2 * MINUTE_MS)
        except PromiseError:
            return True
    return False


@pytest.mark.long
def test_check_detects_stale_announcements_that_are_applied(monkeypatch):
    """Ejections of a paused host stay if announcements do not expire."""
    record = Freshness.record

    def record_as_fresh(self, stamp, *, sender, now):  # noqa: WPS430
        record(self, stamp, sender=sender, now=now)
        return now + 10 * MINUTE_MS

    monkeypatch.setattr(Freshness, 'record', record_as_fresh)
    assert _any_run_fails(range(10))


@pytest.mark.long
@pytest.mark.parametrize('seed', range(10, 20))
def test_floor_holds_for_long(seed):
    """The floor holds in longer runs with more seeds."""
    FloorRun(seed=seed).run(for_ms=30 * MINUTE_MS)
