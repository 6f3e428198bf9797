"""Model checking of claims, and the tie to the code."""

import random

import pytest

from chicorybridge.common.errors import PromiseError
from chicorybridge.tools.specifications.claim_replays import ClaimReplay
from chicorybridge.tools.specifications.claim_specifications import (
    ClaimSpecification,
)
from chicorybridge.tools.specifications.claim_worlds import Broken
from chicorybridge.tools.specifications.specifications import check

CONFIGURATIONS = (
    # An issued key, tried through its owner and twice through another.
    {'issued': True, 'hosts_by_try': (0, 1, 1)},
    # A key of a caller, tried through two hosts at once.
    {'issued': False, 'hosts_by_try': (0, 1)},
)
LONG_CONFIGURATIONS = (
    {'issued': True, 'hosts_by_try': (1, 1, 1), 'replacements': 2},
    {'issued': True, 'hosts_by_try': (0, 0, 1), 'replacements': 2},
    {'issued': False, 'hosts_by_try': (0, 0, 1), 'replacements': 2},
    {'issued': False, 'hosts_by_try': (0, 1, 1), 'replacements': 2},
)
BROKEN = (
    (Broken.lapse_frees, True, (0, 1)),
    (Broken.any_report, True, (0, 1, 1)),
    (Broken.gone_decides, True, (0, 1)),
    (Broken.row_trusted, False, (0, 0)),
    (Broken.decline_any, True, (0, 1)),
)


@pytest.mark.parametrize('configuration', CONFIGURATIONS)
def test_promises_hold_in_every_state(configuration):
    """No order of messages, losses, pauses and replacements breaks one."""
    report = check(ClaimSpecification(**configuration).build())
    assert report.holds
    assert report.states > 1000


@pytest.mark.long
@pytest.mark.parametrize('configuration', LONG_CONFIGURATIONS)
def test_promises_hold_in_larger_worlds(configuration):
    """The same with more tries and replacements."""
    assert check(ClaimSpecification(**configuration).build()).holds


@pytest.mark.parametrize(('broken', 'issued', 'hosts_by_try'), BROKEN)
def test_broken_variant_is_caught(broken, issued, hosts_by_try):
    """The counterexample breaks the variant and does not fit the code."""
    variant = ClaimSpecification(
        issued=issued, hosts_by_try=hosts_by_try, broken=broken
    )
    report = check(variant.build())
    assert report.holds is False
    assert not _code_follows(variant, report.trace)


@pytest.mark.parametrize('configuration', CONFIGURATIONS)
def test_code_follows_random_traces(configuration):
    """After every step of a trace, code and specification agree."""
    specification = ClaimSpecification(**configuration)
    for seed in range(200):
        trace = _walk(specification, random.Random(seed))
        assert _code_follows(specification, trace), f'seed {seed}'


@pytest.mark.long
@pytest.mark.parametrize('configuration', LONG_CONFIGURATIONS)
def test_code_follows_many_random_traces(configuration):
    """The same with more tries and replacements, and many seeds."""
    specification = ClaimSpecification(**configuration)
    for seed in range(10_000):
        trace = _walk(specification, random.Random(seed))
        assert _code_follows(specification, trace), f'seed {seed}'


def _walk(specification, rng):
    """Return the labels of a random walk, without most replacements."""
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
        hosts_by_try=specification.hosts_by_try, issued=specification.issued
    )
    state = specification.build().initial
    for label in trace:
        state = dict(specification.steps(state))[label]
        try:
            replay.step(label)
        except PromiseError:
            return False
        if not replay.shows(state):
            return False
    return True
