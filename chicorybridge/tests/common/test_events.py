"""Tests of events and of their catalogue."""

import pathlib
import re

from chicorybridge.common.clocks import ManualClock
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.common.identities import HostId, Incarnation

CATALOGUE = pathlib.Path(__file__).parents[3] / 'docs' / 'events.md'
ROW = re.compile(r'^\| (\d+) \| (\w+) \|', re.MULTILINE)


def test_catalogue_lists_every_event_and_no_other():
    """The page and the code name the same events."""
    listed = {
        (int(number), name)
        for number, name in ROW.findall(CATALOGUE.read_text())
    }
    assert listed == {(kind.value, kind.name) for kind in EventKind}


def test_logical_time_follows_messages_received():
    """An event after a message has a later logical time than its cause."""
    log = EventLog(
        clock=ManualClock(),
        host_id=HostId('host-1'),
        process='control',
        incarnation=Incarnation(1),
    )
    log.observe(logical_time=7)
    log.emit(Event(kind=EventKind.process_started))
    assert log.recent()[0]['logical_time'] == 8
