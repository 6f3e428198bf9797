"""Targets that leave: learnt from whichever sign comes first."""

import dataclasses
import functools
from typing import Any

from chicorybridge import settings
from chicorybridge.common.attempts import Attempt
from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.events import Event, EventKind
from chicorybridge.common.identities import HostId, TargetId
from chicorybridge.common.systems import (
    Effect,
    Effects,
    Emit,
    Send,
    SendEntries,
    System,
)
from chicorybridge.fleet.links import NEVER
from chicorybridge.fleet.members import Members
from chicorybridge.fleet.membership_handlers import HOSTS_TOKEN
from chicorybridge.storage.stores import HostState, StoreOutcome, StoreReply


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetLeaving:
    """Tell a peer of a target that gave a sign of leaving."""

    target_id: TargetId


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetsLeaving:
    """Tell the entry processes which targets get no new work."""

    target_ids: tuple[TargetId, ...]


@dataclasses.dataclass(kw_only=True, slots=True)
class Departure:
    """One leaving target: its last sign, and when peers were told."""

    signed_at: Millis
    told_at: Millis = NEVER


class Departures(System):
    """Know the leaving targets; a target's own id names it in the list.

    Signs are the platform's list, the target's own signal on an answer,
    and the word of peers.
    """

    def __init__(self, *, members: Members) -> None:
        """Start with no target leaving."""
        self.departures_by_id: dict[TargetId, Departure] = {}
        self._members = members
        self._review_due: Millis = NEVER

    def is_leaving(self, target_id: TargetId) -> bool:
        """Return whether a target must get no new work."""
        return target_id in self.departures_by_id

    def tick(self, *, now: Millis) -> Effects:
        """Forget targets that gave no sign for long."""
        if now < self._review_due or not self.departures_by_id:
            return ()
        self._review_due = Millis(now + settings.HOST_LIST_MS)
        kept = {
            target_id: departure
            for target_id, departure in self.departures_by_id.items()
            if now - departure.signed_at <= settings.LEAVING_MS
        }
        if len(kept) == len(self.departures_by_id):
            return ()
        self.departures_by_id = kept
        return [self._tell_entries()]

    def receive(self, message: Any, *, sender: HostId, now: Millis) -> Effects:
        """Take in signs of leaving from all sides."""
        return self._take(message, sender, now)

    def see_sign(self, target_id: TargetId, *, now: Millis) -> Effects:
        """Take in a sign that this host saw itself, and tell the peers."""
        effects = list(self._learn(target_id, 'own', now))
        departure = self.departures_by_id[target_id]
        # Told again before peers would forget it.
        if now - departure.told_at <= settings.LEAVING_MS / 2:
            return effects
        departure.told_at = now
        told = TargetLeaving(target_id=target_id)
        peers = self._members.peers.links_by_id
        return [*effects, *(Send(to=peer, message=told) for peer in peers)]

    @functools.singledispatchmethod
    def _take(self, message: Any, sender: HostId, now: Millis) -> Effects:
        return ()

    @_take.register
    def _take_attempt(
        self, message: Attempt, sender: HostId, now: Millis
    ) -> Effects:
        if not message.leaving:
            return ()
        return self.see_sign(message.target_id, now=now)

    @_take.register
    def _take_word(
        self, message: TargetLeaving, sender: HostId, now: Millis
    ) -> Effects:
        return self._learn(message.target_id, 'peer', now)

    @_take.register
    def _take_list(
        self, message: StoreReply, sender: HostId, now: Millis
    ) -> Effects:
        if message.token != HOSTS_TOKEN:
            return ()
        if message.outcome is not StoreOutcome.done:
            return ()
        effects: list[Effect] = []
        for host in message.hosts:
            if host.state is HostState.leaving:
                target_id = TargetId(host.host_id)
                effects.extend(self.see_sign(target_id, now=now))
        return effects

    def _learn(self, target_id: TargetId, source: str, now: Millis) -> Effects:
        known = self.departures_by_id.get(target_id)
        if known:
            known.signed_at = now
            return ()
        self.departures_by_id[target_id] = Departure(signed_at=now)
        facts = {'target_id': target_id, 'source': source}
        event = Event(kind=EventKind.target_leaving, facts=facts)
        return [self._tell_entries(), Emit(event=event)]

    def _tell_entries(self) -> SendEntries:
        leaving = tuple(sorted(self.departures_by_id))
        return SendEntries(message=TargetsLeaving(target_ids=leaving))
