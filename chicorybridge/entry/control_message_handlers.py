"""Handlers of messages from the control process to an entry process."""

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
from chicorybridge.entry.entry_states import EntryPhase, EntryState
from chicorybridge.fleet.drains import DrainAdvanced, DrainState
from chicorybridge.fleet.rosters import Roster
from chicorybridge.http.caller_connections import CallerConnections
from chicorybridge.routing.crossings import CrossingGranted
from chicorybridge.routing.policies import Policies
from chicorybridge.routing.subsets import FleetSize
from chicorybridge.quarantine.crash_reports import (
    CrashSuspected,
    SuspectCleared,
)

# Stages of a graceful shutdown in which no new connections are accepted.
FINISHING_STATES = frozenset((DrainState.finishing, DrainState.left))
# Stages in which connections are closed after their current answer.
CLOSING_STATES = FINISHING_STATES | {DrainState.closing}


class ControlMessageHandler:
    """Apply the decisions of the control process to the entry process."""

    def __init__(
        self,
        *,
        clock: Clock,
        log: EventLog,
        state: EntryState,
        policies: Policies,
        responder: EntryListResponder,
        claim_client: ClaimClient,
        callers: CallerConnections,
    ) -> None:
        """Apply messages to these components."""
        self._clock = clock
        self._log = log
        self._state = state
        self._policies = policies
        self._responder = responder
        self._claim_client = claim_client
        self._callers = callers

    @functools.singledispatchmethod
    async def handle(self, message: Any) -> None:
        """Handle one message; ignore messages of other types."""

    @handle.register
    async def _handle_declaration(self, message: DeclarationActivated) -> None:
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

    @handle.register
    async def _handle_lease(self, message: ServingLease) -> None:
        self._state.lease_until = Millis(message.until_ms)

    @handle.register
    async def _handle_fleet_size(self, message: FleetSent) -> None:
        size = FleetSize(
            processes=message.processes, zone_processes=message.zone_processes
        )
        self._policies.set_fleet_size(
            size,
            region_processes=message.region_processes,
            now=self._clock.now(),
        )

    @handle.register
    async def _handle_roster(self, message: Roster) -> None:
        self._responder.roster = message

    @handle.register(TargetLimits)
    @handle.register(TargetCheck)
    async def _handle_limits_or_check(
        self, message: TargetLimits | TargetCheck
    ) -> None:
        self._policies.set_target_limits(message, now=self._clock.now())

    @handle.register
    async def _handle_grant(self, message: CrossingGranted) -> None:
        self._policies.crossings.receive(message, now=self._clock.now())

    @handle.register
    async def _handle_leaving(self, message: TargetsLeaving) -> None:
        self._policies.set_leaving_targets(message.target_ids)

    @handle.register
    async def _handle_key_prefix(self, message: KeyPrefixIssued) -> None:
        self._responder.key_prefix = message.prefix

    @handle.register
    async def _handle_claim_decision(self, message: ClaimDecided) -> None:
        await self._claim_client.handle_decision(message)

    @handle.register(CrashSuspected)
    @handle.register(SuspectCleared)
    async def _handle_suspect(
        self, message: CrashSuspected | SuspectCleared
    ) -> None:
        self._policies.quarantine.receive(message, now=self._clock.now())

    @handle.register
    async def _handle_drain(self, message: DrainAdvanced) -> None:
        if message.state in CLOSING_STATES:
            self._state.phase = EntryPhase.draining
        if message.state in FINISHING_STATES:
            await self._callers.stop_accepting()
            await self._callers.close_idle()
