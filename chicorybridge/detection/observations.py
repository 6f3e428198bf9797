"""Counts of attempts by target, from an entry to its control process."""

import dataclasses

from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import (
    HostId,
    RouteId,
    ServiceId,
    TargetId,
    ZoneId,
)
from chicorybridge.common.systems import Effects, Send, System
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.detection.baselines import (
    NO_RESIDUAL,
    Baselines,
    Residual,
    RequestClass,
)

# Requests with bodies from this size are counted separately.
LARGE_BODY_BYTES = 65_536


@wire
@dataclasses.dataclass(kw_only=True, slots=True)
class Tally:
    """Counts of attempts at one target.

    `failed` and `answered` count small requests, `large_failed` and
    `large_answered` large ones. `unreachable` counts attempts that got no
    connection, `cut` those whose connection ended, or broke the protocol,
    before the complete answer: at most one a tick, since a crash cuts many
    connections at once. `shed` counts attempts that the target shed,
    `leaving` answers that announce a planned restart.
    `latency_weight` is the sum of the inverse variances of the latencies,
    and `latency_shift` the sum of their residuals multiplied by these.
    """

    target_id: TargetId
    answered: float = 0
    failed: float = 0
    cut: float = 0
    unreachable: float = 0
    leaving: float = 0
    large_answered: float = 0
    large_failed: float = 0
    shed: float = 0
    latency_weight: float = 0
    latency_shift: float = 0

    @property
    def failures(self) -> float:
        """Return how many attempts count against the target."""
        broken = self.cut + self.unreachable
        return self.failed + broken + self.large_failed + self.shed

    def scale(self, factor: float) -> None:
        """Multiply all counts except `leaving`, for example to decay them."""
        self.answered *= factor
        self.failed *= factor
        self.cut *= factor
        self.unreachable *= factor
        self.large_answered *= factor
        self.large_failed *= factor
        self.shed *= factor
        self.latency_weight *= factor
        self.latency_shift *= factor

    def add(self, other: 'Tally') -> None:
        """Add the counts of `other`."""
        self.answered += other.answered
        self.failed += other.failed
        self.cut += other.cut
        self.unreachable += other.unreachable
        self.leaving += other.leaving
        self.large_answered += other.large_answered
        self.large_failed += other.large_failed
        self.shed += other.shed
        self.latency_weight += other.latency_weight
        self.latency_shift += other.latency_shift


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Observations:
    """Counts of an entry process since its last message."""

    tallies: tuple[Tally, ...]


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingAttempt:
    """An attempt in progress.

    `counted_residual` is set once it was counted as slow.
    """

    target_id: TargetId
    route_id: RouteId
    started_at: Millis
    overdue_at: float
    counted_residual: Residual | None = None


# They say nothing about the target.
UNTELLING_OUTCOMES = frozenset(
    (AttemptOutcome.cancelled, AttemptOutcome.withheld)
)


