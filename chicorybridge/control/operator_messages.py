"""What operators ask of one control process, besides versions."""

import dataclasses
from typing import Any

from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import HostId, Incarnation, Version, ZoneId
from chicorybridge.entry.entry_messages import MetricsReport


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimelineRequested:
    """Ask for the events that a host keeps, of all its processes."""


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Timeline:
    """The events that a host keeps, as they were written."""

    records: tuple[dict[str, Any], ...]


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MetricsRequested:
    """Ask for the counts and histograms of a host."""


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostMetrics:
    """The metrics of the entry processes of a host."""

    host_id: HostId
    reports: tuple[MetricsReport, ...]


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostsRequested:
    """Ask which hosts a host knows."""


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KnownHost:
    """A host as another one knows it."""

    host_id: HostId
    incarnation: Incarnation
    address: str
    entries: tuple[str, ...]
    zone_id: ZoneId
    taking: bool
    leaving: bool


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KnownHosts:
    """The hosts that a host knows, itself included."""

    version: Version
    hosts: tuple[KnownHost, ...]
