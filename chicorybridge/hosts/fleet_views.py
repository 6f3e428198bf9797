"""State of the fleet as a host sees it, updated by messages of others."""

import dataclasses
import functools
import random
from typing import Any, Callable

from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.common.identities import HostId
from chicorybridge.fleet.configurations import (
    AnyDelta,
    ConfigurationDelta,
    HostConfiguration,
    KeyedConfigurationDelta,
    patch_configuration,
)
from chicorybridge.fleet.directories import TargetsChanged
from chicorybridge.fleet.forward_queues import ForwardQueue
from chicorybridge.fleet.host_tables import (
    FleetMember,
    HostLink,
    HostTable,
    own_link,
)
from chicorybridge.fleet.losses import HostsLost, drop_lost
from chicorybridge.fleet.relays import StateRelay
from chicorybridge.fleet.snapshots import Snapshot
from chicorybridge.fleet.store_reads import (
    DataUse,
    ReadFailed,
    ReadInProgress,
    StoreMark,
    StoreQuery,
    StoreReport,
)
from chicorybridge.hosts.data_uses import DataUseMonitor
from chicorybridge.hosts.states import HostState
from chicorybridge.hosts.store_marks import StoreMarks
from chicorybridge.quarantine.suspect_views import SuspectView
from chicorybridge.hosts.target_lists import TargetList
from chicorybridge.hosts.target_results import TargetResults
from chicorybridge.hosts.zone_sums import (
    WorkloadMessage,
    ZoneMessage,
    ZoneSums,
)
from chicorybridge.quarantine.crash_reports import CrashMessage
from chicorybridge.routing.reputations import ReputationTable, TargetSeen
from chicorybridge.routing.service_latencies import LatencyTable
from chicorybridge.routing.target_limits import LimitSeen, TargetLimits
from chicorybridge.routing.target_signs import (
    LeavingSeen,
    TargetSign,
    TargetSigns,
)
from chicorybridge.routing.workloads import WorkloadTable


def _ignore(message: Any, sender: HostId) -> None:
    """Ignore a message of an unknown type."""


