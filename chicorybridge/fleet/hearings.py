"""What a host does with each message on membership that it hears."""

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

# Reason of a change that other hosts told.
VERDICT = 'verdict'


def told(kind: EventKind, host_id: HostId, reason: str) -> Emit:
    """Return the event that something happened to a host."""
    facts = {'host_id': host_id, 'reason': reason}
    return Emit(event=Event(kind=kind, facts=facts))


class Hearings:
    """Apply messages of peers and of the platform to the links."""

    def __init__(self, *, peers: Peers, heartbeats: Heartbeats) -> None:
        """Work on the tables of the membership system."""
        self._peers = peers
        self._heartbeats = heartbeats
        # Profiles learnt since the last tick, to be passed on.
        self._news_by_id: dict[HostId, HostProfile] = {}

    def pass_news(self) -> list[Send]:
        """Pass the profiles on that others may not have heard of."""
        if not self._news_by_id:
            return []
        profiles = tuple(self._news_by_id.values())
        self._news_by_id = {}
        return self._pass_on(Introduction(profiles=profiles))

    def judge(
        self, link: Link, *, live: bool, reason: str, now: Millis
    ) -> Effects:
        """Count a host as live or lost, and tell those who cannot hear it.

        Only the loss of a host that was heard is told, and its return.
        """
        known = link.condemned_at if live else link.heard_at
        worth_telling = reason == VERDICT or known != NEVER
        link.condemned_at = NEVER if live else now
        effects: list[Effect] = []
        if link.live != live and (reason != VERDICT or not link.monitored):
            self._peers.set_live(link, live=live)
            kind = EventKind.peer_heard if live else EventKind.peer_lost
            effects.append(told(kind, link.host_id, reason))
        if worth_telling:
            effects.extend(self._pass_on(_verdict(link, live=live)))
        return effects

    @functools.singledispatchmethod
    def take(self, message: Any, sender: HostId, now: Millis) -> Effects:
        """Take in one message; other messages are left alone."""
        return ()

    @take.register
    def _take_beat(
        self, message: Heartbeat, sender: HostId, now: Millis
    ) -> Effects:
        if self._peers.is_gone(message.incarnation):
            return ()
        link = self._peers.link(sender, now=now)
        greeting: list[Effect] = []
        if link.incarnation != message.incarnation:
            greeting.extend(self._greet(link))
            if not self._peers.adopt(link, message, now=now):
                return greeting
        self._peers.attach(link)
        link.hear(message, own=self._peers.own.incarnation, now=now)
        if self._peers.own.host_id in message.unheard:
            link.unheard_at = now
        relays = self._heartbeats.vouch(message, sender=sender, now=now)
        return [*greeting, *relays]

    @take.register
    def _take_introduction(
        self, message: Introduction, sender: HostId, now: Millis
    ) -> Effects:
        for profile in message.profiles:
            if self._peers.learn(profile, now=now):
                self._news_by_id[profile.host_id] = profile
        return ()

    @take.register
    def _take_relayed(
        self, message: Relayed, sender: HostId, now: Millis
    ) -> Effects:
        voucher = self._peers.links_by_id.get(sender)
        if voucher is None or not voucher.is_proven(now):
            return ()
        self._heartbeats.helpers.add(sender)
        self._peers.learn(message.profile, now=now)
        link = self._peers.links_by_id.get(message.profile.host_id)
        if link and link.incarnation == message.profile.incarnation:
            link.vouch(message, proven_at=voucher.proven_at, now=now)
        return ()

    @take.register
    def _take_departed(
        self, message: Departed, sender: HostId, now: Millis
    ) -> Effects:
        self._peers.bury(message.incarnation)
        link = self._peers.links_by_id.get(message.host_id)
        if link is None or link.incarnation != message.incarnation:
            return ()
        passed_on = self._pass_on(message)
        self._forget(link.host_id)
        return [told(EventKind.peer_lost, link.host_id, 'departed'), *passed_on]

    @take.register
    def _take_verdict(
        self, message: Verdict, sender: HostId, now: Millis
    ) -> Effects:
        if message.host_id == self._peers.own.host_id:
            return self._object(message, sender, now)
        link = self._peers.links_by_id.get(message.host_id)
        if link is None or link.incarnation != message.incarnation:
            return ()
        if link.monitored and link.is_direct(now):
            return self._refute(link, message, sender)
        newer = message.reading > link.reading
        # At the same reading the loss is the later word.
        loss = link.condemned_at == NEVER and not message.live
        if not newer and not (loss and message.reading == link.reading):
            return ()
        link.advance(message.reading, now)
        return self.judge(link, live=message.live, reason=VERDICT, now=now)

    @take.register
    def _take_forward(
        self, message: Forward, sender: HostId, now: Millis
    ) -> Effects:
        return [Send(to=message.to, message=message.message)]

    @take.register
    def _take_reply(
        self, message: StoreReply, sender: HostId, now: Millis
    ) -> Effects:
        if message.token != HOSTS_TOKEN:
            return ()
        if message.outcome is not StoreOutcome.done:
            return ()
        listed = {host.host_id for host in message.hosts}
        for host in message.hosts:
            if host.host_id != self._peers.own.host_id:
                self._peers.link(host.host_id, now=now).listed = host.state
        for host_id in self._peers.excused(now) - listed:
            self._forget(host_id)
        return ()

    def _greet(self, link: Link) -> list[Send]:
        greeting = [self._heartbeats.introduce(link, everyone=True)]
        if self._peers.is_mesh:
            return greeting
        # A profile is taken for that of a live host unless told otherwise.
        verdicts = (
            _verdict(other, live=False)
            for other in self._peers.links_by_id.values()
            if other.condemned_at != NEVER
        )
        told_to = link.host_id
        return greeting + [
            Send(to=told_to, message=verdict) for verdict in verdicts
        ]

    def _pass_on(self, message: Any) -> list[Send]:
        # In a full mesh everybody was told at first hand.
        if self._peers.is_mesh:
            return []
        return self._heartbeats.tell_all(message)

    def _object(self, message: Verdict, sender: HostId, now: Millis) -> Effects:
        own = self._peers.own
        if message.live or message.incarnation != own.incarnation:
            return ()
        alive = dataclasses.replace(message, reading=int(now), live=True)
        return [Send(to=sender, message=alive)]

    def _refute(self, link: Link, message: Verdict, sender: HostId) -> Effects:
        if message.live or link.reading <= message.reading:
            return ()
        alive = dataclasses.replace(message, reading=link.reading, live=True)
        return [Send(to=sender, message=alive)]

    def _forget(self, host_id: HostId) -> None:
        self._peers.forget(host_id)
        self._heartbeats.forget(host_id)


def _verdict(link: Link, *, live: bool) -> Verdict:
    return Verdict(
        host_id=link.host_id,
        incarnation=link.incarnation,
        reading=link.reading,
        live=live,
    )
