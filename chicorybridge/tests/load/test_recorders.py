"""Tests of recorded latencies."""

import pytest

from chicorybridge.load.callers import Call, CallOutcome
from chicorybridge.load.experiments import RequestKind
from chicorybridge.load.recorders import GroupRecorder


def _call(*outcomes):
    kind = RequestKind(name='read')
    return Call(key='', kind=kind, body_sha256='', outcomes=outcomes)


def test_latency_is_measured_from_the_due_time():
    """The lateness of the generator is included in the latency."""
    recorder = GroupRecorder(measured_from_ms=0)
    recorder.record(
        _call(CallOutcome.complete), due_ms=1000, started_ms=1400, ended_ms=1500
    )
    document = recorder.document()
    assert document['latency']['max_ms'] == pytest.approx(500, rel=0.01)
    assert document['lateness']['max_ms'] == pytest.approx(400, rel=0.01)


def test_warm_up_and_failures_are_excluded_from_latency():
    """Only complete answers after the warm-up count in the latency."""
    recorder = GroupRecorder(measured_from_ms=1000)
    complete, lost = _call(CallOutcome.complete), _call(CallOutcome.lost)
    repeated = _call(CallOutcome.lost, CallOutcome.complete)
    for due_ms, call in ((999, complete), (1000, lost), (2500, repeated)):
        recorder.record(
            call, due_ms=due_ms, started_ms=due_ms, ended_ms=due_ms + 10
        )
    document = recorder.document()
    assert document['outcomes'] == {'lost': 1, 'whole': 1}
    assert document['latency']['count'] == 1
    assert document['repeats'] == 1
    assert sorted(document['seconds']) == ['0', '1', '2']
