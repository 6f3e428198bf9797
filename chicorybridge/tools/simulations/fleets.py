"""Simulated fleets of decision systems on the faulty channel."""

import dataclasses
import random
from collections.abc import Iterable
from typing import Any

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import require
from chicorybridge.common.events import EventKind
from chicorybridge.common.identities import (
    ApplyId,
    HostId,
    Incarnation,
    RegionId,
    Version,
    ZoneId,
)
from chicorybridge.common.systems import Effects, System
from chicorybridge.configuration.apply_steps import FINAL_STAGES
from chicorybridge.configuration.rollouts import Rollouts
from chicorybridge.configuration.versions import (
    ApplyProgress,
    ApplyRequested,
    FleetStatus,
    StatusRequested,
)
from chicorybridge.fleet.members import Members
from chicorybridge.fleet.profiles import HostProfile
from chicorybridge.storage.stores import HostState, ListedHost
from chicorybridge.tools.models.synthetics import make_small_declaration
from chicorybridge.tools.simulations.channels import FaultyChannel

INCARNATION_BITS = 63

# Time in which hosts discover each other and join.
SETTLE_MS = 8000
# Delay of the channel in addition to the timeout of a status request.
ANSWER_DELAY_MS = 500


@dataclasses.dataclass(kw_only=True, slots=True)
class FleetHost:
    """Systems of one host.

    `is_settled` is whether no work on the host conflicts with its active
    version; as a fault, false keeps the host from confirming it.
    """

    members: Members
    rollouts: Rollouts
    is_settled: bool = True


def region_of(zone: int) -> RegionId:
    """Return the region of a zone; a region has two zones."""
    region = zone // 2
    return RegionId(f'region-{region}')


def _listed(host_id: HostId) -> ListedHost:
    return ListedHost(
        host_id=host_id, address='127.0.0.1:1', state=HostState.live
    )


class Operator(System):
    """An operator that records the answers of hosts."""

    def __init__(self) -> None:
        """Start without answers."""
        self.answers: list[Any] = []

    def receive(self, message: Any, *, sender: HostId, now: Millis) -> Effects:
        """Record the answer."""
        self.answers.append(message)
        return ()


class Fleet:
    """Hosts spread evenly over zones; a region has two zones."""

    def __init__(self, *, size: int, seed: int, zones: int = 4) -> None:
        """Start `size` hosts and list them in the platform."""
        self.channel = self.open_channel(seed=seed)
        self.rng = random.Random(seed)
        self.hosts_by_id: dict[HostId, FleetHost] = {}
        self.zones = zones
        for number in range(size):
            name = str(number).zfill(4)
            self.start(HostId(f'host-{name}'), zone=number % zones)

    def open_channel(self, *, seed: int) -> FaultyChannel:
        """Return the channel between the hosts."""
        return FaultyChannel(seed=seed)

    def start(
        self, host_id: HostId, *, zone: int, seeds: tuple[HostId, ...] = ()
    ) -> FleetHost:
        """Start a host, or a new incarnation of it, with `seeds` as peers."""
        profile = HostProfile(
            host_id=host_id,
            incarnation=Incarnation(self.rng.getrandbits(INCARNATION_BITS)),
            address='127.0.0.1:1',
            entries=(f'{host_id}:80',),
            zone_id=ZoneId(f'zone-{zone}'),
            region_id=region_of(zone),
        )
        members = Members(
            profile=profile,
            rng=random.Random(self.rng.random()),
            seeds=tuple(map(_listed, seeds)),
        )
        rollouts = Rollouts(
            members=members, is_settled=lambda _: host.is_settled
        )
        host = FleetHost(members=members, rollouts=rollouts)
        self.hosts_by_id[host_id] = host
        self.channel.add(host_id, members, rollouts)
        self.channel.region_by_host[host_id] = profile.region_id
        self.list_host(host_id, state=HostState.live)
        return host

    def operator(self, name: str) -> Operator:
        """Add an operator, whose id serves as the sender of requests."""
        operator = Operator()
        self.channel.add(HostId(name), operator)
        return operator

    def crash(self, host_id: HostId) -> None:
        """Remove a crashed host; the platform still lists it."""
        self.channel.remove(host_id)
        self.hosts_by_id.pop(host_id)

    def list_host(self, host_id: HostId, *, state: HostState) -> None:
        """Add or update a host in the host list of the platform."""
        listed = dataclasses.replace(_listed(host_id), state=state)
        self._listed_by_id[host_id] = listed

    def unlist(self, host_id: HostId) -> None:
        """Remove a host from the host list of the platform."""
        self._listed_by_id.pop(host_id, None)

    def zone_of(self, host_id: HostId) -> str:
        """Return the zone of a host."""
        members = self.hosts_by_id[host_id].members
        return members.profile.zone_id

    def hosts_of_region(self, region: int) -> list[HostId]:
        """Return the hosts of a region; a region has two zones."""
        region_id = region_of(2 * region)
        return [
            host_id
            for host_id, host in self.hosts_by_id.items()
            if host.members.profile.region_id == region_id
        ]

    def cut(
        self, senders: Iterable[HostId], receivers: Iterable[HostId]
    ) -> None:
        """Cut all links from `senders` to `receivers` in this direction."""
        receivers = list(receivers)
        self.channel.cut_links |= {
            (sender, receiver) for sender in senders for receiver in receivers
        }

    @property
    def _listed_by_id(self) -> dict[HostId, ListedHost]:
        return self.channel.store.tables.hosts_by_id


