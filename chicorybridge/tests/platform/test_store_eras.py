"""A store that comes back from a copy that is some seconds old."""

import pytest

from chicorybridge.tests.hosts.deployments import (
    Deployment,
    Origin,
    deployed,
    on_curio,
    until,
)
from chicorybridge.tests.platform.rows import server_row

LOST_WRITES = 4


def _write(deployment: Deployment, times: int) -> None:
    """Let the first target write its entry again."""
    entry = server_row(address=deployment.origins['i-1'].address)
    for _ in range(times):
        deployment.store.put('servers', 'i-1', entry)


async def _until_read(deployment: Deployment) -> None:
    targets = deployment.host.fleet_view.targets
    version = targets.complete_version
    await until(lambda: targets.complete_version > version)


@pytest.mark.xfail(strict=True, reason='KNOWN-RED: eras are not read')
@on_curio
async def test_versions_that_are_given_out_again_are_read():
    async with deployed(Origin(target_id='i-1')) as deployment:
        store = deployment.store
        entries = deployment.host.fleet_view.directory.entries_by_id
        copy = store.copy()
        store.put('servers', 'i-2', server_row(address='127.0.0.1:2'))
        _write(deployment, LOST_WRITES)
        await until(lambda: 'i-2' in entries)
        await _until_read(deployment)
        store.restore(copy)
        store.put('servers', 'i-3', server_row(address='127.0.0.1:3'))
        _write(deployment, 2 * LOST_WRITES)
        await until(lambda: set(entries) == {'i-1', 'i-3'})
        store.put('servers', 'i-2', server_row(address='127.0.0.1:2'))
        await until(lambda: 'i-2' in entries)
