"""Immediate local weights of targets, bounded by the service's floor.

A weight runs from 0 to 1. It falls with the first bad attempts at a
target, long before a verdict, and comes back with good ones. An ejected
target has weight 0. What weights take away from a service, ejections
included, leaves at least the floor's share of its slots.
"""

import dataclasses

from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import require
from chicorybridge.common.identities import HostId, ServiceId, TargetId
from chicorybridge.common.systems import Effects, System
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.detection.baselines import Residual
from chicorybridge.detection.checks import TargetCheck
from chicorybridge.detection.notices import TargetLimits

# Share of its normal work that a target in doubt still gets.
MIN_WEIGHT = 0.02
# Weight of an ejected target that is tried with real work again.
TRIAL_WEIGHT = 0.2
# Factors on the weight after a failure, a shed request and a good answer.
FAILURE_FACTOR = 0.4
SHED_FACTOR = 0.8
RECOVERY_FACTOR = 1.25
# Share of a new residual in the running latency of a target.
LATENCY_SHARE = 0.3
# How fast the weight falls with excess latency.
EXCESS_FACTOR = 4
# Difference of logarithms that is still normal.
NORMAL_SHIFT = 0.5
# Rounding errors of sums of weights.
TOLERANCE = 1e-6

FAILED_OUTCOMES = frozenset(
    (
        AttemptOutcome.failed,
        AttemptOutcome.cut,
        AttemptOutcome.timed_out,
        AttemptOutcome.unreachable,
    )
)


@dataclasses.dataclass(kw_only=True, slots=True)
class TargetWeight:
    """What one entry process thinks of a target.

    `outcome` and `shift` are its own view, `excess` how much slower than
    the other targets of the service it is, as a logarithm; `limit` is 1,
    the weight of a trial, or 0 when ejected; `weight` is what the floor
    leaves.
    """

    target_id: TargetId
    service_id: ServiceId
    slots: int
    outcome: float = 1
    shift: float = 0
    excess: float = 0
    limit: float = 1
    weight: float = 1

    @property
    def wanted(self) -> float:
        """Return the weight before the floor is considered."""
        excess = max(0, self.excess - NORMAL_SHIFT)
        own = max(MIN_WEIGHT, self.outcome / (1 + EXCESS_FACTOR * excess))
        return min(own, self.limit)


