"""Load-balancing weights of targets in one process, bounded by a floor.

A weight is between 0 and 1. It falls with the first failed attempts at a
target, long before an ejection, and recovers with successful ones. An
ejected target has weight 0. Local weights never reduce the weighted slots
of a service below its floor, as far as ejections leave that many.
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

# Lowest weight to which failures and latency reduce a target.
MIN_WEIGHT = 0.02
# Weight limit of an ejected target during a trial with real requests.
TRIAL_WEIGHT = 0.2
# Factors on the weight after a failure, a shed request and an answer.
FAILURE_FACTOR = 0.4
SHED_FACTOR = 0.8
RECOVERY_FACTOR = 1.25
# Weight of a new residual in the moving average of a target's latency.
LATENCY_SMOOTHING = 0.3
# How strongly excess latency reduces the weight.
EXCESS_FACTOR = 4
# Excess latency, as a logarithm, without effect on the weight.
NORMAL_SHIFT = 0.5
# Allowed rounding error in sums of weights.
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
    """The weight of a target in one entry process, and its inputs.

    `outcome_weight` follows the outcomes of attempts. `shift` is the mean
    logarithm of the latency relative to its baseline, `excess` its
    difference from the other targets of the service. `limit` is 1, or
    the weight of a trial, or 0 when ejected. `weight` is the result after
    the floor is applied.
    """

    target_id: TargetId
    service_id: ServiceId
    slots: int
    outcome_weight: float = 1
    shift: float = 0
    excess: float = 0
    limit: float = 1
    weight: float = 1

    @property
    def local_weight(self) -> float:
        """Return the weight before the floor is applied."""
        excess = max(0, self.excess - NORMAL_SHIFT)
        unlimited = max(
            MIN_WEIGHT, self.outcome_weight / (1 + EXCESS_FACTOR * excess)
        )
        return min(unlimited, self.limit)


class Weights(System):
    """Compute the weights of all targets in one entry process."""

    def __init__(self) -> None:
        """Start without targets."""
        self._weights_by_id: dict[TargetId, TargetWeight] = {}
        self._weights_by_service: dict[ServiceId, list[TargetWeight]] = {}
        self._floors_by_service: dict[ServiceId, float] = {}
        self._shifts_by_service: dict[ServiceId, float] = {}
        self._checks_by_service: dict[ServiceId, TargetCheck] = {}
        self._valid_until = Millis(0)
        self._is_limited = False
        # Targets that get no requests.
        self.ejected: frozenset[TargetId] = frozenset()

    def configure(self, declaration: Declaration) -> None:
        """Apply a declaration; existing targets keep their weights."""
        previous = self._weights_by_id
        self._weights_by_id = {}
        self._weights_by_service = {}
        for service in declaration.services_by_id.values():
            service_id = service.service_id
            self._floors_by_service[service_id] = service.floor
            self._weights_by_service[service_id] = []
            for target in declaration.targets_by_service[service_id]:
                entry = previous.get(target.target_id) or TargetWeight(
                    target_id=target.target_id, service_id=service_id, slots=0
                )
                entry.slots = declaration.pool_of(target).slots
                self._weights_by_id[target.target_id] = entry
                self._weights_by_service[service_id].append(entry)
            entries = self._weights_by_service[service_id]
            self._shifts_by_service[service_id] = sum(
                entry.shift for entry in entries
            )
            self._apply_floor(service_id)
        self._update_ejected()

    @property
    def limited(self) -> set[TargetId]:
        """Return the targets that are ejected or on trial."""
        return {
            entry.target_id
            for entry in self._weights_by_id.values()
            if entry.limit < 1
        }

    def weight_of(self, target_id: TargetId) -> float:
        """Return the weight of a target, 0 to 1; 1 for an unknown target."""
        entry = self._weights_by_id.get(target_id)
        return 1 if entry is None else entry.weight

    def tick(self, *, now: Millis) -> Effects:
        """Drop limits that the control process has not renewed."""
        if self._is_limited and now >= self._valid_until:
            self._set_limits({})
        return ()

    def receive(
        self, message: object, *, sender: HostId, now: Millis
    ) -> Effects:
        """Handle limits and checks from the control process of this host."""
        match message:
            case TargetLimits() if message.valid_until > now:
                self._valid_until = message.valid_until
                self._set_limits(message.limits_by_id)
            case TargetCheck() if message.target_id in self._weights_by_id:
                service_id = self._weights_by_id[message.target_id].service_id
                self._checks_by_service[service_id] = message
        return ()

    def take_check(
        self, service_id: ServiceId, *, now: Millis
    ) -> TargetId | None:
        """Return the target that the next request should check, if any.

        For requests that may be retried only; each check is returned once.
        """
        check = self._checks_by_service.pop(service_id, None)
        if check is None or now >= check.valid_until:
            return None
        return check.target_id if self.weight_of(check.target_id) else None

    def record(self, attempt: Attempt, residual: Residual) -> None:
        """Update the weight of a target from an ended attempt."""
        entry = self._weights_by_id.get(attempt.target_id)
        if entry is None or attempt.outcome is AttemptOutcome.cancelled:
            return
        entry.outcome_weight = _weight_after(
            entry.outcome_weight, attempt.outcome
        )
        if residual.weight:
            self._record_latency(entry, residual.shift)
        if entry.weight != entry.local_weight:
            self._apply_floor(entry.service_id)

    def _set_limits(self, limits_by_id: dict[TargetId, float]) -> None:
        """Set the weight limits of targets: 0 if ejected, below 1 on trial."""
        self._is_limited = bool(limits_by_id)
        changed = set()
        for entry in self._weights_by_id.values():
            limit = limits_by_id.get(entry.target_id, 1)
            if limit != entry.limit:
                entry.limit = limit
                changed.add(entry.service_id)
        for service_id in changed:
            self._apply_floor(service_id)
        if changed:
            self._update_ejected()

    def _update_ejected(self) -> None:
        self.ejected = frozenset(
            entry.target_id
            for entry in self._weights_by_id.values()
            if entry.limit == 0
        )

    def _record_latency(self, entry: TargetWeight, shift: float) -> None:
        """Update the mean latency of a target and its excess over others."""
        service_id = entry.service_id
        total = self._shifts_by_service.get(service_id, 0)
        others = len(self._weights_by_service[service_id]) - 1
        mean_of_others = (total - entry.shift) / others if others else 0
        change = LATENCY_SMOOTHING * (shift - entry.shift)
        entry.shift += change
        entry.excess = entry.shift - max(0, mean_of_others)
        self._shifts_by_service[service_id] = total + change

    def _apply_floor(self, service_id: ServiceId) -> None:
        """Raise the weights of targets, up to their limits, to the floor."""
        entries = self._weights_by_service[service_id]
        total = sum(entry.slots for entry in entries)
        floor = self._floors_by_service[service_id] * total
        weighted_slots = sum(
            entry.local_weight * entry.slots for entry in entries
        )
        headroom = sum(
            (entry.limit - entry.local_weight) * entry.slots
            for entry in entries
        )
        missing = max(0, floor - weighted_slots)
        share = min(1, missing / headroom) if headroom > 0 else 0
        for entry in entries:
            local_weight = entry.local_weight
            entry.weight = local_weight + (entry.limit - local_weight) * share
        self._require_floor(entries, floor)

    def _require_floor(self, entries: list[TargetWeight], floor: float) -> None:
        weighted_slots = sum(entry.weight * entry.slots for entry in entries)
        allowed = sum(entry.limit * entry.slots for entry in entries)
        require(
            promise='local weights keep a service at or above its floor',
            holds=weighted_slots >= min(floor, allowed) - TOLERANCE,
        )


def _weight_after(weight: float, outcome: AttemptOutcome) -> float:
    if outcome in FAILED_OUTCOMES:
        return max(MIN_WEIGHT, weight * FAILURE_FACTOR)
    if outcome is AttemptOutcome.shed:
        return max(MIN_WEIGHT, weight * SHED_FACTOR)
    return min(1, weight * RECOVERY_FACTOR)
