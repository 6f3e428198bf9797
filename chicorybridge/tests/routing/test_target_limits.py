"""Shares of the hosts in the limit that a target names."""

import math

import pytest

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, ServiceId, TargetId
from chicorybridge.fleet.directories import TargetEntry
from chicorybridge.routing.target_limits import LimitSeen, TargetLimits
from chicorybridge.tests.routing.signs import (
    OTHER_ZONE_ID,
    ZONE_ID,
    build_limits,
    host_names,
)

HOST_ID = HostId('host')
TARGET_ID = TargetId('i-1')
NOW = Millis(100_000)
STEP_MS = 10
WINDOW_MS = 4000


def _entry(*, started_at_ms: int = 5) -> TargetEntry:
    return TargetEntry(
        target_id=TARGET_ID,
        row_version=1,
        service_id=ServiceId('quotes'),
        address='127.0.0.1:1',
        zone_id=ZONE_ID,
        slots=6,
        leaving=False,
        warming=False,
        started_at_ms=started_at_ms,
    )


def _seen(rate_per_s: float | None, *, started_at_ms: int = 5) -> LimitSeen:
    return LimitSeen(
        target_id=TARGET_ID,
        started_at_ms=started_at_ms,
        rate_per_s=rate_per_s,
    )


def _fleet(count: int) -> list[TargetLimits]:
    names = host_names(count)
    return [build_limits(name, set(names) - {name}) for name in names]


def _times_sent(fleet: list[TargetLimits], *, for_ms: int) -> list[Millis]:
    """Send from each host whenever it may; return when."""
    times = []
    for elapsed_ms in range(0, for_ms, STEP_MS):
        now = Millis(NOW + elapsed_ms)
        for limits in fleet:
            if limits.available_at(_entry(), now=now) <= now:
                limits.take(_entry(), now=now)
                times.append(now)
    return times


@pytest.mark.parametrize('count', [1, 3, 44, 433])
@pytest.mark.parametrize('rate_per_s', [0, 0.5, 3, 7.5, 1000])
def test_all_hosts_together_keep_to_the_limit(count, rate_per_s):
    fleet = _fleet(count)
    for limits in fleet:
        limits.record(_seen(rate_per_s), now=NOW)
    times = _times_sent(fleet, for_ms=2 * WINDOW_MS)
    rate = max(rate_per_s, settings.MIN_LIMIT_PER_S)
    for started_at in times:
        window = [time for time in times if 0 <= time - started_at < WINDOW_MS]
        most_ms = WINDOW_MS + settings.LIMIT_SLOT_TTL_MS
        assert len(window) <= rate * most_ms / 1000 + 1


@pytest.mark.parametrize('count', [1, 3, 44])
def test_hosts_in_demand_use_the_limit(count):
    fleet = _fleet(count)
    for limits in fleet:
        limits.record(_seen(6), now=NOW)
    sent = len(_times_sent(fleet, for_ms=10_000))
    assert sent >= 6 * 10 * 0.8


def test_slots_that_were_not_used_expire():
    fleet = _fleet(44)
    for host in fleet:
        host.record(_seen(6), now=NOW)
        host.available_at(_entry(), now=NOW)
    idle_ms = 60_000
    now = Millis(NOW + idle_ms)
    ready = [limits.available_at(_entry(), now=now) <= now for limits in fleet]
    assert sum(ready) <= 6 + 1


def test_some_hosts_of_a_large_region_take_turns():
    fleet = _fleet(100)
    for host in fleet:
        host.record(_seen(2), now=NOW)
    times = [limits.available_at(_entry(), now=NOW) for limits in fleet]
    assert sum(time < math.inf for time in times) == 32


def test_limit_ends_when_the_target_names_none_or_restarts():
    limits = build_limits(HOST_ID)
    assert limits.record(_seen(0), now=NOW)
    assert limits.available_at(_entry(), now=NOW) > NOW
    assert limits.available_at(_entry(started_at_ms=6), now=NOW) == NOW
    assert limits.record(_seen(None), now=NOW)
    assert limits.available_at(_entry(), now=NOW) == NOW
    assert not limits.record(_seen(None), now=NOW)


def test_only_a_notable_change_of_the_limit_is_news():
    limits = build_limits(HOST_ID)
    assert limits.record(_seen(10), now=NOW)
    assert not limits.record(_seen(10.5), now=NOW)
    assert limits.record(_seen(5), now=NOW)
    assert not limits.record(_seen(10, started_at_ms=4), now=NOW)


def test_stopping_host_takes_no_share():
    own, other = host_names(2)
    limits = build_limits(own, [other], is_serving=False)
    limits.record(_seen(100), now=NOW)
    assert limits.available_at(_entry(), now=NOW) == math.inf


@pytest.mark.parametrize('near_hosts', [0, 3])
def test_host_of_another_region_takes_a_share_only_if_none_is_near(near_hosts):
    limits = build_limits(
        HOST_ID, host_names(near_hosts), zone_id=OTHER_ZONE_ID
    )
    limits.record(_seen(100), now=NOW)
    has_share = limits.available_at(_entry(), now=NOW) < math.inf
    assert has_share is (near_hosts == 0)
