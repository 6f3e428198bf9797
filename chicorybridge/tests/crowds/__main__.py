"""Measure crowds by hand: COUNT callers of each kind, then mixed.

Usage: python -m chicorybridge.tests.crowds COUNT MEMORY_MB
"""

import pathlib
import sys
import tempfile

import curio

from chicorybridge.tests.crowds.callers import (
    SCRIPTS_BY_NAME,
    Script,
    mixed_scripts,
)
from chicorybridge.tests.crowds.measurements import MEGABYTE, measure_crowd

# Longer than a host takes to return free memory to the system.
AFTER_S = 4


def main() -> None:
    """Print memory in MB before, at the peak and after, and the rest."""
    count, memory_mb = map(int, sys.argv[1:])
    for name, script in SCRIPTS_BY_NAME.items():
        _measure(name, [script] * count, memory_mb)
    _measure('mixed', mixed_scripts(count), memory_mb)


def _measure(name: str, scripts: list[Script], memory_mb: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        measured = curio.run(
            lambda: measure_crowd(
                scripts,
                memory_mb=memory_mb,
                folder=pathlib.Path(folder),
                after_s=AFTER_S,
            )
        )
    memory = (measured.bytes_before, measured.peak_bytes, measured.bytes_after)
    shown = ', '.join(str(round(count / MEGABYTE)) for count in memory)
    sys.stdout.write(
        f'{name}: {shown} MB; {measured.descriptors} descriptors; '
        f'{measured.status}, {measured.status_after}; '
        f'exit {measured.exit_status}\n'
    )
    sys.stdout.flush()


if __name__ == '__main__':
    main()
