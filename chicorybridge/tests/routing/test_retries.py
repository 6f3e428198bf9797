"""Tests of the retry decision and the retry budget."""

import pytest

from chicorybridge.common.attempts import AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import ServiceId, TargetId
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.routing.retries import RequestFacts, RetryBudget, RetryPolicy
from chicorybridge.tools.models.sample_attempts import make_attempt
from chicorybridge.tools.models.sample_declarations import ServiceShape, declare

SERVICE = ServiceId('quotes')
NOW = Millis(1000)
CUT = make_attempt(AttemptOutcome.cut)
SHED = make_attempt(AttemptOutcome.shed)
UNREACHABLE = make_attempt(AttemptOutcome.unreachable, sent_bytes=0)


def _policy() -> RetryPolicy:
    policy = RetryPolicy()
    policy.set_declaration(declare(ServiceShape()))
    return policy


def _facts(**changes) -> RequestFacts:
    values = {'idempotent': True, 'deadline_at': Millis(5000), **changes}
    return RequestFacts(service_id=SERVICE, **values)


@pytest.mark.parametrize(
    ('changes', 'attempts', 'retry'),
    [
        ({}, (CUT,), True),
        ({}, (make_attempt(AttemptOutcome.timed_out),), True),
        ({}, (make_attempt(AttemptOutcome.answered),), False),
        ({}, (make_attempt(AttemptOutcome.failed),), False),
        ({}, (make_attempt(AttemptOutcome.cancelled),), False),
        ({'idempotent': False}, (CUT,), False),
        ({'idempotent': False}, (CUT, SHED), False),
        ({'idempotent': False}, (SHED,), True),
        ({'idempotent': False}, (UNREACHABLE,), True),
        ({'committed': True}, (CUT,), False),
        ({'replayable': False}, (SHED,), False),
        ({'replayable': False}, (UNREACHABLE,), True),
        ({'deadline_at': NOW}, (SHED,), False),
        ({}, (SHED, SHED, SHED), False),
    ],
)
def test_only_safe_and_timely_attempts_are_retried(changes, attempts, retry):
    """A request that may have run is retried only if it is idempotent."""
    decision = _policy().decide(_facts(**changes), attempts, now=NOW)
    assert decision.retry is retry


def test_decision_names_outcome_and_tried_targets():
    """The targets of earlier attempts are excluded from the next one."""
    decision = _policy().decide(
        _facts(),
        (
            make_attempt(AttemptOutcome.cut, target='quotes-1'),
            make_attempt(AttemptOutcome.shed, target='quotes-2'),
        ),
        now=NOW,
    )
    assert decision.outcome is RequestOutcome.unknown
    assert decision.excluded == {TargetId('quotes-1'), TargetId('quotes-2')}


def test_budget_bounds_retries_when_every_attempt_fails():
    """In an outage, retries stay within a tenth of the requests."""
    budget = RetryBudget(share=0.1)
    retries = 0
    for request in range(10_000):
        now = Millis(request * 10)
        budget.deposit(now=now)
        while budget.withdraw(now=now):
            retries += 1
    assert retries <= 1001


def test_budget_decays_without_requests():
    """Past load does not allow a burst of retries later."""
    budget = RetryBudget(share=0.1)
    for _ in range(1000):
        budget.deposit(now=NOW)
    later = Millis(NOW + 120_000)
    assert budget.withdraw(now=later)
    assert not budget.withdraw(now=later)


def test_unknown_service_is_not_retried():
    """A service without a declaration has no retry budget."""
    decision = RetryPolicy().decide(_facts(), (SHED,), now=NOW)
    assert not decision.retry
