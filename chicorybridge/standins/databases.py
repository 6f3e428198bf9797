"""Tables in memory that are written through to an SQLite file."""

import json
import sqlite3
from typing import Any

from chicorybridge.common.identities import Digest
from chicorybridge.standins.tables import MemoryTables
from chicorybridge.storage.stores import (
    PutObject,
    Row,
    RowKey,
    StoreOutcome,
    StoreReply,
    StoreRequest,
    Transact,
    Write,
)

SCHEMA = """
create table if not exists rows (
    name text, key text, version integer, body text,
    primary key (name, key)
);
create table if not exists objects (digest text primary key, body blob);
"""


class DatabaseTables(MemoryTables):
    """Execute store requests and persist their writes in a file."""

    def __init__(self, *, path: str) -> None:
        """Open or create the file at `path` and load it.

        Raise `sqlite3.Error` if that fails.
        """
        super().__init__()
        self._database = sqlite3.connect(path)
        self._database.executescript(SCHEMA)
        self._load_rows()

    def execute(self, request: StoreRequest, *, token: str = '') -> StoreReply:
        """Execute `request` and commit its writes before the reply."""
        reply = super().execute(request, token=token)
        if reply.outcome is not StoreOutcome.done:
            return reply
        with self._database:
            self._store(request)
        return reply

    def close(self) -> None:
        """Close the file."""
        self._database.close()

    def _load_rows(self) -> None:
        rows = self._database.execute(
            'select name, key, version, body from rows'
        )
        for name, key, version, body in rows:
            row_key = RowKey(table=name, key=key)
            self.rows_by_key[row_key] = Row(
                row_key=row_key, version=version, body=json.loads(body)
            )
        objects = self._database.execute('select digest, body from objects')
        for digest, content in objects:
            self.objects_by_digest[Digest(digest)] = content

    def _store(self, request: StoreRequest) -> None:
        match request:
            case Transact():
                for write in request.writes:
                    self._store_row(write)
            case PutObject():
                self._execute_sql(
                    'insert or replace into objects values (?, ?)',
                    request.digest,
                    request.body,
                )

    def _store_row(self, write: Write) -> None:
        row_key = write.row_key
        if write.body is None:
            self._execute_sql(
                'delete from rows where name = ? and key = ?',
                row_key.table,
                row_key.key,
            )
            return
        self._execute_sql(
            'insert or replace into rows values (?, ?, ?, ?)',
            row_key.table,
            row_key.key,
            self.rows_by_key[row_key].version,
            json.dumps(write.body),
        )

    def _execute_sql(self, statement: str, *values: Any) -> None:
        self._database.execute(statement, values)
