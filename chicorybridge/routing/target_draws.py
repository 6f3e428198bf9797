"""Random draws of the targets among which a request chooses.

If each host compared all targets, all hosts would prefer the same ones for as
long as they know the same, which is older than the requests sent meanwhile.
With a few targets drawn for each request, a target gets at most as many times
its share of the requests as targets are drawn.
"""

import dataclasses
import itertools
import random
from collections.abc import Iterator, Mapping, Sequence

from chicorybridge import settings
from chicorybridge.common.identities import RegionId, ServiceId, ZoneId
from chicorybridge.fleet.directories import TargetDirectory, TargetEntry


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LocalTargets:
    """Targets of a service by their distance, without leaving ones.

    `listed` has all of the directory.
    """

    listed: tuple[TargetEntry, ...]
    in_zone: tuple[TargetEntry, ...]
    in_other_zones: tuple[TargetEntry, ...]
    in_other_regions: tuple[TargetEntry, ...]


class TargetDraws:
    """Draw targets of a service for the hosts of an availability zone."""

    def __init__(
        self,
        *,
        directory: TargetDirectory,
        zone_id: ZoneId,
        regions_by_zone: Mapping[ZoneId, RegionId],
        rng: random.Random,
    ) -> None:
        """Draw from the entries of `directory`."""
        self._directory = directory
        self._zone_id = zone_id
        self._regions_by_zone = regions_by_zone
        self._rng = rng
        self._targets_by_service: dict[ServiceId, LocalTargets] = {}

    def near(self, service_id: ServiceId) -> Iterator[TargetEntry]:
        """Yield targets of the region, half of them of the own zone first."""
        targets = self._targets(service_id)
        pairs = itertools.zip_longest(
            self._draw(targets.in_zone), self._draw(targets.in_other_zones)
        )
        for entry in itertools.chain.from_iterable(pairs):
            if entry is not None:
                yield entry

    def far(self, service_id: ServiceId) -> Iterator[TargetEntry]:
        """Yield targets of other regions."""
        return iter(self._draw(self._targets(service_id).in_other_regions))

    def is_in_region(self, entry: TargetEntry) -> bool:
        """Return whether a target is in the region of this host."""
        own = self._regions_by_zone.get(self._zone_id)
        return self._regions_by_zone.get(entry.zone_id) == own

    def _draw(self, entries: Sequence[TargetEntry]) -> list[TargetEntry]:
        count = min(len(entries), settings.MAX_TARGET_DRAWS)
        return self._rng.sample(entries, count)

    def _targets(self, service_id: ServiceId) -> LocalTargets:
        listed = self._directory.for_service(service_id)
        targets = self._targets_by_service.get(service_id)
        if targets is None or targets.listed is not listed:
            targets = self._group(listed)
            self._targets_by_service[service_id] = targets
        return targets

    def _group(self, listed: tuple[TargetEntry, ...]) -> LocalTargets:
        staying = [entry for entry in listed if not entry.leaving]
        in_region = [entry for entry in staying if self.is_in_region(entry)]
        return LocalTargets(
            listed=listed,
            in_zone=tuple(
                entry for entry in in_region if entry.zone_id == self._zone_id
            ),
            in_other_zones=tuple(
                entry for entry in in_region if entry.zone_id != self._zone_id
            ),
            in_other_regions=tuple(
                entry for entry in staying if not self.is_in_region(entry)
            ),
        )
