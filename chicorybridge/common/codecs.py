"""Encoding and decoding of typed messages as MessagePack.

A message is a frozen dataclass registered with `wire` or `wire_as`.
Its fields hold numbers, strings, bytes, booleans, `None`, registered
enums, other messages, tuples and dicts of these. Sequences are decoded
as tuples. A message with a field of another type is malformed.
"""

import dataclasses
import functools
from collections.abc import Callable
from enum import Enum
from typing import Any, TypeVar

import msgpack

from chicorybridge.common.errors import ErrorCode, StreamError
from chicorybridge.common.type_checks import field_checks

MESSAGE_EXTENSION = 1
ENUM_EXTENSION = 2

# Buffer that msgpack allocates for each message part; its default is as large
# as a thousand parts.
PACK_BUFFER_BYTES = 1024

# Message parts within each other; messages of this project need a few.
MAX_NESTING = 32

# Decoded messages that are kept for equal ones, above the hosts of a fleet.
MAX_KEPT_MESSAGES = 2048

# Errors that msgpack and the constructors raise on a malformed body.
MESSAGE_DECODE_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    msgpack.UnpackException,
)

Registered = TypeVar('Registered', bound=type)

_classes_by_name: dict[str, type] = {}
_names_by_class: dict[type, str] = {}
# Members of enums as `pack` encodes them, which most messages have.
_members_by_body: dict[bytes, Enum] = {}
# Messages of these classes that were decoded lately, by their encoding.
_kept_classes: set[type] = set()
_kept_by_body: dict[bytes, Any] = {}
# Cached, as every message needs them and they are slow to compute.
_fields_by_class: dict[type, tuple[str, ...]] = {}


def wire(cls: Registered) -> Registered:
    """Register a frozen dataclass or an enum under its own name."""
    return _register(cls, name=cls.__name__)


def wire_repeated(cls: Registered) -> Registered:
    """Register a frozen dataclass of which most messages equal an earlier one.

    Equal ones are decoded once, so all of its fields must be immutable.
    """
    _kept_classes.add(cls)
    return _register(cls, name=cls.__name__)


def wire_as(name: str) -> Callable[[Registered], Registered]:
    """Register a frozen dataclass or an enum under `name`.

    A renamed class keeps its name in messages this way, so that processes
    of older builds can decode them.
    """
    return functools.partial(_register, name=name)


def pack(message: Any) -> bytes:
    """Encode a message of registered types; raise `TypeError` on others."""
    return msgpack.packb(message, default=_encode, buf_size=PACK_BUFFER_BYTES)


def unpack(body: bytes) -> Any:
    """Decode one message; raise `StreamError` if it is malformed."""
    try:
        return _unpack(body, depth=0)
    except MESSAGE_DECODE_ERRORS as error:
        raise StreamError(
            code=ErrorCode.message_malformed,
            detail=str(error),
        ) from error


def _register(cls: Registered, *, name: str) -> Registered:
    if name in _classes_by_name:
        raise ValueError(f'{name} is registered twice')
    _classes_by_name[name] = cls
    _names_by_class[cls] = name
    if issubclass(cls, Enum):
        _members_by_body.update(
            {_encode_enum(name, member).data: member for member in cls}
        )
    return cls


def _encode(message_part: Any) -> msgpack.ExtType:
    name = _names_by_class.get(type(message_part))
    if name is None:
        class_name = type(message_part).__name__
        raise TypeError(f'{class_name} is not registered with wire')
    if isinstance(message_part, Enum):
        return _encode_enum(name, message_part)
    fields = [
        getattr(message_part, field_name)
        for field_name in _field_names(type(message_part))
    ]
    return msgpack.ExtType(MESSAGE_EXTENSION, pack((name, *fields)))


def _unpack(body: bytes, *, depth: int) -> Any:
    if depth > MAX_NESTING:
        # Deeper recursion through msgpack would overflow the C stack.
        raise ValueError('message parts are nested too deeply')
    return msgpack.unpackb(
        body,
        ext_hook=_decoder(depth + 1),
        use_list=False,
        strict_map_key=False,
    )


@functools.cache
def _encode_enum(name: str, member: Enum) -> msgpack.ExtType:
    return msgpack.ExtType(ENUM_EXTENSION, pack((name, member.value)))


@functools.cache
def _decoder(depth: int) -> Callable[[int, bytes], Any]:
    return functools.partial(_decode, depth=depth)


def _decode(extension: int, body: bytes, *, depth: int) -> Any:
    if extension == ENUM_EXTENSION and body in _members_by_body:
        return _members_by_body[body]
    kept = _kept_by_body.get(body)
    if kept is not None:
        return kept
    name, *fields = _unpack(body, depth=depth)
    registered = _classes_by_name[name]
    if extension == ENUM_EXTENSION:
        return registered(fields[0])
    names = _field_names(registered)
    for check, field_name, content in zip(
        field_checks(registered), names, fields, strict=True
    ):
        if not check(content):
            raise TypeError(f'field {field_name} of {name} has another type')
    message = registered(**dict(zip(names, fields, strict=True)))
    if registered in _kept_classes:
        _keep(body, message)
    return message


def _keep(body: bytes, message: Any) -> None:
    if len(_kept_by_body) >= MAX_KEPT_MESSAGES:
        _kept_by_body.pop(next(iter(_kept_by_body)))
    _kept_by_body[body] = message


def _field_names(registered: Any) -> tuple[str, ...]:
    names = _fields_by_class.get(registered)
    if names is None:
        names = tuple(field.name for field in dataclasses.fields(registered))
        _fields_by_class[registered] = names
    return names