class AppliedFleet(Fleet):
    """A fleet with one operator and an accepted first version."""

    def __init__(self, *, size: int, seed: int = 1) -> None:
        """Start `size` hosts and apply the first version."""
        super().__init__(size=size, seed=seed)
        self.answers = self.operator('operator').answers
        self._events_read = 0
        self._accepted = 0
        self.channel.run(for_ms=SETTLE_MS)
        self.apply('first', base=0)
        self.channel.run(for_ms=SETTLE_MS)

    @property
    def default_host_id(self) -> HostId:
        """Return the host that operators use by default."""
        return min(self.hosts_by_id)

    @property
    def last_progress(self) -> ApplyProgress:
        """Return the last progress that the operator received.

        A final stage counts also if it arrived before earlier stages.
        """
        progresses = [
            answer
            for answer in self.answers
            if isinstance(answer, ApplyProgress)
        ]
        final = [
            answer
            for answer in progresses
            if answer.apply_id == progresses[-1].apply_id
            and answer.stage in FINAL_STAGES
        ]
        return (final or progresses)[-1]

    def apply(
        self,
        name: str,
        *,
        base: int,
        at: HostId | None = None,
        sender: str = 'operator',
        excused: tuple[HostId, ...] = (),
        apply_id: str = '',
        body: bytes = b'',
    ) -> None:
        """Send an apply request to a host."""
        request = ApplyRequested(
            apply_id=ApplyId(apply_id or f'apply-{name}'),
            base=Version(base),
            body=body or make_small_declaration(name).body,
            excused=excused,
        )
        self.channel.deliver(
            at or self.default_host_id, request, sender=HostId(sender)
        )

    def status(self, at: HostId | None = None) -> FleetStatus:
        """Return the status of the fleet from one host."""
        self.channel.deliver(
            at or self.default_host_id,
            StatusRequested(),
            sender=HostId('operator'),
        )
        self.channel.run(for_ms=settings.STATUS_TIMEOUT_MS + ANSWER_DELAY_MS)
        return [
            answer for answer in self.answers if isinstance(answer, FleetStatus)
        ][-1]

    def run(self, *, for_ms: float, step_ms: float = settings.TICK_MS) -> None:
        """Advance the clock and check the promise at each step.

        Every host that serves must have the version that was last reported
        as accepted, or a newer one.
        """
        end = self.channel.clock.now() + for_ms
        while self.channel.clock.now() < end:
            self.channel.run(for_ms=step_ms, tick_ms=step_ms)
            accepted = self.accepted
            require(
                promise='every serving host has the accepted version',
                holds=all(
                    self.versions.get(host_id, 0) >= accepted
                    for host_id in self.serving
                ),
            )

    @property
    def accepted(self) -> int:
        """Return the newest version that was reported as accepted."""
        events = self.channel.events
        for _, _, event in events[self._events_read :]:
            if event.kind is EventKind.configuration_accepted:
                self._accepted = max(self._accepted, event.facts['version'])
        self._events_read = len(events)
        return self._accepted

    @property
    def versions(self) -> dict[HostId, int]:
        """Return the active version of each host."""
        return {
            host_id: host.rollouts.active.head.version
            for host_id, host in self.hosts_by_id.items()
            if host.rollouts.active
        }

    @property
    def serving(self) -> set[HostId]:
        """Return the hosts that may serve now."""
        now = self.channel.clock.now()
        return {
            host_id
            for host_id, host in self.hosts_by_id.items()
            if host.rollouts.may_serve(now=now)
        }
