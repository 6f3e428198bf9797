"""The control process of a host: streams and the platform around systems."""

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
from chicorybridge.control.operator_desks import OperatorDesk
from chicorybridge.control.peer_links import PeerLinks
from chicorybridge.control.platform_desks import PlatformDesk
from chicorybridge.control.probers import Prober
from chicorybridge.control.sessions import EntryTable
from chicorybridge.control.stream_servers import StreamServer
from chicorybridge.control.streams import Identity, Role
from chicorybridge.fleet.drains import DrainState
from chicorybridge.fleet.profiles import HostProfile
from chicorybridge.storage.clients import PlatformClient


class Control:
    """Carry out what the systems decide, and pass them what comes in."""

    def __init__(
        self, *, given: ControlSettings, clock: Clock, rng: random.Random
    ) -> None:
        """Build the parts; `run` starts them."""
        self._given = given
        self._clock = clock
        self._rng = rng
        self._incarnation = draw_incarnation()
        self.log = EventLog(
            clock=clock,
            host_id=given.host_id,
            process='control',
            incarnation=self._incarnation,
        )
        self._identity = Identity(
            role=Role.peer,
            host_id=given.host_id,
            incarnation=self._incarnation,
            keys_by_role={
                Role.peer: given.fleet_key,
                Role.entry: given.fleet_key,
                Role.operator: given.operator_token,
            },
        )
        self.entries = EntryTable()
        self._addresses_by_host: dict[HostId, str] = {
            seed.host_id: seed.address for seed in given.seeds
        }
        self.links = PeerLinks(
            identity=self._identity,
            log=self.log,
            address_of=self._addresses_by_host.get,
        )
        client = PlatformClient(
            address=parse_address(given.platform),
            host_id=given.host_id,
            timeout_ms=settings.PLATFORM_TIMEOUT_MS,
        )
        self._platform = PlatformDesk(client=client, log=self.log)
        self._server = StreamServer(
            identity=self._identity,
            clock=clock,
            log=self.log,
            entries=self.entries,
            take=self._take,
            take_of_operator=self._take_of_operator,
        )
        self._prober = Prober(finished=self._finish_probe)
        self._effects: deque[Effect] = deque()
        self._is_carrying = False
        # Of the hosts whose addresses are known.
        self._generation = -1
        self._broken: PromiseError | None = None
        self._is_broken = curio.Event()

    async def run(self, listener: curio.io.Socket) -> None:
        """Serve until cancelled."""
        address = sockets.bound_address(listener)
        self.systems = self._build_systems(address)
        self._desk = OperatorDesk(
            log=self.log, entries=self.entries, systems=self.systems
        )
        await run_all(
            self._server.accept(listener),
            self._tick_forever(),
            self._platform.register_forever(self.systems.members),
            self._raise_broken_promise(),
        )

    async def drain(self, listener: curio.io.Socket) -> None:
        """Withdraw the host, let its entries finish, say goodbye."""
        drains = self.systems.drains
        await self._carry_out(drains.begin(now=self._clock.now()))
        deadline = self._clock.now() + settings.DRAIN_TIMEOUT_MS
        while self._clock.now() < deadline:
            await curio.sleep(as_seconds(settings.TICK_MS))
            if drains.state is DrainState.left:
                break
            if not self.entries.sessions_by_id:
                break
        await self._carry_out(self.systems.members.announce_departure())
        await self.links.flush()

    async def finish(self) -> None:
        """Leave the requests to the entries, which go on without control."""
        await self.links.flush()

    async def _raise_broken_promise(self) -> None:
        await self._is_broken.wait()
        if self._broken is not None:
            raise self._broken

    def _build_systems(self, address: str) -> ControlSystems:
        profile = HostProfile(
            host_id=self._given.host_id,
            incarnation=self._incarnation,
            address=address,
            entries=(),
            zone_id=self._given.zone_id,
            region_id=self._given.region_id,
        )
        return ControlSystems(
            profile=profile,
            clock=self._clock,
            rng=self._rng,
            seeds=self._given.seeds,
            entries=self.entries,
        )

    async def _tick_forever(self) -> None:
        due = self._clock.now()
        while True:
            due = Millis(max(due + settings.TICK_MS, self._clock.now()))
            await curio.sleep(as_seconds(max(0, due - self._clock.now())))
            await self._tick()

    async def _tick(self) -> None:
        await self._carry_out(self.systems.tick(now=self._clock.now()))
        self._learn_addresses()
        await self._probe()
        if self.entries.addresses != self.systems.members.profile.entries:
            await self._carry_out(
                self.systems.members.update_profile(
                    entries=self.entries.addresses
                )
            )

    async def _probe(self) -> None:
        active = self.systems.rollouts.active
        due = self.systems.detection.probes.take_due()
        if due and active is not None:
            await self._prober.probe(due, active.declaration)

    async def _finish_probe(
        self,
        target_id: TargetId,
        is_answered: bool,  # noqa: FBT001
    ) -> None:
        await self._carry_out(
            self.systems.detection.probes.finish(
                target_id, is_answered=is_answered
            )
        )

    async def _take_of_operator(self, operator: HostId, message: Any) -> None:
        await self._carry_out(self._desk.take(message, operator=operator))
        await self._take(message, sender=operator)

    async def _take(self, message: Any, *, sender: HostId) -> None:
        try:
            await self._carry_out(
                self.systems.receive(
                    message, sender=sender, now=self._clock.now()
                )
            )
        except PromiseError as error:
            # Ends the process, not only the task of one stream.
            self._broken = error
            await self._is_broken.set()

    async def _carry_out(self, effects: Iterable[Effect]) -> None:
        """Carry effects out in the order in which they were decided."""
        self._effects.extend(effects)
        if self._is_carrying:
            return
        self._is_carrying = True
        try:
            while self._effects:
                await self._carry_out_one(self._effects.popleft())
        finally:
            self._is_carrying = False

    async def _carry_out_one(self, effect: Effect) -> None:
        match effect:
            case Send(to=to) if to == self._given.host_id:
                self._effects.extend(
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
                await curio.spawn(self._ask(effect), daemon=True)

    async def _ask(self, ask: CallStore) -> None:
        reply = await self._platform.execute(ask)
        for host in reply.hosts:
            self._addresses_by_host[host.host_id] = host.address
        await self._take(reply, sender=self._given.host_id)

    def _learn_addresses(self) -> None:
        members = self.systems.members
        if members.generation == self._generation:
            return
        self._generation = members.generation
        for host_id, profile in members.hosts_by_id.items():
            self._addresses_by_host[host_id] = profile.address
