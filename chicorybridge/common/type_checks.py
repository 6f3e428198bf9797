"""Checks of decoded values against the type hints of a dataclass."""

import dataclasses
import functools
import types
import typing
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

# Whether a value has a type.
TypeCheck = Callable[[typing.Any], bool]

UNIONS = (typing.Union, types.UnionType)
MAPPINGS = (Mapping, dict)
SEQUENCES = (tuple, Sequence, Collection)


@functools.cache
def field_checks(cls: type) -> tuple[TypeCheck, ...]:
    """Return a check for each field of a dataclass, in their order.

    Values of types that aren't known here pass.
    """
    hints = typing.get_type_hints(cls)
    return tuple(
        _build_check(hints[field.name]) for field in dataclasses.fields(cls)
    )


def _build_check(hint: typing.Any) -> TypeCheck:
    if isinstance(hint, typing.NewType):
        return _build_check(hint.__supertype__)
    if typing.get_origin(hint) is not None:
        return _build_generic_check(hint)
    if hint is float:
        return _is_number
    if isinstance(hint, type) and hint is not typing.Any:
        # What `isinstance` calls, without a Python function around it.
        return hint.__instancecheck__
    return _accept


def _build_generic_check(hint: typing.Any) -> TypeCheck:
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin in UNIONS:
        return functools.partial(_is_any, tuple(map(_build_check, arguments)))
    if origin in MAPPINGS:
        return functools.partial(_is_mapping, *map(_build_check, arguments))
    if origin in SEQUENCES and arguments[1:] in {(), (Ellipsis,)}:
        return functools.partial(_is_sequence, _build_check(arguments[0]))
    return _accept


def _accept(_: typing.Any) -> bool:
    return True


def _is_number(value: typing.Any) -> bool:
    return isinstance(value, (int, float))


def _is_any(checks: Iterable[TypeCheck], value: typing.Any) -> bool:
    return any(check(value) for check in checks)


def _is_mapping(
    check_key: TypeCheck, check_value: TypeCheck, value: typing.Any
) -> bool:
    if not isinstance(value, dict):
        return False
    return all(map(check_key, value)) and all(map(check_value, value.values()))


def _is_sequence(check: TypeCheck, value: typing.Any) -> bool:
    return isinstance(value, tuple) and all(map(check, value))
