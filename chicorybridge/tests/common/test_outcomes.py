"""Outcomes of requests, from those of their attempts."""

import pytest

from chicorybridge.common.attempts import AttemptOutcome
from chicorybridge.common.outcomes import RequestOutcome, outcome_of
from chicorybridge.tools.models.attempted import attempted

SHED = attempted(AttemptOutcome.shed)
UNREACHABLE = attempted(AttemptOutcome.unreachable, sent_bytes=0)
CUT = attempted(AttemptOutcome.cut)
CUT_BEFORE_SENDING = attempted(AttemptOutcome.cut, sent_bytes=0)
TIMED_OUT = attempted(AttemptOutcome.timed_out)
CANCELLED = attempted(AttemptOutcome.cancelled)
ANSWERED = attempted(AttemptOutcome.answered)
FAILED = attempted(AttemptOutcome.failed)


@pytest.mark.parametrize(
    ('attempts', 'outcome'),
    [
        ((), RequestOutcome.not_run),
        ((SHED, UNREACHABLE, CUT_BEFORE_SENDING), RequestOutcome.not_run),
        ((CUT,), RequestOutcome.unknown),
        ((TIMED_OUT, SHED), RequestOutcome.unknown),
        ((CANCELLED,), RequestOutcome.unknown),
        ((CUT, ANSWERED), RequestOutcome.complete),
        ((FAILED,), RequestOutcome.complete),
    ],
)
def test_outcome_covers_all_attempts(attempts, outcome):
    """Not run means that no attempt ran; complete needs a complete answer."""
    assert outcome_of(attempts) is outcome
