"""Simulations of claims, and code mutations that they must detect."""

from types import MappingProxyType

import pytest

from chicorybridge.claims import claim_ledgers
from chicorybridge.claims.claim_assignments import Assignment, ClaimAssignments
from chicorybridge.claims.claim_attempts import ClaimAttempts
from chicorybridge.claims.claim_messages import ClaimFinished
from chicorybridge.claims.claim_owners import ClaimOwner
from chicorybridge.claims.claim_rows import OwnerRow
from chicorybridge.claims.claim_tables import Claim, ClaimState, ReceivedRequest
from chicorybridge.common.errors import PromiseError
from chicorybridge.common.identities import RequestKey
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.tools.simulations.claim_runs import ClaimRun, RunPlan

MUTATION_SEED = 7


def _run(seed, minutes):
    claim_run = ClaimRun(plan=RunPlan(seed=seed))
    claim_run.run(minutes=minutes)
    return claim_run.report()


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_promises_hold_under_faults(seed):
    """No key runs twice, answers are right, and most requests complete."""
    report = _run(seed, minutes=5)
    assert report['runs'] > report['keys'] / 2
    assert report['issued_last']['complete'] > report['keys'] / 3


@pytest.mark.long
@pytest.mark.parametrize('seed', range(100, 120))
def test_promises_hold_for_hours(seed):
    """No promise is broken in four simulated hours a seed."""
    _run(seed, minutes=240)


def _held_by_any(claim, attempt_id):
    return True


def _decline_any(attempts, decided):
    return ClaimFinished(
        attempt_id=decided.attempt_id,
        key=RequestKey(decided.attempt_id.split(' ')[1]),
        owner=decided.owner,
        outcome=RequestOutcome.not_run,
    )


def _resolve_as_own(assignments, change, found):
    row = OwnerRow.from_body(found.body)
    return Assignment(key=change.key, row=row, created=True)


def _decide_any(claim_owner, relayed, *, sender, now):
    received_request = ReceivedRequest(request=relayed.request, host_id=sender)
    return claim_owner.decide(received_request, now=now)


MUTATED_STATES = MappingProxyType(
    {
        **claim_ledgers.STATES_BY_OUTCOME,
        RequestOutcome.unknown: ClaimState.released,
    }
)


@pytest.mark.parametrize(
    ('owner', 'name', 'mutation'),
    [
        # An attempt with an unknown outcome releases its key.
        (claim_ledgers, 'STATES_BY_OUTCOME', MUTATED_STATES),
        # A late report of an earlier attempt counts.
        (Claim, 'is_held_by', _held_by_any),
        # A duplicate decision is declined as not run.
        (ClaimAttempts, 'decline', _decline_any),
        # A row that another host wrote counts as written by this one.
        (ClaimAssignments, '_resolve_found', _resolve_as_own),
        # A new process decides the keys of its predecessor.
        (ClaimOwner, 'decide_relayed', _decide_any),
    ],
)
def test_mutation_is_detected(monkeypatch, owner, name, mutation):
    """Without any one of the safeguards a promise is broken."""
    monkeypatch.setattr(owner, name, mutation)
    with pytest.raises(PromiseError):
        _run(MUTATION_SEED, minutes=60)
