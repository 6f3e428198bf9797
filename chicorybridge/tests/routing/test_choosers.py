"""Tests of the choice of a target by one process."""

import collections
import random
import types

import pytest

from chicorybridge.common.attempts import AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import ServiceId, TargetId, ZoneId
from chicorybridge.routing.choosers import Chooser
from chicorybridge.tools.models.sample_attempts import make_attempt
from chicorybridge.tools.models.sample_declarations import ServiceShape, declare

SERVICE = ServiceId('quotes')
ZONE = ZoneId('north-1')
SHAPE = ServiceShape(targets=8)
# Targets 0 and 4 are in the zone of the process.
OWN_ZONE_TARGETS = frozenset((TargetId('quotes-0'), TargetId('quotes-4')))
# No target has a latency other than the default of 10 ms.
DEFAULT_LATENCIES: types.MappingProxyType[str, int] = types.MappingProxyType({})
# Targets 1 and 5 are in another zone of the same region.
OWN_REGION_TARGETS = frozenset((TargetId('quotes-1'), TargetId('quotes-5')))


class ChooserModel:
    """A chooser whose weights and full targets a test can set."""

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
        elapsed_by_id=DEFAULT_LATENCIES,
        excluded=(),
    ):
        """Run `count` requests; return how many went to each target."""
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
            make_attempt(outcome, target=target_id, **fields), self.now
        )

    def pick(self, **options):
        return self.chooser.pick(SERVICE, now=self.now, **options)


def test_order_is_own_zone_then_region_then_other_regions():
    """The next locality is used only if the previous one has no target."""
    model = ChooserModel()
    assert set(model.run()) == OWN_ZONE_TARGETS
    model.chooser.set_ejected(OWN_ZONE_TARGETS)
    assert set(model.run()) == OWN_REGION_TARGETS
    model.chooser.set_leaving(OWN_REGION_TARGETS)
    assert not set(model.run()) & (OWN_ZONE_TARGETS | OWN_REGION_TARGETS)


def test_loaded_zone_spills_over():
    """Requests go to the own region if all targets of the zone are loaded."""
    model = ChooserModel()
    for target_id in sorted(OWN_ZONE_TARGETS) * 4:
        model.chooser.started(TargetId(target_id), model.now)
    assert model.pick() in OWN_REGION_TARGETS


def test_slow_target_gets_few_requests():
    """A target with three times the latency gets few requests, but some."""
    model = ChooserModel(ServiceShape(targets=8, zones=(ZONE,)))
    slow = model.run(10_000, elapsed_by_id={'quotes-0': 30})['quotes-0']
    assert 0 < slow < 10_000 / 8 / 4


def test_fast_hardware_gets_more_requests_than_slow():
    """Targets on slow hardware get fewer requests, but some."""
    model = ChooserModel(ServiceShape(targets=8, zones=(ZONE,), old_every=2))
    slow_ids = [f'quotes-{number}' for number in (0, 2, 4, 6)]
    picked = model.run(2000, elapsed_by_id=dict.fromkeys(slow_ids, 20))
    slow = sum(picked[target_id] for target_id in slow_ids)
    fast = 2000 - slow
    assert 0 < slow < fast


def test_low_weight_reduces_load():
    """A target with a weight of 0.1 gets few requests."""
    model = ChooserModel(ServiceShape(targets=4, zones=(ZONE,)))
    model.weights_by_id['quotes-0'] = 0.1
    assert 0 < model.run()['quotes-0'] < 1000 / 4 / 3


def test_excluded_and_full_targets_are_not_picked():
    """Neither the targets of earlier attempts nor full ones are picked."""
    model = ChooserModel(ServiceShape(targets=3, zones=(ZONE,)))
    model.full = {'quotes-1'}
    assert set(model.run(excluded={'quotes-0'})) == {'quotes-2'}
    model.full = {'quotes-1', 'quotes-2'}
    assert model.pick(excluded={'quotes-0'}) is None


def test_unknown_service_has_no_target():
    """There is no target for a service that is not declared."""
    assert (
        ChooserModel().chooser.pick(ServiceId('other'), now=Millis(0)) is None
    )


def test_shedding_target_gets_no_requests_until_retry_after():
    """`Retry-After` is respected while other targets are available."""
    model = ChooserModel(ServiceShape(targets=3, zones=(ZONE,)))
    model.end('quotes-0', AttemptOutcome.shed, retry_after_ms=2000)
    assert 'quotes-0' not in model.run(300)
    assert 'quotes-0' in model.run(600)


@pytest.mark.parametrize('outcome', [AttemptOutcome.failed, AttemptOutcome.cut])
def test_fast_failures_attract_no_requests(outcome):
    """A target that fails immediately does not count as a fast one."""
    model = ChooserModel(ServiceShape(targets=4, zones=(ZONE,)))
    model.run(100)
    for _ in range(5):
        model.end('quotes-0', outcome, elapsed_ms=0.1)
    assert model.run(100)['quotes-0'] == 0


def test_target_added_later_warms_up():
    """A cold target starts with few requests and reaches its full share."""
    model = ChooserModel(ServiceShape(targets=4, zones=(ZONE,)))
    model.run(100)
    model.declare(ServiceShape(targets=5, zones=(ZONE,)))
    assert 0 < model.run(200)['quotes-4'] < 200 / 5 / 2
    model.run(2000)
    assert model.run(1000)['quotes-4'] > 1000 / 5 / 2


def test_requests_in_flight_stay_counted_after_a_declaration():
    """A new declaration keeps the number of requests in flight."""
    model = ChooserModel()
    model.chooser.started(TargetId('quotes-0'), model.now)
    model.declare(ServiceShape(targets=6))
    assert model.chooser.in_flight(TargetId('quotes-0')) == 1
