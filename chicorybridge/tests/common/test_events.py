"""Events and their documentation."""

import pathlib
import re

from chicorybridge.common.clocks import ManualClock
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.common.identities import HostId, Incarnation

PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'events.md'
ROW = re.compile(r'^\| (\d+) \| (\w+) \|', re.MULTILINE)


def test_page_lists_exactly_the_events_of_the_code():
    """docs/events.md lists each event with its number."""
    listed = {
        (int(number), name) for number, name in ROW.findall(PAGE.read_text())
    }
    assert listed == {(kind.value, kind.name) for kind in EventKind}


def test_logical_time_exceeds_that_of_received_messages():
    """An event gets a later Lamport time than the messages before it."""
    log = EventLog(
        clock=ManualClock(),
        host_id=HostId('host-1'),
        process='control',
        incarnation=Incarnation(1),
    )
    log.advance_logical_time(logical_time=7)
    log.emit(Event(kind=EventKind.process_started))
    assert log.recent()[0]['logical_time'] == 8
