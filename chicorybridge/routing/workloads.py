"""Requests in flight at each target, from reports of other hosts.

Hosts of a small availability zone report every change to each other, those
of a large one to an aggregator, which sends the sums to the zone. The sums
go to the other zones of the region, too, and less often to other regions.
"""

import dataclasses
from collections import Counter
from collections.abc import Collection, Mapping

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import HostId, TargetId, ZoneId
from chicorybridge.routing.reputations import TargetSeen

Source = HostId | ZoneId


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostWorkload:
    """Report the requests in flight of this host by target to its zone.

    Each report has all counts, so that the next one makes up for a lost
    datagram. `sent_at` is on the sender's clock and orders its reports.
    `seen` has the results of requests that have just ended.
    """

    sent_at: float
    in_flight_by_id: Mapping[TargetId, int]
    seen: tuple[TargetSeen, ...] = ()


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ZoneTotals:
    """Report the requests in flight of a large zone to its hosts.

    Only targets whose sum has changed are listed, unless it is `complete`.
    `seen_by_host` has the results of requests that have just ended.
    """

    sent_at: float
    complete: bool
    in_flight_by_id: Mapping[TargetId, int]
    seen_by_host: Mapping[HostId, tuple[TargetSeen, ...]]


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ZoneWorkload:
    """Report the requests in flight of a zone by target to other zones.

    `sent_at` is on the clock of the host that sums up. Within the region,
    `seen` has the results since the last report, without those that were
    sent at once. Other regions get the soundness of each target of the zone
    instead, from 0 to 1.
    """

    zone_id: ZoneId
    sent_at: float
    in_flight_by_id: Mapping[TargetId, int]
    seen: tuple[TargetSeen, ...] = ()
    soundness_by_id: Mapping[TargetId, float] = dataclasses.field(
        default_factory=dict
    )


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelayedWorkload:
    """Ask the aggregator of another zone to send a report to its zone."""

    workload: ZoneWorkload


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkloadReport:
    """The last report of a source, who sent it and when it was received."""

    sender: HostId
    sent_at: float
    in_flight_by_id: Mapping[TargetId, int]
    received_at: Millis


class WorkloadReports:
    """The last reports of hosts, or of zones, and their sum."""

    def __init__(self, *, timeout_ms: float) -> None:
        """Start without reports; each expires after `timeout_ms`."""
        self._timeout_ms = timeout_ms
        self.total_by_id: Counter[TargetId] = Counter()
        self._reports_by_source: dict[Source, WorkloadReport] = {}

    def record(
        self,
        source: Source,
        workload: HostWorkload | ZoneWorkload,
        *,
        sender: HostId,
        now: Millis,
    ) -> Collection[TargetId]:
        """Record a report, unless a later one of `sender` was received.

        Return the targets whose counts have changed.
        """
        previous = self._reports_by_source.get(source)
        before_by_id: Mapping[TargetId, int] = {}
        if previous is not None:
            is_same = previous.sender == sender
            if is_same and previous.sent_at > workload.sent_at:
                return ()
            before_by_id = previous.in_flight_by_id
        self._reports_by_source[source] = WorkloadReport(
            sender=sender,
            sent_at=workload.sent_at,
            in_flight_by_id=workload.in_flight_by_id,
            received_at=now,
        )
        return self._replace(before_by_id, workload.in_flight_by_id)

    def expire(self, *, now: Millis) -> Collection[TargetId]:
        """Drop the reports of sources that sent none within the timeout.

        Return the targets whose counts have changed.
        """
        changed: set[TargetId] = set()
        for source, report in tuple(self._reports_by_source.items()):
            if now - report.received_at > self._timeout_ms:
                self._reports_by_source.pop(source)
                changed.update(self._replace(report.in_flight_by_id, {}))
        return changed

    def _replace(
        self,
        before_by_id: Mapping[TargetId, int],
        now_by_id: Mapping[TargetId, int],
    ) -> Collection[TargetId]:
        """Count `now_by_id` in place of `before_by_id`; return what differs."""
        changed = _differing_ids(before_by_id, now_by_id)
        for target_id in changed:
            added = now_by_id.get(target_id, 0) - before_by_id.get(target_id, 0)
            self.total_by_id[target_id] += added
            if not self.total_by_id[target_id]:
                # The table stays small.
                self.total_by_id.pop(target_id)
        return changed


