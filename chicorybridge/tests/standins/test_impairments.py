"""Tests of the faults that a target stand-in draws."""

import random

import pytest

from chicorybridge.common.clocks import Millis
from chicorybridge.standins.impairments import (
    EmulatorKnobs,
    Fault,
    Impairments,
    RequestTraits,
)

TRAITS = RequestTraits(
    path='/stock/1', body_bytes=0, zone='', caller_ip='127.0.0.1'
)


def _impairments():
    return Impairments(started_at=Millis(0), rng=random.Random(1))


def test_flapping_alternates_between_healthy_and_faulty():
    """Each period starts with a healthy half."""
    knobs = EmulatorKnobs(failure_share=1, flap_ms=100)
    faults = [
        _impairments().draw_fault(knobs, TRAITS, now=Millis(now))
        for now in (0, 49, 50, 99, 100)
    ]
    faulty = [fault is Fault.failure for fault in faults]
    assert faulty == [False, False, True, True, False]


def test_share_of_faults_follows_the_knob():
    """A share of 0.2 fails about a fifth of 5000 requests."""
    impairments = _impairments()
    knobs = EmulatorKnobs(failure_share=0.2)
    failed = sum(
        impairments.draw_fault(knobs, TRAITS, now=Millis(0)) is Fault.failure
        for _ in range(5000)
    )
    assert 900 < failed < 1100


@pytest.mark.parametrize(
    ('knobs', 'now', 'service_ms'),
    [
        ({}, 0, 10),
        ({'speed': 0.5}, 0, 20),
        ({'service_ms_by_prefix': {'/stock': 30, '/s': 1}}, 0, 30),
        ({'cold_start_ms': 100, 'cold_factor': 4}, 99, 40),
        ({'cold_start_ms': 100, 'cold_factor': 4}, 100, 10),
        ({'slow_factor': 3}, 0, 30),
        ({'slow_factor': 3, 'slow_zones': ('noord',)}, 0, 10),
        ({'slow_factor': 3, 'slow_zones': ('127.0.0.1',)}, 0, 30),
    ],
)
def test_service_time_depends_on_speed_path_and_faults(knobs, now, service_ms):
    """Path prefix, speed, cold start and slow factor are applied."""
    service_time_ms = _impairments().service_ms(
        EmulatorKnobs(service_ms=10, spread=0, **knobs), TRAITS, now=Millis(now)
    )
    assert service_time_ms == pytest.approx(service_ms)


def test_hardware_without_speed_is_refused():
    """With a speed of 0 no request would finish."""
    with pytest.raises(ValueError, match='speed'):
        EmulatorKnobs(speed=0)
