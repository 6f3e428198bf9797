"""The planned stop of a host, step by step."""

import dataclasses
from collections.abc import Callable
from enum import Enum
from typing import Any

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.errors import require
from chicorybridge.common.events import Event, EventKind
from chicorybridge.common.identities import HostId
from chicorybridge.common.systems import Effects, Emit, SendEntries, System
from chicorybridge.fleet.members import Members


@wire
class DrainState(Enum):
    """How far a planned stop has come."""

    serving = 'serving'
    # Off the entry list; takes connections, as callers may hold a list.
    withdrawn = 'withdrawn'
    # Takes connections still, and closes each after its answer.
    closing = 'closing'
    # Takes no connections; finishes what is in flight.
    finishing = 'finishing'
    # Nothing is left to do; the process may end.
    left = 'left'


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DrainRequested:
    """Ask a host to stop as planned."""


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DrainAdvanced:
    """Tell the entry processes and the operator how far a stop has come."""

    host_id: HostId
    state: DrainState


class Drains(System):
    """Stop this host without cutting off or refusing anything.

    `connections` counts the open connections of callers, `in_flight` the
    requests under way, over all entry processes of the host.
    """

    def __init__(
        self,
        *,
        members: Members,
        connections: Callable[[], int],
        in_flight: Callable[[], int],
    ) -> None:
        """Start in service."""
        self.state = DrainState.serving
        self._members = members
        self._connections = connections
        self._in_flight = in_flight
        self._since = Millis(0)

    def receive(self, message: Any, *, sender: HostId, now: Millis) -> Effects:
        """Begin to drain when asked to."""
        if not isinstance(message, DrainRequested):
            return ()
        return self.begin(now=now)

    def begin(self, *, now: Millis) -> Effects:
        """Withdraw from the entry list; later calls change nothing."""
        if self.state is not DrainState.serving:
            return ()
        notices = self._members.update_profile(leaving=True)
        return [*notices, *self._enter(DrainState.withdrawn, now)]

    def tick(self, *, now: Millis) -> Effects:
        """Go on to the next state when this one is over."""
        waited = now - self._since
        match self.state:
            case DrainState.withdrawn if waited >= entry_list_expiry_ms():
                return self._enter(DrainState.closing, now)
            case DrainState.closing if self._connections_closed(waited):
                return self._enter(DrainState.finishing, now)
            case DrainState.finishing if not self._in_flight():
                return self._leave(now)
            case _:
                return ()

    def _connections_closed(self, waited: float) -> bool:
        return not self._connections() or waited >= settings.DRAIN_CLOSE_MS

    def _leave(self, now: Millis) -> Effects:
        require(
            promise='a planned stop cuts off no request',
            holds=not self._in_flight(),
        )
        return [
            *self._members.announce_departure(),
            *self._enter(DrainState.left, now),
        ]

    def _enter(self, state: DrainState, now: Millis) -> Effects:
        self.state = state
        self._since = now
        host_id = self._members.profile.host_id
        kind = (
            EventKind.process_stopped
            if state is DrainState.left
            else EventKind.process_stopping
        )
        event = Event(kind=kind, facts={'state': state.value})
        advanced = DrainAdvanced(host_id=host_id, state=state)
        return [SendEntries(message=advanced), Emit(event=event)]


def entry_list_expiry_ms() -> int:
    """Return how long callers may still use a list that names this host."""
    return settings.ENTRY_TTL_MS + settings.DRAIN_SPREAD_MS
