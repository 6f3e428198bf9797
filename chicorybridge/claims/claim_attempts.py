"""Attempts of the entry processes of one host, and outcome reports.

An attempt is pending until its claim is decided, then running until its
outcome is reported. A report is resent until the owner of the key
acknowledges it.
"""

import dataclasses
import itertools
from collections import OrderedDict

from chicorybridge import settings
from chicorybridge.claims.claim_messages import (
    AttemptId,
    ClaimDecided,
    ClaimFinished,
    ClaimRefusal,
    ClaimRequested,
    ClaimVerdict,
    EntryId,
)
from chicorybridge.claims.request_keys import KeyOwner
from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import require
from chicorybridge.common.identities import RequestKey
from chicorybridge.common.outcomes import RequestOutcome

# Interval between resends of a report, as a share of the age of the report.
REPORT_BACKOFF = 0.5


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingAttempt:
    """An attempt without a decision; `owner` is `None` until it is found."""

    request: ClaimRequested
    requested_at: Millis
    owner: KeyOwner | None = None
    sent_at: Millis = Millis(0)
    # Whether the owner keeps it waiting until an earlier attempt ends.
    queued: bool = False

    def has_timed_out(self, now: Millis) -> bool:
        """Return whether the wait for the decision has timed out."""
        limit = settings.CLAIM_DECISION_TIMEOUT_MS
        if self.queued:
            limit = settings.CLAIM_OUTCOME_TIMEOUT_MS
        return now - self.requested_at >= limit

    @property
    def timeout_refusal(self) -> ClaimRefusal:
        """Return the refusal to send when the wait has timed out."""
        if self.queued:
            return ClaimRefusal.under_way
        if self.owner is None:
            return ClaimRefusal.store_unavailable
        return ClaimRefusal.owner_unreachable


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunningAttempt:
    """An attempt that its entry process was allowed to run."""

    request: ClaimRequested
    owner: KeyOwner


@dataclasses.dataclass(kw_only=True, slots=True)
class OutcomeReport:
    """Outcome of an attempt that the owner has not yet acknowledged."""

    finished: ClaimFinished
    created_at: Millis
    sent_at: Millis

    def is_due(self, now: Millis) -> bool:
        """Return whether to resend the report, less often as it ages."""
        age = self.sent_at - self.created_at
        interval = max(settings.CLAIM_RESEND_INTERVAL_MS, age * REPORT_BACKOFF)
        return now - self.sent_at >= interval


class ClaimAttempts:
    """Track attempts from request to report.

    The tables of given-up attempts and of reports each keep at most
    `MAX_CLAIM_REPORTS` entries and evict the oldest.
    """

    def __init__(self) -> None:
        """Create empty tables."""
        self.pending_by_id: dict[AttemptId, PendingAttempt] = {}
        self.running_by_id: dict[AttemptId, RunningAttempt] = {}
        self.reports_by_id: OrderedDict[AttemptId, OutcomeReport] = (
            OrderedDict()
        )
        # Attempts that were given up before they were decided.
        self._given_up: OrderedDict[AttemptId, RequestKey] = OrderedDict()

    def contains(self, attempt_id: AttemptId) -> bool:
        """Return whether an attempt is in one of the tables."""
        return (
            attempt_id in self.pending_by_id
            or attempt_id in self.running_by_id
            or attempt_id in self._given_up
            or attempt_id in self.reports_by_id
        )

    def add_pending(
        self, request: ClaimRequested, *, now: Millis
    ) -> PendingAttempt:
        """Add an attempt that waits for its decision."""
        attempt = PendingAttempt(request=request, requested_at=now)
        self.pending_by_id[request.attempt_id] = attempt
        return attempt

    def mark_queued(self, attempt_id: AttemptId) -> None:
        """Mark a pending attempt as waiting for an earlier one to end."""
        attempt = self.pending_by_id.get(attempt_id)
        if attempt is not None:
            attempt.queued = True

    def record_decision(self, decided: ClaimDecided) -> PendingAttempt | None:
        """Remove and return a pending attempt, `None` if it is not pending.

        An attempt that is allowed to run is recorded as running.
        """
        attempt = self.pending_by_id.pop(decided.attempt_id, None)
        if attempt is None or decided.verdict is not ClaimVerdict.run:
            return attempt
        require(
            promise='an attempt is granted a claim at most once',
            holds=decided.attempt_id not in self.running_by_id,
        )
        if decided.owner is not None:
            self.running_by_id[decided.attempt_id] = RunningAttempt(
                request=attempt.request, owner=decided.owner
            )
        return attempt

    def pending_without_owner(self, key: RequestKey) -> list[PendingAttempt]:
        """Return the pending attempts of a key whose owner is not yet known."""
        return [
            attempt
            for attempt in self.pending_by_id.values()
            if attempt.owner is None and attempt.request.key == key
        ]

    def give_up(self, attempt_id: AttemptId) -> PendingAttempt | None:
        """Stop waiting for a decision; a late grant will be declined."""
        attempt = self.pending_by_id.pop(attempt_id, None)
        if attempt is None:
            return None
        self._given_up[attempt_id] = attempt.request.key
        if len(self._given_up) > settings.MAX_CLAIM_REPORTS:
            self._given_up.popitem(last=False)
        return attempt

    def is_given_up(self, attempt_id: AttemptId) -> bool:
        """Return whether a late grant to this attempt would be declined."""
        return attempt_id in self._given_up

    def decline(self, decided: ClaimDecided) -> ClaimFinished | None:
        """Return the report that a given-up attempt was not run.

        Returns `None` for an attempt that is not among those given up,
        because it may run.
        """
        key = self._given_up.pop(decided.attempt_id, None)
        if key is None or decided.owner is None:
            return None
        return ClaimFinished(
            attempt_id=decided.attempt_id,
            key=key,
            owner=decided.owner,
            outcome=RequestOutcome.not_run,
        )

    def finish(
        self, attempt_id: AttemptId, outcome: RequestOutcome
    ) -> ClaimFinished | None:
        """Remove a running attempt and return the report of its outcome.

        Returns `None` if the attempt is not running.
        """
        attempt = self.running_by_id.pop(attempt_id, None)
        if attempt is None:
            return None
        return ClaimFinished(
            attempt_id=attempt_id,
            key=attempt.request.key,
            owner=attempt.owner,
            outcome=outcome,
        )

    def add_report(self, finished: ClaimFinished, *, now: Millis) -> None:
        """Add a report to resend until the owner of the key acknowledges it."""
        self.reports_by_id[finished.attempt_id] = OutcomeReport(
            finished=finished, created_at=now, sent_at=now
        )
        if len(self.reports_by_id) > settings.MAX_CLAIM_REPORTS:
            self.reports_by_id.popitem(last=False)

    def due_reports(self, *, now: Millis) -> list[ClaimFinished]:
        """Return the reports to resend; delete those that are too old."""
        due = []
        for attempt_id, report in tuple(self.reports_by_id.items()):
            if now - report.created_at >= settings.CLAIM_REPORT_TIMEOUT_MS:
                self.reports_by_id.pop(attempt_id)
            elif report.is_due(now):
                report.sent_at = now
                due.append(report.finished)
        return due

    def ids_of_entry(self, entry_id: EntryId) -> tuple[AttemptId, ...]:
        """Return the pending and running attempts of an entry process."""
        requests = itertools.chain(
            (pending.request for pending in self.pending_by_id.values()),
            (running.request for running in self.running_by_id.values()),
        )
        return tuple(
            request.attempt_id
            for request in requests
            if request.entry_id == entry_id
        )
