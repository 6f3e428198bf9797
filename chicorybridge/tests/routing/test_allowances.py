"""Retry allowances of hosts within a fleet-wide limit."""

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.routing.allowances import RetryAllowance, RetryBound

BOUND = RetryBound(ratio=0.2, slack=40, window_ms=10_000)
NOW = Millis(0)


def _take_all(allowance: RetryAllowance, *, hosts: int, now: Millis) -> int:
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
            allowance.record_request(now=NOW)
        total += _take_all(allowance, hosts=hosts, now=NOW)
    bound = BOUND.ratio * requests * hosts + BOUND.slack
    assert total <= bound * settings.RETRY_BOUND_SHARE


def test_retries_are_allowed_again_after_the_window():
    allowance = RetryAllowance(bound=BOUND)
    share = BOUND.slack / 4 * settings.RETRY_BOUND_SHARE
    assert _take_all(allowance, hosts=4, now=NOW) == share
    later = Millis(NOW + BOUND.window_ms + 1)
    assert _take_all(allowance, hosts=4, now=later) == share


def test_delayed_retry_counts_when_it_is_sent():
    allowance = RetryAllowance(bound=BOUND)
    taken = _take_all(allowance, hosts=4, now=NOW)
    sent_at = Millis(NOW + BOUND.window_ms - 1)
    for _ in range(taken):
        allowance.record_sent(taken_at=NOW, now=sent_at)
    later = Millis(NOW + BOUND.window_ms + 1)
    assert not allowance.take(hosts=4, now=later)
    assert allowance.take(hosts=4, now=Millis(sent_at + BOUND.window_ms + 1))


def test_process_that_started_leaves_the_slack_to_its_predecessor():
    allowance = RetryAllowance(bound=BOUND, started_at=NOW)
    assert not allowance.take(hosts=4, now=Millis(NOW + 1))
    for _ in range(10):
        allowance.record_request(now=Millis(NOW + 1))
    own = int(10 * BOUND.ratio * settings.RETRY_BOUND_SHARE)
    assert _take_all(allowance, hosts=4, now=Millis(NOW + 2)) == own
    later = Millis(NOW + BOUND.window_ms + 3)
    share = BOUND.slack / 4 * settings.RETRY_BOUND_SHARE
    assert _take_all(allowance, hosts=4, now=later) == share


def test_hosts_killed_and_started_again_stay_within_the_bound():
    hosts, requests = 40, 30
    total = 0
    for _ in range(hosts):
        killed = RetryAllowance(bound=BOUND)
        started_at = Millis(NOW + BOUND.window_ms / 2)
        started = RetryAllowance(bound=BOUND, started_at=started_at)
        for allowance, at in ((killed, NOW), (started, started_at)):
            for _ in range(requests):
                allowance.record_request(now=at)
            total += _take_all(allowance, hosts=hosts, now=at)
    bound = BOUND.ratio * requests * 2 * hosts + BOUND.slack
    assert total <= bound
