"""Latency of each target relative to what its routes usually take."""

import math

from chicorybridge import settings
from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import MILLIS_PER_SECOND, Millis
from chicorybridge.common.identities import RouteId, TargetId

# Bounds of one sample, so that a single odd request does not decide.
SAMPLE_LEAST = 0.1
SAMPLE_MOST = 20.0

FAILED_OUTCOMES = frozenset(
    (
        AttemptOutcome.failed,
        AttemptOutcome.unreachable,
        AttemptOutcome.cut,
        AttemptOutcome.timed_out,
    )
)


class RouteLatency:
    """Track the median latency of one route on hardware of speed 1.

    `usual` follows within some fifty samples. `baseline` moves by at
    most `BASELINE_STEP_PER_SECOND`, so that it keeps what was usual before
    an overload.
    """

    __slots__ = ('usual', 'baseline', '_samples', '_moved_at')

    def __init__(self, *, first: float, now: Millis) -> None:
        """Start at the first sample, in milliseconds."""
        self.usual = first
        self.baseline = first
        self._samples = 1
        self._moved_at = now

    def add(self, sample: float, *, now: Millis) -> None:
        """Take in the latency of an attempt, scaled to speed 1."""
        self._samples += 1
        step = max(settings.USUAL_LATENCY_STEP, 1 / self._samples)
        self.usual = _toward(sample, self.usual, step)
        if self._samples <= settings.BASELINE_INITIAL_SAMPLES:
            self.baseline = self.usual
        else:
            elapsed = min(now - self._moved_at, MILLIS_PER_SECOND)
            step = (
                settings.BASELINE_STEP_PER_SECOND * elapsed / MILLIS_PER_SECOND
            )
            self.baseline = _toward(sample, self.baseline, step)
        self._moved_at = now


class TargetLatency:
    """Fading mean of the relative latency of one target.

    `prior` is what it is without samples: the inverse of its speed. The
    mean fades back to it, so that a target that was slow is tried again.
    """

    __slots__ = ('prior', '_mean', '_sampled_at')

    def __init__(self, *, prior: float) -> None:
        """Start at the prior."""
        self.prior = prior
        self._mean = prior
        self._sampled_at = Millis(0)

    def add(self, sample: float, *, now: Millis) -> None:
        """Take in one relative latency."""
        before = self.mean(now=now)
        share = settings.LATENCY_SAMPLE_WEIGHT
        if sample > before:
            share = settings.LATENCY_RISE_WEIGHT
        self._mean = before + share * (sample - before)
        self._sampled_at = now

    def mean(self, *, now: Millis) -> float:
        """Return the relative latency expected at `now`."""
        elapsed = now - self._sampled_at
        if elapsed < settings.LATENCY_DECAY_STEP_MS:
            return self._mean
        kept = math.exp(-elapsed / settings.LATENCY_DECAY_MS)
        return self.prior + (self._mean - self.prior) * kept


class LatencyTable:
    """Relative latencies of all targets of a process."""

    def __init__(self) -> None:
        """Start without targets."""
        self._latencies_by_route: dict[RouteId, RouteLatency] = {}
        self._latencies_by_target: dict[TargetId, TargetLatency] = {}

    def set_speeds(self, speeds_by_target: dict[TargetId, float]) -> None:
        """Take over which targets exist; what is known of them stays."""
        latencies = {}
        for target_id, speed in speeds_by_target.items():
            prior = 1 / speed
            known = self._latencies_by_target.get(target_id)
            if known is None or known.prior != prior:
                known = TargetLatency(prior=prior)
            latencies[target_id] = known
        self._latencies_by_target = latencies

    def add(self, attempt: Attempt, *, now: Millis) -> float | None:
        """Take in an attempt and return its slowness.

        Slowness is the latency as a multiple of what the route took on
        this hardware before any overload, `None` where there is none.
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
        relative = scaled / route.usual * latency.prior
        latency.add(min(max(relative, SAMPLE_LEAST), SAMPLE_MOST), now=now)
        slowness = scaled / route.baseline
        route.add(scaled, now=now)
        return slowness


def _latency_of(attempt: Attempt) -> float:
    if attempt.first_byte_ms is None:
        return attempt.elapsed_ms
    return attempt.first_byte_ms


def _toward(sample: float, before: float, step: float) -> float:
    """Move by a fixed share, so that outliers weigh as any other sample."""
    if sample > before:
        return before * (1 + step)
    if sample < before:
        return before * (1 - step)
    return before
