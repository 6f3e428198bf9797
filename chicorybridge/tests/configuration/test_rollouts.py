"""Tests of rollouts over a simulated network with faults."""

import pytest

from chicorybridge import settings
from chicorybridge.common.identities import HostId
from chicorybridge.configuration.versions import ApplyStage, LagReason
from chicorybridge.storage.stores import HostState
from chicorybridge.tools.simulations.fleets import AppliedFleet

FIRST = HostId('host-0000')
SECOND = HostId('host-0001')
LAST = HostId('host-0007')
ROLLOUT_MS = 2000
MINUTE_MS = 60_000


@pytest.fixture
def fleet() -> AppliedFleet:
    """Return a fleet of eight hosts with the first version active."""
    return AppliedFleet(size=8)


def test_version_is_active_everywhere_before_it_is_accepted(fleet):
    """All hosts confirm the version, and the operator gets the result."""
    fleet.apply('second', base=1)
    fleet.run(for_ms=ROLLOUT_MS)
    assert set(fleet.versions.values()) == {2}
    assert fleet.last_progress.stage is ApplyStage.accepted
    assert fleet.status(SECOND).accepted


def test_acceptance_waits_for_conflicting_work(fleet):
    """A host with work that conflicts with the version delays acceptance."""
    fleet.hosts_by_id[SECOND].is_settled = False
    fleet.apply('second', base=1)
    fleet.run(for_ms=30_000)
    assert fleet.last_progress.stage is ApplyStage.spreading
    reasons = [
        (host.host_id, host.reason) for host in fleet.last_progress.waiting
    ]
    assert reasons == [(SECOND, LagReason.settling)]
    fleet.hosts_by_id[SECOND].is_settled = True
    fleet.run(for_ms=1000)
    assert fleet.last_progress.stage is ApplyStage.accepted


def test_first_version_lets_hosts_serve(fleet):
    """All hosts serve once the first version is accepted."""
    assert fleet.last_progress.stage is ApplyStage.accepted
    assert fleet.serving == set(fleet.hosts_by_id)


def test_rollback_is_a_new_version(fleet):
    """The first declaration, applied again, becomes the third version."""
    fleet.apply('second', base=1)
    fleet.run(for_ms=ROLLOUT_MS)
    fleet.apply('first', base=2, apply_id='apply-rollback')
    fleet.run(for_ms=ROLLOUT_MS)
    assert set(fleet.versions.values()) == {3}
    active = fleet.hosts_by_id[FIRST].rollouts.active
    assert active.declaration.name == 'first'


@pytest.mark.parametrize('both_directions', [False, True])
def test_acceptance_waits_for_a_partitioned_region(fleet, both_directions):
    """A partitioned region that still serves delays acceptance."""
    north, south = fleet.hosts_of_region(0), fleet.hosts_of_region(1)
    fleet.cut(north, south)
    if both_directions:
        fleet.cut(south, north)
    fleet.channel.hosts_without_store |= set(south)
    fleet.apply('second', base=1)
    fleet.run(for_ms=2 * MINUTE_MS)
    assert fleet.last_progress.stage is ApplyStage.spreading
    assert {host.host_id for host in fleet.last_progress.waiting} == set(south)
    assert fleet.serving == set(fleet.hosts_by_id)
    fleet.channel.cut_links.clear()
    fleet.run(for_ms=10_000)
    assert fleet.last_progress.stage is ApplyStage.accepted


def test_operator_may_excuse_a_crashed_region(fleet):
    """Hosts that the operator excuses do not delay acceptance."""
    south = fleet.hosts_of_region(1)
    for host_id in south:
        fleet.crash(host_id)
    fleet.apply('second', base=1)
    fleet.run(for_ms=MINUTE_MS)
    assert fleet.last_progress.stage is ApplyStage.spreading
    fleet.apply('second', base=1, excused=tuple(south))
    fleet.run(for_ms=1000)
    assert fleet.last_progress.stage is ApplyStage.accepted


def test_crashed_host_is_excused_after_its_lease(fleet):
    """A crashed host delays acceptance only until its lease has expired."""
    fleet.crash(LAST)
    fleet.apply('second', base=1)
    fleet.run(for_ms=settings.EXCUSE_AFTER_MS - 1000)
    assert [host.host_id for host in fleet.last_progress.waiting] == [LAST]
    fleet.run(for_ms=4000)
    assert fleet.last_progress.stage is ApplyStage.accepted


def test_host_restarts_during_a_rollout(fleet):
    """The new incarnation of a restarted host confirms the version itself."""
    fleet.hosts_by_id[LAST].is_settled = False
    fleet.apply('second', base=1)
    fleet.run(for_ms=1000)
    fleet.start(LAST, zone=3)
    fleet.run(for_ms=MINUTE_MS)
    assert fleet.last_progress.stage is ApplyStage.accepted
    assert fleet.versions[LAST] == 2


def test_acceptance_waits_for_a_wrongly_unlisted_host(fleet):
    """A live host delays acceptance even if the platform does not list it."""
    fleet.unlist(LAST)
    fleet.hosts_by_id[LAST].is_settled = False
    fleet.run(for_ms=MINUTE_MS)
    fleet.apply('second', base=1)
    fleet.run(for_ms=MINUTE_MS)
    assert [host.host_id for host in fleet.last_progress.waiting] == [LAST]


def test_listed_host_that_never_starts_is_excused(fleet):
    """A host that never starts delays acceptance for a limited time only."""
    fleet.list_host(HostId('ghost'), state=HostState.live)
    fleet.run(for_ms=MINUTE_MS)
    fleet.apply('second', base=1)
    fleet.run(for_ms=settings.EXCUSE_AFTER_MS + 1000)
    assert fleet.last_progress.stage is ApplyStage.accepted


def test_isolated_host_gets_versions_from_the_store(fleet):
    """A host without peers keeps serving while it can read the head."""
    others = [host for host in fleet.hosts_by_id if host != LAST]
    fleet.cut([LAST], others)
    fleet.cut(others, [LAST])
    fleet.run(for_ms=MINUTE_MS)
    assert LAST in fleet.serving
    fleet.apply('second', base=1)
    fleet.run(for_ms=2 * settings.HEAD_POLL_INTERVAL_MS)
    assert fleet.versions[LAST] == 2
    fleet.run(for_ms=MINUTE_MS)
    assert fleet.last_progress.stage is ApplyStage.accepted


def test_status_shows_why_a_host_lags(fleet):
    """Any host reports version, age and lag reason of every host."""
    fleet.channel.paused.add(LAST)
    fleet.apply('second', base=1)
    fleet.run(for_ms=MINUTE_MS)
    status = fleet.status(SECOND)
    statuses_by_id = {host.host_id: host for host in status.hosts}
    assert len(statuses_by_id) == len(fleet.hosts_by_id)
    assert statuses_by_id[LAST].reason is LagReason.excused
    assert statuses_by_id[LAST].age_ms >= MINUTE_MS
    assert statuses_by_id[FIRST].reason is LagReason.current
    assert status.head.version == 2
