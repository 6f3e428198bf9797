"""The entry process, which is the data plane of a host."""

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
from chicorybridge.entry.control_message_handlers import ControlMessageHandler
from chicorybridge.entry.dispatchers import Dispatcher
from chicorybridge.entry.entry_lists import EntryListResponder
from chicorybridge.entry.entry_messages import EntryClosing, EntryOpened
from chicorybridge.entry.entry_reports import EntryReporter
from chicorybridge.entry.entry_states import EntryPhase, EntryState
from chicorybridge.fleet.drains import entry_list_expiry_ms
from chicorybridge.http.caller_connections import CallerConnections
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.target_connections import TargetConnections
from chicorybridge.http.exchanges import Head
from chicorybridge.routing.policies import Policies


class EntryProcess:
    """Build, connect and run the components of an entry process."""

    def __init__(
        self, *, entry_settings: EntrySettings, clock: Clock, rng: random.Random
    ) -> None:
        """Build the components; `run` starts them."""
        self.address = entry_settings.listen
        self._entry_settings = entry_settings
        self._clock = clock
        self._incarnation = draw_incarnation()
        self._entry_id = EntryId(
            f'{entry_settings.host_id}/{self._incarnation:x}'
        )
        self.log = EventLog(
            clock=clock,
            host_id=entry_settings.host_id,
            process='entry',
            incarnation=self._incarnation,
        )
        self.state = EntryState()
        self._list_responder = EntryListResponder(rng=rng)
        self._connections = TargetConnections(clock=clock)
        self._policies = Policies(
            rng=rng,
            host_id=entry_settings.host_id,
            zone_id=entry_settings.zone_id,
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
            on_call_end=self._reporter.count_call,
            on_refusal=self._reporter.count_refusal,
        )
        self.callers = CallerConnections(
            clock=clock,
            log=self.log,
            dispatcher=self._dispatcher,
            answer_locally=self._answer_entry_list,
            on_connection_end=self._reporter.count_closed,
        )
        self._message_handler = ControlMessageHandler(
            clock=clock,
            log=self.log,
            state=self.state,
            policies=self._policies,
            responder=self._list_responder,
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
        """Accept callers until their entry lists expire; finish all requests.

        Wait at most `UNLIST_TIMEOUT_MS` for a roster without this process,
        then for the expiry of the entry lists that callers hold.
        """
        self.state.phase = EntryPhase.draining
        await self._link.post(EntryClosing(entry_id=self._entry_id))
        await self._wait_until_unlisted()
        # Callers may use an older entry list until it expires.
        await curio.sleep(as_seconds(entry_list_expiry_ms()))
        await self.callers.finish()

    async def finish(self) -> None:
        """Finish the requests received so far and accept no new callers.

        Requests that take longer than `DRAIN_CLOSE_TIMEOUT_MS` are not awaited.
        """
        self.state.phase = EntryPhase.draining
        ends_at = self._clock.now() + settings.DRAIN_CLOSE_TIMEOUT_MS
        await self.callers.finish(ends_at=Millis(ends_at))

    async def _wait_until_unlisted(self) -> None:
        deadline = self._clock.now() + settings.UNLIST_TIMEOUT_MS
        while self._clock.now() < deadline:
            if not self._list_responder.includes(self.address):
                return
            await curio.sleep(as_seconds(settings.TICK_MS))

    def _build_link(self) -> ControlLink:
        identity = Identity(
            role=Role.entry,
            host_id=self._entry_settings.host_id,
            incarnation=self._incarnation,
            keys_by_role={Role.entry: self._entry_settings.fleet_key},
        )
        return ControlLink(
            address=self._entry_settings.control,
            identity=identity,
            log=self.log,
            on_message=lambda message: self._message_handler.handle(message),
            on_open=self._announce,
            on_close=lambda: self._claim_client.cancel_pending(),
        )

    async def _announce(self) -> None:
        opened = EntryOpened(entry_id=self._entry_id, address=self.address)
        await self._link.post(opened)

    async def _tick_forever(self) -> None:
        while True:
            await curio.sleep(as_seconds(settings.TICK_MS))
            await self._tick()

    async def _tick(self) -> None:
        now = self._clock.now()
        await self.callers.close_expired()
        await self._connections.close_stale()
        for effect in self._policies.tick(now=now):
            if isinstance(effect, Send):
                await self._link.post(effect.message)
            elif isinstance(effect, Emit):
                self.log.emit(effect.event)
        await self._reporter.report(
            self._dispatcher,
            connections=len(self.callers),
            pending=self.callers.pending_count,
            now=now,
        )

    async def _answer_entry_list(
        self, exchange: CallerExchange, head: Head
    ) -> bool:
        return await self._list_responder.answer(
            exchange, head, self._dispatcher.version_headers()
        )
