"""Latency of each target relative to the median of its routes."""

import math

from chicorybridge import settings
from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import MILLIS_PER_SECOND, Millis
from chicorybridge.common.identities import RouteId, TargetId

# Limits of one relative sample, so that one outlier has little effect.
MIN_SAMPLE = 0.1
MAX_SAMPLE = 20.0

FAILED_OUTCOMES = frozenset(
    (
        AttemptOutcome.failed,
        AttemptOutcome.unreachable,
        AttemptOutcome.cut,
        AttemptOutcome.timed_out,
    )
)


class RouteLatency:
    """Estimate the median latency of one route on hardware of speed 1.

    `median` is the current estimate and follows a change within about 50
    samples. `baseline` moves by at most `BASELINE_STEP_PER_SECOND`, so that
    it keeps the value from before an overload. Both are in milliseconds.
    """

    __slots__ = ('median', 'baseline', '_samples', '_moved_at')

    def __init__(self, *, first: float, now: Millis) -> None:
        """Start at the first sample, in milliseconds."""
        self.median = first
        self.baseline = first
        self._samples = 1
        self._moved_at = now

    def add(self, sample: float, *, now: Millis) -> None:
        """Add the latency of an attempt in ms, scaled to speed 1."""
        self._samples += 1
        step = max(settings.USUAL_LATENCY_STEP, 1 / self._samples)
        self.median = _step_toward(sample, self.median, step)
        if self._samples <= settings.BASELINE_INITIAL_SAMPLES:
            self.baseline = self.median
        else:
            elapsed = min(now - self._moved_at, MILLIS_PER_SECOND)
            step = (
                settings.BASELINE_STEP_PER_SECOND * elapsed / MILLIS_PER_SECOND
            )
            self.baseline = _step_toward(sample, self.baseline, step)
        self._moved_at = now


class TargetLatency:
    """Moving average of the relative latency of one target.

    `prior` is the value without samples: the inverse of its speed. The
    average decays to it, so that a target that was slow is tried again.
    """

    __slots__ = ('prior', '_mean', '_sampled_at')

    def __init__(self, *, prior: float) -> None:
        """Start at the prior."""
        self.prior = prior
        self._mean = prior
        self._sampled_at = Millis(0)

    def add(self, sample: float, *, now: Millis) -> None:
        """Add one relative latency."""
        mean = self.mean(now=now)
        share = settings.LATENCY_SAMPLE_WEIGHT
        if sample > mean:
            share = settings.LATENCY_RISE_WEIGHT
        self._mean = mean + share * (sample - mean)
        self._sampled_at = now

    def mean(self, *, now: Millis) -> float:
        """Return the relative latency expected at `now`."""
        elapsed = now - self._sampled_at
        if elapsed < settings.LATENCY_DECAY_STEP_MS:
            return self._mean
        remaining = math.exp(-elapsed / settings.LATENCY_DECAY_MS)
        return self.prior + (self._mean - self.prior) * remaining


class LatencyTable:
    """Relative latencies of all targets of a process."""

    def __init__(self) -> None:
        """Start without targets."""
        self._latencies_by_route: dict[RouteId, RouteLatency] = {}
        self._latencies_by_target: dict[TargetId, TargetLatency] = {}

    def set_speeds(self, speeds_by_target: dict[TargetId, float]) -> None:
        """Replace the targets; those with the same speed keep their samples."""
        latencies = {}
        for target_id, speed in speeds_by_target.items():
            prior = 1 / speed
            latency = self._latencies_by_target.get(target_id)
            if latency is None or latency.prior != prior:
                latency = TargetLatency(prior=prior)
            latencies[target_id] = latency
        self._latencies_by_target = latencies

    def add(self, attempt: Attempt, *, now: Millis) -> float | None:
        """Add an attempt and return its slowness.

        Slowness is the latency as a multiple of the baseline latency of
        the route on this hardware, `None` without a successful answer.
        """
        latency = self._latencies_by_target.get(attempt.target_id)
        if latency is None:
            return None
        if attempt.outcome in FAILED_OUTCOMES:
            latency.add(
                settings.FAILURE_LATENCY_FACTOR * latency.prior, now=now
            )
            return None
        if attempt.outcome is not AttemptOutcome.answered:
            return None
        return self._add_answered(attempt, latency, now)

    def of(self, target_id: TargetId, *, now: Millis) -> float:
        """Return the relative latency of a target at `now`."""
        return self._latencies_by_target[target_id].mean(now=now)

    def _add_answered(
        self, attempt: Attempt, latency: TargetLatency, now: Millis
    ) -> float:
        scaled = max(_latency_of(attempt) / latency.prior, 1)
        route = self._latencies_by_route.get(attempt.route_id)
        if route is None:
            route = RouteLatency(first=scaled, now=now)
            self._latencies_by_route[attempt.route_id] = route
        relative = scaled / route.median * latency.prior
        latency.add(min(max(relative, MIN_SAMPLE), MAX_SAMPLE), now=now)
        slowness = scaled / route.baseline
        route.add(scaled, now=now)
        return slowness


def _latency_of(attempt: Attempt) -> float:
    if attempt.first_byte_ms is None:
        return attempt.elapsed_ms
    return attempt.first_byte_ms


def _step_toward(sample: float, current: float, step: float) -> float:
    """Return `current`, changed by the share `step` towards `sample`.

    How far away `sample` is has no effect: an outlier counts like any other
    sample.
    """
    if sample > current:
        return current * (1 + step)
    if sample < current:
        return current * (1 - step)
    return current
