"""Rollouts of configuration versions to all hosts; versions only increase.

A version is first durable in the platform, then active on each host as it
arrives, and accepted when every host that is not excused has confirmed it.
"""

import functools
from collections.abc import Callable
from typing import Any

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, Version
from chicorybridge.common.systems import Effects, System
from chicorybridge.configuration.applies import APPLY_TOKEN, Applies
from chicorybridge.configuration.confirmations import Confirmations
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.configuration.distributors import BODY_TOKEN, Distributor
from chicorybridge.configuration.head_pollers import HeadPoller
from chicorybridge.configuration.version_states import (
    ActiveVersion,
    VersionState,
)
from chicorybridge.configuration.versions import (
    BodySent,
    BodyWanted,
    ReportWanted,
    VersionOffered,
    VersionReport,
)
from chicorybridge.control.operator_request_handlers import (
    OperatorRequestHandler,
)
from chicorybridge.fleet.join_gates import JoinGate
from chicorybridge.fleet.members import Members
from chicorybridge.fleet.profiles import Heartbeat
from chicorybridge.storage.stores import StoreReply


class Rollouts(System):
    """Keep the active version and distribute versions to all hosts.

    It must be ticked after the membership system.
    """

    def __init__(
        self, *, members: Members, is_settled: Callable[[Declaration], bool]
    ) -> None:
        """Start with no version; the host takes no work until it joins.

        `is_settled` returns whether all work on this host that conflicts
        with a declaration has ended, that of its entry processes included.
        """
        self._members = members
        self._version_state = VersionState(is_settled=is_settled)
        self._distributor = Distributor(
            members=members, version_state=self._version_state
        )
        self._confirmations = Confirmations(
            members=members, version_state=self._version_state
        )
        self._join_gate = JoinGate(
            members=members,
            version_state=self._version_state,
            confirmations=self._confirmations,
        )
        self._applies = Applies(
            members=members,
            version_state=self._version_state,
            distributor=self._distributor,
            confirmations=self._confirmations,
        )
        self._operator_handler = OperatorRequestHandler(
            members=members,
            version_state=self._version_state,
            applies=self._applies,
            confirmations=self._confirmations,
        )
        self._head_poller = HeadPoller(members=members)
        members.ready = False

    @property
    def active(self) -> ActiveVersion | None:
        """Return the active version with its declaration."""
        return self._version_state.active

    @property
    def confirmed(self) -> Version:
        """Return the version that this host confirmed."""
        return self._version_state.confirmed

    def may_serve(self, *, now: Millis) -> bool:
        """Return whether this host may take new work at `now`."""
        return now <= self.lease_until()

    def lease_until(self) -> Millis:
        """Return when the lease of this host on taking new work expires."""
        return self._members.lease_until()

    def tick(self, *, now: Millis) -> Effects:
        """Fetch and confirm versions, join the fleet, and advance applies."""
        return [
            *self._head_poller.tick(now=now),
            *self._distributor.request_body(now=now),
            *self._confirmations.confirm(now=now),
            *self._join_gate.tick(now=now),
            *self._applies.tick(now=now),
            *self._operator_handler.tick(now=now),
        ]

    def receive(self, message: Any, *, sender: HostId, now: Millis) -> Effects:
        """Handle a message of a peer, an operator or the platform."""
        return [
            *self._operator_handler.handle(message, sender, now),
            *self._handle(message, sender, now),
        ]

    @functools.singledispatchmethod
    def _handle(self, message: Any, sender: HostId, now: Millis) -> Effects:
        return ()

    @_handle.register
    def _handle_heartbeat(
        self, message: Heartbeat, sender: HostId, now: Millis
    ) -> Effects:
        return self._distributor.handle_heartbeat(
            message, sender=sender, now=now
        )

    @_handle.register
    def _handle_offer(
        self, message: VersionOffered, sender: HostId, now: Millis
    ) -> Effects:
        self._confirmations.add_collector(message.collector)
        return self._distributor.handle_offer(message, sender=sender, now=now)

    @_handle.register
    def _handle_body_request(
        self, message: BodyWanted, sender: HostId, now: Millis
    ) -> Effects:
        return self._distributor.handle_request(message, sender=sender, now=now)

    @_handle.register
    def _handle_body(
        self, message: BodySent, sender: HostId, now: Millis
    ) -> Effects:
        return [
            *self._distributor.handle_body(message, now=now),
            *self._confirmations.confirm(now=now),
        ]

    @_handle.register
    def _handle_report_request(
        self, message: ReportWanted, sender: HostId, now: Millis
    ) -> Effects:
        return self._confirmations.handle_request(message, now=now)

    @_handle.register
    def _handle_report(
        self, message: VersionReport, sender: HostId, now: Millis
    ) -> Effects:
        self._confirmations.record(message)
        return ()

    @_handle.register
    def _handle_reply(
        self, message: StoreReply, sender: HostId, now: Millis
    ) -> Effects:
        if message.token.startswith(APPLY_TOKEN):
            return self._applies.handle_reply(message, now=now)
        if message.token == BODY_TOKEN:
            return self._distributor.handle_object(message, now=now)
        polled = self._head_poller.parse_reply(message)
        if polled is None:
            return ()
        self._join_gate.record_head(
            polled.head.version, requested_at=polled.requested_at
        )
        return self._distributor.record_head(polled.head, now=now)
