"""Reads the tables of the platform and decodes what changed."""

import dataclasses
import logging

from chicorybridge.common.codecs import pack, unpack
from chicorybridge.common.errors import ChicorybridgeError
from chicorybridge.common.identities import TargetId
from chicorybridge.fleet.configurations import HostConfiguration
from chicorybridge.fleet.directories import TargetEntry, TargetsChanged
from chicorybridge.fleet.host_tables import FleetMember
from chicorybridge.platform.formats import (
    FormatError,
    StoredRows,
    decode_configuration,
    decode_target,
)
from chicorybridge.platform.stores import (
    CONFIGURATION_KEY,
    HOST_TABLE,
    OPERATOR_TABLE,
    SERVER_TABLE,
    HistoryGoneError,
    Store,
)

logger = logging.getLogger(__name__)

# The store answers at once whatever has changed.
NO_WAIT_MS = 1


class TableReader:
    """Follow one table: whole at first, then what changed."""

    def __init__(self, *, store: Store, table: str) -> None:
        """Start with nothing read."""
        self._store = store
        self._table = table
        self._after: int | None = None

    async def read(self) -> tuple[StoredRows, bool]:
        """Return the rows, and whether they are the whole table."""
        if self._after is not None:
            try:
                rows = await self._store.watch(
                    self._table, after=self._after, wait_ms=NO_WAIT_MS
                )
            except HistoryGoneError:
                logger.warning('%s is read anew: history gone', self._table)
            else:
                self._after = rows.version
                return _newest(rows), False
        rows = await self._store.read(self._table)
        self._after = rows.version
        return rows, True


def _newest(rows: StoredRows) -> StoredRows:
    """Keep the last state of each row; a feed has all of them in order."""
    rows_by_key = {row.key: row for row in rows.rows}
    return dataclasses.replace(rows, rows=tuple(rows_by_key.values()))


def open_watcher(address: str) -> 'PlatformWatcher':
    """Return a watcher of the store at IP:PORT."""
    return PlatformWatcher(store=Store(address=address))


class PlatformWatcher:
    """Read configuration, targets and hosts; raise `StoreError`."""

    def __init__(self, *, store: Store) -> None:
        """Read through `store`."""
        self._store = store
        self._operator = TableReader(store=store, table=OPERATOR_TABLE)
        self._servers = TableReader(store=store, table=SERVER_TABLE)
        self._row_versions_by_id: dict[TargetId, int] = {}
        # Keys of rows that could not be read, so that each is logged once.
        self._unreadable: set[str] = set()

    @property
    def calls(self) -> int:
        """Return how often the store was called."""
        return self._store.calls

    async def read_configuration(self) -> HostConfiguration | None:
        """Return the configuration if it changed and can be read."""
        rows, _ = await self._operator.read()
        for row in rows.rows:
            if row.key != CONFIGURATION_KEY or row.body is None:
                continue
            try:
                return decode_configuration(row.body)
            except FormatError as error:
                self._report(row.key, error)
        return None

    async def read_targets(self) -> TargetsChanged:
        """Return the entries read, and which rows are gone or unreadable."""
        rows, whole = await self._servers.read()
        entries: list[TargetEntry] = []
        removed: list[TargetId] = []
        known = set(self._row_versions_by_id)
        for row in rows.rows:
            target_id = TargetId(row.key)
            known.discard(target_id)
            if row.body is None:
                removed.append(target_id)
                continue
            try:
                entries.append(decode_target(row))
            except FormatError as error:
                self._report(row.key, error)
                removed.append(target_id)
        if whole:
            removed.extend(known)
        self._remember(entries, removed)
        return TargetsChanged(
            store_version=rows.version,
            entries=tuple(entries),
            removed=tuple(removed),
        )

    async def read_hosts(self) -> tuple[FleetMember, ...]:
        """Return the hosts that wrote where they are."""
        rows = await self._store.read(HOST_TABLE)
        profiles = []
        for row in rows.rows:
            try:
                profile = unpack(row.body or b'')
            except ChicorybridgeError as error:
                self._report(row.key, error)
                continue
            if isinstance(profile, FleetMember):
                profiles.append(profile)
        return tuple(profiles)

    async def write_host(self, profile: FleetMember) -> None:
        """Write where this host is, for hosts that start later."""
        await self._store.put(
            table=HOST_TABLE, key=profile.host_id, body=pack(profile)
        )

    def _remember(
        self, entries: list[TargetEntry], removed: list[TargetId]
    ) -> None:
        for entry in entries:
            self._row_versions_by_id[entry.target_id] = entry.row_version
        for target_id in removed:
            self._row_versions_by_id.pop(target_id, None)

    def _report(self, key: str, error: ChicorybridgeError) -> None:
        if key in self._unreadable:
            return
        self._unreadable.add(key)
        logger.warning('row %s is left out: %s', key, error)
