"""The process of a host on the platform: all its parts, joined."""

import random
from collections.abc import Iterable
from typing import Any, Protocol

import curio

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.clocks import Clock, Millis, as_seconds
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.common.identities import HostId, draw_incarnation
from chicorybridge.common.log_streams import BoundedHandler
from chicorybridge.common.tasks import run_all
from chicorybridge.fleet.channels import Channel
from chicorybridge.fleet.sightings import HostProfile, Sightings
from chicorybridge.fleet.snapshots import SnapshotServer, fetch_snapshot
from chicorybridge.hosts.assemblies import build_dispatcher
from chicorybridge.hosts.directories import AddressDirectory
from chicorybridge.hosts.knowledge import HostKnowledge
from chicorybridge.hosts.metrics import HostMetrics, MetricsDesk
from chicorybridge.hosts.settings_files import HostSettings
from chicorybridge.hosts.states import HostDuty, HostState
from chicorybridge.hosts.store_readers import StoreReader
from chicorybridge.http.caller_connections import CallerTable
from chicorybridge.http.connections import TargetConnections
from chicorybridge.http.services import Request, Server, ServerConnection
from chicorybridge.platform.desks import ReadinessDesk, ResolveDesk
from chicorybridge.platform.stores import Store
from chicorybridge.platform.watchers import PlatformWatcher
from chicorybridge.routing.reputations import TargetSeen


