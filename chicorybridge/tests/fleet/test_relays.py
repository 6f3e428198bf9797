"""From which host each host of a region fetches newer state."""

import random
from collections import Counter
from collections.abc import Collection

import pytest

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId
from chicorybridge.fleet.relays import StateRelay

NOW = Millis(1000)
STEP_MS = 10


def _hosts(count: int) -> tuple[HostId, ...]:
    return tuple(HostId(f'host-{number}') for number in range(count))


def _relay(host_id: HostId) -> StateRelay:
    return StateRelay(host_id=host_id, rng=random.Random(1))


class RegionModel:
    """Hosts of a region of which the first one has newer state."""

    def __init__(self, count: int) -> None:
        """Announce the state to all hosts."""
        self.order = _hosts(count)
        self.now = NOW
        self.origin = self.order[0]
        self.holders = {self.origin}
        self.fetches: list[HostId] = []
        self.relays_by_id = {
            host_id: _relay(host_id)
            for host_id in self.order
            if host_id != self.origin
        }
        for relay in self.relays_by_id.values():
            relay.offer(self.origin, order=self.order, now=self.now)

    def step(self, *, failing: Collection[HostId] = ()) -> None:
        """Let each host fetch what is due, except for `failing` ones."""
        self.now = Millis(self.now + STEP_MS)
        for host_id, relay in self.relays_by_id.items():
            fetch = relay.take_due(now=self.now)
            if fetch is None or host_id in failing:
                continue
            assert fetch.source in self.holders
            self.fetches.append(fetch.source)
            self.holders.add(host_id)
            for below in relay.hosts_below(fetch, order=self.order):
                self.relays_by_id[below].offer(
                    host_id, order=self.order, now=self.now
                )


@pytest.mark.parametrize('count', [2, 7, 23, 64, 433])
def test_no_host_serves_the_state_to_more_than_a_few(count):
    region = RegionModel(count)
    for _ in range(10):
        region.step()
    assert len(region.holders) == count
    most = max(Counter(region.fetches).values())
    assert most <= settings.RELAY_FAN_OUT


def test_hosts_below_one_that_fails_fetch_from_the_origin():
    region = RegionModel(64)
    failing = frozenset(region.order[1:3])
    for _ in range(200):
        region.step(failing=failing)
    assert len(region.holders) == 64 - len(failing)


def test_offer_of_a_host_without_others_is_due_at_once():
    own, other = _hosts(2)
    relay = _relay(own)
    relay.offer(other, order=(own,), now=NOW)
    fetch = relay.take_due(now=NOW)
    assert fetch is not None
    assert fetch.source == other
    assert relay.take_due(now=NOW) is None


def test_fetch_that_failed_is_due_again():
    own, other = _hosts(2)
    relay = _relay(own)
    relay.offer(other, order=(own, other), now=NOW)
    fetch = relay.take_due(now=NOW)
    assert fetch is not None
    relay.retry(fetch, now=NOW)
    assert relay.take_due(now=NOW) is None
    latest_ms = settings.RELAY_WAIT_MS + settings.RELAY_JITTER_MS
    assert relay.take_due(now=Millis(NOW + latest_ms)) == fetch


def test_host_whose_read_failed_asks_one_that_was_not_offered():
    hosts = _hosts(9)
    relay = _relay(hosts[0])
    relay.ask_any(order=hosts, now=NOW)
    fetch = relay.take_due(now=NOW)
    assert fetch is not None
    assert fetch.source in hosts[1:]


def test_offer_of_newer_state_goes_before_a_question():
    hosts = _hosts(3)
    own, other, _ = hosts
    relay = _relay(own)
    relay.offer(other, order=hosts, now=NOW)
    relay.ask_any(order=hosts, now=NOW)
    fetch = relay.take_due(now=NOW)
    assert fetch is not None
    assert fetch.source == other
