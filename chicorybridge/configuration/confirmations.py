"""Who confirms which version: reports of all hosts, and what they lack."""

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

UNASKED = -1
NEVER_HEARD_MS = -1


class Confirmations:
    """Report the own confirmation and collect those of other hosts."""

    def __init__(
        self, *, members: Members, version_state: VersionState
    ) -> None:
        """Start without reports."""
        self.reports_by_host: dict[HostId, VersionReport] = {}
        self._members = members
        self._version_state = version_state
        # Hosts to tell of the next confirmation.
        self._collectors: set[HostId] = set()

    def add_collector(self, host_id: HostId) -> None:
        """Tell `host_id` when the version in force is confirmed."""
        self._collectors.add(host_id)

    def confirm(self, *, now: Millis) -> Effects:
        """Confirm the version in force once all work agrees with it."""
        if not self._version_state.confirm():
            return ()
        facts = {'version': self._version_state.confirmed}
        event = Event(kind=EventKind.configuration_confirmed, facts=facts)
        told: list[Effect] = [Emit(event=event)]
        for collector in sorted(self._collectors):
            told.extend(self._report(collector, UNASKED, now))
        self._collectors.clear()
        return told

    def answer(self, message: ReportWanted, *, now: Millis) -> Effects:
        """Report at once, and again on confirming a version asked for."""
        if self._version_state.confirmed < message.version:
            self._collectors.add(message.collector)
        return self._report(message.collector, message.requested_at, now)

    def take(self, report: VersionReport) -> None:
        """Keep the newest report of a host."""
        known = self.reports_by_host.get(report.host_id)
        if known and known.incarnation == report.incarnation:
            if known.confirmed > report.confirmed:
                return
            requested_at = max(known.requested_at, report.requested_at)
            report = dataclasses.replace(report, requested_at=requested_at)
        self.reports_by_host[report.host_id] = report

    def request_reports(
        self, hosts: set[HostId], version: Version, *, now: Millis
    ) -> list[Effect]:
        """Ask hosts for their reports."""
        wanted = ReportWanted(
            collector=self._members.profile.host_id,
            version=version,
            requested_at=int(now),
        )
        asked: list[Effect] = []
        for host_id in sorted(hosts):
            asked.extend(
                self._members.send_or_forward(host_id, wanted, now=now)
            )
        return asked

    def statuses(
        self, version: Version, *, excused: set[HostId], now: Millis
    ) -> tuple[HostStatus, ...]:
        """Return where every known host stands towards `version`."""
        own = HostStatus(
            host_id=self._members.profile.host_id,
            version=self._version_state.version,
            confirmed=self._version_state.confirmed,
            age_ms=0,
            reason=self._own_reason(version),
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
        heard_at = max(link.advanced_at, link.heard_at)
        never = heard_at == float('-inf')
        return HostStatus(
            host_id=link.host_id,
            version=report.version if report else NO_VERSION,
            confirmed=report.confirmed if report else NO_VERSION,
            age_ms=NEVER_HEARD_MS if never else int(now - heard_at),
            reason=_reason(link, report, version, excused),
        )

    def _own_reason(self, version: Version) -> LagReason:
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


def _reason(
    link: Link,
    report: VersionReport | None,
    version: Version,
    excused: set[HostId],
) -> LagReason:
    # A host that fell silent may have been replaced since its report.
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
