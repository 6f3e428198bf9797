"""Tests of the entry list."""

import random
import types
from collections import Counter

import pytest

from chicorybridge import settings
from chicorybridge.common.identities import NO_VERSION, HostId, RegionId, ZoneId
from chicorybridge.fleet.rosters import (
    Roster,
    RosterHost,
    Rosters,
    draw_entry_list,
)
from chicorybridge.tools.simulations.fleets import AppliedFleet

CALLERS = 4000
FIRST = HostId('host-0000')
SECOND = HostId('host-0001')
NORTH, SOUTH = RegionId('north'), RegionId('south')
ZONES = types.MappingProxyType(
    {'north-a': NORTH, 'north-b': NORTH, 'south-a': SOUTH}
)


def _roster(capacity_by_zone: dict[str, tuple[float, ...]]) -> Roster:
    hosts = [
        RosterHost(
            entries=(f'{zone}/{number}',),
            zone_id=ZoneId(zone),
            region_id=ZONES[zone],
            capacity=capacity,
        )
        for zone, capacities in capacity_by_zone.items()
        for number, capacity in enumerate(capacities)
    ]
    return Roster(
        hosts=tuple(hosts),
        zone_id=ZoneId('north-a'),
        region_id=NORTH,
        ttl_ms=1,
        version=NO_VERSION,
    )


def _choices(roster: Roster, *, lost_zone: str = 'none') -> Counter[str]:
    rng = random.Random(1)
    lists = (draw_entry_list(roster, rng=rng).addresses for _ in range(CALLERS))
    return Counter(
        next(address for address in listed if not address.startswith(lost_zone))
        for listed in lists
    )


def test_order_is_own_zone_then_region_then_other_regions():
    """A list names hosts of all zones, the nearest first."""
    roster = _roster({zone: (1, 1) for zone in ZONES})
    listed = draw_entry_list(roster, rng=random.Random(1)).addresses
    zones = [address.split('/')[0] for address in listed]
    assert zones == ['north-a'] * 2 + ['north-b'] * 2 + ['south-a'] * 2


def test_hosts_are_listed_in_proportion_to_capacity():
    """A host with half the capacity is listed first half as often."""
    chosen = _choices(_roster({'north-a': (1, 1, 0.5)}))
    assert chosen['north-a/2'] / CALLERS == pytest.approx(0.2, abs=0.03)


def test_callers_of_a_lost_zone_spread_evenly():
    """The callers of a lost zone spread over the region's other zone."""
    roster = _roster({zone: (1, 1, 1, 1) for zone in ZONES})
    chosen = _choices(roster, lost_zone='north-a')
    shares = [chosen[f'north-b/{number}'] / CALLERS for number in range(4)]
    assert shares == pytest.approx([0.25] * 4, abs=0.03)


def test_small_zone_hands_callers_to_other_zones():
    """A zone with a quarter of the average keeps that share of callers."""
    roster = _roster({'north-a': (1,), 'north-b': (1,) * 7})
    chosen = _choices(roster)
    assert chosen['north-a/0'] / CALLERS == pytest.approx(0.25, abs=0.03)


def _addresses(fleet: AppliedFleet, host_id: HostId) -> set[str]:
    rosters = Rosters(members=fleet.hosts_by_id[host_id].members)
    return {entry for host in rosters.roster().hosts for entry in host.entries}


def test_roster_omits_leaving_and_cut_off_hosts():
    """Peers omit a host that announced leaving, and a cut-off host."""
    fleet = AppliedFleet(size=8)
    leaving = fleet.hosts_by_id[FIRST].members.update_profile(leaving=True)
    fleet.channel.execute(FIRST, leaving)
    others = [host for host in fleet.hosts_by_id if host != SECOND]
    fleet.cut(others, [SECOND])
    fleet.channel.store.outage = True
    fleet.channel.run(for_ms=settings.SERVING_LEASE_MS + 1000)
    listed = _addresses(fleet, HostId('host-0002'))
    assert listed == {f'{host}:80' for host in others if host != FIRST}


def test_leaving_host_lists_the_other_hosts():
    """The roster of a leaving host has all others and a short TTL."""
    fleet = AppliedFleet(size=8)
    members = fleet.hosts_by_id[FIRST].members
    fleet.channel.execute(FIRST, members.update_profile(leaving=True))
    fleet.channel.run(for_ms=1000)
    assert len(_addresses(fleet, FIRST)) == 7
    roster = Rosters(members=members).roster()
    assert roster.ttl_ms == settings.ENTRY_LIST_SHORT_TTL_MS


def test_unchanged_roster_is_not_sent_again():
    """A tick without changes of hosts or version sends no roster."""
    fleet = AppliedFleet(size=8)
    rosters = Rosters(members=fleet.hosts_by_id[FIRST].members)
    now = fleet.channel.clock.now()
    assert list(rosters.tick(now=now))
    assert not list(rosters.tick(now=now))
