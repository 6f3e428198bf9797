"""Targets that are about to shut down and must get no new requests."""

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
    SendToEntries,
    System,
)
from chicorybridge.fleet.links import NEVER
from chicorybridge.fleet.members import Members
from chicorybridge.fleet.membership_handlers import HOSTS_TOKEN
from chicorybridge.storage.stores import HostState, StoreOutcome, StoreReply


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetLeaving:
    """Inform a peer that a target is leaving."""

    target_id: TargetId


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetsLeaving:
    """Inform entry processes which targets must get no new requests."""

    target_ids: tuple[TargetId, ...]


@dataclasses.dataclass(kw_only=True, slots=True)
class Departure:
    """One leaving target.

    `last_sign_at` is when the last sign that it leaves arrived,
    `announced_at` when this host last informed its peers.
    """

    last_sign_at: Millis
    announced_at: Millis = NEVER


class Departures(System):
    """Keep track of leaving targets.

    A target is leaving if the platform's host list has an entry with the id
    of the target in the state `leaving`, if an answer of the target carries
    the leaving signal, or if a peer announces it.
    """

    def __init__(self, *, members: Members) -> None:
        """Start without leaving targets."""
        self.departures_by_id: dict[TargetId, Departure] = {}
        self._members = members
        self._next_review_at: Millis = NEVER

    def is_leaving(self, target_id: TargetId) -> bool:
        """Return whether a target must get no new requests."""
        return target_id in self.departures_by_id

    def tick(self, *, now: Millis) -> Effects:
        """Drop targets that showed no sign of leaving for `LEAVING_TTL_MS`."""
        if now < self._next_review_at or not self.departures_by_id:
            return ()
        self._next_review_at = Millis(now + settings.HOST_LIST_INTERVAL_MS)
        kept = {
            target_id: departure
            for target_id, departure in self.departures_by_id.items()
            if now - departure.last_sign_at <= settings.LEAVING_TTL_MS
        }
        if len(kept) == len(self.departures_by_id):
            return ()
        self.departures_by_id = kept
        return [self._send_to_entries()]

    def receive(self, message: Any, *, sender: HostId, now: Millis) -> Effects:
        """Handle messages that may show that a target is leaving."""
        return self._handle(message, sender, now)

    def record_sign(self, target_id: TargetId, *, now: Millis) -> Effects:
        """Record a sign that this host saw itself, and inform the peers."""
        effects = list(self._record(target_id, 'own', now))
        departure = self.departures_by_id[target_id]
        # Announce again only after half of `LEAVING_TTL_MS`, which is in time
        # before peers drop the target.
        if now - departure.announced_at <= settings.LEAVING_TTL_MS / 2:
            return effects
        departure.announced_at = now
        announcement = TargetLeaving(target_id=target_id)
        peers = self._members.peers.links_by_id
        return [
            *effects,
            *(Send(to=peer, message=announcement) for peer in peers),
        ]

    @functools.singledispatchmethod
    def _handle(self, message: Any, sender: HostId, now: Millis) -> Effects:
        return ()

    @_handle.register
    def _handle_attempt(
        self, message: Attempt, sender: HostId, now: Millis
    ) -> Effects:
        if not message.leaving:
            return ()
        return self.record_sign(message.target_id, now=now)

    @_handle.register
    def _handle_announcement(
        self, message: TargetLeaving, sender: HostId, now: Millis
    ) -> Effects:
        return self._record(message.target_id, 'peer', now)

    @_handle.register
    def _handle_host_list(
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
                effects.extend(self.record_sign(target_id, now=now))
        return effects

    def _record(self, target_id: TargetId, source: str, now: Millis) -> Effects:
        departure = self.departures_by_id.get(target_id)
        if departure:
            departure.last_sign_at = now
            return ()
        self.departures_by_id[target_id] = Departure(last_sign_at=now)
        facts = {'target_id': target_id, 'source': source}
        event = Event(kind=EventKind.target_leaving, facts=facts)
        return [self._send_to_entries(), Emit(event=event)]

    def _send_to_entries(self) -> SendToEntries:
        leaving = tuple(sorted(self.departures_by_id))
        return SendToEntries(message=TargetsLeaving(target_ids=leaving))
