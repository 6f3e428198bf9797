"""Decisions on leases, and on which hosts are excused.

A configuration version does not need the confirmation of an excused host,
as that host takes no work.
"""

import math

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId
from chicorybridge.fleet.links import NEVER, Link
from chicorybridge.fleet.peer_tables import PeerTable

ALWAYS = Millis(float('inf'))


class Peers(PeerTable):
    """The known hosts, and the decisions that depend on groups of them."""

    @property
    def representative_links(self) -> list[Link]:
        """Return the links that represent the fleet.

        In a full mesh these are all links, otherwise those with heartbeats.
        """
        if self.is_full_mesh:
            return list(self.links_by_id.values())
        return self.monitored_links

    def group_acked_at(self) -> Millis:
        """Return the latest reading that a large enough group has echoed.

        It is a reading of this host's clock. With this host, the group is
        too large for the rest of the fleet to excuse it.
        """
        if not self.links_by_id:
            return ALWAYS
        if (
            not self.is_full_mesh
            and self._live_share() <= settings.MIN_GROUP_SHARE
        ):
            return NEVER
        acked_times = sorted(
            (link.acked_at for link in self.representative_links), reverse=True
        )
        if not acked_times:
            return NEVER
        needed = math.floor((len(acked_times) + 1) * settings.MIN_GROUP_SHARE)
        return acked_times[max(needed, 1) - 1]

    def lease_until(self) -> Millis:
        """Return when the lease of this host on taking new work expires.

        The lease is renewed when the store returns the head version of the
        configuration, or when a large enough group of hosts echoes a reading
        of this host.
        """
        confirmed_at = max(self.group_acked_at(), self.store_read_at)
        return Millis(confirmed_at + settings.SERVING_LEASE_MS)

    def is_lease_expired(self, now: Millis) -> bool:
        """Return whether the lease of this host on new work has expired."""
        return now > self.lease_until()

    def excused(self, now: Millis) -> set[HostId]:
        """Return the silent hosts that certainly take no new work.

        They have been silent for longer than their lease lasts, and are
        too few to keep their leases as a group.
        """
        silent = [
            link for link in self.links_by_id.values() if link.is_silent(now)
        ]
        share = len(silent) / (len(self.links_by_id) + 1)
        if share > settings.MAX_EXCUSED_SHARE and len(silent) > 1:
            return set()
        return {
            link.host_id
            for link in silent
            if now - link.silent_since > settings.EXCUSE_AFTER_MS
        }

    def _live_share(self) -> float:
        return (self.live_count + 1) / (len(self.links_by_id) + 1)
