"""Outcomes of requests, from those of their attempts."""

import pytest

from chicorybridge.common.attempts import AttemptOutcome
from chicorybridge.common.outcomes import RequestOutcome, outcome_of
from chicorybridge.tools.models.sample_attempts import make_attempt

SHED = make_attempt(AttemptOutcome.shed)
UNREACHABLE = make_attempt(AttemptOutcome.unreachable, sent_bytes=0)
CUT = make_attempt(AttemptOutcome.cut)
CUT_BEFORE_SENDING = make_attempt(AttemptOutcome.cut, sent_bytes=0)
TIMED_OUT = make_attempt(AttemptOutcome.timed_out)
CANCELLED = make_attempt(AttemptOutcome.cancelled)
ANSWERED = make_attempt(AttemptOutcome.answered)
FAILED = make_attempt(AttemptOutcome.failed)


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
