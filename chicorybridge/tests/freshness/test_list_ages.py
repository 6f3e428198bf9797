"""Whether a list of targets has all that its age and version claim."""

import dataclasses
import json
from http import HTTPStatus
from typing import Any

import curio
import pytest

from chicorybridge import settings
from chicorybridge.common.clocks import ManualClock
from chicorybridge.common.identities import HostId, TargetId
from chicorybridge.fleet.directories import TargetEntry, TargetsChanged
from chicorybridge.platform.stores import PAGE_ROWS, SERVER_TABLE, Store
from chicorybridge.platform.watchers import PlatformWatcher
from chicorybridge.tests.hosts.test_fleet_views import (
    SERVICE_ID,
    ZONE_ID,
    HostModel,
)
from chicorybridge.tests.platform.row_stores import RowStore
from chicorybridge.tests.platform.rows import server_row

TARGET_ID = TargetId('i-1')
TRANSIT_MS = 1000
STARTING_HOSTS = 20


class ChangingStore(Store):
    """A store of which a row changes after the first page was read."""

    def __init__(self) -> None:
        """Start with a table of two pages."""
        super().__init__(address='127.0.0.1:1')
        self.row_store = RowStore()
        for number in range(PAGE_ROWS + 1):
            key = f'i-{number}'
            self.row_store.put(SERVER_TABLE, key, server_row())
        self._pages = 0

    async def _get(
        self, path: str, query: dict[str, Any], *, wait_ms: int = 0
    ) -> bytes:
        fields = {name: str(field) for name, field in query.items()}
        status, document = self.row_store._execute(path, fields, b'')
        assert status is HTTPStatus.OK
        self._pages += 1
        if self._pages == 1:
            self.row_store.put(
                SERVER_TABLE, 'i-0', server_row(state='draining')
            )
        return json.dumps(document).encode()


def _entry(row_version: int) -> TargetEntry:
    return TargetEntry(
        target_id=TARGET_ID,
        row_version=row_version,
        service_id=SERVICE_ID,
        address='127.0.0.1:1',
        zone_id=ZONE_ID,
        slots=6,
        leaving=False,
        warming=False,
        started_at_ms=1,
    )


def _listed(store_version: int, *, row_version: int) -> TargetsChanged:
    return TargetsChanged(
        store_version=store_version, entries=(_entry(row_version),)
    )


def _lists_target(host: HostModel) -> bool:
    return TARGET_ID in host.view.directory.entries_by_id


@pytest.fixture(name='clock')
def _clock() -> ManualClock:
    return ManualClock(start=10_000_000)


@pytest.fixture(name='first')
def _first(clock) -> HostModel:
    return HostModel('first', clock)


@pytest.fixture(name='second')
def _second(clock) -> HostModel:
    return HostModel('second', clock)


def test_older_state_brings_back_no_target_that_was_gone_at_the_start(
    clock, first, second
):
    first.read(_listed(40, row_version=1))
    requested_at = clock.now()
    second.read(TargetsChanged(store_version=41))
    second.view.merge_snapshot(
        first.view.build_snapshot(),
        source=first.name,
        requested_at=requested_at,
    )
    assert not _lists_target(second)


def test_late_change_brings_back_no_target_that_was_gone_at_the_start(second):
    second.read(TargetsChanged(store_version=41))
    second.view.on_message(_listed(40, row_version=1), HostId('third'))
    # The feed has the removal before the version that was read, not again.
    second.read(TargetsChanged(store_version=42))
    assert not second.age_ms
    assert not _lists_target(second)


def test_target_that_is_back_is_listed_by_a_host_that_saw_it_removed(
    first, second
):
    third = HostModel('third', first.clock)
    first.read(_listed(1, row_version=1))
    second.hear(first)
    second.read(TargetsChanged(store_version=29, removed=(TARGET_ID,)))
    # It is back with a row of version 33; `first` missed both changes.
    third.read(_listed(33, row_version=33))
    first.view.on_message(third.view.store_mark(), third.name)
    second.view.merge_snapshot(
        first.view.build_snapshot(),
        source=first.name,
        requested_at=first.clock.now(),
    )
    second.read(TargetsChanged(store_version=34))
    assert _lists_target(second) or second.watcher.skipped_to < 33


def test_mark_that_was_long_on_its_way_is_old(clock, first, second):
    first.read(_listed(1, row_version=1))
    second.hear(first)
    clock.advance(by_ms=TRANSIT_MS)
    first.read(TargetsChanged(store_version=1))
    mark = first.view.store_mark()
    clock.advance(by_ms=TRANSIT_MS)
    second.view.on_message(mark, first.name, clock.now())
    assert second.age_ms >= TRANSIT_MS


def test_change_between_the_pages_of_a_table_is_read():
    watcher = PlatformWatcher(store=ChangingStore())
    complete = curio.run(watcher.read_targets, ())
    later = curio.run(watcher.read_targets, ())
    leaving = {
        entry.target_id
        for entry in (*complete.entries, *later.entries)
        if entry.leaving
    }
    assert leaving == {TargetId('i-0')}


def test_of_hosts_that_start_together_only_the_first_tell_their_region(clock):
    hosts = [
        HostModel(f'edge-{number}', clock) for number in range(STARTING_HOSTS)
    ]
    profiles = [
        dataclasses.replace(started.profile(), serving=False)
        for started in hosts
    ]
    for host in hosts:
        host.view.host_table.add_unknown(profiles, now=clock.now())
        host.read(_listed(1, row_version=1))
    telling = [started.name for started in hosts if started.sent]
    assert len(telling) <= settings.MAX_READ_RANK + 1
