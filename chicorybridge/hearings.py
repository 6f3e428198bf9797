"""What a host does with each message on membership that it hears."""

import functools
from typing import Any

from chicorybridge.clocks import Millis
from chicorybridge.events import Event, EventKind
from chicorybridge.heartbeats import Heartbeats
from chicorybridge.identities import HostId
from chicorybridge.peers import Peers
from chicorybridge.profiles import (
    Departed,
    Forward,
    Heartbeat,
    Introduction,
    Relayed,
)
from chicorybridge.stores import StoreOutcome, StoreReply
from chicorybridge.systems import Effect, Effects, Emit, Send

HOSTS_TOKEN = 'members:hosts'


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
            greeting.append(self._heartbeats.introduce(link, everyone=True))
            if not self._peers.adopt(link, message, now=now):
                return greeting
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
            self._peers.learn(profile, now=now)
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
        self._forget(link.host_id)
        return [told(EventKind.peer_lost, link.host_id, 'departed')]

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

    def _forget(self, host_id: HostId) -> None:
        self._peers.forget(host_id)
        self._heartbeats.forget(host_id)
