"""Fleets of decision systems on the faulty channel, for tests and runs."""

import dataclasses
import random
from collections.abc import Iterable
from typing import Any

from chicorybridge.clocks import Millis
from chicorybridge.identities import HostId, Incarnation, RegionId, ZoneId
from chicorybridge.members import Members
from chicorybridge.profiles import HostProfile
from chicorybridge.rollouts import Rollouts
from chicorybridge.stores import HostState, ListedHost
from chicorybridge.systems import Effects, System
from chicorybridge.tools.channels import FaultyChannel

INCARNATION_BITS = 63


@dataclasses.dataclass(kw_only=True, slots=True)
class FleetHost:
    """One host of a fleet with its systems; `settles` is a fault knob."""

    members: Members
    rollouts: Rollouts
    settles: bool = True


def region_of(zone: int) -> RegionId:
    """Return the region of a zone: two zones a region."""
    region = zone // 2
    return RegionId(f'region-{region}')


class Operator(System):
    """Keep what hosts answer to one operator."""

    def __init__(self) -> None:
        """Start without answers."""
        self.answers: list[Any] = []

    def receive(self, message: Any, *, sender: HostId, now: Millis) -> Effects:
        """Keep the answer."""
        self.answers.append(message)
        return ()


class Fleet:
    """Hosts spread evenly over zones, two zones a region."""

    def __init__(self, *, size: int, seed: int, zones: int = 4) -> None:
        """Start `size` hosts and list them in the platform."""
        self.channel = FaultyChannel(seed=seed)
        self.rng = random.Random(seed)
        self.hosts_by_id: dict[HostId, FleetHost] = {}
        self.zones = zones
        for number in range(size):
            name = str(number).zfill(4)
            self.start(HostId(f'host-{name}'), zone=number % zones)

    def start(self, host_id: HostId, *, zone: int) -> FleetHost:
        """Start a host, or a new incarnation of it."""
        profile = HostProfile(
            host_id=host_id,
            incarnation=Incarnation(self.rng.getrandbits(INCARNATION_BITS)),
            address='127.0.0.1:1',
            entries=(f'{host_id}:80',),
            zone_id=ZoneId(f'zone-{zone}'),
            region_id=region_of(zone),
        )
        members = Members(profile=profile, rng=random.Random(self.rng.random()))
        rollouts = Rollouts(members=members, settled=lambda _: host.settles)
        host = FleetHost(members=members, rollouts=rollouts)
        self.hosts_by_id[host_id] = host
        self.channel.add(host_id, members, rollouts)
        self.list_host(host_id, state=HostState.live)
        return host

    def operator(self, name: str) -> Operator:
        """Add an operator, whose id serves as the sender of requests."""
        operator = Operator()
        self.channel.add(HostId(name), operator)
        return operator

    def crash(self, host_id: HostId) -> None:
        """Let a host die without a word; the platform still lists it."""
        self.channel.remove(host_id)
        self.hosts_by_id.pop(host_id)

    def list_host(self, host_id: HostId, *, state: HostState) -> None:
        """Name a host in the platform's list."""
        self._listed[host_id] = ListedHost(
            host_id=host_id, address='127.0.0.1:1', state=state
        )

    def unlist(self, host_id: HostId) -> None:
        """Drop a host from the platform's list."""
        self._listed.pop(host_id, None)

    def of_region(self, region: int) -> list[HostId]:
        """Return the hosts of a region; two zones make one."""
        region_id = region_of(2 * region)
        return [
            host_id
            for host_id, host in self.hosts_by_id.items()
            if host.members.profile.region_id == region_id
        ]

    def cut(
        self, senders: Iterable[HostId], receivers: Iterable[HostId]
    ) -> None:
        """Cut all links from `senders` to `receivers`, one way."""
        receivers = list(receivers)
        self.channel.cut_links |= {
            (sender, receiver) for sender in senders for receiver in receivers
        }

    @property
    def _listed(self) -> dict[HostId, ListedHost]:
        return self.channel.store.tables.hosts_by_id
