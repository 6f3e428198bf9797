"""Rollouts: configuration accepted once, in force everywhere, never back.

A version is durable in the platform first, then in force on each host
as it arrives, and accepted when every live host confirmed it.
"""

import functools
from collections.abc import Callable
from typing import Any

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, Version
from chicorybridge.common.systems import Effects, System
from chicorybridge.configuration.applies import APPLY_TOKEN, Applies
from chicorybridge.configuration.confirmations import Confirmations
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.configuration.distributors import BODY_TOKEN, Distributor
from chicorybridge.configuration.head_pollers import HeadPoller
from chicorybridge.configuration.version_states import (
    ActiveVersion,
    VersionState,
)
from chicorybridge.configuration.versions import (
    BodySent,
    BodyWanted,
    ReportWanted,
    VersionOffered,
    VersionReport,
)
from chicorybridge.control.operators import Operators
from chicorybridge.fleet.join_gates import JoinGate
from chicorybridge.fleet.members import Members
from chicorybridge.fleet.profiles import Heartbeat
from chicorybridge.storage.stores import StoreReply


class Rollouts(System):
    """Hold the declaration in force and carry versions to all hosts.

    It must be ticked after the membership system. `is_settled` tells
    whether all work on this host that contradicts a declaration, in its
    entry processes too, is given up.
    """

    def __init__(
        self, *, members: Members, is_settled: Callable[[Declaration], bool]
    ) -> None:
        """Start with no version; take no work until one is held."""
        self._members = members
        self._version_state = VersionState(is_settled=is_settled)
        self._distributor = Distributor(
            members=members, version_state=self._version_state
        )
        self._confirmations = Confirmations(
            members=members, version_state=self._version_state
        )
        self._join_gate = JoinGate(
            members=members,
            version_state=self._version_state,
            confirmations=self._confirmations,
        )
        self._applies = Applies(
            members=members,
            version_state=self._version_state,
            distributor=self._distributor,
            confirmations=self._confirmations,
        )
        self._operators = Operators(
            members=members,
            version_state=self._version_state,
            applies=self._applies,
            confirmations=self._confirmations,
        )
        self._head_poller = HeadPoller(members=members)
        members.ready = False

    @property
    def active(self) -> ActiveVersion | None:
        """Return the version in force with its declaration."""
        return self._version_state.active

    @property
    def confirmed(self) -> Version:
        """Return the version that this host confirmed."""
        return self._version_state.confirmed

    def may_serve(self, *, now: Millis) -> bool:
        """Return whether this host may take new work at `now`."""
        return now <= self.lease_until()

    def lease_until(self) -> Millis:
        """Return until when this host may take new work, as things are."""
        return self._members.lease_until()

    def tick(self, *, now: Millis) -> Effects:
        """Fetch, confirm, join, and take the applies on."""
        return [
            *self._head_poller.tick(now=now),
            *self._distributor.fetch(now=now),
            *self._confirmations.confirm(now=now),
            *self._join_gate.tick(now=now),
            *self._applies.tick(now=now),
            *self._operators.tick(now=now),
        ]

    def receive(self, message: Any, *, sender: HostId, now: Millis) -> Effects:
        """Take in what peers, operators and the platform say."""
        return [
            *self._operators.take(message, sender, now),
            *self._take(message, sender, now),
        ]

    @functools.singledispatchmethod
    def _take(self, message: Any, sender: HostId, now: Millis) -> Effects:
        return ()

    @_take.register
    def _take_beat(
        self, message: Heartbeat, sender: HostId, now: Millis
    ) -> Effects:
        return self._distributor.take_beat(message, sender=sender, now=now)

    @_take.register
    def _take_offer(
        self, message: VersionOffered, sender: HostId, now: Millis
    ) -> Effects:
        self._confirmations.add_collector(message.collector)
        return self._distributor.take_offer(message, sender=sender, now=now)

    @_take.register
    def _take_wanted(
        self, message: BodyWanted, sender: HostId, now: Millis
    ) -> Effects:
        return self._distributor.answer(message, sender=sender, now=now)

    @_take.register
    def _take_body(
        self, message: BodySent, sender: HostId, now: Millis
    ) -> Effects:
        return [
            *self._distributor.take_body(message, now=now),
            *self._confirmations.confirm(now=now),
        ]

    @_take.register
    def _take_report_wanted(
        self, message: ReportWanted, sender: HostId, now: Millis
    ) -> Effects:
        return self._confirmations.answer(message, now=now)

    @_take.register
    def _take_report(
        self, message: VersionReport, sender: HostId, now: Millis
    ) -> Effects:
        self._confirmations.take(message)
        return ()

    @_take.register
    def _take_reply(
        self, message: StoreReply, sender: HostId, now: Millis
    ) -> Effects:
        if message.token.startswith(APPLY_TOKEN):
            return self._applies.take_reply(message, now=now)
        if message.token == BODY_TOKEN:
            return self._distributor.take_object(message, now=now)
        read = self._head_poller.read(message)
        if read is None:
            return ()
        self._join_gate.record_head(
            read.head.version, requested_at=read.requested_at
        )
        return self._distributor.learn(read.head, now=now)
