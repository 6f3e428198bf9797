"""The process of a host on the platform: all its parts, joined."""

import dataclasses
import random
from typing import Any

import curio

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.clocks import Clock, Millis, as_seconds
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.common.identities import draw_incarnation
from chicorybridge.common.log_streams import BoundedHandler
from chicorybridge.common.tasks import run_all, tick
from chicorybridge.fleet.channels import Channel
from chicorybridge.fleet.host_tables import HostTable
from chicorybridge.fleet.snapshots import SnapshotServer, fetch_snapshot
from chicorybridge.hosts.assemblies import build_dispatcher
from chicorybridge.hosts.desks import desks
from chicorybridge.hosts.directories import AddressDirectory
from chicorybridge.hosts.gauges import HostGauges
from chicorybridge.hosts.knowledge import HostKnowledge
from chicorybridge.hosts.metrics import HostMetrics
from chicorybridge.hosts.settings_files import HostSettings
from chicorybridge.hosts.states import HostDuty, HostState
from chicorybridge.hosts.store_readers import StoreReader
from chicorybridge.hosts.voices import Voice
from chicorybridge.http.caller_connections import CallerTable
from chicorybridge.http.connections import TargetConnections
from chicorybridge.platform.watchers import open_watcher


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
        incarnation = draw_incarnation()
        self.log = EventLog(
            clock=clock,
            host_id=given.host_id,
            process='host',
            incarnation=incarnation,
        )
        self.state = HostState()
        self.knowledge = HostKnowledge(
            clock=clock,
            log=self.log,
            rng=rng,
            state=self.state,
            sightings=HostTable(
                host_id=given.host_id,
                zone_id=given.zone_id,
                regions_by_zone=given.regions_by_zone,
            ),
        )
        self.knowledge.schedule.known_within_ms = given.bounds.known_within_ms
        self._channel = Channel(
            host_id=given.host_id,
            address=given.fleet,
            on_message=self.knowledge.take,
        )
        self._voice = Voice(
            given=given,
            incarnation=incarnation,
            rng=rng,
            state=self.state,
            sightings=self.knowledge.sightings,
            channel=self._channel,
        )
        self._reader = StoreReader(
            clock=clock,
            log=self.log,
            knowledge=self.knowledge,
            watcher=open_watcher(given.store),
            tell=self._voice.tell_near,
        )
        self.metrics = HostMetrics()
        self._connections = TargetConnections(clock=clock, unframed=True)
        self.dispatcher = build_dispatcher(
            given=given,
            clock=clock,
            rng=rng,
            log=self.log,
            knowledge=self.knowledge,
            connections=self._connections,
            metrics=self.metrics,
            voice=self._voice,
        )
        self.callers = CallerTable(
            clock=clock,
            log=self.log,
            dispatcher=self.dispatcher,
            own_answer=_answer_nothing,
            ended=lambda ending: self.metrics.count(
                'connections_ended', ending.value
            ),
            limits=lambda: self.state.limits,
        )
        self.metrics.watch(
            HostGauges(
                clock=clock,
                knowledge=self.knowledge,
                dispatcher=self.dispatcher,
                callers=self.callers,
                reader=self._reader,
                channel=self._channel,
            )
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
        snapshots = SnapshotServer(build_snapshot=self.knowledge.snapshot)
        await run_all(
            self.callers.run(listener),
            *desks(
                given=self._given,
                state=self.state,
                addresses=self._addresses,
                ttl_ms=lambda: self._given.bounds.ttl_ms,
                metrics=self.metrics,
            ),
            self._channel.run(),
            snapshots.run(sockets.listen(self._given.fleet)),
            self._tick_forever(),
            self._learn_forever(),
            self._start(),
        )

    def reload(self, given: HostSettings) -> None:
        """Take over settings that may change while the process runs.

        Addresses of the own host stay as they were at the start.
        """
        changed = [
            field.name
            for field in dataclasses.fields(given)
            if getattr(given, field.name) != getattr(self._given, field.name)
        ]
        if not changed:
            return
        self._given = dataclasses.replace(
            self._given, bounds=given.bounds, seeds=given.seeds
        )
        self.dispatcher.rebound(given.bounds.retries)
        self.knowledge.schedule.known_within_ms = given.bounds.known_within_ms
        event = Event(
            kind=EventKind.settings_reloaded, facts={'changed': changed}
        )
        self.log.emit(event)

    async def drain(self, listener: curio.io.Socket) -> None:
        """Serve whoever still comes, then finish all; within the grace."""
        ends_at = self._grace_ends_at()
        self.state.duty = HostDuty.draining
        self._voice.announce()
        serve_ms = min(
            self._given.bounds.grace_ms * settings.DRAIN_SERVE_SHARE,
            settings.DRAIN_SERVE_MOST_MS,
        )
        await curio.sleep(as_seconds(serve_ms))
        await self._finish_until(ends_at)

    async def finish(self) -> None:
        """Answer what has come and take nothing more; within the grace."""
        await self._finish_until(self._grace_ends_at())

    def _grace_ends_at(self) -> Millis:
        share = 1 - settings.DRAIN_MARGIN_SHARE
        return Millis(self._clock.now() + self._given.bounds.grace_ms * share)

    async def _finish_until(self, ends_at: Millis) -> None:
        self.state.duty = HostDuty.closing
        closing_at = self._clock.now()
        # What comes from now on is refused at once.
        while self.callers.owes(since=closing_at):
            if not await tick(self._clock, until=ends_at):
                break
        await self.callers.finish(ends_at=ends_at)

    async def _start(self) -> None:
        """Learn from seeds and the store, then wait for ever."""
        await self._reader.join(self._voice.profile())
        self._voice.announce()
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
        if self._voice.beat(now=now):
            self._tell_dropped()
            self.knowledge.quarantine.tick(now=now)
        self.knowledge.workloads.expire(now=now)
        self.dispatcher.reporter.repeat()
        self.dispatcher.reporter.sum_up()
        self._logs.flush()

    def _tell_dropped(self) -> None:
        dropped = self._logs.take_dropped()
        if not dropped:
            return
        for kind, count in dropped.items():
            self.metrics.count('log_lines_dropped', kind, by=count)
        event = Event(kind=EventKind.log_lines_dropped, facts=dropped)
        self.log.emit(event)


async def _answer_nothing(exchange: Any, head: Any) -> bool:
    """Leave every path to the routes."""
    return False
