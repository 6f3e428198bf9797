"""Confirmations of versions: reports of all hosts, and why they lag."""

import dataclasses

from chicorybridge.common.clocks import Millis
from chicorybridge.common.events import Event, EventKind
from chicorybridge.common.identities import NO_VERSION, HostId, Version
from chicorybridge.common.systems import Effect, Effects, Emit
from chicorybridge.configuration.version_states import VersionState
from chicorybridge.configuration.versions import (
    HostStatus,
    LagReason,
    ReportWanted,
    VersionReport,
)
from chicorybridge.fleet.links import Link
from chicorybridge.fleet.members import Members

# Value of `requested_at` in a report sent on confirmation.
NOT_REQUESTED = -1
# Age reported for a host without any sign of life.
NO_SIGN_AGE_MS = -1


class Confirmations:
    """Confirm versions on this host, and collect the reports of others."""

    def __init__(
        self, *, members: Members, version_state: VersionState
    ) -> None:
        """Start without reports."""
        self.reports_by_host: dict[HostId, VersionReport] = {}
        self._members = members
        self._version_state = version_state
        # Hosts that get a report on the next confirmation.
        self._collectors: set[HostId] = set()

    def add_collector(self, host_id: HostId) -> None:
        """Report to `host_id` at the next confirmation on this host."""
        self._collectors.add(host_id)

    def confirm(self, *, now: Millis) -> Effects:
        """Confirm the active version once no work conflicts with it."""
        if not self._version_state.confirm():
            return ()
        facts = {'version': self._version_state.confirmed}
        event = Event(kind=EventKind.configuration_confirmed, facts=facts)
        effects: list[Effect] = [Emit(event=event)]
        for collector in sorted(self._collectors):
            effects.extend(self._report(collector, NOT_REQUESTED, now))
        self._collectors.clear()
        return effects

    def handle_request(self, message: ReportWanted, *, now: Millis) -> Effects:
        """Report now, and again when the requested version is confirmed."""
        if self._version_state.confirmed < message.version:
            self._collectors.add(message.collector)
        return self._report(message.collector, message.requested_at, now)

    def record(self, report: VersionReport) -> None:
        """Record a report, unless a newer one of that host is recorded."""
        previous = self.reports_by_host.get(report.host_id)
        if previous and previous.incarnation == report.incarnation:
            if previous.confirmed > report.confirmed:
                return
            requested_at = max(previous.requested_at, report.requested_at)
            report = dataclasses.replace(report, requested_at=requested_at)
        self.reports_by_host[report.host_id] = report

    def request_reports(
        self, hosts: set[HostId], version: Version, *, now: Millis
    ) -> list[Effect]:
        """Request reports of hosts, now and once they confirm `version`."""
        message = ReportWanted(
            collector=self._members.profile.host_id,
            version=version,
            requested_at=int(now),
        )
        effects: list[Effect] = []
        for host_id in sorted(hosts):
            effects.extend(
                self._members.send_or_forward(host_id, message, now=now)
            )
        return effects

    def statuses(
        self, version: Version, *, excused: set[HostId], now: Millis
    ) -> tuple[HostStatus, ...]:
        """Return the status of every known host with respect to `version`."""
        own = HostStatus(
            host_id=self._members.profile.host_id,
            version=self._version_state.version,
            confirmed=self._version_state.confirmed,
            age_ms=0,
            reason=self._own_lag_reason(version),
        )
        others = (
            self._status(link, version, excused, now)
            for link in self._members.peers.links_by_id.values()
        )
        return (own, *others)

    def _status(
        self, link: Link, version: Version, excused: set[HostId], now: Millis
    ) -> HostStatus:
        report = self.reports_by_host.get(link.host_id)
        if report and report.incarnation != link.incarnation:
            report = None
        last_sign_at = max(link.advanced_at, link.heartbeat_at)
        has_no_sign = last_sign_at == float('-inf')
        return HostStatus(
            host_id=link.host_id,
            version=report.version if report else NO_VERSION,
            confirmed=report.confirmed if report else NO_VERSION,
            age_ms=NO_SIGN_AGE_MS if has_no_sign else int(now - last_sign_at),
            reason=_lag_reason(link, report, version, excused),
        )

    def _own_lag_reason(self, version: Version) -> LagReason:
        if self._version_state.confirmed >= version:
            return LagReason.current
        if self._version_state.version >= version:
            return LagReason.settling
        return LagReason.fetching

    def _report(
        self, collector: HostId, requested_at: int, now: Millis
    ) -> Effects:
        profile = self._members.profile
        report = VersionReport(
            host_id=profile.host_id,
            incarnation=profile.incarnation,
            version=self._version_state.version,
            confirmed=self._version_state.confirmed,
            taking=not self._members.is_cut_off(now),
            requested_at=requested_at,
        )
        return self._members.send_or_forward(collector, report, now=now)


def _lag_reason(
    link: Link,
    report: VersionReport | None,
    version: Version,
    excused: set[HostId],
) -> LagReason:
    # The report of a silent host does not count, as a new incarnation may
    # have replaced that host.
    if link.live and report and report.confirmed >= version:
        return LagReason.current
    if link.host_id in excused:
        return LagReason.excused
    if not link.live:
        return LagReason.silent
    if report and report.version >= version:
        return LagReason.settling
    if link.profile and not link.profile.taking:
        return LagReason.joining
    return LagReason.fetching
