"""Handlers of operators' queries about a single host."""

import functools
from typing import Any

from chicorybridge.common.events import EventLog
from chicorybridge.common.identities import HostId
from chicorybridge.common.systems import Effects, Send
from chicorybridge.control.control_systems import ControlSystems
from chicorybridge.control.operator_messages import (
    HostMetrics,
    HostsRequested,
    KnownHost,
    KnownHosts,
    MetricsRequested,
    Timeline,
    TimelineRequested,
)
from chicorybridge.control.sessions import EntryTable
from chicorybridge.fleet.drains import DrainAdvanced, DrainRequested
from chicorybridge.fleet.profiles import HostProfile


class HostQueryHandler:
    """Answer queries from the state of this host."""

    def __init__(
        self, *, log: EventLog, entries: EntryTable, systems: ControlSystems
    ) -> None:
        """Answer from these components of the control process."""
        self._log = log
        self._entries = entries
        self._systems = systems

    @functools.singledispatchmethod
    def handle(self, message: Any, *, operator: HostId) -> Effects:
        """Answer one query of `operator`; ignore messages of other types."""
        return ()

    @handle.register
    def _handle_timeline(
        self, message: TimelineRequested, *, operator: HostId
    ) -> Effects:
        timeline = Timeline(records=self._log.recent())
        return [Send(to=operator, message=timeline)]

    @handle.register
    def _handle_metrics(
        self, message: MetricsRequested, *, operator: HostId
    ) -> Effects:
        sessions = self._entries.sessions_by_id.values()
        metrics = HostMetrics(
            host_id=self._systems.members.profile.host_id,
            reports=tuple(
                session.metrics for session in sessions if session.metrics
            ),
        )
        return [Send(to=operator, message=metrics)]

    @handle.register
    def _handle_hosts(
        self, message: HostsRequested, *, operator: HostId
    ) -> Effects:
        profiles = self._systems.members.hosts_by_id.values()
        reply = KnownHosts(
            version=self._systems.rollouts.confirmed,
            hosts=tuple(_describe_host(profile) for profile in profiles),
        )
        return [Send(to=operator, message=reply)]

    @handle.register
    def _handle_drain(
        self, message: DrainRequested, *, operator: HostId
    ) -> Effects:
        # `Drains` handles the request itself; this is the reply to the
        # operator, built before the drain begins.
        reply = DrainAdvanced(
            host_id=self._systems.members.profile.host_id,
            state=self._systems.drains.state,
        )
        return [Send(to=operator, message=reply)]


def _describe_host(profile: HostProfile) -> KnownHost:
    return KnownHost(
        host_id=profile.host_id,
        incarnation=profile.incarnation,
        address=profile.address,
        entries=profile.entries,
        zone_id=profile.zone_id,
        taking=profile.taking,
        leaving=profile.leaving,
    )
