"""Membership: the live hosts, and whether this host may take work."""

import dataclasses
import random
from collections.abc import Iterator
from typing import Any

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.events import EventKind
from chicorybridge.common.identities import NO_VERSION, HostId, Version
from chicorybridge.common.systems import (
    CallStore,
    Effect,
    Effects,
    Send,
    System,
)
from chicorybridge.fleet.heartbeats import Heartbeats
from chicorybridge.fleet.links import NEVER, Link
from chicorybridge.fleet.membership_handlers import (
    HOSTS_TOKEN,
    MembershipHandler,
    host_event,
)
from chicorybridge.fleet.peers import Peers
from chicorybridge.fleet.profiles import (
    Departed,
    Forward,
    HostProfile,
    Introduction,
    Reach,
)
from chicorybridge.storage.stores import ListedHost, ListHosts

# Number of peers that forward a message when the direct link is broken.
FORWARDER_COUNT = 2
# Random variation of the interval between polls of the host list.
LIST_JITTER = 0.5


class Members(System):
    """Track the hosts of the fleet and whether this one is cut off.

    The system that holds the configuration sets `version`, which is sent
    in heartbeats, and sets `ready` to false to keep this host from taking
    work. `generation` counts the changes of live hosts and of their
    profiles, so that other systems can detect them.
    """

    def __init__(
        self,
        *,
        profile: HostProfile,
        rng: random.Random,
        seeds: tuple[ListedHost, ...] = (),
    ) -> None:
        """Start with `seeds` as the first hosts to contact."""
        self.peers = Peers(profile=profile)
        self._heartbeats = Heartbeats(peers=self.peers, rng=rng)
        self.version: Version = NO_VERSION
        self.ready = True
        self._handler = MembershipHandler(
            peers=self.peers, heartbeats=self._heartbeats
        )
        self._seeds = seeds
        self._rng = rng
        self._list_due: Millis = NEVER

    @property
    def profile(self) -> HostProfile:
        """Return the profile of this host."""
        return self.peers.own_profile

    @property
    def generation(self) -> int:
        """Return a number that increases when live hosts or profiles change."""
        return self.peers.generation + self.peers.liveness_changes

    @property
    def hosts_by_id(self) -> dict[HostId, HostProfile]:
        """Return the live hosts with a known profile, including this one."""
        live = {
            link.host_id: link.profile
            for link in self.peers.links_by_id.values()
            if link.live and link.profile
        }
        return {**live, self.profile.host_id: self.profile}

    def is_cut_off(self, now: Millis) -> bool:
        """Return whether this host must take no new work."""
        return not self.profile.taking or self.peers.is_lease_expired(now)

    def lease_until(self) -> Millis:
        """Return when the lease on new work expires unless it is renewed."""
        if self.profile.taking:
            return self.peers.lease_until()
        return NEVER

    def update_profile(self, **changes: Any) -> Effects:
        """Change fields of this host's profile and send it to all peers."""
        revision = self.profile.revision + 1
        self.peers.own_profile = dataclasses.replace(
            self.profile, revision=revision, **changes
        )
        self.peers.liveness_changes += 1
        return self._heartbeats.broadcast(
            Introduction(profiles=(self.profile,))
        )

    def announce_departure(self) -> Effects:
        """Announce to all monitored peers that this host stops; sent last."""
        return self._heartbeats.broadcast(
            Departed(
                host_id=self.profile.host_id,
                incarnation=self.profile.incarnation,
            )
        )

    def send_or_forward(
        self, to: HostId, message: Any, *, now: Millis
    ) -> Effects:
        """Send to one host, and through other peers if the link is broken."""
        direct = Send(to=to, message=message)
        link = self.peers.links_by_id.get(to)
        if link is None or not link.monitored or link.is_two_way(now):
            return [direct]
        forwarded = Forward(to=to, message=message)
        forwarders = self._heartbeats.sample_two_way(FORWARDER_COUNT, now=now)
        return [direct, *(Send(to=to, message=forwarded) for to in forwarders)]

    def tick(self, *, now: Millis) -> Effects:
        """Poll the platform's host list, update links, send heartbeats."""
        self.peers.update_selection(now=now)
        return [
            *self._poll(now),
            *self._handler.gossip_profiles(),
            *self._review_links(now),
            *self._review_own_state(now),
            *self._heartbeats.send_due(version=self.version, now=now),
        ]

    def receive(self, message: Any, *, sender: HostId, now: Millis) -> Effects:
        """Handle a membership message of a peer or of the platform."""
        return self._handler.handle(message, sender, now)

    def _poll(self, now: Millis) -> Iterator[Effect]:
        for seed in self._seeds:
            if seed.host_id != self.profile.host_id:
                self.peers.link(seed.host_id, now=now)
        self._seeds = ()
        if now >= self._list_due:
            # Jitter spreads the polls of all hosts over the interval, so
            # that some host sees a change early.
            share = self._rng.uniform(1 - LIST_JITTER, 1 + LIST_JITTER)
            # Longer intervals in fleets above MAX_FULL_MESH_HOSTS keep the
            # total read rate of the fleet constant.
            host_count = len(self.peers.links_by_id)
            share *= max(1, host_count / settings.MAX_FULL_MESH_HOSTS)
            self._list_due = Millis(
                now + share * settings.HOST_LIST_INTERVAL_MS
            )
            yield CallStore(token=HOSTS_TOKEN, request=ListHosts())

    def _review_links(self, now: Millis) -> Iterator[Effect]:
        for link in tuple(self.peers.monitored_links):
            if link.reach(now) is not Reach.lost:
                yield from self._set_liveness(link, now, live=True)
            elif not link.is_in_grace_period(now):
                # The host may be live and have stopped heartbeats because it
                # selected other peers; those then refute the loss.
                yield from self._set_liveness(link, now, live=False)
                self.peers.stop_monitoring(link)

    def _set_liveness(self, link: Link, now: Millis, *, live: bool) -> Effects:
        if live == link.live:
            return ()
        reason = link.reach(now).value
        return self._handler.set_liveness(
            link, live=live, reason=reason, now=now
        )

    def _review_own_state(self, now: Millis) -> Iterator[Effect]:
        taking = self.ready and not self.peers.is_lease_expired(now)
        if taking == self.profile.taking:
            return
        kind = EventKind.host_returned if taking else EventKind.host_withdrawn
        reason = 'ready' if self.ready else 'not ready'
        yield host_event(kind, self.profile.host_id, reason)
        yield from self.update_profile(taking=taking)
