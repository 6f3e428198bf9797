"""Metrics of a host, compared with the list in `docs/metrics.md`."""

import pathlib
import re

from chicorybridge.hosts.metrics import COUNTERS, HostMetrics
from chicorybridge.tests.hosts.deployments import Origin, deployed, on_curio

PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'metrics.md'
ROW = re.compile(r'^\| `([a-z_]+)` \|', re.MULTILINE)
SERVED = re.compile('^# TYPE chicorybridge_([a-z_]+) ', re.MULTILINE)


@on_curio
async def test_page_lists_exactly_the_metrics_that_are_served():
    async with deployed(Origin(target_id='i-1')) as deployment:
        await deployment.send('/lookup/7')
        response = await deployment.get(deployment.settings.metrics, '/metrics')
    served = set(SERVED.findall(response.body.decode()))
    assert served == set(ROW.findall(PAGE.read_text()))


@on_curio
async def test_request_is_counted_and_timed():
    async with deployed(Origin(target_id='i-1')) as deployment:
        await deployment.send('/lookup/7')
        text = deployment.host.metrics.text().decode()
    assert 'chicorybridge_requests_total{status="200"} 1.0' in text
    assert 'chicorybridge_attempts_total{outcome="answered"} 1.0' in text
    assert 'service="quotes"' in text


def test_all_counters_are_exported_before_the_first_request():
    text = HostMetrics().text().decode()
    assert all(f'chicorybridge_{name}_total' in text for name in COUNTERS)
