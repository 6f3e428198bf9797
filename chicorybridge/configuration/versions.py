"""Messages of hosts and operators about configuration versions."""

import dataclasses
from enum import Enum

from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import (
    ApplyId,
    Digest,
    HostId,
    Incarnation,
    Version,
)


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeadVersion:
    """A durable version: its number, the digest of its body, its apply."""

    version: Version
    digest: Digest
    apply_id: ApplyId


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionOffered:
    """Offer a peer a durable version that is active on the sender.

    Hosts report to `collector` when they confirm it.
    """

    head: HeadVersion
    collector: HostId


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BodyWanted:
    """Request the body with `digest` from a peer.

    `active_digest` is that of the sender's active version, so that a delta
    to it may be sent; empty without one.
    """

    digest: Digest
    active_digest: Digest


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BodySent:
    """The body with `digest`, or a delta to it from the one with `base`.

    `base` is empty if `body` is complete.
    """

    digest: Digest
    base: Digest
    body: bytes


@wire
class LagReason(Enum):
    """Whether a host has confirmed the newest version, or why it has not."""

    current = 'current'
    # The host counts as lost, as no heartbeats of it arrive.
    silent = 'silent'
    # Its confirmation is not needed: the operator excused it, or it has been
    # silent for so long that its lease on taking work has expired.
    excused = 'excused'
    # The newest version is not active there yet.
    fetching = 'fetching'
    # Work that conflicts with the version has not ended yet.
    settling = 'settling'
    # The host takes no work, as it has just started or was cut off.
    joining = 'joining'


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReportWanted:
    """Request a `VersionReport` now, and another once `version` is confirmed.

    `requested_at` is the collector's clock in whole milliseconds.
    """

    collector: HostId
    version: Version
    requested_at: int


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionReport:
    """Report the active and the confirmed version of a host.

    `requested_at` echoes the collector's clock from `ReportWanted`, or is
    negative in a report sent on confirmation. `taking` is true if the host
    takes work.
    """

    host_id: HostId
    incarnation: Incarnation
    version: Version
    confirmed: Version
    taking: bool
    requested_at: int


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostStatus:
    """Versions of one host, as last reported, and why it lags.

    `age_ms` is the time since its last sign of life, -1 if there was none.
    """

    host_id: HostId
    version: Version
    confirmed: Version
    age_ms: int
    reason: LagReason


@wire
class ApplyStage(Enum):
    """Progress of an apply."""

    # The host has no record of the apply.
    unknown = 'unknown'
    # The body is being written to the object store.
    storing = 'storing'
    # The version is being written to the table service.
    writing = 'writing'
    # It is not known whether the write took effect; it is read back.
    settling = 'settling'
    # The version is durable and is being distributed to all hosts.
    spreading = 'spreading'
    # Every host that is not excused has confirmed the version.
    accepted = 'accepted'
    # Another apply wrote its version first; this one was not written.
    conflict = 'conflict'
    # The body is not a valid declaration; nothing was written.
    rejected = 'rejected'


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ApplyRequested:
    """Request the rollout of `body`, planned against version `base`.

    An apply is continued when its `apply_id` is sent again, to any host.
    The operator guarantees that the hosts in `excused` no longer serve.
    """

    apply_id: ApplyId
    base: Version
    body: bytes
    excused: tuple[HostId, ...] = ()


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ApplyWatched:
    """Request the progress of an apply.

    An apply that is not durable yet is dropped unless this is repeated.
    """

    apply_id: ApplyId


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ApplyProgress:
    """Report the progress of an apply to an operator.

    `waiting` lists the hosts that have not confirmed it; `winner` is the
    version that another apply wrote first. `store_unavailable` is true
    if the last request to the platform failed.
    """

    apply_id: ApplyId
    stage: ApplyStage
    version: Version
    digest: Digest
    waiting: tuple[HostStatus, ...] = ()
    winner: HeadVersion | None = None
    store_unavailable: bool = False
    detail: str = ''


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StatusRequested:
    """Request the version and the lag of every host."""


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FleetStatus:
    """The newest version known and the status of every host.

    `accepted` is true if every host has confirmed it or is excused.
    """

    head: HeadVersion | None
    accepted: bool
    hosts: tuple[HostStatus, ...]


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CurrentRequested:
    """Request the active declaration, to plan a change to it."""


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CurrentDeclaration:
    """The active version of the answering host, with its body."""

    version: Version
    digest: Digest
    body: bytes


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeclarationActivated:
    """Make the entry processes switch to a version atomically."""

    version: Version
    digest: Digest
    body: bytes


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServingLease:
    """Allow the entry processes to take work until `until_ms`.

    `until_ms` is on the monotonic clock that all processes of a host
    share. An entry process checks it before each request.
    """

    version: Version
    until_ms: int
