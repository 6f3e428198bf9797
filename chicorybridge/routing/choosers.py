"""Choice of the target for a request, from what this process sees.

The zone of the process is tried first, then its region, then the rest.
Within each, a few targets are drawn by weight and the one with the least
cost wins: its relative latency times what it has in flight. A farther
place is tried only if no drawn target is good enough.
"""

import random
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

import xxhash

from chicorybridge import settings
from chicorybridge.common.attempts import Attempt
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import Digest, ServiceId, TargetId, ZoneId
from chicorybridge.configuration.declarations import Declaration, Target
from chicorybridge.routing.candidates import (
    ACROSS,
    PLACE_COSTS,
    Candidate,
    Place,
    draw,
    place_of,
)
from chicorybridge.routing.latencies import LatencyTable

WeightOf = Callable[[TargetId], float]
MayTake = Callable[[TargetId, int], bool]


class Choice(NamedTuple):
    """A target that may be picked and its cost."""

    target_id: TargetId | None
    cost: float


NOTHING = Choice(target_id=None, cost=float('inf'))


class Chooser:
    """Pick targets and learn from how attempts end."""

    def __init__(
        self,
        *,
        rng: random.Random,
        weight_of: WeightOf,
        may_take: MayTake,
    ) -> None:
        """Keep the callables that judge targets.

        `weight_of` returns the weight of a target, 0 to 1; `may_take`
        tells whether the limits let a target take one more request of
        this process besides those it has.
        """
        self._rng = rng
        self._weight_of = weight_of
        self._may_take = may_take
        self._latencies = LatencyTable()
        self._candidates_by_id: dict[TargetId, Candidate] = {}
        self._places_by_service: dict[ServiceId, tuple[Place, ...]] = {}
        self._declared_ids: frozenset[TargetId] = frozenset()
        self._closed_ids: frozenset[TargetId] = frozenset()
        self._leaving_ids: frozenset[TargetId] = frozenset()
        self._ejected_ids: frozenset[TargetId] = frozenset()

    def set_declaration(
        self,
        declaration: Declaration,
        zone_id: ZoneId,
        *,
        subset: Collection[TargetId] | None = None,
        now: Millis,
    ) -> None:
        """Take over the targets, seen from `zone_id`.

        `subset` names the targets that this process uses, `None` for all.
        Targets that a later declaration adds warm up.
        """
        declared = self._declared_ids
        self._declared_ids = frozenset(declaration.targets_by_id)
        candidates: dict[TargetId, Candidate] = {}
        for target in declaration.targets_by_id.values():
            if subset is not None and target.target_id not in subset:
                continue
            place = place_of(declaration, target.zone_id, zone_id)
            candidate = self._candidate(declaration, target, place)
            candidates[target.target_id] = candidate
            if declared and target.target_id not in declared:
                candidate.cold_since = now
        self._candidates_by_id = candidates
        self._latencies.set_speeds(
            {
                target_id: declaration.pool_of(
                    declaration.targets_by_id[target_id]
                ).speed
                for target_id in candidates
            }
        )
        self._group(declaration)

    def set_leaving(self, target_ids: Iterable[TargetId]) -> None:
        """Give nothing new to these targets: they are draining."""
        self._leaving_ids = frozenset(target_ids)
        self._closed_ids = self._leaving_ids | self._ejected_ids

    def set_ejected(self, target_ids: Iterable[TargetId]) -> None:
        """Give nothing new to these targets: they are ejected."""
        self._ejected_ids = frozenset(target_ids)
        self._closed_ids = self._leaving_ids | self._ejected_ids

    def pick(
        self,
        service_id: ServiceId,
        *,
        excluded: Collection[TargetId] = (),
        now: Millis,
    ) -> TargetId | None:
        """Return the target for a new attempt, `None` if none may take it."""
        best = NOTHING
        for candidates in self._places_by_service.get(service_id, ()):
            found = self._best_of(candidates, excluded, now)
            if found.cost < best.cost:
                best = found
            if best.cost <= settings.SPILLOVER_COST:
                return best.target_id
        if best.target_id is None:
            return self._any_of(service_id, excluded)
        return best.target_id

    def pick_apart(
        self,
        service_id: ServiceId,
        digest: Digest,
        *,
        excluded: Collection[TargetId] = (),
    ) -> TargetId | None:
        """Return the target for a request that may crash it.

        Suspects go to targets by a hash of the request instead of the
        cost, so that two of them seldom meet at the same target again.
        """
        found: list[TargetId] = []
        for place, candidates in enumerate(
            self._places_by_service.get(service_id, ())
        ):
            if place == ACROSS and found:
                break
            found.extend(
                candidate.target_id
                for candidate in candidates
                if self._is_open(candidate, excluded)
            )
        return max(
            found,
            key=lambda target_id: xxhash.xxh3_64_intdigest(
                f'{digest} {target_id}'.encode()
            ),
            default=None,
        )

    def started(self, target_id: TargetId, now: Millis) -> None:
        """Count an attempt that is being sent."""
        candidate = self._candidates_by_id.get(target_id)
        if candidate is not None:
            candidate.in_flight += 1

    def finished(self, attempt: Attempt, now: Millis) -> float | None:
        """Learn from an ended attempt; return its slowness.

        Slowness is the latency as a multiple of what the route took on
        this hardware before any overload, `None` where there is none.
        """
        candidate = self._candidates_by_id.get(attempt.target_id)
        if candidate is None:
            return None
        candidate.in_flight = max(0, candidate.in_flight - 1)
        candidate.learn(attempt, now=now)
        return self._latencies.add(attempt, now=now)

    def in_flight(self, target_id: TargetId) -> int:
        """Return the attempts of this process that a target has."""
        candidate = self._candidates_by_id.get(target_id)
        return 0 if candidate is None else candidate.in_flight

    def _candidate(
        self, declaration: Declaration, target: Target, place: int
    ) -> Candidate:
        warm_up_ms = declaration.pool_of(target).warm_up_ms
        known = self._candidates_by_id.get(target.target_id)
        if known is None:
            return Candidate(
                target_id=target.target_id, place=place, warm_up_ms=warm_up_ms
            )
        known.place = place
        known.warm_up_ms = warm_up_ms
        return known

    def _group(self, declaration: Declaration) -> None:
        self._places_by_service = {}
        for service_id, targets in declaration.targets_by_service.items():
            known = [
                self._candidates_by_id[target.target_id]
                for target in targets
                if target.target_id in self._candidates_by_id
            ]
            self._places_by_service[service_id] = tuple(
                tuple(found for found in known if found.place == place)
                for place, _ in enumerate(PLACE_COSTS)
            )

    def _best_of(
        self,
        candidates: Place,
        excluded: Collection[TargetId],
        now: Millis,
    ) -> Choice:
        """Draw a few candidates of a place and return the cheapest.

        A place that lost targets or weight has less to give: its cost
        rises by the share of draws that found no target to use.
        """
        best = None
        least = float('inf')
        draws = 0
        found = 0
        for candidate in draw(candidates, self._rng):
            draws += 1
            if not self._is_drawn(candidate, excluded, now):
                continue
            found += 1
            cost = self._cost(candidate, now)
            if cost < least:
                best, least = candidate.target_id, cost
            if found >= settings.CHOICE_SAMPLES:
                break
        thinness = draws / max(1, found)
        return Choice(target_id=best, cost=least * thinness)

    def _is_drawn(
        self,
        candidate: Candidate,
        excluded: Collection[TargetId],
        now: Millis,
    ) -> bool:
        if candidate.paused_until > now:
            return False
        if not self._is_open(candidate, excluded):
            return False
        share = self._weight_of(candidate.target_id) * candidate.warmth(now)
        return share >= 1 or self._rng.random() < share

    def _any_of(
        self, service_id: ServiceId, excluded: Collection[TargetId]
    ) -> TargetId | None:
        """Return an open target of the nearest place that has one."""
        for candidates in self._places_by_service.get(service_id, ()):
            found = [
                candidate.target_id
                for candidate in candidates
                if self._is_open(candidate, excluded)
            ]
            if found:
                return self._rng.choice(found)
        return None

    def _is_open(
        self, candidate: Candidate, excluded: Collection[TargetId]
    ) -> bool:
        target_id = candidate.target_id
        if target_id in self._closed_ids or target_id in excluded:
            return False
        return self._may_take(target_id, candidate.in_flight)

    def _cost(self, candidate: Candidate, now: Millis) -> float:
        latency = self._latencies.of(candidate.target_id, now=now)
        place_cost = PLACE_COSTS[candidate.place]
        return latency * (candidate.in_flight + 1) * place_cost
