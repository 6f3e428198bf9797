"""Structured logs as JSON lines that never hold the process up."""

import logging
import os
import select
from collections import Counter, deque
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from chicorybridge import settings
from chicorybridge.common.buckets import TokenBucket
from chicorybridge.common.clocks import Clock

# A pipe that is ready takes this many bytes without waiting.
PIPE_BYTES = select.PIPE_BUF
MESSAGE = 'message'


class LineFormatter(JsonFormatter):
    """Write events as they are, and plain messages with their level."""

    def __init__(self) -> None:
        """Take the fields of the event, or the message, the level, the name."""
        super().__init__(
            '%(message)s %(levelname)s %(name)s',
            rename_fields={'levelname': 'level', 'name': 'logger'},
            json_default=str,
        )

    def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
        """Leave out what an event does not need."""
        if log_data.get(MESSAGE):
            return log_data
        left_out = (MESSAGE, 'level', 'logger')
        return {
            key: content
            for key, content in log_data.items()
            if key not in left_out
        }


class BoundedHandler(logging.Handler):
    """Write lines to a descriptor, up to a rate and without waiting.

    Lines above the rate, or that find the buffer full because nobody
    reads, are dropped and counted by kind. Warnings pass the rate.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        clock: Clock,
        bytes_per_second: float = settings.LOG_BYTES_PER_SECOND,
    ) -> None:
        """Write to `descriptor`, which may block when it is full."""
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
        """Format and buffer one line, or count it as dropped."""
        text = self.format(record)
        line = f'{text}\n'.encode()
        now = self._clock.now()
        passes = record.levelno >= logging.WARNING
        within = self._bucket.take(len(line), now=now) or passes
        room = settings.LOG_BUFFER_BYTES - self._buffered_bytes
        if not within or len(line) > room:
            self.dropped_by_kind[_kind_of(record)] += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._buffer and self._poller.poll(0):
            chunk = self._buffer.popleft()
            self._buffered_bytes -= len(chunk)
            try:
                written = os.write(self._descriptor, chunk[:PIPE_BYTES])
            except OSError:
                # The reader is gone for good: nothing can be said any more.
                self.dropped_by_kind['unwritable'] += 1
                return
            if written < len(chunk):
                self._buffer.appendleft(chunk[written:])
                self._buffered_bytes += len(chunk) - written

    def take_dropped(self) -> dict[str, int]:
        """Return the lines dropped since the last call, by kind."""
        dropped = dict(self.dropped_by_kind)
        self.dropped_by_kind.clear()
        return dropped


def _kind_of(record: logging.LogRecord) -> str:
    if isinstance(record.msg, dict):
        return str(record.msg.get('event', MESSAGE))
    return MESSAGE
