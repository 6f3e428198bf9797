"""Queries of operators about a single host, and the replies."""

import dataclasses
from typing import Any

from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import HostId, Incarnation, Version, ZoneId
from chicorybridge.entry.entry_messages import MetricsReport


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimelineRequested:
    """Request the recent events of all processes of a host."""


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Timeline:
    """The recent events of a host, in the form of its log records."""

    records: tuple[dict[str, Any], ...]


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MetricsRequested:
    """Request the counters and histograms of a host."""


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostMetrics:
    """The metrics of a host, one report for each entry process."""

    host_id: HostId
    reports: tuple[MetricsReport, ...]


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostsRequested:
    """Request the fleet as a host sees it."""


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KnownHost:
    """The profile of one host, as stored by the host that replies.

    See `HostProfile` for the fields.
    """

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
    """The live hosts in the view of a host, itself included.

    `version` is the configuration that the replying host confirmed.
    """

    version: Version
    hosts: tuple[KnownHost, ...]
