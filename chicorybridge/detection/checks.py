"""Check suspected targets with real requests to reach a verdict sooner.

Under low load, it takes a while until a target gets its next request. So
the host that evaluates a suspected target asks a few hosts to send it
their next idempotent request. A request that fails there is retried at
another target, like any other attempt.
"""

import dataclasses

from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import HostId, TargetId
from chicorybridge.common.systems import Effects, SendToEntries, System

# Hosts that get a check request at once, and interval between two such rounds.
CHECKERS_PER_ROUND = 8
CHECK_INTERVAL_MS = 400.0
# How long an entry process keeps a check that it has not sent yet.
CHECK_TTL_MS = 600.0


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CheckRequest:
    """Request that a host sends its next idempotent request to a target."""

    target_id: TargetId


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetCheck:
    """Request a check from the entries of a host, until `valid_until`."""

    target_id: TargetId
    valid_until: Millis


class Checks(System):
    """Forward check requests to the entries of this host."""

    def receive(
        self, message: object, *, sender: HostId, now: Millis
    ) -> Effects:
        """Handle a check request of an evaluating host."""
        if not isinstance(message, CheckRequest):
            return ()
        check = TargetCheck(
            target_id=message.target_id, valid_until=Millis(now + CHECK_TTL_MS)
        )
        return (SendToEntries(message=check),)
