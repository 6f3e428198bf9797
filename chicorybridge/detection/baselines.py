"""Expected latency in an entry process, by route and target zone.

Latencies are compared as natural logarithms: a residual of 0.69 means
twice the expected time. The latencies passed in are scaled by the declared
speed of the hardware, so that slow hardware is compared with its own
expected speed.
"""

import dataclasses
import math
from typing import NamedTuple, TypeAlias

from chicorybridge.common.identities import RouteId, ServiceId, ZoneId

# Attempts before a baseline is used for comparison.
MIN_ATTEMPTS = 20
# A new attempt has at least the inverse of this as its weight in an average.
MAX_AVERAGED_ATTEMPTS = 500
# Bounds of a residual, so that no single attempt decides a verdict.
MIN_RESIDUAL = -1.0
MAX_RESIDUAL = 1.5
# Residual from which a pending attempt counts as slow.
OVERDUE_RESIDUAL = 1.2
# Lower bound of the variance, so that a very uniform route does not give
# too much weight to small differences.
MIN_VARIANCE = 0.12
INITIAL_VARIANCE = 0.5
# Shorter times are measured as this, since 0 has no logarithm.
MIN_ELAPSED_MS = 0.1


BaselineKey: TypeAlias = tuple[RouteId | ServiceId, ZoneId]


class RequestClass(NamedTuple):
    """Properties of a request, besides its target, that set its latency."""

    service_id: ServiceId
    route_id: RouteId
    zone_id: ZoneId

    @property
    def keys(self) -> tuple[BaselineKey, BaselineKey]:
        """Return the keys of its baselines, the more specific first."""
        return (self.route_id, self.zone_id), (self.service_id, self.zone_id)


@dataclasses.dataclass(kw_only=True, slots=True)
class Baseline:
    """Running mean and variance of the logarithm of the latency."""

    mean: float = 0
    variance: float = INITIAL_VARIANCE
    attempts: int = 0

    def update(self, log_ms: float) -> None:
        """Add the logarithm of one latency in milliseconds."""
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
    """Difference between the latency of an attempt and its baseline.

    `shift` is a difference of natural logarithms; `weight` is the inverse
    of the variance of a single attempt, 0 while there is no baseline.
    """

    shift: float
    weight: float


# Residual of an attempt without a latency or a baseline to compare.
NO_RESIDUAL = Residual(shift=0, weight=0)


class Baselines:
    """Latency baselines of each route and service, by target zone.

    A route with too few attempts is compared with its whole service.
    """

    def __init__(self) -> None:
        """Start without baselines."""
        self._baselines_by_key: dict[BaselineKey, Baseline] = {}

    def compare(
        self, request_class: RequestClass, *, elapsed_ms: float
    ) -> Residual:
        """Compare the latency of an attempt with its baseline.

        `elapsed_ms` is scaled to the speed of the newest hardware.
        """
        return _residual(self._find(request_class), _logarithm(elapsed_ms))

    def update(self, request_class: RequestClass, *, elapsed_ms: float) -> None:
        """Add the latency of a complete answer to its baselines."""
        for key in request_class.keys:
            baseline = self._baselines_by_key.setdefault(key, Baseline())
            baseline.update(_logarithm(elapsed_ms))

    def overdue_ms(self, request_class: RequestClass) -> float:
        """Return the age in ms from which a pending attempt counts as slow."""
        baseline = self._find(request_class)
        if baseline is None:
            return math.inf
        return math.exp(baseline.mean + OVERDUE_RESIDUAL)

    def _find(self, request_class: RequestClass) -> Baseline | None:
        """Return the most specific baseline with enough attempts, if any."""
        for key in request_class.keys:
            baseline = self._baselines_by_key.get(key)
            if baseline is not None and baseline.attempts >= MIN_ATTEMPTS:
                return baseline
        return None


def _logarithm(elapsed_ms: float) -> float:
    return math.log(max(elapsed_ms, MIN_ELAPSED_MS))


def clip_residual(residual: float) -> float:
    """Bound a residual, so that no single attempt decides a verdict."""
    return min(max(residual, MIN_RESIDUAL), MAX_RESIDUAL)


def _residual(baseline: Baseline | None, log_ms: float) -> Residual:
    if baseline is None:
        return NO_RESIDUAL
    return Residual(
        shift=clip_residual(log_ms - baseline.mean),
        weight=1 / max(baseline.variance, MIN_VARIANCE),
    )
