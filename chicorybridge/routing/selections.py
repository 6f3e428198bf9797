"""Selection of the target of a request by expected loss.

The expected loss of a target adds up its probability of being gray and
penalties for its load, locality, pauses and a new connection. A request
that may run only once goes to the target with the lowest loss. The first
attempt of a request that can be retried goes to a target without results
for a long time, so that all hosts get a recent observation of it. Each
request compares only a few targets, which it draws at random.
"""

import dataclasses
import itertools
import math
import random
from collections.abc import (
    Callable,
    Collection,
    Iterable,
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
from chicorybridge.routing.preferences import OwnTarget, PreferredTargets
from chicorybridge.routing.reputations import Reputation, ReputationTable
from chicorybridge.routing.service_latencies import LatencyTable
from chicorybridge.routing.settings import (
    DOUBTED_INTERVAL_MS,
    DRAWN_LOSS_MARGIN,
    MIN_DOUBTED_FAILURE_SHARE,
    MIN_PREFERRED_SOUNDNESS,
)
from chicorybridge.routing.target_draws import TargetDraws
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

    @property
    def has_room(self) -> bool:
        """Return whether the target has room for another request."""
        return self.load < settings.MAX_TARGET_LOAD


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FreedTarget:
    """A target that had room for a request of this host at `freed_at`."""

    target_id: TargetId
    freed_at: Millis


def _all_fail(_: ServiceId) -> float:
    return 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetEstimates:
    """What is known of targets from their answers and requests in flight.

    `failure_share` returns the share of recent attempts of a service that
    failed.
    """

    reputations: ReputationTable
    workloads: WorkloadTable
    latencies: LatencyTable
    failure_share: Callable[[ServiceId], float] = _all_fail

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


def _never() -> bool:
    return False


class Selector:  # noqa: WPS214
    """Choose targets for the requests of one availability zone."""

    def __init__(  # noqa: WPS211
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
        preferred: PreferredTargets | None = None,
        prefers_own_targets: Callable[[], bool] = _never,
    ) -> None:
        """Choose among the entries of `directory`.

        `has_idle_connection` returns whether this host has an idle
        connection to an address, `is_list_usable` whether the entries are
        new enough for a choice, `prefers_own_targets` whether the targets
        in `preferred` come first.
        """
        self._preferred = preferred
        self._prefers_own_targets = prefers_own_targets
        self._is_list_usable = is_list_usable
        self._has_idle_connection = has_idle_connection
        self._directory = directory
        self._signs = signs
        self._estimates = estimates
        self._zone_id = zone_id
        self._rng = rng
        self._freed_by_service: dict[ServiceId, list[FreedTarget]] = {}
        self._draws = TargetDraws(
            directory=directory,
            zone_id=zone_id,
            regions_by_zone=regions_by_zone,
            rng=rng,
        )

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
        are not chosen, and none while the list is too old. Only a few
        targets, drawn at random, are compared. If `mode` prefers none of
        them, the one with the lowest expected loss is returned, unless that
        exceeds their lowest idle loss by more than `max_extra_loss`.
        """
        if not self._is_list_usable():
            return None
        own = self._choose_own(service_id, mode, excluded, now)
        if own is not None:
            return own
        drawn = itertools.chain(
            self._take_freed(service_id, now), self._draws.near(service_id)
        )
        options = self._compared(drawn, excluded, body_bytes, now)
        preferred = _least_recently_observed(_with_room(options), mode)
        if preferred is not None:
            return preferred
        if self._may_be_better_elsewhere(options):
            far = self._draws.far(service_id)
            options += self._compared(far, excluded, body_bytes, now)
        free = _with_room(options)
        if not free:
            return None
        lowest_loss = min(option.idle_loss for option in options)
        margin = settings.CHOICE_LOSS_MARGIN
        if self._prefers_own_targets():
            margin = DRAWN_LOSS_MARGIN
        safest = self._safest(free, margin)
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
        earliest: Millis | None = None
        for entry in self._listed_entries(service_id, excluded):
            available_at = self._signs.available_at(entry, now=now)
            if available_at <= now:
                return now
            if earliest is None or available_at < earliest:
                earliest = available_at
        return earliest

    def take(self, option: Option, *, now: Millis) -> None:
        """Count a request that is sent to the target of `option`."""
        self._signs.take(option.entry, now=now)

    def may_send(self, entry: TargetEntry) -> bool:
        """Return whether a chosen target has neither left nor leaves."""
        current = self._directory.in_use(entry.target_id)
        if current is None or current.address != entry.address:
            return False
        return not self._signs.is_leaving(current)

    def record_freed(self, entry: TargetEntry, *, now: Millis) -> None:
        """Record that a target is known to have room just now.

        The next request of its service compares it, if it comes at once.
        """
        self._freed_by_service.setdefault(entry.service_id, []).append(
            FreedTarget(target_id=entry.target_id, freed_at=now)
        )

    def _choose_own(
        self,
        service_id: ServiceId,
        mode: SelectionMode,
        excluded: Collection[TargetId],
        now: Millis,
    ) -> Option | None:
        """Return a target that this host prefers, `None` if none qualifies.

        It is due to be tried, or else probably sound, and has a free slot.
        """
        if self._preferred is None or not self._prefers_own_targets():
            return None
        own = self._preferred.of(service_id)
        drawn = self._rng.sample(own, min(len(own), settings.MAX_TARGET_DRAWS))
        entries = (target.entry for target in drawn)
        free = [
            option
            for option in self._compared(entries, excluded, 0, now)
            if option.load < 1
        ]
        unused = self._unused(free, drawn)
        due = _least_recently_observed(unused, mode)
        if due is None and mode is SelectionMode.returning:
            if self._is_failing(service_id):
                due = _longest_doubted(unused)
        if due is not None:
            return due
        sound = list(filter(_is_probably_sound, unused)) or list(
            filter(_is_probably_sound, free)
        )
        return self._safest(sound) if sound else None

    def _is_failing(self, service_id: ServiceId) -> bool:
        share = self._estimates.failure_share(service_id)
        return share >= MIN_DOUBTED_FAILURE_SHARE

    def _unused(
        self, options: Iterable[Option], own: Iterable[OwnTarget]
    ) -> list[Option]:
        """Return the targets with a free slot of those kept for this host."""
        own_in_flight = self._estimates.workloads.own_in_flight
        slots_by_id = {target.entry.target_id: target.slots for target in own}
        return [
            option
            for option in options
            if own_in_flight(option.entry.target_id)
            < slots_by_id[option.entry.target_id]
        ]

    def _take_freed(
        self, service_id: ServiceId, now: Millis
    ) -> Iterator[TargetEntry]:
        for freed in self._freed_by_service.pop(service_id, ()):
            entry = self._directory.entries_by_id.get(freed.target_id)
            is_recent = now - freed.freed_at <= settings.FREED_SLOT_MS
            if is_recent and entry is not None:
                if entry.service_id == service_id:
                    yield entry

    def _listed_entries(
        self, service_id: ServiceId, excluded: Collection[TargetId]
    ) -> Iterator[TargetEntry]:
        """Yield the targets that may be used now or later."""
        for entry in self._directory.for_service(service_id):
            if entry.target_id in excluded or self._signs.is_leaving(entry):
                continue
            yield entry

    def _compared(
        self,
        drawn: Iterable[TargetEntry],
        excluded: Collection[TargetId],
        body_bytes: int,
        now: Millis,
    ) -> list[Option]:
        """Return the first targets of `drawn` that have room.

        Targets among them that are full are returned as well.
        """
        options: list[Option] = []
        missing = settings.COMPARED_TARGETS
        for entry in drawn:
            if not missing:
                break
            if self._is_available(entry, excluded, now):
                option = self._option(entry, body_bytes, now)
                options.append(option)
                missing -= option.has_room
        return options

    def _is_available(
        self, entry: TargetEntry, excluded: Collection[TargetId], now: Millis
    ) -> bool:
        if entry.target_id in excluded:
            return False
        return self._signs.available_at(entry, now=now) <= now

    def _may_be_better_elsewhere(self, options: Iterable[Option]) -> bool:
        """Return whether a target of another region may have a lower loss."""
        lowest_loss = min(
            (option.loss for option in options if option.has_room),
            default=math.inf,
        )
        return lowest_loss > settings.OTHER_REGION_LOSS

    def _load(self, entry: TargetEntry) -> float:
        """Return the requests in flight at a target by its slots."""
        in_flight = self._estimates.workloads.in_flight(entry.target_id)
        return in_flight / max(1, entry.slots)

    def _safest(
        self,
        options: Sequence[Option],
        margin: float = settings.CHOICE_LOSS_MARGIN,
    ) -> Option:
        lowest_loss = min(option.loss for option in options)
        similar = [
            option for option in options if option.loss < lowest_loss + margin
        ]
        return self._rng.choice(similar)

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
        kilobytes = body_bytes / BYTES_PER_KILOBYTE
        if self._draws.is_in_region(entry):
            loss = kilobytes * settings.OTHER_ZONE_LOSS_PER_KILOBYTE
            return settings.OTHER_ZONE_LOSS + loss
        return (
            settings.OTHER_REGION_LOSS
            + kilobytes * settings.OTHER_REGION_LOSS_PER_KILOBYTE
        )


def _with_room(options: Iterable[Option]) -> list[Option]:
    return [option for option in options if option.has_room]


def _least_recently_observed(
    options: Iterable[Option], mode: SelectionMode
) -> Option | None:
    """Return the target that is due to be tried, if any.

    It is one without requests in flight if possible, and of those the one
    without results for the longest time. None is due if `mode` says so.
    """
    if mode is SelectionMode.safest:
        return None
    is_due = (
        _is_exploration_due
        if mode is SelectionMode.exploring
        else _is_probably_recovered
    )
    return min(
        filter(is_due, options),
        key=lambda option: (option.load > 0, -option.result_age_ms),
        default=None,
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


def _longest_doubted(options: Iterable[Option]) -> Option | None:
    """Return the idle target without results for the longest time, if due.

    Of services whose requests may all run only once, nothing else shows that
    a target that failed has recovered.
    """
    return min(
        (
            option
            for option in options
            if not option.load
            and option.result_age_ms >= DOUBTED_INTERVAL_MS
            and option.idle_loss < settings.MAX_EXPLORED_LOSS
        ),
        key=lambda option: -option.result_age_ms,
        default=None,
    )


def _is_probably_sound(option: Option) -> bool:
    """Return whether a target has answered lately and has no pause."""
    return (
        option.soundness >= MIN_PREFERRED_SOUNDNESS
        and option.idle_loss < settings.MAX_EXTRA_LOSS
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