class Desk(Protocol):
    """What answers the calls on one of the small addresses."""

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer one call."""


class Host:
    """All parts of a host process, joined."""

    def __init__(
        self,
        *,
        given: HostSettings,
        clock: Clock,
        rng: random.Random,
        logs: BoundedHandler,
    ) -> None:
        """Build the parts; `run` starts them."""
        self._logs = logs
        self._given = given
        self._clock = clock
        self._rng = rng
        self._incarnation = draw_incarnation()
        self.log = EventLog(
            clock=clock,
            host_id=given.host_id,
            process='host',
            incarnation=self._incarnation,
        )
        self.state = HostState()
        self._serial = 0
        self._beat_at = Millis(0)
        self.knowledge = HostKnowledge(
            clock=clock,
            log=self.log,
            rng=rng,
            state=self.state,
            sightings=Sightings(
                host_id=given.host_id,
                zone_id=given.zone_id,
                regions_by_zone=given.regions_by_zone,
            ),
        )
        self._channel = Channel(
            host_id=given.host_id, address=given.fleet, take=self._take
        )
        self._reader = StoreReader(
            clock=clock,
            log=self.log,
            knowledge=self.knowledge,
            watcher=PlatformWatcher(store=Store(address=given.store)),
            tell=self._tell_near,
        )
        self.metrics = HostMetrics(gauges=self._gauges)
        self._connections = TargetConnections(clock=clock, unframed=True)
        self._dispatcher = build_dispatcher(
            given=given,
            clock=clock,
            rng=rng,
            log=self.log,
            knowledge=self.knowledge,
            connections=self._connections,
            report=self._report,
            metrics=self.metrics,
        )
        self.callers = CallerTable(
            clock=clock,
            dispatcher=self._dispatcher,
            own_answer=_answer_nothing,
            limits=lambda: self.state.limits,
        )
        self._addresses = AddressDirectory(
            sightings=self.knowledge.sightings,
            state=self.state,
            zone_id=given.zone_id,
            front=given.front,
            regions_by_zone=given.regions_by_zone,
        )

    async def run(self, listener: curio.io.Socket) -> None:
        """Serve until cancelled."""
        snapshots = SnapshotServer(take=self.knowledge.snapshot)
        readiness = ReadinessDesk(is_ready=lambda: self.state.ready)
        resolve = ResolveDesk(
            addresses=self._addresses.addresses,
            ttl_ms=self._given.bounds.ttl_ms,
        )
        await run_all(
            self.callers.run(listener),
            _serve(self._given.readiness, readiness),
            _serve(self._given.directory, resolve),
            _serve(self._given.metrics, MetricsDesk(text=self.metrics.text)),
            self._channel.run(),
            snapshots.run(sockets.listen(self._given.fleet)),
            self._tick_forever(),
            self._learn_forever(),
            self._start(),
        )

    async def drain(self, listener: curio.io.Socket) -> None:
        """Serve whoever still comes, then finish all; within the grace."""
        began = self._clock.now()
        grace_ms = self._given.bounds.grace_ms
        self.state.duty = HostDuty.draining
        self._announce()
        await curio.sleep(as_seconds(grace_ms * settings.DRAIN_SERVE_SHARE))
        self.state.duty = HostDuty.closing
        ends_at = began + grace_ms - settings.DRAIN_MARGIN_MS
        while self._dispatcher.calls_by_number:
            if self._clock.now() >= ends_at:
                break
            await curio.sleep(as_seconds(settings.TICK_MS))
        await self.callers.stop_accepting()
        await self.callers.close_idle()

    async def _start(self) -> None:
        """Learn from seeds and the store, then wait for ever."""
        await self._reader.join(self._profile())
        self._announce()
        await self._reader.run()

    async def _learn_forever(self) -> None:
        """Ask hosts that know more, seeds first."""
        for seed in self._given.seeds:
            if seed != self._given.fleet:
                self.knowledge.ahead.append(seed)
        while True:
            while self.knowledge.ahead:
                await self._learn(self.knowledge.ahead.pop())
                self.knowledge.ahead.clear()
            await curio.sleep(as_seconds(settings.LEARN_CHECK_MS))

    async def _learn(self, address: str) -> None:
        snapshot = await fetch_snapshot(address)
        if snapshot is not None:
            self.knowledge.merge(snapshot, source=address)

    async def _tick_forever(self) -> None:
        while True:
            await curio.sleep(as_seconds(settings.TICK_MS))
            await self._tick()

    async def _tick(self) -> None:
        now = self._clock.now()
        await self.callers.sweep()
        await self._connections.retire()
        for profile in self.knowledge.sightings.expire(now=now):
            self.log.emit(
                Event(kind=EventKind.peer_lost, facts={'peer': profile.host_id})
            )
        if now - self._beat_at >= settings.BEAT_MS:
            self._beat_at = now
            self._beat()
            self._tell_dropped()
        self._logs.flush()

    def _beat(self) -> None:
        profile = self._profile()
        self._tell_near(profile)
        far = self.knowledge.sightings.far()
        if far:
            self._channel.send(profile, [self._rng.choice(far).fleet])

    def _announce(self) -> None:
        """Tell all hosts at once what this one does."""
        self._serial += 1
        self._channel.send(
            self._profile(),
            _fleet_addresses(self.knowledge.sightings.profiles()),
        )

    def _gauges(self) -> dict[str, float]:
        now = self._clock.now()
        return {
            'configuration_version': self.state.version,
            'store_age_seconds': as_seconds(
                self.knowledge.schedule.age_ms(now=now)
            ),
            'targets': len(self.knowledge.directory.entries_by_id),
            'hosts_heard': len(self.knowledge.sightings.profiles()),
            'requests_in_flight': len(self._dispatcher.calls_by_number),
            'callers_connected': len(self.callers),
            'store_calls': self._reader.calls,
            'datagrams_unsent': self._channel.unsent,
        }

    def _tell_dropped(self) -> None:
        dropped = self._logs.take_dropped()
        if not dropped:
            return
        for kind, count in dropped.items():
            self.metrics.count('log_lines_dropped', kind, by=count)
        event = Event(kind=EventKind.log_lines_dropped, facts=dropped)
        self.log.emit(event)

    def _report(self, seen: TargetSeen) -> None:
        """Take in what a request showed, and tell the region."""
        self.knowledge.reputations.see(seen, now=self._clock.now())
        self._tell_near(seen)

    def _tell_near(self, message: Any) -> None:
        near = self.knowledge.sightings.near()
        self._channel.send(message, _fleet_addresses(near))

    async def _take(self, message: Any, sender: HostId) -> None:
        self.knowledge.take(message, sender)

    def _profile(self) -> HostProfile:
        return HostProfile(
            host_id=self._given.host_id,
            zone_id=self._given.zone_id,
            incarnation=self._incarnation,
            serial=self._serial,
            front=self._given.front,
            fleet=self._given.fleet,
            serving=self.state.ready,
        )


async def _serve(address: str, desk: Desk) -> None:
    listener = sockets.listen(address)
    await Server(listener=listener, handler=desk.answer).run()


async def _answer_nothing(exchange: Any, head: Any) -> bool:
    """Leave every path to the routes."""
    return False


def _fleet_addresses(profiles: Iterable[HostProfile]) -> list[str]:
    return [profile.fleet for profile in profiles]
