"""Hosts of a table by place and rank."""

import functools
import itertools
from collections.abc import Mapping
from typing import TYPE_CHECKING

import xxhash

from chicorybridge import settings
from chicorybridge.common.identities import HostId

if TYPE_CHECKING:
    from chicorybridge.fleet.host_tables import (
        FleetMember,
        HostRecord,
        HostTable,
    )


class HostGroups:
    """Hosts of a table by place, each group built when it is first used.

    Most messages go to a group, while hosts come and go rarely.
    """

    def __init__(
        self,
        *,
        table: 'HostTable',
        records_by_id: Mapping[HostId, 'HostRecord'],
    ) -> None:
        """Group `records_by_id` as seen from the host of `table`."""
        self._table = table
        self._records_by_id = records_by_id

    def renewed(self) -> 'HostGroups':
        """Return the groups of the records as they will be."""
        return HostGroups(table=self._table, records_by_id=self._records_by_id)

    @functools.cached_property
    def profiles(self) -> tuple['FleetMember', ...]:
        """Return all hosts."""
        return tuple(record.profile for record in self._records_by_id.values())

    @functools.cached_property
    def in_zone(self) -> tuple['FleetMember', ...]:
        """Return the hosts of the own zone."""
        return tuple(
            profile
            for profile in self.profiles
            if profile.zone_id == self._table.zone_id
        )

    @functools.cached_property
    def in_region(self) -> tuple['FleetMember', ...]:
        """Return the hosts of the own region."""
        return tuple(filter(self._table.is_in_region, self.profiles))

    @functools.cached_property
    def in_other_zones(self) -> tuple['FleetMember', ...]:
        """Return the hosts of the region's other zones."""
        return tuple(
            profile
            for profile in self.in_region
            if profile.zone_id != self._table.zone_id
        )

    @functools.cached_property
    def in_other_regions(self) -> tuple['FleetMember', ...]:
        """Return the hosts of other regions."""
        return tuple(
            itertools.filterfalse(self._table.is_in_region, self.profiles)
        )

    @functools.cached_property
    def other_zone_order(self) -> tuple[HostId, ...]:
        """Return the serving hosts of the zone without the own one by rank."""
        host_ids = [
            profile.host_id for profile in self.in_zone if profile.serving
        ]
        return tuple(sorted(host_ids, key=rank_hash))

    @functools.cached_property
    def zone_order(self) -> tuple[HostId, ...]:
        """Return the serving hosts of the zone and the own one by rank."""
        host_ids = (*self.other_zone_order, self._table.host_id)
        return tuple(sorted(host_ids, key=rank_hash))

    @functools.cached_property
    def region_order(self) -> tuple[HostId, ...]:
        """Return the serving hosts of the region and the own one by rank."""
        host_ids = [
            profile.host_id for profile in self.in_region if profile.serving
        ]
        return tuple(sorted((*host_ids, self._table.host_id), key=rank_hash))

    @functools.cached_property
    def all_by_rank(self) -> tuple[HostId, ...]:
        """Return the hosts of the region by rank, with those that stop."""
        host_ids = [profile.host_id for profile in self.in_region]
        return tuple(sorted((*host_ids, self._table.host_id), key=rank_hash))

    @functools.cached_property
    def reading_order(self) -> tuple[HostId, ...]:
        """Return the hosts of the region that read the store, by rank.

        Beside those of `region_order` the hosts that don't serve yet: of
        hosts that start together each would else take itself for the first.
        """
        host_ids = [
            profile.host_id
            for profile in self.in_region
            if profile.serving
            or not self._records_by_id[profile.host_id].has_served
        ]
        return tuple(sorted((*host_ids, self._table.host_id), key=rank_hash))


@functools.lru_cache(maxsize=settings.MAX_LOST_HOSTS)
def rank_hash(host_id: HostId) -> int:
    """Return the rank of a host, as in rendezvous hashing."""
    return xxhash.xxh64_intdigest(host_id.encode())
