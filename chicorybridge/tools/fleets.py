"""Fleets of decision systems on the faulty channel, for tests and runs."""

import dataclasses
import random
from collections.abc import Iterable

from chicorybridge.identities import HostId, Incarnation, RegionId, ZoneId
from chicorybridge.members import Members
from chicorybridge.profiles import HostProfile
from chicorybridge.stores import HostState, ListedHost
from chicorybridge.systems import System
from chicorybridge.tools.channels import FaultyChannel

INCARNATION_BITS = 63


@dataclasses.dataclass(kw_only=True, slots=True)
class FleetHost:
    """One host of a fleet with its systems."""

    members: Members
    systems: tuple[System, ...]


class Fleet:
    """Hosts spread evenly over zones, two zones a region."""

    def __init__(self, *, size: int, seed: int, zones: int = 4) -> None:
        """Start `size` hosts and list them in the platform."""
        self.channel = FaultyChannel(seed=seed)
        self.rng = random.Random(seed)
        self.hosts_by_id: dict[HostId, FleetHost] = {}
        self.zones = zones
        for number in range(size):
            self.start(HostId(f'host-{number:04}'), zone=number % zones)

    def start(self, host_id: HostId, *, zone: int) -> FleetHost:
        """Start a host, or a new incarnation of it."""
        profile = HostProfile(
            host_id=host_id,
            incarnation=Incarnation(self.rng.getrandbits(INCARNATION_BITS)),
            address='127.0.0.1:1',
            entries=(f'{host_id}:80',),
            zone_id=ZoneId(f'zone-{zone}'),
            region_id=RegionId(f'region-{zone // 2}'),
        )
        members = Members(profile=profile, rng=random.Random(self.rng.random()))
        host = FleetHost(members=members, systems=self.build(members))
        self.hosts_by_id[host_id] = host
        self.channel.add(host_id, *host.systems)
        self.list_host(host_id, state=HostState.live)
        return host

    def build(self, members: Members) -> tuple[System, ...]:
        """Return the systems of one host."""
        return (members,)

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
        """Return the hosts of a region."""
        return [
            host_id
            for host_id, host in self.hosts_by_id.items()
            if host.members.profile.region_id == f'region-{region}'
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
