"""Typed messages to and from MessagePack.

A message is a frozen dataclass registered with `wire` or `wire_as`.
Its fields hold numbers, strings, bytes, booleans, `None`, registered
enums, other messages, tuples and dicts of these. Sequences come back
as tuples.
"""

import dataclasses
import functools
from collections.abc import Callable
from enum import Enum
from typing import Any, TypeVar

import msgpack

from chicorybridge.common.errors import ErrorCode, StreamError

MESSAGE_EXTENSION = 1
ENUM_EXTENSION = 2

# What msgpack and the constructors raise on a malformed body.
MALFORMED = (ValueError, TypeError, KeyError, msgpack.UnpackException)

Registered = TypeVar('Registered', bound=type)

_classes_by_name: dict[str, type] = {}
_names_by_class: dict[type, str] = {}
# Looked up for every message, and slow to work out.
_fields_by_class: dict[type, tuple[str, ...]] = {}


def wire(cls: Registered) -> Registered:
    """Register a frozen dataclass or an enum under its own name."""
    return _register(cls, name=cls.__name__)


def wire_as(name: str) -> Callable[[Registered], Registered]:
    """Register a frozen dataclass or an enum under `name`.

    A renamed class keeps its name in messages this way, so that processes
    of older builds can still read them.
    """
    return functools.partial(_register, name=name)


def pack(message: Any) -> bytes:
    """Encode a registered message."""
    return msgpack.packb(message, default=_encode)


def unpack(body: bytes) -> Any:
    """Decode one message; raise `StreamError` on anything malformed."""
    try:
        return msgpack.unpackb(
            body,
            ext_hook=_decode,
            use_list=False,
            strict_map_key=False,
        )
    except MALFORMED as error:
        raise StreamError(
            code=ErrorCode.message_malformed,
            detail=str(error),
        ) from error


def _register(cls: Registered, *, name: str) -> Registered:
    if name in _classes_by_name:
        raise ValueError(f'{name} is registered twice')
    _classes_by_name[name] = cls
    _names_by_class[cls] = name
    return cls


def _encode(entity: Any) -> msgpack.ExtType:
    name = _names_by_class.get(type(entity))
    if name is None:
        class_name = type(entity).__name__
        raise TypeError(f'{class_name} is not registered with wire')
    if isinstance(entity, Enum):
        return msgpack.ExtType(ENUM_EXTENSION, pack((name, entity.value)))
    fields = [
        getattr(entity, field_name) for field_name in _field_names(type(entity))
    ]
    return msgpack.ExtType(MESSAGE_EXTENSION, pack((name, *fields)))


def _decode(extension: int, body: bytes) -> Any:
    name, *fields = unpack(body)
    registered = _classes_by_name[name]
    if extension == ENUM_EXTENSION:
        return registered(fields[0])
    names = _field_names(registered)
    return registered(**dict(zip(names, fields, strict=True)))


def _field_names(registered: Any) -> tuple[str, ...]:
    known = _fields_by_class.get(registered)
    if known is None:
        known = tuple(field.name for field in dataclasses.fields(registered))
        _fields_by_class[registered] = known
    return known
