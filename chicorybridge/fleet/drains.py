"""Graceful shutdown of a host as a sequence of states."""

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
from chicorybridge.common.systems import Effects, Emit, SendToEntries, System
from chicorybridge.fleet.members import Members


@wire
class DrainState(Enum):
    """Stages of a graceful shutdown."""

    serving = 'serving'
    # No longer in the entry list, but still accepts connections: callers
    # may hold an older list.
    withdrawn = 'withdrawn'
    # Accepts connections, and closes each after its current answer.
    closing = 'closing'
    # Accepts no connections; completes the requests in flight.
    finishing = 'finishing'
    # All requests are complete; the process may exit.
    left = 'left'


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DrainRequested:
    """Ask a host to shut down gracefully."""


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DrainAdvanced:
    """Report the stage of a shutdown to entry processes and the operator."""

    host_id: HostId
    state: DrainState


class Drains(System):
    """Shut this host down without aborting or refusing a request.

    `connections` counts the open connections of callers and `in_flight`
    the requests in progress, over all entry processes of the host.
    """

    def __init__(
        self,
        *,
        members: Members,
        connections: Callable[[], int],
        in_flight: Callable[[], int],
    ) -> None:
        """Start in the state `serving`."""
        self.state = DrainState.serving
        self._members = members
        self._connections = connections
        self._in_flight = in_flight
        self._entered_at = Millis(0)

    def receive(self, message: Any, *, sender: HostId, now: Millis) -> Effects:
        """Start draining on a `DrainRequested` message."""
        if not isinstance(message, DrainRequested):
            return ()
        return self.begin(now=now)

    def begin(self, *, now: Millis) -> Effects:
        """Withdraw from the entry list; repeated calls have no effect."""
        if self.state is not DrainState.serving:
            return ()
        notices = self._members.update_profile(leaving=True)
        return [*notices, *self._enter(DrainState.withdrawn, now)]

    def tick(self, *, now: Millis) -> Effects:
        """Move to the next state once the current one is complete."""
        waited = now - self._entered_at
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
        return (
            not self._connections() or waited >= settings.DRAIN_CLOSE_TIMEOUT_MS
        )

    def _leave(self, now: Millis) -> Effects:
        require(
            promise='a graceful shutdown aborts no request',
            holds=not self._in_flight(),
        )
        return [
            *self._members.announce_departure(),
            *self._enter(DrainState.left, now),
        ]

    def _enter(self, state: DrainState, now: Millis) -> Effects:
        self.state = state
        self._entered_at = now
        host_id = self._members.profile.host_id
        kind = (
            EventKind.process_stopped
            if state is DrainState.left
            else EventKind.process_stopping
        )
        event = Event(kind=kind, facts={'state': state.value})
        advanced = DrainAdvanced(host_id=host_id, state=state)
        return [SendToEntries(message=advanced), Emit(event=event)]


def entry_list_expiry_ms() -> int:
    """Return how long after withdrawal callers may use this host.

    They may hold a list that names it for the time to live of the list
    and the time in which the withdrawal reaches all hosts.
    """
    return settings.ENTRY_LIST_TTL_MS + settings.DRAIN_PROPAGATION_MS
