"""Hosts heard lately, their places and ranks."""

from types import MappingProxyType

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

HERE = ZoneId('groningen')
BESIDE = ZoneId('leeuwarden')
FAR = ZoneId('eindhoven')
REGIONS = MappingProxyType(
    {
        HERE: RegionId('noord'),
        BESIDE: RegionId('noord'),
        FAR: RegionId('zuid'),
    }
)
NOW = Millis(1000)


def _member(
    name: str,
    zone_id: ZoneId,
    *,
    serving: bool = True,
    serial: int = 1,
    incarnation: int = 1,
) -> FleetMember:
    return FleetMember(
        host_id=HostId(name),
        zone_id=zone_id,
        incarnation=Incarnation(incarnation),
        serial=serial,
        front=f'{name}:80',
        fleet=f'{name}:70',
        serving=serving,
    )


def _sightings(own: str, *members: FleetMember) -> HostTable:
    sightings = HostTable(
        host_id=HostId(own), zone_id=HERE, regions_by_zone=REGIONS
    )
    for member in members:
        sightings.record(member, now=NOW)
    return sightings


@pytest.fixture(name='members')
def _members() -> tuple[FleetMember, ...]:
    return (
        _member('a', HERE),
        _member('b', HERE),
        _member('c', BESIDE),
        _member('d', FAR),
        _member('e', FAR),
    )


def test_hosts_are_told_apart_by_place(members):
    sightings = _sightings('a', *members)
    names = [profile.host_id for profile in sightings.in_zone()]
    assert names == ['b']
    assert [one.host_id for one in sightings.in_other_zones()] == ['c']
    assert [one.host_id for one in sightings.in_other_regions()] == ['d', 'e']
    assert sightings.is_in_other_region(HostId('d'))
    assert not sightings.is_in_other_region(HostId('c'))
    assert not sightings.is_in_other_region(HostId('unknown'))


def test_one_host_of_a_zone_ranks_first_and_all_agree(members):
    ranks = {
        name: _sightings(name, *members).zone_rank() for name in ('a', 'b')
    }
    assert sorted(ranks.values()) == [0, 1]
    first = min(ranks, key=lambda name: ranks[name])
    told = zone_representatives(member for member in members)
    assert first in {member.host_id for member in told}
    assert sorted(member.zone_id for member in told) == sorted(REGIONS)


def test_stopping_host_ranks_behind_all_that_serve(members):
    stopping = [
        _member(member.host_id, member.zone_id, serving=False)
        for member in members
        if member.zone_id == FAR
    ]
    assert not zone_representatives(stopping)
    sightings = _sightings('a', _member('b', HERE, serving=False))
    assert sightings.zone_rank() == 0


def test_silent_host_is_forgotten_and_far_ones_later(members):
    sightings = _sightings('a', *members)
    later = Millis(NOW + settings.HOST_SILENCE_MS + 1)
    gone = {profile.host_id for profile in sightings.expire(now=later)}
    assert gone == {'b', 'c'}


def test_older_word_of_a_host_is_left_out():
    sightings = _sightings('a', _member('b', HERE, serial=2, serving=False))
    sightings.record(_member('b', HERE, serial=1), now=NOW)
    assert not sightings.profiles()[0].serving
    # A host that has started anew counts from one again.
    sightings.record(_member('b', HERE, incarnation=2), now=NOW)
    assert sightings.profiles()[0].serving
