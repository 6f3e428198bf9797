"""Deltas between declarations, for hosts with the preceding version."""

import dataclasses
from typing import Any

from chicorybridge.common.codecs import pack, unpack, wire
from chicorybridge.configuration.declarations import Declaration

TABLES = tuple(
    field.name
    for field in dataclasses.fields(Declaration)
    if field.name.endswith('_by_id')
)


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TableDelta:
    """Added and changed entities of one table by id, and the ids removed."""

    changed: dict[str, Any]
    removed: tuple[str, ...]


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeclarationDelta:
    """The changed tables of a declaration, and its new name."""

    name: str
    tables_by_name: dict[str, TableDelta]


def make_delta(before: Declaration, after: Declaration) -> bytes:
    """Return the packed delta that turns `before` into `after`."""
    tables_by_name = {
        table: _table_delta(getattr(before, table), getattr(after, table))
        for table in TABLES
    }
    return pack(
        DeclarationDelta(
            name=after.name,
            tables_by_name={
                table: delta
                for table, delta in tables_by_name.items()
                if delta.changed or delta.removed
            },
        )
    )


def apply_delta(before: Declaration, body: bytes) -> Declaration:
    """Return `before` with a packed delta applied.

    The resulting tables are sorted by id, so the digest of the result may
    differ from that of the version; compare the two before use. Raise
    `StreamError` on a malformed body.
    """
    delta = unpack(body)
    tables: dict[str, Any] = {
        table: _apply_table_delta(getattr(before, table), table_delta)
        for table, table_delta in delta.tables_by_name.items()
    }
    return dataclasses.replace(before, name=delta.name, **tables)


def _table_delta(before: dict[str, Any], after: dict[str, Any]) -> TableDelta:
    return TableDelta(
        changed={
            entity_id: entity
            for entity_id, entity in after.items()
            if before.get(entity_id) != entity
        },
        removed=tuple(
            entity_id for entity_id in before if entity_id not in after
        ),
    )


def _apply_table_delta(
    before: dict[str, Any], delta: TableDelta
) -> dict[str, Any]:
    merged = {**before, **delta.changed}
    for entity_id in delta.removed:
        merged.pop(entity_id)
    return dict(sorted(merged.items()))
