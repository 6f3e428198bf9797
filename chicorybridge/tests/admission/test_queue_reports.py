"""Reports of queues between hosts, and decisions without them."""

import dataclasses
import random
from typing import Any

import pytest

from chicorybridge import settings as common_settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import pack, unpack
from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.identities import HostId, ServiceId
from chicorybridge.entry.refusals import RefusalError
from chicorybridge.hosts.fleet_admissions import FleetAdmission
from chicorybridge.hosts.metrics import HostMetrics
from chicorybridge.platform.formats import decode_configuration
from chicorybridge.routing import settings
from chicorybridge.admission.fleet_queues import FleetQueues
from chicorybridge.admission.fleet_requests import FleetRequest
from chicorybridge.admission.queue_reports import (
    QueueBook,
    QueueReport,
    QueueTotals,
    RankLoad,
)
from chicorybridge.tests.hosts.zones import Zone, ZoneHost
from chicorybridge.tests.platform.rows import configuration_row, route

QUOTES = ServiceId('quotes')
SMALL = 4
LARGE = common_settings.MIN_AGGREGATED_HOSTS + 4
KNOWN_MS = 300
URGENT = (0, 0)
LATER = (2, 2)


class _Configuration:
    version = 1
    has_fleet_admission = True


def _request(now: Millis, urgency: tuple[int, int] = URGENT) -> FleetRequest:
    return FleetRequest(
        service_id=QUOTES,
        urgency=urgency,
        work_ms=200,
        high_work_ms=400,
        arrived_at=now,
        latency_target_at=Millis(now + 1000),
        deadline_at=Millis(now + 3000),
    )


def _queues(host: ZoneHost) -> FleetQueues:
    return host.view.zone_sums.inbox.queues


def _let_wait(host: ZoneHost, clock: Any, count: int) -> list[FleetRequest]:
    requests = [_request(clock.now()) for _ in range(count)]
    for request in requests:
        _queues(host).arrived(request, now=clock.now())
        _queues(host).add(request)
    return requests


def _run(zone: Zone, ms: float) -> None:
    """Let time pass; hosts report at each tick."""
    for _ in range(round(ms / common_settings.TICK_MS)):
        zone.run(ms=common_settings.TICK_MS)
        for host in zone.hosts:
            if not (host.frozen or host.off):
                host.reporter.queue_reporter.send()


def _sent(zone: Zone, kind: type) -> int:
    return sum(host.received[kind] for host in zone.hosts)


def _admission(host: ZoneHost, zone: Zone) -> FleetAdmission:
    return FleetAdmission(clock=zone.clock, fleet_view=host.view)


@pytest.mark.parametrize('hosts', [SMALL, LARGE])
def test_all_hosts_know_what_waits(hosts):
    # Counted twice or not at all, a host's queue shifts all decisions.
    zone = Zone(hosts, _Configuration())
    zone.run(ms=1000)
    for host in zone.hosts[:3]:
        _let_wait(host, zone.clock, 2)
    _run(zone, KNOWN_MS)
    for host in zone.hosts:
        backlog = _queues(host).book.others(QUOTES, now=zone.clock.now())
        own = 2 if host in zone.hosts[:3] else 0
        expected_ms = (6 - own) * 200
        assert backlog.work_ms_by_urgency[URGENT] == expected_ms
        assert backlog.age_ms <= settings.QUEUE_REPORT_MAX_AGE_MS


@pytest.mark.parametrize('hosts', [SMALL, LARGE])
def test_nothing_is_sent_unless_something_waits(hosts):
    # Fleets that have room would pay for messages that decide nothing.
    zone = Zone(hosts, _Configuration())
    _run(zone, 1000)
    assert not _sent(zone, QueueReport) + _sent(zone, QueueTotals)
    host = next(host for host in zone.hosts if not host.view.zone_sums.is_own)
    requests = _let_wait(host, zone.clock, 1)
    _run(zone, 1000)
    reports = _sent(zone, QueueReport)
    receivers = hosts - 1 if hosts == SMALL else 1
    assert 0 < reports <= 10 * receivers
    _queues(host).remove(requests[0], now=zone.clock.now())
    _run(zone, settings.QUEUE_REPORT_LINGER_MS + 500)
    reports = _sent(zone, QueueReport)
    _run(zone, 1000)
    assert _sent(zone, QueueReport) == reports


def _refused_when_short(zone: Zone, host: ZoneHost) -> bool:
    """Return whether a less urgent request is refused behind a long queue."""
    admission = _admission(host, zone)
    try:
        admission.check_arrival(_request(zone.clock.now(), LATER))
    except RefusalError as error:
        assert error.code is ErrorCode.overloaded
        assert error.retry_after_ms >= settings.MIN_BACKLOG_RETRY_MS
        assert error.early is not None
        assert error.early.work_ahead_ms > 0
        return True
    return False


