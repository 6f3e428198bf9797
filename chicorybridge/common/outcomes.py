"""Outcomes of requests, as reported to callers."""

from collections.abc import Sequence
from enum import Enum

from chicorybridge.common.attempts import Attempt, AttemptOutcome

# Outcomes of attempts with a complete answer of the target.
COMPLETE_OUTCOMES = frozenset((AttemptOutcome.answered, AttemptOutcome.failed))


class RequestOutcome(Enum):
    """Value of the `Chicorybridge-Outcome` header of every answer."""

    # No target ran any part of the request; it is safe to send it again.
    not_run = 'not-run'
    # A target may have run the request, but no complete answer was received.
    unknown = 'unknown'
    # The answer is the complete answer of a target; it may be an error.
    complete = 'complete'


def was_not_run(attempt: Attempt) -> bool:
    """Return whether the target certainly did not run the request."""
    if attempt.outcome is AttemptOutcome.shed:
        return True
    if attempt.outcome in COMPLETE_OUTCOMES:
        return False
    return attempt.sent_bytes == 0


def outcome_of(attempts: Sequence[Attempt]) -> RequestOutcome:
    """Return the outcome of a request from all its attempts, in order.

    A request without attempts was not run. If an attempt may have run, the
    outcome is unknown unless the last one has a complete answer.
    """
    if attempts and attempts[-1].outcome in COMPLETE_OUTCOMES:
        return RequestOutcome.complete
    if all(was_not_run(attempt) for attempt in attempts):
        return RequestOutcome.not_run
    return RequestOutcome.unknown
