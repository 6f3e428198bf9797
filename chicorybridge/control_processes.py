"""The control process of a host: streams and the platform around systems."""

import random
import secrets
from collections import deque
from collections.abc import Iterable
from typing import Any

import curio

from chicorybridge import settings, sockets
from chicorybridge.addresses import parse_address
from chicorybridge.claim_messages import EntryId, EntryLost
from chicorybridge.clients import PlatformClient
from chicorybridge.clocks import Clock, Millis, as_seconds
from chicorybridge.control_systems import ControlSystems
from chicorybridge.entry_messages import EntryOpened, EventsReport
from chicorybridge.errors import StreamError
from chicorybridge.events import Event, EventKind, EventLog
from chicorybridge.identities import HostId, Incarnation, Version
from chicorybridge.operator_desks import OperatorDesk
from chicorybridge.peer_links import PeerLinks
from chicorybridge.process_settings import ControlSettings
from chicorybridge.profiles import HostProfile
from chicorybridge.sessions import EntrySession, EntryTable, Session
from chicorybridge.stores import (
    HostState,
    ListedHost,
    StoreOutcome,
    StoreReply,
)
from chicorybridge.streams import Identity, MessageStream, Role
from chicorybridge.systems import Ask, Effect, Emit, Send, SendEntries

INCARNATION_BITS = 63
AWAY = frozenset((StoreOutcome.unavailable, StoreOutcome.unanswered))


