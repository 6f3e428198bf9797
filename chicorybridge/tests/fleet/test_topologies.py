"""Tests of peer selection, and of fleets too large for a full mesh."""

import pytest

from chicorybridge import settings
from chicorybridge.common.identities import (
    HostId,
    Incarnation,
    RegionId,
    ZoneId,
)
from chicorybridge.fleet.profiles import HostProfile
from chicorybridge.fleet.topologies import select_peers
from chicorybridge.tools.simulations.fleets import Fleet

SIZE = 54
PEERS_AT_FULL_SIZE = 40
HOSTS_AT_FULL_SIZE = 1300
ZONES_AT_FULL_SIZE = 6
CRASHED = HostId('host-0005')


def _profiles(size: int, zones: int) -> list[HostProfile]:
    return [
        HostProfile(
            host_id=HostId(f'host-{number}'),
            incarnation=Incarnation(number),
            address='127.0.0.1:1',
            entries=(),
            zone_id=ZoneId(str(number % zones)),
            region_id=RegionId('region'),
        )
        for number in range(size)
    ]


def test_selection_is_mutual_and_bounded():
    """At full size hosts select each other, at most 40 peers each."""
    profiles = _profiles(HOSTS_AT_FULL_SIZE, ZONES_AT_FULL_SIZE)
    selected_by_id = {
        own.host_id: select_peers(
            own, [other for other in profiles if other is not own], ()
        )
        for own in profiles[::50]
    }
    assert max(map(len, selected_by_id.values())) <= PEERS_AT_FULL_SIZE
    for host_id, selected in selected_by_id.items():
        for other in selected & selected_by_id.keys():
            assert host_id in selected_by_id[other]


@pytest.fixture(scope='module')
def fleet() -> Fleet:
    """Return a fleet that is just too large for a full mesh."""
    fleet = Fleet(size=SIZE, seed=1)
    fleet.channel.run(for_ms=4000)
    return fleet


def test_all_hosts_know_all_and_learn_of_a_loss(fleet):
    """Hosts that do not monitor a host also learn that it is lost."""
    everyone = set(fleet.hosts_by_id)
    for host in fleet.hosts_by_id.values():
        assert set(host.members.hosts_by_id) == everyone
    fleet.crash(CRASHED)
    intervals = settings.MAX_MISSED_HEARTBEATS + 1
    fleet.channel.run(
        for_ms=intervals * settings.CROSS_REGION_HEARTBEAT_INTERVAL_MS + 1000
    )
    for host in fleet.hosts_by_id.values():
        assert set(host.members.hosts_by_id) == everyone - {CRASHED}
