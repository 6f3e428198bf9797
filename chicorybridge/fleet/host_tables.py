"""Hosts of the fleet, tracked by the datagrams they send."""

import dataclasses
import functools
import itertools
import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import xxhash

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire, wire_repeated
from chicorybridge.common.identities import (
    HostId,
    Incarnation,
    RegionId,
    ZoneId,
)
from chicorybridge.fleet.host_groups import HostGroups, rank_hash

NEVER = Millis(-math.inf)


@wire_repeated
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FleetMember:
    """The profile that a host sends of itself; addresses are IP:PORT.

    `front` accepts callers; `fleet_address` accepts datagrams and streams
    of other hosts. `serial` increases with each change within an
    incarnation.
    """

    host_id: HostId
    zone_id: ZoneId
    incarnation: Incarnation
    serial: int
    front: str
    fleet_address: str
    serving: bool


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostLink:
    """Tell the zone how much the link of the sender carries, in Mbit/s."""

    bandwidth_mbps: float


@dataclasses.dataclass(kw_only=True, slots=True)
class HostRecord:
    """A host, and when it last sent a message.

    `message_at` is when the message was handled. It arrived later than
    `arrived_after`, which is never for a host that only others have reported;
    it may be gone. `has_served` tells a host that leaves from one that starts.
    """

    profile: FleetMember
    message_at: Millis
    arrived_after: Millis
    has_served: bool

    @property
    def heard(self) -> bool:
        """Return whether the host itself has sent a message."""
        return self.arrived_after > NEVER

    def has_served_as(self, profile: FleetMember) -> bool:
        """Return whether the host has served since the start of `profile`."""
        if profile.incarnation != self.profile.incarnation:
            return False
        return self.has_served


