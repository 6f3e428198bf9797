"""Requests under way at each target, as told by the hosts around.

Hosts of an availability zone tell each other of every change. One of them
tells the other zones of the region the sum, and now and then one host of each
zone of other regions, which passes it on.
"""

import dataclasses
from collections import Counter
from collections.abc import Mapping

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import HostId, TargetId, ZoneId
from chicorybridge.routing.reputations import TargetSeen

Source = HostId | ZoneId


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostWorkload:
    """Tell the zone how many requests of this host each target has.

    It is told whole at each change, so that a lost datagram is made good
    by the next one. `sent_at` is on the sender's clock and orders its
    reports. `seen` tells how the requests fared that have just ended.
    """

    sent_at: float
    in_flight_by_id: Mapping[TargetId, int]
    seen: tuple[TargetSeen, ...] = ()


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ZoneWorkload:
    """Tell other zones how many requests of this one each target has.

    `sent_at` is on the clock of the host that sums up. Within the region,
    `seen` tells of requests that were answered since the last report; other
    regions are told how sound each target of the zone is instead, from 0 to 1.
    """

    zone_id: ZoneId
    sent_at: float
    in_flight_by_id: Mapping[TargetId, int]
    seen: tuple[TargetSeen, ...] = ()
    soundness_by_id: Mapping[TargetId, float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeardWorkload:
    """The last report of a source and when it came."""

    sent_at: float
    in_flight_by_id: Mapping[TargetId, int]
    heard_at: Millis


class HeardWorkloads:
    """The last reports of hosts, or of zones, and their sum."""

    def __init__(self, *, silence_ms: float) -> None:
        """Start without reports; each counts for `silence_ms`."""
        self._silence_ms = silence_ms
        self.total_by_id: Counter[TargetId] = Counter()
        self._heard_by_source: dict[Source, HeardWorkload] = {}

    def hear(
        self,
        source: Source,
        workload: HostWorkload | ZoneWorkload,
        *,
        now: Millis,
    ) -> None:
        """Take in a report, unless a later one of `source` came before."""
        known = self._heard_by_source.get(source)
        if known is not None:
            if known.sent_at > workload.sent_at:
                return
            self.total_by_id.subtract(known.in_flight_by_id)
        self._heard_by_source[source] = HeardWorkload(
            sent_at=workload.sent_at,
            in_flight_by_id=workload.in_flight_by_id,
            heard_at=now,
        )
        self.total_by_id.update(workload.in_flight_by_id)

    def expire(self, *, now: Millis) -> None:
        """Forget sources that fell silent."""
        for source, heard in tuple(self._heard_by_source.items()):
            if now - heard.heard_at > self._silence_ms:
                self._heard_by_source.pop(source)
                self.total_by_id.subtract(heard.in_flight_by_id)
        # Keeps the table as small as the list of targets in use.
        self.total_by_id = +self.total_by_id


class WorkloadTable:
    """Requests under way at targets: own, of the zone, of other zones."""

    def __init__(self, *, zone_id: ZoneId) -> None:
        """Start without requests in `zone_id`."""
        self._zone_id = zone_id
        self._own_by_id: Counter[TargetId] = Counter()
        self._hosts = HeardWorkloads(silence_ms=settings.WORKLOAD_TIMEOUT_MS)
        self._zones = HeardWorkloads(
            silence_ms=settings.ZONE_WORKLOAD_TIMEOUT_MS
        )
        self._answered: list[TargetSeen] = []

    @property
    def is_idle(self) -> bool:
        """Return whether this host has no request under way."""
        return not self._own_by_id

    def at(self, target_id: TargetId) -> int:
        """Return how many requests a target has, as far as is known."""
        near = self._own_by_id[target_id] + self._hosts.total_by_id[target_id]
        return near + self._zones.total_by_id[target_id]

    def started(self, target_id: TargetId) -> None:
        """Count an attempt of this host that begins."""
        self._own_by_id[target_id] += 1

    def finished(self, target_id: TargetId) -> None:
        """Count off an attempt of this host."""
        self._own_by_id[target_id] -= 1
        if self._own_by_id[target_id] <= 0:
            self._own_by_id.pop(target_id)

    def answered(self, seen: TargetSeen) -> None:
        """Keep what other zones are told with the next sum."""
        self._answered.append(seen)

    def report(
        self, *, now: Millis, seen: tuple[TargetSeen, ...] = ()
    ) -> HostWorkload:
        """Return what the zone is told of this host."""
        return HostWorkload(
            sent_at=now, in_flight_by_id=dict(self._own_by_id), seen=seen
        )

    def discard_answers(self) -> None:
        """Forget answers that another host tells other zones of."""
        self._answered.clear()

    def sum_up(self, *, now: Millis) -> ZoneWorkload:
        """Return what other zones are told of this one."""
        seen = tuple(self._answered)
        self._answered.clear()
        whole = self._own_by_id + self._hosts.total_by_id
        return ZoneWorkload(
            zone_id=self._zone_id,
            sent_at=now,
            in_flight_by_id=dict(whole),
            seen=seen,
        )

    def hear(
        self, host_id: HostId, workload: HostWorkload, *, now: Millis
    ) -> None:
        """Take in the report of a host of the zone."""
        self._hosts.hear(host_id, workload, now=now)

    def hear_zone(self, workload: ZoneWorkload, *, now: Millis) -> None:
        """Take in the sum of another zone."""
        self._zones.hear(workload.zone_id, workload, now=now)

    def expire(self, *, now: Millis) -> None:
        """Forget hosts and zones that fell silent; run each tick."""
        self._hosts.expire(now=now)
        self._zones.expire(now=now)
