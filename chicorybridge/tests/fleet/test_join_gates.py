"""Tests of hosts that start, wake, or were cut off."""

import pytest

from chicorybridge import settings
from chicorybridge.common.identities import HostId
from chicorybridge.configuration.versions import ApplyStage
from chicorybridge.tools.simulations.fleets import SETTLE_MS, AppliedFleet

FRESH = HostId('host-9999')
LAST = HostId('host-0007')
LONG_MS = 60_000


@pytest.fixture
def fleet() -> AppliedFleet:
    """Return eight hosts with the first version in force."""
    return AppliedFleet(size=8)


def test_fresh_host_takes_the_newest_from_peers(fleet):
    """With the store down a fresh host learns from its peers."""
    fleet.apply('second', base=1)
    fleet.run(for_ms=SETTLE_MS)
    fleet.channel.store.outage = True
    fleet.start(FRESH, zone=0, seeds=(HostId('host-0003'),))
    fleet.run(for_ms=SETTLE_MS)
    assert fleet.versions[FRESH] == 2
    assert FRESH in fleet.serving


def test_fresh_host_alone_serves_nothing(fleet):
    """With no peers and no store there is nothing to serve."""
    fleet.channel.store.outage = True
    others = list(fleet.hosts_by_id)
    fleet.start(FRESH, zone=0, seeds=(HostId('host-0003'),))
    fleet.cut(others, [FRESH])
    fleet.cut([FRESH], others)
    fleet.run(for_ms=LONG_MS)
    assert FRESH not in fleet.versions
    assert FRESH not in fleet.serving


def test_fresh_host_does_not_trust_an_excused_peer(fleet):
    """A peer that is cut off itself is not enough to start from."""
    others = [host for host in fleet.hosts_by_id if host != LAST]
    fleet.cut(others, [LAST])
    fleet.cut([LAST], others)
    fleet.channel.storeless.add(LAST)
    fleet.run(for_ms=settings.EXCUSE_MS)
    fleet.apply('second', base=1)
    fleet.run(for_ms=2 * settings.EXCUSE_MS)
    assert fleet.last.stage is ApplyStage.accepted
    fleet.channel.store.outage = True
    fleet.start(FRESH, zone=0, seeds=(LAST,))
    fleet.cut(others, [FRESH])
    fleet.cut([FRESH], others)
    fleet.run(for_ms=LONG_MS)
    assert fleet.versions[FRESH] == 1
    assert FRESH not in fleet.serving


def test_paused_host_wakes_two_versions_later(fleet):
    """It serves nothing before it holds the newest version."""
    fleet.channel.paused.add(LAST)
    fleet.run(for_ms=2 * settings.EXCUSE_MS)
    for base, name in enumerate(('second', 'third'), start=1):
        fleet.apply(name, base=base)
        fleet.run(for_ms=2 * settings.EXCUSE_MS)
        assert fleet.last.stage is ApplyStage.accepted
    fleet.channel.store.outage = True
    fleet.channel.paused.clear()
    assert LAST not in fleet.serving
    fleet.run(for_ms=SETTLE_MS)
    assert fleet.versions[LAST] == 3
    assert LAST in fleet.serving


def test_whole_fleet_paused_comes_back_without_the_store(fleet):
    """A switch that stops all traffic for a while stops nobody for good."""
    fleet.channel.store.outage = True
    everyone = list(fleet.hosts_by_id)
    fleet.cut(everyone, everyone)
    fleet.run(for_ms=LONG_MS)
    assert not fleet.serving
    fleet.channel.cut_links.clear()
    fleet.run(for_ms=2 * SETTLE_MS)
    assert fleet.serving == set(everyone)
