"""Callers outside the limits must not take more memory than a machine has.

A process ran out of memory when many callers sent large bodies and stopped
short of their end.
"""

import pytest

from chicorybridge.tests.crowds.callers import SCRIPTS_BY_NAME, mixed_scripts
from chicorybridge.tests.crowds.measurements import (
    Measurement,
    MEGABYTE,
    measure_crowd,
)

# Memory of the machine in the tests: a host without callers takes 40 MB.
MEMORY_MB = 80
CALLERS = 120
# Each caller may have one connection to the host and one to a target; the
# rest are listeners, logs and connections to the store.
MAX_DESCRIPTORS = 2 * CALLERS + 64


def _check(measurement: Measurement) -> None:
    assert measurement.exit_status is None
    assert measurement.status == 200
    assert measurement.status_after == 200
    assert measurement.descriptors <= MAX_DESCRIPTORS
    assert measurement.peak_bytes <= MEMORY_MB * MEGABYTE


@pytest.mark.parametrize('name', SCRIPTS_BY_NAME)
async def test_crowd_of_one_kind_fits_into_the_memory(name, tmp_path):
    _check(
        await measure_crowd(
            [SCRIPTS_BY_NAME[name]] * CALLERS,
            memory_mb=MEMORY_MB,
            folder=tmp_path,
        )
    )


async def test_mixed_crowd_fits_into_the_memory(tmp_path):
    _check(
        await measure_crowd(
            mixed_scripts(CALLERS), memory_mb=MEMORY_MB, folder=tmp_path
        )
    )
