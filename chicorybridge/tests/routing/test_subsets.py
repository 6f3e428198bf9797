"""Tests of the subset of targets that a process uses."""

import collections

import pytest

from chicorybridge.common.identities import ZoneId
from chicorybridge.routing.subsets import FleetSize, subset_of, target_share
from chicorybridge.tools.models.sample_declarations import ServiceShape, declare

ZONES = tuple(f'{region}-{half}' for region in 'abc' for half in (1, 2))


def _users(declaration, processes):
    users: collections.Counter[str] = collections.Counter()
    sizes = []
    fleet = FleetSize(
        processes=processes, zone_processes=processes // len(ZONES)
    )
    for number in range(processes):
        subset = subset_of(
            declaration,
            process_name=f'host-{number}/entry-1',
            zone_id=ZoneId(ZONES[number % len(ZONES)]),
            fleet=fleet,
        )
        users.update(subset)
        sizes.append(len(subset))
    share = target_share(next(iter(declaration.pools_by_id.values())), fleet)
    return users, sizes, share


def test_small_fleet_uses_every_target():
    """With 40 processes, each one uses all targets."""
    declaration = declare(ServiceShape(targets=30, zones=ZONES))
    users, _, share = _users(declaration, 40)
    assert set(users.values()) == {40}
    assert 40 * share.connections <= 400


@pytest.mark.parametrize('processes', [400, 1300])
def test_large_fleet_stays_within_connections_of_each_target(processes):
    """The connections of all processes together fit each target."""
    declaration = declare(ServiceShape(targets=55, zones=ZONES))
    users, sizes, share = _users(declaration, processes)
    assert len(users) == 55
    assert max(users.values()) * share.connections <= 400
    assert min(sizes) >= 4


def test_growing_fleet_changes_few_subsets():
    """Six more processes change almost none of the subsets."""
    declaration = declare(ServiceShape(targets=55, zones=ZONES))
    moved = 0
    for number in range(100):
        before, after = (
            subset_of(
                declaration,
                process_name=f'host-{number}',
                zone_id=ZoneId('a-1'),
                fleet=FleetSize(processes=size, zone_processes=size // 6),
            )
            for size in (1300, 1306)
        )
        moved += len(before ^ after)
    assert moved <= 20