class ZoneTotalsTable:
    """Sums of the aggregator, without what this host had in flight then."""

    def __init__(self) -> None:
        """Start without sums."""
        self._sent_at: float = 0
        self._others_by_id: dict[TargetId, int] = {}

    def expect_another(self) -> None:
        """Expect sums of another aggregator, which has another clock.

        The sums of the earlier one count until complete ones arrive.
        """
        self._sent_at = 0

    def in_flight(self, target_id: TargetId, *, own: int) -> int:
        """Return the requests in flight, `own` of which are of this host.

        The sum includes those that this host had when it was received.
        """
        return own + self._others_by_id.get(target_id, 0)

    def record(
        self, totals: ZoneTotals, *, own_by_id: Counter[TargetId]
    ) -> Collection[TargetId]:
        """Record sums that are not older than the last ones.

        Return the targets at which others have more or fewer requests.
        """
        if totals.sent_at < self._sent_at:
            return ()
        self._sent_at = totals.sent_at
        changed: set[TargetId] = set()
        if totals.complete:
            changed = self._others_by_id.keys() - totals.in_flight_by_id.keys()
            for target_id in changed:
                self._others_by_id.pop(target_id)
        for target_id, count in totals.in_flight_by_id.items():
            others = max(0, count - own_by_id.get(target_id, 0))
            if others == self._others_by_id.get(target_id, 0):
                continue
            changed.add(target_id)
            self._others_by_id[target_id] = others
        return changed


