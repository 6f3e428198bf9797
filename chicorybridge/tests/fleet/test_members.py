"""Tests of membership over a channel with injected faults."""

import pytest

from chicorybridge import settings
from chicorybridge.common.identities import HostId
from chicorybridge.fleet.profiles import Reach
from chicorybridge.tools.simulations.fleets import Fleet

FIRST = HostId('host-0000')
SECOND = HostId('host-0001')
SETTLE_MS = 8000
TICK_MS = settings.TICK_MS


@pytest.fixture
def fleet() -> Fleet:
    """Return eight hosts that know each other."""
    fleet = Fleet(size=8, seed=1)
    fleet.channel.run(for_ms=SETTLE_MS)
    return fleet


def _known_hosts(fleet: Fleet, host_id: HostId) -> set[HostId]:
    return set(fleet.hosts_by_id[host_id].members.hosts_by_id)


def _reach(fleet: Fleet, host_id: HostId, other: HostId) -> Reach:
    peers = fleet.hosts_by_id[host_id].members.peers
    return peers.links_by_id[other].reach(fleet.channel.clock.now())


def _cut_off(fleet: Fleet) -> set[HostId]:
    now = fleet.channel.clock.now()
    return {
        host_id
        for host_id, host in fleet.hosts_by_id.items()
        if host.members.peers.is_lease_expired(now)
    }


def _excused(fleet: Fleet, hosts: list[HostId]) -> set[HostId]:
    now = fleet.channel.clock.now()
    excused: set[HostId] = set()
    for host_id in hosts:
        peers = fleet.hosts_by_id[host_id].members.peers
        excused |= peers.excused(now)
    return excused


def test_all_hosts_know_all(fleet):
    """Within seconds of the start every host knows every other."""
    everyone = set(fleet.hosts_by_id)
    assert all(_known_hosts(fleet, host_id) == everyone for host_id in everyone)
    assert not _cut_off(fleet)


def test_crashed_host_is_lost_by_all(fleet):
    """A crashed host is lost first in its own region, then in others.

    Relays keep a host live for one interval beyond the loss timeout.
    """
    fleet.crash(FIRST)
    intervals = settings.MAX_MISSED_HEARTBEATS + 1
    fleet.channel.run(
        for_ms=intervals * settings.HEARTBEAT_INTERVAL_MS + TICK_MS
    )
    region_hosts = set(fleet.hosts_of_region(0))
    assert all(
        FIRST not in _known_hosts(fleet, host_id) for host_id in region_hosts
    )
    fleet.channel.run(
        for_ms=intervals
        * (
            settings.CROSS_REGION_HEARTBEAT_INTERVAL_MS
            - settings.HEARTBEAT_INTERVAL_MS
        )
    )
    assert all(
        FIRST not in _known_hosts(fleet, host_id)
        for host_id in fleet.hosts_by_id
    )


def test_one_broken_link_loses_no_host(fleet):
    """Both hosts stay live for each other if one direction fails."""
    fleet.cut([FIRST], [SECOND])
    fleet.channel.run(for_ms=60_000)
    assert _reach(fleet, SECOND, FIRST) is Reach.relayed
    assert FIRST in _known_hosts(fleet, SECOND)
    assert not _cut_off(fleet)


def test_message_is_forwarded_around_a_broken_link(fleet):
    """Messages on a link that fails one way also go through peers."""
    fleet.cut([FIRST], [SECOND])
    fleet.channel.run(for_ms=30_000)
    now = fleet.channel.clock.now()
    members = fleet.hosts_by_id[FIRST].members
    sent = list(members.send_or_forward(SECOND, members.profile, now=now))
    assert len(sent) > 1


@pytest.mark.parametrize('receives', [False, True])
def test_host_with_one_way_links_withdraws_itself(fleet, receives):
    """A host that only sends or only receives takes no work.

    The store is down, so that reading it can't renew the lease.
    """
    others = [host for host in fleet.hosts_by_id if host != FIRST]
    if receives:
        fleet.cut([FIRST], others)
    else:
        fleet.cut(others, [FIRST])
    fleet.channel.store.outage = True
    fleet.channel.run(for_ms=settings.SERVING_LEASE_MS + 1000)
    assert _cut_off(fleet) == {FIRST}
    expected = Reach.lost if receives else Reach.inbound
    assert _reach(fleet, HostId('host-0004'), FIRST) is expected


def test_partitioned_regions_keep_serving(fleet):
    """Regions that lose each other and the store both keep serving."""
    north, south = fleet.hosts_of_region(0), fleet.hosts_of_region(1)
    fleet.cut(north, south)
    fleet.cut(south, north)
    fleet.channel.store.outage = True
    fleet.channel.run(for_ms=60_000)
    assert not _cut_off(fleet)
    members = fleet.hosts_by_id[FIRST].members
    assert not members.peers.excused(fleet.channel.clock.now())


def test_host_stops_before_it_is_excused(fleet):
    """A host that any other host excuses has already stopped."""
    others = [host for host in fleet.hosts_by_id if host != FIRST]
    fleet.cut([FIRST], others)
    fleet.channel.store.outage = True
    for _ in range(300):
        fleet.channel.run(for_ms=100)
        excused = _excused(fleet, others)
        assert excused <= _cut_off(fleet)
    assert excused == {FIRST}


def test_new_incarnation_replaces_the_old(fleet):
    """A restarted host is known only by its new incarnation."""
    old = fleet.hosts_by_id[FIRST].members.profile
    fleet.start(FIRST, zone=0)
    fleet.channel.run(for_ms=SETTLE_MS)
    restarted = fleet.hosts_by_id[FIRST].members.profile
    peers = fleet.hosts_by_id[SECOND].members.peers
    assert peers.links_by_id[FIRST].incarnation == restarted.incarnation
    assert peers.has_ended(old.incarnation)


def test_unlisted_live_host_stays(fleet):
    """A host whose heartbeats arrive stays although it is not listed."""
    fleet.unlist(FIRST)
    fleet.channel.run(for_ms=60_000)
    assert FIRST in _known_hosts(fleet, SECOND)


def test_unlisted_silent_host_is_forgotten(fleet):
    """A silent host that the platform's list lacks is removed."""
    fleet.crash(FIRST)
    fleet.unlist(FIRST)
    fleet.channel.run(for_ms=60_000)
    peers = fleet.hosts_by_id[SECOND].members.peers
    assert FIRST not in peers.links_by_id


def test_paused_host_is_cut_off_when_it_resumes(fleet):
    """A resumed host finds itself cut off before it takes any work."""
    fleet.channel.paused.add(FIRST)
    fleet.channel.run(for_ms=60_000)
    fleet.channel.paused.clear()
    assert _cut_off(fleet) == {FIRST}
    fleet.channel.run(for_ms=SETTLE_MS)
    assert not _cut_off(fleet)
