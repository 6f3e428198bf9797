"""What all hosts of a region ask for together, when all of them are late."""

import functools

import pytest

from chicorybridge.tests.regions.links import (
    BIN_MS,
    BYTES_PER_MS_AND_MBPS,
    Links,
)
from chicorybridge.tests.regions.regions import BOUND_MS, Faults, Region

REGIONS = 2
MANY_ROUTES = 1400
FEW_ROUTES = 20
LEAVING = 10
BYTES_PER_S_AND_MBPS = 125_000
SECONDS = BOUND_MS // 1000

# Hosts of a region, and reads that the store allows all regions in a second.
# Sites with more hosts than 292 have no figure of their own.
READS_PER_S = ((12, 2000), (66, 6000), (146, 16_000), (650, 16_000))
SMALLEST_MBPS = 5
# Hosts of a region, what the link of most of them carries each way, and what
# the link to the other region does, in Mbit/s.
LINKS = ((66, 5, 30), (146, 10, 75))


@functools.cache
def _late_region(hosts: int, *, host_mbps: float, routes: int) -> Region:
    """Return a region whose hosts lost all datagrams for the bound."""
    region = Region(
        hosts=hosts, faults=Faults(), seed=1, links=Links(host_mbps=host_mbps)
    )
    region.deafen(ms=BOUND_MS)
    region.leave(LEAVING)
    region.configure(routes=routes)
    region.run(ms=BOUND_MS)
    region.leave(LEAVING)
    region.configure(routes=routes)
    region.run(ms=BOUND_MS)
    return region


def _updated_region(hosts: int, *, host_mbps: float) -> Region:
    """Return a region after a large change that all hosts hear of."""
    region = Region(
        hosts=hosts, faults=Faults(), seed=1, links=Links(host_mbps=host_mbps)
    )
    region.run(ms=BOUND_MS)
    region.configure(routes=MANY_ROUTES)
    region.run(ms=BOUND_MS)
    return region


@pytest.mark.parametrize(('hosts', 'reads_per_s'), READS_PER_S)
def test_late_hosts_call_the_store_no_more_than_it_allows(hosts, reads_per_s):
    region = _late_region(hosts, host_mbps=1000, routes=1)
    assert region.calls.peak() * REGIONS <= reads_per_s


@pytest.mark.parametrize('hosts', [12, 66, 146, 650])
def test_late_hosts_send_no_more_than_the_smallest_link_carries(hosts):
    region = _late_region(hosts, host_mbps=1000, routes=1)
    assert region.sent_bytes.peak() <= SMALLEST_MBPS * BYTES_PER_S_AND_MBPS


@pytest.mark.parametrize(
    ('hosts', 'host_mbps'), [(12, 5), (66, 5), (146, 10), (650, 10)]
)
def test_news_take_the_link_of_a_host_for_a_tick_at_most(hosts, host_mbps):
    region = Region(hosts=hosts, faults=Faults(), seed=1)
    region.leave(LEAVING)
    region.configure(routes=FEW_ROUTES)
    region.run(ms=BOUND_MS)
    link_bytes = host_mbps * BYTES_PER_MS_AND_MBPS * BIN_MS
    assert region.sent_bytes.most_at_once() <= link_bytes


@pytest.mark.parametrize(('hosts', 'host_mbps'), [(66, 5)])
def test_fetches_of_a_large_configuration_fit_on_the_link_of_a_host(
    hosts, host_mbps
):
    region = _updated_region(hosts, host_mbps=host_mbps)
    assert region.sent_bytes.peak() <= host_mbps * BYTES_PER_S_AND_MBPS


@pytest.mark.parametrize(('hosts', 'host_mbps', 'store_mbps'), LINKS)
def test_late_hosts_get_a_large_configuration_over_the_link_between_regions(
    hosts, host_mbps, store_mbps
):
    region = _late_region(hosts, host_mbps=host_mbps, routes=MANY_ROUTES)
    carried = store_mbps * BYTES_PER_S_AND_MBPS * SECONDS
    assert region.store_bytes.peak(seconds=SECONDS) <= carried
