"""Snapshots that a host sends to others."""

import curio

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.fleet import snapshots
from chicorybridge.tests.fronts import read_all
from chicorybridge.tests.hosts.deployments import (
    Origin,
    deployed,
    on_curio,
    until,
)

FETCHES = settings.MAX_SNAPSHOT_SENDS


@on_curio
async def test_fetches_of_the_same_state_do_not_encode_it_each(monkeypatch):
    encoded = []
    pack = snapshots.pack

    def record_and_pack(message):  # noqa: WPS430
        encoded.append(message)
        return pack(message)

    monkeypatch.setattr(snapshots, 'pack', record_and_pack)
    async with deployed(Origin(target_id='i-1')) as deployment:
        address = deployment.settings.fleet_address
        await until(
            lambda: deployment.host.fleet_view.targets.schedule.read_at > 0
        )
        encoded.clear()
        fetches = [await curio.spawn(_fetch, address) for _ in range(FETCHES)]
        bodies = [await fetch.join() for fetch in fetches]
    assert all(bodies)
    assert len(encoded) <= FETCHES / 4


async def _fetch(address: str) -> bytes:
    return await read_all(await sockets.connect(address))
