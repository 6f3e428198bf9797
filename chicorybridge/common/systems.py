"""What every decision system shares: effects instead of input and output.

A system keeps entities in tables. The shell around it passes messages in
and calls `tick`; both return effects, which the shell carries out. A
system never touches a socket, a wall clock or the global random numbers.
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
    """Send `message` to every entry process of this host."""

    message: Any


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallStore:
    """Ask the platform; the reply comes back as a `StoreReply`.

    `request` is one of the request types in `stores`; `token` names the
    system and what it waits for, such as `rollouts:head`.
    """

    token: str
    request: Any


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Emit:
    """Write an event to the time line."""

    event: Event


Effect: TypeAlias = Send | SendToEntries | CallStore | Emit
Effects: TypeAlias = Iterable[Effect]


class System:
    """One family of decisions over its own tables."""

    def tick(self, *, now: Millis) -> Effects:
        """Run the decisions that are due at `now`."""
        return ()

    def receive(self, message: Any, *, sender: HostId, now: Millis) -> Effects:
        """Take in a message that `sender` sent, this host included."""
        return ()
