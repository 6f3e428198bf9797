"""What the kernel reports about a running process."""

import pathlib

import curio

KIB = 1024
POLL_INTERVAL_S = 0.25
# A process that uses less processor time than this in an interval has handled
# what was sent to it; its periodic work takes less.
CALM_TICKS = 5
MAX_POLLS = 80
USER_TIME_INDEX = 11


def resident_bytes(process_id: int) -> int:
    """Return the resident set of the process in bytes."""
    return _status_bytes(process_id, 'VmRSS')


def peak_resident_bytes(process_id: int) -> int:
    """Return the largest resident set of the process so far, in bytes."""
    return _status_bytes(process_id, 'VmHWM')


def _status_bytes(process_id: int, wanted: str) -> int:
    status = _folder(process_id).joinpath('status').read_text()
    for line in status.splitlines():
        name, _, text = line.partition(':')
        if name == wanted:
            return int(text.split()[0]) * KIB
    raise ValueError('the process has no such figure')


def descriptor_count(process_id: int) -> int:
    """Return the number of open descriptors of the process."""
    return len(list(_folder(process_id).joinpath('fd').iterdir()))


async def wait_until_calm(process_id: int) -> None:
    """Wait until the process has handled what was sent to it."""
    before = _processor_ticks(process_id)
    for _ in range(MAX_POLLS):
        await curio.sleep(POLL_INTERVAL_S)
        now = _processor_ticks(process_id)
        if now - before <= CALM_TICKS:
            return
        before = now


def _processor_ticks(process_id: int) -> int:
    stat = _folder(process_id).joinpath('stat').read_text()
    fields = stat.rpartition(')')[2].split()
    return sum(map(int, fields[USER_TIME_INDEX : USER_TIME_INDEX + 2]))


def _folder(process_id: int) -> pathlib.Path:
    return pathlib.Path('/proc') / str(process_id)
