"""Model checking of claims, and replay of traces on the code."""

import random

import pytest

from chicorybridge.common.errors import PromiseError
from chicorybridge.tools.specifications.claim_replays import ClaimReplay
from chicorybridge.tools.specifications.claim_specifications import (
    ClaimSpecification,
)
from chicorybridge.tools.specifications.claim_worlds import ClaimMutation
from chicorybridge.tools.specifications.specifications import check

CONFIGURATIONS = (
    # An issued key: one attempt at its owner, two at the other host.
    {'issued': True, 'hosts_by_attempt': (0, 1, 1)},
    # A key that the caller chose: attempts at two hosts at once.
    {'issued': False, 'hosts_by_attempt': (0, 1)},
)
LONG_CONFIGURATIONS = (
    {'issued': True, 'hosts_by_attempt': (1, 1, 1), 'replacements': 2},
    {'issued': True, 'hosts_by_attempt': (0, 0, 1), 'replacements': 2},
    {'issued': False, 'hosts_by_attempt': (0, 0, 1), 'replacements': 2},
    {'issued': False, 'hosts_by_attempt': (0, 1, 1), 'replacements': 2},
)
MUTATIONS = (
    (ClaimMutation.release_expired, True, (0, 1)),
    (ClaimMutation.accept_any_report, True, (0, 1, 1)),
    (ClaimMutation.decide_for_replaced, True, (0, 1)),
    (ClaimMutation.trust_any_row, False, (0, 0)),
    (ClaimMutation.decline_any, True, (0, 1)),
)


@pytest.mark.parametrize('configuration', CONFIGURATIONS)
def test_invariants_hold_in_every_state(configuration):
    """Invariants hold under any loss, delay, pause and replacement."""
    report = check(ClaimSpecification(**configuration).build())
    assert report.holds
    assert report.states > 1000


@pytest.mark.long
@pytest.mark.parametrize('configuration', LONG_CONFIGURATIONS)
def test_invariants_hold_in_larger_worlds(configuration):
    """Invariants hold with more attempts and replacements."""
    assert check(ClaimSpecification(**configuration).build()).holds


@pytest.mark.parametrize(('mutation', 'issued', 'hosts_by_attempt'), MUTATIONS)
def test_mutated_specification_violates_an_invariant(
    mutation, issued, hosts_by_attempt
):
    """A mutation violates an invariant on a trace the code does not follow."""
    variant = ClaimSpecification(
        issued=issued, hosts_by_attempt=hosts_by_attempt, mutation=mutation
    )
    report = check(variant.build())
    assert report.holds is False
    assert not _code_follows(variant, report.trace)


@pytest.mark.parametrize('configuration', CONFIGURATIONS)
def test_code_follows_random_traces(configuration):
    """The code matches the specification after every step of a trace."""
    specification = ClaimSpecification(**configuration)
    for seed in range(200):
        trace = _random_trace(specification, random.Random(seed))
        assert _code_follows(specification, trace), f'seed {seed}'


@pytest.mark.long
@pytest.mark.parametrize('configuration', LONG_CONFIGURATIONS)
def test_code_follows_many_random_traces(configuration):
    """Code matches with more attempts, replacements and seeds."""
    specification = ClaimSpecification(**configuration)
    for seed in range(10_000):
        trace = _random_trace(specification, random.Random(seed))
        assert _code_follows(specification, trace), f'seed {seed}'


def _random_trace(specification, rng):
    """Return the labels of a random walk; replacements are rare in it."""
    state = specification.build().initial
    trace = []
    for _ in range(25):
        steps = [
            (label, after)
            for label, after in specification.steps(state)
            if label[0] != 'replace' or not rng.randrange(10)
        ]
        if not steps:
            break
        label, state = rng.choice(steps)
        trace.append(label)
    return trace


def _code_follows(specification, trace):
    replay = ClaimReplay(
        hosts_by_attempt=specification.hosts_by_attempt,
        issued=specification.issued,
    )
    state = specification.build().initial
    for label in trace:
        state = dict(specification.steps(state))[label]
        try:
            replay.step(label)
        except PromiseError:
            return False
        if not replay.matches(state):
            return False
    return True