class Weights(System):
    """Weigh the targets of all services in one entry process."""

    def __init__(self) -> None:
        """Start without targets."""
        self._weights_by_id: dict[TargetId, TargetWeight] = {}
        self._weights_by_service: dict[ServiceId, list[TargetWeight]] = {}
        self._floors_by_service: dict[ServiceId, float] = {}
        self._shifts_by_service: dict[ServiceId, float] = {}
        self._checks_by_service: dict[ServiceId, TargetCheck] = {}
        self._valid_until = Millis(0)
        self._is_limited = False
        # Targets that get no work at all.
        self.ejected: frozenset[TargetId] = frozenset()

    def configure(self, declaration: Declaration) -> None:
        """Take in a configuration; known targets keep their weight."""
        known = self._weights_by_id
        self._weights_by_id = {}
        self._weights_by_service = {}
        for service in declaration.services_by_id.values():
            service_id = service.service_id
            self._floors_by_service[service_id] = service.floor
            self._weights_by_service[service_id] = []
            for target in declaration.targets_by_service[service_id]:
                entry = known.get(target.target_id) or TargetWeight(
                    target_id=target.target_id, service_id=service_id, slots=0
                )
                entry.slots = declaration.pool_of(target).slots
                self._weights_by_id[target.target_id] = entry
                self._weights_by_service[service_id].append(entry)
            entries = self._weights_by_service[service_id]
            self._shifts_by_service[service_id] = sum(
                entry.shift for entry in entries
            )
            self._bound(service_id)
        self._find_ejected()

    @property
    def limited(self) -> set[TargetId]:
        """Return the targets that are ejected or on trial."""
        return {
            entry.target_id
            for entry in self._weights_by_id.values()
            if entry.limit < 1
        }

    def weight_of(self, target_id: TargetId) -> float:
        """Return the weight from 0 to 1; 1 for an unknown target."""
        entry = self._weights_by_id.get(target_id)
        return 1 if entry is None else entry.weight

    def tick(self, *, now: Millis) -> Effects:
        """Drop limits that the control process has not renewed."""
        if self._is_limited and now >= self._valid_until:
            self._limit({})
        return ()

    def receive(
        self, message: object, *, sender: HostId, now: Millis
    ) -> Effects:
        """Take in the limits of the control process of this host."""
        match message:
            case TargetLimits() if message.valid_until > now:
                self._valid_until = message.valid_until
                self._limit(message.limits_by_id)
            case TargetCheck() if message.target_id in self._weights_by_id:
                service_id = self._weights_by_id[message.target_id].service_id
                self._checks_by_service[service_id] = message
        return ()

    def take_check(
        self, service_id: ServiceId, *, now: Millis
    ) -> TargetId | None:
        """Return a target in doubt that the next request should go to.

        Only for requests that may be retried; each check is given once.
        """
        check = self._checks_by_service.pop(service_id, None)
        if check is None or now >= check.valid_until:
            return None
        return check.target_id if self.weight_of(check.target_id) else None

    def record(self, attempt: Attempt, residual: Residual) -> None:
        """Weigh a target by a finished attempt and its latency."""
        entry = self._weights_by_id.get(attempt.target_id)
        if entry is None or attempt.outcome is AttemptOutcome.cancelled:
            return
        entry.outcome = _outcome_weight(entry.outcome, attempt.outcome)
        if residual.weight:
            self._learn_latency(entry, residual.shift)
        if entry.weight != entry.wanted:
            self._bound(entry.service_id)

    def _limit(self, limits_by_id: dict[TargetId, float]) -> None:
        """Set which targets are limited: 0 ejected, less than 1 on trial."""
        self._is_limited = bool(limits_by_id)
        changed = set()
        for entry in self._weights_by_id.values():
            limit = limits_by_id.get(entry.target_id, 1)
            if limit != entry.limit:
                entry.limit = limit
                changed.add(entry.service_id)
        for service_id in changed:
            self._bound(service_id)
        if changed:
            self._find_ejected()

    def _find_ejected(self) -> None:
        self.ejected = frozenset(
            entry.target_id
            for entry in self._weights_by_id.values()
            if entry.limit == 0
        )

    def _learn_latency(self, entry: TargetWeight, shift: float) -> None:
        """Average the latency of a target and of the others."""
        service_id = entry.service_id
        total = self._shifts_by_service.get(service_id, 0)
        others = len(self._weights_by_service[service_id]) - 1
        common = (total - entry.shift) / others if others else 0
        change = LATENCY_SHARE * (shift - entry.shift)
        entry.shift += change
        entry.excess = entry.shift - max(0, common)
        self._shifts_by_service[service_id] = total + change

    def _bound(self, service_id: ServiceId) -> None:
        """Raise the weights of targets in use until the floor is kept."""
        entries = self._weights_by_service[service_id]
        total = sum(entry.slots for entry in entries)
        floor = self._floors_by_service[service_id] * total
        left = sum(entry.wanted * entry.slots for entry in entries)
        room = sum(
            (entry.limit - entry.wanted) * entry.slots for entry in entries
        )
        missing = max(0, floor - left)
        share = min(1, missing / room) if room > 0 else 0
        for entry in entries:
            wanted = entry.wanted
            entry.weight = wanted + (entry.limit - wanted) * share
        self._require_floor(entries, floor)

    def _require_floor(self, entries: list[TargetWeight], floor: float) -> None:
        left = sum(entry.weight * entry.slots for entry in entries)
        allowed = sum(entry.limit * entry.slots for entry in entries)
        require(
            promise='local weights leave the floor of a service',
            holds=left >= min(floor, allowed) - TOLERANCE,
        )


def _outcome_weight(weight: float, outcome: AttemptOutcome) -> float:
    if outcome in FAILED_OUTCOMES:
        return max(MIN_WEIGHT, weight * FAILURE_FACTOR)
    if outcome is AttemptOutcome.shed:
        return max(MIN_WEIGHT, weight * SHED_FACTOR)
    return min(1, weight * RECOVERY_FACTOR)
