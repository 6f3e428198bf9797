"""What operators ask of a host: applies, the fleet's status, and plans."""

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


class Operators:
    """Answer the messages that the shell relays for operators.

    The sender of such a message names the operator's stream; replies go
    back to it.
    """

    def __init__(
        self,
        *,
        members: Members,
        version_state: VersionState,
        applies: Applies,
        confirmations: Confirmations,
    ) -> None:
        """Start with nobody waiting."""
        self._members = members
        self._version_state = version_state
        self._applies = applies
        self._confirmations = confirmations
        self._statuses_due: dict[HostId, Millis] = {}

    def tick(self, *, now: Millis) -> Iterator[Effect]:
        """Answer the operators whose wait is over."""
        for operator, due in tuple(self._statuses_due.items()):
            if now < due:
                continue
            self._statuses_due.pop(operator)
            yield Send(to=operator, message=self._status(now))

    @functools.singledispatchmethod
    def take(self, message: Any, sender: HostId, now: Millis) -> Effects:
        """Take in one message; other messages are left alone."""
        return ()

    @take.register
    def _take_apply(
        self, message: ApplyRequested, sender: HostId, now: Millis
    ) -> Effects:
        return self._applies.handle_request(message, sender=sender, now=now)

    @take.register
    def _take_watch(
        self, message: ApplyWatched, sender: HostId, now: Millis
    ) -> Effects:
        return self._applies.handle_watch(message, sender=sender, now=now)

    @take.register
    def _take_current(
        self, message: CurrentRequested, sender: HostId, now: Millis
    ) -> Effects:
        active = self._version_state.active
        current = CurrentDeclaration(
            version=self._version_state.version,
            digest=self._version_state.digest,
            body=active.declaration.body if active else b'',
        )
        return [Send(to=sender, message=current)]

    @take.register
    def _take_status(
        self, message: StatusRequested, sender: HostId, now: Millis
    ) -> Effects:
        self._statuses_due[sender] = Millis(now + settings.STATUS_TIMEOUT_MS)
        everyone = set(self._members.peers.links_by_id)
        return self._confirmations.request_reports(
            everyone, self._version_state.confirmed, now=now
        )

    def _status(self, now: Millis) -> FleetStatus:
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
