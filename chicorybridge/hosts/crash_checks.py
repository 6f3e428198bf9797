"""Detect requests that crash targets, report them and refuse them."""

import dataclasses
from collections.abc import Callable

import curio

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Clock, Millis, as_seconds
from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.common.identities import TargetId
from chicorybridge.entry.answers import proves_survival
from chicorybridge.entry.attempt_runners import AttemptLimits
from chicorybridge.entry.calls import Call
from chicorybridge.entry.refusals import RefusalError
from chicorybridge.fleet.directories import TargetDirectory, TargetEntry
from chicorybridge.http.exchanges import Head
from chicorybridge.quarantine.crash_evidence import CrashedRun
from chicorybridge.quarantine.crash_reports import CrashMessage, CrashPossible
from chicorybridge.quarantine.quarantines import Quarantine, may_have_crashed


class CrashChecks:
    """Suspect requests under which targets end, and refuse blamed ones.

    A target that breaks off a request has crashed if it then accepts no
    connections. Otherwise it may have restarted, or be degraded (gray): it
    counts as crashed until it turns out to be alive.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        log: EventLog,
        quarantine: Quarantine,
        directory: TargetDirectory,
        answered_since: Callable[[TargetId, Millis], bool],
        broadcast: Callable[[CrashMessage], None],
        tell_witnesses: Callable[[CrashPossible], None],
    ) -> None:
        """Send reports with `broadcast`, which reaches all hosts.

        Most possible crashes go to a few with `tell_witnesses`.

        `answered_since` returns whether any host has had an answer of a
        target since a time.
        """
        self._answered_since = answered_since
        self._clock = clock
        self._log = log
        self._quarantine = quarantine
        self._directory = directory
        self._broadcast = broadcast
        self._tell_witnesses = tell_witnesses

    def is_quarantined(self, call: Call) -> bool:
        """Return whether a request must not reach another target."""
        if not self._quarantine.contains(call):
            return False
        return self._quarantine.refuses(call.digest, now=self._clock.now())

    def check(self, call: Call) -> None:
        """Raise `RefusalError` if a request must not reach another target."""
        if not self.is_quarantined(call):
            return
        renewed = self._quarantine.renew(call.digest, now=self._clock.now())
        if renewed is not None:
            self._broadcast(renewed)
        raise RefusalError(
            code=ErrorCode.request_quarantined,
            detail='targets crashed while they ran this request',
            outcome=call.outcome,
            retry_after_ms=settings.QUARANTINE_RETRY_AFTER_MS,
        )

    def guard(self, call: Call, limits: AttemptLimits) -> AttemptLimits:
        """Return limits by which a call goes nowhere once it is blamed.

        It may be blamed while it waits for a slot or a connection.
        """
        return dataclasses.replace(
            limits,
            may_send=lambda: (
                limits.may_send() and not self.is_quarantined(call)
            ),
            may_hedge=lambda: (
                limits.may_hedge() and not self.is_quarantined(call)
            ),
        )

    def log_sending(self, call: Call, target_id: TargetId) -> None:
        """Log that a suspect is sent to a target."""
        if not self._quarantine.contains(call):
            return
        facts = {
            'digest': call.digest,
            'victims': len(self._quarantine.victims(call.digest)),
            'target': target_id,
        }
        self._log.emit(Event(kind=EventKind.suspect_sent, facts=facts))

    async def check_stalled(
        self, call: Call, entry: TargetEntry, *, started_at: Millis
    ) -> None:
        """Check a target that answers nobody since an attempt began.

        One that crashed may leave its connections open.
        """
        if self._answered_since(entry.target_id, started_at):
            return
        if await _accepts_connections(entry.address):
            return
        self._suspect(_crashed_run(call, entry, started_at))

    async def record_attempt(
        self,
        call: Call,
        attempt: Attempt,
        entry: TargetEntry,
        *,
        head: Head | None,
    ) -> None:
        """Check an ended attempt; `head` is that of its answer, if any."""
        if proves_survival(call, attempt, head):
            self._clear(call, attempt)
            return
        if may_have_crashed(attempt) or self._proves_nothing(call, attempt):
            # Counts at once, before the request can go to another target.
            run = _crashed_run(call, entry, attempt.started_at)
            possible = self._quarantine.suspect_possibly(
                run, now=self._clock.now()
            )
            call.untold_crashes[possible] = False
            await curio.spawn(
                self._check_cut, call, run, possible, entry, daemon=True
            )
        elif self._is_silent(call, attempt):
            await curio.spawn(
                self._check_silent, call, attempt, entry, daemon=True
            )

    def end(self, call: Call) -> None:
        """Tell the others which targets may have crashed under a call.

        Not if another target has answered it.
        """
        call.is_over = True
        for possible, is_checked in call.untold_crashes.items():
            if is_checked:
                self._tell(possible)

    def _proves_nothing(self, call: Call, attempt: Attempt) -> bool:
        """Return whether a request that may be blamed soon was sent in vain.

        The targets that reject it, or fail at once, don't show what it does to
        those that run it, and each sending counts.
        """
        if not attempt.sent_bytes or not self._quarantine.contains(call):
            return False
        if attempt.outcome is AttemptOutcome.cancelled:
            return False
        victims = len(self._quarantine.victims(call.digest))
        return victims >= settings.MAX_VICTIMS

    def _is_silent(self, call: Call, attempt: Attempt) -> bool:
        """Return whether a target became silent during an attempt.

        A target that crashes may leave its connections open. Answers of
        before the crash may still arrive after the attempt began. The callers
        of most cancelled requests just left early.
        """
        if not attempt.sent_bytes or attempt.first_byte_ms is not None:
            return False
        if attempt.outcome is AttemptOutcome.cancelled:
            if not self._quarantine.contains(call):
                return False
        elif attempt.outcome is not AttemptOutcome.timed_out:
            return False
        half_at = Millis(attempt.started_at + attempt.elapsed_ms / 2)
        return not self._answered_since(attempt.target_id, half_at)

    async def _check_cut(
        self,
        call: Call,
        run: CrashedRun,
        possible: CrashPossible,
        entry: TargetEntry,
    ) -> None:
        if await self._is_alive(entry):
            call.untold_crashes[possible] = True
            if call.is_over:
                self._tell(possible)
            return
        call.untold_crashes.pop(possible, None)
        self._suspect(run)

    def _tell(self, possible: CrashPossible) -> None:
        if not self._quarantine.is_suspect(possible.digest):
            return
        shared = self._quarantine.shared(possible.digest)
        if shared is None:
            self._tell_witnesses(possible)
        else:
            self._broadcast(shared)

    async def _check_silent(
        self, call: Call, attempt: Attempt, entry: TargetEntry
    ) -> None:
        if not await self._is_alive(entry):
            self._suspect(_crashed_run(call, entry, attempt.started_at))

    async def _is_alive(self, entry: TargetEntry) -> bool:
        """Return whether a target that was chosen by `entry` seems alive."""
        listed = self._directory.in_use(entry.target_id)
        if listed is None or listed.started_at_ms != entry.started_at_ms:
            return False
        return await _accepts_connections(entry.address)

    def _suspect(self, run: CrashedRun) -> None:
        suspected = self._quarantine.suspect(run, now=self._clock.now())
        self._broadcast(suspected)
        facts = {
            'digest': run.digest,
            'target': run.target_id,
            'victims': len(self._quarantine.victims(run.digest)),
        }
        self._log.emit(Event(kind=EventKind.crash_suspected, facts=facts))

    def _clear(self, call: Call, attempt: Attempt) -> None:
        if not self._quarantine.contains(call):
            return
        untold = {possible.victim for possible in call.untold_crashes}
        is_known = not untold.issuperset(self._quarantine.victims(call.digest))
        facts = {
            'digest': call.digest,
            'victims': len(self._quarantine.victims(call.digest)),
            'target': attempt.target_id,
            'outcome': attempt.outcome.value,
        }
        report = self._quarantine.clear(call.digest, now=self._clock.now())
        if report is None or not is_known:
            return
        self._log.emit(Event(kind=EventKind.suspect_cleared, facts=facts))
        self._broadcast(report)


def _crashed_run(
    call: Call, entry: TargetEntry, started_at: Millis
) -> CrashedRun:
    return CrashedRun(
        digest=call.digest,
        target_id=entry.target_id,
        started_at=started_at,
        target_started_at_ms=entry.started_at_ms,
    )


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
