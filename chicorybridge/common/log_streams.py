"""Structured logs as JSON lines, written without blocking the process."""

import json
import logging
import os
import select
from collections import Counter, deque
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from chicorybridge import settings
from chicorybridge.common.buckets import TokenBucket
from chicorybridge.common.clocks import Clock

# A write of up to this many bytes to a pipe that polls ready does not block.
MAX_WRITE_BYTES = select.PIPE_BUF
MESSAGE = 'message'
RECORD_FIELDS = frozenset((MESSAGE, 'level', 'logger', 'levelname', 'name'))
EVENT_ENCODER = json.JSONEncoder(default=str)


class LineFormatter(JsonFormatter):
    """Format events as their fields, and messages with level and logger."""

    def __init__(self) -> None:
        """Format the message or event, the level and the name of the logger."""
        super().__init__(
            '%(message)s %(levelname)s %(name)s',
            rename_fields={'levelname': 'level', 'name': 'logger'},
            json_default=str,
        )

    def format(self, record: logging.LogRecord) -> str:
        """Return the line; that of an event without what others need.

        Most lines are events. The library would look up each of their fields
        several times and build an encoder for each line.
        """
        if not _is_plain_event(record):
            return super().format(record)
        return EVENT_ENCODER.encode(record.msg)

    def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
        """Return the fields; for events, leave out those of the log record."""
        if log_data.get(MESSAGE):
            return log_data
        record_fields = (MESSAGE, 'level', 'logger')
        return {
            key: content
            for key, content in log_data.items()
            if key not in record_fields
        }


class BoundedHandler(logging.Handler):
    """Write lines to a file descriptor, limited by rate, without blocking.

    Lines above the rate, and lines that do not fit in the buffer because
    nothing reads it, are dropped and counted by kind. Warnings and
    errors are exempt from the rate.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        clock: Clock,
        bytes_per_second: float = settings.LOG_BYTES_PER_SECOND,
    ) -> None:
        """Write to `descriptor`, such as a pipe, in blocking mode or not."""
        super().__init__()
        self.setFormatter(LineFormatter())
        self.dropped_by_kind: Counter[str] = Counter()
        self._descriptor = descriptor
        self._clock = clock
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._poller = select.poll()
        self._poller.register(descriptor, select.POLLOUT)
        self._bucket = TokenBucket(
            per_second=bytes_per_second,
            burst=bytes_per_second * settings.LOG_BURST_SECONDS,
            now=clock.now(),
        )

    def emit(self, record: logging.LogRecord) -> None:
        """Format one line and buffer it, or count it as dropped."""
        text = self.format(record)
        line = f'{text}\n'.encode()
        now = self._clock.now()
        is_exempt = record.levelno >= logging.WARNING
        is_allowed = self._bucket.take(len(line), now=now) or is_exempt
        free_bytes = settings.LOG_BUFFER_BYTES - self._buffered_bytes
        if not is_allowed or len(line) > free_bytes:
            self.dropped_by_kind[_kind_of(record)] += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write buffered lines until a write would block."""
        while self._buffer and self._poller.poll(0):
            chunk = self._buffer.popleft()
            self._buffered_bytes -= len(chunk)
            try:
                written = os.write(self._descriptor, chunk[:MAX_WRITE_BYTES])
            except OSError:
                # The reader has closed the pipe; no more can be written.
                self.dropped_by_kind['unwritable'] += 1
                return
            if written < len(chunk):
                self._buffer.appendleft(chunk[written:])
                self._buffered_bytes += len(chunk) - written

    def take_dropped(self) -> dict[str, int]:
        """Return the number of lines dropped since the last call, by kind."""
        dropped = dict(self.dropped_by_kind)
        self.dropped_by_kind.clear()
        return dropped


def _is_plain_event(record: logging.LogRecord) -> bool:
    """Return whether a record has an event and nothing else."""
    fields: Any = record.msg
    if not isinstance(fields, dict) or record.exc_info or record.stack_info:
        return False
    return RECORD_FIELDS.isdisjoint(fields)


def _kind_of(record: logging.LogRecord) -> str:
    if isinstance(record.msg, dict):
        return str(record.msg.get('event', MESSAGE))
    return MESSAGE
