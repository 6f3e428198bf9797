"""Tables in memory that SQLite keeps over a restart."""

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
    """Carry out store requests and keep what they wrote in a file."""

    def __init__(self, *, path: str) -> None:
        """Open or make the file; raise `sqlite3.Error`."""
        super().__init__()
        self._database = sqlite3.connect(path)
        self._database.executescript(SCHEMA)
        self._load()

    def execute(self, request: StoreRequest, *, token: str = '') -> StoreReply:
        """Carry out `request` and write it down before the reply."""
        reply = super().execute(request, token=token)
        if reply.outcome is not StoreOutcome.done:
            return reply
        with self._database:
            self._keep(request)
        return reply

    def close(self) -> None:
        """Close the file."""
        self._database.close()

    def _load(self) -> None:
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

    def _keep(self, request: StoreRequest) -> None:
        match request:
            case Transact():
                for write in request.writes:
                    self._keep_row(write)
            case PutObject():
                self._run(
                    'insert or replace into objects values (?, ?)',
                    request.digest,
                    request.body,
                )

    def _keep_row(self, write: Write) -> None:
        row_key = write.row_key
        if write.body is None:
            self._run(
                'delete from rows where name = ? and key = ?',
                row_key.table,
                row_key.key,
            )
            return
        self._run(
            'insert or replace into rows values (?, ?, ?, ?)',
            row_key.table,
            row_key.key,
            self.rows_by_key[row_key].version,
            json.dumps(write.body),
        )

    def _run(self, statement: str, *bound: Any) -> None:
        self._database.execute(statement, bound)
