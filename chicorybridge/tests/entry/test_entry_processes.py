"""Tests of an entry process on loopback, without a control process."""

import random

import curio
import pytest

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.clocks import Clock
from chicorybridge.common.identities import HostId, RegionId, ZoneId
from chicorybridge.configuration.process_settings import EntrySettings
from chicorybridge.entry.entry_processes import EntryProcess

UNREACHABLE = '127.0.0.1:1'


def _entry():
    entry_settings = EntrySettings(
        host_id=HostId('host-1'),
        zone_id=ZoneId('groningen'),
        region_id=RegionId('noord'),
        listen='127.0.0.1:0',
        control=UNREACHABLE,
        fleet_key=b'key',
    )
    return EntryProcess(
        entry_settings=entry_settings, clock=Clock(), rng=random.Random(1)
    )


async def test_draining_entry_accepts_callers_until_entry_lists_expire(
    monkeypatch,
):
    """Callers with an older list could otherwise not connect."""
    monkeypatch.setattr(settings, 'ENTRY_LIST_TTL_MS', 300)
    monkeypatch.setattr(settings, 'DRAIN_PROPAGATION_MS', 100)
    monkeypatch.setattr(settings, 'ENTRY_LIST_SHORT_TTL_MS', 0)
    entry = _entry()
    listener = sockets.listen('127.0.0.1:0')
    address = sockets.bound_address(listener)
    run_task = await curio.spawn(entry.run(listener))
    await curio.sleep(0)
    drain_task = await curio.spawn(entry.drain(listener))
    await curio.sleep(0.2)
    caller = await sockets.connect(address)
    await caller.close()
    await drain_task.join()
    with pytest.raises(ConnectionRefusedError):
        await sockets.connect(address)
    await run_task.cancel()
