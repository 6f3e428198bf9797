"""The schedule of store reads, and outages of the store."""

import random

import pytest

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId
from chicorybridge.fleet.store_reads import (
    OutageMonitor,
    ReadSchedule,
    rank_of_reader,
)

START = Millis(1_000_000)
LIMIT_MS = 3000


def _schedule() -> ReadSchedule:
    schedule = ReadSchedule(rng=random.Random(1), spread_limit_ms=LIMIT_MS)
    schedule.record_success(started_at=START)
    return schedule


def test_first_host_reads_at_every_interval():
    schedule = _schedule()
    due_at = Millis(START + LIMIT_MS * settings.READ_INTERVAL_SHARE)
    assert not schedule.is_due(rank=0, hosts=8, now=Millis(due_at - 1))
    assert schedule.is_due(rank=0, hosts=8, now=due_at)


def test_other_hosts_take_over_in_order_of_rank():
    schedule = _schedule()
    share = settings.READ_STALE_SHARE + settings.READ_RANK_STEP_SHARE
    late = Millis(START + LIMIT_MS * share)
    assert schedule.is_due(rank=1, hosts=8, now=late)
    assert not schedule.is_due(rank=2, hosts=8, now=late)


def _due_after_ms(rank: int, hosts: int) -> float:
    schedule = _schedule()
    now = START
    while not schedule.is_due(rank=rank, hosts=hosts, now=now):
        now = Millis(now + 1)
    return now - START


def test_hosts_of_a_large_region_do_not_take_over_all_at_once():
    ages_ms = [_due_after_ms(rank, 60) for rank in range(60)]
    assert ages_ms == sorted(ages_ms)
    assert len(set(ages_ms)) == 60


@pytest.mark.parametrize('hosts', [3, 60, 1300])
def test_last_host_takes_over_long_before_the_limit(hosts):
    latest_ms = LIMIT_MS * settings.READ_LATEST_SHARE
    assert _due_after_ms(hosts - 1, hosts) <= latest_ms


ORDER = tuple(HostId(f'edge-{number}') for number in range(3))


def _ranks(schedule: ReadSchedule, now: Millis) -> list[int]:
    return [
        rank_of_reader(schedule, host_id=host_id, order=ORDER, now=now)
        for host_id in ORDER
    ]


def test_reader_whose_read_failed_is_the_last_for_a_while():
    schedule = _schedule()
    schedule.record_remote_failure(ORDER[0], at=START)
    assert _ranks(schedule, START) == [2, 0, 1]
    later = Millis(START + settings.FAILED_READER_MS)
    assert _ranks(schedule, later) == [0, 1, 2]


def test_host_that_failed_to_read_ranks_itself_last_until_it_reads():
    schedule = _schedule()
    schedule.record_failure(hosts=3, now=START)
    assert _ranks(schedule, START) == [2, 2, 2]
    schedule.record_success(started_at=START)
    assert _ranks(schedule, START) == [0, 1, 2]


def test_recent_read_by_another_host_delays_own_read():
    schedule = _schedule()
    now = Millis(START + LIMIT_MS * settings.READ_STALE_SHARE)
    schedule.record_remote_read(age_ms=100, now=now)
    assert schedule.age_ms(now=now) == 100
    assert not schedule.is_due(rank=6, hosts=8, now=Millis(now + 1000))


def _pauses_ms(*, hosts: int) -> list[float]:
    schedule = _schedule()
    now = Millis(START + 10_000)
    pauses = []
    for _ in range(6):
        schedule.record_failure(hosts=hosts, now=now)
        began = now
        while not schedule.is_due(rank=0, hosts=hosts, now=now):
            now = Millis(now + 10)
        pauses.append(now - began)
    return pauses


def test_reads_back_off_after_failures():
    pauses = _pauses_ms(hosts=30)
    assert pauses[0] < pauses[-1]


def test_few_hosts_keep_trying_to_read_after_failures():
    assert max(_pauses_ms(hosts=3)) <= 2 * settings.MIN_READ_BACKOFF_MS + 10


OUTAGE_AGE_MS = settings.TARGET_HEARTBEAT_MS * settings.STORE_OUTAGE_HEARTBEATS


def test_removed_target_is_gone_while_the_store_works():
    outages = OutageMonitor()
    outages.observe_age(age_ms=settings.NEVER_READ_AGE_MS, now=START)
    outages.observe_age(age_ms=0, now=START)
    assert not outages.may_have_expired(now=START)


def test_removed_target_may_return_for_a_while_after_an_outage():
    outages = OutageMonitor()
    outages.observe_age(age_ms=OUTAGE_AGE_MS + 1, now=START)
    assert outages.may_have_expired(now=START)
    outages.observe_age(age_ms=0, now=START)
    assert outages.may_have_expired(now=START)
    later = Millis(START + settings.OUTAGE_RECOVERY_MS)
    assert not outages.may_have_expired(now=later)


def test_host_that_alone_fails_to_read_sees_no_outage():
    """Other hosts read the store meanwhile, so no entry has expired."""
    outages = OutageMonitor()
    for step in range(100):
        outages.observe_age(
            age_ms=step % 9 * 200, now=Millis(START + step * 100)
        )
        assert not outages.may_have_expired(now=Millis(START + step * 100))


def test_outage_ends_when_any_host_reads_the_store():
    outages = OutageMonitor()
    outages.observe_age(age_ms=OUTAGE_AGE_MS + 1, now=START)
    outages.observe_age(age_ms=500, now=START)
    released_at = Millis(START - 500 + settings.OUTAGE_RECOVERY_MS)
    assert outages.may_have_expired(now=Millis(released_at - 1))
    assert not outages.may_have_expired(now=released_at)


def test_hosts_that_take_over_do_not_see_an_outage():
    assert _due_after_ms(59, 60) < OUTAGE_AGE_MS