class HostTable:
    """Hosts that sent a message recently, without this host itself."""

    def __init__(
        self,
        *,
        host_id: HostId,
        zone_id: ZoneId,
        regions_by_zone: Mapping[ZoneId, RegionId],
    ) -> None:
        """Start empty; `host_id` and `zone_id` are those of this host."""
        self.host_id = host_id
        self.zone_id = zone_id
        self.regions_by_zone = regions_by_zone
        self._records_by_id: dict[HostId, HostRecord] = {}
        # Replaced whenever a profile is added, removed or differs.
        self.groups = HostGroups(table=self, records_by_id=self._records_by_id)
        self._expired_at = Millis(-math.inf)
        # Mbit/s of the links of hosts of the zone that are known.
        self.bandwidth_by_id: dict[HostId, float] = {}
        # Profiles of hosts that timed out or were reported as lost.
        self.lost_by_id: dict[HostId, FleetMember] = {}

    def record(
        self,
        profile: FleetMember,
        *,
        now: Millis,
        arrived_after: Millis | None = None,
    ) -> bool:
        """Store a host's own profile; return if it is new or has restarted.

        It arrived later than `arrived_after`, by default just now.
        """
        if profile.host_id == self.host_id:
            return False
        current = self._records_by_id.get(profile.host_id)
        if current is not None and _is_outdated(profile, current.profile):
            return False
        if current is None or current.profile != profile:
            self.groups = self.groups.renewed()
        self._records_by_id[profile.host_id] = HostRecord(
            profile=profile,
            message_at=now,
            arrived_after=now if arrived_after is None else arrived_after,
            has_served=profile.serving
            or (current is not None and current.has_served_as(profile)),
        )
        self.lost_by_id.pop(profile.host_id, None)
        if current is None:
            return True
        return current.profile.incarnation != profile.incarnation

    def touch(
        self,
        host_id: HostId,
        *,
        now: Millis,
        arrived_after: Millis | None = None,
    ) -> bool:
        """Record that a host sent a message; return if it is in the table.

        The message arrived later than `arrived_after`, by default just now.
        """
        record = self._records_by_id.get(host_id)
        if record is None:
            return False
        record.message_at = now
        record.arrived_after = now if arrived_after is None else arrived_after
        return True

    def add_unknown(
        self, profiles: Iterable[FleetMember], *, now: Millis
    ) -> None:
        """Add hosts that others reported; existing profiles stay.

        Hosts that this one lost are not added: a report may be older than
        the loss.
        """
        for profile in profiles:
            host_id = profile.host_id
            if host_id == self.host_id or host_id in self._records_by_id:
                continue
            if _is_lost(self.lost_by_id, profile):
                continue
            self.groups = self.groups.renewed()
            self._records_by_id[host_id] = HostRecord(
                profile=profile,
                message_at=now,
                arrived_after=NEVER,
                has_served=profile.serving,
            )

    def expire(self, *, now: Millis) -> tuple[HostRecord, ...]:
        """Remove and return the hosts that have timed out.

        They are looked for every `HOST_EXPIRY_INTERVAL_MS` at most.
        """
        if now - self._expired_at < settings.HOST_EXPIRY_INTERVAL_MS:
            return ()
        self._expired_at = now
        region_timeout_ms = settings.HOST_TIMEOUT_MS * heartbeat_turns(
            len(self.in_other_zones()), settings.REGION_HOSTS_PER_HEARTBEAT
        )
        far_turns = heartbeat_turns(
            len(self.in_other_regions()), settings.FAR_HOSTS_PER_HEARTBEAT
        )
        far_timeout_ms = max(
            settings.OTHER_REGION_HOST_TIMEOUT_MS,
            settings.HOST_TIMEOUT_MS * far_turns,
        )
        silent = [
            record
            for record in self._records_by_id.values()
            if now - record.message_at
            > _timeout_ms(
                self, record.profile, region_timeout_ms, far_timeout_ms
            )
        ]
        for record in silent:
            self._records_by_id.pop(record.profile.host_id)
            _remember(self.lost_by_id, record.profile)
        if silent:
            self.groups = self.groups.renewed()
        return tuple(silent)

    def drop(
        self, host_id: HostId, incarnation: Incarnation, *, silent_since: Millis
    ) -> bool:
        """Remove a host that others have lost; return whether it was here.

        It stays if this host has heard it a while after `silent_since`, when
        the others did for the last time: it may send to this one more often.
        """
        record = self._records_by_id.get(host_id)
        if record is None or record.profile.incarnation != incarnation:
            return False
        if record.arrived_after > silent_since + settings.LOSS_SLACK_MS:
            return False
        self._records_by_id.pop(host_id)
        _remember(self.lost_by_id, record.profile)
        self.groups = self.groups.renewed()
        return True

    def profiles(self) -> tuple[FleetMember, ...]:
        """Return all hosts that sent a message or were reported recently."""
        return self.groups.profiles

    def heard_profiles(self) -> tuple[FleetMember, ...]:
        """Return the hosts that sent a message to this one recently."""
        return tuple(
            record.profile
            for record in self._records_by_id.values()
            if record.heard
        )

    def in_touch(
        self, *, now: Millis, within_ms: float
    ) -> tuple[FleetMember, ...]:
        """Return the hosts of which a message came in the last `within_ms`.

        A message that may have waited for longer until it was handled does
        not count.
        """
        return tuple(
            record.profile
            for record in self._records_by_id.values()
            if now - record.arrived_after <= within_ms
        )

    def in_region(self) -> tuple[FleetMember, ...]:
        """Return the hosts of this host's region."""
        return self.groups.in_region

    def in_other_regions(self) -> tuple[FleetMember, ...]:
        """Return the hosts of other regions."""
        return self.groups.in_other_regions

    def fleet_address(self, host_id: HostId) -> str | None:
        """Return where a host takes messages, `None` if it is unknown."""
        record = self._records_by_id.get(host_id)
        return record.profile.fleet_address if record else None

    def is_in_other_region(self, host_id: HostId) -> bool:
        """Return whether a host of the table is in another region."""
        record = self._records_by_id.get(host_id)
        return record is not None and not self.is_in_region(record.profile)

    def is_in_region(self, profile: FleetMember) -> bool:
        """Return whether a host is in this host's region."""
        own = self.regions_by_zone.get(self.zone_id)
        return self.regions_by_zone.get(profile.zone_id) == own

    def in_zone(self) -> tuple[FleetMember, ...]:
        """Return the hosts of this host's availability zone."""
        return self.groups.in_zone

    def in_other_zones(self) -> tuple[FleetMember, ...]:
        """Return the hosts of the region's other zones."""
        return self.groups.in_other_zones


def _timeout_ms(
    table: HostTable,
    profile: FleetMember,
    region_timeout_ms: float,
    far_timeout_ms: float,
) -> float:
    if profile.zone_id == table.zone_id:
        return settings.HOST_TIMEOUT_MS
    if table.is_in_region(profile):
        return region_timeout_ms
    return far_timeout_ms


def heartbeat_turns(hosts: int, per_heartbeat: int) -> int:
    """Return after how many heartbeats each of `hosts` has got one."""
    return max(1, math.ceil(hosts / per_heartbeat))


def region_order(table: HostTable) -> tuple[HostId, ...]:
    """Return the serving hosts of the region and this one by rank.

    Hosts are ordered by a hash of their id, as in rendezvous hashing:
    all hosts compute the same order, and a host that leaves does not
    change the order of the others.
    """
    return table.groups.region_order


def zone_order(table: HostTable, *, serving: bool) -> tuple[HostId, ...]:
    """Return the serving hosts of the zone by rank.

    With this one, if it is `serving`, too.
    """
    groups = table.groups
    return groups.zone_order if serving else groups.other_zone_order


