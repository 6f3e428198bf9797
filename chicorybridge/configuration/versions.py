"""Messages on versions of the configuration, between hosts and operators."""

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
    """A durable version: its number, its body's digest and its apply."""

    version: Version
    digest: Digest
    apply_id: ApplyId


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionOffered:
    """Offer a durable version that the sender holds.

    Whoever confirms it reports to `collector`.
    """

    head: HeadVersion
    collector: HostId


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BodyWanted:
    """Ask a peer for the body of `digest`; `active_digest` is what it has."""

    digest: Digest
    active_digest: Digest


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BodySent:
    """Hand over the body of `digest`, or the difference to `base`.

    `base` is empty for a whole body.
    """

    digest: Digest
    base: Digest
    body: bytes


@wire
class LagReason(Enum):
    """Why a host does not yet confirm the newest version."""

    current = 'current'
    # Nobody hears it.
    silent = 'silent'
    # Silent for so long that it takes no new work by itself.
    excused = 'excused'
    # It does not hold the newest version yet.
    fetching = 'fetching'
    # Work that contradicts the version is not given up yet.
    settling = 'settling'
    # It has just started, or was cut off, and takes no work.
    joining = 'joining'


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReportWanted:
    """Ask for a `VersionReport` now, and again when `version` is confirmed."""

    collector: HostId
    version: Version
    requested_at: int


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionReport:
    """Tell which version governs a host and which one it confirms.

    `requested_at` repeats the collector's clock from `ReportWanted`, or is
    negative; `taking` says whether the host takes work.
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
    """One host's version, and why it lags.

    `age_ms` is how long ago it was heard at most, -1 if never.
    """

    host_id: HostId
    version: Version
    confirmed: Version
    age_ms: int
    reason: LagReason


@wire
class ApplyStage(Enum):
    """How far an apply has come."""

    # The host that was asked knows nothing of the apply.
    unknown = 'unknown'
    # The body is being written to the object store.
    storing = 'storing'
    # The version is being written to the table service.
    writing = 'writing'
    # A write was not answered; it is read back.
    settling = 'settling'
    # The version is durable and spreads.
    spreading = 'spreading'
    # Every live host confirmed the version.
    accepted = 'accepted'
    # Another apply came first; nothing was written.
    conflict = 'conflict'
    # The body is no valid declaration; nothing was written.
    rejected = 'rejected'


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ApplyRequested:
    """Apply `body`, planned against version `base`.

    The same `apply_id` may be sent again to any host to go on. The
    operator vouches that the hosts in `excused` serve no longer.
    """

    apply_id: ApplyId
    base: Version
    body: bytes
    excused: tuple[HostId, ...] = ()


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ApplyWatched:
    """Ask for progress, and keep an apply going that is not durable yet."""

    apply_id: ApplyId


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ApplyProgress:
    """Tell an operator how far an apply has come.

    `waiting` holds the hosts that have not confirmed; `winner` is the
    version that an apply in conflict lost against. `store_unavailable` says
    that the last request to the platform failed.
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
    """Ask for the version, age and lag of every host."""


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FleetStatus:
    """The newest version known and where every host stands.

    `accepted` says that all hosts confirmed it or are excused.
    """

    head: HeadVersion | None
    accepted: bool
    hosts: tuple[HostStatus, ...]


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CurrentRequested:
    """Ask for the declaration in force, to plan against it."""


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CurrentDeclaration:
    """The version in force on the answering host and its body."""

    version: Version
    digest: Digest
    body: bytes


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeclarationActivated:
    """Tell the entry processes to switch to a version as a whole."""

    version: Version
    digest: Digest
    body: bytes


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServingLease:
    """Allow the entry processes to take work until `until_ms`.

    The time is on the monotonic clock that all processes of a host
    share; an entry checks it before each request.
    """

    version: Version
    until_ms: int
