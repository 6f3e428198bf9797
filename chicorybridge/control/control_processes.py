"""The control process of a host, which performs the I/O of its systems."""

import random
from collections import deque
from collections.abc import Iterable
from typing import Any

import curio

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.addresses import parse_address
from chicorybridge.common.clocks import Clock, Millis, as_seconds
from chicorybridge.common.errors import PromiseError
from chicorybridge.common.events import EventLog
from chicorybridge.common.identities import HostId, TargetId, draw_incarnation
from chicorybridge.common.systems import (
    CallStore,
    Effect,
    Emit,
    Send,
    SendToEntries,
)
from chicorybridge.common.tasks import run_all
from chicorybridge.configuration.process_settings import ControlSettings
from chicorybridge.control.control_systems import ControlSystems
from chicorybridge.control.host_query_handlers import HostQueryHandler
from chicorybridge.control.peer_links import PeerLinks
from chicorybridge.control.platform_requesters import PlatformRequester
from chicorybridge.control.probers import Prober
from chicorybridge.control.sessions import EntryTable
from chicorybridge.control.stream_servers import StreamServer
from chicorybridge.control.streams import Identity, Role
from chicorybridge.fleet.drains import DrainState
from chicorybridge.fleet.profiles import HostProfile
from chicorybridge.storage.clients import PlatformClient


