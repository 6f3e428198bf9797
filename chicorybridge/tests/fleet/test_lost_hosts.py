"""Hosts of other zones that are gone, in the tables of a fleet."""

from types import MappingProxyType
from typing import Any, cast

import pytest

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import (
    HostId,
    Incarnation,
    RegionId,
    ZoneId,
)
from chicorybridge.fleet.host_tables import (
    FleetMember,
    HostTable,
    zone_representatives,
)
from chicorybridge.fleet.losses import LossReports
from chicorybridge.tests.hosts.zones import Zone, ZoneHost

ZONES = MappingProxyType(
    {
        ZoneId('groningen'): RegionId('noord'),
        ZoneId('leeuwarden'): RegionId('noord'),
        ZoneId('assen'): RegionId('noord'),
        ZoneId('eindhoven'): RegionId('zuid'),
        ZoneId('maastricht'): RegionId('zuid'),
    }
)
LARGE_ZONES = MappingProxyType(
    {
        ZoneId('groningen'): RegionId('noord'),
        ZoneId('leeuwarden'): RegionId('noord'),
    }
)
PER_ZONE = 12
# Bound `contact_s` of the platform, and twice it.
CONTACT_MS = 3000
SETTLED_MS = 6000
# Longer than a silent host is kept in the tables, in its zone and in any.
CUT_MS = 5500
PARTED_MS = 40_000


class _AnyConfiguration:
    version = 1
    limits = None


@pytest.fixture(name='fleet')
def _fleet() -> Zone:
    fleet = Zone(
        PER_ZONE, cast(Any, _AnyConfiguration()), regions_by_zone=ZONES
    )
    fleet.run(ms=SETTLED_MS)
    return fleet


def _still_counted(fleet: Zone, lost: list[ZoneHost]) -> int:
    """Return how many entries of lost hosts the tables of live ones have."""
    lost_ids = {host.host_id for host in lost}
    return sum(
        profile.host_id in lost_ids
        for host in fleet.hosts
        if host not in lost
        for profile in host.view.host_table.profiles()
    )


def test_lost_host_of_another_region_is_forgotten_as_soon_as_settled(fleet):
    lost = fleet.hosts[:1]
    lost[0].off = True
    fleet.run(ms=SETTLED_MS)
    assert not _still_counted(fleet, lost)


def test_hosts_lost_together_are_forgotten_in_all_zones(fleet):
    lost = fleet.hosts[::2]
    for host in lost:
        host.off = True
    fleet.run(ms=SETTLED_MS)
    assert not _still_counted(fleet, lost)


def test_host_that_its_zone_does_not_hear_stays_where_it_is_heard(fleet):
    unheard = fleet.hosts[0]
    fleet.cut_zone_of(unheard)
    fleet.run(ms=SETTLED_MS)
    counting = [
        host
        for host in fleet.hosts
        if host.zone_id != unheard.zone_id
        and host.view.host_table.fleet_address(unheard.host_id)
    ]
    in_region = [
        host
        for host in counting
        if ZONES[host.zone_id] == ZONES[unheard.zone_id]
    ]
    assert len(in_region) == 2 * PER_ZONE


def test_zone_hears_of_requests_elsewhere_though_its_first_hosts_are_gone():
    fleet = Zone(
        settings.MIN_AGGREGATED_HOSTS,
        cast(Any, _AnyConfiguration()),
        regions_by_zone=LARGE_ZONES,
    )
    fleet.run(ms=SETTLED_MS)
    hosts = [host for host in fleet.hosts if host.zone_id == 'groningen']
    others = [host for host in fleet.hosts if host.zone_id == 'leeuwarden']
    while hosts:
        hosts.pop().start_attempt()
    representatives = zone_representatives(
        fleet.hosts[0].view.host_table.in_other_zones(),
        per_zone=settings.AGGREGATORS_TOLD,
    )
    gone_ids = {profile.host_id for profile in representatives}
    live = []
    for other in others:
        other.off = other.host_id in gone_ids
        if not other.off:
            live.append(other)
    fleet.run(ms=settings.ZONE_WORKLOAD_TIMEOUT_MS)
    for _ in range(10):
        fleet.run(ms=settings.ZONE_SUMMARY_INTERVAL_MS)
        counts = {hearing.in_flight for hearing in live}
        assert counts == {settings.MIN_AGGREGATED_HOSTS}


def test_host_that_was_cut_off_is_found_again_by_its_zone(fleet):
    cut = fleet.hosts[0]
    fleet.cut_off(cut)
    fleet.run(ms=CUT_MS)
    fleet.heal()
    fleet.run(ms=CONTACT_MS)
    in_zone = [
        host
        for host in fleet.hosts
        if host.zone_id == cut.zone_id and host is not cut
    ]
    for host in in_zone:
        assert cut.front in host.directory.addresses(cut.zone_id)
        assert host.front in cut.directory.addresses(cut.zone_id)


def test_regions_that_were_parted_find_each_other_again():
    fleet = Zone(3, cast(Any, _AnyConfiguration()), regions_by_zone=ZONES)
    north = [host for host in fleet.hosts if ZONES[host.zone_id] == 'noord']
    south = [host for host in fleet.hosts if ZONES[host.zone_id] == 'zuid']
    fleet.part(north, south)
    fleet.run(ms=PARTED_MS)
    assert not north[0].view.host_table.in_other_regions()
    fleet.heal()
    fleet.run(ms=2 * CONTACT_MS)
    for host in fleet.hosts:
        assert host.view.host_table.in_other_regions()


def test_host_that_hears_nothing_reports_no_losses(fleet):
    deaf = fleet.hosts[0]
    deaf.deaf = True
    live = [host for host in fleet.hosts if host.zone_id == deaf.zone_id]
    fleet.run(ms=SETTLED_MS)
    for host in fleet.hosts:
        if host.zone_id == deaf.zone_id:
            continue
        listed = {
            profile.host_id for profile in host.view.host_table.profiles()
        }
        assert {other.host_id for other in live} <= listed


def test_host_known_from_a_snapshot_only_is_not_reported_as_lost():
    """Guards against an overflow that ended the process of the reporter.

    A restarted host knows hosts of its zone from the snapshot of another. One
    of them was gone already, so the time since its last message is infinite.
    """
    zone_id = ZoneId('groningen')
    table = HostTable(
        host_id=HostId('a'), zone_id=zone_id, regions_by_zone=dict(ZONES)
    )
    gone, live = (
        FleetMember(
            host_id=HostId(name),
            zone_id=zone_id,
            incarnation=Incarnation(1),
            serial=1,
            front='127.0.0.1:1',
            fleet_address='127.0.0.1:2',
            serving=True,
        )
        for name in ('b', 'c')
    )
    table.add_unknown((gone,), now=Millis(0))
    table.record(live, now=Millis(SETTLED_MS), arrived_after=Millis(SETTLED_MS))
    reports = LossReports(host_table=table)
    reports.add(table.expire(now=Millis(SETTLED_MS)))
    assert reports.report(serving=True, now=Millis(SETTLED_MS)) is None
