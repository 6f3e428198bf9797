"""Targets of a zone that each of its hosts prefers.

What hosts know of each other's requests is 100 ms old or older, but each knows
its own exactly. With few hosts for each target, these rarely choose the same
slot, and their connections to it stay open.
"""

import dataclasses
import functools
import heapq
from collections.abc import Callable, Iterator, Sequence

import xxhash

from chicorybridge.common.identities import HostId, ServiceId, TargetId
from chicorybridge.fleet.directories import TargetDirectory, TargetEntry
from chicorybridge.fleet.host_groups import HostGroups
from chicorybridge.fleet.host_tables import HostTable, zone_order
from chicorybridge.routing.settings import PREFERRING_HOSTS


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnTarget:
    """A target that a host prefers, and how many of its slots are for it."""

    entry: TargetEntry
    slots: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServicePreference:
    """The own targets of a service, and the inputs they were computed from."""

    listed: tuple[TargetEntry, ...]
    host_ids: tuple[HostId, ...]
    own: tuple[OwnTarget, ...]


class PreferredTargets:
    """Compute the targets that a host prefers by rendezvous hashing.

    Each target of the zone has `PREFERRING_HOSTS` of its serving hosts, or all
    if there are fewer.
    """

    def __init__(
        self,
        *,
        directory: TargetDirectory,
        host_table: HostTable,
        is_serving: Callable[[], bool],
    ) -> None:
        """Divide the entries of `directory` among the hosts of the zone.

        `is_serving` returns whether this host itself is one of them.
        """
        self._directory = directory
        self._host_table = host_table
        self._is_serving = is_serving
        self._groups: HostGroups | None = None
        self._was_serving = False
        self._host_ids: tuple[HostId, ...] = ()
        self._preferences_by_id: dict[ServiceId, ServicePreference] = {}

    def of(self, service_id: ServiceId) -> tuple[OwnTarget, ...]:
        """Return the own targets of a service, without leaving ones.

        They are computed again only when targets or hosts have changed.
        """
        listed = self._directory.for_service(service_id)
        host_ids = self._serving_hosts()
        known = self._preferences_by_id.get(service_id)
        if (
            known is not None
            and known.listed is listed
            and known.host_ids is host_ids
        ):
            return known.own
        own = tuple(self._own(listed, host_ids))
        self._preferences_by_id[service_id] = ServicePreference(
            listed=listed, host_ids=host_ids, own=own
        )
        return own

    def _serving_hosts(self) -> tuple[HostId, ...]:
        """Return the serving hosts, the same tuple until they change."""
        groups = self._host_table.groups
        is_serving = self._is_serving()
        if groups is self._groups and is_serving is self._was_serving:
            return self._host_ids
        self._groups = groups
        self._was_serving = is_serving
        host_ids = zone_order(self._host_table, serving=is_serving)
        if host_ids != self._host_ids:
            self._host_ids = host_ids
        return self._host_ids

    def _own(
        self, listed: Sequence[TargetEntry], host_ids: Sequence[HostId]
    ) -> Iterator[OwnTarget]:
        table = self._host_table
        for entry in listed:
            if entry.leaving or entry.zone_id != table.zone_id:
                continue
            preferring = preferring_hosts(entry.target_id, host_ids)
            if table.host_id in preferring:
                rank = preferring.index(table.host_id)
                yield OwnTarget(
                    entry=entry,
                    slots=len(range(rank, entry.slots, len(preferring))),
                )


def preferring_hosts(
    target_id: TargetId, host_ids: Sequence[HostId]
) -> list[HostId]:
    """Return the hosts that prefer a target, the first in rank first."""
    return heapq.nsmallest(
        PREFERRING_HOSTS,
        host_ids,
        key=functools.partial(_pair_hash, target_id),
    )


def _pair_hash(target_id: TargetId, host_id: HostId) -> int:
    return xxhash.xxh64_intdigest(f'{target_id} {host_id}'.encode())