def informs_newcomer(table: HostTable, newcomer: FleetMember) -> bool:
    """Return whether this host tells a host that has started what it knows.

    The first serving hosts of its zone do, or else those of the region.
    """
    if not table.is_in_region(newcomer):
        return False
    others = [
        profile
        for profile in table.in_region()
        if profile.serving and profile.host_id != newcomer.host_id
    ]
    host_ids = [
        profile.host_id
        for profile in others
        if profile.zone_id == newcomer.zone_id
    ]
    if table.zone_id == newcomer.zone_id:
        host_ids.append(table.host_id)
    if not host_ids:
        host_ids = [profile.host_id for profile in others]
        host_ids.append(table.host_id)
    order = sorted(host_ids, key=rank_hash)
    return table.host_id in order[: settings.NEWCOMER_INFORMANTS]


def own_link(table: HostTable) -> HostLink:
    """Return what the link of this host carries."""
    return HostLink(bandwidth_mbps=table.bandwidth_by_id.get(table.host_id, 0))


def aggregator_order(table: HostTable, *, serving: bool) -> tuple[HostId, ...]:
    """Return the serving hosts of the zone, those with large links first.

    The aggregator sends the sums of a zone to all of it; beside the bodies of
    requests a small link can't carry them. Equal ones are ordered by rank.
    """
    return tuple(
        sorted(
            zone_order(table, serving=serving),
            key=lambda host_id: -table.bandwidth_by_id.get(host_id, 0),
        )
    )


def own_share_of_region(table: HostTable) -> tuple[FleetMember, ...]:
    """Return the hosts of the region's other zones that this host informs.

    They are dealt to the serving hosts of its zone.
    """
    others = sorted(table.in_other_zones(), key=_host_id)
    return tuple(_own_share(table, others))


def own_share_of_far_zones(table: HostTable) -> tuple[FleetMember, ...]:
    """Return one host of each zone elsewhere that this host informs.

    The zones are dealt to the serving hosts of its zone, and each zone has
    another host for each zone that informs it.
    """
    profiles_by_zone = serving_by_zone(table.in_other_regions())
    return tuple(
        _informed_host(table.zone_id, profiles_by_zone[zone_id])
        for zone_id in _own_share(table, sorted(profiles_by_zone))
    )


def serving_by_zone(
    profiles: Iterable[FleetMember],
) -> dict[ZoneId, list[FleetMember]]:
    """Return the serving hosts by zone."""
    profiles_by_zone: dict[ZoneId, list[FleetMember]] = {}
    for profile in profiles:
        if profile.serving:
            profiles_by_zone.setdefault(profile.zone_id, []).append(profile)
    return profiles_by_zone


def _informed_host(
    own_zone_id: ZoneId, profiles: Iterable[FleetMember]
) -> FleetMember:
    return min(profiles, key=functools.partial(_pair_hash, own_zone_id))


def _own_share(table: HostTable, shared: Sequence[Any]) -> Sequence[Any]:
    order = zone_order(table, serving=True)
    return shared[order.index(table.host_id) :: len(order)]


def zone_representatives(
    profiles: Iterable[FleetMember], *, per_zone: int = 1
) -> tuple[FleetMember, ...]:
    """Return the first-ranked serving hosts of each zone."""
    first_by_zone: dict[ZoneId, list[FleetMember]] = {}
    ranked = sorted(profiles, key=lambda profile: rank_hash(profile.host_id))
    for profile in ranked:
        first = first_by_zone.setdefault(profile.zone_id, [])
        if profile.serving and len(first) < per_zone:
            first.append(profile)
    return tuple(itertools.chain.from_iterable(first_by_zone.values()))


def _is_lost(
    lost_by_id: Mapping[HostId, FleetMember], profile: FleetMember
) -> bool:
    lost = lost_by_id.get(profile.host_id)
    return lost is not None and lost.incarnation == profile.incarnation


def _remember(
    lost_by_id: dict[HostId, FleetMember], profile: FleetMember
) -> None:
    lost_by_id[profile.host_id] = profile
    while len(lost_by_id) > settings.MAX_LOST_HOSTS:
        lost_by_id.pop(next(iter(lost_by_id)))


def _is_outdated(profile: FleetMember, current: FleetMember) -> bool:
    """Return whether a profile is older than the current one."""
    if profile.incarnation != current.incarnation:
        # The host has restarted. A delayed datagram of the earlier
        # incarnation is unlikely and not handled.
        return False
    return profile.serial < current.serial


def _pair_hash(zone_id: ZoneId, profile: FleetMember) -> int:
    return xxhash.xxh64_intdigest(f'{zone_id} {profile.host_id}'.encode())


def _host_id(profile: FleetMember) -> HostId:
    return profile.host_id