class Control:
    """Carry out what the systems decide, and pass them what comes in."""

    def __init__(
        self, *, given: ControlSettings, clock: Clock, rng: random.Random
    ) -> None:
        """Build the parts; `run` starts them."""
        self._given = given
        self._clock = clock
        self._rng = rng
        self._incarnation = Incarnation(secrets.randbits(INCARNATION_BITS))
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
        self._operators_by_id: dict[HostId, Session] = {}
        self._addresses_by_host: dict[HostId, str] = {
            seed.host_id: seed.address for seed in given.seeds
        }
        self.links = PeerLinks(
            identity=self._identity,
            log=self.log,
            address_of=self._addresses_by_host.get,
        )
        self._platform = PlatformClient(
            address=parse_address(given.platform),
            host_id=given.host_id,
            timeout_ms=settings.PLATFORM_TIMEOUT_MS,
        )
        self._effects: deque[Effect] = deque()
        self._is_carrying = False
        self._store_is_away = False

    async def run(self, listener: curio.io.Socket) -> None:
        """Serve until cancelled."""
        address = sockets.bound_address(listener)
        self.systems = self._build_systems(address)
        self._desk = OperatorDesk(
            log=self.log, entries=self.entries, systems=self.systems
        )
        started = Event(
            kind=EventKind.process_started, facts={'address': address}
        )
        self.log.emit(started)
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._accept(listener))
            await tasks.spawn(self._tick_forever())
            await tasks.spawn(self._register_forever(address))

    async def drain(self) -> None:
        """Withdraw the host, let its entries finish, say goodbye."""
        self.log.emit(Event(kind=EventKind.process_stopping))
        await self._carry_out(self.systems.members.change(leaving=True))
        deadline = self._clock.now() + settings.DRAIN_MS
        while self.entries.sessions_by_id and self._clock.now() < deadline:
            await curio.sleep(as_seconds(settings.TICK_MS))
        await self._carry_out(self.systems.members.depart())
        await self.links.flush()
        self.log.emit(Event(kind=EventKind.process_stopped))

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
            all_governed=self._all_governed,
        )

    def _all_governed(self, version: Version, now: Millis) -> bool:
        return self.entries.all_governed_by(
            version, now=now, within_ms=settings.CUT_OFF_MS
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
        if self.entries.addresses != self.systems.members.profile.entries:
            await self._carry_out(
                self.systems.members.change(entries=self.entries.addresses)
            )

    async def _register_forever(self, address: str) -> None:
        while True:
            leaving = self.systems.members.profile.leaving
            listed = ListedHost(
                host_id=self._given.host_id,
                address=address,
                state=HostState.leaving if leaving else HostState.live,
            )
            await self._platform.register(listed)
            await curio.sleep(as_seconds(settings.REGISTER_MS))

    async def _accept(self, listener: curio.io.Socket) -> None:
        while True:
            sock, _ = await listener.accept()
            sockets.disable_delay(sock)
            await curio.spawn(self._serve(sock), daemon=True)

    async def _serve(self, sock: curio.io.Socket) -> None:
        stream = MessageStream(sock=sock, identity=self._identity, log=self.log)
        try:
            await self._serve_stream(stream)
        except (StreamError, curio.TaskTimeout):
            # The other end opens a new stream when it wants one.
            return
        finally:
            await stream.close()

    async def _serve_stream(self, stream: MessageStream) -> None:
        async with curio.timeout_after(as_seconds(settings.CONNECT_MS)):
            greeting = await stream.open(accepted=True)
        match greeting.role:
            case Role.peer:
                await self._serve_peer(stream, greeting.host_id)
            case Role.entry:
                await self._serve_entry(stream)
            case Role.operator:
                await self._serve_operator(stream, greeting.host_id)

    async def _serve_peer(self, stream: MessageStream, peer: HostId) -> None:
        while True:
            await self._take(await stream.receive(), sender=peer)

    async def _serve_entry(self, stream: MessageStream) -> None:
        opened = await stream.receive()
        if not isinstance(opened, EntryOpened):
            return
        session = EntrySession(
            stream=stream, opened=opened, heard_at=self._clock.now()
        )
        await self.entries.add(session)
        sender = await curio.spawn(_send_all(session))
        try:
            while True:
                await self._take_of_entry(session, await stream.receive())
        finally:
            self.entries.sessions_by_id.pop(opened.entry_id, None)
            await sender.cancel()
            lost = EntryLost(entry_id=EntryId(opened.entry_id))
            await self._take(lost, sender=self._given.host_id)

    async def _serve_operator(
        self, stream: MessageStream, operator: HostId
    ) -> None:
        session = Session(stream=stream)
        self._operators_by_id[operator] = session
        sender = await curio.spawn(_send_all(session))
        try:
            while True:
                await self._take_of_operator(operator, await stream.receive())
        finally:
            self._operators_by_id.pop(operator, None)
            await sender.cancel()

    async def _take_of_entry(self, session: EntrySession, message: Any) -> None:
        now = self._clock.now()
        if isinstance(message, EventsReport):
            self.log.adopt(message.records)
            return
        if not self.entries.take(session, message, now=now):
            await self._take(message, sender=self._given.host_id)

    async def _take_of_operator(self, operator: HostId, message: Any) -> None:
        await self._carry_out(self._desk.take(message, operator=operator))
        await self._take(message, sender=operator)

    async def _take(self, message: Any, *, sender: HostId) -> None:
        effects = self.systems.receive(
            message, sender=sender, now=self._clock.now()
        )
        await self._carry_out(effects)

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
            case Send(to=to) if to in self._operators_by_id:
                await self._operators_by_id[to].queue.put(effect.message)
            case Send():
                await self.links.send(effect.to, effect.message)
            case SendEntries():
                await self.entries.send(effect.message)
            case Emit():
                self.log.emit(effect.event)
            case Ask():
                await curio.spawn(self._ask(effect), daemon=True)

    async def _ask(self, ask: Ask) -> None:
        reply = await self._platform.execute(ask.request, token=ask.token)
        self._note_store(reply)
        for host in reply.hosts:
            self._addresses_by_host[host.host_id] = host.address
        await self._take(reply, sender=self._given.host_id)

    def _note_store(self, reply: StoreReply) -> None:
        is_away = reply.outcome in AWAY
        if is_away == self._store_is_away:
            return
        self._store_is_away = is_away
        kind = EventKind.store_lost if is_away else EventKind.store_back
        self.log.emit(Event(kind=kind, facts={'token': reply.token}))

    def _learn_addresses(self) -> None:
        for host_id, profile in self.systems.members.hosts_by_id.items():
            self._addresses_by_host[host_id] = profile.address


async def _send_all(session: Session) -> None:
    while True:
        await session.stream.send(await session.queue.get())
