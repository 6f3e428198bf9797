"""The bound on the requests of a workspace over all hosts of a fleet.

Each test offers far more than the limit, so that every permit is used, and
guards against a failure that would grant more than the bound.
"""

import functools
from collections.abc import Callable
from types import MappingProxyType

import pytest

from chicorybridge.common.identities import ZoneId
from chicorybridge.tests.quotas.fleets import (
    BOUNDS,
    Fleet,
    Host,
    workspace_of,
)

SIZES = (24, 132, 292)
LARGE_AS_LONG = (
    24,
    *(pytest.param(size, marks=pytest.mark.long) for size in SIZES[1:]),
)
ACME = workspace_of()
ZONE_ID = ZoneId('z-0')
HOT_FACTOR = 4.7
USUAL_SHARE = 1 / 1.6
RUN_MS = 16_000
FAULT_MS = 6000


def _granter(fleet: Fleet):
    return fleet.granter_of(ACME.workspace_id, ZONE_ID)


def _in_zone(fleet: Fleet) -> list:
    return [host for host in fleet.hosts if host.zone_id == ZONE_ID]


def _nothing(fleet: Fleet) -> None:
    """Let the fleet run."""


def _restart(fleet: Fleet) -> None:
    fleet.restart(_granter(fleet))


def _restart_all_granters(fleet: Fleet) -> None:
    for host in fleet.hosts:
        fleet.restart(host)


def _crash(fleet: Fleet) -> None:
    fleet.switch_off(_granter(fleet))


def _freeze(fleet: Fleet) -> None:
    """Stop the granter for longer than a pause, not until it is lost."""
    _granter(fleet).frozen_until = fleet.clock.now() + 2500


def _freeze_until_lost(fleet: Fleet) -> None:
    granter = _granter(fleet)
    granter.frozen_until = fleet.clock.now() + 5000
    fleet.at(3600, functools.partial(_drop, fleet, granter))


def _drop(fleet: Fleet, lost: Host) -> None:
    for host in fleet.hosts:
        host.table.drop(
            lost.host_id, lost.incarnation, silent_since=fleet.clock.now()
        )


def _isolate(fleet: Fleet) -> None:
    """Cut the granter off; its callers still reach it, and send much."""
    granter = _granter(fleet)
    fleet.part([granter], [host for host in fleet.hosts if host is not granter])


def _isolate_under_load(fleet: Fleet) -> None:
    granter = _granter(fleet)
    _isolate(fleet)
    fleet.offer(ACME, per_s=200, ms=9000, hosts=[granter])


def _isolate_for_a_while(fleet: Fleet) -> None:
    _isolate(fleet)
    fleet.at(5000, fleet.heal)


