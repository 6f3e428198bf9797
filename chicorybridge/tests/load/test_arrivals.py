"""Tests of open-loop arrivals."""

import random

from chicorybridge.load.arrivals import draw_arrivals
from chicorybridge.load.experiments import CallerGroup, RequestKind

KINDS = (
    RequestKind(name='read', share=9),
    RequestKind(name='accept', share=1),
)


def _draw_arrivals(**options):
    group = CallerGroup(
        name='noord', to=(), requests=(), requests_per_second=100, **options
    )
    return list(
        draw_arrivals(group, KINDS, duration_ms=100_000, rng=random.Random(1))
    )


def test_arrivals_follow_rate_shares_and_seed():
    """About 10,000 arrivals are drawn, a tenth of them of kind `accept`.

    The same seed draws the same arrivals.
    """
    arrivals = _draw_arrivals()
    accepted = sum(arrival.kind.name == 'accept' for arrival in arrivals)
    assert 9600 < len(arrivals) < 10_400
    assert 850 < accepted < 1150
    assert arrivals == _draw_arrivals()


def test_arrivals_lie_between_start_and_stop():
    """No request is due before `start_ms` or after `stop_ms`."""
    times = [
        arrival.at_ms for arrival in _draw_arrivals(start_ms=2000, stop_ms=5000)
    ]
    assert times == sorted(times)
    assert 2000 <= times[0]
    assert times[-1] < 5000
