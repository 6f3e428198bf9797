"""Costs of routes learnt from answers."""

import random

import pytest

from chicorybridge.common.identities import RouteId
from chicorybridge.routing.route_costs import RouteCosts

READS = RouteId('reads')
SEED = 11


def test_costs_are_unknown_without_answers():
    # An unknown cost that counts as 0 makes a new route look free.
    costs = RouteCosts()
    costs.record(READS, answer_bytes=10)
    assert costs.work_ms(READS) is None
    assert costs.high_work_ms(READS) is None
    assert costs.answer_bytes(RouteId('other')) is None
    assert costs.answer_bytes(READS) == 10


def test_means_follow_a_change_within_some_tens_of_answers():
    # Means over all time would keep the cost of work that is long gone.
    costs = RouteCosts()
    for _ in range(1000):
        costs.record(READS, work_ms=100, answer_bytes=1000)
    for _ in range(100):
        costs.record(READS, work_ms=300, answer_bytes=9000)
    assert costs.work_ms(READS) == pytest.approx(300, rel=0.05)
    assert costs.answer_bytes(READS) == pytest.approx(9000, rel=0.05)


def test_quantile_is_above_the_mean_of_uneven_work():
    # A quantile near the mean admits requests that miss their deadline.
    rng = random.Random(SEED)
    costs = RouteCosts()
    for _ in range(3000):
        costs.record(READS, work_ms=rng.expovariate(1 / 200))
    high_ms = costs.high_work_ms(READS)
    assert high_ms is not None
    # The quantile 0.9 of an exponential distribution is 2.3 means.
    assert 1.7 * 200 < high_ms < 3.2 * 200


def test_routes_of_an_earlier_configuration_are_forgotten():
    # Routes that come and go would otherwise fill the memory.
    costs = RouteCosts()
    costs.record(READS, work_ms=1)
    costs.record(RouteId('old'), work_ms=1)
    costs.keep([READS])
    assert costs.work_ms(READS) == 1
    assert costs.work_ms(RouteId('old')) is None
