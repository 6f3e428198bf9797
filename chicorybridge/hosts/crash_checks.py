"""Detect requests that crash targets, report them and refuse them."""

from collections.abc import Callable

import curio

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Clock, Millis, as_seconds
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.common.identities import TargetId
from chicorybridge.common.outcomes import COMPLETE_OUTCOMES
from chicorybridge.entry.calls import Call
from chicorybridge.routing.quarantines import (
    CrashReport,
    Quarantine,
    may_have_crashed,
)


class CrashChecks:
    """Suspect requests after which a target accepts no connections.

    A target that is only degraded (gray) resets connections but accepts
    new ones; a crashed target accepts none.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        log: EventLog,
        quarantine: Quarantine,
        answered_since: Callable[[TargetId, Millis], bool],
        broadcast: Callable[[CrashReport], None],
    ) -> None:
        """Send reports with `broadcast`, which reaches all hosts.

        `answered_since` returns whether any host has had an answer of a
        target since a time.
        """
        self._answered_since = answered_since
        self._clock = clock
        self._log = log
        self._quarantine = quarantine
        self._broadcast = broadcast

    def is_quarantined(self, call: Call) -> bool:
        """Return whether a request must not reach another target."""
        if not self._quarantine.contains(call):
            return False
        return self._quarantine.refuses(call.digest, now=self._clock.now())

    def log_sending(self, call: Call, target_id: TargetId) -> None:
        """Log that a suspect is sent to a target."""
        if not self._quarantine.contains(call):
            return
        facts = {
            'digest': call.digest,
            'victims': self._quarantine.victim_count(call.digest),
            'target': target_id,
        }
        self._log.emit(Event(kind=EventKind.suspect_sent, facts=facts))

    async def record_attempt(
        self, call: Call, attempt: Attempt, address: str
    ) -> None:
        """Check an ended attempt; `address` of its target is IP:PORT."""
        if may_have_crashed(attempt) or self._is_silent(attempt):
            await curio.spawn(self._check, call, attempt, address, daemon=True)
        elif attempt.outcome in COMPLETE_OUTCOMES:
            if self._quarantine.contains(call):
                self._report(call, attempt)

    def _is_silent(self, attempt: Attempt) -> bool:
        """Return whether a target became silent during an attempt.

        A target that crashes may leave its connections open. Answers of
        before the crash may still arrive after the attempt began.
        """
        if attempt.outcome is not AttemptOutcome.timed_out:
            return False
        if not attempt.sent_bytes or attempt.first_byte_ms is not None:
            return False
        half_at = Millis(attempt.started_at + attempt.elapsed_ms / 2)
        return not self._answered_since(attempt.target_id, half_at)

    async def _check(self, call: Call, attempt: Attempt, address: str) -> None:
        if await _accepts_connections(address):
            return
        self._broadcast(
            self._quarantine.suspect(
                call.digest, attempt.target_id, now=self._clock.now()
            )
        )
        facts = {'digest': call.digest, 'target': attempt.target_id}
        self._log.emit(Event(kind=EventKind.crash_suspected, facts=facts))

    def _report(self, call: Call, attempt: Attempt) -> None:
        facts = {
            'digest': call.digest,
            'victims': self._quarantine.victim_count(call.digest),
            'target': attempt.target_id,
            'outcome': attempt.outcome.value,
        }
        self._log.emit(Event(kind=EventKind.suspect_cleared, facts=facts))
        report = self._quarantine.record_attempt(
            call.digest, attempt, now=self._clock.now()
        )
        if report is not None:
            self._broadcast(report)


async def _accepts_connections(address: str) -> bool:
    try:
        async with curio.timeout_after(
            as_seconds(settings.HOST_CONNECT_TIMEOUT_MS)
        ):
            sock = await sockets.connect(address)
    except (OSError, curio.TaskTimeout):
        return False
    await sock.close()
    return True
