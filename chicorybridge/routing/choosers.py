"""Load balancing from the state that one process observes.

Localities are tried in order: own zone, own region, other regions. In
each, a few targets are drawn at random by weight, and the one with the
lowest cost is chosen. The cost is the relative latency times the number of
requests in flight, including the new one, times a factor for the locality.
The next locality is tried only if the cost is above `SPILLOVER_COST`.
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
    LOCALITY_COSTS,
    OTHER_REGION,
    Candidate,
    CandidateGroup,
    draw_candidates,
    locality_of,
)
from chicorybridge.routing.latencies import LatencyTable

WeightOf = Callable[[TargetId], float]
HasCapacity = Callable[[TargetId, int], bool]


class Choice(NamedTuple):
    """A target that may be picked, `None` for no target, and its cost."""

    target_id: TargetId | None
    cost: float


NO_CHOICE = Choice(target_id=None, cost=float('inf'))


class Chooser:
    """Pick targets, and update their state as attempts end."""

    def __init__(
        self,
        *,
        rng: random.Random,
        weight_of: WeightOf,
        has_capacity: HasCapacity,
    ) -> None:
        """Pick targets by `weight_of` and `has_capacity`.

        `weight_of` returns the weight of a target, 0 to 1. `has_capacity`
        returns whether the limits allow one more request at a target that
        has a given number of requests of this process in flight.
        """
        self._rng = rng
        self._weight_of = weight_of
        self._has_capacity = has_capacity
        self._latencies = LatencyTable()
        self._candidates_by_id: dict[TargetId, Candidate] = {}
        self._groups_by_service: dict[
            ServiceId, tuple[CandidateGroup, ...]
        ] = {}
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
        """Replace the targets; their localities are relative to `zone_id`.

        `subset` holds the targets that this process uses, `None` for all.
        Targets that were not in the previous declaration warm up first.
        """
        declared = self._declared_ids
        self._declared_ids = frozenset(declaration.targets_by_id)
        candidates: dict[TargetId, Candidate] = {}
        for target in declaration.targets_by_id.values():
            if subset is not None and target.target_id not in subset:
                continue
            locality = locality_of(declaration, target.zone_id, zone_id)
            candidate = self._updated_candidate(declaration, target, locality)
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
        self._group_by_locality(declaration)

    def set_leaving(self, target_ids: Iterable[TargetId]) -> None:
        """Send no new requests to these targets: they are draining."""
        self._leaving_ids = frozenset(target_ids)
        self._closed_ids = self._leaving_ids | self._ejected_ids

    def set_ejected(self, target_ids: Iterable[TargetId]) -> None:
        """Send no new requests to these targets: they are ejected."""
        self._ejected_ids = frozenset(target_ids)
        self._closed_ids = self._leaving_ids | self._ejected_ids

    def pick(
        self,
        service_id: ServiceId,
        *,
        excluded: Collection[TargetId] = (),
        now: Millis,
    ) -> TargetId | None:
        """Return the target of a new attempt, `None` if none is available."""
        best = NO_CHOICE
        for candidates in self._groups_by_service.get(service_id, ()):
            choice = self._best_of(candidates, excluded, now)
            if choice.cost < best.cost:
                best = choice
            if best.cost <= settings.SPILLOVER_COST:
                return best.target_id
        if best.target_id is None:
            return self._any_open(service_id, excluded)
        return best.target_id

    def pick_for_suspect(
        self,
        service_id: ServiceId,
        digest: Digest,
        *,
        excluded: Collection[TargetId] = (),
    ) -> TargetId | None:
        """Return the target of a request that is suspected of crashing.

        Such requests are assigned by a hash of request and target instead
        of by cost, so that two of them rarely share a target again.
        """
        open_ids: list[TargetId] = []
        for locality, candidates in enumerate(
            self._groups_by_service.get(service_id, ())
        ):
            if locality == OTHER_REGION and open_ids:
                break
            open_ids.extend(
                candidate.target_id
                for candidate in candidates
                if self._is_open(candidate, excluded)
            )
        return max(
            open_ids,
            key=lambda target_id: xxhash.xxh3_64_intdigest(
                f'{digest} {target_id}'.encode()
            ),
            default=None,
        )

    def started(self, target_id: TargetId, now: Millis) -> None:
        """Count an attempt that starts."""
        candidate = self._candidates_by_id.get(target_id)
        if candidate is not None:
            candidate.in_flight += 1

    def finished(self, attempt: Attempt, now: Millis) -> float | None:
        """Record an attempt that ended; return its slowness.

        Slowness is the latency as a multiple of the baseline latency of
        the route on this hardware, `None` without a successful answer.
        """
        candidate = self._candidates_by_id.get(attempt.target_id)
        if candidate is None:
            return None
        candidate.in_flight = max(0, candidate.in_flight - 1)
        candidate.record(attempt, now=now)
        return self._latencies.add(attempt, now=now)

    def in_flight(self, target_id: TargetId) -> int:
        """Return how many attempts of this process a target has in flight."""
        candidate = self._candidates_by_id.get(target_id)
        return 0 if candidate is None else candidate.in_flight

    def _updated_candidate(
        self, declaration: Declaration, target: Target, locality: int
    ) -> Candidate:
        warm_up_ms = declaration.pool_of(target).warm_up_ms
        candidate = self._candidates_by_id.get(target.target_id)
        if candidate is None:
            return Candidate(
                target_id=target.target_id,
                locality=locality,
                warm_up_ms=warm_up_ms,
            )
        candidate.locality = locality
        candidate.warm_up_ms = warm_up_ms
        return candidate

    def _group_by_locality(self, declaration: Declaration) -> None:
        self._groups_by_service = {}
        for service_id, targets in declaration.targets_by_service.items():
            used = [
                self._candidates_by_id[target.target_id]
                for target in targets
                if target.target_id in self._candidates_by_id
            ]
            self._groups_by_service[service_id] = tuple(
                tuple(
                    candidate
                    for candidate in used
                    if candidate.locality == locality
                )
                for locality, _ in enumerate(LOCALITY_COSTS)
            )

    def _best_of(
        self,
        candidates: CandidateGroup,
        excluded: Collection[TargetId],
        now: Millis,
    ) -> Choice:
        """Draw a few candidates of a locality and return the cheapest.

        The cost is multiplied by the draws per eligible candidate, so that
        a locality that lost targets or weight gets less load.
        """
        best = None
        lowest_cost = float('inf')
        draws = 0
        eligible_count = 0
        for candidate in draw_candidates(candidates, self._rng):
            draws += 1
            if not self._is_eligible(candidate, excluded, now):
                continue
            eligible_count += 1
            cost = self._cost(candidate, now)
            if cost < lowest_cost:
                best, lowest_cost = candidate.target_id, cost
            if eligible_count >= settings.CHOICE_SAMPLES:
                break
        draws_per_eligible = draws / max(1, eligible_count)
        return Choice(target_id=best, cost=lowest_cost * draws_per_eligible)

    def _is_eligible(
        self,
        candidate: Candidate,
        excluded: Collection[TargetId],
        now: Millis,
    ) -> bool:
        if candidate.paused_until > now:
            return False
        if not self._is_open(candidate, excluded):
            return False
        share = self._weight_of(candidate.target_id) * candidate.warm_up_share(
            now
        )
        return share >= 1 or self._rng.random() < share

    def _any_open(
        self, service_id: ServiceId, excluded: Collection[TargetId]
    ) -> TargetId | None:
        """Return a random open target of the closest locality that has one.

        Weights and pauses are ignored. `None` if no target is open.
        """
        for candidates in self._groups_by_service.get(service_id, ()):
            open_ids = [
                candidate.target_id
                for candidate in candidates
                if self._is_open(candidate, excluded)
            ]
            if open_ids:
                return self._rng.choice(open_ids)
        return None

    def _is_open(
        self, candidate: Candidate, excluded: Collection[TargetId]
    ) -> bool:
        """Return whether a target may get requests and has capacity.

        It may get them if it is neither draining, ejected nor excluded.
        """
        target_id = candidate.target_id
        if target_id in self._closed_ids or target_id in excluded:
            return False
        return self._has_capacity(target_id, candidate.in_flight)

    def _cost(self, candidate: Candidate, now: Millis) -> float:
        latency = self._latencies.of(candidate.target_id, now=now)
        locality_cost = LOCALITY_COSTS[candidate.locality]
        return latency * (candidate.in_flight + 1) * locality_cost
