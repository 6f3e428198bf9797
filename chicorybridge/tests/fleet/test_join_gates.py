"""Tests of hosts that start, resume after a pause, or were cut off."""

import pytest

from chicorybridge import settings
from chicorybridge.common.identities import HostId
from chicorybridge.configuration.versions import ApplyStage
from chicorybridge.tools.simulations.fleets import SETTLE_MS, AppliedFleet

NEW_HOST = HostId('host-9999')
LAST = HostId('host-0007')
OUTAGE_MS = 60_000


@pytest.fixture
def fleet() -> AppliedFleet:
    """Return eight hosts that serve the first version."""
    return AppliedFleet(size=8)


def test_new_host_fetches_newest_version_from_peers(fleet):
    """With the store down, a new host gets the version from peers."""
    fleet.apply('second', base=1)
    fleet.run(for_ms=SETTLE_MS)
    fleet.channel.store.outage = True
    fleet.start(NEW_HOST, zone=0, seeds=(HostId('host-0003'),))
    fleet.run(for_ms=SETTLE_MS)
    assert fleet.versions[NEW_HOST] == 2
    assert NEW_HOST in fleet.serving


def test_isolated_new_host_does_not_serve(fleet):
    """Without peers and store, a new host has no configuration."""
    fleet.channel.store.outage = True
    others = list(fleet.hosts_by_id)
    fleet.start(NEW_HOST, zone=0, seeds=(HostId('host-0003'),))
    fleet.cut(others, [NEW_HOST])
    fleet.cut([NEW_HOST], others)
    fleet.run(for_ms=OUTAGE_MS)
    assert NEW_HOST not in fleet.versions
    assert NEW_HOST not in fleet.serving


def test_new_host_does_not_join_through_an_excused_peer(fleet):
    """The version of a peer that is itself cut off may be outdated.

    The cut-off peer misses the second version. A new host that reaches
    only that peer must not serve with the first one.
    """
    others = [host for host in fleet.hosts_by_id if host != LAST]
    fleet.cut(others, [LAST])
    fleet.cut([LAST], others)
    fleet.channel.hosts_without_store.add(LAST)
    fleet.run(for_ms=settings.EXCUSE_AFTER_MS)
    fleet.apply('second', base=1)
    fleet.run(for_ms=2 * settings.EXCUSE_AFTER_MS)
    assert fleet.last_progress.stage is ApplyStage.accepted
    fleet.channel.store.outage = True
    fleet.start(NEW_HOST, zone=0, seeds=(LAST,))
    fleet.cut(others, [NEW_HOST])
    fleet.cut([NEW_HOST], others)
    fleet.run(for_ms=OUTAGE_MS)
    assert fleet.versions[NEW_HOST] == 1
    assert NEW_HOST not in fleet.serving


def test_paused_host_resumes_two_versions_later(fleet):
    """A resumed host serves nothing until it holds the newest version."""
    fleet.channel.paused.add(LAST)
    fleet.run(for_ms=2 * settings.EXCUSE_AFTER_MS)
    for base, name in enumerate(('second', 'third'), start=1):
        fleet.apply(name, base=base)
        fleet.run(for_ms=2 * settings.EXCUSE_AFTER_MS)
        assert fleet.last_progress.stage is ApplyStage.accepted
    fleet.channel.store.outage = True
    fleet.channel.paused.clear()
    assert LAST not in fleet.serving
    fleet.run(for_ms=SETTLE_MS)
    assert fleet.versions[LAST] == 3
    assert LAST in fleet.serving


def test_fleet_recovers_from_a_total_partition_without_the_store(fleet):
    """After all links were cut for a while, every host serves again."""
    fleet.channel.store.outage = True
    everyone = list(fleet.hosts_by_id)
    fleet.cut(everyone, everyone)
    fleet.run(for_ms=OUTAGE_MS)
    assert not fleet.serving
    fleet.channel.cut_links.clear()
    fleet.run(for_ms=2 * SETTLE_MS)
    assert fleet.serving == set(everyone)
