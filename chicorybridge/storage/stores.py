"""Requests to the platform, their replies, and tables held in memory.

The platform has a transactional table service, an object store and a
list of hosts that lags. A row has a body of JSON values and a version
that counts its writes from 1; version 0 stands for a missing row.
"""

import dataclasses
from enum import Enum
from typing import Any, TypeAlias

from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import Digest, HostId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RowKey:
    """Name a row: the table and the key within it."""

    table: str
    key: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """A row as read: `version` 0 and an empty body when missing."""

    row_key: RowKey
    version: int
    body: dict[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Condition:
    """Demand that a row has `version`; 0 demands that it is missing."""

    row_key: RowKey
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """Set the body of a row; `None` deletes it."""

    row_key: RowKey
    body: dict[str, Any] | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Transact:
    """Make all writes if all conditions hold, else none."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadRows:
    """Read rows by key, in one consistent view."""

    row_keys: tuple[RowKey, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ScanRows:
    """Read the rows of a table whose keys start with `prefix`."""

    table: str
    prefix: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PutObject:
    """Keep `body` under its digest."""

    digest: Digest
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GetObject:
    """Read the body kept under `digest`."""

    digest: Digest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ListHosts:
    """Read the platform's list of hosts, which lags behind."""


StoreRequest: TypeAlias = (
    Transact | ReadRows | ScanRows | PutObject | GetObject | ListHosts
)


class StoreOutcome(Enum):
    """How a request to the platform ended."""

    done = 'done'
    # A condition did not hold; nothing was written.
    conflict = 'conflict'
    # The platform refused or was not reached: nothing was written.
    unavailable = 'unavailable'
    # Sent but not answered: it may have taken effect.
    unanswered = 'unanswered'


# Outcomes of a request that the platform did not answer.
UNAVAILABLE_OUTCOMES = frozenset(
    (StoreOutcome.unavailable, StoreOutcome.unanswered)
)


@wire
class HostState(Enum):
    """What the platform says of a host."""

    live = 'live'
    leaving = 'leaving'


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ListedHost:
    """A host of the platform's list; `address` is IP:PORT of its control."""

    host_id: HostId
    address: str
    state: HostState


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreReply:
    """The reply to the request that was asked with `token`.

    `rows` holds what was read, or for a conflict the rows that differ;
    `body` the object read, `None` when missing; `hosts` the list.
    """

    token: str
    outcome: StoreOutcome
    rows: tuple[Row, ...] = ()
    body: bytes | None = None
    hosts: tuple[ListedHost, ...] = ()
