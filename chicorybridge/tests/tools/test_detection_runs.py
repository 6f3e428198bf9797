"""Tests of detection in a simulated service with fixed seeds."""

import pytest

from chicorybridge.tools.models.episodes import (
    GRAY_CONDITIONS,
    await_detection,
    cold_start,
    faulty_host,
    make_gray,
    poison,
    slow_pool,
)
from chicorybridge.tools.models.policies import PolicyName
from chicorybridge.tools.models.service_models import HARD_FAILURES, Condition
from chicorybridge.tools.simulations.detection_runs import Setup, Simulation

# Sensitivities that operators have set: one for fast detection, one for few
# false ejections.
HIGH_SENSITIVITY = 0.9
LOW_SENSITIVITY = 0.1
WARM_UP_MS = 12_000
# Limits from the onset of a fault to the last new attempt.
HARD_LIMIT_MS = 1000
SLOW_LIMIT_MS = 3000


def _simulation(*, sensitivity, seed, load=0.3):
    setup = Setup(
        policy=PolicyName.chicorybridge,
        hosts=6,
        targets=8,
        load=load,
        sensitivity=sensitivity,
        seed=seed,
    )
    simulation = Simulation(setup=setup)
    simulation.run(for_ms=WARM_UP_MS)
    simulation.is_measured = True
    return simulation


@pytest.mark.parametrize('condition', GRAY_CONDITIONS)
def test_every_gray_condition_is_detected(condition):
    """A gray target soon gets no new requests in any condition."""
    simulation = _simulation(sensitivity=HIGH_SENSITIVITY, seed=1)
    limit = HARD_LIMIT_MS if condition in HARD_FAILURES else 10_000
    if condition is Condition.slow3:
        limit = SLOW_LIMIT_MS
    target_id = make_gray(simulation, condition)
    assert await_detection(simulation, target_id) < limit


@pytest.mark.parametrize(
    'disturbance', [cold_start, slow_pool, faulty_host, poison]
)
def test_disturbances_eject_no_healthy_target(disturbance):
    """Faults outside a target do not lead to its ejection."""
    simulation = _simulation(sensitivity=LOW_SENSITIVITY, seed=2)
    disturbance(simulation)
    simulation.run(for_ms=5000)
    assert not simulation.measures.false_events
