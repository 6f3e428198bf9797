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
from chicorybridge.configuration.headreads import HeadReads
from chicorybridge.configuration.holdings import Held, Holdings
from chicorybridge.configuration.spreads import BODY_TOKEN, Spreads
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

    It must be ticked after the membership system. `settled` tells
    whether all work on this host that contradicts a declaration, in its
    entry processes too, is given up.
    """

    def __init__(
        self, *, members: Members, settled: Callable[[Declaration], bool]
    ) -> None:
        """Start with no version; take no work until one is held."""
        self._members = members
        self._holdings = Holdings(settled=settled)
        self._spreads = Spreads(members=members, holdings=self._holdings)
        self._confirmations = Confirmations(
            members=members, holdings=self._holdings
        )
        self._joinings = JoinGate(
            members=members,
            holdings=self._holdings,
            confirmations=self._confirmations,
        )
        self._applies = Applies(
            members=members,
            holdings=self._holdings,
            spreads=self._spreads,
            confirmations=self._confirmations,
        )
        self._operators = Operators(
            members=members,
            holdings=self._holdings,
            applies=self._applies,
            confirmations=self._confirmations,
        )
        self._heads = HeadReads(members=members)
        members.ready = False

    @property
    def held(self) -> Held | None:
        """Return the version in force with its declaration."""
        return self._holdings.held

    @property
    def confirmed(self) -> Version:
        """Return the version that this host confirmed."""
        return self._holdings.confirmed

    def may_serve(self, *, now: Millis) -> bool:
        """Return whether this host may take new work at `now`."""
        return now <= self.lease_until()

    def lease_until(self) -> Millis:
        """Return until when this host may take new work, as things are."""
        return self._members.lease_until()

    def tick(self, *, now: Millis) -> Effects:
        """Fetch, confirm, join, and take the applies on."""
        return [
            *self._heads.tick(now=now),
            *self._spreads.fetch(now=now),
            *self._confirmations.confirm(now=now),
            *self._joinings.tick(now=now),
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
        return self._spreads.take_beat(message, sender=sender, now=now)

    @_take.register
    def _take_offer(
        self, message: VersionOffered, sender: HostId, now: Millis
    ) -> Effects:
        self._confirmations.add_collector(message.collector)
        return self._spreads.take_offer(message, sender=sender, now=now)

    @_take.register
    def _take_wanted(
        self, message: BodyWanted, sender: HostId, now: Millis
    ) -> Effects:
        return self._spreads.answer(message, sender=sender, now=now)

    @_take.register
    def _take_body(
        self, message: BodySent, sender: HostId, now: Millis
    ) -> Effects:
        return [
            *self._spreads.take_body(message, now=now),
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
            return self._spreads.take_object(message, now=now)
        read = self._heads.read(message)
        if read is None:
            return ()
        self._joinings.record_head(read.head.version, asked_at=read.asked_at)
        return self._spreads.learn(read.head, now=now)
