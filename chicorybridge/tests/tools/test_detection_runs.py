"""Tests of detection in a simulated service, with a fixed short set."""

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

# Settings of the two first users.
KENTE = 0.9
BUREAU = 0.1
WARM_UP_MS = 12_000
# Goals for the time from the onset to the last new work.
HARD_MS = 1000
SLOW_MS = 3000


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
def test_every_gray_kind_loses_its_work(condition):
    """A target that is gray in any of the known ways is left alone."""
    simulation = _simulation(sensitivity=KENTE, seed=1)
    limit = HARD_MS if condition in HARD_FAILURES else 10_000
    if condition is Condition.slow3:
        limit = SLOW_MS
    target_id = make_gray(simulation, condition)
    assert await_detection(simulation, target_id) < limit


@pytest.mark.parametrize(
    'disturbance', [cold_start, slow_pool, faulty_host, poison]
)
def test_disturbances_eject_no_healthy_target(disturbance):
    """What is not the target's fault is not held against it."""
    simulation = _simulation(sensitivity=BUREAU, seed=2)
    disturbance(simulation)
    simulation.run(for_ms=5000)
    assert not simulation.measures.false_events
