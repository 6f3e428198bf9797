"""Tests of the bound on a request that crashes targets, summed over hosts.

The users allow three retries later than `contact_s` after the third crash,
whatever else happens on the day.
"""

import dataclasses
from types import MappingProxyType

import pytest

from chicorybridge.tools.models.crash_fleets import CrashFleet
from chicorybridge.tools.models.crashing_targets import (
    CrashFleetPlan,
    Grayness,
)

MAX_LATE_RETRIES = 3
# Hosts, and targets of a service.
SIZES = ((36, 30), (132, 120), (292, 260))
QUICK_MS = (10.0, 80.0)

CALM = CrashFleetPlan()
PLANS_BY_NAME = MappingProxyType(
    {
        'calm': CALM,
        'many-such-requests': dataclasses.replace(CALM, crashing=8),
        'waves': dataclasses.replace(CALM, wave=0.35, per_target=4, crashing=4),
        'failing-gray-targets': dataclasses.replace(
            CALM, gray=0.4, grayness=Grayness.fails
        ),
        'resetting-gray-targets': dataclasses.replace(
            CALM, gray=0.4, grayness=Grayness.resets, per_target=0.3
        ),
        'quick-restarts': dataclasses.replace(CALM, restart_ms=QUICK_MS),
        'slow-repeats': dataclasses.replace(
            CALM, restart_ms=QUICK_MS, repeat_ms=(800.0, 3500.0), for_ms=40_000
        ),
        'addresses-taken-over': dataclasses.replace(CALM, taken_over=0.5),
        'silent-crashes': dataclasses.replace(CALM, dark=True),
        'restarted-hosts': dataclasses.replace(CALM, host_restarts=4),
        'lost-reports': dataclasses.replace(CALM, loss=0.3),
        'few-targets': dataclasses.replace(
            CALM, targets=3, restart_ms=QUICK_MS, crashing=4
        ),
        'all': dataclasses.replace(
            CALM,
            crashing=4,
            wave=0.35,
            per_target=2,
            gray=0.3,
            grayness=Grayness.fails,
            restart_ms=(10.0, 5000.0),
            taken_over=0.2,
            host_restarts=2,
            loss=0.1,
        ),
    }
)


def _run(name: str, hosts: int, targets: int, seed: int) -> CrashFleet:
    plan = PLANS_BY_NAME[name]
    if plan.targets == CALM.targets:
        plan = dataclasses.replace(plan, targets=targets)
    fleet = CrashFleet(dataclasses.replace(plan, hosts=hosts), seed=seed)
    fleet.run()
    return fleet


@pytest.mark.parametrize('name', PLANS_BY_NAME)
@pytest.mark.parametrize(('hosts', 'targets'), SIZES)
def test_late_retries_of_a_request_that_crashes_targets_are_few(
    name, hosts, targets
):
    fleet = _run(name, hosts, targets, seed=1)
    assert all(len(request.crash_times) >= 2 for request in fleet.crashing)
    assert fleet.most_late_sendings <= MAX_LATE_RETRIES


@pytest.mark.long
@pytest.mark.parametrize('name', PLANS_BY_NAME)
@pytest.mark.parametrize(('hosts', 'targets'), SIZES)
@pytest.mark.parametrize('seed', range(2, 12))
def test_late_retries_are_few_with_other_seeds(name, hosts, targets, seed):
    fleet = _run(name, hosts, targets, seed)
    assert fleet.most_late_sendings <= MAX_LATE_RETRIES


@pytest.mark.parametrize('wave', [0.1, 0.35])
def test_waves_of_crashes_refuse_few_harmless_requests(wave):
    """Each failed request comes again three times."""
    plan = CrashFleetPlan(crashing=0, wave=wave, per_target=6, for_ms=10_000)
    fleet = CrashFleet(plan, seed=1)
    fleet.run()
    assert fleet.refused_harmless <= len(fleet.harmless) / 1000
