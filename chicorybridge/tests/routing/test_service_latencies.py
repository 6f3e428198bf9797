"""Mean and quantiles of the latencies of a service."""

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.routing.service_latencies import ServiceLatencies

START = Millis(1000)


def _after(elapsed_ms: float) -> Millis:
    return Millis(START + elapsed_ms)


def test_mean_is_of_the_window_only():
    latencies = ServiceLatencies()
    for _ in range(6):
        latencies.add(500, now=START)
    assert latencies.summary(now=START).mean_ms == 500
    later = _after(settings.LATENCY_WINDOW_MS + 1)
    assert latencies.summary(now=later).mean_ms == 0


def test_quantiles_of_a_quiet_service_go_further_back():
    latencies = ServiceLatencies()
    for latency_ms in range(20):
        latencies.add(latency_ms, now=START)
    later = _after(settings.LATENCY_WINDOW_MS + 1)
    summary = latencies.summary(now=later)
    assert summary.quantile_ms(0.5) == 10
    assert summary.quantile_ms(1) == 19
    much_later = _after(settings.LATENCY_HISTORY_MS + 1)
    assert latencies.summary(now=much_later).quantile_ms(0.5) is None


def test_quantiles_of_a_busy_service_follow_its_last_answers():
    latencies = ServiceLatencies()
    for _ in range(settings.MAX_LATENCY_SAMPLES):
        latencies.add(10, now=START)
    now = _after(settings.LATENCY_WINDOW_MS + 1)
    for _ in range(settings.MIN_LATENCY_SAMPLES):
        latencies.add(100, now=now)
    assert latencies.summary(now=now).quantile_ms(0) == 100


def test_few_answers_give_no_quantile():
    latencies = ServiceLatencies()
    for _ in range(settings.MIN_QUANTILE_SAMPLES - 1):
        latencies.add(10, now=START)
    assert latencies.summary(now=START).quantile_ms(0.5) is None
