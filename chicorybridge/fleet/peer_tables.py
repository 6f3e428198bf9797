"""The table of links to all known hosts."""

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, Incarnation
from chicorybridge.fleet.links import NEVER, NO_INCARNATION, Link
from chicorybridge.fleet.profiles import Heartbeat, HostProfile
from chicorybridge.fleet.topologies import is_full_mesh, select_peers

# Ended incarnations are recorded, so that delayed messages do not add them
# again. This is how many are kept.
MAX_ENDED_INCARNATIONS = 4096


class PeerTable:
    """Keep one link for each known host except this one.

    `generation` counts changes of profiles and of the set of known hosts.
    """

    def __init__(self, *, profile: HostProfile) -> None:
        """Start without peers; `profile` is that of this host."""
        self.own_profile = profile
        self.links_by_id: dict[HostId, Link] = {}
        self.generation = 0
        # Time, on this host's clock, of the latest request to which the
        # store returned the head version of the configuration.
        self.store_read_at: Millis = NEVER
        self.monitored_links: list[Link] = []
        # Number of changes of live hosts and of this host's profile.
        self.liveness_changes = 0
        self.live_count = 0
        self._ended: dict[Incarnation, None] = {}
        self._selected_generation = -1

    @property
    def is_full_mesh(self) -> bool:
        """Return whether every host exchanges heartbeats with all others."""
        return is_full_mesh(len(self.links_by_id) + 1)

    def update_selection(self, *, now: Millis) -> None:
        """Select the peers again if the known hosts have changed."""
        if self._selected_generation == self.generation:
            return
        self._selected_generation = self.generation
        links = self.links_by_id.values()
        selected = self._select()
        for link in links:
            if link.host_id in selected and not link.selected:
                link.selected_at = now
            link.selected = link.host_id in selected
            link.monitored = link.selected or link.is_direct(now)
            if link.is_presumed_live and not link.live:
                self.set_live(link, live=True)
        self.monitored_links = [other for other in links if other.monitored]

    def start_monitoring(self, link: Link) -> None:
        """Exchange heartbeats with a peer that selected this host."""
        if not link.monitored:
            link.monitored = True
            self.monitored_links.append(link)

    def stop_monitoring(self, link: Link) -> None:
        """End heartbeats with a lost peer, unless this host selected it."""
        if link.selected:
            return
        link.monitored = False
        self.monitored_links.remove(link)

    def set_live(self, link: Link, *, live: bool) -> None:
        """Mark a host as live or as lost."""
        self.live_count += live - link.live
        link.live = live
        self.liveness_changes += 1

    def has_ended(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation was marked as ended."""
        return incarnation in self._ended

    def mark_ended(self, incarnation: Incarnation) -> None:
        """Record that an incarnation has ended."""
        if incarnation == NO_INCARNATION:
            return
        self._ended[incarnation] = None
        if len(self._ended) > MAX_ENDED_INCARNATIONS:
            self._ended.pop(next(iter(self._ended)))

    def link(self, host_id: HostId, *, now: Millis) -> Link:
        """Return the link to a host; create one for an unknown host."""
        link = self.links_by_id.get(host_id)
        if link is None:
            link = Link(host_id=host_id, known_at=now)
            self.links_by_id[host_id] = link
            # The next selection decides whether to monitor the host.
            link.monitored = False
            link.selected = False
            self.generation += 1
        return link

    def accept_incarnation(
        self, link: Link, heartbeat: Heartbeat, *, now: Millis
    ) -> bool:
        """Switch to the incarnation of a heartbeat; return whether accepted.

        While heartbeats of the old incarnation arrive, the new one must
        echo a newer reading than the old one did. A delayed message of an
        earlier incarnation cannot do so.
        """
        is_confirmed = (
            heartbeat.echo_incarnation == self.own_profile.incarnation
            and heartbeat.echo > link.acked_at
            and heartbeat.echo > link.known_at
        )
        if is_confirmed:
            self.mark_ended(link.incarnation)
        elif link.incarnation != NO_INCARNATION and link.is_direct(now):
            return False
        self._restart(link, heartbeat.incarnation, now)
        return True

    def forget(self, host_id: HostId) -> None:
        """Remove a host that will not return in this incarnation."""
        link = self.links_by_id.pop(host_id, None)
        if link is None:
            return
        if link in self.monitored_links:
            self.monitored_links.remove(link)
        self.live_count -= link.live
        self.mark_ended(link.incarnation)
        self.generation += 1

    def record_profile(self, profile: HostProfile, *, now: Millis) -> bool:
        """Store a profile; return whether it was new.

        A profile of another incarnation is ignored while the current one
        sends heartbeats to this host.
        """
        if profile.host_id == self.own_profile.host_id:
            return False
        if self.has_ended(profile.incarnation):
            return False
        link = self.link(profile.host_id, now=now)
        if link.incarnation != profile.incarnation:
            if link.is_direct(now):
                return False
            self._restart(link, profile.incarnation, now)
        if link.revision >= profile.revision:
            return False
        self._set_profile(link, profile)
        return True

    def _select(self) -> set[HostId]:
        if self.is_full_mesh:
            return set(self.links_by_id)
        links = self.links_by_id.values()
        return select_peers(
            self.own_profile,
            [link.profile for link in links if link.profile],
            [link.host_id for link in links if not link.profile],
        )

    def _restart(
        self, link: Link, incarnation: Incarnation, now: Millis
    ) -> None:
        link.restart(incarnation, now=now)
        self.generation += 1

    def _set_profile(self, link: Link, profile: HostProfile) -> None:
        link.profile = profile
        is_in_region = profile.region_id == self.own_profile.region_id
        link.interval_ms = (
            settings.HEARTBEAT_INTERVAL_MS
            if is_in_region
            else settings.CROSS_REGION_HEARTBEAT_INTERVAL_MS
        )
        self.generation += 1
