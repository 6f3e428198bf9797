"""Tests of the graceful shutdown of a host."""

import pytest

from chicorybridge import settings
from chicorybridge.common.identities import HostId
from chicorybridge.fleet.drains import DrainRequested, Drains, DrainState
from chicorybridge.tools.simulations.fleets import Fleet

FIRST = HostId('host-0000')
SECOND = HostId('host-0001')


class DrainableFleet(Fleet):
    """A fleet whose first host can drain, with settable load counters."""

    def __init__(self) -> None:
        """Start four hosts, the first with one connection and request."""
        super().__init__(size=4, seed=2)
        self.connections = 1
        self.in_flight = 1
        members = self.hosts_by_id[FIRST].members
        self.drains = Drains(
            members=members,
            connections=lambda: self.connections,
            in_flight=lambda: self.in_flight,
        )
        self.channel.add(FIRST, members, self.drains)
        self.channel.run(for_ms=8000)

    def drain(self) -> None:
        """Ask the first host to drain."""
        self.channel.deliver(FIRST, DrainRequested(), sender=FIRST)


@pytest.fixture
def fleet() -> DrainableFleet:
    """Return four hosts, the first of them with a request in flight."""
    return DrainableFleet()


def test_peers_see_drain_within_a_second(fleet):
    """Peers see the host as leaving, and it still takes work."""
    fleet.drain()
    fleet.channel.run(for_ms=1000)
    peers = fleet.hosts_by_id[SECOND].members.hosts_by_id
    assert peers[FIRST].leaving
    assert fleet.drains.state is DrainState.withdrawn


def test_host_keeps_connections_until_lists_expire(fleet):
    """Connections are closed only when no valid list names the host."""
    fleet.drain()
    fleet.channel.run(for_ms=settings.ENTRY_LIST_TTL_MS)
    assert fleet.drains.state is DrainState.withdrawn
    fleet.channel.run(for_ms=settings.DRAIN_PROPAGATION_MS + 200)
    assert fleet.drains.state is DrainState.closing


def test_host_waits_for_requests_in_flight(fleet):
    """The host waits without a time limit for requests in flight."""
    fleet.drain()
    fleet.channel.run(for_ms=10 * 60_000)
    assert fleet.drains.state is DrainState.finishing
    fleet.in_flight = 0
    fleet.channel.run(for_ms=1000)
    assert fleet.drains.state is DrainState.left
    peers = fleet.hosts_by_id[SECOND].members.peers
    assert FIRST not in peers.links_by_id


def test_idle_host_leaves_when_lists_expire(fleet):
    """Without connections the host stops once the lists have expired."""
    fleet.connections = 0
    fleet.in_flight = 0
    fleet.drain()
    fleet.channel.run(
        for_ms=settings.ENTRY_LIST_TTL_MS + settings.DRAIN_PROPAGATION_MS + 500
    )
    assert fleet.drains.state is DrainState.left
