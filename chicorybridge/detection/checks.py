"""Check a target in doubt with real work, so that doubt ends soon.

With little load, a target gets its next request only after a while. The
judge of a target in doubt asks a few hosts to send it their next
idempotent request. A check that fails is retried elsewhere like any other
attempt.
"""

import dataclasses

from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import HostId, TargetId
from chicorybridge.common.systems import Effects, SendEntries, System

# Hosts that are asked at once, and time between two rounds for a target.
CHECKERS_PER_ROUND = 8
CHECK_INTERVAL_MS = 400.0
# How long an entry process keeps a check that it has not made.
CHECK_TTL_MS = 600.0


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CheckRequest:
    """Ask a host to send its next idempotent request to a target."""

    target_id: TargetId


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetCheck:
    """Ask the entries for a check, until `valid_until`."""

    target_id: TargetId
    valid_until: Millis


class Checks(System):
    """Pass requests for checks to the entries of this host."""

    def receive(
        self, message: object, *, sender: HostId, now: Millis
    ) -> Effects:
        """Take in a request of a judge."""
        if not isinstance(message, CheckRequest):
            return ()
        check = TargetCheck(
            target_id=message.target_id, valid_until=Millis(now + CHECK_TTL_MS)
        )
        return (SendEntries(message=check),)
