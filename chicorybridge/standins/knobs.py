"""Settings of a stand-in that change while it runs."""

import dataclasses
from collections.abc import Mapping
from typing import Any, Self


@dataclasses.dataclass(frozen=True, kw_only=True)
class Knobs:
    """Base of the knobs of a stand-in: flags, numbers, texts and lists."""

    def turned(self, changes: Mapping[str, Any]) -> Self:
        """Return these knobs with `changes` made.

        Raise `ValueError` for an unknown name or a value of another type;
        a list stands for a tuple, and an integer for a number.
        """
        names = {field.name for field in dataclasses.fields(self)}
        unknown = sorted(set(changes) - names)
        if unknown:
            raise ValueError(f'unknown knobs: {unknown}')
        return dataclasses.replace(
            self,
            **{
                name: _checked(name, getattr(self, name), content)
                for name, content in changes.items()
            },
        )


def _checked(name: str, before: Any, content: Any) -> Any:
    if isinstance(before, tuple) and isinstance(content, list):
        return tuple(content)
    if isinstance(before, bool) != isinstance(content, bool):
        raise ValueError(f'{name} is of another type')
    if isinstance(before, float | int):
        return _checked_number(name, content)
    if not isinstance(content, type(before)):
        raise ValueError(f'{name} is of another type')
    return content


def _checked_number(name: str, content: Any) -> float:
    if not isinstance(content, float | int) or content < 0:
        raise ValueError(f'{name} is not a number of 0 or more')
    return content
