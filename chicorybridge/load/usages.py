"""Read processor time and memory of a process from Linux `/proc`."""

import dataclasses
import os
import pathlib

from chicorybridge.common.clocks import MILLIS_PER_SECOND

PROC_FOLDER = pathlib.Path('/proc')

# Indexes of the fields that follow the program name in /proc/PID/stat.
USER_TICKS_FIELD = 11
SYSTEM_TICKS_FIELD = 12

BYTES_PER_KIB = 1024


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Usage:
    """Processor time of a process so far, and its resident memory."""

    processor_ms: float
    resident_bytes: int
    peak_bytes: int


def read_usage(pid: int) -> Usage | None:
    """Return the usage of a process, `None` if it has ended."""
    folder = PROC_FOLDER / str(pid)
    try:
        stat = (folder / 'stat').read_text()
        status_lines = (folder / 'status').read_text().splitlines()
    except OSError:
        return None
    # The program name may contain spaces; the last parenthesis ends it.
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
    values_by_name = dict(line.split(':', 1) for line in status_lines)
    if 'VmRSS' not in values_by_name:
        # A zombie process has no memory fields.
        return None
    return Usage(
        processor_ms=ticks * MILLIS_PER_SECOND / os.sysconf('SC_CLK_TCK'),
        resident_bytes=_kibibytes(values_by_name['VmRSS']),
        peak_bytes=_kibibytes(values_by_name['VmHWM']),
    )


def _kibibytes(text: str) -> int:
    return int(text.split()[0]) * BYTES_PER_KIB
