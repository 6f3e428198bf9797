"""Choice of the target of a request from the reputations of all.

A request that may run once goes to a target that has just proven itself
to any host. One that can be tried again looks first at the target that
was not seen for longest, so that the rest learn of it.
"""

import dataclasses
import math
import random
import statistics
from collections.abc import (
    Callable,
    Collection,
    Iterator,
    Mapping,
    Sequence,
)
from enum import Enum

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import (
    RegionId,
    ServiceId,
    TargetId,
    ZoneId,
)
from chicorybridge.fleet.directories import TargetDirectory, TargetEntry
from chicorybridge.routing.reputations import Reputation, ReputationTable
from chicorybridge.routing.workloads import WorkloadTable

BYTES_PER_KILOBYTE = 1000


class Manner(Enum):
    """How a target is chosen."""

    # The most likely to answer.
    safest = 'safest'
    # The one that was not seen for longest, within reason.
    exploring = 'exploring'
    # The most likely to answer, but seldom one that should be sound again:
    # for services whose requests all may run once.
    returning = 'returning'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Option:
    """A target that may be chosen, its expected loss, and its inputs."""

    entry: TargetEntry
    loss: float
    # What the loss would be without any request under way there.
    idle_loss: float
    soundness: float
    # Requests under way, as a share of the slots.
    load: float
    # Milliseconds since any host saw it, infinite if none did.
    age_ms: float


class Selector:
    """Choose targets as seen from one availability zone."""

    def __init__(
        self,
        *,
        directory: TargetDirectory,
        reputations: ReputationTable,
        workloads: WorkloadTable,
        zone_id: ZoneId,
        regions_by_zone: Mapping[ZoneId, RegionId],
        rng: random.Random,
        has_idle: Callable[[str], bool],
    ) -> None:
        """Choose among the entries of `directory`.

        `has_idle` tells whether a connection to an address waits for use.
        """
        self._has_idle = has_idle
        self._directory = directory
        self._reputations = reputations
        self._workloads = workloads
        self._zone_id = zone_id
        self._regions_by_zone = regions_by_zone
        self._rng = rng

    def choose(
        self,
        service_id: ServiceId,
        manner: Manner,
        *,
        excluded: Collection[TargetId],
        body_bytes: int = 0,
        patience: float = math.inf,
        now: Millis,
    ) -> Option | None:
        """Return the target of the next attempt, `None` if none has room.

        `body_bytes` would cross to another region with the request. A
        target whose expected loss is `patience` above that of the best
        one, were that one idle, is no better than waiting.
        """
        options = self._options(
            service_id, excluded=excluded, body_bytes=body_bytes, now=now
        )
        free = [
            option
            for option in options
            if option.load < settings.MAX_TARGET_LOAD
        ]
        if not free:
            return None
        found = self._least_seen(free, manner)
        if found is not None:
            return found
        least = min(option.idle_loss for option in options)
        safest = self._safest(free)
        return safest if safest.loss <= least + patience else None

    def has_targets(
        self, service_id: ServiceId, *, excluded: Collection[TargetId]
    ) -> bool:
        """Return whether any target may be chosen, now or once it is free."""
        return any(self._listed(service_id, excluded))

    def usual_ms(self, service_id: ServiceId, *, now: Millis) -> float | None:
        """Return the mean latency at all targets of a service lately.

        It rises with the load; `None` if nothing ended lately.
        """
        latencies = [
            latency
            for entry in self._directory.for_service(service_id)
            for latency in self._reputations.of(entry.target_id).latencies_at(
                now
            )
        ]
        return statistics.fmean(latencies) if latencies else None

    def _listed(
        self, service_id: ServiceId, excluded: Collection[TargetId]
    ) -> Iterator[TargetEntry]:
        for entry in self._directory.for_service(service_id):
            if not entry.leaving and entry.target_id not in excluded:
                yield entry

    def _options(
        self,
        service_id: ServiceId,
        *,
        excluded: Collection[TargetId],
        body_bytes: int,
        now: Millis,
    ) -> list[Option]:
        return [
            self._option(entry, body_bytes, now)
            for entry in self._listed(service_id, excluded)
        ]

    def _safest(self, options: Sequence[Option]) -> Option:
        least = min(option.loss for option in options)
        near = [
            option
            for option in options
            if option.loss < least + settings.CHOICE_LOSS_MARGIN
        ]
        return self._rng.choice(near)

    def _least_seen(
        self, options: Sequence[Option], manner: Manner
    ) -> Option | None:
        """Return a near target worth a look, `None` if there is none."""
        if manner is Manner.safest:
            return None
        is_due = _is_due if manner is Manner.exploring else _is_back
        region_id = self._regions_by_zone.get(self._zone_id)
        worth = [
            option
            for option in options
            if self._regions_by_zone.get(option.entry.zone_id) == region_id
            and is_due(option)
        ]
        if not worth:
            return None
        ranked = sorted(worth, key=lambda option: -option.age_ms)
        return self._rng.choice(ranked[: settings.EXPLORED_CANDIDATES])

    def _option(
        self, entry: TargetEntry, body_bytes: int, now: Millis
    ) -> Option:
        reputation = self._reputations.of(entry.target_id)
        soundness = reputation.sound_at(now)
        under_way = self._workloads.at(entry.target_id)
        load = under_way / max(1, entry.slots)
        loss = 1 - soundness
        loss += self._place_loss(entry, body_bytes)
        loss += _pause_loss(reputation, now)
        if not self._has_idle(entry.address):
            loss += settings.NEW_CONNECTION_LOSS
        if entry.warming:
            loss += settings.WARMING_LOSS
        return Option(
            entry=entry,
            loss=loss + _load_loss(load),
            idle_loss=loss,
            soundness=soundness,
            load=load,
            age_ms=now - reputation.seen_at,
        )

    def _place_loss(self, entry: TargetEntry, body_bytes: int) -> float:
        if entry.zone_id == self._zone_id:
            return 0
        own = self._regions_by_zone.get(self._zone_id)
        kilobytes = body_bytes / BYTES_PER_KILOBYTE
        if self._regions_by_zone.get(entry.zone_id) == own:
            loss = kilobytes * settings.OTHER_ZONE_LOSS_PER_KILOBYTE
            return settings.OTHER_ZONE_LOSS + loss
        return (
            settings.OTHER_REGION_LOSS
            + kilobytes * settings.OTHER_REGION_LOSS_PER_KILOBYTE
        )


def _is_due(option: Option) -> bool:
    """Return whether a request that can be tried again should look."""
    look_ms = settings.EXPLORE_INTERVAL_MS
    if option.soundness < settings.GRAY_SOUNDNESS_THRESHOLD:
        if option.load:
            # Another request is looking already.
            return False
        look_ms = settings.EXPLORE_GRAY_INTERVAL_MS
    return option.age_ms >= look_ms and option.loss < settings.MAX_EXPLORED_LOSS


def _is_back(option: Option) -> bool:
    """Return whether a target has most likely become sound again."""
    if option.age_ms < settings.RETURNING_INTERVAL_MS:
        return False
    return option.loss < settings.MAX_RETURNING_LOSS


def _load_loss(load: float) -> float:
    return settings.LOAD_LOSS_FACTOR * max(
        0, load - settings.LOAD_LOSS_THRESHOLD
    )


def _pause_loss(reputation: Reputation, now: Millis) -> float:
    if now < reputation.unreachable_until:
        return settings.UNREACHABLE_LOSS
    if now < reputation.rejecting_until:
        return settings.REJECTED_LOSS
    return 0
