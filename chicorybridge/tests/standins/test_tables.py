"""Tests of tables in memory."""

from chicorybridge.standins.tables import MemoryTables
from chicorybridge.storage.stores import (
    Condition,
    ReadRows,
    RowKey,
    StoreOutcome,
    Transact,
    Write,
)

HEAD = RowKey(table='configuration', key='head')


def _write(*, base: int, name: str) -> Transact:
    return Transact(
        conditions=(Condition(row_key=HEAD, version=base),),
        writes=(Write(row_key=HEAD, body={'name': name}),),
    )


def test_conflicting_transaction_writes_nothing():
    """The second write on the same version conflicts and gets the row."""
    tables = MemoryTables()
    first = tables.execute(_write(base=0, name='first'))
    second = tables.execute(_write(base=0, name='second'))
    assert first.outcome is StoreOutcome.done
    assert second.outcome is StoreOutcome.conflict
    assert second.rows[0].body == {'name': 'first'}
    read = tables.execute(ReadRows(row_keys=(HEAD,)))
    assert read.rows == second.rows
