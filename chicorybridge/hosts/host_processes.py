"""The proxy process of a host: builds and runs its components."""

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
from chicorybridge.common.tasks import run_all, wait_tick
from chicorybridge.fleet.channels import Channel
from chicorybridge.fleet.host_tables import HostTable, region_order
from chicorybridge.fleet.snapshots import SnapshotServer, fetch_snapshot
from chicorybridge.hosts.address_directories import AddressDirectory
from chicorybridge.hosts.announcers import Announcer
from chicorybridge.hosts.dispatcher_builders import build_dispatcher
from chicorybridge.hosts.endpoints import endpoint_servers
from chicorybridge.hosts.fleet_views import FleetView
from chicorybridge.hosts.gauges import HostGauges
from chicorybridge.hosts.metrics import HostMetrics
from chicorybridge.hosts.settings_files import HostSettings
from chicorybridge.hosts.states import HostPhase, HostState
from chicorybridge.hosts.store_readers import NewsRelay, StoreReader
from chicorybridge.hosts.tick_reports import TickReports
from chicorybridge.http.caller_connections import CallerConnections
from chicorybridge.http.process_memories import ProcessMemory
from chicorybridge.platform.watchers import open_watcher


class HostProcess:
    """The proxy process of a host."""

    def __init__(
        self,
        *,
        host_settings: HostSettings,
        clock: Clock,
        rng: random.Random,
        logs: BoundedHandler,
    ) -> None:
        """Build the components; `run` starts them."""
        self._logs = logs
        self._host_settings = host_settings
        self._clock = clock
        incarnation = draw_incarnation()
        self.log = EventLog(
            clock=clock,
            host_id=host_settings.host_id,
            process='host',
            incarnation=incarnation,
        )
        self.state = HostState()
        self.fleet_view = FleetView(
            clock=clock,
            log=self.log,
            rng=rng,
            state=self.state,
            host_table=HostTable(
                host_id=host_settings.host_id,
                zone_id=host_settings.zone_id,
                regions_by_zone=host_settings.regions_by_zone,
            ),
            receive_other=lambda *received: self.dispatcher.permits.receive(
                *received
            ),
        )
        self._channel = Channel(
            clock=clock,
            host_id=host_settings.host_id,
            address=host_settings.fleet_address,
            on_message=lambda *received: self._news.receive(*received),
        )
        self._announcer = Announcer(
            host_settings=host_settings,
            incarnation=incarnation,
            rng=rng,
            state=self.state,
            host_table=self.fleet_view.host_table,
            channel=self._channel,
        )
        self._news = NewsRelay(
            clock=clock, fleet_view=self.fleet_view, sender=self._announcer
        )
        self._reader = StoreReader(
            clock=clock,
            log=self.log,
            fleet_view=self.fleet_view,
            watcher=open_watcher(host_settings.store),
            announcer=self._announcer,
            send=self._news.tell,
            send_far=self._announcer.send_to_other_regions,
        )
        self.metrics = HostMetrics()
        self.metrics.far_bytes = self._announcer.far_bytes
        self._reports = TickReports(
            clock=clock, log=self.log, logs=logs, metrics=self.metrics
        )
        self._memory = ProcessMemory(
            memory_mb=host_settings.memory_mb,
            clock=clock,
            log=self.log,
            on_eviction=lambda kind: self.metrics.count(
                'memory_evictions', kind.value
            ),
        )
        self.dispatcher = build_dispatcher(
            host_settings=host_settings,
            clock=clock,
            rng=rng,
            log=self.log,
            fleet_view=self.fleet_view,
            connections=self._memory.connections,
            metrics=self.metrics,
            announcer=self._announcer,
        )
        self._channel.after_messages = self.dispatcher.permits.wake
        self._set_store_bounds()
        self.callers = CallerConnections(
            clock=clock,
            log=self.log,
            dispatcher=self.dispatcher,
            answer_locally=_answer_no_path,
            on_connection_end=lambda reason: self.metrics.count(
                'connections_ended', reason.value
            ),
            limits=lambda: self.state.limits,
            budget=self._memory.budget,
            may_read_ahead=lambda: self._memory.budget.has_room_ahead,
        )
        self.metrics.attach_gauges(
            HostGauges(
                clock=clock,
                fleet_view=self.fleet_view,
                dispatcher=self.dispatcher,
                callers=self.callers,
                reader=self._reader,
                channel=self._channel,
                budget=self._memory.budget,
            )
        )
        # Sends sums while this host is the aggregator of its zone.
        self._totals_task: curio.Task | None = None
        self._addresses = AddressDirectory(
            clock=clock,
            contact_ms=lambda: self._host_settings.bounds.contact_ms,
            host_table=self.fleet_view.host_table,
            state=self.state,
            zone_id=host_settings.zone_id,
            front=host_settings.front,
            regions_by_zone=host_settings.regions_by_zone,
            on_answer=lambda scope: self.metrics.count(
                'address_answers', scope.value
            ),
        )

    async def run(self, listener: curio.io.Socket) -> None:
        """Serve until cancelled."""
        self._memory.limit_buffers(listener)
        snapshots = SnapshotServer(
            clock=self._clock,
            build_snapshot=self.fleet_view.build_snapshot,
            state_key=self._state_key,
        )
        await run_all(
            self.callers.run(listener),
            *endpoint_servers(
                host_settings=self._host_settings,
                state=self.state,
                addresses=self._addresses,
                ttl_ms=lambda: self._host_settings.bounds.ttl_ms,
                metrics=self.metrics,
            ),
            self._channel.run(),
            snapshots.run(sockets.listen(self._host_settings.fleet_address)),
            self._tick_forever(),
            self._merge_newer_forever(),
            self._reader.run(),
        )

    def reload(self, host_settings: HostSettings) -> None:
        """Apply the settings that may change while the process runs.

        These are the bounds and seeds; others need a restart.
        """
        changed = [
            field.name
            for field in dataclasses.fields(host_settings)
            if getattr(host_settings, field.name)
            != getattr(self._host_settings, field.name)
        ]
        if not changed:
            return
        self._host_settings = dataclasses.replace(
            self._host_settings,
            bounds=host_settings.bounds,
            seeds=host_settings.seeds,
        )
        self.dispatcher.set_retry_bound(host_settings.bounds.retries)
        self._set_store_bounds()
        event = Event(
            kind=EventKind.settings_reloaded, facts={'changed': changed}
        )
        self.log.emit(event)

    async def drain(self, listener: curio.io.Socket) -> None:
        """Serve for a part of the grace period, then finish within it.

        The part is `DRAIN_SERVE_SHARE`, but at most `MAX_DRAIN_SERVE_MS`.
        """
        ends_at = self._grace_ends_at()
        self.state.stops_at = ends_at
        self.state.phase = HostPhase.draining
        self._announcer.announce()
        serve_ms = min(
            self._host_settings.bounds.grace_ms * settings.DRAIN_SERVE_SHARE,
            settings.MAX_DRAIN_SERVE_MS,
        )
        await curio.sleep(as_seconds(serve_ms))
        await self._finish_until(ends_at)

    async def finish(self) -> None:
        """Answer requests in flight, refuse others; within the grace period."""
        await self._finish_until(self._grace_ends_at())

    def _set_store_bounds(self) -> None:
        bounds = self._host_settings.bounds
        self.state.max_key_age_ms = bounds.max_key_age_ms
        self.dispatcher.permits.granter.bounds = bounds.quotas
        self.fleet_view.targets.schedule.spread_limit_ms = (
            bounds.known_within_ms
        )
        self.fleet_view.targets.outages.heartbeat_ms = (
            bounds.target_heartbeat_ms
        )

    def _state_key(self) -> tuple[int, int, int]:
        """Return versions that differ whenever a snapshot would."""
        targets = self.fleet_view.targets
        return (
            self.state.version,
            targets.complete_version,
            targets.directory.digest,
        )

    def _grace_ends_at(self) -> Millis:
        share = 1 - settings.DRAIN_MARGIN_SHARE
        return Millis(
            self._clock.now() + self._host_settings.bounds.grace_ms * share
        )

    async def _finish_until(self, ends_at: Millis) -> None:
        self.state.phase = HostPhase.closing
        closing_at = self._clock.now()
        # Requests that arrive after this are refused at once.
        while self.callers.has_unanswered(read_by=closing_at):
            if not await wait_tick(self._clock, until=ends_at):
                break
        await self.callers.finish(ends_at=ends_at)

    async def _merge_newer_forever(self) -> None:
        """Fetch and merge snapshots of hosts with newer state, seeds first."""
        for seed in self._host_settings.seeds:
            if seed != self._host_settings.fleet_address:
                await self._merge_from(seed)
        while True:
            await curio.sleep(as_seconds(settings.SNAPSHOT_CHECK_INTERVAL_MS))
            await self._fetch_if_due()

    async def _fetch_if_due(self) -> None:
        fleet_view = self.fleet_view
        fetch = fleet_view.relay.take_due(now=self._clock.now())
        if fetch is None:
            return
        addresses = [
            profile.fleet_address
            for profile in fleet_view.host_table.profiles()
            if profile.host_id == fetch.source
        ]
        is_merged = bool(addresses) and await self._merge_from(addresses[0])
        fleet_view.relay.end(now=self._clock.now())
        if not is_merged:
            fleet_view.relay.retry(fetch, now=self._clock.now())
            return
        order = region_order(fleet_view.host_table)
        if fetch.origin in order:
            below = fleet_view.relay.hosts_below(fetch, order=order)
            self._announcer.send_to_hosts(fleet_view.store_mark(), below)
        else:
            self._announcer.send_to_region(fleet_view.store_mark())

    async def _merge_from(self, address: str) -> bool:
        """Merge the state of the host at `address`; return whether it came."""
        requested_at = self._clock.now()
        snapshot = await fetch_snapshot(address)
        if snapshot is None:
            return False
        self.fleet_view.merge_snapshot(
            snapshot, source=address, requested_at=requested_at
        )
        return True

    async def _tick_forever(self) -> None:
        while True:
            await curio.sleep(as_seconds(settings.TICK_MS))
            await self._tick()
            await self.dispatcher.permits.tick()

    async def _tick(self) -> None:
        now = self._clock.now()
        self._reports.report_stall(now=now)
        self._channel.receive_waiting()
        await self.callers.close_expired()
        await self._memory.tick()
        self._expire_hosts(now)
        if self._announcer.send_heartbeat(now=now):
            self._reports.report_heard(self.fleet_view.peers_heard)
            self.fleet_view.peers_heard.clear()
            self._reports.report_dropped_lines()
            self._announcer.send_to_some(
                self.fleet_view.suspects.update(),
                count=settings.SUSPECT_SHARES,
            )
        self.fleet_view.workloads.expire(now=now)
        self.fleet_view.signs.expire(now=now)
        await self._send_reports()
        self._news.tick()
        self._logs.flush()

    async def _send_reports(self) -> None:
        reporter = self.dispatcher.reporter
        reporter.repeat_if_due()
        is_sending = self.fleet_view.zone_sums.is_sending
        if is_sending and _has_ended(self._totals_task):
            self._totals_task = await curio.spawn(
                reporter.send_totals_while_due, daemon=True
            )
        self.fleet_view.marks.ask_if_due()
        reporter.send_summaries()
        reporter.queue_reporter.send()

    def _expire_hosts(self, now: Millis) -> None:
        lost = self.fleet_view.host_table.expire(now=now)
        self._reports.report_lost(lost, now=now)
        self._announcer.losses.add(lost)


def _has_ended(task: curio.Task | None) -> bool:
    return task is None or task.terminated


async def _answer_no_path(exchange: Any, head: Any) -> bool:
    """Return `False`: the host itself answers no path."""
    return False
