"""Tests of the reports of an entry process."""

from types import SimpleNamespace
from typing import Any

import curio

from chicorybridge.common.clocks import ManualClock, Millis
from chicorybridge.common.errors import ErrorCode
from chicorybridge.entry.entry_messages import EntryReport, MetricsReport
from chicorybridge.entry.entry_reports import EntryReporter
from chicorybridge.entry.entry_states import EntryState
from chicorybridge.tests.event_logs import event_log
from chicorybridge.tests.fronts import OK, answering, open_front


def _reporter(clock, post) -> EntryReporter:
    return EntryReporter(
        entry_id='e',
        clock=clock,
        log=event_log(clock),
        state=EntryState(),
        post=post,
    )


def _dispatcher() -> Any:
    return SimpleNamespace(calls_by_number={})


async def test_refusals_of_a_tick_are_logged_as_one_event():
    """Refusals under overload must not flood the timeline."""
    clock = ManualClock()
    posted = []

    async def post(message):  # noqa: WPS430
        posted.append(message)
        return True

    reporter = _reporter(clock, post)
    for _ in range(1000):
        reporter.count_refusal(ErrorCode.overloaded)
    await reporter.report(
        _dispatcher(), connections=0, pending=0, now=clock.now()
    )
    records = reporter._log.recent()
    assert [record['count'] for record in records] == [1000]
    assert records[0]['event'] == 'request_refused'
    kinds = [type(message) for message in posted]
    assert kinds[0] is EntryReport
    metrics = posted[kinds.index(MetricsReport)]
    assert metrics.counts_by_name == {'refused_overloaded': 1000}


async def test_request_being_read_counts_as_in_flight():
    """A graceful shutdown must not abort a request that is still being read."""
    posted: list[Any] = []

    async def post(message):  # noqa: WPS430
        posted.append(message)
        return True

    reporter = _reporter(ManualClock(), post)
    async with open_front(answering(OK)) as front:
        sock = await front.connect()
        await sock.sendall(b'POST /quotes HTTP/1.1\r\nHost: h\r\n')
        await sock.sendall(b'Content-Length: 4\r\n\r\nha')
        await curio.sleep(0.05)
        await reporter.report(
            _dispatcher(),
            connections=1,
            pending=front.callers.pending_count,
            now=Millis(0),
        )
        await sock.close()
    assert posted[0].in_flight == 1
