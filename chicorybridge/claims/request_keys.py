"""Idempotency keys: the format of issued keys, and request fingerprints.

A host sends callers a key prefix with its entry list. The caller appends
a unique part of its own, so one prefix serves for many keys. Such a key is
an issued key. Its prefix names its owner, the control process that decides
all claims of the key:

    cb1/<host id>/<incarnation, hex>/<epoch, hex>/<part of the caller>

A key in any other form is a caller-chosen key.
"""

import dataclasses
import hashlib
from collections.abc import Iterable

from chicorybridge.common.codecs import wire
from chicorybridge.common.errors import ErrorCode, RequestError
from chicorybridge.common.identities import (
    Digest,
    HostId,
    Incarnation,
    RequestKey,
)

KEY_FORMAT = 'cb1'
SEPARATOR = '/'
KEY_PARTS = 5
HEX_BASE = 16
MAX_KEY_CHARACTERS = 255


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyOwner:
    """The control process that decides the claims of a key."""

    host_id: HostId
    incarnation: Incarnation


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class IssuedKey:
    """Parsed prefix of an issued key: its owner and the epoch of issue."""

    owner: KeyOwner
    epoch: int


def format_key_prefix(issued: IssuedKey) -> str:
    """Return the key prefix for callers; it ends in the separator."""
    if SEPARATOR in issued.owner.host_id:
        raise ValueError(f'host id must not contain {SEPARATOR}')
    incarnation = format(issued.owner.incarnation, 'x')
    epoch = format(issued.epoch, 'x')
    return SEPARATOR.join(
        (KEY_FORMAT, issued.owner.host_id, incarnation, epoch, '')
    )


def parse_key_header(text: str) -> RequestKey:
    """Return the key in an Idempotency-Key header value, quoted or not.

    Raises `RequestError` if the key is empty, too long or has other than
    visible ASCII characters.
    """
    key = text.strip()
    if len(key) > 1 and key.startswith('"') and key.endswith('"'):
        key = key[1:-1]
    is_visible = key.isascii() and key.isprintable() and ' ' not in key
    if not key or not is_visible or len(key) > MAX_KEY_CHARACTERS:
        raise RequestError(
            code=ErrorCode.request_malformed,
            detail='Idempotency-Key must be 1 to 255 visible ASCII characters',
        )
    return RequestKey(key)


def parse_issued_key(key: RequestKey) -> IssuedKey | None:
    """Parse an issued key; return `None` for a caller-chosen key."""
    parts = key.split(SEPARATOR, KEY_PARTS - 1)
    if len(parts) != KEY_PARTS or parts[0] != KEY_FORMAT or not parts[-1]:
        return None
    try:
        incarnation, epoch = int(parts[2], HEX_BASE), int(parts[3], HEX_BASE)
    except ValueError:
        return None
    owner = KeyOwner(
        host_id=HostId(parts[1]), incarnation=Incarnation(incarnation)
    )
    issued = IssuedKey(owner=owner, epoch=epoch)
    return issued if key.startswith(format_key_prefix(issued)) else None


def fingerprint(parts: Iterable[bytes]) -> Digest:
    """Return a digest that is equal for repeats of the same request.

    `parts` are the method, the path, the workspace, the caller and the
    body; a streamed body is replaced by its declared length and digest
    header.
    """
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return Digest(digest.hexdigest())