class WorkloadTable:  # noqa: WPS214
    """Requests in flight at targets: own, of the zone, of other zones."""

    def __init__(self, *, zone_id: ZoneId) -> None:
        """Start without requests; this host is in `zone_id`."""
        self._zone_id = zone_id
        self._own_by_id: Counter[TargetId] = Counter()
        self._hosts = WorkloadReports(timeout_ms=settings.WORKLOAD_TIMEOUT_MS)
        self._zones = WorkloadReports(
            timeout_ms=settings.ZONE_WORKLOAD_TIMEOUT_MS
        )
        # Results for the next report to other zones.
        self.zone_results: list[TargetSeen] = []
        self._totals = ZoneTotalsTable()
        self._is_aggregated = False
        # Targets whose sum of this zone has changed since `zone_totals`.
        self.changed_ids: set[TargetId] = set()
        # Since when targets have had requests in flight without a break.
        self._busy_since_by_id: dict[TargetId, Millis] = {}

    @property
    def is_idle(self) -> bool:
        """Return whether this host has no request in flight."""
        return not self._own_by_id

    def in_flight(self, target_id: TargetId) -> int:
        """Return the requests in flight at a target, own and reported ones."""
        # A counter calls a method for each key that it lacks.
        elsewhere = self._zones.total_by_id.get(target_id, 0)
        return self.in_zone(target_id) + elsewhere

    def in_zone(self, target_id: TargetId) -> int:
        """Return the requests in flight at a target of hosts of this zone."""
        own = self._own_by_id.get(target_id, 0)
        if self._is_aggregated:
            return self._totals.in_flight(target_id, own=own)
        return own + self._hosts.total_by_id.get(target_id, 0)

    def own_in_flight(self, target_id: TargetId) -> int:
        """Return the requests in flight at a target of this host."""
        return self._own_by_id.get(target_id, 0)

    def follow_aggregator(self, *, follows: bool, now: Millis) -> None:
        """Set whether the sums of an aggregator are to count.

        Until it has sent complete sums those of the earlier one count, or
        what other hosts reported.
        """
        self._totals.expect_another()
        if not follows:
            self._is_aggregated = False
            # Other counts apply now, by which targets may be idle.
            self._update_busy(tuple(self._busy_since_by_id), now)

    def silent_ms(
        self, target_id: TargetId, *, heard_at: Millis, now: Millis
    ) -> float:
        """Return how long the oldest request in flight has been waiting.

        It is a lower bound: the time since the last result of the target,
        at `heard_at`, or since the target was last idle; 0 if it is idle.
        """
        busy_since = self._busy_since_by_id.get(target_id, now)
        return max(0, now - max(busy_since, heard_at))

    def started(self, target_id: TargetId, *, now: Millis) -> None:
        """Count an attempt of this host that starts."""
        self._own_by_id[target_id] += 1
        self.changed_ids.add(target_id)
        self._update_busy((target_id,), now)

    def finished(self, target_id: TargetId, *, now: Millis) -> None:
        """Remove an attempt of this host that ended."""
        self._own_by_id[target_id] -= 1
        if self._own_by_id[target_id] <= 0:
            self._own_by_id.pop(target_id)
        self.changed_ids.add(target_id)
        self._update_busy((target_id,), now)

    def host_report(
        self, *, now: Millis, seen: tuple[TargetSeen, ...] = ()
    ) -> HostWorkload:
        """Return the report of this host to its zone."""
        return HostWorkload(
            sent_at=now, in_flight_by_id=dict(self._own_by_id), seen=seen
        )

    def zone_totals(self, *, now: Millis, complete: bool) -> ZoneTotals:
        """Return the changed sums of this zone, or all, without results."""
        target_ids: Collection[TargetId] = self.changed_ids
        if complete:
            target_ids = self._own_by_id.keys() | self._hosts.total_by_id.keys()
        in_flight_by_id = {
            target_id: self._own_by_id.get(target_id, 0)
            + self._hosts.total_by_id.get(target_id, 0)
            for target_id in target_ids
        }
        self.changed_ids.clear()
        return ZoneTotals(
            sent_at=now,
            complete=complete,
            in_flight_by_id=in_flight_by_id,
            seen_by_host={},
        )

    def record_totals(self, totals: ZoneTotals, *, now: Millis) -> bool:
        """Record the sums of the aggregator of this zone.

        Return whether they have the requests of this host.
        """
        changed = self._totals.record(totals, own_by_id=self._own_by_id)
        if totals.complete and not self._is_aggregated:
            self._is_aggregated = True
            changed = {*totals.in_flight_by_id, *self._busy_since_by_id}
        self._update_busy(changed, now)
        return all(
            totals.in_flight_by_id.get(target_id, 0) >= count
            for target_id, count in self._own_by_id.items()
        )

    def zone_report(self, *, now: Millis) -> ZoneWorkload:
        """Return the report of this zone to other zones; clear its results."""
        seen = tuple(self.zone_results)
        self.zone_results.clear()
        total_by_id = self._own_by_id + self._hosts.total_by_id
        return ZoneWorkload(
            zone_id=self._zone_id,
            sent_at=now,
            in_flight_by_id=dict(total_by_id),
            seen=seen,
        )

    def record_host(
        self, host_id: HostId, workload: HostWorkload, *, now: Millis
    ) -> None:
        """Record the report of another host of the zone."""
        changed = self._hosts.record(host_id, workload, sender=host_id, now=now)
        self.changed_ids.update(changed)
        self._update_busy(changed, now)

    def record_zone(
        self, workload: ZoneWorkload, *, sender: HostId, now: Millis
    ) -> None:
        """Record the report of another zone."""
        changed = self._zones.record(
            workload.zone_id, workload, sender=sender, now=now
        )
        self._update_busy(changed, now)

    def expire(self, *, now: Millis) -> None:
        """Drop the reports of silent hosts and zones; runs at each tick."""
        expired = self._hosts.expire(now=now)
        self.changed_ids.update(expired)
        self._update_busy(expired, now)
        self._update_busy(self._zones.expire(now=now), now)

    def _update_busy(
        self, target_ids: Collection[TargetId], now: Millis
    ) -> None:
        for target_id in target_ids:
            if self.in_flight(target_id) > 0:
                self._busy_since_by_id.setdefault(target_id, now)
            else:
                self._busy_since_by_id.pop(target_id, None)


def _differing_ids(
    before_by_id: Mapping[TargetId, int], now_by_id: Mapping[TargetId, int]
) -> Collection[TargetId]:
    """Return the targets that have another count, 0 if none is listed."""
    pairs = before_by_id.items() ^ now_by_id.items()
    return {target_id for target_id, _ in pairs}
