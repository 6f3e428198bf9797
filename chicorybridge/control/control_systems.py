"""All decision systems of a control process, combined into one."""

import math
import random
from collections.abc import Iterable, Iterator
from typing import Any

from chicorybridge import settings
from chicorybridge.claims.claims import Claims
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.identities import (
    NO_VERSION,
    HostId,
    Incarnation,
    ServiceId,
    TargetId,
)
from chicorybridge.common.systems import Effect, SendToEntries, System
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.configuration.rollouts import Rollouts
from chicorybridge.configuration.versions import ServingLease
from chicorybridge.control.sessions import EntryTable
from chicorybridge.detection.departures import Departures
from chicorybridge.detection.detections import Detection
from chicorybridge.entry.entry_messages import FleetSent
from chicorybridge.fleet.drains import Drains
from chicorybridge.fleet.members import Members
from chicorybridge.fleet.profiles import HostProfile
from chicorybridge.fleet.rosters import Rosters
from chicorybridge.routing.grants import Grants
from chicorybridge.quarantine.gossip import QuarantineGossip
from chicorybridge.storage.stores import ListedHost

MILLIS_PER_DAY = 86_400_000


class ControlSystems:
    """Tick all systems and pass the state of some to others."""

    def __init__(
        self,
        *,
        profile: HostProfile,
        clock: Clock,
        rng: random.Random,
        seeds: tuple[ListedHost, ...],
        entries: EntryTable,
    ) -> None:
        """Build the systems of the host that `profile` describes."""
        self._clock = clock
        self._entries = entries
        self.members = Members(profile=profile, rng=rng, seeds=seeds)
        self.rollouts = Rollouts(
            members=self.members, is_settled=self._is_settled
        )
        self.detection = Detection(
            host_id=profile.host_id,
            zone_id=profile.zone_id,
            incarnation=profile.incarnation,
            rng=rng,
        )
        self.claims = Claims(
            host_id=profile.host_id,
            incarnation=profile.incarnation,
            today=lambda: int(clock.wall_time() // MILLIS_PER_DAY),
        )
        self.departures = Departures(members=self.members)
        self.drains = Drains(
            members=self.members,
            connections=lambda: entries.connections,
            in_flight=lambda: entries.in_flight,
        )
        self.grants = Grants(
            host_id=profile.host_id, region_hosts=self._region_hosts
        )
        self._systems: tuple[System, ...] = (
            self.members,
            self.rollouts,
            self.detection,
            self.claims,
            self.departures,
            self.drains,
            self.grants,
            Rosters(members=self.members),
            QuarantineGossip(
                host_id=profile.host_id,
                peers=lambda: self.members.hosts_by_id.keys(),
                rng=rng,
            ),
        )
        self._configured_version = NO_VERSION
        self._members_generation = -1
        self._incarnations_by_host: dict[HostId, Incarnation] = {}
        self._ended_incarnations: set[Incarnation] = set()
        self._leaving_targets: frozenset[TargetId] = frozenset()

    def tick(self, *, now: Millis) -> Iterator[Effect]:
        """Tick every system and apply changes of hosts and configuration."""
        for system in self._systems:
            yield from system.tick(now=now)
        yield from self._configure(now)
        if self.members.generation != self._members_generation:
            self._members_generation = self.members.generation
            yield from self._update_hosts(now)
        self._update_unavailable_slots()
        yield from self._send_lease()

    def receive(
        self, message: Any, *, sender: HostId, now: Millis
    ) -> Iterator[Effect]:
        """Pass a message to every system."""
        for system in self._systems:
            yield from system.receive(message, sender=sender, now=now)

    def _is_settled(self, declaration: Declaration) -> bool:
        now = self._clock.now()
        active = self.rollouts.active
        if active is None or not self.detection.is_settled(now=now):
            return False
        if self._configured_version != active.head.version:
            return False
        return self._entries.all_switched_to(
            active.head.version, now=now, within_ms=settings.SERVING_LEASE_MS
        )

    def _configure(self, now: Millis) -> Iterator[Effect]:
        active = self.rollouts.active
        if active is None or active.head.version == self._configured_version:
            return
        self._configured_version = active.head.version
        self.grants.set_declaration(
            active.declaration, self.members.profile.region_id
        )
        yield from self.detection.configure(
            active.declaration, version=active.head.version, now=now
        )

    def _update_hosts(self, now: Millis) -> Iterator[Effect]:
        hosts_by_id = self.members.hosts_by_id
        incarnations = {
            host_id: profile.incarnation
            for host_id, profile in hosts_by_id.items()
        }
        for host_id, previous in self._incarnations_by_host.items():
            # The process of an incarnation has ended once the host reports
            # another one.
            if host_id in incarnations and incarnations[host_id] != previous:
                self._ended_incarnations.add(previous)
        self._ended_incarnations -= set(incarnations.values())
        self._incarnations_by_host.update(incarnations)
        self.claims.assignments.update_host_count(len(hosts_by_id))
        self.detection.update_hosts(
            incarnations, gone=frozenset(self._ended_incarnations), now=now
        )
        yield SendToEntries(message=self._count_processes(hosts_by_id))

    def _region_hosts(self) -> list[HostId]:
        own = self.members.profile
        return [
            host_id
            for host_id, profile in self.members.hosts_by_id.items()
            if profile.region_id == own.region_id
        ]

    def _update_unavailable_slots(self) -> None:
        """Report the slots of leaving targets as unavailable to detection."""
        active = self.rollouts.active
        leaving = frozenset(self.departures.departures_by_id)
        if active is None or leaving == self._leaving_targets:
            return
        self._leaving_targets = leaving
        slots_by_service: dict[ServiceId, int] = {}
        for target_id in leaving:
            target = active.declaration.targets_by_id.get(target_id)
            if target is None:
                continue
            pool = active.declaration.pool_of(target)
            slots = slots_by_service.get(pool.service_id, 0)
            slots_by_service[pool.service_id] = slots + pool.slots
        self.detection.update_unavailable_slots(slots_by_service)

    def _count_processes(
        self, hosts_by_id: dict[HostId, HostProfile]
    ) -> FleetSent:
        own = self.members.profile
        profiles = hosts_by_id.values()
        return FleetSent(
            processes=_count_entries(profiles),
            zone_processes=_count_entries(
                profile
                for profile in profiles
                if profile.zone_id == own.zone_id
            ),
            region_processes=_count_entries(
                profile
                for profile in profiles
                if profile.region_id == own.region_id
            ),
        )

    def _send_lease(self) -> Iterator[Effect]:
        expires_at = self.rollouts.lease_until()
        yield SendToEntries(
            message=ServingLease(
                version=self.rollouts.confirmed,
                # 0 stands for an expired lease: this host may not serve.
                until_ms=round(expires_at) if math.isfinite(expires_at) else 0,
            )
        )


def _count_entries(profiles: Iterable[HostProfile]) -> int:
    """Count entry processes, at least the one that gets the message."""
    return max(1, sum(len(profile.entries) for profile in profiles))
