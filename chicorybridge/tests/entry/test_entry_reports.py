"""Tests of what an entry process reports each tick."""

from types import SimpleNamespace
from typing import Any

from chicorybridge.common.clocks import ManualClock
from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.events import EventLog
from chicorybridge.common.identities import HostId, Incarnation
from chicorybridge.entry.entry_messages import EntryReport, MetricsReport
from chicorybridge.entry.entry_reports import EntryReporter
from chicorybridge.entry.entry_states import EntryState


async def test_refusals_of_a_tick_are_one_event_and_are_counted():
    """An overload does not flood the time line."""
    clock = ManualClock()
    log = EventLog(
        clock=clock,
        host_id=HostId('host-1'),
        process='entry',
        incarnation=Incarnation(1),
    )
    posted = []

    async def post(message):  # noqa: WPS430
        posted.append(message)
        return True

    reporter = EntryReporter(
        entry_id='e', clock=clock, log=log, state=EntryState(), post=post
    )
    for _ in range(1000):
        reporter.count_refusal(ErrorCode.overloaded)
    dispatcher: Any = SimpleNamespace(calls_by_number={})
    await reporter.report(dispatcher, connections=0, now=clock.now())
    records = log.recent()
    assert [record['count'] for record in records] == [1000]
    assert records[0]['event'] == 'request_refused'
    kinds = [type(message) for message in posted]
    assert kinds[0] is EntryReport
    metrics = posted[kinds.index(MetricsReport)]
    assert metrics.counts_by_name == {'refused_overloaded': 1000}
