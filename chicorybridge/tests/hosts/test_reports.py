"""What a host tells others of its requests."""

from typing import Any

import pytest

from chicorybridge import settings
from chicorybridge.common.clocks import ManualClock
from chicorybridge.common.identities import TargetId, ZoneId
from chicorybridge.hosts.reports import Reporter
from chicorybridge.routing.reputations import (
    ReputationTable,
    Sign,
    TargetSeen,
)
from chicorybridge.routing.workloads import HostWorkload, WorkloadTable

ONE = TargetId('i-1')


class Heard:
    """What a host knows, and what others hear of it."""

    def __init__(self) -> None:
        """Start with nothing said."""
        self.workloads = WorkloadTable(zone_id=ZoneId('groningen'))
        self.reputations = ReputationTable()
        self.zone: list[Any] = []
        self.others: list[Any] = []
        self.tell_zone = self.zone.append
        self.tell_other_zones = self.others.append


@pytest.fixture(name='clock')
def _clock() -> ManualClock:
    return ManualClock(start=10_000)


@pytest.fixture(name='heard')
def _heard() -> Heard:
    return Heard()


@pytest.fixture(name='reporter')
def _reporter(clock, heard) -> Reporter:
    return Reporter(clock=clock, knowledge=heard, voice=heard)


def _seen(sign: Sign) -> TargetSeen:
    return TargetSeen(target_id=ONE, sign=sign)


def test_changes_of_one_moment_go_out_together(clock, heard, reporter):
    reporter.started(ONE)
    reporter.flush()
    reporter.finished(ONE)
    reporter.observe(_seen(Sign.answered))
    reporter.started(ONE)
    reporter.flush()
    reporter.flush()
    assert heard.zone == [
        HostWorkload(sent_at=clock.now(), in_flight_by_id={ONE: 1}),
        HostWorkload(
            sent_at=clock.now(),
            in_flight_by_id={ONE: 1},
            seen=(_seen(Sign.answered),),
        ),
    ]


def test_other_zones_hear_at_once_of_failures_only(heard, reporter):
    reporter.observe(_seen(Sign.answered))
    reporter.observe(_seen(Sign.broke))
    reporter.flush()
    assert heard.others == [_seen(Sign.broke)]


def test_requests_under_way_are_told_again(clock, heard, reporter):
    reporter.started(ONE)
    reporter.flush()
    reporter.repeat()
    assert len(heard.zone) == 1
    clock.advance(by_ms=settings.WORKLOAD_REPEAT_MS)
    reporter.repeat()
    assert len(heard.zone) == 2
    reporter.finished(ONE)
    reporter.flush()
    clock.advance(by_ms=settings.WORKLOAD_REPEAT_MS)
    reporter.repeat()
    assert len(heard.zone) == 3
