"""Host profiles and the messages of the membership protocol."""

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
    """One incarnation of a host, as reported by itself.

    `address` is IP:PORT of its control process, and `entries` lists those
    of its entry processes; `capacity` is relative to the newest hardware.
    `revision` counts the changes of the profile within the incarnation.
    `leaving` is true once the host drains, and `taking` is false while it
    takes no new work.
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
    """How signs of life of a peer arrive at this host."""

    # Heartbeats arrive directly, and echo this host's readings.
    mutual = 'mutual'
    # Heartbeats arrive directly, but without recent echoes: this host's
    # heartbeats may not arrive at the peer.
    inbound = 'inbound'
    # Only other hosts report signs of life.
    relayed = 'relayed'
    # No signs of life arrive.
    lost = 'lost'


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """Show one peer that the sender is live, and echo the peer's reading.

    `reading` is the sender's clock in whole milliseconds. `echo` is the
    last reading received from the receiver's incarnation
    `echo_incarnation`, which proves that the message was sent after that
    reading. `revision` is that of the sender's profile, `known_revision`
    that of the receiver's profile as the sender holds it. `silent_hosts`
    lists hosts whose heartbeats do not arrive at the sender and whose
    liveness the receiver should relay; it may include the receiver.
    """

    incarnation: Incarnation
    reading: int
    echo: int
    echo_incarnation: Incarnation
    revision: int
    known_revision: int
    version: Version
    silent_hosts: tuple[HostId, ...] = ()


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Introduction:
    """Profiles of the sender, first if included, and of other hosts."""

    profiles: tuple[HostProfile, ...]


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Relayed:
    """Confirm liveness of a host whose heartbeats do not reach the receiver.

    The sender received one at most `age_ms` before it sent this.
    """

    profile: HostProfile
    reading: int
    age_ms: int


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """Liveness of a host, for hosts that do not monitor it.

    `reading` is the clock of that host at its last heartbeat. The verdict
    with the latest reading applies; at equal readings a loss does.
    """

    host_id: HostId
    incarnation: Incarnation
    reading: int
    live: bool


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Departed:
    """Announce that an incarnation has completed all work and stops."""

    host_id: HostId
    incarnation: Incarnation


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Forward:
    """Ask the receiver to forward `message` to `to`, past a broken link."""

    to: HostId
    message: Any
