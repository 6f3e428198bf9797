"""Tests of the local weights of targets."""

import pytest

from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, TargetId
from chicorybridge.detection.baselines import NO_RESIDUAL, Residual
from chicorybridge.detection.notices import TargetLimits
from chicorybridge.routing.weights import MIN_WEIGHT, Weights
from chicorybridge.tools.models.mixed_declarations import (
    READ_ROUTE,
    SERVICE_ID,
    declare,
)

TARGET_IDS = tuple(declare(targets=10).targets_by_id)
HOST = HostId('host-00')
TARGET_ID = TargetId('target-00')
LOW_WEIGHT = 0.5
HIGH_WEIGHT = 0.9


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
        weights.record(attempt, NO_RESIDUAL)


def test_weight_falls_with_failures_and_recovers_with_answers(weights):
    """A failing target keeps the lowest weight; answers restore it."""
    _fail(weights, TARGET_ID, times=10)
    assert weights.weight_of(TARGET_ID) == pytest.approx(MIN_WEIGHT)
    for _ in range(30):
        attempt = _attempt(TARGET_ID, AttemptOutcome.answered)
        weights.record(attempt, NO_RESIDUAL)
    assert weights.weight_of(TARGET_ID) == 1


def test_cancelled_attempts_keep_the_weight(weights):
    """A caller that disconnects does not lower the weight of a target."""
    weights.record(_attempt(TARGET_ID, AttemptOutcome.cancelled), NO_RESIDUAL)
    assert weights.weight_of(TARGET_ID) == 1


def test_slow_target_loses_weight_but_a_slow_service_does_not(weights):
    """Only latency in excess of the other targets lowers a weight."""
    slow = Residual(shift=1.1, weight=4)
    for _ in range(20):
        weights.record(_attempt(TARGET_ID, AttemptOutcome.answered), slow)
    assert weights.weight_of(TARGET_ID) < LOW_WEIGHT
    for target_id in TARGET_IDS * 60:
        weights.record(_attempt(target_id, AttemptOutcome.answered), slow)
    assert all(weights.weight_of(each) > HIGH_WEIGHT for each in TARGET_IDS)


def test_weights_stay_above_the_floor(weights):
    """If all targets fail, their weights add up to the floor."""
    for each in TARGET_IDS:
        _fail(weights, each, times=10)
    total_weight = sum(weights.weight_of(other) for other in TARGET_IDS)
    assert total_weight == pytest.approx(7)


def test_ejected_targets_count_towards_the_floor(weights):
    """With as many ejected as the floor allows, failures lower no weight."""
    limits_by_id: dict[TargetId, float] = dict.fromkeys(TARGET_IDS[:3], 0)
    message = TargetLimits(limits_by_id=limits_by_id, valid_until=Millis(1000))
    weights.receive(message, sender=HOST, now=Millis(0))
    assert weights.weight_of(TARGET_ID) == 0
    _fail(weights, TargetId('target-05'), times=10)
    assert weights.weight_of(TargetId('target-05')) == pytest.approx(1)


def test_limits_expire_when_not_renewed(weights):
    """Ejections end if the control process stops renewing them."""
    message = TargetLimits(
        limits_by_id={TARGET_ID: 0}, valid_until=Millis(1000)
    )
    weights.receive(message, sender=HOST, now=Millis(0))
    weights.tick(now=Millis(999))
    assert weights.weight_of(TARGET_ID) == 0
    weights.tick(now=Millis(1000))
    assert weights.weight_of(TARGET_ID) == 1
