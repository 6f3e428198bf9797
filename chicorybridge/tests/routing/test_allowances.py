"""Retries as a share of a bound on the fleet."""

from chicorybridge.common.clocks import Millis
from chicorybridge.routing.allowances import RetryAllowance, RetryBound

BOUND = RetryBound(ratio=0.2, slack=40, window_ms=10_000)
NOW = Millis(0)


def _taken(allowance: RetryAllowance, *, hosts: int, now: Millis) -> int:
    taken = 0
    while allowance.take(hosts=hosts, now=now):
        taken += 1
    return taken


def test_hosts_together_stay_within_the_bound():
    hosts, requests = 40, 30
    total = 0
    allowances = [RetryAllowance(bound=BOUND) for _ in range(hosts)]
    for allowance in allowances:
        for _ in range(requests):
            allowance.request(now=NOW)
        total += _taken(allowance, hosts=hosts, now=NOW)
    assert total <= BOUND.ratio * requests * hosts + BOUND.slack


def test_window_slides():
    allowance = RetryAllowance(bound=BOUND)
    assert _taken(allowance, hosts=4, now=NOW) == 10
    later = Millis(NOW + BOUND.window_ms + 1)
    assert _taken(allowance, hosts=4, now=later) == 10
