"""Which host of a zone grants the permits of a workspace."""

import math
from collections.abc import Callable

import xxhash

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, WorkspaceId, ZoneId
from chicorybridge.fleet.host_tables import HostGroups, HostTable
from chicorybridge.quotas.settings import (
    GRANTER_SILENCE_MS,
    GRANTERS_PER_ZONE,
    LOST_HOST_MS,
)


class Members:
    """The serving hosts of each zone, as this host knows them."""

    def __init__(
        self, *, host_table: HostTable, is_serving: Callable[[], bool]
    ) -> None:
        """Read `host_table`; `is_serving` tells of this host."""
        self._host_table = host_table
        self._is_serving = is_serving
        self.zone_ids = _zones_in_order(host_table)
        self._known: tuple[HostGroups, bool] | None = None
        self._ids_by_zone: dict[ZoneId, tuple[HostId, ...]] = {}
        self._orders: dict[tuple[ZoneId, WorkspaceId], tuple[HostId, ...]] = {}
        # When hosts of the own zone were lost that may still run.
        self._lost_at: dict[HostId, Millis] = {}
        # When a serving host of the own zone was last lost or left.
        self.shrunk_at = Millis(-math.inf)
        # Increases with each change of the hosts.
        self.changes = 0

    @property
    def host_id(self) -> HostId:
        """Return the id of this host."""
        return self._host_table.host_id

    def is_far(self, zone_id: ZoneId) -> bool:
        """Return whether a zone is in another region."""
        regions_by_zone = self._host_table.regions_by_zone
        own_region = regions_by_zone.get(self._host_table.zone_id)
        return regions_by_zone.get(zone_id) != own_region

    def granters(
        self, zone_id: ZoneId, workspace_id: WorkspaceId, *, now: Millis
    ) -> tuple[HostId, ...]:
        """Return the first hosts of a zone for a workspace, by rank."""
        self.update(now=now)
        order = self._orders.get((zone_id, workspace_id))
        if order is None:
            order = tuple(
                sorted(
                    self._ids_by_zone.get(zone_id, ()),
                    key=lambda host_id: _rank_hash(host_id, workspace_id),
                )[:GRANTERS_PER_ZONE]
            )
            self._orders[zone_id, workspace_id] = order
        return order

    def own_granter(self, workspace_id: WorkspaceId, *, now: Millis) -> HostId:
        """Return the granter of the own zone."""
        return self.granters(self._host_table.zone_id, workspace_id, now=now)[0]

    def reachable_share(self, *, now: Millis) -> float:
        """Return the part of the hosts of the own zone that are in touch.

        The others, which were lost lately, may run without reaching this one.
        Both sides of a partition of the zone then share its rate.
        """
        self.update(now=now)
        for host_id, lost_at in tuple(self._lost_at.items()):
            if now - lost_at > LOST_HOST_MS:
                self._lost_at.pop(host_id)
        reachable = 1 + len(self._host_table.in_zone())
        return reachable / (reachable + len(self._lost_at))

    def is_isolated(self, *, now: Millis) -> bool:
        """Return whether no other host of the zone was heard, if it has any."""
        others = {profile.host_id for profile in self._host_table.in_zone()}
        if not others:
            return bool(self._lost_at)
        heard = self._host_table.in_touch(now=now, within_ms=GRANTER_SILENCE_MS)
        return others.isdisjoint(profile.host_id for profile in heard)

    def update(self, *, now: Millis) -> None:
        """Read the hosts again if they have changed."""
        known = (self._host_table.groups, self._is_serving())
        if self._known == known:
            return
        self._known = known
        self.changes += 1
        self._orders.clear()
        zone_id = self._host_table.zone_id
        before = self._ids_by_zone.get(zone_id, ())
        self._ids_by_zone = self._read_ids()
        gone = set(before).difference(self._ids_by_zone[zone_id])
        if gone:
            self.shrunk_at = now
        present = {profile.host_id for profile in self._host_table.in_zone()}
        for host_id in gone - present - {self.host_id}:
            self._lost_at[host_id] = now
        for host_id in present.intersection(self._lost_at):
            self._lost_at.pop(host_id)

    def _read_ids(self) -> dict[ZoneId, tuple[HostId, ...]]:
        ids_by_zone: dict[ZoneId, list[HostId]] = {}
        for profile in self._host_table.profiles():
            if profile.serving:
                ids_by_zone.setdefault(profile.zone_id, []).append(
                    profile.host_id
                )
        own = ids_by_zone.setdefault(self._host_table.zone_id, [])
        # The last host of a zone grants permits until it ends.
        if self._is_serving() or not own:
            own.append(self.host_id)
        return {zone_id: tuple(ids) for zone_id, ids in ids_by_zone.items()}


def _zones_in_order(table: HostTable) -> tuple[ZoneId, ...]:
    """Return all zones: the own one, those of its region, the others.

    Those of equal distance have another order for each host, so that one
    zone doesn't get the requests of all others.
    """
    own_region = table.regions_by_zone.get(table.zone_id)
    return tuple(
        sorted(
            table.regions_by_zone,
            key=lambda zone_id: (
                zone_id != table.zone_id,
                table.regions_by_zone[zone_id] != own_region,
                _rank_hash(table.host_id, zone_id),
            ),
        )
    )


def _rank_hash(host_id: HostId, name: str) -> int:
    return xxhash.xxh64_intdigest(f'{name} {host_id}'.encode())
