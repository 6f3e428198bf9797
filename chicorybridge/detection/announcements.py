"""Announcements of ejections to peers and to local entry processes.

An announcement of a peer is valid for `FRESH_MS` after the local clock
reading that its stamp echoes.
"""

from collections.abc import Iterable

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, ServiceId, TargetId, ZoneId
from chicorybridge.common.systems import (
    Effect,
    Effects,
    Send,
    SendToEntries,
    System,
)
from chicorybridge.detection.notices import (
    Ejection,
    EjectionNotice,
    PeerAnnouncement,
    TargetLimits,
)
from chicorybridge.fleet.freshness import FRESH_MS, Freshness, StampRequest
from chicorybridge.routing.weights import TRIAL_WEIGHT

# Interval at which unchanged ejections are announced again.
ANNOUNCE_INTERVAL_MS = 1000.0
# A fresher announcement is requested from the peer if the one received is
# valid for less than this.
MIN_VALIDITY_MS = 2500.0


class Announcements(System):
    """Announce ejections to peers and entries; apply those of peers."""

    def __init__(
        self, *, host_id: HostId, zone_id: ZoneId, freshness: Freshness
    ) -> None:
        """Start without ejections."""
        # Ejections that this host decided.
        self.own_by_id: dict[TargetId, Ejection] = {}
        self._host_id = host_id
        self._zone_id = zone_id
        self._freshness = freshness
        self._announcements_by_host: dict[HostId, PeerAnnouncement] = {}
        self._peers: tuple[HostId, ...] = ()
        self._limits: dict[TargetId, float] = {}
        self._next_notice_at = Millis(0)
        self._next_limits_at = Millis(0)

    def update_hosts(self, host_ids: Iterable[HostId]) -> None:
        """Set the live hosts, to which ejections are announced."""
        self._peers = tuple(
            host_id for host_id in host_ids if host_id != self._host_id
        )

    def ejector_of(self, target_id: TargetId, *, now: Millis) -> HostId | None:
        """Return the host that ejected a target, if any."""
        if target_id in self.own_by_id:
            return self._host_id
        for host_id, announcement in self._announcements_by_host.items():
            if announcement.valid_until > now and announcement.contains(
                target_id
            ):
                return host_id
        return None

    def active_ejections(self, *, now: Millis) -> dict[TargetId, Ejection]:
        """Return the ejections of this host and the valid ones of peers."""
        ejections = {
            ejection.target_id: ejection
            for announcement in self._announcements_by_host.values()
            if announcement.valid_until > now
            for ejection in announcement.ejections
        }
        return ejections | self.own_by_id

    def ejected_slots(self, service_id: ServiceId, *, now: Millis) -> int:
        """Return the slots of a service that belong to ejected targets."""
        return sum(
            ejection.slots
            for ejection in self.active_ejections(now=now).values()
            if ejection.service_id == service_id
        )

    def publish(self, *, now: Millis) -> list[Effect]:
        """Announce a change in the ejections of this host."""
        self._next_notice_at = Millis(now + ANNOUNCE_INTERVAL_MS)
        notices = [self._notice(host_id, now=now) for host_id in self._peers]
        return [*notices, *self._send_limits(now=now)]

    def tick(self, *, now: Millis) -> Effects:
        """Repeat announcements; update entries when one has expired."""
        if self.own_by_id and now >= self._next_notice_at:
            return self.publish(now=now)
        return self._send_limits(now=now)

    def receive(
        self, message: object, *, sender: HostId, now: Millis
    ) -> Effects:
        """Handle announcements and requests for fresher ones."""
        match message:
            case EjectionNotice():
                return self._accept_notice(message, sender=sender, now=now)
            case StampRequest() if self.own_by_id:
                return (self._notice(sender, now=now),)
        return ()

    def _notice(self, host_id: HostId, *, now: Millis) -> Send:
        message = EjectionNotice(
            stamp=self._freshness.stamp(to=host_id, now=now),
            ejections=tuple(self.own_by_id.values()),
        )
        return Send(to=host_id, message=message)

    def _accept_notice(
        self, notice: EjectionNotice, *, sender: HostId, now: Millis
    ) -> Effects:
        stamp = notice.stamp
        echo = self._freshness.record(stamp, sender=sender, now=now)
        last = self._announcements_by_host.get(sender)
        if last is not None and last.stamp.is_newer_than(stamp):
            return ()
        valid_until = Millis(echo + FRESH_MS)
        self._announcements_by_host[sender] = PeerAnnouncement(
            ejections=notice.ejections, stamp=stamp, valid_until=valid_until
        )
        entry_effects = self._send_limits(now=now)
        if valid_until - now >= MIN_VALIDITY_MS or not notice.ejections:
            return entry_effects
        request = StampRequest(stamp=self._freshness.stamp(to=sender, now=now))
        return (Send(to=sender, message=request), *entry_effects)

    def _send_limits(self, *, now: Millis) -> list[Effect]:
        """Send limits to entries on change, and repeat them while any exist."""
        limits = {
            ejection.target_id: TRIAL_WEIGHT if ejection.on_trial else 0
            for ejection in self.active_ejections(now=now).values()
            if not ejection.zones or self._zone_id in ejection.zones
        }
        is_due = bool(limits) and now >= self._next_limits_at
        if limits == self._limits and not is_due:
            return []
        self._limits = limits
        self._next_limits_at = Millis(now + ANNOUNCE_INTERVAL_MS)
        expiry_times = [
            announcement.valid_until
            for announcement in self._announcements_by_host.values()
            if announcement.valid_until > now and announcement.ejections
        ]
        message = TargetLimits(
            limits_by_id=limits,
            valid_until=min([Millis(now + FRESH_MS), *expiry_times]),
        )
        return [SendToEntries(message=message)]
