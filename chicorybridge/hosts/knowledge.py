"""What a host knows, and how messages of other hosts change it."""

import functools
import random
from typing import Any

from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.common.identities import HostId
from chicorybridge.fleet.configurations import HostConfiguration
from chicorybridge.fleet.directories import TargetDirectory, TargetsChanged
from chicorybridge.fleet.host_tables import FleetMember, HostTable
from chicorybridge.fleet.snapshots import Snapshot
from chicorybridge.fleet.store_reads import ReadSchedule, StoreMark
from chicorybridge.hosts.states import HostState
from chicorybridge.routing.quarantines import CrashReport, Quarantine
from chicorybridge.routing.reputations import (
    ReputationTable,
    Sign,
    TargetSeen,
)
from chicorybridge.routing.suspects import CrashSuspected, SuspectCleared
from chicorybridge.routing.workloads import (
    HostWorkload,
    WorkloadTable,
    ZoneWorkload,
)


class HostKnowledge:
    """Join the tables of a host and keep them in step."""

    def __init__(
        self,
        *,
        clock: Clock,
        log: EventLog,
        rng: random.Random,
        state: HostState,
        sightings: HostTable,
    ) -> None:
        """Start with what `state` and `sightings` hold."""
        self._clock = clock
        self._log = log
        self.state = state
        self.sightings = sightings
        self.directory = TargetDirectory()
        self.reputations = ReputationTable()
        self.workloads = WorkloadTable(zone_id=sightings.zone_id)
        self.schedule = ReadSchedule(rng=rng)
        self.quarantine = Quarantine()
        # Hosts that know more, by their address, to be asked for it.
        self.ahead: list[str] = []
        # Messages of other regions that the zone has not heard yet.
        self.to_pass_on: list[ZoneWorkload] = []

    def adopt(self, configuration: HostConfiguration, *, source: str) -> bool:
        """Put a configuration in force if it is newer; return if so."""
        if configuration.version <= self.state.version:
            return False
        before = self.state.version
        self.state.switch(configuration)
        self._emit(
            EventKind.configuration_active,
            version=configuration.version,
            before=before,
            source=source,
            routes=len(configuration.declaration.routes_by_id),
        )
        return True

    def change_targets(
        self, change: TargetsChanged, *, source: str
    ) -> TargetsChanged:
        """Take in a change of targets; return what was new."""
        before = dict(self.directory.entries_by_id)
        fresh = self.directory.merge(change)
        for entry in fresh.entries:
            known = before.get(entry.target_id)
            if known is not None and known.started_at_ms != entry.started_at_ms:
                self.reputations.remove(entry.target_id)
            kind = EventKind.target_listed
            if entry.leaving:
                kind = EventKind.target_leaving
            self._emit(
                kind,
                target=entry.target_id,
                service=entry.service_id,
                address=entry.address,
                warming=entry.warming,
                row_version=entry.row_version,
                source=source,
            )
        for target_id in fresh.removed:
            self.reputations.remove(target_id)
            self._emit(
                EventKind.target_gone,
                target=target_id,
                store_version=fresh.store_version,
                source=source,
            )
        return fresh

    def snapshot(self) -> Snapshot:
        """Return all that other hosts may need."""
        now = self._clock.now()
        return Snapshot(
            configuration=self.state.configuration,
            targets=self.directory.full_state(),
            hosts=self.sightings.profiles(),
            age_ms=self.schedule.age_ms(now=now),
        )

    def merge(self, snapshot: Snapshot, *, source: str) -> None:
        """Take in what another host knows."""
        now = self._clock.now()
        self.sightings.add_unknown(snapshot.hosts, now=now)
        change = self.directory.diff(snapshot.targets)
        self.change_targets(change, source=source)
        if snapshot.configuration is not None:
            self.adopt(snapshot.configuration, source=source)

    def mark(self) -> StoreMark:
        """Return how far this host knows the store."""
        return StoreMark(
            store_version=self.directory.store_version,
            targets_digest=self.directory.digest,
            configuration_version=self.state.version,
            age_ms=round(self.schedule.age_ms(now=self._clock.now())),
        )

    def take(self, message: Any, sender: HostId) -> None:
        """Take in a message of another host."""
        now = self._clock.now()
        self.sightings.touch(sender, now=now)
        self._take(message, sender, now)

    @functools.singledispatchmethod
    def _take(self, message: Any, sender: HostId, now: Millis) -> None:
        """Leave out a message of a kind that is not known here."""

    @_take.register
    def _take_profile(
        self, message: FleetMember, sender: HostId, now: Millis
    ) -> None:
        if self.sightings.record(message, now=now):
            self._emit(
                EventKind.peer_heard,
                peer=message.host_id,
                zone=message.zone_id,
                serving=message.serving,
            )

    @_take.register
    def _take_seen(
        self, message: TargetSeen, sender: HostId, now: Millis
    ) -> None:
        self.reputations.record_remote(message, now=now)

    @_take.register
    def _take_workload(
        self, message: HostWorkload, sender: HostId, now: Millis
    ) -> None:
        self.workloads.record_host(sender, message, now=now)
        for seen in message.seen:
            self.reputations.record_remote(seen, now=now)
            if seen.sign is Sign.answered:
                self.workloads.record_answer(seen)

    @_take.register
    def _take_zone_workload(
        self, message: ZoneWorkload, sender: HostId, now: Millis
    ) -> None:
        self.workloads.record_zone(message, now=now)
        for seen in message.seen:
            self.reputations.record_remote(seen, now=now)
        for target_id, soundness in message.soundness_by_id.items():
            self.reputations.adopt_estimate(target_id, soundness, now=now)
        if self.sightings.is_in_other_region(sender):
            self.to_pass_on.append(message)

    @_take.register(CrashSuspected)
    @_take.register(SuspectCleared)
    def _take_suspect(
        self, message: CrashReport, sender: HostId, now: Millis
    ) -> None:
        self.quarantine.receive(message, now=now)

    @_take.register
    def _take_targets(
        self, message: TargetsChanged, sender: HostId, now: Millis
    ) -> None:
        self.change_targets(message, source=sender)

    @_take.register
    def _take_mark(
        self, message: StoreMark, sender: HostId, now: Millis
    ) -> None:
        behind = message.configuration_version > self.state.version
        if message.store_version >= self.directory.store_version:
            behind = behind or message.targets_digest != self.directory.digest
        if not behind:
            self.schedule.record_remote_read(message, now=now)
            return
        for profile in self.sightings.profiles():
            if profile.host_id == sender:
                self.ahead.append(profile.fleet)

    def _emit(self, kind: EventKind, **facts: Any) -> None:
        self._log.emit(Event(kind=kind, facts=facts))
