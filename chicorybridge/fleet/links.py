"""State of the link to a peer: its last heartbeat, relay and echo."""

import dataclasses

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, Incarnation
from chicorybridge.fleet.profiles import (
    NO_READING,
    Heartbeat,
    HostProfile,
    Reach,
    Relayed,
)
from chicorybridge.storage.stores import HostState

NEVER = Millis(float('-inf'))
NO_INCARNATION = Incarnation(0)


@dataclasses.dataclass(kw_only=True, slots=True)
class Link:
    """State of one other host, as seen from this host.

    Times are on this host's clock. `heartbeat_at` is when a heartbeat last
    arrived directly, `relayed_at` the latest time at which another host
    provably had a heartbeat of the peer, `acked_at` the latest reading of
    this host's clock that the peer echoed, and `known_at` when the host
    became known. `reading` is the latest reading of the peer's clock.
    """

    host_id: HostId
    known_at: Millis
    interval_ms: int = settings.HEARTBEAT_INTERVAL_MS
    incarnation: Incarnation = NO_INCARNATION
    profile: HostProfile | None = None
    reading: int = NO_READING
    heartbeat_at: Millis = NEVER
    relayed_at: Millis = NEVER
    acked_at: Millis = NEVER
    # When `reading` last increased, directly or through another host.
    advanced_at: Millis = NEVER
    # Revision of this host's profile that the peer reported to hold.
    acked_revision: int = NO_READING
    # State in the platform's host list; `None` if not listed.
    listed: HostState | None = None
    # When the peer last reported that this host's heartbeats do not arrive.
    reported_silent_at: Millis = NEVER
    # Whether the host is considered live; changes are logged as events.
    live: bool = False
    # Whether this host selected the peer, and whether they exchange
    # heartbeats. Liveness of unmonitored hosts comes from the `Verdict`
    # messages of the peers that monitor them.
    selected: bool = True
    monitored: bool = True
    selected_at: Millis = NEVER
    # When this host or a peer declared the host lost.
    declared_lost_at: Millis = NEVER

    @property
    def loss_timeout_ms(self) -> int:
        """Return the time without heartbeats after which a link is lost."""
        return self.interval_ms * settings.MAX_MISSED_HEARTBEATS

    @property
    def revision(self) -> int:
        """Return the revision of the peer's profile that this host holds."""
        return self.profile.revision if self.profile else NO_READING

    @property
    def is_presumed_live(self) -> bool:
        """Return whether a host that only others monitor counts as live.

        It counts as live from the time its profile is known until it is
        declared lost, unless it sent heartbeats to this host before.
        """
        if self.monitored or self.profile is None:
            return False
        return self.declared_lost_at == NEVER and self.heartbeat_at == NEVER

    @property
    def silent_since(self) -> Millis:
        """Return when the last sign of life arrived.

        This host cannot echo a reading that it has not received, so the
        peer cannot renew its lease with a later echo of this host.
        """
        latest = max(self.advanced_at, self.known_at)
        return latest if self.monitored else max(latest, self.declared_lost_at)

    def is_silent(self, now: Millis) -> bool:
        """Return whether signs of life are overdue."""
        if not self.monitored:
            return not self.live
        return now - self.silent_since > self.loss_timeout_ms

    def restart(self, incarnation: Incarnation, *, now: Millis) -> None:
        """Reset the state that belonged to an earlier incarnation."""
        self.incarnation = incarnation
        self.profile = None
        self.reading = NO_READING
        self.acked_revision = NO_READING
        self.acked_at = NEVER
        self.relayed_at = NEVER
        self.declared_lost_at = NEVER
        self.known_at = now

    def record_heartbeat(
        self, heartbeat: Heartbeat, *, own: Incarnation, now: Millis
    ) -> None:
        """Record a heartbeat; `own` is this host's incarnation."""
        self.heartbeat_at = now
        self.update_reading(heartbeat.reading, now)
        if heartbeat.echo_incarnation != own or heartbeat.echo == NO_READING:
            return
        self.acked_revision = heartbeat.known_revision
        self.acked_at = max(self.acked_at, Millis(heartbeat.echo))

    def record_relay(
        self, relayed: Relayed, *, acked_at: Millis, now: Millis
    ) -> None:
        """Record liveness relayed by a peer that last echoed `acked_at`.

        The age in the relay is counted back from that time, which is a
        lower bound for the time of sending.
        """
        self.update_reading(relayed.reading, now)
        proven_at = Millis(acked_at - relayed.age_ms)
        self.relayed_at = max(self.relayed_at, proven_at)

    def is_direct(self, now: Millis) -> bool:
        """Return whether heartbeats arrive directly from the peer."""
        return now - self.heartbeat_at <= self.loss_timeout_ms

    def is_acked(self, now: Millis) -> bool:
        """Return whether the peer recently echoed a reading of this host."""
        return now - self.acked_at <= self.loss_timeout_ms

    def is_in_grace_period(self, now: Millis) -> bool:
        """Return whether a peer was selected too recently to count as lost."""
        if self.is_direct(now):
            return False
        return now - self.selected_at <= self.loss_timeout_ms

    def is_two_way(self, now: Millis) -> bool:
        """Return whether messages arrive directly in both directions."""
        if now - self.reported_silent_at <= self.loss_timeout_ms:
            return False
        return self.is_direct(now) and self.is_acked(now)

    def reach(self, now: Millis) -> Reach:
        """Return how signs of life of the peer arrive here."""
        if self.is_direct(now):
            return Reach.mutual if self.is_acked(now) else Reach.inbound
        # Relays are requested by heartbeats, so they can be older by up
        # to one heartbeat interval.
        bound = self.loss_timeout_ms + self.interval_ms
        if now - self.relayed_at <= bound:
            return Reach.relayed
        return Reach.lost

    def update_reading(self, reading: int, now: Millis) -> None:
        """Record a reading of the peer's clock if it is the latest."""
        if reading > self.reading:
            self.reading = reading
            self.advanced_at = now
