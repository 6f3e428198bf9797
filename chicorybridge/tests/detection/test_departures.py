"""Tests of targets that leave."""

import pytest

from chicorybridge import settings
from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, RouteId, ServiceId, TargetId
from chicorybridge.detection.departures import Departures
from chicorybridge.storage.stores import HostState
from chicorybridge.tools.simulations.fleets import Fleet

FIRST = HostId('host-0000')
TARGET = TargetId('target-1')
# Time within which all hosts must be informed.
INFORM_MS = 2000


class LeavingFleet(Fleet):
    """A fleet in which every host keeps track of leaving targets."""

    def __init__(self) -> None:
        """Start eight hosts and let them discover each other."""
        super().__init__(size=8, seed=3)
        self.departures_by_host: dict[HostId, Departures] = {}
        for host_id, host in self.hosts_by_id.items():
            departures = Departures(members=host.members)
            self.departures_by_host[host_id] = departures
            self.channel.add(host_id, host.members, departures)
        self.channel.run(for_ms=8000)

    @property
    def informed_hosts(self) -> set[HostId]:
        """Return the hosts that know that the target is leaving."""
        return {
            host_id
            for host_id, departures in self.departures_by_host.items()
            if departures.is_leaving(TARGET)
        }

    def send_leaving_signal(self) -> None:
        """Deliver an answer with the leaving signal to the first host."""
        attempt = Attempt(
            service_id=ServiceId('quotes'),
            target_id=TARGET,
            route_id=RouteId('quotes'),
            outcome=AttemptOutcome.answered,
            started_at=Millis(0),
            elapsed_ms=1,
            leaving=True,
        )
        self.channel.deliver(FIRST, attempt, sender=FIRST)


@pytest.fixture
def fleet() -> LeavingFleet:
    """Return a fleet of eight hosts that know each other."""
    return LeavingFleet()


def test_leaving_signal_reaches_all_hosts(fleet):
    """One answer with the signal suffices, even without the store."""
    fleet.channel.store.outage = True
    fleet.send_leaving_signal()
    fleet.channel.run(for_ms=INFORM_MS)
    assert fleet.informed_hosts == set(fleet.hosts_by_id)


def test_listed_leaving_reaches_all_hosts(fleet):
    """The first host that reads the host list informs the others."""
    fleet.list_host(HostId(TARGET), state=HostState.leaving)
    fleet.channel.run(for_ms=INFORM_MS)
    assert fleet.informed_hosts == set(fleet.hosts_by_id)


def test_target_without_signs_is_dropped(fleet):
    """A target without signs for `LEAVING_TTL_MS` gets requests again."""
    fleet.send_leaving_signal()
    fleet.channel.run(
        for_ms=settings.LEAVING_TTL_MS + settings.HOST_LIST_INTERVAL_MS + 1000
    )
    assert not fleet.informed_hosts