class Observer(System):
    """Count the attempts of a tick; one in each entry process."""

    def __init__(self, *, host_id: HostId) -> None:
        """Start without counts; they go to the control of `host_id`."""
        self._host_id = host_id
        self._baselines = Baselines()
        self._tallies_by_id: dict[TargetId, Tally] = {}
        self._pending_by_number: dict[int, PendingAttempt] = {}
        self._zones_by_id: dict[TargetId, ZoneId] = {}
        self._services_by_id: dict[TargetId, ServiceId] = {}
        self._speeds_by_id: dict[TargetId, float] = {}
        self._last_number = 0

    def configure(self, declaration: Declaration) -> None:
        """Set the targets of a configuration."""
        targets = declaration.targets_by_id.values()
        self._zones_by_id = {each.target_id: each.zone_id for each in targets}
        self._services_by_id = {
            each.target_id: declaration.service_id_of(each) for each in targets
        }
        self._speeds_by_id = {
            each.target_id: declaration.pool_of(each).speed for each in targets
        }

    def start(
        self, *, target_id: TargetId, route_id: RouteId, now: Millis
    ) -> int:
        """Record the start of an attempt; return its number for `finish`."""
        self._last_number += 1
        request_class = self._request_class(target_id, route_id)
        overdue_ms = self._baselines.overdue_ms(request_class)
        self._pending_by_number[self._last_number] = PendingAttempt(
            target_id=target_id,
            route_id=route_id,
            started_at=now,
            overdue_at=now + overdue_ms / self._speed_of(target_id),
        )
        return self._last_number

    def finish(self, number: int, attempt: Attempt) -> Residual:
        """Count a finished attempt; return the residual of its latency.

        `number` is what `start` returned.
        """
        pending = self._pending_by_number.pop(number, None)
        if attempt.outcome in UNTELLING_OUTCOMES:
            return NO_RESIDUAL
        tally = self._tally(attempt.target_id)
        _count(tally, attempt)
        if attempt.outcome is not AttemptOutcome.answered:
            return NO_RESIDUAL
        scaled_ms = attempt.elapsed_ms * self._speed_of(attempt.target_id)
        counted_residual = None if pending is None else pending.counted_residual
        residual = self._compare(
            tally,
            attempt.route_id,
            attempt.elapsed_ms,
            counted_residual=counted_residual,
        )
        request_class = self._request_class(attempt.target_id, attempt.route_id)
        self._baselines.update(request_class, elapsed_ms=scaled_ms)
        return residual

    def tick(self, *, now: Millis) -> Effects:
        """Send the counts since the last tick, if there are any."""
        self._count_overdue(now)
        if not self._tallies_by_id:
            return ()
        message = Observations(tallies=tuple(self._tallies_by_id.values()))
        self._tallies_by_id = {}
        return (Send(to=self._host_id, message=message),)

    def _count_overdue(self, now: Millis) -> None:
        """Count the latency of slow attempts before they end."""
        for pending in self._pending_by_number.values():
            if pending.counted_residual is not None or now < pending.overdue_at:
                continue
            pending.counted_residual = self._compare(
                self._tally(pending.target_id),
                pending.route_id,
                now - pending.started_at,
            )

    def _compare(
        self,
        tally: Tally,
        route_id: RouteId,
        elapsed_ms: float,
        *,
        counted_residual: Residual | None = None,
    ) -> Residual:
        """Add the residual of an attempt to `tally`.

        If `counted_residual` was added before, add only the increase.
        """
        residual = self._baselines.compare(
            self._request_class(tally.target_id, route_id),
            elapsed_ms=elapsed_ms * self._speed_of(tally.target_id),
        )
        if counted_residual is None:
            tally.latency_weight += residual.weight
            tally.latency_shift += residual.shift * residual.weight
        else:
            increase = max(0, residual.shift - counted_residual.shift)
            tally.latency_shift += increase * residual.weight
        return residual

    def _tally(self, target_id: TargetId) -> Tally:
        tally = self._tallies_by_id.get(target_id)
        if tally is None:
            tally = Tally(target_id=target_id)
            self._tallies_by_id[target_id] = tally
        return tally

    def _request_class(
        self, target_id: TargetId, route_id: RouteId
    ) -> RequestClass:
        return RequestClass(
            service_id=self._services_by_id.get(target_id, ServiceId('')),
            route_id=route_id,
            zone_id=self._zones_by_id.get(target_id, ZoneId('')),
        )

    def _speed_of(self, target_id: TargetId) -> float:
        return self._speeds_by_id.get(target_id, 1)


def _count(tally: Tally, attempt: Attempt) -> None:
    is_answered = attempt.outcome is AttemptOutcome.answered
    tally.leaving += attempt.leaving
    if attempt.outcome is AttemptOutcome.shed:
        tally.shed += 1
    elif attempt.outcome is AttemptOutcome.cut:
        tally.cut = 1
    elif attempt.outcome is AttemptOutcome.unreachable:
        tally.unreachable += 1
    else:
        _count_by_size(tally, attempt, is_answered)


def _count_by_size(tally: Tally, attempt: Attempt, is_answered: bool) -> None:
    if attempt.sent_bytes >= LARGE_BODY_BYTES:
        tally.large_answered += is_answered
        tally.large_failed += not is_answered
    else:
        tally.answered += is_answered
        tally.failed += not is_answered
