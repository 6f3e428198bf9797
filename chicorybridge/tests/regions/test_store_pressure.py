"""What the hosts of a region ask of the store when all hear nothing."""

import functools
from collections.abc import Collection

import pytest

from chicorybridge import settings
from chicorybridge.common.identities import HostId
from chicorybridge.tests.regions.links import Links
from chicorybridge.tests.regions.regions import (
    BOUND_MS,
    READ_MS,
    READ_TIMEOUT_MS,
    Faults,
    Region,
)

CHECK_MS = 50
# Hosts of the regions of the platform's deployments, and of their aim.
SIZES = (18, 66, 146, 650)
# The configuration is large, and the store in another region.
MANY_ROUTES = 1400
FAR_STORE = Links(host_mbps=10, store_mbps=30)
CHANGE_MS = 2000
CHANGES = 5
# A hop takes 15 ms and a step of the model.
NEWS_MS = 200
MAX_LATE_SHARE = 0.05
REFUSED = Faults(loss=0.1, refused_hosts=0.35)


def _fall_silent(region: Region) -> None:
    """Let no read be answered for as long as a read waits."""
    region.store_away = True
    region.read_ms = READ_TIMEOUT_MS
    region.run(ms=READ_TIMEOUT_MS)
    region.store_away = False
    region.read_ms = READ_MS


@pytest.mark.parametrize('hosts', SIZES)
def test_few_hosts_read_the_store_while_it_is_silent(hosts):
    region = Region(hosts=hosts, faults=Faults(loss=0.01), seed=1)
    region.run(ms=BOUND_MS)
    region.most_reading = 0
    _fall_silent(region)
    region.run(ms=BOUND_MS)
    assert region.most_reading <= settings.MAX_READ_RANK + 1


@pytest.mark.parametrize(
    'hosts',
    (
        18,
        66,
        pytest.param(
            146,
            marks=pytest.mark.xfail(
                strict=True, reason='KNOWN-RED: fetches of all take too long'
            ),
        ),
    ),
)
def test_few_hosts_read_the_store_while_all_datagrams_are_lost(hosts):
    """The configuration changes, so that each read would take all of it."""
    region = Region(
        hosts=hosts, faults=Faults(loss=0.01), seed=1, links=FAR_STORE
    )
    region.configure(routes=MANY_ROUTES)
    region.run(ms=2 * BOUND_MS)
    region.most_reading = 0
    region.deafen(ms=2 * BOUND_MS)
    late: set[HostId] = set()
    for _ in range(3):
        region.configure(routes=MANY_ROUTES)
        for _ in range(CHANGE_MS // CHECK_MS):
            region.run(ms=CHECK_MS)
            late.update(region.late_routes())
    assert region.most_reading <= settings.MAX_READ_RANK + 1
    assert not late


@functools.cache
def _late_routes(*, hosts: int, faults: Faults) -> Collection[HostId]:
    """Return hosts that use an old configuration after the store was silent.

    All of them would read the configuration over one link.
    """
    region = Region(hosts=hosts, faults=faults, seed=1, links=FAR_STORE)
    region.configure(routes=MANY_ROUTES)
    region.run(ms=2 * BOUND_MS)
    region.configure(routes=MANY_ROUTES)
    _fall_silent(region)
    late: set[HostId] = set()
    for _ in range(CHANGES):
        region.configure(routes=MANY_ROUTES)
        for _ in range(CHANGE_MS // CHECK_MS):
            region.run(ms=CHECK_MS)
            late.update(region.late_routes())
    return late


@pytest.mark.parametrize('hosts', (66, 146))
@pytest.mark.parametrize('faults', (Faults(loss=0.01), REFUSED), ids=str)
def test_reads_that_fill_a_link_make_no_old_configuration_usable(hosts, faults):
    assert not _late_routes(hosts=hosts, faults=faults)


@pytest.mark.parametrize('hosts', SIZES)
def test_lost_datagrams_keep_news_from_few_hosts(hosts):
    region = Region(hosts=hosts, faults=Faults(loss=0.05), seed=1)
    late = 0
    for _ in range(CHANGES):
        region.run(ms=BOUND_MS)
        region.leave(1)
        left_ids = set(region.left_at_by_id)
        while not any(host.knows_leaving(left_ids) for host in region.hosts):
            region.run(ms=CHECK_MS)
        region.run(ms=NEWS_MS)
        late += sum(not host.knows_leaving(left_ids) for host in region.hosts)
    assert late <= CHANGES * hosts * MAX_LATE_SHARE


@pytest.mark.parametrize('hosts', SIZES)
def test_lost_datagrams_keep_no_host_from_a_configuration_for_long(hosts):
    region = Region(hosts=hosts, faults=Faults(loss=0.05), seed=1)
    late: list[HostId] = []
    for _ in range(CHANGES):
        region.configure()
        region.run(ms=BOUND_MS + CHECK_MS)
        late.extend(host.host.host_id for host in region.outdated())
    assert not late
