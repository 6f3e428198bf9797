"""Which promises are violated, from records of a caller and targets."""

import zlib
from types import MappingProxyType

import pytest

from chicorybridge.tests.stops.breaches import find_breaches
from chicorybridge.tests.stops.plans import RequestKind
from chicorybridge.tests.stops.records import (
    Exchange,
    Outcome,
    Pause,
    Record,
    RequestId,
    Stop,
    TargetRun,
    payload,
)

REQUEST_ID = RequestId('r')
BODY_CRC = zlib.crc32(payload(REQUEST_ID, 10))
ANSWER_CRC = zlib.crc32(payload(REQUEST_ID, 20))
RUN = TargetRun(
    target_id='i-1', started_at=11, body_crc=BODY_CRC, ended_at=11.4
)
ABORTED_RUN = TargetRun(
    target_id='i-1',
    started_at=11,
    body_crc=BODY_CRC,
    ended_at=11.4,
    aborted=True,
)
LATE_RUN = TargetRun(
    target_id='i-1',
    started_at=11,
    body_crc=BODY_CRC,
    ended_at=15.5,
    aborted=True,
)
SERVED = MappingProxyType(
    {
        'outcome': Outcome.answered,
        'status': 200,
        'from_target': True,
        'answer_id': REQUEST_ID,
        'answer_crc': ANSWER_CRC,
    }
)
REFUSED = MappingProxyType(
    {'outcome': Outcome.answered, 'status': 503, 'answer_id': REQUEST_ID}
)
BAD_GATEWAY = MappingProxyType({**REFUSED, 'status': 502})


def _record(*runs: TargetRun, **fields) -> Record:
    exchange = Exchange(
        **{
            'request_id': REQUEST_ID,
            'kind': RequestKind.accept,
            'host': 0,
            'caller': 1,
            'reused': False,
            'body_bytes': 10,
            'answer_bytes': 20,
            'started_at': 11,
            'sent_at': 11,
            'ended_at': 11.5,
            **fields,
        }
    )
    record = Record(grace_s=6, exchanges=[exchange])
    record.runs_by_request_id[REQUEST_ID].extend(runs)
    record.stops_by_host[0] = Stop(signalled_at=10, exited_at=15, exit_status=0)
    return record


@pytest.mark.parametrize(
    ('runs', 'fields', 'promise'),
    [
        ([RUN], {'outcome': Outcome.closed}, 'forwarded request is answered'),
        (
            [RUN],
            {'outcome': Outcome.truncated},
            'forwarded request is answered',
        ),
        (
            [RUN],
            {'outcome': Outcome.timed_out},
            'forwarded request is answered',
        ),
        ([], {'outcome': Outcome.reset}, 'that the host read is answered'),
        ([RUN, RUN], SERVED, 'runs at most once'),
        ([RUN], REFUSED, 'a refused request never runs'),
        ([ABORTED_RUN], BAD_GATEWAY, 'a running request is not aborted'),
        ([], {**REFUSED, 'status': 404}, 'is not rejected as invalid'),
        ([RUN], {**SERVED, 'answer_id': 'q'}, 'belongs to its request'),
        (
            [RUN],
            {**SERVED, 'answer_crc': 1},
            'an answer of a target is complete',
        ),
        ([RUN], {**SERVED, 'body_bytes': 9}, 'the body that was sent'),
    ],
)
def test_violated_promise_is_reported(runs, fields, promise):
    found = find_breaches(_record(*runs, **fields))
    assert [promise in breach.promise for breach in found] == [True]


@pytest.mark.parametrize(
    ('runs', 'fields'),
    [
        ([RUN], SERVED),
        ([RUN, RUN], {**SERVED, 'kind': RequestKind.lookup}),
        ([], REFUSED),
        # The connection was reset soon after the request was sent, so the host
        # may not have read the request.
        ([], {'outcome': Outcome.reset, 'ended_at': 11.1}),
        # The request was not sent completely.
        ([RUN], {'outcome': Outcome.reset, 'sent_at': None}),
        # Runs in the last part of the grace period, or is past its timeout.
        ([LATE_RUN], {'outcome': Outcome.reset, 'kind': RequestKind.slow}),
        ([RUN], {'outcome': Outcome.closed, 'ended_at': 12.9}),
    ],
)
def test_kept_promise_is_not_reported(runs, fields):
    assert not find_breaches(_record(*runs, **fields))


def test_time_of_a_frozen_host_is_not_counted():
    record = _record(outcome=Outcome.reset)
    record.pauses.append(Pause(started_at=11, ended_at=11.4, host=0))
    assert not find_breaches(record)


@pytest.mark.parametrize(
    'stop',
    [
        Stop(signalled_at=10),
        Stop(signalled_at=10, exited_at=16.1, exit_status=0),
        Stop(signalled_at=10, exited_at=11, exit_status=1),
    ],
)
def test_host_with_a_wrong_exit_is_reported(stop):
    record = _record(RUN, **SERVED)
    record.stops_by_host[0] = stop
    assert len(find_breaches(record)) == 1
