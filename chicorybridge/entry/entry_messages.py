"""Messages between the entry processes of a host and its control process."""

import dataclasses
from typing import Any

from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import Version


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryOpened:
    """Say where an entry process takes callers; its first message."""

    entry_id: str
    address: str


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryClosing:
    """Say that a planned stop of an entry process has begun."""

    entry_id: str


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryReport:
    """Say, each tick, what governs an entry process and what it does.

    `superseded` counts the requests under way that an older version than
    `version` governs.
    """

    entry_id: str
    version: Version
    in_flight: int
    superseded: int
    connections: int


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EventsReport:
    """Pass new events of an entry process on for the time line."""

    records: tuple[dict[str, Any], ...]


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MetricsReport:
    """Pass counts and encoded histograms on, both since the start."""

    counts_by_name: dict[str, int]
    histograms_by_name: dict[str, bytes]


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FleetSent:
    """Tell entry processes of the fleet around them.

    `processes` counts the entry processes of the fleet, the others those
    of the zone and of the region of this host.
    """

    processes: int
    zone_processes: int
    region_processes: int