class ControlProcess:
    """Execute the effects of the systems, and deliver messages to them."""

    def __init__(
        self,
        *,
        control_settings: ControlSettings,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Build the components; `run` starts them."""
        self._control_settings = control_settings
        self._clock = clock
        self._rng = rng
        self._incarnation = draw_incarnation()
        self.log = EventLog(
            clock=clock,
            host_id=control_settings.host_id,
            process='control',
            incarnation=self._incarnation,
        )
        self._identity = Identity(
            role=Role.peer,
            host_id=control_settings.host_id,
            incarnation=self._incarnation,
            keys_by_role={
                Role.peer: control_settings.fleet_key,
                Role.entry: control_settings.fleet_key,
                Role.operator: control_settings.operator_token,
            },
        )
        self.entries = EntryTable()
        self._addresses_by_host: dict[HostId, str] = {
            seed.host_id: seed.address for seed in control_settings.seeds
        }
        self.links = PeerLinks(
            identity=self._identity,
            log=self.log,
            address_of=self._addresses_by_host.get,
        )
        client = PlatformClient(
            address=parse_address(control_settings.platform),
            host_id=control_settings.host_id,
            timeout_ms=settings.PLATFORM_TIMEOUT_MS,
        )
        self._platform_requester = PlatformRequester(
            client=client, log=self.log
        )
        self._server = StreamServer(
            identity=self._identity,
            clock=clock,
            log=self.log,
            entries=self.entries,
            on_message=self._on_message,
            on_operator_message=self._on_operator_message,
        )
        self._prober = Prober(on_result=self._on_probe_result)
        self._pending_effects: deque[Effect] = deque()
        self._is_executing = False
        # Generation of the membership at the last update of the addresses.
        self._addresses_generation = -1
        self._promise_error: PromiseError | None = None
        self._promise_broken = curio.Event()

    async def run(self, listener: curio.io.Socket) -> None:
        """Serve until cancelled."""
        address = sockets.bound_address(listener)
        self.systems = self._build_systems(address)
        self._query_handler = HostQueryHandler(
            log=self.log, entries=self.entries, systems=self.systems
        )
        await run_all(
            self._server.accept(listener),
            self._tick_forever(),
            self._platform_requester.register_forever(self.systems.members),
            self._raise_promise_error(),
        )

    async def drain(self, listener: curio.io.Socket) -> None:
        """Drain the host, then announce its departure to its peers.

        Wait at most `DRAIN_TIMEOUT_MS` until all requests are complete or no
        entry process is connected.
        """
        drains = self.systems.drains
        await self._execute_all(drains.begin(now=self._clock.now()))
        deadline = self._clock.now() + settings.DRAIN_TIMEOUT_MS
        while self._clock.now() < deadline:
            await curio.sleep(as_seconds(settings.TICK_MS))
            if drains.state is DrainState.left:
                break
            if not self.entries.sessions_by_id:
                break
        await self._execute_all(self.systems.members.announce_departure())
        await self.links.flush()

    async def finish(self) -> None:
        """Send the queued messages to the peers.

        Entry processes complete the requests in flight on their own.
        """
        await self.links.flush()

    async def _raise_promise_error(self) -> None:
        await self._promise_broken.wait()
        if self._promise_error is not None:
            raise self._promise_error

    def _build_systems(self, address: str) -> ControlSystems:
        profile = HostProfile(
            host_id=self._control_settings.host_id,
            incarnation=self._incarnation,
            address=address,
            entries=(),
            zone_id=self._control_settings.zone_id,
            region_id=self._control_settings.region_id,
        )
        return ControlSystems(
            profile=profile,
            clock=self._clock,
            rng=self._rng,
            seeds=self._control_settings.seeds,
            entries=self.entries,
        )

    async def _tick_forever(self) -> None:
        due = self._clock.now()
        while True:
            due = Millis(max(due + settings.TICK_MS, self._clock.now()))
            await curio.sleep(as_seconds(max(0, due - self._clock.now())))
            await self._tick()

    async def _tick(self) -> None:
        await self._execute_all(self.systems.tick(now=self._clock.now()))
        self._update_addresses()
        await self._probe()
        if self.entries.addresses != self.systems.members.profile.entries:
            await self._execute_all(
                self.systems.members.update_profile(
                    entries=self.entries.addresses
                )
            )

    async def _probe(self) -> None:
        active = self.systems.rollouts.active
        due = self.systems.detection.probes.take_due()
        if due and active is not None:
            await self._prober.probe(due, active.declaration)

    async def _on_probe_result(
        self,
        target_id: TargetId,
        succeeded: bool,  # noqa: FBT001
    ) -> None:
        await self._execute_all(
            self.systems.detection.probes.finish(target_id, succeeded=succeeded)
        )

    async def _on_operator_message(
        self, operator: HostId, message: Any
    ) -> None:
        await self._execute_all(
            self._query_handler.handle(message, operator=operator)
        )
        await self._on_message(message, sender=operator)

    async def _on_message(self, message: Any, *, sender: HostId) -> None:
        try:
            await self._execute_all(
                self.systems.receive(
                    message, sender=sender, now=self._clock.now()
                )
            )
        except PromiseError as error:
            # Raised by `run`, to end the process and not only the task of
            # one stream.
            self._promise_error = error
            await self._promise_broken.set()

    async def _execute_all(self, effects: Iterable[Effect]) -> None:
        """Execute effects, and those that follow from them, in order.

        A call during the execution of others only queues its effects.
        """
        self._pending_effects.extend(effects)
        if self._is_executing:
            return
        self._is_executing = True
        try:
            while self._pending_effects:
                await self._execute(self._pending_effects.popleft())
        finally:
            self._is_executing = False

    async def _execute(self, effect: Effect) -> None:
        match effect:
            case Send(to=to) if to == self._control_settings.host_id:
                self._pending_effects.extend(
                    self.systems.receive(
                        effect.message, sender=to, now=self._clock.now()
                    )
                )
            case Send(to=to) if to in self._server.operators_by_id:
                operator = self._server.operators_by_id[to]
                await operator.queue.put(effect.message)
            case Send():
                await self.links.send(effect.to, effect.message)
            case SendToEntries():
                await self.entries.send(effect.message)
            case Emit():
                self.log.emit(effect.event)
            case CallStore():
                await curio.spawn(self._call_store(effect), daemon=True)

    async def _call_store(self, store_call: CallStore) -> None:
        reply = await self._platform_requester.execute(store_call)
        for host in reply.hosts:
            self._addresses_by_host[host.host_id] = host.address
        await self._on_message(reply, sender=self._control_settings.host_id)

    def _update_addresses(self) -> None:
        members = self.systems.members
        if members.generation == self._addresses_generation:
            return
        self._addresses_generation = members.generation
        for host_id, profile in members.hosts_by_id.items():
            self._addresses_by_host[host_id] = profile.address
