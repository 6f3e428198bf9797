"""What waits on the hosts of a zone, from their reports or from sums."""

import dataclasses
from collections.abc import Iterable

from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import HostId, ServiceId
from chicorybridge.routing import settings

# The priority that comes first and the one of the route; lower is more urgent.
Urgency = tuple[int, int]


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RankLoad:
    """Requests of one service and urgency on a host, or on all of a zone.

    `waiting` of them wait, with `work_ms` of expected time at targets.
    `arriving` is the expected work that arrives in a millisecond, in ms: the
    number of slots that it needs.
    """

    service_id: ServiceId
    urgency: tuple[int, ...]
    waiting: int
    work_ms: float
    arriving: float


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QueueReport:
    """Report what waits on this host to its zone or the aggregator.

    `sent_at` is on the sender's clock and orders its reports.
    """

    sent_at: float
    loads: tuple[RankLoad, ...]


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QueueTotals:
    """Report what waits on all hosts of a large zone to them.

    `age_ms` is the age of the oldest report in the sums.
    """

    sent_at: float
    age_ms: float
    loads: tuple[RankLoad, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Received:
    """A report or sums and when they were received."""

    report: QueueReport | QueueTotals
    received_at: Millis


@dataclasses.dataclass(kw_only=True, slots=True)
class Backlog:
    """What waits and arrives for a service, by urgency.

    `age_ms` is the age of the oldest report in it.
    """

    work_ms_by_urgency: dict[Urgency, float] = dataclasses.field(
        default_factory=dict
    )
    arriving_by_urgency: dict[Urgency, float] = dataclasses.field(
        default_factory=dict
    )
    age_ms: float = 0

    def add(self, load: RankLoad, *, sign: int = 1) -> None:
        """Add a load, or subtract it with `sign` -1, down to 0."""
        urgency = (load.urgency[0], load.urgency[-1])
        work_ms = self.work_ms_by_urgency.get(urgency, 0)
        self.work_ms_by_urgency[urgency] = max(0, work_ms + sign * load.work_ms)
        arriving = self.arriving_by_urgency.get(urgency, 0)
        self.arriving_by_urgency[urgency] = max(
            0, arriving + sign * load.arriving
        )


class QueueBook:
    """The last reports of the hosts of the zone, and sums of the aggregator."""

    def __init__(self) -> None:
        """Start without reports."""
        self._reports_by_host: dict[HostId, Received] = {}
        self._totals: Received | None = None
        self._totals_sender: HostId | None = None
        # What this host reported last; the sums have it.
        self._own_loads: tuple[RankLoad, ...] = ()

    def record_own(self, report: QueueReport) -> None:
        """Record the report that this host sends."""
        self._own_loads = report.loads

    def record_host(
        self, host_id: HostId, report: QueueReport, *, now: Millis
    ) -> None:
        """Record the report of another host, unless a later one is known."""
        known = self._reports_by_host.get(host_id)
        if known is None or _is_newer(report, known, now):
            self._reports_by_host[host_id] = Received(
                report=report, received_at=now
            )

    def record_totals(
        self, sender: HostId, totals: QueueTotals, *, now: Millis
    ) -> None:
        """Record the sums of the aggregator, unless later ones are known."""
        known = self._totals
        is_same = self._totals_sender == sender
        if known is None or not is_same or _is_newer(totals, known, now):
            self._totals = Received(report=totals, received_at=now)
            self._totals_sender = sender

    def totals(self, own: QueueReport, *, now: Millis) -> QueueTotals | None:
        """Return the sums with those of this host, `None` without reports."""
        reports = self._recent_reports(now)
        if not reports and not own.loads:
            return None
        backlogs_by_id: dict[tuple[ServiceId, Urgency], RankLoad] = {}
        for load in own.loads:
            _add_load(backlogs_by_id, load)
        for received in reports:
            for load in received.report.loads:
                _add_load(backlogs_by_id, load)
        return QueueTotals(
            sent_at=now,
            age_ms=_oldest_ms(reports, now),
            loads=tuple(backlogs_by_id.values()),
        )

    def others(self, service_id: ServiceId, *, now: Millis) -> Backlog:
        """Return what waits for a service on other hosts of the zone."""
        backlog = Backlog()
        totals = self._totals
        if totals is not None and _is_recent(totals, now):
            report = totals.report
            backlog.age_ms = now - totals.received_at
            backlog.age_ms += getattr(report, 'age_ms', 0)
            for load in _of_service(report.loads, service_id):
                backlog.add(load)
            for own_load in _of_service(self._own_loads, service_id):
                backlog.add(own_load, sign=-1)
            return backlog
        reports = self._recent_reports(now)
        backlog.age_ms = _oldest_ms(reports, now)
        for received in reports:
            for load in _of_service(received.report.loads, service_id):
                backlog.add(load)
        return backlog

    def _recent_reports(self, now: Millis) -> tuple[Received, ...]:
        self._reports_by_host = {
            host_id: received
            for host_id, received in self._reports_by_host.items()
            if _is_recent(received, now)
        }
        return tuple(self._reports_by_host.values())


def _is_newer(
    report: QueueReport | QueueTotals, known: Received, now: Millis
) -> bool:
    # The clock of a host that was restarted may start again.
    return report.sent_at >= known.report.sent_at or not _is_recent(known, now)


def _is_recent(received: Received, now: Millis) -> bool:
    return now - received.received_at <= settings.QUEUE_REPORT_MAX_AGE_MS


def _oldest_ms(reports: Iterable[Received], now: Millis) -> float:
    return max((now - received.received_at for received in reports), default=0)


def _of_service(
    loads: Iterable[RankLoad], service_id: ServiceId
) -> Iterable[RankLoad]:
    return (load for load in loads if load.service_id == service_id)


def _add_load(
    loads_by_key: dict[tuple[ServiceId, Urgency], RankLoad], load: RankLoad
) -> None:
    key = (load.service_id, (load.urgency[0], load.urgency[-1]))
    known = loads_by_key.get(key)
    if known is not None:
        load = dataclasses.replace(
            load,
            waiting=known.waiting + load.waiting,
            work_ms=round(known.work_ms + load.work_ms, 1),
            arriving=round(known.arriving + load.arriving, 3),
        )
    loads_by_key[key] = load
