"""Tests of rollouts through the faulty channel, store and all."""

import pytest

from chicorybridge import settings
from chicorybridge.common.identities import HostId
from chicorybridge.configuration.versions import ApplyStage, LagReason
from chicorybridge.storage.stores import HostState
from chicorybridge.tools.simulations.fleets import AppliedFleet

FIRST = HostId('host-0000')
SECOND = HostId('host-0001')
LAST = HostId('host-0007')
IN_FORCE_MS = 2000
LONG_MS = 60_000


@pytest.fixture
def fleet() -> AppliedFleet:
    """Return eight hosts with the first version in force."""
    return AppliedFleet(size=8)


def test_a_version_is_in_force_everywhere_and_then_accepted(fleet):
    """All hosts hold and confirm the version, and the operator is told."""
    fleet.apply('second', base=1)
    fleet.run(for_ms=IN_FORCE_MS)
    assert set(fleet.versions.values()) == {2}
    assert fleet.last.stage is ApplyStage.accepted
    assert fleet.status(SECOND).accepted


def test_accepted_waits_for_work_to_settle(fleet):
    """A host that has not given up contradicting work is waited for."""
    fleet.hosts_by_id[SECOND].settles = False
    fleet.apply('second', base=1)
    fleet.run(for_ms=30_000)
    assert fleet.last.stage is ApplyStage.spreading
    reasons = [(host.host_id, host.reason) for host in fleet.last.waiting]
    assert reasons == [(SECOND, LagReason.settling)]
    fleet.hosts_by_id[SECOND].settles = True
    fleet.run(for_ms=1000)
    assert fleet.last.stage is ApplyStage.accepted


def test_first_version_lets_hosts_serve(fleet):
    """All hosts serve once the first version is accepted."""
    assert fleet.last.stage is ApplyStage.accepted
    assert fleet.serving == set(fleet.hosts_by_id)


def test_rollback_is_a_new_version(fleet):
    """The first body applied again is the third version."""
    fleet.apply('second', base=1)
    fleet.run(for_ms=IN_FORCE_MS)
    fleet.apply('first', base=2, apply_id='apply-rollback')
    fleet.run(for_ms=IN_FORCE_MS)
    assert set(fleet.versions.values()) == {3}
    active = fleet.hosts_by_id[FIRST].rollouts.active
    assert active.declaration.name == 'first'


@pytest.mark.parametrize('both_ways', [False, True])
def test_parted_region_is_waited_for(fleet, both_ways):
    """Nothing is accepted until a region that serves on has confirmed."""
    north, south = fleet.of_region(0), fleet.of_region(1)
    fleet.cut(north, south)
    if both_ways:
        fleet.cut(south, north)
    fleet.channel.storeless |= set(south)
    fleet.apply('second', base=1)
    fleet.run(for_ms=2 * LONG_MS)
    assert fleet.last.stage is ApplyStage.spreading
    assert {host.host_id for host in fleet.last.waiting} == set(south)
    assert fleet.serving == set(fleet.hosts_by_id)
    fleet.channel.cut_links.clear()
    fleet.run(for_ms=10_000)
    assert fleet.last.stage is ApplyStage.accepted


def test_operator_may_vouch_for_a_dead_region(fleet):
    """Hosts that the operator excuses are not waited for."""
    south = fleet.of_region(1)
    for host_id in south:
        fleet.crash(host_id)
    fleet.apply('second', base=1)
    fleet.run(for_ms=LONG_MS)
    assert fleet.last.stage is ApplyStage.spreading
    fleet.apply('second', base=1, excused=tuple(south))
    fleet.run(for_ms=1000)
    assert fleet.last.stage is ApplyStage.accepted


def test_dead_host_is_excused_after_its_lease(fleet):
    """A crash in the middle delays the acceptance, and no longer."""
    fleet.crash(LAST)
    fleet.apply('second', base=1)
    fleet.run(for_ms=settings.EXCUSE_MS - 1000)
    assert [host.host_id for host in fleet.last.waiting] == [LAST]
    fleet.run(for_ms=4000)
    assert fleet.last.stage is ApplyStage.accepted


def test_host_replaced_in_the_middle(fleet):
    """A new incarnation must confirm for itself."""
    fleet.hosts_by_id[LAST].settles = False
    fleet.apply('second', base=1)
    fleet.run(for_ms=1000)
    fleet.start(LAST, zone=3)
    fleet.run(for_ms=LONG_MS)
    assert fleet.last.stage is ApplyStage.accepted
    assert fleet.versions[LAST] == 2


def test_wrongly_unlisted_host_is_still_waited_for(fleet):
    """A host that is heard counts, whatever the platform's list says."""
    fleet.unlist(LAST)
    fleet.hosts_by_id[LAST].settles = False
    fleet.run(for_ms=LONG_MS)
    fleet.apply('second', base=1)
    fleet.run(for_ms=LONG_MS)
    assert [host.host_id for host in fleet.last.waiting] == [LAST]


def test_listed_host_that_never_starts_is_excused(fleet):
    """A host that only the list knows delays, and does not block."""
    fleet.list_host(HostId('ghost'), state=HostState.live)
    fleet.run(for_ms=LONG_MS)
    fleet.apply('second', base=1)
    fleet.run(for_ms=settings.EXCUSE_MS + 1000)
    assert fleet.last.stage is ApplyStage.accepted


def test_isolated_host_with_the_store_follows_the_head(fleet):
    """A host that no peer hears serves on while it reads the head."""
    others = [host for host in fleet.hosts_by_id if host != LAST]
    fleet.cut([LAST], others)
    fleet.cut(others, [LAST])
    fleet.run(for_ms=LONG_MS)
    assert LAST in fleet.serving
    fleet.apply('second', base=1)
    fleet.run(for_ms=2 * settings.HEAD_POLL_MS)
    assert fleet.versions[LAST] == 2
    fleet.run(for_ms=LONG_MS)
    assert fleet.last.stage is ApplyStage.accepted


def test_status_tells_why_a_host_lags(fleet):
    """Each host's version, age and reason are told, by any host."""
    fleet.channel.paused.add(LAST)
    fleet.apply('second', base=1)
    fleet.run(for_ms=LONG_MS)
    status = fleet.status(SECOND)
    by_id = {host.host_id: host for host in status.hosts}
    assert len(by_id) == len(fleet.hosts_by_id)
    assert by_id[LAST].reason is LagReason.excused
    assert by_id[LAST].age_ms >= LONG_MS
    assert by_id[FIRST].reason is LagReason.current
    assert status.head.version == 2
