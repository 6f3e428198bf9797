"""Randomised runs of claims, and broken variants that they must catch."""

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

BROKEN_SEED = 7


def _run(seed, minutes):
    trial = ClaimRun(plan=RunPlan(seed=seed))
    trial.run(minutes=minutes)
    return trial.report()


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_promises_hold_under_faults(seed):
    """No key runs twice, no answer is wrong, and work gets done."""
    report = _run(seed, minutes=5)
    assert report['runs'] > report['keys'] / 2
    assert report['issued_last']['complete'] > report['keys'] / 3


@pytest.mark.long
@pytest.mark.parametrize('seed', range(100, 120))
def test_promises_hold_for_hours(seed):
    """The same for four simulated hours a seed."""
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


def _read_as_ours(assignments, change, found):
    row = OwnerRow.from_body(found.body)
    return Assignment(key=change.key, row=row, created=True)


def _decide_any(claim_owner, relayed, *, sender, now):
    received_request = ReceivedRequest(request=relayed.request, host_id=sender)
    return claim_owner.decide(received_request, now=now)


BROKEN_STATES = MappingProxyType(
    {
        **claim_ledgers.STATES_BY_OUTCOME,
        RequestOutcome.unknown: ClaimState.released,
    }
)


@pytest.mark.parametrize(
    ('owner', 'name', 'broken'),
    [
        # A try with an unknown end frees its key.
        (claim_ledgers, 'STATES_BY_OUTCOME', BROKEN_STATES),
        # A late report of an earlier try counts.
        (Claim, 'is_held_by', _held_by_any),
        # A decision that came twice is given back.
        (ClaimAttempts, 'decline', _decline_any),
        # A row that another host wrote is taken for ours.
        (ClaimAssignments, '_resolve_found', _read_as_ours),
        # A new process decides the keys of the one before it.
        (ClaimOwner, 'decide_relayed', _decide_any),
    ],
)
def test_broken_variant_is_caught(monkeypatch, owner, name, broken):
    """Each safeguard is needed: without it a promise breaks in a run."""
    monkeypatch.setattr(owner, name, broken)
    with pytest.raises(PromiseError):
        _run(BROKEN_SEED, minutes=60)
