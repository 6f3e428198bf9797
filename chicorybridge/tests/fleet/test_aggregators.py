"""Which host sums up the requests in flight of a zone."""

import pytest

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId
from chicorybridge.fleet.aggregators import AggregatorChoice

ORDER = tuple(
    HostId(f'edge-{number}') for number in range(settings.MIN_AGGREGATED_HOSTS)
)
FIRST, SECOND, THIRD = ORDER[:3]
OWN = ORDER[-1]
NOW = Millis(10_000)
SILENT = Millis(NOW + settings.AGGREGATOR_TIMEOUT_MS + 1)


@pytest.fixture(name='choice')
def _choice() -> AggregatorChoice:
    choice = AggregatorChoice(host_id=OWN)
    choice.update(ORDER, now=NOW)
    return choice


def test_first_host_of_a_large_zone_is_the_aggregator(choice):
    assert choice.current == FIRST
    assert not choice.is_own


def test_hosts_of_a_small_zone_tell_each_other_directly(choice):
    assert choice.update(ORDER[:3], now=NOW)
    assert choice.current is None
    small = AggregatorChoice(host_id=OWN)
    assert not small.update(ORDER[1:], now=NOW)


def test_zone_that_shrinks_a_little_keeps_its_aggregator(choice):
    assert not choice.update(ORDER[:-1], now=NOW)
    assert choice.current == FIRST


def test_silent_aggregator_is_replaced_and_used_again_later(choice):
    choice.record_totals(FIRST, now=NOW)
    assert not choice.update(ORDER, now=Millis(SILENT - 2))
    assert choice.update(ORDER, now=SILENT)
    assert choice.current == SECOND
    back_at = Millis(SILENT + settings.AGGREGATOR_AVOIDED_MS)
    choice.record_totals(SECOND, now=back_at)
    choice.update(ORDER, now=Millis(back_at + 1))
    assert choice.current == FIRST


def test_two_silent_aggregators_are_passed_over(choice):
    choice.update(ORDER, now=SILENT)
    choice.update(
        ORDER, now=Millis(SILENT + settings.AGGREGATOR_TIMEOUT_MS + 1)
    )
    assert choice.current == THIRD


def test_sums_of_another_host_do_not_count(choice):
    assert not choice.record_totals(SECOND, now=NOW)
    choice.update(ORDER, now=SILENT)
    assert choice.current == SECOND


def test_aggregator_that_leaves_is_replaced_at_once(choice):
    assert choice.update(ORDER[1:], now=NOW)
    assert choice.current == SECOND


def test_host_sums_up_itself_if_all_others_are_silent(choice):
    only_first = (FIRST,) * len(ORDER)
    choice.update(only_first, now=NOW)
    choice.update(only_first, now=SILENT)
    assert choice.is_own
