"""Requests to the platform and their replies.

The platform has a transactional table service, an object store and a
list of hosts, which may be out of date. A row has a body of JSON values
and a version, the number of writes since it was created; version 0 means
that the row is missing.
"""

import dataclasses
from enum import Enum
from typing import Any, TypeAlias

from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import Digest, HostId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RowKey:
    """Identify a row by its table and its key in the table."""

    table: str
    key: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """A row as read or written; if missing, version 0 and an empty body."""

    row_key: RowKey
    version: int
    body: dict[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Condition:
    """Require that a row has `version`, or is missing if `version` is 0."""

    row_key: RowKey
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """Set the body of a row; `None` deletes it."""

    row_key: RowKey
    body: dict[str, Any] | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Transact:
    """Apply all writes atomically if all conditions hold, else none."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadRows:
    """Read rows by key from one consistent snapshot."""

    row_keys: tuple[RowKey, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ScanRows:
    """Read the rows of a table whose keys start with `prefix`."""

    table: str
    prefix: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PutObject:
    """Store `body` in the object store under its digest."""

    digest: Digest
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GetObject:
    """Read the object stored under `digest`."""

    digest: Digest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ListHosts:
    """Read the host list of the platform, which may be out of date."""


StoreRequest: TypeAlias = (
    Transact | ReadRows | ScanRows | PutObject | GetObject | ListHosts
)


class StoreOutcome(Enum):
    """Outcome of a request to the platform."""

    done = 'done'
    # A condition of a transaction did not hold; nothing was written.
    conflict = 'conflict'
    # The platform rejected it or was unreachable; nothing was written.
    unavailable = 'unavailable'
    # A write was sent without a valid answer; it may have taken effect.
    unanswered = 'unanswered'


# Outcomes that count as unavailability of the platform.
UNAVAILABLE_OUTCOMES = frozenset(
    (StoreOutcome.unavailable, StoreOutcome.unanswered)
)


@wire
class HostState(Enum):
    """State of a host in the host list of the platform."""

    live = 'live'
    leaving = 'leaving'


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ListedHost:
    """A host in the host list of the platform.

    `address` is IP:PORT of its control process.
    """

    host_id: HostId
    address: str
    state: HostState


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreReply:
    """The reply to a request; `token` identifies the request.

    `rows` holds the rows that were read or written or, after a conflict,
    the current rows whose conditions did not hold. `body` is the object
    that was read, `None` if it is missing; `hosts` is the host list.
    """

    token: str
    outcome: StoreOutcome
    rows: tuple[Row, ...] = ()
    body: bytes | None = None
    hosts: tuple[ListedHost, ...] = ()
