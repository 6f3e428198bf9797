"""Tests of the choice of target."""

import collections
import random
import types

import pytest

from chicorybridge.common.attempts import AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import ServiceId, TargetId, ZoneId
from chicorybridge.routing.choosers import Chooser
from chicorybridge.tools.models.attempted import attempted
from chicorybridge.tools.models.declared import ServiceShape, declare

SERVICE = ServiceId('quotes')
ZONE = ZoneId('north-1')
SHAPE = ServiceShape(targets=8)
# Targets 0 and 4 stand in the own zone, 1 and 5 in the own region.
OWN = frozenset((TargetId('quotes-0'), TargetId('quotes-4')))
# No target deviates from the usual 10 ms.
USUAL: types.MappingProxyType[str, int] = types.MappingProxyType({})
REGION = frozenset((TargetId('quotes-1'), TargetId('quotes-5')))


class Fleet:
    """A chooser with weights and limits that a test can set."""

    def __init__(self, shape=SHAPE):
        self.weights_by_id: dict[str, float] = {}
        self.full: set[str] = set()
        self.now = Millis(0)
        self.chooser = Chooser(
            rng=random.Random(7),
            weight_of=lambda target_id: self.weights_by_id.get(target_id, 1),
            has_capacity=lambda target_id, in_flight: (
                target_id not in self.full
            ),
        )
        self.declare(shape)

    def declare(self, shape):
        self.chooser.set_declaration(declare(shape), ZONE, now=self.now)

    def run(
        self,
        count=1000,
        *,
        elapsed_by_id=USUAL,
        excluded=(),
    ):
        """Return how often each target was picked by `count` requests."""
        picked: collections.Counter[TargetId | None] = collections.Counter()
        for _ in range(count):
            self.now = Millis(self.now + 5)
            target_id = self.chooser.pick(
                SERVICE, excluded=excluded, now=self.now
            )
            picked[target_id] += 1
            assert target_id is not None
            self.chooser.started(target_id, self.now)
            self.end(target_id, elapsed_ms=elapsed_by_id.get(target_id, 10))
        return picked

    def end(self, target_id, outcome=AttemptOutcome.answered, **fields):
        self.chooser.finished(
            attempted(outcome, target=target_id, **fields), self.now
        )

    def pick(self, **options):
        return self.chooser.pick(SERVICE, now=self.now, **options)


def test_own_zone_first_then_region_then_across():
    """A farther place is used only when the nearer takes nothing."""
    fleet = Fleet()
    assert set(fleet.run()) == OWN
    fleet.chooser.set_ejected(OWN)
    assert set(fleet.run()) == REGION
    fleet.chooser.set_leaving(REGION)
    assert not set(fleet.run()) & (OWN | REGION)


def test_busy_zone_spills_over():
    """With all of the own zone loaded the region helps."""
    fleet = Fleet()
    for target_id in sorted(OWN) * 4:
        fleet.chooser.started(TargetId(target_id), fleet.now)
    assert fleet.pick() in REGION


def test_slow_target_gets_little_but_is_tried_again():
    """A target at three times the usual latency is nearly left alone."""
    fleet = Fleet(ServiceShape(targets=8, zones=(ZONE,)))
    slow = fleet.run(10_000, elapsed_by_id={'quotes-0': 30})['quotes-0']
    assert 0 < slow < 10_000 / 8 / 4


def test_new_hardware_takes_more_than_old():
    """Old hardware is preferred less, yet used."""
    fleet = Fleet(ServiceShape(targets=8, zones=(ZONE,), old_every=2))
    old_ids = [f'quotes-{number}' for number in (0, 2, 4, 6)]
    picked = fleet.run(2000, elapsed_by_id=dict.fromkeys(old_ids, 20))
    old = sum(picked[target_id] for target_id in old_ids)
    new = 2000 - old
    assert 0 < old < new


def test_weight_takes_load_away():
    """A target of weight 0.1 gets a trickle."""
    fleet = Fleet(ServiceShape(targets=4, zones=(ZONE,)))
    fleet.weights_by_id['quotes-0'] = 0.1
    assert 0 < fleet.run()['quotes-0'] < 1000 / 4 / 3


def test_excluded_and_full_targets_are_not_picked():
    """A retry goes elsewhere, and limits hold."""
    fleet = Fleet(ServiceShape(targets=3, zones=(ZONE,)))
    fleet.full = {'quotes-1'}
    assert set(fleet.run(excluded={'quotes-0'})) == {'quotes-2'}
    fleet.full = {'quotes-1', 'quotes-2'}
    assert fleet.pick(excluded={'quotes-0'}) is None


def test_unknown_service_has_no_target():
    """A service that is not declared gives none."""
    assert Fleet().chooser.pick(ServiceId('other'), now=Millis(0)) is None


def test_shedding_target_is_left_alone_for_the_time_it_asks():
    """`Retry-After` is kept to while others take the load."""
    fleet = Fleet(ServiceShape(targets=3, zones=(ZONE,)))
    fleet.end('quotes-0', AttemptOutcome.shed, retry_after_ms=2000)
    assert 'quotes-0' not in fleet.run(300)
    assert 'quotes-0' in fleet.run(600)


@pytest.mark.parametrize('outcome', [AttemptOutcome.failed, AttemptOutcome.cut])
def test_fast_failures_attract_nothing(outcome):
    """A target that fails at once is not the fast one."""
    fleet = Fleet(ServiceShape(targets=4, zones=(ZONE,)))
    fleet.run(100)
    for _ in range(5):
        fleet.end('quotes-0', outcome, elapsed_ms=0.1)
    assert fleet.run(100)['quotes-0'] == 0


def test_target_added_later_warms_up():
    """A cold target starts with a trickle and ends with its share."""
    fleet = Fleet(ServiceShape(targets=4, zones=(ZONE,)))
    fleet.run(100)
    fleet.declare(ServiceShape(targets=5, zones=(ZONE,)))
    assert 0 < fleet.run(200)['quotes-4'] < 200 / 5 / 2
    fleet.run(2000)
    assert fleet.run(1000)['quotes-4'] > 1000 / 5 / 2


def test_in_flight_survives_a_new_declaration():
    """What is under way is still counted after a change."""
    fleet = Fleet()
    fleet.chooser.started(TargetId('quotes-0'), fleet.now)
    fleet.declare(ServiceShape(targets=6))
    assert fleet.chooser.in_flight(TargetId('quotes-0')) == 1
