"""Model checking of permits."""

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
from chicorybridge.tools.specifications.permit_worlds import BrokenPermit
from chicorybridge.tools.specifications.specifications import check

# Steps that need time to pass, or a process to end.
BOUND_BY_TIME = frozenset(
    (
        'fall_silent',
        'replace',
        'wake',
        'resume',
        'lapse',
        'strike',
        'strike_ended',
        'fade',
        'drop_loan',
    )
)


def test_floor_is_kept_in_every_state():
    """No loss, duplicate, silence or restart ejects too much."""
    report = check(PermitSpecification(contacts=1, serials=2).build())
    assert report.holds
    assert report.states > 1000


@pytest.mark.long
@pytest.mark.parametrize(
    'specification',
    [
        PermitSpecification(contacts=2, serials=1),
        PermitSpecification(contacts=1, serials=1, budget=2),
        PermitSpecification(hosts=3, contacts=1, serials=1),
    ],
)
def test_floor_is_kept_in_larger_worlds(specification):
    """The same with more hosts, slots, silences and loans."""
    assert check(specification.build()).holds


@pytest.mark.parametrize('broken', list(BrokenPermit))
def test_broken_variant_is_caught(broken):
    """Each safeguard is needed to keep the floor."""
    report = check(PermitSpecification(broken=broken).build())
    assert report.holds is False


def test_slots_booked_unanswered_are_claimed_again():
    """A claim that took effect unanswered does not keep its slots away."""
    replay = PermitReplay(hosts=2, budget=1)
    for label in (('claim_unanswered', 0), ('claim', 0), ('eject', 0)):
        replay.step(label)
    assert replay.hosts[0].holding.used == 1


@pytest.mark.parametrize(('hosts', 'budget'), [(2, 1), (3, 2)])
def test_code_follows_random_traces(hosts, budget):
    """After every step of a trace, code and specification agree."""
    for seed in range(60):
        assert _code_follows(hosts, budget, random.Random(seed)), seed


HANDLE_REPLY = Permits._handle_reply


def _book_without_loans(holding, now):
    return holding.owned


def _own_unanswered(permits, reply, *, now):
    done = dataclasses.replace(reply, outcome=StoreOutcome.done)
    return HANDLE_REPLY(permits, done, now=now)


@pytest.mark.parametrize(
    ('owner', 'name', 'broken'),
    [
        (Holding, 'booked', _book_without_loans),
        (Permits, '_handle_reply', _own_unanswered),
    ],
)
def test_broken_code_does_not_follow(monkeypatch, owner, name, broken):
    """Code that loses count of slots differs from the specification."""
    monkeypatch.setattr(owner, name, broken)
    assert not all(
        _code_follows(3, 2, random.Random(seed)) for seed in range(20)
    )


def _code_follows(hosts, budget, rng):
    specification = PermitSpecification(
        hosts=hosts, budget=budget, contacts=0, serials=3
    )
    world = specification.build().initial
    replay = PermitReplay(hosts=hosts, budget=budget)
    for _ in range(30):
        steps = [
            (label, after)
            for label, after in specification.steps(world)
            if label[0] not in BOUND_BY_TIME
            and not (label[0] == 'readmit' and _is_lent(world))
        ]
        if not steps:
            break
        label, world = rng.choice(steps)
        replay.step(label)
        if not replay.shows(world):
            return False
    return True


def _is_lent(world):
    """Tell whether a loan is on its way, which time would make stale."""
    return any(
        loan not in world.hosts[loan.borrower].taken for loan in world.loans
    )