def _part_zone(fleet: Fleet) -> None:
    """Cut a zone in two; one half still reaches the other zones."""
    hosts = _in_zone(fleet)
    half = hosts[: len(hosts) // 2]
    fleet.part(half, hosts[len(half) :])


def _part_regions(fleet: Fleet) -> None:
    near = [host for host in fleet.hosts if host.zone_id in {'z-0', 'z-1'}]
    far = [host for host in fleet.hosts if host not in near]
    fleet.part(near, far)


def _stop(fleet: Fleet) -> None:
    granter = _granter(fleet)
    granter.is_serving = False
    for host in fleet.hosts:
        if host is not granter:
            host.table.record(granter.profile, now=fleet.clock.now())


def _join(fleet: Fleet) -> None:
    """Let the granter come back, so that it takes the bucket over again."""
    _stop(fleet)
    stopped = [host for host in fleet.hosts if not host.is_serving]
    fleet.at(1500, functools.partial(fleet.restart, stopped[0]))


def _restart_often(fleet: Fleet) -> None:
    for delay_ms in range(0, 8000, 1000):
        fleet.at(delay_ms, functools.partial(_restart, fleet))


FAULTS: MappingProxyType[str, Callable[[Fleet], None]] = MappingProxyType(
    {
        fault.__name__.strip('_'): fault
        for fault in (
            _nothing,
            _restart,
            _restart_all_granters,
            _restart_often,
            _crash,
            _freeze,
            _freeze_until_lost,
            _isolate,
            _isolate_under_load,
            _isolate_for_a_while,
            _part_zone,
            _part_regions,
            _stop,
            _join,
        )
    }
)
# Requests within the limit that may be refused, for faults that take a
# granter away. Most are refused for want of tokens just after the fault.
MAX_REFUSED_SHARE = 0.01


# Buckets are full when requests start at the fault or later, and empty when
# they start long before it.
STARTS_MS = (0, FAULT_MS - 400, FAULT_MS, FAULT_MS + 2000)
LATE_AS_LONG = (
    *STARTS_MS[:2],
    *(pytest.param(at, marks=pytest.mark.long) for at in STARTS_MS[2:]),
)


def run_with(
    name: str, size: int, *, per_s: float, start_ms: float = 0
) -> Fleet:
    """Return a fleet after a run with a fault."""
    fleet = Fleet(size, ACME)
    fleet.at(
        start_ms, lambda: fleet.offer(ACME, per_s=per_s, ms=RUN_MS - start_ms)
    )
    fleet.at(FAULT_MS, lambda: FAULTS[name](fleet))
    fleet.run(ms=RUN_MS)
    return fleet


@pytest.mark.parametrize('start_ms', LATE_AS_LONG)
@pytest.mark.parametrize('name', FAULTS)
def test_no_window_exceeds_the_bound(name, start_ms):
    fleet = run_with(
        name, 24, per_s=ACME.rate_per_s * HOT_FACTOR, start_ms=start_ms
    )
    assert fleet.excess(ACME) <= 0
    # The limit is nearly used.
    least = ACME.rate_per_s * (RUN_MS - start_ms) / 1000 * 0.9
    assert len(fleet.run_at['acme']) >= least


@pytest.mark.long
@pytest.mark.parametrize('size', SIZES[1:])
@pytest.mark.parametrize('name', FAULTS)
def test_no_window_exceeds_the_bound_in_a_large_fleet(name, size):
    fleet = run_with(
        name, size, per_s=ACME.rate_per_s * HOT_FACTOR, start_ms=FAULT_MS - 400
    )
    assert fleet.excess(ACME) <= 0


@pytest.mark.parametrize('size', LARGE_AS_LONG)
@pytest.mark.parametrize('name', set(FAULTS) - {'isolate_under_load'})
def test_requests_within_the_limit_get_permits(name, size):
    fleet = run_with(name, size, per_s=ACME.rate_per_s * USUAL_SHARE)
    assert fleet.refused_share(ACME) <= MAX_REFUSED_SHARE
    assert not fleet.unanswered


@pytest.mark.parametrize('size', LARGE_AS_LONG)
def test_lowered_limit_binds_one_window_later(size):
    fleet = Fleet(size, ACME)
    fleet.offer(ACME, per_s=470, ms=RUN_MS)
    fleet.run(ms=FAULT_MS)
    lowered = workspace_of(rate_per_s=20, burst=5)
    fleet.workspaces_by_id[ACME.workspace_id] = lowered
    fleet.run(ms=BOUNDS.window_ms)
    fleet.run_at.clear()
    fleet.run(ms=RUN_MS - FAULT_MS - BOUNDS.window_ms)
    assert fleet.excess(lowered) <= 0


@pytest.mark.parametrize('size', LARGE_AS_LONG)
def test_hot_workspace_takes_nothing_from_others(size):
    others = [
        workspace_of(f'w-{number}', rate_per_s=0.5 + 10 / number, burst=0)
        for number in range(1, 87)
    ]
    fleet = Fleet(size, ACME, *others)
    fleet.offer(ACME, per_s=470, ms=8000)
    for other in others:
        fleet.offer(other, per_s=other.rate_per_s * USUAL_SHARE, ms=8000)
    fleet.run(ms=8000)
    assert all(fleet.excess(each) <= 0 for each in (ACME, *others))
    ids = {workspace.workspace_id for workspace in others}
    refused = sum(len(fleet.refused_at.get(name, ())) for name in ids)
    run = sum(len(fleet.run_at.get(name, ())) for name in ids)
    assert refused / (refused + run) <= MAX_REFUSED_SHARE


@pytest.mark.parametrize('name', ['crash', 'part_zone'])
def test_faults_in_a_fleet_of_middle_size(name):
    hot = run_with(name, 132, per_s=470, start_ms=FAULT_MS - 400)
    assert hot.excess(ACME) <= 0
    usual = run_with(name, 132, per_s=ACME.rate_per_s * USUAL_SHARE)
    assert usual.refused_share(ACME) <= MAX_REFUSED_SHARE


def test_fleet_that_starts_again_has_empty_buckets():
    fleet = Fleet(24, ACME, is_first_start=False)
    fleet.offer(ACME, per_s=470, ms=1000)
    fleet.run(ms=1000)
    assert len(fleet.run_at['acme']) <= ACME.rate_per_s


@pytest.mark.parametrize('hosts', [1, 4])
def test_zones_with_one_host_work(hosts):
    zones = {f'z-{number}': 'noord' for number in range(hosts)}
    fleet = Fleet(hosts, ACME, regions_by_zone=zones)
    fleet.offer(ACME, per_s=ACME.rate_per_s * USUAL_SHARE, ms=5000)
    fleet.run(ms=5000)
    assert not fleet.refused_at
    # The last host of a zone grants permits while it stops.
    fleet.hosts[0].is_serving = False
    fleet.hosts[0].members.update(now=fleet.clock.now())
    assert (
        fleet.hosts[0].members.own_granter(
            ACME.workspace_id, now=fleet.clock.now()
        )
        == 'edge-0'
    )
