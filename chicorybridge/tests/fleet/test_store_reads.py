"""The schedule of store reads, and removals after a store outage."""

import random

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import TargetId, Version
from chicorybridge.fleet.directories import TargetsChanged
from chicorybridge.fleet.store_reads import (
    ReadSchedule,
    RemovalDelay,
    StoreMark,
)

TARGET_ID = TargetId('i-1')
START = Millis(1_000_000)
LIMIT_MS = 3000


def _schedule() -> ReadSchedule:
    schedule = ReadSchedule(rng=random.Random(1), spread_limit_ms=LIMIT_MS)
    schedule.record_success(started_at=START)
    return schedule


def test_first_host_reads_at_every_interval():
    schedule = _schedule()
    due_at = Millis(START + LIMIT_MS * settings.READ_INTERVAL_SHARE)
    assert not schedule.is_due(rank=0, now=Millis(due_at - 1))
    assert schedule.is_due(rank=0, now=due_at)


def test_other_hosts_take_over_in_order_of_rank():
    schedule = _schedule()
    share = settings.READ_STALE_SHARE + settings.READ_RANK_STEP_SHARE
    late = Millis(START + LIMIT_MS * share)
    assert schedule.is_due(rank=1, now=late)
    assert not schedule.is_due(rank=2, now=late)


def test_recent_read_by_another_host_delays_own_read():
    schedule = _schedule()
    now = Millis(START + LIMIT_MS * settings.READ_STALE_SHARE)
    mark = StoreMark(
        store_version=1,
        targets_digest=0,
        configuration_version=Version(1),
        age_ms=100,
    )
    schedule.record_remote_read(mark, now=now)
    assert schedule.age_ms(now=now) == 100
    assert not schedule.is_due(rank=6, now=Millis(now + 1000))


def test_reads_back_off_after_failures():
    schedule = _schedule()
    now = Millis(START + 10_000)
    pauses = []
    for _ in range(4):
        schedule.record_failure(now=now)
        began = now
        while not schedule.is_due(rank=0, now=now):
            now = Millis(now + 10)
        pauses.append(now - began)
    assert pauses[0] < pauses[-1]


def _removed(version: int) -> TargetsChanged:
    return TargetsChanged(store_version=version, removed=(TARGET_ID,))


def test_removal_applies_at_once_while_the_store_works():
    delay = RemovalDelay()
    delay.observe_age(age_ms=settings.NEVER_READ_AGE_MS, now=START)
    delay.observe_age(age_ms=0, now=START)
    assert delay.filter_removals(_removed(5), now=START).removed == (TARGET_ID,)


def test_removal_is_held_until_targets_can_return_after_outage():
    delay = RemovalDelay()
    delay.observe_age(age_ms=settings.STORE_OUTAGE_AGE_MS + 1, now=START)
    assert not delay.filter_removals(_removed(5), now=START).removed
    delay.observe_age(age_ms=0, now=START)
    assert not delay.filter_removals(_removed(5), now=START).removed
    later = Millis(START + settings.OUTAGE_RECOVERY_MS)
    nothing = TargetsChanged(store_version=6)
    assert delay.filter_removals(nothing, now=later).removed == (TARGET_ID,)


def test_host_that_alone_fails_to_read_applies_removals():
    """Other hosts read the store meanwhile, so no entry has expired."""
    delay = RemovalDelay()
    for step in range(100):
        delay.observe_age(age_ms=step % 9 * 200, now=Millis(START + step * 100))
    now = Millis(START + 10_000)
    assert not delay.is_holding(now=now)
    assert delay.filter_removals(_removed(5), now=now).removed == (TARGET_ID,)


def test_outage_ends_when_any_host_reads_the_store():
    delay = RemovalDelay()
    delay.observe_age(age_ms=settings.STORE_OUTAGE_AGE_MS + 1, now=START)
    delay.observe_age(age_ms=500, now=START)
    release_at = Millis(START - 500 + settings.OUTAGE_RECOVERY_MS)
    assert delay.is_holding(now=Millis(release_at - 1))
    assert not delay.is_holding(now=release_at)
