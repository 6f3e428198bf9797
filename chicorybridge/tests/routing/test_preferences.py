"""Tests of the targets that each host prefers."""

import dataclasses
import functools
from typing import Any

import pytest

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, TargetId
from chicorybridge.fleet.directories import TargetsChanged
from chicorybridge.routing.preferences import PreferredTargets, preferring_hosts
from chicorybridge.routing.selections import SelectionMode
from chicorybridge.routing.settings import PREFERRING_HOSTS
from chicorybridge.tools.measurements.placement_measures import served_share
from chicorybridge.tools.models.placement_hosts import (
    SERVICE_ID,
    ModelHost,
    PlacementPlan,
)
from chicorybridge.tools.models.placement_models import PlacementModel

MIN_SERVED_SHARE = 0.95
MIN_SERVED_SHARE_FAILING = 0.9
WARM_UP_MS = 3000
RUN_MS = 4000
REPLAY = PlacementPlan(hosts=54, targets=113, slots=2)
REGISTRY = PlacementPlan(hosts=124, targets=149, slots=3)


@functools.cache
def _measured(plan: PlacementPlan) -> PlacementModel:
    """Return a fleet after a run, with the counts of its second part."""
    model = PlacementModel(plan, seed=1)
    model.run(ms=WARM_UP_MS)
    model.counts.clear()
    model.run(ms=RUN_MS)
    return model


def _pair(plan: PlacementPlan, **faults: Any):
    """Return the fleet with and without preferred targets."""
    plan = dataclasses.replace(plan, **faults)
    return (
        _measured(dataclasses.replace(plan, prefers_own_targets=True)),
        _measured(plan),
    )


def _own_targets(host: ModelHost) -> PreferredTargets:
    preferred = host.selector._preferred
    assert preferred is not None
    return preferred


def _share(model: PlacementModel, part: str, whole: str) -> float:
    return model.counts[part] / model.counts[whole]


@pytest.mark.parametrize('plan', [REPLAY, REGISTRY], ids=str)
def test_every_target_is_preferred_by_some_hosts_of_its_zone(plan):
    """Or else it would get no requests while others have room."""
    model = PlacementModel(plan, seed=1)
    own_slots = dict.fromkeys(model.targets_by_id, 0)
    for host in model.hosts:
        for target in _own_targets(host).of(SERVICE_ID):
            assert target.entry.zone_id == host.zone_id
            own_slots[target.entry.target_id] += target.slots
    assert set(own_slots.values()) == {plan.slots}


def test_host_that_leaves_changes_only_its_own_targets():
    """A change of all of them would close connections of all hosts."""
    host_ids = [HostId(f'host-{number}') for number in range(13)]
    for number in range(30):
        target_id = TargetId(f'target-{number}')
        before = preferring_hosts(target_id, host_ids)
        after = preferring_hosts(target_id, host_ids[1:])
        assert len(after) == PREFERRING_HOSTS
        assert set(before) - {host_ids[0]} <= set(after)


def test_preferences_are_computed_again_when_targets_change():
    """A host would send requests to a target that has left."""
    model = PlacementModel(REPLAY, seed=1)
    preferred = _own_targets(model.hosts[0])
    own = preferred.of(SERVICE_ID)
    assert preferred.of(SERVICE_ID) is own
    gone_id = own[0].entry.target_id
    model.directory.merge(TargetsChanged(store_version=3, removed=(gone_id,)))
    assert gone_id not in {
        target.entry.target_id for target in preferred.of(SERVICE_ID)
    }


@pytest.mark.parametrize('plan', [REPLAY, REGISTRY], ids=str)
def test_hosts_rarely_choose_the_same_slot(plan):
    """A third of the slots is in use; a rejection costs a round trip."""
    preferring, drawing = _pair(plan)
    collisions = _share(preferring, 'collisions', 'arrivals')
    assert collisions < 0.6 * _share(drawing, 'collisions', 'arrivals')
    assert _share(preferring, 'kept', 'arrivals') > _share(
        drawing, 'kept', 'arrivals'
    )
    served = served_share(preferring, since=WARM_UP_MS, window_ms=2000)
    assert served > MIN_SERVED_SHARE


@pytest.mark.parametrize('plan', [REPLAY, REGISTRY], ids=str)
@pytest.mark.parametrize('repeatable_share', [0.5, 0])
def test_failing_targets_get_fewer_requests_that_run_once(
    plan, repeatable_share
):
    """Such a request is lost, while one that may be repeated is not."""
    preferring, drawing = _pair(
        plan, failing_share=0.25, repeatable_share=repeatable_share
    )
    lost = preferring.counts['once_at_failing']
    assert lost < drawing.counts['once_at_failing']
    assert _share(preferring, 'failed', 'requests') < 0.7 * _share(
        drawing, 'failed', 'requests'
    )
    served = served_share(preferring, since=WARM_UP_MS, window_ms=2000)
    assert served > MIN_SERVED_SHARE_FAILING


def test_choices_are_as_before_without_fleet_admission():
    """Fleets that don't call for it keep their random draws."""
    plan = dataclasses.replace(REPLAY, hosts=4, targets=8)
    model = PlacementModel(plan, seed=1)
    host = model.hosts[0]
    state = host.selector._rng.getstate()
    chosen = host.selector._choose_own(
        SERVICE_ID, SelectionMode.safest, (), Millis(0)
    )
    assert chosen is None
    assert host.selector._rng.getstate() == state
