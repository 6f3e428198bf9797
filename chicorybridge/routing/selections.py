"""Selection of the target of a request by expected loss.

The expected loss of a target adds up its probability of being gray and
penalties for its load, locality, pauses and a new connection. A request
that may run only once goes to the target with the lowest loss. The first
attempt of a request that can be retried goes to a target without results
for a long time, so that all hosts get a recent observation of it.
"""

import dataclasses
import math
import random
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
from chicorybridge.routing.service_latencies import LatencyTable
from chicorybridge.routing.target_signs import TargetSigns
from chicorybridge.routing.workloads import WorkloadTable

BYTES_PER_KILOBYTE = 1000


class SelectionMode(Enum):
    """Rule by which a target is chosen."""

    # The target with the lowest expected loss.
    safest = 'safest'
    # A target without results for a long time, unless its expected loss is
    # high.
    exploring = 'exploring'
    # A target that has probably recovered, or else as `safest`. For
    # services whose requests may all run only once.
    returning = 'returning'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Option:
    """A target that may be chosen, its expected loss and the inputs of it."""

    entry: TargetEntry
    loss: float
    # The loss if no request were in flight at the target.
    idle_loss: float
    soundness: float
    # Requests in flight, as a share of the slots.
    load: float
    # Milliseconds since the last result of a request at the target, on any
    # host; infinite without one.
    result_age_ms: float
    # Age of the list of targets, `None` if that is not known.
    list_age_ms: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetEstimates:
    """What is known of targets from their answers and requests in flight."""

    reputations: ReputationTable
    workloads: WorkloadTable
    latencies: LatencyTable

    def soundness(
        self, entry: TargetEntry, reputation: Reputation, now: Millis
    ) -> float:
        """Return the probability that a target is sound.

        A target that has been silent for unusually long with a request in
        flight is doubted before that request fails.
        """
        silent_ms = self.workloads.silent_ms(
            entry.target_id, heard_at=reputation.observed_at, now=now
        )
        if not silent_ms:
            return reputation.soundness_at(now)
        if entry.warming:
            silent_ms /= settings.WARMING_LATENCY_FACTOR
        summary = self.latencies.of(entry.service_id).summary(now=now)
        return reputation.soundness_in_silence(
            now, summary.share_above(silent_ms)
        )


