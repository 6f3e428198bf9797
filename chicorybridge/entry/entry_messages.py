"""Messages between the entry processes of a host and its control process."""

import dataclasses
from typing import Any

from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import Version


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryOpened:
    """Announce the address of an entry process; sent as its first message."""

    entry_id: str
    address: str


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryClosing:
    """Announce that an entry process is shutting down gracefully."""

    entry_id: str


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryReport:
    """Report the version and the load of an entry process, each tick.

    `in_flight` counts the connections with a request that is not answered
    yet, `superseded` the requests that run under an older configuration
    than `version`.
    """

    entry_id: str
    version: Version
    in_flight: int
    superseded: int
    connections: int


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EventsReport:
    """Send new events of an entry process for the timeline."""

    records: tuple[dict[str, Any], ...]


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MetricsReport:
    """Send counters and encoded histograms, both since process start."""

    counts_by_name: dict[str, int]
    histograms_by_name: dict[str, bytes]


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FleetSent:
    """Notify entry processes of the size of the fleet.

    `processes` counts the entry processes of the whole fleet,
    `zone_processes` and `region_processes` those in the zone and in the
    region of this host.
    """

    processes: int
    zone_processes: int
    region_processes: int
