"""Evidence that a verdict needs, by the sensitivity of a service."""

import dataclasses
import functools

# Score that a verdict of gray needs: a natural logarithm of odds.
MAX_EVIDENCE_NATS = 16.0
MIN_EVIDENCE_NATS = 5.0

# Time over which evidence must persist before a verdict.
MAX_SPAN_MS = 1500.0
MIN_SPAN_MS = 100.0

# The same for latency. It is longer, because queues come and go and good
# answers are reported later than slow ones.
MAX_LATENCY_SPAN_MS = 2500.0
MIN_LATENCY_SPAN_MS = 200.0

# Number of hosts that must agree, if that many are live.
MAX_HOSTS = 4
MIN_HOSTS = 2

# Slowdown, as a difference of logarithms, that still counts as normal, and
# how much latency weight counts per second: samples that lie close together
# are correlated.
MAX_NORMAL_SHIFT = 0.55
MIN_NORMAL_SHIFT = 0.42
MIN_WEIGHT_PER_SECOND = 20.0
MAX_WEIGHT_PER_SECOND = 40.0

# Time from an ejection to its first trial with real requests.
MAX_TRIAL_DELAY_MS = 8000.0
MIN_TRIAL_DELAY_MS = 5000.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Thresholds:
    """Thresholds of a verdict: evidence, its time span, and hosts.

    `trial_delay_ms` is the time from ejection to first trial.
    `normal_shift` is the slowdown that counts as normal, as a difference of
    logarithms, and `weight_per_second` limits how fast latencies count.
    """

    evidence_nats: float
    span_ms: float
    latency_span_ms: float
    hosts: int
    trial_delay_ms: float
    normal_shift: float
    weight_per_second: float


def _interpolate(*, low: float, high: float, share: float) -> float:
    return low + (high - low) * share


@functools.lru_cache(maxsize=1024)
def thresholds_of(sensitivity: float) -> Thresholds:
    """Return the thresholds for a sensitivity from 0 to 1."""
    caution = 1 - sensitivity
    return Thresholds(
        evidence_nats=_interpolate(
            low=MIN_EVIDENCE_NATS, high=MAX_EVIDENCE_NATS, share=caution
        ),
        span_ms=_interpolate(low=MIN_SPAN_MS, high=MAX_SPAN_MS, share=caution),
        latency_span_ms=_interpolate(
            low=MIN_LATENCY_SPAN_MS,
            high=MAX_LATENCY_SPAN_MS,
            share=caution,
        ),
        hosts=round(_interpolate(low=MIN_HOSTS, high=MAX_HOSTS, share=caution)),
        trial_delay_ms=_interpolate(
            low=MAX_TRIAL_DELAY_MS, high=MIN_TRIAL_DELAY_MS, share=sensitivity
        ),
        normal_shift=_interpolate(
            low=MIN_NORMAL_SHIFT, high=MAX_NORMAL_SHIFT, share=caution
        ),
        weight_per_second=_interpolate(
            low=MAX_WEIGHT_PER_SECOND, high=MIN_WEIGHT_PER_SECOND, share=caution
        ),
    )
