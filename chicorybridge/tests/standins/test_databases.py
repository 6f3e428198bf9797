"""Tests of tables that a file keeps."""

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
GONE = RowKey(table='configuration', key='gone')
PUT = PutObject(digest=Digest('d'), body=b'\x00body')


def test_tables_survive_a_restart(tmp_path):
    """Rows with versions, deletions and objects are there again."""
    path = str(tmp_path / 'tables.sqlite')
    tables = DatabaseTables(path=path)
    for name in ('first', 'second'):
        tables.execute(
            Transact(
                conditions=(),
                writes=(
                    Write(row_key=HEAD, body={'name': name}),
                    Write(row_key=GONE, body={}),
                ),
            )
        )
    tables.execute(
        Transact(conditions=(), writes=(Write(row_key=GONE, body=None),))
    )
    tables.execute(PUT)
    refused = Transact(
        conditions=(Condition(row_key=HEAD, version=0),),
        writes=(Write(row_key=HEAD, body={'name': 'refused'}),),
    )
    assert tables.execute(refused).outcome is StoreOutcome.conflict
    tables.close()

    again = DatabaseTables(path=path)
    rows = again.execute(ReadRows(row_keys=(HEAD, GONE))).rows
    assert [(row.version, row.body) for row in rows] == [
        (2, {'name': 'second'}),
        (0, {}),
    ]
    found = again.execute(GetObject(digest=PUT.digest))
    assert found.body == PUT.body
    again.close()
