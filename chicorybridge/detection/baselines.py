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
MIN_ATTEMPTS = 20
# Attempts over which an expectation is averaged once it is known.
MAX_AVERAGED_ATTEMPTS = 500
# Bounds of a residual, so that one attempt never decides alone.
MIN_RESIDUAL = -1.0
MAX_RESIDUAL = 1.5
# Residual from which a pending attempt counts as slow.
OVERDUE_RESIDUAL = 1.2
# Variance below which attempts are not told apart.
MIN_VARIANCE = 0.12
INITIAL_VARIANCE = 0.5
# A time that cannot be told from none, in milliseconds.
MIN_ELAPSED_MS = 0.1


BaselineKey: TypeAlias = tuple[RouteId | ServiceId, ZoneId]


class RequestClass(NamedTuple):
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
    variance: float = INITIAL_VARIANCE
    attempts: int = 0

    def update(self, log_ms: float) -> None:
        """Take in one logarithm of milliseconds."""
        self.attempts += 1
        rate = max(1 / self.attempts, 1 / MAX_AVERAGED_ATTEMPTS)
        residual = log_ms - self.mean
        if self.attempts > MIN_ATTEMPTS:
            residual = clip_residual(residual)
        self.mean += rate * residual
        if self.attempts > 1:
            self.variance += rate * (residual * residual - self.variance)


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

    def compare(
        self, request_class: RequestClass, *, elapsed_ms: float
    ) -> Residual:
        """Compare an attempt with the expectation.

        `elapsed_ms` is scaled to the speed of the newest hardware.
        """
        return _residual(self._find(request_class), _logarithm(elapsed_ms))

    def update(self, request_class: RequestClass, *, elapsed_ms: float) -> None:
        """Take a whole answer into the expectation."""
        for key in request_class.keys:
            baseline = self._baselines_by_key.setdefault(key, Baseline())
            baseline.update(_logarithm(elapsed_ms))

    def overdue_ms(self, request_class: RequestClass) -> float:
        """Return the age from which a pending attempt counts as slow."""
        baseline = self._find(request_class)
        if baseline is None:
            return math.inf
        return math.exp(baseline.mean + OVERDUE_RESIDUAL)

    def _find(self, request_class: RequestClass) -> Baseline | None:
        """Return the narrowest baseline with enough attempts."""
        for key in request_class.keys:
            baseline = self._baselines_by_key.get(key)
            if baseline is not None and baseline.attempts >= MIN_ATTEMPTS:
                return baseline
        return None


def _logarithm(elapsed_ms: float) -> float:
    return math.log(max(elapsed_ms, MIN_ELAPSED_MS))


def clip_residual(residual: float) -> float:
    """Bound a residual so that one attempt never decides alone."""
    return min(max(residual, MIN_RESIDUAL), MAX_RESIDUAL)


def _residual(baseline: Baseline | None, log_ms: float) -> Residual:
    if baseline is None:
        return UNKNOWN
    return Residual(
        shift=clip_residual(log_ms - baseline.mean),
        weight=1 / max(baseline.variance, MIN_VARIANCE),
    )
