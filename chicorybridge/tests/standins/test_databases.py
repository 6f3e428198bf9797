"""Tests of tables that are stored in a file."""

from chicorybridge.common.identities import Digest
from chicorybridge.standins.databases import DatabaseTables
from chicorybridge.storage.stores import (
    Condition,
    GetObject,
    PutObject,
    ReadRows,
    RowKey,
    StoreOutcome,
    Transact,
    Write,
)

HEAD = RowKey(table='configuration', key='head')
DELETED = RowKey(table='configuration', key='deleted')
PUT = PutObject(digest=Digest('d'), body=b'\x00body')


def test_tables_survive_a_restart(tmp_path):
    """Row versions, deletions and objects are loaded again."""
    path = str(tmp_path / 'tables.sqlite')
    tables = DatabaseTables(path=path)
    for name in ('first', 'second'):
        tables.execute(
            Transact(
                conditions=(),
                writes=(
                    Write(row_key=HEAD, body={'name': name}),
                    Write(row_key=DELETED, body={}),
                ),
            )
        )
    tables.execute(
        Transact(conditions=(), writes=(Write(row_key=DELETED, body=None),))
    )
    tables.execute(PUT)
    conflicting = Transact(
        conditions=(Condition(row_key=HEAD, version=0),),
        writes=(Write(row_key=HEAD, body={'name': 'refused'}),),
    )
    assert tables.execute(conflicting).outcome is StoreOutcome.conflict
    tables.close()

    reopened = DatabaseTables(path=path)
    rows = reopened.execute(ReadRows(row_keys=(HEAD, DELETED))).rows
    assert [(row.version, row.body) for row in rows] == [
        (2, {'name': 'second'}),
        (0, {}),
    ]
    loaded = reopened.execute(GetObject(digest=PUT.digest))
    assert loaded.body == PUT.body
    reopened.close()
