"""Memory of requests is released when they have ended.

The error of each cancelled watch of an attempt kept the request and its body
until a garbage collection: 600 bodies of 400 KB took 240 MB.
"""

from chicorybridge.tests.crowds.deployments import run_deployment
from chicorybridge.tests.crowds.processes import peak_resident_bytes

# A host without callers takes 40 MB; one request holds few copies of its body.
MAX_BYTES = 60_000_000
REQUESTS = 120
BODY_BYTES = 400_000


LARGEST_BODY_BYTES = 67_108_864


async def test_bodies_of_answered_requests_are_released(tmp_path):
    async with run_deployment(
        folder=tmp_path, memory_mb=0, max_body_bytes=BODY_BYTES
    ) as deployment:
        for _ in range(REQUESTS):
            assert await deployment.fetch_status(body_bytes=BODY_BYTES) == 200
        process_id = deployment.program.process_id
        assert peak_resident_bytes(process_id) < MAX_BYTES


async def test_single_body_of_the_largest_legal_size_is_served(tmp_path):
    """A budget for crowds must not refuse one request in calm."""
    async with run_deployment(
        folder=tmp_path, memory_mb=80, max_body_bytes=LARGEST_BODY_BYTES
    ) as deployment:
        status = await deployment.fetch_status(body_bytes=LARGEST_BODY_BYTES)
        assert status == 200
        process_id = deployment.program.process_id
        assert peak_resident_bytes(process_id) < MAX_BYTES
