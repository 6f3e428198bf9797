"""Differences between two declarations, as shown to operators."""

import dataclasses
from collections.abc import Iterator

from chicorybridge.configuration.declarations import Declaration

ADDED = '+'
REMOVED = '-'
CHANGED = '~'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """One entity that an apply would add, remove or change."""

    sign: str
    kind: str
    entity_id: str
    detail: str = ''

    def __str__(self) -> str:
        """Return the change as one line of text."""
        line = f'{self.sign} [{self.kind} {self.entity_id}]'
        return f'{line} {self.detail}'.rstrip()


def compare(before: Declaration | None, after: Declaration) -> list[Change]:
    """Return the changes from `before`; `None` is an empty declaration."""
    changes: list[Change] = []
    for field in dataclasses.fields(Declaration):
        if field.name.endswith('s_by_id'):
            kind = field.name.removesuffix('s_by_id')
            old_by_id = getattr(before, field.name) if before else {}
            new_by_id = getattr(after, field.name)
            changes.extend(_compare_tables(kind, old_by_id, new_by_id))
    return changes


def _compare_tables(kind: str, old_by_id, new_by_id) -> Iterator[Change]:
    for entity_id in sorted(old_by_id.keys() | new_by_id.keys()):
        old = old_by_id.get(entity_id)
        new = new_by_id.get(entity_id)
        if old == new:
            continue
        if old is None:
            yield Change(sign=ADDED, kind=kind, entity_id=entity_id)
        elif new is None:
            yield Change(sign=REMOVED, kind=kind, entity_id=entity_id)
        else:
            yield Change(
                sign=CHANGED,
                kind=kind,
                entity_id=entity_id,
                detail=_detail(old, new),
            )


def _detail(old, new) -> str:
    parts = []
    for field in dataclasses.fields(new):
        before = getattr(old, field.name)
        after = getattr(new, field.name)
        if before != after:
            parts.append(f'{field.name}: {before} -> {after}')
    return ', '.join(parts)
