"""Latencies and outcomes of a group of callers, while a run goes on."""

import dataclasses
from collections import Counter
from types import MappingProxyType
from typing import Any

from hdrh.histogram import HdrHistogram

from chicorybridge.common.clocks import MILLIS_PER_SECOND
from chicorybridge.load.callers import Call, CallOutcome

MICROS_PER_MILLI = 1000
LOWEST_MICROS = 1
HIGHEST_MICROS = 600_000_000
DIGITS = 3

PERCENTILES_BY_NAME = MappingProxyType(
    {
        'p50_ms': 50.0,
        'p90_ms': 90.0,
        'p99_ms': 99.0,
        'p99.9_ms': 99.9,
        'max_ms': 100.0,
    }
)


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_MICROS, HIGHEST_MICROS, DIGITS)


def record_ms(histogram: HdrHistogram, elapsed_ms: float) -> None:
    """Add a duration to a histogram of microseconds."""
    micros = round(elapsed_ms * MICROS_PER_MILLI)
    histogram.record_value(min(max(micros, LOWEST_MICROS), HIGHEST_MICROS))


def summarise(histogram: HdrHistogram) -> dict[str, float]:
    """Return percentiles, mean and count; durations in milliseconds."""
    summary: dict[str, float] = {
        name: histogram.get_value_at_percentile(percentile) / MICROS_PER_MILLI
        for name, percentile in PERCENTILES_BY_NAME.items()
    }
    mean_ms = histogram.get_mean_value() / MICROS_PER_MILLI
    summary['mean_ms'] = round(mean_ms, DIGITS)
    summary['count'] = histogram.get_total_count()
    return summary


@dataclasses.dataclass(kw_only=True)
class Second:
    """What happened to the requests that were due in one second."""

    latencies_ms: list[float] = dataclasses.field(default_factory=list)
    outcomes: Counter[str] = dataclasses.field(default_factory=Counter)

    def document(self) -> dict[str, Any]:
        """Return the second as JSON values."""
        latency = make_histogram()
        for elapsed_ms in self.latencies_ms:
            record_ms(latency, elapsed_ms)
        return summarise(latency) | {'outcomes': dict(self.outcomes)}


class GroupRecorder:
    """Record the calls of one group.

    Latency runs from the time when a request was due, so that a
    generator or a fleet that falls behind does not hide what its callers
    would have waited. Failed calls count in the outcomes only.
    """

    def __init__(self, *, measured_from_ms: float) -> None:
        """Leave out what was due before `measured_from_ms`."""
        self._measured_from_ms = measured_from_ms
        self._latency = make_histogram()
        self._lateness = make_histogram()
        self._outcomes: Counter[str] = Counter()
        self._repeats = 0
        self._seconds: dict[int, Second] = {}
        self.calls: list[Call] = []

    @property
    def count(self) -> int:
        """Return how many calls were measured."""
        return self._outcomes.total()

    def record(
        self, call: Call, *, due_ms: float, begun_ms: float, ended_ms: float
    ) -> None:
        """Add a finished call; times run from the start of the run."""
        if call.key or call.body_sha256:
            self.calls.append(call)
        outcome = call.outcome.value
        second = self._seconds.setdefault(
            int(due_ms / MILLIS_PER_SECOND), Second()
        )
        second.outcomes[outcome] += 1
        whole = call.outcome is CallOutcome.whole
        if whole:
            second.latencies_ms.append(ended_ms - due_ms)
        if due_ms < self._measured_from_ms:
            return
        self._outcomes[outcome] += 1
        self._repeats += len(call.outcomes) - 1
        record_ms(self._lateness, begun_ms - due_ms)
        if whole:
            record_ms(self._latency, ended_ms - due_ms)

    def document(self) -> dict[str, Any]:
        """Return all that was recorded as JSON values."""
        return {
            'latency': summarise(self._latency),
            'lateness': summarise(self._lateness),
            'outcomes': dict(self._outcomes),
            'repeats': self._repeats,
            'histogram': self._latency.encode().decode(),
            'seconds': {
                str(number): second.document()
                for number, second in sorted(self._seconds.items())
            },
        }