class FleetView:
    """Hosts, targets, workloads and reputations known to this host."""

    def __init__(
        self,
        *,
        clock: Clock,
        log: EventLog,
        rng: random.Random,
        state: HostState,
        host_table: HostTable,
        receive_other: Callable[[Any, HostId], None] = _ignore,
    ) -> None:
        """Start without targets; `host_table` may already list hosts.

        Messages about other things go to `receive_other`.
        """
        self._receive_other = receive_other
        self._clock = clock
        self._log = log
        self.state = state
        self.host_table = host_table
        self.reputations = ReputationTable()
        self.targets = TargetList(
            clock=clock, log=log, rng=rng, reputations=self.reputations
        )
        state.is_current = lambda: self.targets.schedule.is_current(
            now=clock.now()
        )
        # The list of targets may be newer than the configuration.
        uses = DataUseMonitor(
            clock=clock,
            log=log,
            schedule=self.targets.schedule,
            known_at=lambda: self.targets.schedule.read_at,
            kinds_by_use=dict.fromkeys(
                DataUse, EventKind.configuration_use_changed
            ),
        )
        state.is_usable = uses.is_usable
        state.age_ms = lambda: uses.age_ms
        self.directory = self.targets.directory
        self.signs = TargetSigns(
            directory=self.directory,
            limits=TargetLimits(
                host_table=host_table,
                regions_by_zone=host_table.regions_by_zone,
                is_serving=lambda: state.ready,
            ),
            log=log,
        )
        self.workloads = WorkloadTable(zone_id=host_table.zone_id)
        self.results = TargetResults(
            directory=self.directory,
            reputations=self.reputations,
            latencies=LatencyTable(),
            workloads=self.workloads,
        )
        # Messages of other regions to forward to the hosts of this zone.
        self.to_forward = ForwardQueue(clock=clock)
        self.zone_sums = ZoneSums(
            clock=clock,
            log=log,
            rng=rng,
            state=state,
            host_table=host_table,
            results=self.results,
            forward=self.to_forward.add,
        )
        self.suspects = SuspectView(
            clock=clock,
            rng=rng,
            host_table=host_table,
            directory=self.directory,
            schedule=self.targets.schedule,
        )
        self.quarantine = self.suspects.quarantine
        # A time after which the message that is being handled arrived.
        self._arrived_after = clock.now()
        self.relay = StateRelay(host_id=host_table.host_id, rng=rng)
        # Hosts that are new to this one and were not logged yet.
        self.peers_heard: list[HostId] = []
        self.marks = StoreMarks(
            clock=clock,
            log=log,
            rng=rng,
            state=state,
            host_table=host_table,
            targets=self.targets,
            relay=self.relay,
            forward=self.to_forward,
        )
        # Messages for single hosts.
        self.to_hosts: list[tuple[HostId, Any]] = self.marks.to_hosts
        self.suspects.to_hosts = self.to_hosts
        # Each look-up of a dispatched method builds it anew.
        self._handle_bound = self._handle

    def apply_configuration(
        self, configuration: HostConfiguration, *, source: str
    ) -> bool:
        """Activate a configuration if it is newer; return whether it was."""
        if configuration.version <= self.state.version:
            return False
        previous_version = self.state.version
        self.state.activate(configuration)
        self._log.emit(
            _event(
                EventKind.configuration_active,
                version=configuration.version,
                before=previous_version,
                source=source,
                routes=len(configuration.declaration.routes_by_id),
            )
        )
        return True

    def build_snapshot(self) -> Snapshot:
        """Return the state that other hosts may fetch."""
        now = self._clock.now()
        return Snapshot(
            configuration=self.state.configuration,
            targets=dataclasses.replace(
                self.directory.full_state(),
                store_version=self.targets.complete_version,
            ),
            hosts=self.host_table.heard_profiles(),
            age_ms=self.targets.schedule.age_ms(now=now),
        )

    def merge_snapshot(
        self, snapshot: Snapshot, *, source: str, requested_at: Millis
    ) -> None:
        """Merge the state of another host, requested at `requested_at`."""
        now = self._clock.now()
        self.targets.observe_store_age()
        self._log.emit(
            _event(
                EventKind.snapshot_merged,
                source=source,
                age_ms=round(snapshot.age_ms),
                fetch_ms=round(now - requested_at),
                targets=len(snapshot.targets.entries),
            )
        )
        self.host_table.add_unknown(snapshot.hosts, now=now)
        change = self.directory.diff(snapshot.targets)
        may_lack_removals = not self.directory.is_covered_by(snapshot.targets)
        self.targets.apply(change, source=source)
        if snapshot.configuration is not None:
            self.apply_configuration(snapshot.configuration, source=source)
        read_at = Millis(requested_at - snapshot.age_ms)
        self.targets.schedule.record_answer(
            at=read_at, latest=Millis(now - snapshot.age_ms)
        )
        if not may_lack_removals:
            self.targets.credit_read(
                store_version=snapshot.targets.store_version, read_at=read_at
            )

    def store_mark(self) -> StoreMark:
        """Return the version and age of the store data of this host."""
        return self.marks.mark()

    def on_message(
        self,
        message: Any,
        sender: HostId,
        arrived_after: Millis | None = None,
    ) -> None:
        """Handle a message of another host.

        It arrived later than `arrived_after`, by default just now.
        """
        now = self._clock.now()
        self._arrived_after = now if arrived_after is None else arrived_after
        self.host_table.touch(
            sender, now=now, arrived_after=self._arrived_after
        )
        self._handle_bound(message, sender, now)

    @functools.singledispatchmethod
    def _handle(self, message: Any, sender: HostId, now: Millis) -> None:
        """Pass a message about other things on."""
        self._receive_other(message, sender)

    @_handle.register
    def _handle_profile(
        self, message: FleetMember, sender: HostId, now: Millis
    ) -> None:
        is_new = self.host_table.record(
            message, now=now, arrived_after=self._arrived_after
        )
        if not is_new:
            return
        self.peers_heard.append(message.host_id)
        if message.zone_id == self.host_table.zone_id:
            self.to_hosts.append((message.host_id, own_link(self.host_table)))
        self.suspects.inform(message)

    @_handle.register(HostsLost)
    @_handle.register(HostLink)
    def _handle_hosts(
        self, message: HostsLost | HostLink, sender: HostId, now: Millis
    ) -> None:
        if isinstance(message, HostLink):
            self.host_table.bandwidth_by_id[sender] = message.bandwidth_mbps
            return
        is_news = drop_lost(self.host_table, message, now=self._arrived_after)
        if is_news and not _is_in_zone(self.host_table, sender):
            self.to_forward.add(message)

    @_handle.register
    def _handle_observation(
        self, message: TargetSeen, sender: HostId, now: Millis
    ) -> None:
        self.results.record_remote(message, now=now)

    @_handle.register(ZoneMessage)
    def _handle_workload(
        self, message: ZoneMessage, sender: HostId, now: Millis
    ) -> None:
        if isinstance(message, WorkloadMessage):
            self.zone_sums.receive_bound(message, sender)
            return
        self.zone_sums.inbox.receive(
            message, sender, aggregator=self.zone_sums.aggregator, now=now
        )

    @_handle.register
    def _handle_suspects(
        self, message: CrashMessage, sender: HostId, now: Millis
    ) -> None:
        self.suspects.receive(message)

    @_handle.register(TargetsChanged)
    @_handle.register(ReadInProgress)
    @_handle.register(ReadFailed)
    def _handle_read(
        self,
        message: TargetsChanged | ReadInProgress | ReadFailed,
        sender: HostId,
        now: Millis,
    ) -> None:
        self.targets.receive(
            message, source=sender, arrived_after=self._arrived_after
        )

    @_handle.register(LeavingSeen)
    @_handle.register(LimitSeen)
    def _handle_sign(
        self, message: TargetSign, sender: HostId, now: Millis
    ) -> None:
        if not self.signs.record(message, now=now):
            return
        if self.host_table.is_in_other_region(sender):
            self.to_forward.add(message)

    @_handle.register(ConfigurationDelta)
    @_handle.register(KeyedConfigurationDelta)
    def _handle_delta(
        self,
        message: AnyDelta,
        sender: HostId,
        now: Millis,
    ) -> None:
        current = self.state.configuration
        if current is None or current.version != message.base_version:
            return
        self.apply_configuration(
            patch_configuration(current, message), source=sender
        )
        if self.host_table.is_in_other_region(sender):
            self.to_forward.add(message)

    @_handle.register(StoreMark)
    @_handle.register(StoreQuery)
    @_handle.register(StoreReport)
    def _handle_mark(
        self,
        message: StoreMark | StoreQuery | StoreReport,
        sender: HostId,
        now: Millis,
    ) -> None:
        self.marks.receive(
            message, source=sender, arrived_after=self._arrived_after
        )


def _is_in_zone(host_table: HostTable, host_id: HostId) -> bool:
    return any(profile.host_id == host_id for profile in host_table.in_zone())


def _event(kind: EventKind, **facts: Any) -> Event:
    return Event(kind=kind, facts=facts)
