"""Metrics of a host in the Prometheus exposition format."""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Protocol

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from chicorybridge.common.attempts import Attempt
from chicorybridge.common.identities import ZoneId
from chicorybridge.common.meters import Meters
from chicorybridge.fleet.far_bytes import FarBytes
from chicorybridge.entry.refusals import EarlyRefusal
from chicorybridge.http.servers import Request, Response, ServerConnection

QUANTILES = (0.5, 0.9, 0.99)
PERCENT = 100
MICROS_PER_SECOND = 1_000_000
METRICS_PATH = '/metrics'

# Label and description of each counter by name; `docs/metrics.md` lists
# them.
COUNTERS: Mapping[str, tuple[str, str]] = MappingProxyType(
    {
        'requests': ('status', 'Requests answered, by status.'),
        'attempts': ('outcome', 'Attempts at targets, by how they ended.'),
        'refusals': ('code', 'Requests answered by the host itself, by error.'),
        'connections_ended': (
            'ending',
            'Connections of callers that the host ended, by why.',
        ),
        'memory_evictions': (
            'kind',
            'Requests and connections ended for lack of memory, by kind.',
        ),
        'address_answers': (
            'scope',
            'Answers of the address directory, by whose hosts they name.',
        ),
        'early_refusals': ('rank', 'Requests refused early, by their rank.'),
        'early_refusals_admitting': (
            'admitted',
            'Requests refused early, by the least urgent rank admitted.',
        ),
        'early_refusal_work_ms': (
            'rank',
            'Sum of the work ahead of requests refused early, by rank.',
        ),
        'early_refusal_age_ms': (
            'rank',
            'Sum of the ages of the inputs of early refusals, by rank.',
        ),
        'log_lines_dropped': ('kind', 'Log lines above the rate, by kind.'),
    }
)


class Gauges(Protocol):
    """Callable that returns the gauges of a host."""

    def __call__(self) -> Mapping[str, float]:
        """Return the current values by name."""


class HostMetrics(Collector):
    """Count outcomes of requests and collect gauges and latencies."""

    def __init__(self) -> None:
        """Start with all counters at 0 and no gauges."""
        self._counts: Counter[tuple[str, str]] = Counter()
        self._meters = Meters()
        self._gauges: Gauges = dict
        # Counts the bytes sent to other zones and regions, if set.
        self.far_bytes: FarBytes | None = None
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def attach_gauges(self, gauges: Gauges) -> None:
        """Export the values that `gauges` returns at each scrape."""
        self._gauges = gauges

    def count(self, name: str, label: str, by: int = 1) -> None:
        """Add `by` to the counter `name` for a value of its label."""
        self._counts[name, label] += by

    def count_early_refusal(self, early: EarlyRefusal) -> None:
        """Count a request that was refused early, and what decided it."""
        self.count('early_refusals', early.rank)
        self.count('early_refusals_admitting', early.admitted)
        self.count('early_refusal_work_ms', early.rank, early.work_ahead_ms)
        self.count('early_refusal_age_ms', early.rank, early.inputs_age_ms)

    def record_exchange(self, zone_id: ZoneId, attempt: Attempt) -> None:
        """Count the bytes of an attempt at a target in a zone."""
        if self.far_bytes is not None:
            self.far_bytes.add_exchange(
                zone_id,
                sent_bytes=attempt.sent_bytes,
                received_bytes=attempt.received_bytes,
            )

    def record_latency(self, service_id: str, elapsed_ms: float) -> None:
        """Record how long a request of a service took."""
        self._meters.record_duration(service_id, elapsed_ms)

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics; called by the Prometheus client at each scrape."""
        for name, (label, description) in COUNTERS.items():
            family = CounterMetricFamily(
                _metric_name(name), description, labels=[label]
            )
            for (counter, label_value), count in self._counts.items():
                if counter == name:
                    family.add_metric([label_value], count)
            yield family
        if self.far_bytes is not None:
            yield _far_bytes_metric(self.far_bytes)
        for name, gauge in self._gauges().items():
            yield GaugeMetricFamily(_metric_name(name), name, value=gauge)
        yield from self._latency_metrics()

    def text(self) -> bytes:
        """Return the metrics in the exposition format."""
        return generate_latest(self._registry)

    def _latency_metrics(self) -> Iterator[Metric]:
        family = GaugeMetricFamily(
            _metric_name('request_seconds'),
            'Latency of requests by quantile.',
            labels=['service', 'quantile'],
        )
        for service_id, histogram in self._meters.histograms():
            for quantile in QUANTILES:
                micros = histogram.get_value_at_percentile(quantile * PERCENT)
                family.add_metric(
                    [service_id, str(quantile)], micros / MICROS_PER_SECOND
                )
        yield family


class MetricsEndpoint:
    """Serve the metrics."""

    def __init__(self, *, text: Callable[[], bytes]) -> None:
        """Serve what `text` returns at each request."""
        self._text = text

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer one request."""
        await connection.read_body()
        if request.path != METRICS_PATH:
            await connection.respond(Response(status=HTTPStatus.NOT_FOUND))
            return
        response = Response(
            status=HTTPStatus.OK,
            headers_by_name={'Content-Type': 'text/plain; version=0.0.4'},
            body=self._text(),
        )
        await connection.respond(response)


def _far_bytes_metric(far_bytes: FarBytes) -> Metric:
    family = CounterMetricFamily(
        _metric_name('far_bytes'),
        'Bytes sent to other zones and regions, by content.',
        labels=['scope', 'content'],
    )
    for labels, count in far_bytes.by_scope_and_content.items():
        family.add_metric(labels, count)
    return family


def _metric_name(name: str) -> str:
    return f'chicorybridge_{name}'
