"""The table of links to all known hosts, and what groups of them mean."""

import math

from chicorybridge import settings
from chicorybridge.clocks import Millis
from chicorybridge.identities import HostId, Incarnation
from chicorybridge.links import NEVER, NO_INCARNATION, Link
from chicorybridge.profiles import Heartbeat, HostProfile

ALWAYS = Millis(float('inf'))

# Incarnations remembered as gone, so that late messages revive none.
GONE_KEPT = 4096


class Peers:
    """Keep one link for each known host but the own.

    `generation` counts the changes of profiles and of the hosts known.
    """

    def __init__(self, *, profile: HostProfile) -> None:
        """Start without peers; `profile` is the own one."""
        self.own = profile
        self.links_by_id: dict[HostId, Link] = {}
        self.generation = 0
        # Latest own time at which the store is proven to have given this
        # host the head of the configuration.
        self.store_proven_at: Millis = NEVER
        self._gone: dict[Incarnation, None] = {}

    def is_gone(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation is known to have ended."""
        return incarnation in self._gone

    def bury(self, incarnation: Incarnation) -> None:
        """Remember that an incarnation has ended."""
        if incarnation == NO_INCARNATION:
            return
        self._gone[incarnation] = None
        if len(self._gone) > GONE_KEPT:
            self._gone.pop(next(iter(self._gone)))

    def link(self, host_id: HostId, *, now: Millis) -> Link:
        """Return the link to a host, a new one for an unknown host."""
        known = self.links_by_id.get(host_id)
        if known is None:
            known = Link(host_id=host_id, known_at=now)
            self.links_by_id[host_id] = known
            self.generation += 1
        return known

    def adopt(self, link: Link, beat: Heartbeat, *, now: Millis) -> bool:
        """Take a heartbeat of an unknown incarnation; say if it counts.

        While the link is alive, the new incarnation must first echo a
        newer reading than the old one did, which a late message cannot.
        """
        proves = (
            beat.echo_of == self.own.incarnation
            and beat.echo > link.proven_at
            and beat.echo > link.known_at
        )
        if proves:
            self.bury(link.incarnation)
        elif link.incarnation != NO_INCARNATION and link.is_direct(now):
            return False
        self._restart(link, beat.incarnation, now)
        return True

    def forget(self, host_id: HostId) -> None:
        """Drop a host that is gone for good."""
        link = self.links_by_id.pop(host_id, None)
        if link is None:
            return
        self.bury(link.incarnation)
        self.generation += 1

    def learn(self, profile: HostProfile, *, now: Millis) -> bool:
        """Take in a profile; return whether it was news.

        Another incarnation gives way to one that is heard directly.
        """
        if profile.host_id == self.own.host_id:
            return False
        if self.is_gone(profile.incarnation):
            return False
        link = self.link(profile.host_id, now=now)
        if link.incarnation != profile.incarnation:
            if link.is_direct(now):
                return False
            self._restart(link, profile.incarnation, now)
        if link.revision >= profile.revision:
            return False
        self._describe(link, profile)
        return True

    def group_proven_at(self) -> Millis:
        """Return the latest time at which a large enough group heard us.

        The group is too large for the rest of the fleet to excuse it.
        """
        proven = sorted(
            (link.proven_at for link in self.links_by_id.values()),
            reverse=True,
        )
        if not proven:
            return ALWAYS
        needed = math.floor((len(proven) + 1) * settings.GROUP_SHARE)
        return proven[max(needed, 1) - 1]

    def lease_until(self) -> Millis:
        """Return until when this host may take new work, as things are.

        It goes on while the store lately gave it the head of the
        configuration, or while a large enough group of hosts hears it.
        """
        proven_at = max(self.group_proven_at(), self.store_proven_at)
        return Millis(proven_at + settings.CUT_OFF_MS)

    def is_cut_off(self, now: Millis) -> bool:
        """Return whether this host must take no new work."""
        return now > self.lease_until()

    def excused(self, now: Millis) -> set[HostId]:
        """Return the silent hosts that are sure to take no new work.

        They have been silent for longer than it takes them to find
        themselves cut off, and are too few to go on as a group.
        """
        silent = [
            link
            for link in self.links_by_id.values()
            if now - link.silent_since > link.lost_after_ms
        ]
        share = len(silent) / (len(self.links_by_id) + 1)
        if share > settings.EXCUSE_SHARE and len(silent) > 1:
            return set()
        return {
            link.host_id
            for link in silent
            if now - link.silent_since > settings.EXCUSE_MS
        }

    def _restart(
        self, link: Link, incarnation: Incarnation, now: Millis
    ) -> None:
        link.restart(incarnation, now=now)
        self.generation += 1

    def _describe(self, link: Link, profile: HostProfile) -> None:
        link.profile = profile
        near = profile.region_id == self.own.region_id
        link.interval_ms = (
            settings.HEARTBEAT_MS if near else settings.FAR_HEARTBEAT_MS
        )
        self.generation += 1
