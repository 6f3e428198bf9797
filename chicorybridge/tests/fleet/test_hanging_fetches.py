"""Which fetches show that a host is cut off from the others."""

import random

import pytest

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId
from chicorybridge.fleet.relays import StateRelay

START = Millis(0)
ORDER = (HostId('own'), HostId('other'))


@pytest.mark.parametrize(
    ('took_ms', 'is_cut_off'),
    [(settings.FETCH_HANGS_MS - 1, False), (settings.FETCH_HANGS_MS, True)],
)
def test_host_is_cut_off_once_a_fetch_hangs(took_ms, is_cut_off):
    """Until the next one ends in time."""
    relay = StateRelay(host_id=ORDER[0], rng=random.Random(1))
    ended_at = Millis(START + took_ms)
    relay.ask_any(order=ORDER, now=START)
    assert relay.take_due(now=START)
    assert not relay.is_cut_off(now=START)
    assert relay.is_cut_off(now=ended_at) is is_cut_off
    relay.end(now=ended_at)
    assert relay.is_cut_off(now=ended_at) is is_cut_off
    relay.ask_any(order=ORDER, now=ended_at)
    assert relay.take_due(now=ended_at)
    relay.end(now=ended_at)
    assert not relay.is_cut_off(now=ended_at)
