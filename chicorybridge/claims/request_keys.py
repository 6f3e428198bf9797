"""Idempotency keys: the format of the ones we issue, and fingerprints.

A host gives callers a key prefix with its entry list. The caller appends
a unique part of its own choice, so one prefix makes many keys. The prefix
names the control process that decides every claim of such a key:

    cb1/<host id>/<incarnation, hex>/<epoch, hex>/<part of the caller>

A key in any other form is a key that the caller chose by itself.
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
    """What a key of ours says: its owner and the epoch of its issue."""

    owner: KeyOwner
    epoch: int


def format_key_prefix(issued: IssuedKey) -> str:
    """Return the prefix to give to callers; it ends in the separator."""
    if SEPARATOR in issued.owner.host_id:
        raise ValueError(f'a host id must not contain {SEPARATOR}')
    incarnation = format(issued.owner.incarnation, 'x')
    epoch = format(issued.epoch, 'x')
    return SEPARATOR.join(
        (KEY_FORMAT, issued.owner.host_id, incarnation, epoch, '')
    )


def parse_key_header(text: str) -> RequestKey:
    """Read an Idempotency-Key header field, quoted or not.

    Raises `RequestError` for a key that is empty, too long or not of
    visible ASCII characters.
    """
    key = text.strip()
    if len(key) > 1 and key.startswith('"') and key.endswith('"'):
        key = key[1:-1]
    is_visible = key.isascii() and key.isprintable() and ' ' not in key
    if not key or not is_visible or len(key) > MAX_KEY_CHARACTERS:
        raise RequestError(
            code=ErrorCode.request_malformed,
            detail='Idempotency-Key takes 1 to 255 visible ASCII characters',
        )
    return RequestKey(key)


def parse_issued_key(key: RequestKey) -> IssuedKey | None:
    """Return what a key of ours says, or `None` for any other key."""
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
    """Return a digest by which a repeat is told from another request.

    `parts` are the method, the path, the workspace and the body, or for a
    body that is streamed its declared length and digest header.
    """
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return Digest(digest.hexdigest())
