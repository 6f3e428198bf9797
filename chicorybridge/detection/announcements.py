"""Ejections as hosts announce them to each other and to their entries.

Every host honours an announcement only while it is fresh by echo.
"""

from collections.abc import Iterable

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, ServiceId, TargetId, ZoneId
from chicorybridge.common.systems import (
    Effect,
    Effects,
    Send,
    SendEntries,
    System,
)
from chicorybridge.detection.notices import (
    Ejection,
    EjectionNotice,
    Heard,
    TargetLimits,
)
from chicorybridge.fleet.freshness import FRESH_MS, Freshness, StampRequest
from chicorybridge.routing.weights import TRIAL_WEIGHT

# Time between two announcements of the same ejections.
NOTICE_MS = 1000.0
# An announcement that is honoured for less than this needs a fresher one.
LEAST_HONOURED_MS = 2500.0


class Announcements(System):
    """Tell peers and entries what is ejected, and hear it from peers."""

    def __init__(
        self, *, host_id: HostId, zone_id: ZoneId, freshness: Freshness
    ) -> None:
        """Start with no target out."""
        # The ejections that this host decided.
        self.own: dict[TargetId, Ejection] = {}
        self._host_id = host_id
        self._zone_id = zone_id
        self._freshness = freshness
        self._heard_by_host: dict[HostId, Heard] = {}
        self._hosts: tuple[HostId, ...] = ()
        self._limits: dict[TargetId, float] = {}
        self._notice_at = Millis(0)
        self._limits_at = Millis(0)

    def update_hosts(self, host_ids: Iterable[HostId]) -> None:
        """Take in the live hosts, which are told of ejections."""
        self._hosts = tuple(
            host_id for host_id in host_ids if host_id != self._host_id
        )

    def ejector_of(self, target_id: TargetId, *, now: Millis) -> HostId | None:
        """Return the host that ejected a target, if any."""
        if target_id in self.own:
            return self._host_id
        for host_id, heard in self._heard_by_host.items():
            if heard.until > now and heard.has(target_id):
                return host_id
        return None

    def honoured(self, *, now: Millis) -> dict[TargetId, Ejection]:
        """Return the ejections of this host and the fresh ones of peers."""
        ejections = {
            ejection.target_id: ejection
            for heard in self._heard_by_host.values()
            if heard.until > now
            for ejection in heard.ejections
        }
        return ejections | self.own

    def slots_out(self, service_id: ServiceId, *, now: Millis) -> int:
        """Return the slots that ejections take from a service."""
        return sum(
            ejection.slots
            for ejection in self.honoured(now=now).values()
            if ejection.service_id == service_id
        )

    def publish(self, *, now: Millis) -> list[Effect]:
        """Announce a change of what this host ejected."""
        self._notice_at = Millis(now + NOTICE_MS)
        notices = [self._notice(host_id, now=now) for host_id in self._hosts]
        return [*notices, *self._tell_entries(now=now)]

    def tick(self, *, now: Millis) -> Effects:
        """Repeat what is out; tell the entries when something lapsed."""
        if self.own and now >= self._notice_at:
            return self.publish(now=now)
        return self._tell_entries(now=now)

    def receive(
        self, message: object, *, sender: HostId, now: Millis
    ) -> Effects:
        """Take in announcements, and requests for fresher ones."""
        match message:
            case EjectionNotice():
                return self._hear(message, sender=sender, now=now)
            case StampRequest() if self.own:
                return (self._notice(sender, now=now),)
        return ()

    def _notice(self, host_id: HostId, *, now: Millis) -> Send:
        message = EjectionNotice(
            stamp=self._freshness.stamp(to=host_id, now=now),
            ejections=tuple(self.own.values()),
        )
        return Send(to=host_id, message=message)

    def _hear(
        self, notice: EjectionNotice, *, sender: HostId, now: Millis
    ) -> Effects:
        stamp = notice.stamp
        echo = self._freshness.record(stamp, sender=sender, now=now)
        last = self._heard_by_host.get(sender)
        if last is not None and last.stamp.is_newer_than(stamp):
            return ()
        until = Millis(echo + FRESH_MS)
        self._heard_by_host[sender] = Heard(
            ejections=notice.ejections, stamp=stamp, until=until
        )
        told = self._tell_entries(now=now)
        if until - now >= LEAST_HONOURED_MS or not notice.ejections:
            return told
        request = StampRequest(stamp=self._freshness.stamp(to=sender, now=now))
        return (Send(to=sender, message=request), *told)

    def _tell_entries(self, *, now: Millis) -> list[Effect]:
        """Send the limits when they change, and while there are any."""
        limits = {
            ejection.target_id: TRIAL_WEIGHT if ejection.on_trial else 0
            for ejection in self.honoured(now=now).values()
            if not ejection.zones or self._zone_id in ejection.zones
        }
        is_due = bool(limits) and now >= self._limits_at
        if limits == self._limits and not is_due:
            return []
        self._limits = limits
        self._limits_at = Millis(now + NOTICE_MS)
        untils = [
            heard.until
            for heard in self._heard_by_host.values()
            if heard.until > now and heard.ejections
        ]
        message = TargetLimits(
            limits_by_id=limits,
            valid_until=min([Millis(now + FRESH_MS), *untils]),
        )
        return [SendEntries(message=message)]
