"""Counters, ages and latencies of a host as text for the operators."""

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

from chicorybridge.common.meters import Meters
from chicorybridge.http.services import Request, Response, ServerConnection

QUANTILES = (0.5, 0.9, 0.99)
PERCENT = 100
MICROS_PER_SECOND = 1_000_000
METRICS_PATH = '/metrics'

# Names of counters with the label that tells their lines apart, and what
# they count; `docs/metrics.md` lists them.
COUNTERS: Mapping[str, tuple[str, str]] = MappingProxyType(
    {
        'requests': ('status', 'Requests answered, by status.'),
        'attempts': ('outcome', 'Attempts at targets, by how they ended.'),
        'refusals': ('code', 'Requests answered by the host itself, by error.'),
        'connections_ended': (
            'ending',
            'Connections of callers that the host ended, by why.',
        ),
        'log_lines_dropped': ('kind', 'Log lines above the rate, by kind.'),
    }
)


class Gauges(Protocol):
    """Return the gauges of a host by name."""

    def __call__(self) -> Mapping[str, float]:
        """Return the values as of now."""


class HostMetrics(Collector):
    """Count what requests came to, and tell it with ages and queues."""

    def __init__(self) -> None:
        """Start with nothing counted."""
        self._counts: Counter[tuple[str, str]] = Counter()
        self._meters = Meters()
        self._gauges: Gauges = dict
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def attach_gauges(self, gauges: Gauges) -> None:
        """Ask `gauges` at each scrape."""
        self._gauges = gauges

    def count(self, name: str, label: str, by: int = 1) -> None:
        """Add to a counter of `COUNTERS`."""
        self._counts[name, label] += by

    def record_latency(self, service_id: str, elapsed_ms: float) -> None:
        """Record how long a request of a service took."""
        self._meters.time(service_id, elapsed_ms)

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics, as the client library asks for them."""
        for name, (label, description) in COUNTERS.items():
            family = CounterMetricFamily(
                _metric_name(name), description, labels=[label]
            )
            for (counter, label_value), count in self._counts.items():
                if counter == name:
                    family.add_metric([label_value], count)
            yield family
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
    """Answer those who ask for the metrics."""

    def __init__(self, *, text: Callable[[], bytes]) -> None:
        """Ask `text` each time."""
        self._text = text

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer one call."""
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


def _metric_name(name: str) -> str:
    return f'chicorybridge_{name}'
