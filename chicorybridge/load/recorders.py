"""Record latencies and outcomes of a group of callers during a run."""

import dataclasses
from collections import Counter
from types import MappingProxyType
from typing import Any

from hdrh.histogram import HdrHistogram

from chicorybridge.common.clocks import MILLIS_PER_SECOND
from chicorybridge.load.callers import Call, CallOutcome

MICROS_PER_MILLI = 1000
MIN_MICROS = 1
MAX_MICROS = 600_000_000
# Significant digits in histograms; decimal digits of the mean.
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
    """Return an empty histogram of durations in microseconds."""
    return HdrHistogram(MIN_MICROS, MAX_MICROS, DIGITS)


def record_ms(histogram: HdrHistogram, elapsed_ms: float) -> None:
    """Add a duration to a histogram of microseconds."""
    micros = round(elapsed_ms * MICROS_PER_MILLI)
    histogram.record_value(min(max(micros, MIN_MICROS), MAX_MICROS))


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
class SecondRecord:
    """Latencies and outcomes of the requests that were due in one second."""

    latencies_ms: list[float] = dataclasses.field(default_factory=list)
    outcomes: Counter[str] = dataclasses.field(default_factory=Counter)

    def document(self) -> dict[str, Any]:
        """Return percentiles, mean, count and outcomes as JSON values."""
        latency = make_histogram()
        for elapsed_ms in self.latencies_ms:
            record_ms(latency, elapsed_ms)
        return summarise(latency) | {'outcomes': dict(self.outcomes)}


class GroupRecorder:
    """Record the calls of one group.

    Latency is measured from the time when a request was due, so that it
    includes the wait behind a slow generator or fleet (no coordinated
    omission). Calls without a complete answer count in the outcomes only.
    """

    def __init__(self, *, measured_from_ms: float) -> None:
        """Start empty.

        Requests due before `measured_from_ms` of the run count only in
        the record of their second.
        """
        self._measured_from_ms = measured_from_ms
        self._latency = make_histogram()
        self._lateness = make_histogram()
        self._outcomes: Counter[str] = Counter()
        self._repeats = 0
        self._seconds: dict[int, SecondRecord] = {}
        self.calls: list[Call] = []

    @property
    def count(self) -> int:
        """Return the number of measured calls."""
        return self._outcomes.total()

    def record(
        self, call: Call, *, due_ms: float, started_ms: float, ended_ms: float
    ) -> None:
        """Add a finished call; times are relative to the start of the run."""
        if call.key or call.body_sha256:
            self.calls.append(call)
        outcome = call.outcome.value
        second = self._seconds.setdefault(
            int(due_ms / MILLIS_PER_SECOND), SecondRecord()
        )
        second.outcomes[outcome] += 1
        is_complete = call.outcome is CallOutcome.complete
        if is_complete:
            second.latencies_ms.append(ended_ms - due_ms)
        if due_ms < self._measured_from_ms:
            return
        self._outcomes[outcome] += 1
        self._repeats += len(call.outcomes) - 1
        record_ms(self._lateness, started_ms - due_ms)
        if is_complete:
            record_ms(self._latency, ended_ms - due_ms)

    def document(self) -> dict[str, Any]:
        """Return all records as JSON values."""
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
