"""Handlers of operators' requests about configuration versions."""

import functools
from collections.abc import Iterator
from typing import Any

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import NO_VERSION, HostId
from chicorybridge.common.systems import Effect, Effects, Send
from chicorybridge.configuration.applies import NONBLOCKING_REASONS, Applies
from chicorybridge.configuration.confirmations import Confirmations
from chicorybridge.configuration.version_states import VersionState
from chicorybridge.configuration.versions import (
    ApplyRequested,
    ApplyWatched,
    CurrentDeclaration,
    CurrentRequested,
    FleetStatus,
    StatusRequested,
)
from chicorybridge.fleet.members import Members


class OperatorRequestHandler:
    """Handle applies, and queries for the fleet status and declaration.

    The sender of such a message is the id of an operator's stream, to
    which the reply is sent.
    """

    def __init__(
        self,
        *,
        members: Members,
        version_state: VersionState,
        applies: Applies,
        confirmations: Confirmations,
    ) -> None:
        """Start without pending status queries."""
        self._members = members
        self._version_state = version_state
        self._applies = applies
        self._confirmations = confirmations
        self._status_due_at: dict[HostId, Millis] = {}

    def tick(self, *, now: Millis) -> Iterator[Effect]:
        """Send the status, `STATUS_TIMEOUT_MS` after it was requested."""
        for operator, due in tuple(self._status_due_at.items()):
            if now < due:
                continue
            self._status_due_at.pop(operator)
            yield Send(to=operator, message=self._fleet_status(now))

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: HostId, now: Millis) -> Effects:
        """Handle one request; ignore messages of other types."""
        return ()

    @handle.register
    def _handle_apply(
        self, message: ApplyRequested, sender: HostId, now: Millis
    ) -> Effects:
        return self._applies.handle_request(message, sender=sender, now=now)

    @handle.register
    def _handle_watch(
        self, message: ApplyWatched, sender: HostId, now: Millis
    ) -> Effects:
        return self._applies.handle_watch(message, sender=sender, now=now)

    @handle.register
    def _handle_current(
        self, message: CurrentRequested, sender: HostId, now: Millis
    ) -> Effects:
        active = self._version_state.active
        current = CurrentDeclaration(
            version=self._version_state.version,
            digest=self._version_state.digest,
            body=active.declaration.body if active else b'',
        )
        return [Send(to=sender, message=current)]

    @handle.register
    def _handle_status(
        self, message: StatusRequested, sender: HostId, now: Millis
    ) -> Effects:
        self._status_due_at[sender] = Millis(now + settings.STATUS_TIMEOUT_MS)
        peer_ids = set(self._members.peers.links_by_id)
        return self._confirmations.request_reports(
            peer_ids, self._version_state.confirmed, now=now
        )

    def _fleet_status(self, now: Millis) -> FleetStatus:
        newest = self._version_state.newest
        statuses = self._confirmations.statuses(
            newest.version if newest else NO_VERSION,
            excused=self._members.peers.excused(now),
            now=now,
        )
        lagging = any(
            status.reason not in NONBLOCKING_REASONS for status in statuses
        )
        cut_off = self._members.is_cut_off(now)
        return FleetStatus(
            head=newest,
            accepted=newest is not None and not lagging and not cut_off,
            hosts=statuses,
        )
