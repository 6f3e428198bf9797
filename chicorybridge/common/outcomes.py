"""What a caller may rely on after its request: the outcome of the whole."""

from collections.abc import Sequence
from enum import Enum

from chicorybridge.common.attempts import Attempt, AttemptOutcome

# Attempts that brought a whole answer of a target.
COMPLETE_OUTCOMES = frozenset((AttemptOutcome.answered, AttemptOutcome.failed))


class RequestOutcome(Enum):
    """Value of the `Chicorybridge-Outcome` header of every answer."""

    # No target ran any part of the request; it is safe to send it again.
    not_run = 'not-run'
    # A target may have run the request; its answer was not received whole.
    unknown = 'unknown'
    # The answer is the whole answer of a target, errors of it included.
    complete = 'complete'


def was_not_run(attempt: Attempt) -> bool:
    """Tell whether the target surely ran nothing of the request."""
    if attempt.outcome is AttemptOutcome.shed:
        return True
    if attempt.outcome in COMPLETE_OUTCOMES:
        return False
    return attempt.sent_bytes == 0


def outcome_of(attempts: Sequence[Attempt]) -> RequestOutcome:
    """Return the outcome of a request from all its attempts in order.

    A request without attempts was not run. An attempt that may have run
    makes the outcome unknown unless a later one brought a whole answer.
    """
    if attempts and attempts[-1].outcome in COMPLETE_OUTCOMES:
        return RequestOutcome.complete
    if all(was_not_run(attempt) for attempt in attempts):
        return RequestOutcome.not_run
    return RequestOutcome.unknown
