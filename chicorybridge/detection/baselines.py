"""What an entry process expects of latency, by route and target zone.

Latency is compared as natural logarithms: a residual of 0.69 means twice
the expected time. The declared speed of the hardware is part of what is
expected, so that old hardware is measured against its own kind.
"""

import dataclasses
import math
from typing import NamedTuple, TypeAlias

from chicorybridge.common.identities import RouteId, ServiceId, ZoneId

# Attempts before the expectation of a route counts as known.
LEARNING_ATTEMPTS = 20
# Attempts over which an expectation is averaged once it is known.
MEMORY_ATTEMPTS = 500
# Bounds of a residual, so that one attempt never decides alone.
LOWEST_RESIDUAL = -1.0
HIGHEST_RESIDUAL = 1.5
# Residual from which a pending attempt counts as slow.
OVERDUE_RESIDUAL = 1.2
# Variance below which attempts are not told apart.
LEAST_VARIANCE = 0.12
FIRST_VARIANCE = 0.5
# A time that cannot be told from none, in milliseconds.
LEAST_ELAPSED_MS = 0.1


BaselineKey: TypeAlias = tuple[RouteId | ServiceId, ZoneId]


class WorkKind(NamedTuple):
    """What latency depends on, besides the target."""

    service_id: ServiceId
    route_id: RouteId
    zone_id: ZoneId

    @property
    def keys(self) -> tuple[BaselineKey, BaselineKey]:
        """Return the keys of the baselines, the narrower first."""
        return (self.route_id, self.zone_id), (self.service_id, self.zone_id)


@dataclasses.dataclass(kw_only=True, slots=True)
class Baseline:
    """Running mean and variance of the logarithm of latency."""

    mean: float = 0
    variance: float = FIRST_VARIANCE
    attempts: int = 0

    def learn(self, log_ms: float) -> None:
        """Take in one logarithm of milliseconds."""
        self.attempts += 1
        share = max(1 / self.attempts, 1 / MEMORY_ATTEMPTS)
        residual = log_ms - self.mean
        if self.attempts > LEARNING_ATTEMPTS:
            residual = clip(residual)
        self.mean += share * residual
        if self.attempts > 1:
            self.variance += share * (residual * residual - self.variance)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Residual:
    """How an attempt differs from what was expected.

    `shift` is a difference of logarithms; `weight` the inverse of the
    variance of a single attempt, 0 while nothing is known yet.
    """

    shift: float
    weight: float


UNKNOWN = Residual(shift=0, weight=0)


class Baselines:
    """Keep baselines for each route and service by target zone.

    A route that is not known yet is compared with its whole service.
    """

    def __init__(self) -> None:
        """Start without any expectation."""
        self._baselines_by_key: dict[BaselineKey, Baseline] = {}

    def compare(self, kind: WorkKind, *, elapsed_ms: float) -> Residual:
        """Compare an attempt with the expectation.

        `elapsed_ms` is scaled to the speed of the newest hardware.
        """
        return _residual(self._known(kind), _logarithm(elapsed_ms))

    def learn(self, kind: WorkKind, *, elapsed_ms: float) -> None:
        """Take a whole answer into the expectation."""
        for key in kind.keys:
            baseline = self._baselines_by_key.setdefault(key, Baseline())
            baseline.learn(_logarithm(elapsed_ms))

    def overdue_ms(self, kind: WorkKind) -> float:
        """Return the age from which a pending attempt counts as slow."""
        baseline = self._known(kind)
        if baseline is None:
            return math.inf
        return math.exp(baseline.mean + OVERDUE_RESIDUAL)

    def _known(self, kind: WorkKind) -> Baseline | None:
        """Return the narrowest baseline with enough attempts."""
        for key in kind.keys:
            baseline = self._baselines_by_key.get(key)
            if baseline is not None and baseline.attempts >= LEARNING_ATTEMPTS:
                return baseline
        return None


def _logarithm(elapsed_ms: float) -> float:
    return math.log(max(elapsed_ms, LEAST_ELAPSED_MS))


def clip(residual: float) -> float:
    """Bound a residual so that one attempt never decides alone."""
    return min(max(residual, LOWEST_RESIDUAL), HIGHEST_RESIDUAL)


def _residual(baseline: Baseline | None, log_ms: float) -> Residual:
    if baseline is None:
        return UNKNOWN
    return Residual(
        shift=clip(log_ms - baseline.mean),
        weight=1 / max(baseline.variance, LEAST_VARIANCE),
    )