class Selector:
    """Choose targets for the requests of one availability zone."""

    def __init__(
        self,
        *,
        directory: TargetDirectory,
        estimates: TargetEstimates,
        zone_id: ZoneId,
        regions_by_zone: Mapping[ZoneId, RegionId],
        rng: random.Random,
        has_idle_connection: Callable[[str], bool],
        signs: TargetSigns,
        is_list_usable: Callable[[], bool],
    ) -> None:
        """Choose among the entries of `directory`.

        `has_idle_connection` returns whether this host has an idle
        connection to an address, `is_list_usable` whether the entries are
        new enough for a choice.
        """
        self._is_list_usable = is_list_usable
        self._has_idle_connection = has_idle_connection
        self._directory = directory
        self._signs = signs
        self._estimates = estimates
        self._zone_id = zone_id
        self._regions_by_zone = regions_by_zone
        self._rng = rng

    def choose(
        self,
        service_id: ServiceId,
        mode: SelectionMode,
        *,
        excluded: Collection[TargetId],
        body_bytes: int = 0,
        max_extra_loss: float = math.inf,
        now: Millis,
    ) -> Option | None:
        """Return the target of the next attempt, `None` if none qualifies.

        `body_bytes` is the size of the request body, which makes targets
        in other zones and regions cost more. Targets without free capacity
        are not chosen, and none while the list is too old. If `mode` prefers
        no target, the one with the lowest expected loss is returned, unless
        that exceeds the lowest idle loss of all targets by more than
        `max_extra_loss`.
        """
        if not self._is_list_usable():
            return None
        entries = self._available_entries(service_id, excluded, now)
        if not any(
            self._load(entry) < settings.MAX_TARGET_LOAD for entry in entries
        ):
            # Queued requests ask often while all targets are full.
            return None
        options = [self._option(entry, body_bytes, now) for entry in entries]
        free = [
            option
            for option in options
            if option.load < settings.MAX_TARGET_LOAD
        ]
        preferred = self._least_recently_observed(free, mode)
        if preferred is not None:
            return preferred
        lowest_loss = min(option.idle_loss for option in options)
        safest = self._safest(free)
        return safest if safest.loss <= lowest_loss + max_extra_loss else None

    def available_at(
        self,
        service_id: ServiceId,
        *,
        excluded: Collection[TargetId],
        now: Millis,
    ) -> Millis | None:
        """Return when the first target wants requests, even if it is full.

        `None` if there is no target.
        """
        times = [
            max(now, self._signs.available_at(entry, now=now))
            for entry in self._listed_entries(service_id, excluded)
        ]
        return min(times, default=None)

    def take(self, option: Option, *, now: Millis) -> None:
        """Count a request that is sent to the target of `option`."""
        self._signs.take(option.entry, now=now)

    def _listed_entries(
        self, service_id: ServiceId, excluded: Collection[TargetId]
    ) -> Iterator[TargetEntry]:
        """Yield the targets that may be used now or later."""
        for entry in self._directory.for_service(service_id):
            if entry.target_id in excluded or self._signs.is_leaving(entry):
                continue
            yield entry

    def _available_entries(
        self, service_id: ServiceId, excluded: Collection[TargetId], now: Millis
    ) -> list[TargetEntry]:
        """Return the targets that may be used now."""
        return [
            entry
            for entry in self._directory.for_service(service_id)
            if entry.target_id not in excluded
            and self._signs.available_at(entry, now=now) <= now
        ]

    def _load(self, entry: TargetEntry) -> float:
        """Return the requests in flight at a target by its slots."""
        in_flight = self._estimates.workloads.in_flight(entry.target_id)
        return in_flight / max(1, entry.slots)

    def _safest(self, options: Sequence[Option]) -> Option:
        lowest_loss = min(option.loss for option in options)
        similar = [
            option
            for option in options
            if option.loss < lowest_loss + settings.CHOICE_LOSS_MARGIN
        ]
        return self._rng.choice(similar)

    def _least_recently_observed(
        self, options: Sequence[Option], mode: SelectionMode
    ) -> Option | None:
        """Return a target of the own region that is due to be tried.

        It is one at random of those without results for the longest time.
        Return `None` if `mode` lets no target be due.
        """
        if mode is SelectionMode.safest:
            return None
        is_due = (
            _is_exploration_due
            if mode is SelectionMode.exploring
            else _is_probably_recovered
        )
        region_id = self._regions_by_zone.get(self._zone_id)
        due = [
            option
            for option in options
            if self._regions_by_zone.get(option.entry.zone_id) == region_id
            and is_due(option)
        ]
        if not due:
            return None
        # Hosts that know the same should not all look at the same targets.
        ranked = sorted(
            due,
            key=lambda option: (
                option.load > 0,
                -option.result_age_ms,
                self._rng.random(),
            ),
        )
        return self._rng.choice(ranked[: settings.EXPLORED_CANDIDATES])

    def _option(
        self, entry: TargetEntry, body_bytes: int, now: Millis
    ) -> Option:
        reputation = self._estimates.reputations.of(entry.target_id)
        soundness = self._estimates.soundness(entry, reputation, now)
        load = self._load(entry)
        loss = 1 - soundness
        loss += self._locality_loss(entry, body_bytes)
        loss += _pause_loss(reputation, now)
        if not self._has_idle_connection(entry.address):
            loss += settings.NEW_CONNECTION_LOSS
        if entry.warming:
            loss += settings.WARMING_LOSS
        return Option(
            entry=entry,
            loss=loss + _load_loss(load),
            idle_loss=loss,
            soundness=soundness,
            load=load,
            result_age_ms=now - reputation.observed_at,
        )

    def _locality_loss(self, entry: TargetEntry, body_bytes: int) -> float:
        if entry.zone_id == self._zone_id:
            return 0
        own_region_id = self._regions_by_zone.get(self._zone_id)
        kilobytes = body_bytes / BYTES_PER_KILOBYTE
        if self._regions_by_zone.get(entry.zone_id) == own_region_id:
            loss = kilobytes * settings.OTHER_ZONE_LOSS_PER_KILOBYTE
            return settings.OTHER_ZONE_LOSS + loss
        return (
            settings.OTHER_REGION_LOSS
            + kilobytes * settings.OTHER_REGION_LOSS_PER_KILOBYTE
        )


def _is_exploration_due(option: Option) -> bool:
    """Return whether a request that can be retried should probe a target."""
    min_age_ms = settings.EXPLORE_INTERVAL_MS
    if option.soundness < settings.GRAY_SOUNDNESS_THRESHOLD:
        if option.load:
            # Another request is probing it already.
            return False
        min_age_ms = settings.EXPLORE_GRAY_INTERVAL_MS
    return (
        option.result_age_ms >= min_age_ms
        and option.loss < settings.MAX_EXPLORED_LOSS
    )


def _is_probably_recovered(option: Option) -> bool:
    """Return whether a target has probably become sound again."""
    if option.result_age_ms < settings.RECOVERED_INTERVAL_MS:
        return False
    return option.loss < settings.MAX_RECOVERED_LOSS


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
