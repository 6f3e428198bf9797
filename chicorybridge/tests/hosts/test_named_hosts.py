"""Hosts that the address directories of a fleet name to callers."""

from types import MappingProxyType
from typing import Any, cast

import pytest

from chicorybridge.common.identities import RegionId, ZoneId
from chicorybridge.tests.hosts.zones import Zone, ZoneHost

ZONES = MappingProxyType(
    {
        ZoneId('groningen'): RegionId('noord'),
        ZoneId('leeuwarden'): RegionId('noord'),
        ZoneId('assen'): RegionId('noord'),
        ZoneId('eindhoven'): RegionId('zuid'),
    }
)
PER_ZONE = 18
# Bound `contact_s` of the platform: a host that is silent for longer is out of
# touch.
CONTACT_MS = 3000
FREEZE_MS = 4000
# A datagram takes one step.
TRANSIT_MS = 10


class _AnyConfiguration:
    version = 1
    limits = None


@pytest.fixture(name='fleet')
def _fleet() -> Zone:
    fleet = Zone(
        PER_ZONE, cast(Any, _AnyConfiguration()), regions_by_zone=ZONES
    )
    fleet.run(ms=2 * CONTACT_MS)
    return fleet


def _naming(fleet: Zone, named: ZoneHost) -> list[str]:
    """Return the hosts that name `named` to callers of any zone."""
    return [
        host.host_id
        for host in fleet.hosts
        if not (host.off or host.frozen)
        and any(
            named.front in host.directory.addresses(zone_id)
            for zone_id in ZONES
        )
    ]


def test_every_live_host_of_a_zone_is_named_by_its_neighbours(fleet):
    for zone_id in ZONES:
        hosts = [host for host in fleet.hosts if host.zone_id == zone_id]
        expected = {host.front for host in hosts}
        for host in hosts:
            assert set(host.directory.addresses(zone_id)) == expected


def test_host_that_lost_power_is_no_longer_named_in_any_zone(fleet):
    lost = fleet.hosts[0]
    lost.off = True
    fleet.run(ms=CONTACT_MS + TRANSIT_MS)
    assert not _naming(fleet, lost)


def test_host_that_stood_still_does_not_name_a_host_lost_meanwhile(fleet):
    lost, *others = (
        host for host in fleet.hosts if host.zone_id == fleet.hosts[0].zone_id
    )
    frozen = others[0]
    frozen.frozen = True
    fleet.run(ms=FREEZE_MS / 4)
    lost.off = True
    fleet.run(ms=FREEZE_MS * 3 / 4)
    frozen.frozen = False
    fleet.run(ms=CONTACT_MS)
    assert frozen.host_id not in _naming(fleet, lost)


def test_stopping_host_is_no_longer_named_by_hosts_that_hear_it_by_turns(
    fleet,
):
    stopping = fleet.hosts[0]
    fleet.stop(stopping)
    fleet.run(ms=TRANSIT_MS)
    # It ends before its turns reach all hosts of other zones.
    stopping.off = True
    fleet.run(ms=CONTACT_MS + TRANSIT_MS)
    assert not _naming(fleet, stopping)
