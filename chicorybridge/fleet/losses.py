"""Reports of lost hosts to other zones.

The hosts of a zone hear each other every second, those of other zones only by
turns, which become longer with the fleet. So the first hosts of a zone tell
other zones which hosts of theirs they have lost.
"""

import dataclasses
import itertools
from collections.abc import Iterable

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import HostId, Incarnation
from chicorybridge.fleet.host_tables import HostRecord, HostTable, zone_order


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LostHost:
    """A host of which nothing came to its zone for `silent_ms`."""

    host_id: HostId
    incarnation: Incarnation
    silent_ms: int


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostsLost:
    """Report the hosts that a zone has lost lately to another zone."""

    hosts: tuple[LostHost, ...]


class LossReports:
    """The hosts of the own zone that were lost lately."""

    def __init__(self, *, host_table: HostTable) -> None:
        """Start without losses."""
        self._host_table = host_table
        self._lost_by_id: dict[HostId, HostRecord] = {}

    def add(self, lost: Iterable[HostRecord]) -> None:
        """Add the hosts of the own zone that have timed out.

        Hosts that this one never heard are left out: when they were last
        heard is known to others only.
        """
        for record in lost:
            is_in_zone = record.profile.zone_id == self._host_table.zone_id
            if is_in_zone and record.heard:
                self._lost_by_id[record.profile.host_id] = record

    def report(self, *, serving: bool, now: Millis) -> HostsLost | None:
        """Return what this host has to tell other zones now, if anything.

        `serving` is whether this host serves; only the first ones that do
        send reports. They are repeated, as datagrams may be lost and the
        receivers may be gone, too. A host that hears nothing at all has lost
        all others by itself.
        """
        self._forget_old(now)
        hears_others = self._host_table.in_touch(
            now=now, within_ms=settings.MAX_REPORTER_SILENCE_MS
        )
        if not hears_others:
            return None
        order = zone_order(self._host_table, serving=serving)
        if self._host_table.host_id not in order[: settings.LOSS_REPORTERS]:
            return None
        hosts = tuple(
            LostHost(
                host_id=host_id,
                incarnation=record.profile.incarnation,
                silent_ms=round(now - record.arrived_after),
            )
            for host_id, record in itertools.islice(
                self._lost_by_id.items(), settings.MAX_REPORTED_LOSSES
            )
        )
        return HostsLost(hosts=hosts) if hosts else None

    def _forget_old(self, now: Millis) -> None:
        heard_ids = {profile.host_id for profile in self._host_table.in_zone()}
        self._lost_by_id = {
            host_id: record
            for host_id, record in self._lost_by_id.items()
            if now - record.message_at <= settings.LOSS_REPORTED_MS
            and host_id not in heard_ids
        }


def drop_lost(table: HostTable, report: HostsLost, *, now: Millis) -> bool:
    """Drop reported hosts from `table`; return whether any was in it.

    Hosts that this one has heard since the sender did are kept.
    """
    dropped = [
        table.drop(
            lost.host_id,
            lost.incarnation,
            silent_since=Millis(now - lost.silent_ms),
        )
        for lost in report.hosts
    ]
    return any(dropped)
