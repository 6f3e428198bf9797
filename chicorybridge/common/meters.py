"""Counts and latency histograms of one process."""

from collections import Counter
from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

from chicorybridge import settings

# Histograms hold microseconds.
MICROS_PER_MILLI = 1000

PERCENTILES = (50, 90, 99)


class Meters:
    """Counts and histograms by name, summed since the start."""

    def __init__(self) -> None:
        """Start without counts and histograms."""
        self.counts_by_name: Counter[str] = Counter()
        self._histograms_by_name: dict[str, HdrHistogram] = {}

    def count(self, name: str) -> None:
        """Add one to the count `name`."""
        self.counts_by_name[name] += 1

    def record_duration(self, name: str, elapsed_ms: float) -> None:
        """Record a duration in the histogram `name`."""
        histogram = self._histograms_by_name.get(name)
        if histogram is None:
            histogram = new_histogram()
            self._histograms_by_name[name] = histogram
        histogram.record_value(max(1, int(elapsed_ms * MICROS_PER_MILLI)))

    def histograms(self) -> Iterable[tuple[str, HdrHistogram]]:
        """Return pairs of the name and the histogram."""
        return self._histograms_by_name.items()

    def encode_histograms(self) -> dict[str, bytes]:
        """Return the encoded histograms by name."""
        return {
            name: histogram.encode()
            for name, histogram in self._histograms_by_name.items()
        }


def new_histogram() -> HdrHistogram:
    """Return an empty histogram for durations from 1 µs to an hour."""
    return HdrHistogram(
        1, settings.HISTOGRAM_MAX_MICROS, settings.HISTOGRAM_SIGNIFICANT_DIGITS
    )


def merge_histograms(encoded: Iterable[bytes]) -> HdrHistogram:
    """Return the sum of encoded histograms."""
    merged = new_histogram()
    for body in encoded:
        merged.decode_and_add(body)
    return merged


def summarise(histogram: HdrHistogram) -> dict[str, float]:
    """Return the count, and percentiles and the maximum in milliseconds."""
    summary: dict[str, float] = {'count': histogram.get_total_count()}
    for percentile in PERCENTILES:
        micros = histogram.get_value_at_percentile(percentile)
        summary[f'p{percentile}_ms'] = micros / MICROS_PER_MILLI
    summary['max_ms'] = histogram.get_max_value() / MICROS_PER_MILLI
    return summary
