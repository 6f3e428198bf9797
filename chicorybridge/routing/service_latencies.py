"""Latencies of recent answers by service, from all hosts that report them."""

import bisect
import dataclasses
import statistics
from collections import deque
from collections.abc import Sequence

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import ServiceId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LatencySummary:
    """Latencies of recent answers of a service, in ms, computed at `at`.

    `mean_ms` is 0 without answers within `LATENCY_WINDOW_MS`. `ordered_ms`
    is in ascending order; it may go further back if there were few answers.
    """

    at: Millis
    mean_ms: float
    ordered_ms: Sequence[float]

    def quantile_ms(self, share: float) -> float | None:
        """Return the latency that `share` of the answers do not exceed.

        `None` if there were too few answers to tell.
        """
        count = len(self.ordered_ms)
        if count < settings.MIN_QUANTILE_SAMPLES:
            return None
        return self.ordered_ms[min(count - 1, int(share * count))]

    def share_above(self, latency_ms: float) -> float:
        """Return the share of answers that take longer, 1 if unknown.

        Never less than the share of sound targets' answers that stall.
        """
        count = len(self.ordered_ms)
        if count < settings.MIN_QUANTILE_SAMPLES:
            return 1
        above = count - bisect.bisect_right(self.ordered_ms, latency_ms)
        return max(settings.SOUND_STALLED_SHARE, above / count)


class ServiceLatencies:
    """Latencies of the last answers of one service."""

    def __init__(self) -> None:
        """Start without answers."""
        self._samples: deque[tuple[Millis, float]] = deque(
            maxlen=settings.MAX_LATENCY_SAMPLES
        )
        self._summary: LatencySummary | None = None

    def add(self, latency_ms: float, *, now: Millis) -> None:
        """Add the latency of an answer."""
        self._samples.append((now, latency_ms))

    def summary(self, *, now: Millis) -> LatencySummary:
        """Return the summary, which may be `LATENCY_SUMMARY_TTL_MS` old."""
        cached = self._summary
        if (
            cached is not None
            and now - cached.at < settings.LATENCY_SUMMARY_TTL_MS
        ):
            return cached
        summary = self._summarize(now)
        self._summary = summary
        return summary

    def _summarize(self, now: Millis) -> LatencySummary:
        while (
            self._samples
            and now - self._samples[0][0] > settings.LATENCY_HISTORY_MS
        ):
            self._samples.popleft()
        all_ms = [latency_ms for _, latency_ms in self._samples]
        recent_ms = [
            latency_ms
            for at, latency_ms in self._samples
            if now - at <= settings.LATENCY_WINDOW_MS
        ]
        count = max(len(recent_ms), settings.MIN_LATENCY_SAMPLES)
        return LatencySummary(
            at=now,
            mean_ms=statistics.fmean(recent_ms) if recent_ms else 0,
            ordered_ms=sorted(all_ms[-count:]),
        )


class LatencyTable:
    """Latencies of all services; each host keeps one."""

    def __init__(self) -> None:
        """Start without answers."""
        self._latencies_by_id: dict[ServiceId, ServiceLatencies] = {}

    def of(self, service_id: ServiceId) -> ServiceLatencies:
        """Return the latencies of a service, created on first use."""
        latencies = self._latencies_by_id.get(service_id)
        if latencies is None:
            latencies = ServiceLatencies()
            self._latencies_by_id[service_id] = latencies
        return latencies
