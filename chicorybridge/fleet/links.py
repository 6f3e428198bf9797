"""Links to peers: what is heard over each, and how old it can be."""

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
    """What this host knows of one other host.

    Times are on this host's clock: `heard_at` when a message last came
    directly, `relayed_at` the latest time for which another host vouches,
    `proven_at` the latest own reading that the peer echoed, `known_at`
    when the host became known. `reading` is the peer's own clock.
    """

    host_id: HostId
    known_at: Millis
    interval_ms: int = settings.HEARTBEAT_MS
    incarnation: Incarnation = NO_INCARNATION
    profile: HostProfile | None = None
    reading: int = NO_READING
    heard_at: Millis = NEVER
    relayed_at: Millis = NEVER
    acked_at: Millis = NEVER
    # When `reading` last grew, by whatever way.
    advanced_at: Millis = NEVER
    # Revision of this host's profile that the peer holds.
    acked_revision: int = NO_READING
    listed: HostState | None = None
    # When the peer last said that it does not hear this host directly.
    unheard_at: Millis = NEVER
    # Whether the host counts as live; changes raise an event.
    live: bool = False
    # Whether this host chose the peer, and whether they hear each other;
    # of all other hosts it knows by the verdicts of their peers.
    selected: bool = True
    monitored: bool = True
    selected_at: Millis = NEVER
    # When a verdict came that the host is lost.
    declared_lost_at: Millis = NEVER

    @property
    def loss_timeout_ms(self) -> int:
        """Return the silence after which the link counts as lost."""
        return self.interval_ms * settings.LOST_BEATS

    @property
    def revision(self) -> int:
        """Return the revision of the peer's profile held here."""
        return self.profile.revision if self.profile else NO_READING

    @property
    def is_presumed_live(self) -> bool:
        """Return whether a host known by others counts as live."""
        if self.monitored or self.profile is None:
            return False
        return self.declared_lost_at == NEVER and self.heard_at == NEVER

    @property
    def silent_since(self) -> Millis:
        """Return when the last sign of life came in.

        Nothing newer was ever echoed to the host, so its own proof of
        being heard is no younger.
        """
        latest = max(self.advanced_at, self.known_at)
        return latest if self.monitored else max(latest, self.declared_lost_at)

    def is_silent(self, now: Millis) -> bool:
        """Return whether no sign of life came for too long."""
        if not self.monitored:
            return not self.live
        return now - self.silent_since > self.loss_timeout_ms

    def restart(self, incarnation: Incarnation, *, now: Millis) -> None:
        """Forget what belonged to an earlier incarnation of the peer."""
        self.incarnation = incarnation
        self.profile = None
        self.reading = NO_READING
        self.acked_revision = NO_READING
        self.acked_at = NEVER
        self.relayed_at = NEVER
        self.declared_lost_at = NEVER
        self.known_at = now

    def record_heartbeat(
        self, beat: Heartbeat, *, own: Incarnation, now: Millis
    ) -> None:
        """Take in a heartbeat; `own` is this host's incarnation."""
        self.heard_at = now
        self.update_reading(beat.reading, now)
        if beat.echo_of != own or beat.echo == NO_READING:
            return
        self.acked_revision = beat.known
        self.acked_at = max(self.acked_at, Millis(beat.echo))

    def record_relay(
        self, relayed: Relayed, *, acked_at: Millis, now: Millis
    ) -> None:
        """Take in a relay by a peer that is proven until `proven_at`."""
        self.update_reading(relayed.reading, now)
        heard_at = Millis(acked_at - relayed.age_ms)
        self.relayed_at = max(self.relayed_at, heard_at)

    def is_direct(self, now: Millis) -> bool:
        """Return whether the peer is heard directly."""
        return now - self.heard_at <= self.loss_timeout_ms

    def is_acked(self, now: Millis) -> bool:
        """Return whether the peer lately proved that it hears this host."""
        return now - self.acked_at <= self.loss_timeout_ms

    def is_in_grace_period(self, now: Millis) -> bool:
        """Return whether a peer was chosen too lately to count as lost."""
        if self.is_direct(now):
            return False
        return now - self.selected_at <= self.loss_timeout_ms

    def is_two_way(self, now: Millis) -> bool:
        """Return whether messages pass directly both ways."""
        if now - self.unheard_at <= self.loss_timeout_ms:
            return False
        return self.is_direct(now) and self.is_acked(now)

    def reach(self, now: Millis) -> Reach:
        """Return how the peer is heard."""
        if self.is_direct(now):
            return Reach.mutual if self.is_acked(now) else Reach.inbound
        # A relay is older by up to one interval of the asking heartbeat.
        bound = self.loss_timeout_ms + self.interval_ms
        if now - self.relayed_at <= bound:
            return Reach.relayed
        return Reach.lost

    def update_reading(self, reading: int, now: Millis) -> None:
        """Note the latest clock reading of the peer."""
        if reading > self.reading:
            self.reading = reading
            self.advanced_at = now
