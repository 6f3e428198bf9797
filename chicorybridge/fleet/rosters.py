"""The entry list: addresses that callers should connect to."""

import dataclasses
import random
from collections.abc import Iterable

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import RegionId, Version, ZoneId
from chicorybridge.common.systems import Effects, SendToEntries, System
from chicorybridge.fleet.members import Members
from chicorybridge.fleet.profiles import HostProfile


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RosterHost:
    """A host that callers may use; `entries` are IP:PORT each."""

    entries: tuple[str, ...]
    zone_id: ZoneId
    region_id: RegionId
    capacity: float


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Roster:
    """The hosts that callers may use, valid for `ttl_ms`.

    `zone_id` and `region_id` are those of the host that built it.
    """

    hosts: tuple[RosterHost, ...]
    zone_id: ZoneId
    region_id: RegionId
    ttl_ms: int
    version: Version


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryList:
    """The addresses for one caller, in order of preference."""

    addresses: tuple[str, ...]
    ttl_ms: int
    version: Version


class Rosters(System):
    """Send entry processes the roster of hosts that callers may use."""

    def __init__(self, *, members: Members) -> None:
        """Start with no roster sent."""
        self._members = members
        self._last_sent: Roster | None = None
        self._last_inputs: tuple[int, Version] | None = None

    def tick(self, *, now: Millis) -> Effects:
        """Send a roster to entry processes if it has changed."""
        inputs = (self._members.generation, self._members.version)
        if inputs == self._last_inputs:
            return ()
        self._last_inputs = inputs
        roster = self.roster()
        if roster == self._last_sent:
            return ()
        self._last_sent = roster
        return [SendToEntries(message=roster)]

    def roster(self) -> Roster:
        """Return the live hosts that are neither leaving nor cut off.

        If there are none, fall back to leaving hosts that still take work,
        then to all other live hosts, then to this host alone.
        """
        own = self._members.profile
        hosts = list(self._members.hosts_by_id.values())
        usable = _first_non_empty(
            [host for host in hosts if host.taking and not host.leaving],
            [host for host in hosts if host.taking],
            [host for host in hosts if host is not own],
            [own],
        )
        in_use = own.taking and not own.leaving
        return Roster(
            hosts=tuple(map(_roster_host, usable)),
            zone_id=own.zone_id,
            region_id=own.region_id,
            ttl_ms=(
                settings.ENTRY_LIST_TTL_MS
                if in_use
                else settings.ENTRY_LIST_SHORT_TTL_MS
            ),
            version=self._members.version,
        )


def draw_entry_list(
    roster: Roster, *, rng: random.Random, zone_id: ZoneId | None = None
) -> EntryList:
    """Draw the list for a caller in `zone_id`, by default this host's zone.

    Hosts of the caller's zone come first, then those of its region, then
    some of each other region. Within each group the order is random and
    weighted by capacity, so that the callers of a lost zone spread evenly
    over the remaining hosts.
    """
    zone_id = zone_id or roster.zone_id
    region_id = _region_of(roster, zone_id)
    in_region = [host for host in roster.hosts if host.region_id == region_id]
    own_zone = [host for host in in_region if host.zone_id == zone_id]
    other_zones = [host for host in in_region if host.zone_id != zone_id]
    tiers = [
        _weighted_sample(own_zone, settings.MAX_ENTRIES_OWN_ZONE, rng),
        _weighted_sample(other_zones, settings.MAX_ENTRIES_OTHER_ZONES, rng),
    ]
    if rng.random() > _own_zone_share(own_zone, in_region):
        tiers.reverse()
    regions = {host.region_id for host in roster.hosts} - {region_id}
    for region in sorted(regions):
        in_other_region = [
            host for host in roster.hosts if host.region_id == region
        ]
        tiers.append(
            _weighted_sample(
                in_other_region, settings.MAX_ENTRIES_PER_OTHER_REGION, rng
            )
        )
    return EntryList(
        addresses=tuple(
            rng.choice(host.entries) for tier in tiers for host in tier
        ),
        ttl_ms=roster.ttl_ms,
        version=roster.version,
    )


def _own_zone_share(
    own_zone: list[RosterHost], in_region: list[RosterHost]
) -> float:
    # A zone with less than the average capacity gives part of its callers
    # a list that starts with the other zones.
    zones = {host.zone_id for host in in_region}
    average = _capacity(in_region) / max(1, len(zones))
    return _capacity(own_zone) / average if average else 0


def _capacity(hosts: Iterable[RosterHost]) -> float:
    return sum(host.capacity for host in hosts)


def _weighted_sample(
    hosts: list[RosterHost], count: int, rng: random.Random
) -> list[RosterHost]:
    # Weighted sampling without replacement: the items with the largest
    # keys u ** (1 / weight), with u uniform in [0, 1).
    keyed = sorted(
        hosts,
        key=lambda host: rng.random() ** (1 / host.capacity),
        reverse=True,
    )
    return keyed[:count]


def _region_of(roster: Roster, zone_id: ZoneId) -> RegionId:
    for host in roster.hosts:
        if host.zone_id == zone_id:
            return host.region_id
    return roster.region_id


def _roster_host(profile: HostProfile) -> RosterHost:
    return RosterHost(
        entries=profile.entries,
        zone_id=profile.zone_id,
        region_id=profile.region_id,
        capacity=profile.capacity,
    )


def _first_non_empty(*choices: list[HostProfile]) -> list[HostProfile]:
    return next(choice for choice in choices if choice)
