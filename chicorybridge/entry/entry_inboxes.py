"""What an entry process does with the messages of its control process."""

import functools
from typing import Any

from chicorybridge.claims.claim_clients import ClaimClient
from chicorybridge.claims.claim_messages import ClaimDecided, KeyPrefixIssued
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.collectors import freeze_collector
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.configuration.configurations import activate
from chicorybridge.configuration.versions import (
    DeclarationActivated,
    ServingLease,
)
from chicorybridge.detection.checks import TargetCheck
from chicorybridge.detection.departures import TargetsLeaving
from chicorybridge.detection.notices import TargetLimits
from chicorybridge.entry.entry_lists import EntryListResponder
from chicorybridge.entry.entry_messages import FleetSent
from chicorybridge.entry.entry_states import Duty, EntryState
from chicorybridge.fleet.drains import DrainAdvanced, DrainState
from chicorybridge.fleet.rosters import Roster
from chicorybridge.http.caller_connections import CallerTable
from chicorybridge.routing.crossings import CrossingGranted
from chicorybridge.routing.policies import Policies
from chicorybridge.routing.subsets import FleetSize
from chicorybridge.routing.suspects import CrashSuspected, SuspectCleared

# States of a planned stop in which no new connections are taken, and in
# which answers close their connections.
FINISHING_STATES = frozenset((DrainState.finishing, DrainState.left))
CLOSING_STATES = FINISHING_STATES | {DrainState.closing}


class EntryInbox:
    """Take over what the control process decided for its entries."""

    def __init__(
        self,
        *,
        clock: Clock,
        log: EventLog,
        state: EntryState,
        policies: Policies,
        responder: EntryListResponder,
        claim_client: ClaimClient,
        callers: CallerTable,
    ) -> None:
        """Hand messages to these parts."""
        self._clock = clock
        self._log = log
        self._state = state
        self._policies = policies
        self._responder = responder
        self._claim_client = claim_client
        self._callers = callers

    @functools.singledispatchmethod
    async def take(self, message: Any) -> None:
        """Take in one message; unknown ones are of no concern here."""

    @take.register
    async def _take_declaration(self, message: DeclarationActivated) -> None:
        if message.version <= self._state.version:
            return
        configuration = activate(message)
        self._state.switch(configuration)
        self._policies.configure(configuration, now=self._clock.now())
        freeze_collector()
        self._log.emit(
            Event(
                kind=EventKind.configuration_active,
                facts={'version': message.version},
            )
        )

    @take.register
    async def _take_lease(self, message: ServingLease) -> None:
        self._state.lease_until = Millis(message.until_ms)

    @take.register
    async def _take_fleet(self, message: FleetSent) -> None:
        size = FleetSize(
            processes=message.processes, zone_processes=message.zone_processes
        )
        self._policies.resize(
            size,
            region_processes=message.region_processes,
            now=self._clock.now(),
        )

    @take.register
    async def _take_roster(self, message: Roster) -> None:
        self._responder.roster = message

    @take.register(TargetLimits)
    @take.register(TargetCheck)
    async def _take_judged(self, message: TargetLimits | TargetCheck) -> None:
        self._policies.judge_targets(message, now=self._clock.now())

    @take.register
    async def _take_grant(self, message: CrossingGranted) -> None:
        self._policies.crossings.receive(message, now=self._clock.now())

    @take.register
    async def _take_leaving(self, message: TargetsLeaving) -> None:
        self._policies.mark_leaving(message.target_ids)

    @take.register
    async def _take_prefix(self, message: KeyPrefixIssued) -> None:
        self._responder.key_prefix = message.prefix

    @take.register
    async def _take_decision(self, message: ClaimDecided) -> None:
        await self._claim_client.handle_decision(message)

    @take.register(CrashSuspected)
    @take.register(SuspectCleared)
    async def _take_suspect(
        self, message: CrashSuspected | SuspectCleared
    ) -> None:
        self._policies.quarantine.receive(message, now=self._clock.now())

    @take.register
    async def _take_drain(self, message: DrainAdvanced) -> None:
        if message.state in CLOSING_STATES:
            self._state.duty = Duty.draining
        if message.state in FINISHING_STATES:
            await self._callers.stop_accepting()
            await self._callers.close_idle()