def short_zone() -> Zone:
    """Return a zone in which urgent requests wait for a full service."""
    zone = Zone(LARGE, _Configuration())
    zone.run(ms=1000)
    for host in zone.others[:6]:
        host.start_attempt()
        _let_wait(host, zone.clock, 30)
    _run(zone, KNOWN_MS)
    return zone


def test_less_urgent_request_is_refused_where_nothing_waits():
    # A host that knows only its own queue would admit it.
    zone = short_zone()
    idle = zone.others[10]
    refused = sum(_refused_when_short(zone, idle) for _ in range(10))
    # One start is kept for its rank at most.
    assert refused >= 9


@pytest.mark.parametrize('fault', ['silent aggregator', 'cut off'])
def test_host_without_news_decides_by_its_own_queue(fault):
    # Old reports would let a host refuse for a queue that is gone.
    zone = short_zone()
    host = zone.others[10]
    if fault == 'cut off':
        zone.cut_off(host)
    else:
        for other in zone.hosts:
            other.frozen = other is not host
    _run(zone, settings.ZONE_SILENCE_MS + 200)
    assert not _refused_when_short(zone, host)


def test_sums_of_another_host_than_the_aggregator_do_not_count():
    # A former aggregator may hold reports of hosts that have long left it.
    zone = Zone(LARGE, _Configuration())
    zone.run(ms=1000)
    host, other = zone.others[:2]
    load = RankLoad(
        service_id=QUOTES, urgency=URGENT, waiting=9, work_ms=9000, arriving=9
    )
    totals = QueueTotals(sent_at=1, age_ms=0, loads=(load,))
    host.view.on_message(totals, other.host_id)
    backlog = _queues(host).book.others(QUOTES, now=zone.clock.now())
    assert not backlog.work_ms_by_urgency


def test_late_and_expired_reports_do_not_count():
    # Datagrams may be reordered.
    book = QueueBook()
    load = RankLoad(
        service_id=QUOTES, urgency=URGENT, waiting=1, work_ms=100, arriving=1
    )
    newer = QueueReport(sent_at=2, loads=(load,))
    older = dataclasses.replace(newer, sent_at=1, loads=())
    book.record_host(HostId('a'), newer, now=Millis(0))
    book.record_host(HostId('a'), older, now=Millis(1))
    backlog = book.others(QUOTES, now=Millis(2))
    assert backlog.work_ms_by_urgency == {URGENT: 100}
    late = Millis(settings.QUEUE_REPORT_MAX_AGE_MS + 1)
    assert not book.others(QUOTES, now=late).work_ms_by_urgency
    assert unpack(pack(newer)) == newer


def test_each_rank_gets_its_kept_starts():
    # A rank that is closed by more urgent ones would never be served.
    queues = FleetQueues(book=QueueBook(), rng=random.Random(1))
    load = RankLoad(
        service_id=QUOTES, urgency=URGENT, waiting=7, work_ms=1300, arriving=9
    )
    admitted = {URGENT: 0, LATER: 0}
    for number in range(400):
        now = Millis(1000 + 10 * number)
        report = QueueReport(sent_at=now, loads=(load,))
        queues.book.record_host(HostId('a'), report, now=now)
        for urgency in admitted:
            request = _request(now, urgency)
            queues.arrived(request, now=now)
            queues.add(request)
            if queues.decide(request, slots=4, now=now) is None:
                admitted[urgency] += 1
                queues.started(QUOTES, now=now)
            queues.remove(request, now=now)
    assert admitted[LATER] >= 0.1 * sum(admitted.values())
    assert admitted[URGENT] > admitted[LATER]


def test_admission_is_on_with_download_routes_only():
    # Other deployments must keep their queues and their encoded form.
    plain = decode_configuration(configuration_row(route()))
    with_download = decode_configuration(
        configuration_row(route(route_type='download'))
    )
    assert not plain.has_fleet_admission
    assert with_download.has_fleet_admission
    assert unpack(pack(with_download)).has_fleet_admission
    assert b'DownloadRoute' not in pack(plain)


def test_refusal_is_counted_with_what_decided_it():
    zone = short_zone()
    admission = _admission(zone.others[10], zone)
    early = None
    for _ in range(3):
        try:
            admission.check_arrival(_request(zone.clock.now(), LATER))
        except RefusalError as error:
            early = error.early
    assert early is not None
    assert early.rank == '2.2'
    metrics = HostMetrics()
    metrics.count_early_refusal(early)
    text = metrics.text().decode()
    assert 'chicorybridge_early_refusals_total{rank="2.2"} 1.0' in text
    assert f'work_ms_total{{rank="2.2"}} {early.work_ahead_ms}.0' in text
