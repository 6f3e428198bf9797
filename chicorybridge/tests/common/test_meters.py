"""Metrics and their documentation."""

import pathlib
import re

from chicorybridge.common.attempts import AttemptOutcome
from chicorybridge.common.meters import Meters, merge_histograms, summarise

PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'metrics.md'
ROW = re.compile(r'^\| (attempts_\w+) \| count \|', re.MULTILINE)


def test_histograms_of_two_processes_are_summed():
    """The percentiles are those of the durations of both processes."""
    first, second = Meters(), Meters()
    for _ in range(90):
        first.record_duration('request', 1)
    for _ in range(10):
        second.record_duration('request', 100)
    merged = merge_histograms(
        meters.encode_histograms()['request'] for meters in (first, second)
    )
    summary = summarise(merged)
    assert summary['count'] == 100
    assert round(summary['p50_ms']) == 1
    assert 95 < summary['p99_ms'] < 105


def test_page_lists_a_count_for_every_outcome():
    """docs/metrics.md lists a count for each outcome of attempts."""
    expected = {f'attempts_{outcome.name}' for outcome in AttemptOutcome}
    assert set(ROW.findall(PAGE.read_text())) == expected
