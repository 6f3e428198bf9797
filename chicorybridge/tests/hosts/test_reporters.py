"""What a host tells others of its requests."""

from types import SimpleNamespace
from typing import Any

import pytest

from chicorybridge import settings
from chicorybridge.common.clocks import ManualClock
from chicorybridge.common.identities import ServiceId, TargetId, ZoneId
from chicorybridge.fleet.directories import (
    TargetDirectory,
    TargetEntry,
    TargetsChanged,
)
from chicorybridge.hosts.reporters import Reporter
from chicorybridge.routing.reputations import (
    ReputationTable,
    Sign,
    TargetSeen,
)
from chicorybridge.routing.workloads import (
    HostWorkload,
    WorkloadTable,
    ZoneWorkload,
)

ONE = TargetId('i-1')
HERE = ZoneId('groningen')


class Heard:
    """What a host knows, and what others hear of it."""

    def __init__(self) -> None:
        """Start with nothing said, as the first host of its zone."""
        self.workloads = WorkloadTable(zone_id=HERE)
        self.reputations = ReputationTable()
        self.directory = TargetDirectory()
        self.host_table = SimpleNamespace(zone_id=HERE, zone_rank=self._rank)
        self.to_forward: list[Any] = []
        self.rank = 0
        self.zone: list[Any] = []
        self.others: list[Any] = []
        self.far: list[Any] = []
        self.send_to_zone = self.zone.append
        self.send_to_other_zones = self.others.append
        self.send_to_other_regions = self.far.append

    def _rank(self) -> int:
        return self.rank


@pytest.fixture(name='clock')
def _clock() -> ManualClock:
    return ManualClock(start=10_000)


@pytest.fixture(name='heard')
def _heard() -> Heard:
    return Heard()


@pytest.fixture(name='reporter')
def _reporter(clock, heard) -> Reporter:
    return Reporter(clock=clock, fleet_view=heard, announcer=heard)


def _seen(sign: Sign) -> TargetSeen:
    return TargetSeen(target_id=ONE, sign=sign)


def test_changes_of_one_moment_go_out_together(clock, heard, reporter):
    reporter.attempt_started(ONE)
    reporter.flush()
    reporter.attempt_finished(ONE)
    reporter.record(_seen(Sign.answered))
    reporter.attempt_started(ONE)
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
    reporter.record(_seen(Sign.answered))
    reporter.record(_seen(Sign.broke))
    reporter.flush()
    assert heard.others == [_seen(Sign.broke)]


def test_requests_under_way_are_told_again(clock, heard, reporter):
    reporter.attempt_started(ONE)
    reporter.flush()
    reporter.repeat_if_due()
    assert len(heard.zone) == 1
    clock.advance(by_ms=settings.WORKLOAD_REPEAT_MS)
    reporter.repeat_if_due()
    assert len(heard.zone) == 2
    reporter.attempt_finished(ONE)
    reporter.flush()
    clock.advance(by_ms=settings.WORKLOAD_REPEAT_MS)
    reporter.repeat_if_due()
    assert len(heard.zone) == 3


def _list_target(directory: TargetDirectory) -> None:
    entry = TargetEntry(
        target_id=ONE,
        row_version=1,
        service_id=ServiceId('quotes'),
        address='127.0.0.1:1',
        zone_id=HERE,
        slots=6,
        leaving=False,
        warming=False,
        started_at_ms=1,
    )
    directory.merge(TargetsChanged(store_version=1, entries=(entry,)))


def test_first_host_tells_other_regions_how_its_targets_do(
    clock, heard, reporter
):
    _list_target(heard.directory)
    reporter.attempt_started(ONE)
    reporter.record(_seen(Sign.broke))
    reporter.send_summaries()
    told = heard.far.pop()
    assert told.in_flight_by_id == {ONE: 1}
    assert told.soundness_by_id[ONE] < settings.EXPLORED_SOUNDNESS
    reporter.send_summaries()
    # Within the region the sum goes out more often.
    assert (len(heard.others), heard.far) == (2, [])
    clock.advance(by_ms=settings.FAR_SUM_MS)
    reporter.send_summaries()
    assert heard.far


def test_other_hosts_of_the_zone_leave_the_sum_to_the_first(heard, reporter):
    heard.rank = 1
    reporter.attempt_started(ONE)
    reporter.send_summaries()
    assert not heard.others


def test_word_of_another_region_is_passed_on_in_the_zone(heard, reporter):
    heard.rank = 1
    message = ZoneWorkload(
        zone_id=ZoneId('eindhoven'), sent_at=1, in_flight_by_id={ONE: 2}
    )
    heard.to_forward.append(message)
    reporter.send_summaries()
    reporter.send_summaries()
    assert heard.zone == [message]
