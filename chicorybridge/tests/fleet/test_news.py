"""The trees through which news from the store pass."""

import itertools
from collections import Counter

import pytest

from chicorybridge import settings
from chicorybridge.common.identities import HostId, TargetId
from chicorybridge.fleet.directories import TargetsChanged
from chicorybridge.fleet.news import RegionNews, hosts_below

MANY_TARGETS = 400


def _order(hosts: int) -> list[HostId]:
    return [HostId(f'edge-{number}') for number in range(hosts)]


def _news(origin: HostId, *, targets: int) -> RegionNews:
    removed = tuple(TargetId(f'i-{number}') for number in range(targets))
    change = TargetsChanged(store_version=1, removed=removed)
    return RegionNews(origin=origin, message=change)


@pytest.mark.parametrize('hosts', [1, 12, 66, 146, 650])
@pytest.mark.parametrize('rank', [0, 6])
@pytest.mark.parametrize(('targets', 'most'), [(1, 2), (MANY_TARGETS, 1)])
def test_news_reach_each_host_and_burden_none(hosts, rank, targets, most):
    order = _order(hosts)
    origin = order[min(rank, hosts - 1)]
    news = _news(origin, targets=targets)
    sent = [hosts_below(host_id, news=news, order=order) for host_id in order]
    times_by_id = Counter(itertools.chain.from_iterable(sent))
    assert times_by_id.keys() == set(order) - {origin}
    assert max(times_by_id.values(), default=0) <= most
    assert max(map(len, sent)) <= settings.NEWS_FAN_OUT


@pytest.mark.parametrize('hosts', [66, 146])
def test_host_that_passes_nothing_on_keeps_small_news_from_no_other(hosts):
    order = _order(hosts)
    news = _news(order[0], targets=1)
    for silent in order[1:]:
        reached = {order[0]}
        waiting = [order[0]]
        while waiting:
            below = hosts_below(waiting.pop(), news=news, order=order)
            new = set(below) - reached
            reached |= new
            waiting.extend(new - {silent})
        assert len(reached) == hosts


def test_host_that_is_not_in_the_order_passes_nothing_on():
    order = _order(12)
    news = _news(order[0], targets=1)
    assert not hosts_below(HostId('other'), news=news, order=order)
