"""Decision logic without input and output, and the effects that it returns.

A system is a set of decisions over its own tables. The process that runs it
delivers messages to `receive` and calls `tick`; both return effects, which
the process carries out. A system never uses a socket, a wall clock or the
global random number generator, so that tests and simulations can replay it.
"""

import dataclasses
from collections.abc import Iterable
from typing import Any, TypeAlias

from chicorybridge.common.clocks import Millis
from chicorybridge.common.events import Event
from chicorybridge.common.identities import HostId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Send:
    """Send `message` to the control process of the host `to`."""

    to: HostId
    message: Any


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendToEntries:
    """Send `message` to all entry processes of this host."""

    message: Any


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallStore:
    """Send a request to the platform's store; a `StoreReply` answers it.

    `request` is one of the request types in `stores`; `token` names the
    system and the reply that it waits for, such as `rollouts:head`.
    """

    token: str
    request: Any


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Emit:
    """Log an event, which is also kept for the timeline."""

    event: Event


Effect: TypeAlias = Send | SendToEntries | CallStore | Emit
Effects: TypeAlias = Iterable[Effect]


class System:
    """Base of the systems; by default it does nothing."""

    def tick(self, *, now: Millis) -> Effects:
        """Make the decisions that are due at `now`; return their effects."""
        return ()

    def receive(self, message: Any, *, sender: HostId, now: Millis) -> Effects:
        """Handle a message of `sender`, which may be this host."""
        return ()
