"""Handlers of the membership messages of peers and the platform."""

import dataclasses
import functools
from typing import Any

from chicorybridge.common.clocks import Millis
from chicorybridge.common.events import Event, EventKind
from chicorybridge.common.identities import HostId
from chicorybridge.common.systems import Effect, Effects, Emit, Send
from chicorybridge.fleet.heartbeats import Heartbeats
from chicorybridge.fleet.links import NEVER, Link
from chicorybridge.fleet.peers import Peers
from chicorybridge.fleet.profiles import (
    Departed,
    Forward,
    Heartbeat,
    HostProfile,
    Introduction,
    Relayed,
    Verdict,
)
from chicorybridge.storage.stores import StoreOutcome, StoreReply

HOSTS_TOKEN = 'members:hosts'

# Reason of a liveness change that a peer's `Verdict` message reported.
VERDICT = 'verdict'


def host_event(kind: EventKind, host_id: HostId, reason: str) -> Emit:
    """Return an effect that logs an event about a host."""
    facts = {'host_id': host_id, 'reason': reason}
    return Emit(event=Event(kind=kind, facts=facts))


class MembershipHandler:
    """Update the links with messages of peers and of the platform."""

    def __init__(self, *, peers: Peers, heartbeats: Heartbeats) -> None:
        """Update `peers`; `heartbeats` sends the messages that result."""
        self._peers = peers
        self._heartbeats = heartbeats
        # New profiles since the last tick, to be gossiped.
        self._new_profiles_by_id: dict[HostId, HostProfile] = {}

    def gossip_profiles(self) -> list[Send]:
        """Forward the new profiles to all peers."""
        if not self._new_profiles_by_id:
            return []
        profiles = tuple(self._new_profiles_by_id.values())
        self._new_profiles_by_id = {}
        return self._gossip(Introduction(profiles=profiles))

    def set_liveness(
        self, link: Link, *, live: bool, reason: str, now: Millis
    ) -> Effects:
        """Mark a host as live or lost, and gossip the change.

        The gossip is for hosts that do not monitor it. A loss seen by this
        host is gossiped only if a heartbeat of the host arrived before, and
        its return only if it was declared lost.
        """
        previous_at = link.declared_lost_at if live else link.heartbeat_at
        must_be_gossiped = reason == VERDICT or previous_at != NEVER
        link.declared_lost_at = NEVER if live else now
        effects: list[Effect] = []
        if link.live != live and (reason != VERDICT or not link.monitored):
            self._peers.set_live(link, live=live)
            kind = EventKind.peer_heard if live else EventKind.peer_lost
            effects.append(host_event(kind, link.host_id, reason))
        if must_be_gossiped:
            effects.extend(self._gossip(_verdict_on(link, live=live)))
        return effects

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: HostId, now: Millis) -> Effects:
        """Handle one membership message; ignore all others."""
        return ()

    @handle.register
    def _handle_heartbeat(
        self, message: Heartbeat, sender: HostId, now: Millis
    ) -> Effects:
        if self._peers.has_ended(message.incarnation):
            return ()
        link = self._peers.link(sender, now=now)
        introduction: list[Effect] = []
        if link.incarnation != message.incarnation:
            introduction.extend(self._introduce_to(link))
            if not self._peers.accept_incarnation(link, message, now=now):
                return introduction
        self._peers.start_monitoring(link)
        link.record_heartbeat(
            message, own=self._peers.own_profile.incarnation, now=now
        )
        if self._peers.own_profile.host_id in message.silent_hosts:
            link.reported_silent_at = now
        relayed = self._heartbeats.relay_silent(message, sender=sender, now=now)
        return [*introduction, *relayed]

    @handle.register
    def _handle_introduction(
        self, message: Introduction, sender: HostId, now: Millis
    ) -> Effects:
        for profile in message.profiles:
            if self._peers.record_profile(profile, now=now):
                self._new_profiles_by_id[profile.host_id] = profile
        return ()

    @handle.register
    def _handle_relayed(
        self, message: Relayed, sender: HostId, now: Millis
    ) -> Effects:
        relay = self._peers.links_by_id.get(sender)
        if relay is None or not relay.is_acked(now):
            return ()
        self._heartbeats.relays.add(sender)
        self._peers.record_profile(message.profile, now=now)
        link = self._peers.links_by_id.get(message.profile.host_id)
        if link and link.incarnation == message.profile.incarnation:
            link.record_relay(message, acked_at=relay.acked_at, now=now)
        return ()

    @handle.register
    def _handle_departed(
        self, message: Departed, sender: HostId, now: Millis
    ) -> Effects:
        self._peers.mark_ended(message.incarnation)
        link = self._peers.links_by_id.get(message.host_id)
        if link is None or link.incarnation != message.incarnation:
            return ()
        gossip = self._gossip(message)
        self._forget(link.host_id)
        return [
            host_event(EventKind.peer_lost, link.host_id, 'departed'),
            *gossip,
        ]

    @handle.register
    def _handle_verdict(
        self, message: Verdict, sender: HostId, now: Millis
    ) -> Effects:
        if message.host_id == self._peers.own_profile.host_id:
            return self._refute_own_loss(message, sender, now)
        link = self._peers.links_by_id.get(message.host_id)
        if link is None or link.incarnation != message.incarnation:
            return ()
        if link.monitored and link.is_direct(now):
            return self._refute_loss(link, message, sender)
        newer = message.reading > link.reading
        # At equal readings a loss overrides liveness.
        loss = link.declared_lost_at == NEVER and not message.live
        if not newer and not (loss and message.reading == link.reading):
            return ()
        link.update_reading(message.reading, now)
        return self.set_liveness(
            link, live=message.live, reason=VERDICT, now=now
        )

    @handle.register
    def _handle_forward(
        self, message: Forward, sender: HostId, now: Millis
    ) -> Effects:
        return [Send(to=message.to, message=message.message)]

    @handle.register
    def _handle_reply(
        self, message: StoreReply, sender: HostId, now: Millis
    ) -> Effects:
        if message.token != HOSTS_TOKEN:
            return ()
        if message.outcome is not StoreOutcome.done:
            return ()
        listed = {host.host_id for host in message.hosts}
        for host in message.hosts:
            if host.host_id != self._peers.own_profile.host_id:
                self._peers.link(host.host_id, now=now).listed = host.state
        for host_id in self._peers.excused(now) - listed:
            self._forget(host_id)
        return ()

    def _introduce_to(self, link: Link) -> list[Send]:
        introduction = [self._heartbeats.introduce(link, include_others=True)]
        if self._peers.is_full_mesh:
            return introduction
        # The receiver presumes that hosts in the introduction are live, so
        # it also needs to be informed which are lost.
        verdicts = (
            _verdict_on(other, live=False)
            for other in self._peers.links_by_id.values()
            if other.declared_lost_at != NEVER
        )
        recipient = link.host_id
        return introduction + [
            Send(to=recipient, message=verdict) for verdict in verdicts
        ]

    def _gossip(self, message: Any) -> list[Send]:
        # In a full mesh every host gets the original message.
        if self._peers.is_full_mesh:
            return []
        return self._heartbeats.broadcast(message)

    def _refute_own_loss(
        self, message: Verdict, sender: HostId, now: Millis
    ) -> Effects:
        own = self._peers.own_profile
        if message.live or message.incarnation != own.incarnation:
            return ()
        refutation = dataclasses.replace(message, reading=int(now), live=True)
        return [Send(to=sender, message=refutation)]

    def _refute_loss(
        self, link: Link, message: Verdict, sender: HostId
    ) -> Effects:
        if message.live or link.reading <= message.reading:
            return ()
        refutation = dataclasses.replace(
            message, reading=link.reading, live=True
        )
        return [Send(to=sender, message=refutation)]

    def _forget(self, host_id: HostId) -> None:
        self._peers.forget(host_id)
        self._heartbeats.forget(host_id)


def _verdict_on(link: Link, *, live: bool) -> Verdict:
    return Verdict(
        host_id=link.host_id,
        incarnation=link.incarnation,
        reading=link.reading,
        live=live,
    )
