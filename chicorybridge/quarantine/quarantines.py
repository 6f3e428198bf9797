"""Requests that may crash targets, as seen by one process."""

from collections.abc import Callable, Collection
from typing import Any, Protocol

from chicorybridge import settings
from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import Digest
from chicorybridge.quarantine.crash_evidence import CrashedRun
from chicorybridge.quarantine.crash_reports import (
    CrashPossible,
    CrashReport,
    CrashSuspected,
    Sighting,
    SuspectCleared,
    SuspectRenewed,
    SuspectsKnown,
    SuspectsShared,
    Victim,
    split_reports,
)
from chicorybridge.quarantine.suspects import SuspectTable


class HasDigest(Protocol):
    """A request that is identified by its digest."""

    @property
    def digest(self) -> Digest:
        """Return a digest that is the same for repeats of the request."""


class Quarantine:
    """Requests that may crash targets, as seen by one process."""

    def __init__(self) -> None:
        """Start without suspects."""
        self._suspects = SuspectTable()

    @property
    def is_empty(self) -> bool:
        """Return whether there are no suspects; then no digest is needed."""
        return not len(self._suspects)

    def contains(self, request: HasDigest) -> bool:
        """Return whether a request is suspect.

        Its digest is only computed if there are any suspects.
        """
        return not self.is_empty and request.digest in self._suspects

    def is_suspect(self, digest: Digest) -> bool:
        """Return whether the request with `digest` is suspect."""
        return digest in self._suspects

    def victims(self, digest: Digest) -> tuple[Victim, ...]:
        """Return the targets that ended, or may have, under a request."""
        return self._suspects.victims_of(digest)

    def refuses(self, digest: Digest, *, now: Millis) -> bool:
        """Return whether a request is blamed for crashes and refused."""
        return self._suspects.is_blamed(digest, now=now)

    def record_attempt(
        self, digest: Digest, attempt: Attempt, *, now: Millis
    ) -> CrashReport | None:
        """Record an attempt; return a report for the control process."""
        if may_have_crashed(attempt):
            run = CrashedRun(
                digest=digest,
                target_id=attempt.target_id,
                started_at=attempt.started_at,
            )
            return self.suspect(run, now=now)
        if attempt.outcome is AttemptOutcome.answered:
            return self.clear(digest, now=now)
        return None

    def suspect(self, run: CrashedRun, *, now: Millis) -> CrashSuspected:
        """Record that a target ended under a request; return the report."""
        suspected = CrashSuspected(
            digest=run.digest, victim=self._suspects.next_victim(run)
        )
        self._suspects.add(suspected, now=now)
        return suspected

    def suspect_possibly(
        self, run: CrashedRun, *, now: Millis
    ) -> CrashPossible:
        """Record that a target broke off a request; return the report.

        It counts as a crash until the target turns out to be alive.
        """
        possible = CrashPossible(
            digest=run.digest, victim=self._suspects.next_victim(run)
        )
        self._suspects.add(possible, now=now)
        return possible

    def clear(self, digest: Digest, *, now: Millis) -> SuspectCleared | None:
        """Record that a request was answered; return the report, if news."""
        if self._suspects.clear(digest, now=now):
            return SuspectCleared(digest=digest)
        return None

    def renew(self, digest: Digest, *, now: Millis) -> SuspectRenewed | None:
        """Record that a blamed request came again; return a report if due."""
        if self._suspects.renew(digest, now=now):
            return SuspectRenewed(digest=digest)
        return None

    def receive(self, message: Any, *, now: Millis) -> SuspectsShared | None:
        """Handle a report of another process.

        Return what to pass on if it makes requests blamed.
        """
        match message:
            case CrashSuspected() | CrashPossible():
                return self._add((message,), now)
            case SuspectCleared():
                self._suspects.clear(message.digest, now=now)
            case SuspectRenewed():
                self._suspects.renew(message.digest, now=now)
            case SuspectsKnown():
                return self._add(message.reports, now)
            case SuspectsShared():
                return self._add((*message.suspected, *message.possible), now)
        return None

    def known(self) -> SuspectsKnown | None:
        """Return what a host that has started should know, if anything."""
        reports = self._suspects.reports(limit=settings.MAX_KNOWN_SUSPECTS)
        suspected = split_reports(reports).suspected
        return SuspectsKnown(reports=suspected) if suspected else None

    def shared(self, digest: Digest | None = None) -> SuspectsShared | None:
        """Return what every host should know, of a request or of all.

        That is of those with several victims, if there are any.
        """
        if digest is None:
            reports = self._suspects.reports(
                limit=settings.MAX_SHARED_SUSPECTS,
                min_victims=settings.MIN_VICTIMS,
            )
        else:
            reports = self._suspects.reports_on(digest)
        if len(reports) < settings.MIN_VICTIMS:
            return None
        return split_reports(reports)

    def tick(
        self,
        *,
        has_ended: Callable[[Victim], bool] | None = None,
        now: Millis,
    ) -> None:
        """Drop expired reports, and possible crashes that were none.

        `has_ended` returns whether a target is gone or has started anew since
        a crash, if that is known.
        """
        if has_ended is not None:
            self._suspects.settle(has_ended, now=now)
        self._suspects.expire(now=now)

    def _add(
        self, reports: Collection[Sighting], now: Millis
    ) -> SuspectsShared | None:
        digests = {report.digest for report in reports}
        blamed_before = {
            digest for digest in digests if self.refuses(digest, now=now)
        }
        for report in reports:
            self._suspects.add(report, now=now)
        passed_on: list[Sighting] = []
        for digest in digests - blamed_before:
            if self.refuses(digest, now=now):
                passed_on.extend(self._suspects.reports_on(digest))
        return split_reports(passed_on) if passed_on else None


def may_have_crashed(attempt: Attempt) -> bool:
    """Return whether an attempt may have crashed its target.

    If the connection ended after the answer began, the target is assumed
    to be gray instead.
    """
    if attempt.outcome is not AttemptOutcome.cut:
        return False
    return bool(attempt.sent_bytes) and attempt.first_byte_ms is None
