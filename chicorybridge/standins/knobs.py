"""Knobs: settings of a stand-in that can change while it runs."""

import dataclasses
from collections.abc import Mapping
from typing import Any, Self


@dataclasses.dataclass(frozen=True, kw_only=True)
class Knobs:
    """Base of the knobs of a stand-in: flags, numbers, texts and lists."""

    def updated(self, changes: Mapping[str, Any]) -> Self:
        """Return a copy of these knobs with `changes` applied.

        Raise `ValueError` for an unknown name, a value of another type or
        a negative number. A list is accepted for a tuple, and an integer
        for a float.
        """
        names = {field.name for field in dataclasses.fields(self)}
        unknown = sorted(set(changes) - names)
        if unknown:
            raise ValueError(f'unknown knobs: {unknown}')
        return dataclasses.replace(
            self,
            **{
                name: _check_value(name, getattr(self, name), value)
                for name, value in changes.items()
            },
        )


def _check_value(name: str, current: Any, value: Any) -> Any:
    if isinstance(current, tuple) and isinstance(value, list):
        return tuple(value)
    if isinstance(current, bool) != isinstance(value, bool):
        raise ValueError(f'{name} has the wrong type')
    if isinstance(current, float | int):
        return _check_number(name, value)
    if not isinstance(value, type(current)):
        raise ValueError(f'{name} has the wrong type')
    return value


def _check_number(name: str, value: Any) -> float:
    if not isinstance(value, float | int) or value < 0:
        raise ValueError(f'{name} must be a number of 0 or more')
    return value
