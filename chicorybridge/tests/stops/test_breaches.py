"""Which promises a request broke, by what its caller and targets saw."""

import zlib
from types import MappingProxyType

import pytest

from chicorybridge.tests.stops.plans import Kind
from chicorybridge.tests.stops.records import (
    Ending,
    Record,
    RequestId,
    Span,
    Stop,
    Story,
    TargetRun,
    payload,
)
from chicorybridge.tests.stops.breaches import breaches

REQUEST_ID = RequestId('r')
BODY_CRC = zlib.crc32(payload(REQUEST_ID, 10))
ANSWER_CRC = zlib.crc32(payload(REQUEST_ID, 20))
RUN = TargetRun(target_id='i-1', began_at=11, body_crc=BODY_CRC, ended_at=11.4)
CUT_RUN = TargetRun(
    target_id='i-1', began_at=11, body_crc=BODY_CRC, ended_at=11.4, cut=True
)
LATE_RUN = TargetRun(
    target_id='i-1', began_at=11, body_crc=BODY_CRC, ended_at=15.5, cut=True
)
SERVED = MappingProxyType(
    {
        'ending': Ending.answered,
        'status': 200,
        'signed': True,
        'answered_id': REQUEST_ID,
        'answer_crc': ANSWER_CRC,
    }
)
REFUSED = MappingProxyType(
    {'ending': Ending.answered, 'status': 503, 'answered_id': REQUEST_ID}
)
FAILED = MappingProxyType({**REFUSED, 'status': 502})


def _record(*runs: TargetRun, **given) -> Record:
    story = Story(
        **{
            'request_id': REQUEST_ID,
            'kind': Kind.accept,
            'host': 0,
            'caller': 1,
            'reused': False,
            'body_bytes': 10,
            'answer_bytes': 20,
            'began_at': 11,
            'sent_at': 11,
            'ended_at': 11.5,
            **given,
        }
    )
    record = Record(grace_s=6, stories=[story])
    record.runs_by_id[REQUEST_ID].extend(runs)
    record.stops_by_host[0] = Stop(told_at=10, exited_at=15, status=0)
    return record


@pytest.mark.parametrize(
    ('runs', 'given', 'promise'),
    [
        ([RUN], {'ending': Ending.closed}, 'that was passed on is answered'),
        ([RUN], {'ending': Ending.cut}, 'that was passed on is answered'),
        ([RUN], {'ending': Ending.silent}, 'that was passed on is answered'),
        ([], {'ending': Ending.reset}, 'that was read is answered'),
        ([RUN, RUN], SERVED, 'runs at most once'),
        ([RUN], REFUSED, 'a refused request never runs'),
        ([CUT_RUN], FAILED, 'a target at work is not broken off'),
        ([], {**REFUSED, 'status': 404}, 'is not denied'),
        ([RUN], {**SERVED, 'answered_id': 'q'}, 'belongs to its request'),
        ([RUN], {**SERVED, 'answer_crc': 1}, 'an answer is whole'),
        ([RUN], {**SERVED, 'body_bytes': 9}, 'the body that was sent'),
    ],
)
def test_broken_promise_is_found(runs, given, promise):
    found = breaches(_record(*runs, **given))
    assert [promise in breach.promise for breach in found] == [True]


@pytest.mark.parametrize(
    ('runs', 'given'),
    [
        ([RUN], SERVED),
        ([RUN, RUN], {**SERVED, 'kind': Kind.lookup}),
        ([], REFUSED),
        # Crossed the close of the connection, or was not sent whole.
        ([], {'ending': Ending.reset, 'ended_at': 11.1}),
        ([RUN], {'ending': Ending.reset, 'sent_at': None}),
        # Still at work in the last part of the grace, or past its timeout.
        ([LATE_RUN], {'ending': Ending.reset, 'kind': Kind.slow}),
        ([RUN], {'ending': Ending.closed, 'ended_at': 12.9}),
    ],
)
def test_kept_promise_is_no_breach(runs, given):
    assert not breaches(_record(*runs, **given))


def test_request_that_waits_for_a_frozen_host_is_not_held():
    record = _record(ending=Ending.reset)
    record.pauses.append(Span(began_at=11, ended_at=11.4, host=0))
    assert not breaches(record)


@pytest.mark.parametrize(
    'stop',
    [
        Stop(told_at=10),
        Stop(told_at=10, exited_at=16.1, status=0),
        Stop(told_at=10, exited_at=11, status=1),
    ],
)
def test_host_that_does_not_end_well_is_found(stop):
    record = _record(RUN, **SERVED)
    record.stops_by_host[0] = stop
    assert len(breaches(record)) == 1
