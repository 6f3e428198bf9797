"""What a crowd of callers does to a host process."""

import dataclasses
import pathlib

import curio

from chicorybridge.tests.crowds.callers import Crowd, Script
from chicorybridge.tests.crowds.deployments import run_deployment
from chicorybridge.tests.crowds.processes import (
    descriptor_count,
    peak_resident_bytes,
    resident_bytes,
    wait_until_calm,
)

MEGABYTE = 1_000_000
MAX_BODY_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Measurement:
    """Memory in bytes, descriptors, and statuses of ordinary requests.

    `status` is that of a request beside the crowd, `status_after` of one
    after it has gone.
    """

    bytes_before: int
    peak_bytes: int
    bytes_after: int
    descriptors: int
    status: int
    status_after: int
    exit_status: int | None


async def measure_crowd(
    scripts: list[Script],
    *,
    memory_mb: float,
    folder: pathlib.Path,
    after_s: float = 0,
) -> Measurement:
    """Carry out the scripts on a new host, and wait until it is calm.

    Memory is measured again `after_s` after the crowd has gone.
    """
    async with run_deployment(
        folder=folder, memory_mb=memory_mb, max_body_bytes=MAX_BODY_BYTES
    ) as deployment:
        program = deployment.program
        process_id = program.process_id
        bytes_before = resident_bytes(process_id)
        crowd = Crowd(address=program.front_address)
        await crowd.send(scripts)
        await wait_until_calm(process_id)
        descriptors = descriptor_count(process_id)
        status = await deployment.fetch_status()
        await crowd.close()
        await wait_until_calm(process_id)
        await curio.sleep(after_s)
        return Measurement(
            bytes_before=bytes_before,
            peak_bytes=peak_resident_bytes(process_id),
            bytes_after=resident_bytes(process_id),
            descriptors=descriptors,
            status=status,
            status_after=await deployment.fetch_status(),
            exit_status=program.exit_status,
        )
