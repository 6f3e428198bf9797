"""Logs that are limited by rate and never block on their reader."""

import json
import logging
import os
from types import MappingProxyType

import pytest

from chicorybridge import settings
from chicorybridge.common.clocks import ManualClock
from chicorybridge.common.log_streams import BoundedHandler

EVENT = MappingProxyType({'event': 'request_ended', 'request': 'a'})
MORE_LINES_THAN_FIT = 20_000


@pytest.fixture(name='pipe')
def _pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def _record(message, level: int = logging.INFO) -> logging.LogRecord:
    return logging.LogRecord('test', level, '', 0, message, (), None)


def _handler(writer: int, **options: float) -> BoundedHandler:
    return BoundedHandler(descriptor=writer, clock=ManualClock(), **options)


def test_event_is_one_line_of_json(pipe):
    reader, writer = pipe
    _handler(writer).emit(_record(dict(EVENT)))
    assert json.loads(os.read(reader, settings.RECEIVE_BYTES)) == EVENT


def test_message_keeps_its_level(pipe):
    reader, writer = pipe
    _handler(writer).emit(_record('row left out', logging.WARNING))
    line = json.loads(os.read(reader, settings.RECEIVE_BYTES))
    assert (line['message'], line['level']) == ('row left out', 'WARNING')


def test_lines_above_the_rate_are_dropped_and_counted(pipe):
    handler = _handler(pipe[1], bytes_per_second=100)
    for _ in range(10):
        handler.emit(_record(dict(EVENT)))
    dropped = handler.take_dropped()
    assert 0 < dropped['request_ended'] < 10
    assert not handler.take_dropped()


def test_reader_that_never_reads_does_not_block_the_handler(pipe):
    handler = _handler(pipe[1], bytes_per_second=1e9)
    # Ends only if no write blocks; the pipe and the buffer fill up.
    for _ in range(MORE_LINES_THAN_FIT):
        handler.emit(_record(dict(EVENT)))
    assert handler.take_dropped()['request_ended'] > 0


def test_buffered_lines_are_written_in_order(pipe):
    reader, writer = pipe
    handler = _handler(writer, bytes_per_second=1e9)
    count = 2000
    for serial in range(count):
        handler.emit(_record({'event': 'request_ended', 'serial': serial}))
    received = b''
    while received.count(b'\n') < count:
        received += os.read(reader, settings.RECEIVE_BYTES)
        handler.flush()
    lines = [json.loads(line) for line in received.splitlines()]
    assert [line['serial'] for line in lines] == list(range(count))
