"""Model checking of permits, and replay of traces on the code."""

import dataclasses
import random

import pytest

from chicorybridge.detection.permit_holdings import Holding
from chicorybridge.detection.permits import Permits
from chicorybridge.storage.stores import StoreOutcome
from chicorybridge.tools.specifications.permit_replays import PermitReplay
from chicorybridge.tools.specifications.permit_specifications import (
    PermitSpecification,
)
from chicorybridge.tools.specifications.permit_worlds import PermitMutation
from chicorybridge.tools.specifications.specifications import check

# Steps that need a timeout or the end of a process.
TIMED_STEPS = frozenset(
    (
        'lose_contact',
        'replace',
        'recover',
        'resume',
        'expire',
        'reclaim',
        'reclaim_ended',
        'expire_ended',
        'drop_loan',
    )
)


def test_floor_holds_in_every_state():
    """Ejections fit the budget under loss, duplicates and restarts."""
    report = check(
        PermitSpecification(max_contact_losses=1, max_loans=2).build()
    )
    assert report.holds
    assert report.states > 1000


@pytest.mark.long
@pytest.mark.parametrize(
    'specification',
    [
        PermitSpecification(max_contact_losses=2, max_loans=1),
        PermitSpecification(max_contact_losses=1, max_loans=1, budget=2),
        PermitSpecification(hosts=3, max_contact_losses=1, max_loans=1),
    ],
)
def test_floor_holds_in_larger_worlds(specification):
    """Ejections fit the budget with more hosts, slots and loans."""
    assert check(specification.build()).holds


@pytest.mark.parametrize('mutation', list(PermitMutation))
def test_mutated_specification_violates_an_invariant(mutation):
    """Without any one of the safeguards the floor is violated."""
    report = check(PermitSpecification(mutation=mutation).build())
    assert report.holds is False


def test_slots_booked_unanswered_are_claimed_again():
    """Slots of a claim without an answer can be claimed again."""
    replay = PermitReplay(hosts=2, budget=1)
    for label in (('claim_unanswered', 0), ('claim', 0), ('eject', 0)):
        replay.step(label)
    assert replay.hosts[0].service_holding.used == 1


@pytest.mark.parametrize(('hosts', 'budget'), [(2, 1), (3, 2)])
def test_code_follows_random_traces(hosts, budget):
    """The code matches the specification after every step of a trace."""
    for seed in range(60):
        assert _code_follows(hosts, budget, random.Random(seed)), seed


HANDLE_REPLY = Permits._handle_reply


def _book_without_loans(holding, now):
    return holding.owned


def _own_unanswered(permits, reply, *, now):
    done = dataclasses.replace(reply, outcome=StoreOutcome.done)
    return HANDLE_REPLY(permits, done, now=now)


@pytest.mark.parametrize(
    ('owner', 'name', 'mutation'),
    [
        (Holding, 'booked', _book_without_loans),
        (Permits, '_handle_reply', _own_unanswered),
    ],
)
def test_broken_code_does_not_follow(monkeypatch, owner, name, mutation):
    """Code that miscounts slots does not match the specification."""
    monkeypatch.setattr(owner, name, mutation)
    assert not all(
        _code_follows(3, 2, random.Random(seed)) for seed in range(20)
    )


def _code_follows(hosts, budget, rng):
    specification = PermitSpecification(
        hosts=hosts, budget=budget, max_contact_losses=0, max_loans=3
    )
    world = specification.build().initial
    replay = PermitReplay(hosts=hosts, budget=budget)
    for _ in range(30):
        steps = [
            (label, after)
            for label, after in specification.steps(world)
            if label[0] not in TIMED_STEPS
            and not (label[0] == 'readmit' and _is_lent(world))
        ]
        if not steps:
            break
        label, world = rng.choice(steps)
        replay.step(label)
        if not replay.matches(world):
            return False
    return True


def _is_lent(world):
    """Return whether a loan is in transit; it would become stale."""
    return any(
        loan not in world.hosts[loan.borrower].received_loans
        for loan in world.loans
    )
