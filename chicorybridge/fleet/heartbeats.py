"""Schedule and contents of the heartbeats that a host sends."""

import random
from collections.abc import Iterator
from typing import Any

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, Version
from chicorybridge.common.systems import Effect, Send
from chicorybridge.fleet.links import NEVER, Link
from chicorybridge.fleet.peers import Peers
from chicorybridge.fleet.profiles import Heartbeat, Introduction, Relayed

# Number of peers asked to relay liveness of hosts whose heartbeats do not
# arrive here, and of such hosts listed in one heartbeat.
RELAY_COUNT = 8
MAX_SILENT_LISTED = 16


class Heartbeats:
    """Send heartbeats to peers, and relay liveness of other hosts to them.

    A heartbeat lists hosts whose heartbeats do not arrive at its sender;
    the receiver reports those whose heartbeats it receives itself.
    `relays` are the peers to which this host sends its list.
    """

    def __init__(self, *, peers: Peers, rng: random.Random) -> None:
        """Send to `peers`; `rng` spreads the load and selects relays."""
        self.relays: set[HostId] = set()
        self._peers = peers
        self._rng = rng
        self._due_by_id: dict[HostId, Millis] = {}
        self._relays_due: Millis = NEVER

    def forget(self, host_id: HostId) -> None:
        """Cancel the next heartbeat to a host."""
        self._due_by_id.pop(host_id, None)

    def broadcast(self, message: Any) -> list[Send]:
        """Send `message` to every monitored peer."""
        return [
            Send(to=link.host_id, message=message)
            for link in self._peers.monitored_links
        ]

    def send_due(self, *, version: Version, now: Millis) -> Iterator[Effect]:
        """Send the heartbeats that are due.

        Peers that do not hold the latest profile of this host get it first.
        """
        if now >= self._relays_due:
            self._relays_due = Millis(
                now + settings.CROSS_REGION_HEARTBEAT_INTERVAL_MS
            )
            self.relays = set(self.sample_two_way(RELAY_COUNT, now=now))
        silent_hosts = self._silent_hosts(now)
        for link in self._peers.monitored_links:
            if now < self._due_by_id.get(link.host_id, NEVER):
                continue
            self._schedule(link, now)
            if link.acked_revision < self._peers.own_profile.revision:
                yield self.introduce(link)
            yield self._heartbeat(link, silent_hosts, version, now)

    def introduce(self, link: Link, *, include_others: bool = False) -> Send:
        """Send a peer this host's profile, optionally with all others."""
        profiles = [self._peers.own_profile]
        if include_others:
            profiles += [
                other.profile
                for other in self._peers.links_by_id.values()
                if other.profile and other is not link
            ]
        return Send(
            to=link.host_id, message=Introduction(profiles=tuple(profiles))
        )

    def relay_silent(
        self, message: Heartbeat, *, sender: HostId, now: Millis
    ) -> Iterator[Effect]:
        """Report hosts that are silent for `sender` but not for this host."""
        for host_id in message.silent_hosts:
            link = self._peers.links_by_id.get(host_id)
            if link is None or link.profile is None:
                continue
            if not link.is_direct(now):
                continue
            relayed = Relayed(
                profile=link.profile,
                reading=link.reading,
                age_ms=int(now - link.heartbeat_at) + 1,
            )
            yield Send(to=sender, message=relayed)

    def sample_two_way(self, count: int, *, now: Millis) -> list[HostId]:
        """Return random peers among those reachable in both directions."""
        two_way = [
            link.host_id
            for link in self._peers.monitored_links
            if link.is_two_way(now)
        ]
        return self._rng.sample(two_way, min(count, len(two_way)))

    def _schedule(self, link: Link, now: Millis) -> None:
        # A random first interval spreads the load over time.
        share = 1 if link.host_id in self._due_by_id else self._rng.random()
        due = now + share * link.interval_ms
        self._due_by_id[link.host_id] = Millis(due)

    def _heartbeat(
        self,
        link: Link,
        silent_hosts: tuple[HostId, ...],
        version: Version,
        now: Millis,
    ) -> Send:
        to_relay = silent_hosts if link.host_id in self.relays else ()
        if not link.is_direct(now):
            to_relay = (link.host_id, *to_relay)
        heartbeat = Heartbeat(
            incarnation=self._peers.own_profile.incarnation,
            reading=int(now),
            echo=link.reading,
            echo_incarnation=link.incarnation,
            revision=self._peers.own_profile.revision,
            known_revision=link.revision,
            version=version,
            silent_hosts=to_relay,
        )
        return Send(to=link.host_id, message=heartbeat)

    def _silent_hosts(self, now: Millis) -> tuple[HostId, ...]:
        silent_hosts = [
            link.host_id
            for link in self._peers.monitored_links
            if not link.is_direct(now)
        ]
        if len(silent_hosts) <= MAX_SILENT_LISTED:
            return tuple(silent_hosts)
        return tuple(self._rng.sample(silent_hosts, MAX_SILENT_LISTED))
