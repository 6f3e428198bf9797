"""Tests of local weights."""

import pytest

from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, TargetId
from chicorybridge.detection.baselines import UNKNOWN, Residual
from chicorybridge.detection.notices import TargetLimits
from chicorybridge.routing.weights import MIN_WEIGHT, Weights
from chicorybridge.tools.models.mixed_declarations import (
    READ_ROUTE,
    SERVICE_ID,
    declare,
)

EVERYONE = tuple(declare(targets=10).targets_by_id)
HOST = HostId('host-00')
FIRST = TargetId('target-00')
CLEARLY_LESS = 0.5
NEARLY_ALL = 0.9


def _attempt(target_id, outcome):
    return Attempt(
        service_id=SERVICE_ID,
        target_id=target_id,
        route_id=READ_ROUTE,
        outcome=outcome,
        started_at=Millis(0),
        elapsed_ms=10,
    )


@pytest.fixture
def weights():
    """Return the weights of ten targets with a floor of 0.7."""
    system = Weights()
    system.configure(declare(targets=10, floor=0.7))
    return system


def _fail(weights, target_id, *, times):
    for _ in range(times):
        attempt = _attempt(target_id, AttemptOutcome.failed)
        weights.record(attempt, UNKNOWN)


def test_failures_leave_a_trickle_and_answers_bring_it_back(weights):
    """A failing target keeps a trickle; good answers restore it."""
    _fail(weights, FIRST, times=10)
    assert weights.weight_of(FIRST) == pytest.approx(MIN_WEIGHT)
    for _ in range(30):
        attempt = _attempt(FIRST, AttemptOutcome.answered)
        weights.record(attempt, UNKNOWN)
    assert weights.weight_of(FIRST) == 1


def test_cancelled_attempts_say_nothing(weights):
    """What a caller breaks off does not count against a target."""
    weights.record(_attempt(FIRST, AttemptOutcome.cancelled), UNKNOWN)
    assert weights.weight_of(FIRST) == 1


def test_slow_target_loses_weight_and_a_slow_service_does_not(weights):
    """Latency counts beyond what all targets of the service show."""
    slow = Residual(shift=1.1, weight=4)
    for _ in range(20):
        weights.record(_attempt(FIRST, AttemptOutcome.answered), slow)
    assert weights.weight_of(FIRST) < CLEARLY_LESS
    for target_id in EVERYONE * 60:
        weights.record(_attempt(target_id, AttemptOutcome.answered), slow)
    assert all(weights.weight_of(each) > NEARLY_ALL for each in EVERYONE)


def test_weights_leave_the_floor(weights):
    """Failing everywhere, the weights still add up to the floor."""
    for each in EVERYONE:
        _fail(weights, each, times=10)
    left = sum(weights.weight_of(other) for other in EVERYONE)
    assert left == pytest.approx(7)


def test_ejected_targets_count_towards_the_floor(weights):
    """Ejections use up the room that local weights would take."""
    out: dict[TargetId, float] = dict.fromkeys(EVERYONE[:3], 0)
    message = TargetLimits(limits_by_id=out, valid_until=Millis(1000))
    weights.receive(message, sender=HOST, now=Millis(0))
    assert weights.weight_of(FIRST) == 0
    _fail(weights, TargetId('target-05'), times=10)
    assert weights.weight_of(TargetId('target-05')) == pytest.approx(1)


def test_limits_lapse_when_not_renewed(weights):
    """A control process that stops does not keep targets out."""
    message = TargetLimits(limits_by_id={FIRST: 0}, valid_until=Millis(1000))
    weights.receive(message, sender=HOST, now=Millis(0))
    weights.tick(now=Millis(999))
    assert weights.weight_of(FIRST) == 0
    weights.tick(now=Millis(1000))
    assert weights.weight_of(FIRST) == 1
