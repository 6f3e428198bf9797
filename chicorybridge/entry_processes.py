"""The data plane of a host: all parts of an entry process, joined."""

import random
import secrets
from typing import Any

import curio

from chicorybridge import settings, sockets
from chicorybridge.callers import CallerTable
from chicorybridge.claim_messages import (
    ClaimDecided,
    EntryId,
    KeyPrefixIssued,
)
from chicorybridge.claimants import Claimant
from chicorybridge.clocks import Clock, as_seconds
from chicorybridge.codecs import unpack
from chicorybridge.collectors import freeze_collector
from chicorybridge.configurations import activate, is_newer
from chicorybridge.connections import TargetConnections
from chicorybridge.control_links import ControlLink
from chicorybridge.dispatchers import Dispatcher, EntryState
from chicorybridge.entry_lists import EntryList
from chicorybridge.entry_messages import (
    ConfigurationSent,
    Duty,
    EntryClosing,
    EntryListSent,
    EntryOpened,
    FleetSent,
    TargetsSent,
)
from chicorybridge.entry_reports import EntryReporter
from chicorybridge.events import Event, EventKind, EventLog
from chicorybridge.exchanges import CallerExchange, Head
from chicorybridge.identities import Incarnation
from chicorybridge.policies import Policies
from chicorybridge.process_settings import EntrySettings
from chicorybridge.streams import Identity, Role
from chicorybridge.subsets import FleetSize
from chicorybridge.systems import Emit, Send

INCARNATION_BITS = 63


class Entry:
    """All parts of an entry process, joined."""

    def __init__(
        self, *, given: EntrySettings, clock: Clock, rng: random.Random
    ) -> None:
        """Build the parts; `run` starts them."""
        self.address = given.listen
        self._given = given
        self._clock = clock
        self._incarnation = Incarnation(secrets.randbits(INCARNATION_BITS))
        self._entry_id = EntryId(f'{given.host_id}/{self._incarnation:x}')
        self.log = EventLog(
            clock=clock,
            host_id=given.host_id,
            process='entry',
            incarnation=self._incarnation,
        )
        self.state = EntryState()
        self._heard_at = clock.now()
        self._list = EntryList()
        self._connections = TargetConnections(clock=clock)
        self._policies = Policies(
            rng=rng,
            host_id=given.host_id,
            zone_id=given.zone_id,
            process_name=self._entry_id,
        )
        self._link = self._build_link()
        self._reporter = EntryReporter(
            entry_id=self._entry_id,
            clock=clock,
            log=self.log,
            state=self.state,
            post=self._link.post,
        )
        self._claimant = Claimant(
            entry_id=self._entry_id,
            clock=clock,
            rng=rng,
            post=self._link.post,
        )
        self._dispatcher = Dispatcher(
            clock=clock,
            state=self.state,
            policies=self._policies,
            connections=self._connections,
            claimant=self._claimant,
            ended=self._reporter.count,
        )
        self.callers = CallerTable(
            clock=clock,
            dispatcher=self._dispatcher,
            own_answer=self._answer_own,
        )

    async def run(self, listener: curio.io.Socket) -> None:
        """Serve until cancelled."""
        self.address = sockets.bound_address(listener)
        self.log.emit(
            Event(
                kind=EventKind.process_started,
                facts={'address': self.address},
            )
        )
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self.callers.accept(listener))
            await tasks.spawn(self._link.run())
            await tasks.spawn(self._tick_forever())

    async def drain(self, listener: curio.io.Socket) -> None:
        """Take what still comes for a while, finish all, then return."""
        self.log.emit(Event(kind=EventKind.process_stopping))
        self.state.duty = Duty.draining
        await self._link.post(EntryClosing(entry_id=self._entry_id))
        await self._wait_unlisted()
        # Callers may go on using what they were told for its time to live.
        await curio.sleep(as_seconds(self._list.sent.ttl_ms))
        await listener.close()
        await self.callers.close_idle()
        await self._finish_calls()
        self.log.emit(Event(kind=EventKind.process_stopped))

    async def _wait_unlisted(self) -> None:
        deadline = self._clock.now() + settings.UNLIST_MS
        while self._clock.now() < deadline:
            if not self._list.names(self.address):
                return
            await curio.sleep(as_seconds(settings.TICK_MS))

    async def _finish_calls(self) -> None:
        while self._dispatcher.calls_by_number:
            await curio.sleep(as_seconds(settings.TICK_MS))

    def _build_link(self) -> ControlLink:
        identity = Identity(
            role=Role.entry,
            host_id=self._given.host_id,
            incarnation=self._incarnation,
            keys_by_role={Role.entry: self._given.fleet_key},
        )
        return ControlLink(
            address=self._given.control,
            identity=identity,
            log=self.log,
            received=self._receive,
            opened=self._introduce,
            lost=lambda: self._claimant.abandon(),
        )

    async def _introduce(self) -> None:
        opened = EntryOpened(entry_id=self._entry_id, address=self.address)
        await self._link.post(opened)

    async def _receive(self, message: Any) -> None:
        self._heard_at = self._clock.now()
        match message:
            case ConfigurationSent():
                self._configure(message)
            case FleetSent():
                self._resize(message)
            case EntryListSent():
                self._list.sent = message
            case TargetsSent():
                self._policies.limit_targets(
                    limits_by_id=message.limits_by_id,
                    leaving=message.leaving,
                )
            case KeyPrefixIssued():
                self._list.key_prefix = message.prefix
            case ClaimDecided():
                await self._claimant.decide(message)

    def _configure(self, sent: ConfigurationSent) -> None:
        if not is_newer(sent.version, self.state.configuration):
            return
        configuration = activate(
            version=sent.version,
            digest=sent.digest,
            declaration=unpack(sent.body),
        )
        self.state.configuration = configuration
        self._policies.configure(configuration, now=self._clock.now())
        freeze_collector()
        self.log.emit(
            Event(
                kind=EventKind.configuration_active,
                facts={'version': sent.version},
            )
        )

    def _resize(self, sent: FleetSent) -> None:
        if self.state.duty is not Duty.draining:
            self.state.duty = sent.duty
        size = FleetSize(
            processes=sent.processes, zone_processes=sent.zone_processes
        )
        self._policies.resize(size, now=self._clock.now())

    async def _tick_forever(self) -> None:
        while True:
            await curio.sleep(as_seconds(settings.TICK_MS))
            await self._tick()

    async def _tick(self) -> None:
        now = self._clock.now()
        silent_ms = now - self._heard_at
        if silent_ms > settings.CONTROL_SILENCE_MS:
            self._withdraw(silent_ms)
        await self.callers.sweep()
        await self._connections.retire()
        for effect in self._policies.tick(now=now):
            if isinstance(effect, Send):
                await self._link.post(effect.message)
            elif isinstance(effect, Emit):
                self.log.emit(effect.event)
        await self._reporter.report(
            self._dispatcher, connections=len(self.callers), now=now
        )

    def _withdraw(self, silent_ms: float) -> None:
        """Take no new work while nobody says that the fleet is known."""
        if self.state.duty is not Duty.serving:
            return
        self.state.duty = Duty.withdrawn
        self.log.emit(
            Event(
                kind=EventKind.host_withdrawn,
                facts={'silent_ms': round(silent_ms)},
            )
        )

    async def _answer_own(self, exchange: CallerExchange, head: Head) -> bool:
        return await self._list.answer(
            exchange, head, self._dispatcher.version_headers()
        )
