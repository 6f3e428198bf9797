"""What hosts tell each other about themselves, and the messages for it."""

import dataclasses
from enum import Enum
from typing import Any

from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import (
    HostId,
    Incarnation,
    RegionId,
    Version,
    ZoneId,
)

NO_READING = -1


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostProfile:
    """One incarnation of a host, as described by itself.

    `address` is IP:PORT of its control process, `entries` those of its
    entry processes; `capacity` is relative to the newest hardware.
    `revision` counts the changes of the profile within the incarnation.
    `taking` is false while the host takes no new work.
    """

    host_id: HostId
    incarnation: Incarnation
    address: str
    entries: tuple[str, ...]
    zone_id: ZoneId
    region_id: RegionId
    capacity: float = 1.0
    revision: int = 0
    leaving: bool = False
    taking: bool = False


class Reach(Enum):
    """How a peer is heard."""

    # It is heard, and it proves that it hears this host.
    mutual = 'mutual'
    # It is heard, but proves nothing: it may not hear this host.
    inbound = 'inbound'
    # It is heard through other hosts only.
    relayed = 'relayed'
    # It is not heard at all.
    lost = 'lost'


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """Prove life and hearing to one peer.

    `reading` is the sender's clock in whole milliseconds; `echo` the
    reading last heard of the receiver's incarnation `echo_of`, so that
    the receiver knows the message to be younger than that reading.
    `revision` is the sender's, `known` the receiver's as known to the
    sender; `unheard` names hosts that the sender would hear of.
    """

    incarnation: Incarnation
    reading: int
    echo: int
    echo_of: Incarnation
    revision: int
    known: int
    version: Version
    unheard: tuple[HostId, ...] = ()


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Introduction:
    """Tell profiles: the sender's own first, then others it knows."""

    profiles: tuple[HostProfile, ...]


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Relayed:
    """Vouch for a host that the receiver does not hear.

    The sender heard it directly, `age_ms` before sending this.
    """

    profile: HostProfile
    reading: int
    age_ms: int


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """Tell hosts that do not hear a host whether its peers do.

    `reading` is the clock of that host when last heard: of two verdicts
    the one with the later reading counts.
    """

    host_id: HostId
    incarnation: Incarnation
    reading: int
    live: bool


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Departed:
    """Say that an incarnation has finished all work and stops."""

    host_id: HostId
    incarnation: Incarnation


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Forward:
    """Pass `message` on to `to`; it goes around a broken link."""

    to: HostId
    message: Any
