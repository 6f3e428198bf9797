"""The data plane of a host: all parts of an entry process, joined."""

import random

import curio

from chicorybridge import settings
from chicorybridge.claims.claim_clients import ClaimClient
from chicorybridge.claims.claim_messages import EntryId
from chicorybridge.common import sockets
from chicorybridge.common.clocks import Clock, Millis, as_seconds
from chicorybridge.common.events import EventLog
from chicorybridge.common.identities import draw_incarnation
from chicorybridge.common.systems import Emit, Send
from chicorybridge.common.tasks import run_all
from chicorybridge.configuration.process_settings import EntrySettings
from chicorybridge.control.streams import Identity, Role
from chicorybridge.entry.control_links import ControlLink
from chicorybridge.entry.dispatchers import Dispatcher
from chicorybridge.entry.entry_inboxes import EntryInbox
from chicorybridge.entry.entry_lists import EntryListResponder
from chicorybridge.entry.entry_messages import EntryClosing, EntryOpened
from chicorybridge.entry.entry_reports import EntryReporter
from chicorybridge.entry.entry_states import Duty, EntryState
from chicorybridge.fleet.drains import entry_list_expiry_ms
from chicorybridge.http.caller_connections import CallerTable
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.connections import TargetConnections
from chicorybridge.http.exchanges import Head
from chicorybridge.routing.policies import Policies


class Entry:
    """All parts of an entry process, joined."""

    def __init__(
        self, *, given: EntrySettings, clock: Clock, rng: random.Random
    ) -> None:
        """Build the parts; `run` starts them."""
        self.address = given.listen
        self._given = given
        self._clock = clock
        self._incarnation = draw_incarnation()
        self._entry_id = EntryId(f'{given.host_id}/{self._incarnation:x}')
        self.log = EventLog(
            clock=clock,
            host_id=given.host_id,
            process='entry',
            incarnation=self._incarnation,
        )
        self.state = EntryState()
        self._list = EntryListResponder(rng=rng)
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
        self._claim_client = ClaimClient(
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
            claim_client=self._claim_client,
            post=self._link.post,
            ended=self._reporter.count,
            refused=self._reporter.count_refusal,
        )
        self.callers = CallerTable(
            clock=clock,
            log=self.log,
            dispatcher=self._dispatcher,
            own_answer=self._answer_own,
            ended=self._reporter.count_ending,
        )
        self._inbox = EntryInbox(
            clock=clock,
            log=self.log,
            state=self.state,
            policies=self._policies,
            responder=self._list,
            claim_client=self._claim_client,
            callers=self.callers,
        )

    async def run(self, listener: curio.io.Socket) -> None:
        """Serve until cancelled."""
        self.address = sockets.bound_address(listener)
        await run_all(
            self.callers.run(listener),
            self._link.run(),
            self._tick_forever(),
        )

    async def drain(self, listener: curio.io.Socket) -> None:
        """Take what still comes for a while, finish all, then return."""
        self.state.duty = Duty.draining
        await self._link.post(EntryClosing(entry_id=self._entry_id))
        await self._wait_unlisted()
        # Callers may go on using what they were told before.
        await curio.sleep(as_seconds(entry_list_expiry_ms()))
        await self.callers.finish()

    async def finish(self) -> None:
        """Answer what has come and take nothing more."""
        self.state.duty = Duty.draining
        ends_at = self._clock.now() + settings.DRAIN_CLOSE_MS
        await self.callers.finish(ends_at=Millis(ends_at))

    async def _wait_unlisted(self) -> None:
        deadline = self._clock.now() + settings.UNLIST_MS
        while self._clock.now() < deadline:
            if not self._list.names(self.address):
                return
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
            received=lambda message: self._inbox.take(message),
            opened=self._introduce,
            lost=lambda: self._claim_client.cancel_pending(),
        )

    async def _introduce(self) -> None:
        opened = EntryOpened(entry_id=self._entry_id, address=self.address)
        await self._link.post(opened)

    async def _tick_forever(self) -> None:
        while True:
            await curio.sleep(as_seconds(settings.TICK_MS))
            await self._tick()

    async def _tick(self) -> None:
        now = self._clock.now()
        await self.callers.sweep()
        await self._connections.retire()
        for effect in self._policies.tick(now=now):
            if isinstance(effect, Send):
                await self._link.post(effect.message)
            elif isinstance(effect, Emit):
                self.log.emit(effect.event)
        await self._reporter.report(
            self._dispatcher,
            connections=len(self.callers),
            pending=self.callers.pending,
            now=now,
        )

    async def _answer_own(self, exchange: CallerExchange, head: Head) -> bool:
        return await self._list.answer(
            exchange, head, self._dispatcher.version_headers()
        )
