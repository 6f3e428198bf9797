"""What targets say in answers, and how long it holds."""

import pytest

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import ServiceId, TargetId, ZoneId
from chicorybridge.fleet.directories import (
    TargetDirectory,
    TargetEntry,
    TargetsChanged,
)
from chicorybridge.routing.target_signs import LeavingSeen
from chicorybridge.tests.routing.signs import build_signs

TARGET_ID = TargetId('i-1')
NOW = Millis(1000)
LATER = Millis(NOW + settings.TARGET_SIGN_TTL_MS + 1)
SEEN = LeavingSeen(target_id=TARGET_ID, started_at_ms=5)


def _entry(*, started_at_ms: int = 5) -> TargetEntry:
    return TargetEntry(
        target_id=TARGET_ID,
        row_version=1,
        service_id=ServiceId('quotes'),
        address='127.0.0.1:1',
        zone_id=ZoneId('groningen'),
        slots=6,
        leaving=False,
        warming=False,
        started_at_ms=started_at_ms,
    )


@pytest.fixture(name='directory')
def _directory() -> TargetDirectory:
    return TargetDirectory()


@pytest.fixture(name='signs')
def _signs(directory):
    return build_signs(directory)


def test_sign_holds_for_the_start_of_the_target_that_gave_it(signs):
    assert signs.record(SEEN, now=NOW)
    assert not signs.record(SEEN, now=NOW)
    assert signs.is_leaving(_entry())
    assert not signs.is_leaving(_entry(started_at_ms=6))


def test_late_sign_of_an_earlier_start_changes_nothing(signs):
    signs.record(LeavingSeen(target_id=TARGET_ID, started_at_ms=7), now=NOW)
    assert not signs.record(SEEN, now=NOW)
    assert signs.is_leaving(_entry(started_at_ms=7))


def test_sign_of_a_listed_target_does_not_expire(signs, directory):
    signs.record(SEEN, now=NOW)
    directory.merge(TargetsChanged(store_version=1, entries=(_entry(),)))
    signs.expire(now=LATER)
    assert signs.is_leaving(_entry())


def test_sign_of_a_target_that_is_gone_is_dropped_at_last(signs):
    signs.record(SEEN, now=NOW)
    signs.expire(now=Millis(LATER - 1))
    assert signs.is_leaving(_entry())
    signs.expire(now=LATER)
    assert not signs.is_leaving(_entry())


def test_pause_binds_until_it_ends_or_the_target_restarts(signs):
    signs.record_pause(_entry(), pause_ms=500, now=NOW)
    signs.record_pause(_entry(), pause_ms=100, now=NOW)
    assert signs.paused_until(_entry()) == NOW + 500
    assert signs.paused_until(_entry(started_at_ms=6)) < NOW
    signs.expire(now=Millis(NOW + 499))
    assert signs.paused_until(_entry()) == NOW + 500
    signs.expire(now=Millis(NOW + 500))
    assert signs.paused_until(_entry()) < NOW


def test_huge_pause_ends_at_last(signs):
    signs.record_pause(_entry(), pause_ms=1e18, now=NOW)
    ends_at = NOW + settings.MAX_TARGET_PAUSE_MS
    assert signs.paused_until(_entry()) == ends_at
