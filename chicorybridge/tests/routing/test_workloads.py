"""Requests under way at targets, from the reports of hosts."""

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import pack, unpack
from chicorybridge.common.identities import HostId, TargetId, ZoneId
from chicorybridge.routing.reputations import Sign, TargetSeen
from chicorybridge.routing.workloads import (
    HostWorkload,
    WorkloadTable,
    ZoneWorkload,
)

ONE = TargetId('i-1')
TWO = TargetId('i-2')
NEAR = HostId('edge-1')
OTHER = HostId('edge-2')
HERE = ZoneId('groningen')
THERE = ZoneId('leeuwarden')
NOW = Millis(1000)


def _report(sent_at: float, **in_flight: int) -> HostWorkload:
    counts = {
        TargetId(name.replace('_', '-')): count
        for name, count in in_flight.items()
    }
    return HostWorkload(sent_at=sent_at, in_flight_by_id=counts)


def test_attempts_of_all_hosts_add_up():
    table = WorkloadTable(zone_id=HERE)
    table.started(ONE)
    table.hear(NEAR, _report(1, i_1=2, i_2=1), now=NOW)
    table.hear(OTHER, _report(1, i_1=3), now=NOW)
    assert table.at(ONE) == 6
    assert table.at(TWO) == 1


def test_later_report_replaces_the_earlier_one_of_its_host():
    table = WorkloadTable(zone_id=HERE)
    table.hear(NEAR, _report(5, i_1=2), now=NOW)
    table.hear(NEAR, _report(6, i_2=1), now=NOW)
    # Overtaken on its way.
    table.hear(NEAR, _report(5.5, i_1=4), now=NOW)
    assert table.at(ONE) == 0
    assert table.at(TWO) == 1


def test_silent_host_has_nothing_under_way():
    table = WorkloadTable(zone_id=HERE)
    table.hear(NEAR, _report(5, i_1=2), now=NOW)
    later = Millis(NOW + settings.WORKLOAD_TIMEOUT_MS + 1)
    table.expire(now=later)
    assert table.at(ONE) == 0


def test_host_that_starts_anew_is_heard_though_its_clock_began_again():
    table = WorkloadTable(zone_id=HERE)
    table.hear(NEAR, _report(9000, i_1=2), now=NOW)
    later = Millis(NOW + settings.WORKLOAD_TIMEOUT_MS + 1)
    table.expire(now=later)
    table.hear(NEAR, _report(10, i_2=1), now=later)
    assert table.at(TWO) == 1


def test_attempt_that_ended_is_counted_off():
    table = WorkloadTable(zone_id=HERE)
    table.started(ONE)
    table.finished(ONE)
    table.finished(ONE)
    assert table.at(ONE) == 0
    assert not table.report(now=NOW).in_flight_by_id


def test_other_zone_is_told_the_sum_and_its_word_grows_old():
    table = WorkloadTable(zone_id=HERE)
    other = WorkloadTable(zone_id=THERE)
    seen = TargetSeen(target_id=ONE, sign=Sign.answered, latency_ms=20)
    table.started(ONE)
    table.hear(NEAR, _report(1, i_1=2, i_2=1), now=NOW)
    table.answered(seen)
    summary = unpack(pack(table.sum_up(now=NOW)))
    assert summary == ZoneWorkload(
        zone_id=HERE,
        sent_at=NOW,
        in_flight_by_id={ONE: 3, TWO: 1},
        seen=(seen,),
    )
    assert not table.sum_up(now=NOW).seen
    other.hear_zone(summary, now=NOW)
    assert other.at(ONE) == 3
    other.expire(now=Millis(NOW + settings.ZONE_WORKLOAD_TIMEOUT_MS + 1))
    assert other.at(ONE) == 0


def test_requests_of_other_zones_are_not_told_again():
    table = WorkloadTable(zone_id=HERE)
    table.hear_zone(
        ZoneWorkload(zone_id=THERE, sent_at=1, in_flight_by_id={ONE: 4}),
        now=NOW,
    )
    assert table.at(ONE) == 4
    assert not table.sum_up(now=NOW).in_flight_by_id


def test_report_survives_the_wire_with_what_was_seen():
    seen = TargetSeen(target_id=ONE, sign=Sign.answered, latency_ms=20)
    table = WorkloadTable(zone_id=HERE)
    table.started(ONE)
    report = table.report(now=NOW, seen=(seen,))
    assert unpack(pack(report)) == report
