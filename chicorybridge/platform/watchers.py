"""Watchers of the platform's tables, which decode the changed rows."""

import dataclasses
import logging
from collections.abc import Collection

from chicorybridge.common.codecs import pack
from chicorybridge.common.errors import ChicorybridgeError
from chicorybridge.common.identities import TargetId
from chicorybridge.fleet.configurations import HostConfiguration
from chicorybridge.fleet.directories import TargetEntry, TargetsChanged
from chicorybridge.fleet.host_tables import FleetMember
from chicorybridge.platform.formats import (
    FormatError,
    StoredRows,
    decode_configuration,
    decode_profile,
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

# Minimal wait for new changes; the store returns existing changes at once.
FEED_WAIT_MS = 1


class TableReader:
    """Read one table: completely at first, then its changes."""

    def __init__(self, *, store: Store, table: str) -> None:
        """Read `table` from `store`; the first read is complete."""
        self._store = store
        self._table = table
        self._last_version: int | None = None

    def skip_to(self, version: int) -> None:
        """Leave out changes up to a version of the store."""
        if self._last_version is None or version > self._last_version:
            self._last_version = version

    async def read(self) -> tuple[StoredRows, bool]:
        """Return rows, and whether they are the complete table."""
        if self._last_version is not None:
            try:
                rows = await self._store.watch(
                    self._table, after=self._last_version, wait_ms=FEED_WAIT_MS
                )
            except HistoryGoneError:
                logger.warning(
                    'store dropped history of table %s; reading all its rows',
                    self._table,
                )
            else:
                self._last_version = rows.version
                return _last_states(rows), False
        rows = await self._store.read(self._table)
        self._last_version = rows.version
        return rows, True


def _last_states(rows: StoredRows) -> StoredRows:
    """Keep the last state of each row; a feed lists all states in order."""
    rows_by_key = {row.key: row for row in rows.rows}
    return dataclasses.replace(rows, rows=tuple(rows_by_key.values()))


def open_watcher(address: str) -> 'PlatformWatcher':
    """Return a watcher of the store at IP:PORT."""
    return PlatformWatcher(store=Store(address=address))


class PlatformWatcher:
    """Read configuration, targets and hosts from the store.

    Methods raise `StoreError` or `FormatError` if a call to the store
    fails. Each row that can't be decoded is logged once.
    """

    def __init__(self, *, store: Store) -> None:
        """Read with the client `store`."""
        self._store = store
        self._operator = TableReader(store=store, table=OPERATOR_TABLE)
        self._servers = TableReader(store=store, table=SERVER_TABLE)
        # Keys of rows that could not be decoded, so that each is logged once.
        self._logged_keys: set[str] = set()

    @property
    def calls(self) -> int:
        """Return the number of calls to the store."""
        return self._store.calls

    @property
    def received_bytes(self) -> int:
        """Return the number of bytes received from the store."""
        return self._store.received_bytes

    def skip_to(self, version: int) -> None:
        """Leave out changes of configuration and targets up to a version."""
        self._operator.skip_to(version)
        self._servers.skip_to(version)

    def skip_configuration_to(self, version: int) -> None:
        """Leave out changes of the configuration up to a version."""
        self._operator.skip_to(version)

    async def read_configuration(self) -> HostConfiguration | None:
        """Return the configuration if it changed and can be decoded."""
        rows, _ = await self._operator.read()
        for row in rows.rows:
            if row.key != CONFIGURATION_KEY or row.body is None:
                continue
            try:
                return decode_configuration(row.body)
            except FormatError as error:
                self._log_unreadable(row.key, error)
        return None

    async def read_targets(
        self, known_ids: Collection[TargetId]
    ) -> TargetsChanged:
        """Return the changed targets since the last read.

        Targets with a deleted or unreadable row are in `removed`; if the
        complete table was read, so are those of `known_ids` without a row.
        """
        rows, is_complete = await self._servers.read()
        entries: list[TargetEntry] = []
        removed: list[TargetId] = []
        missing = set(known_ids)
        for row in rows.rows:
            target_id = TargetId(row.key)
            missing.discard(target_id)
            if row.body is None:
                removed.append(target_id)
                continue
            try:
                entries.append(decode_target(row))
            except FormatError as error:
                self._log_unreadable(row.key, error)
                removed.append(target_id)
        if is_complete:
            removed.extend(missing)
        return TargetsChanged(
            store_version=rows.version,
            entries=tuple(entries),
            removed=tuple(removed),
        )

    async def read_hosts(self) -> tuple[FleetMember, ...]:
        """Return the profiles that hosts wrote, without unreadable rows."""
        rows = await self._store.read(HOST_TABLE)
        profiles = []
        for row in rows.rows:
            try:
                profiles.append(decode_profile(row))
            except ChicorybridgeError as error:
                self._log_unreadable(row.key, error)
        return tuple(profiles)

    async def write_host(self, profile: FleetMember) -> None:
        """Write the profile of this host, for hosts that start later."""
        await self._store.put(
            table=HOST_TABLE, key=profile.host_id, body=pack(profile)
        )

    def _log_unreadable(self, key: str, error: ChicorybridgeError) -> None:
        if key in self._logged_keys:
            return
        self._logged_keys.add(key)
        logger.warning('ignoring unreadable row %s: %s', key, error)
