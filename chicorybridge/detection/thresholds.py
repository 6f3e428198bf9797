"""How much evidence a verdict needs, by the sensitivity of a service."""

import dataclasses
import functools

# Natural logarithm of the odds that a verdict of gray must reach.
MOST_EVIDENCE = 16.0
LEAST_EVIDENCE = 5.0

# Shortest time between the first and the last piece of evidence.
LONGEST_SPAN_MS = 1500.0
SHORTEST_SPAN_MS = 100.0

# The same for latency: queues come and go, and good news travels more
# slowly than bad.
LONGEST_LATENCY_SPAN_MS = 2500.0
SHORTEST_LATENCY_SPAN_MS = 200.0

# Hosts that must agree, as far as there are as many.
MOST_HOSTS = 4
LEAST_HOSTS = 2

# Slowdown, as a logarithm, that still speaks for a target, and how much
# weight of latencies counts in a second: samples close together say the
# same.
LARGEST_SHIFT = 0.55
SMALLEST_SHIFT = 0.42
LEAST_WEIGHT = 20.0
MOST_WEIGHT = 40.0

# Time from an ejection to its first trial with real work.
LONGEST_REST_MS = 8000.0
SHORTEST_REST_MS = 5000.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Thresholds:
    """What a verdict needs: evidence in nats, a time span and hosts.

    `rest_ms` is the time to the first trial; `normal_shift` and
    `weight_per_second` say how latencies count.
    """

    evidence: float
    span_ms: float
    latency_span_ms: float
    hosts: int
    rest_ms: float
    normal_shift: float
    weight_per_second: float


def _between(*, low: float, high: float, share: float) -> float:
    return low + (high - low) * share


@functools.lru_cache(maxsize=1024)
def thresholds_of(sensitivity: float) -> Thresholds:
    """Return the thresholds for a sensitivity from 0 to 1."""
    caution = 1 - sensitivity
    return Thresholds(
        evidence=_between(
            low=LEAST_EVIDENCE, high=MOST_EVIDENCE, share=caution
        ),
        span_ms=_between(
            low=SHORTEST_SPAN_MS, high=LONGEST_SPAN_MS, share=caution
        ),
        latency_span_ms=_between(
            low=SHORTEST_LATENCY_SPAN_MS,
            high=LONGEST_LATENCY_SPAN_MS,
            share=caution,
        ),
        hosts=round(_between(low=LEAST_HOSTS, high=MOST_HOSTS, share=caution)),
        rest_ms=_between(
            low=LONGEST_REST_MS, high=SHORTEST_REST_MS, share=sensitivity
        ),
        normal_shift=_between(
            low=SMALLEST_SHIFT, high=LARGEST_SHIFT, share=caution
        ),
        weight_per_second=_between(
            low=MOST_WEIGHT, high=LEAST_WEIGHT, share=caution
        ),
    )
