"""Processor time and memory of a process, as read from the system."""

import dataclasses
import os
import pathlib

from chicorybridge.common.clocks import MILLIS_PER_SECOND

PROCESSES = pathlib.Path('/proc')

# Places of the fields after the name of the program in /proc/PID/stat.
USER_TICKS = 11
SYSTEM_TICKS = 12

BYTES_PER_KIB = 1024


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Usage:
    """What a process used so far; memory is what is resident."""

    processor_ms: float
    resident_bytes: int
    peak_bytes: int


def read_usage(pid: int) -> Usage | None:
    """Read the usage of a process, `None` if it has ended."""
    folder = PROCESSES / str(pid)
    try:
        counters = (folder / 'stat').read_text()
        lines = (folder / 'status').read_text().splitlines()
    except OSError:
        return None
    # The name may hold spaces and ends with the last parenthesis.
    fields = counters.rpartition(')')[2].split()
    ticks = int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])
    status = dict(line.split(':', 1) for line in lines)
    if 'VmRSS' not in status:
        # The process has ended and waits for its parent.
        return None
    return Usage(
        processor_ms=ticks * MILLIS_PER_SECOND / os.sysconf('SC_CLK_TCK'),
        resident_bytes=_kibibytes(status['VmRSS']),
        peak_bytes=_kibibytes(status['VmHWM']),
    )


def _kibibytes(text: str) -> int:
    return int(text.split()[0]) * BYTES_PER_KIB
