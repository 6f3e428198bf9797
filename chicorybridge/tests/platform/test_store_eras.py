"""A store that comes back from a copy that is some seconds old."""

from chicorybridge.common.identities import TargetId
from chicorybridge.tests.hosts.deployments import (
    Deployment,
    Origin,
    deployed,
    on_curio,
    until,
)
from chicorybridge.tests.platform.rows import (
    configuration_row,
    route,
    server_row,
)

LOST_WRITES = 4
TARGET_ID = TargetId('i-1')


def _write(deployment: Deployment, times: int) -> None:
    """Let the first target write its entry again."""
    entry = server_row(address=deployment.origins['i-1'].address)
    for _ in range(times):
        deployment.store.put('servers', 'i-1', entry)


async def _until_read(deployment: Deployment, *, writes: int = 0) -> None:
    _write(deployment, writes)
    targets = deployment.host.fleet_view.targets
    version = targets.complete_version
    await until(lambda: targets.complete_version > version)


@on_curio
async def test_versions_that_are_given_out_again_are_read():
    async with deployed(Origin(target_id='i-1')) as deployment:
        store = deployment.store
        entries = deployment.host.fleet_view.directory.entries_by_id
        copy = store.copy()
        store.put('servers', 'i-2', server_row(address='127.0.0.1:2'))
        _write(deployment, LOST_WRITES)
        await until(lambda: 'i-2' in entries)
        await _until_read(deployment, writes=1)
        store.restore(copy)
        store.put('servers', 'i-3', server_row(address='127.0.0.1:3'))
        _write(deployment, 2 * LOST_WRITES)
        await until(lambda: set(entries) == {'i-1', 'i-3'})
        store.put('servers', 'i-2', server_row(address='127.0.0.1:2'))
        await until(lambda: 'i-2' in entries)


@on_curio
async def test_configuration_never_goes_back_to_that_of_a_copy():
    async with deployed(Origin(target_id='i-1')) as deployment:
        store, state = deployment.store, deployment.host.state
        copy = store.copy()
        older_version = state.version
        newer = configuration_row(route(), version='0000000d')
        store.put('op', 'config', newer)
        await until(lambda: state.version > older_version)
        store.restore(copy)
        await _until_read(deployment)
        assert state.version > older_version
        # Written again; then what follows takes effect.
        store.put('op', 'config', newer)
        newest = configuration_row(route(prefix='/new/'), version='0000000e')
        store.put('op', 'config', newest)
        await until(lambda: state.version > older_version + 1)
        answer = await deployment.send('/new/7')
    assert answer.status == 200


@on_curio
async def test_target_that_left_stays_so_until_its_entry_is_written_again():
    async with deployed(Origin(target_id='i-1')) as deployment:
        store = deployment.store
        entries = deployment.host.fleet_view.directory.entries_by_id
        address = deployment.origins['i-1'].address
        copy = store.copy()
        leaving = server_row(address=address, state='draining')
        store.put('servers', 'i-1', leaving)
        await until(lambda: entries[TARGET_ID].leaving)
        store.restore(copy)
        await _until_read(deployment)
        assert entries[TARGET_ID].leaving
        store.put('servers', 'i-1', server_row(address=address))
        await until(lambda: not entries[TARGET_ID].leaving)


@on_curio
async def test_target_that_is_ready_before_the_first_read_of_an_era_is_used():
    """Guards against waiting for a further write of a row that is current."""
    async with deployed(Origin(target_id='i-1')) as deployment:
        store = deployment.store
        entries = deployment.host.fleet_view.directory.entries_by_id
        profile = ('hosts', deployment.settings.host_id)
        await until(lambda: profile in store.rows_by_table_and_key)
        address = deployment.origins['i-1'].address
        copy = store.copy()
        leaving = server_row(address=address, state='draining')
        store.put('servers', 'i-1', leaving)
        await until(lambda: entries[TARGET_ID].leaving)
        # The host runs no task, and so reads nothing, between these two.
        store.restore(copy)
        store.put('servers', 'i-1', server_row(address=address))
        await until(lambda: not entries[TARGET_ID].leaving)


@on_curio
async def test_host_writes_its_profile_again_in_a_new_era():
    async with deployed(Origin(target_id='i-1')) as deployment:
        store = deployment.store
        profile = ('hosts', deployment.settings.host_id)
        await until(lambda: profile in store.rows_by_table_and_key)
        copy = store.copy()
        copy.rows_by_table_and_key.pop(profile)
        await _until_read(deployment, writes=LOST_WRITES)
        store.restore(copy)
        await until(lambda: profile in store.rows_by_table_and_key)
