"""Targets known to a host, and how old its data from the store are."""

import functools
import random
from collections.abc import Sequence
from enum import Enum
from types import MappingProxyType
from typing import Any

from chicorybridge import settings
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.common.identities import HostId, TargetId
from chicorybridge.fleet.directories import (
    TargetDirectory,
    TargetEntry,
    TargetsChanged,
)
from chicorybridge.fleet.store_reads import (
    DataUse,
    OutageMonitor,
    ReadFailed,
    ReadInProgress,
    ReadSchedule,
    StoreMark,
)
from chicorybridge.fleet.store_versions import NO_VERSION
from chicorybridge.hosts.data_uses import DataUseMonitor
from chicorybridge.routing.reputations import ReputationTable

LIST_EVENTS = MappingProxyType(
    {
        DataUse.current: EventKind.list_usable,
        DataUse.store_away: EventKind.list_usable,
        DataUse.outdated: EventKind.list_outdated,
    }
)


class ListRelation(Enum):
    """How the list of this host relates to that of another one."""

    # Nothing that the other one knew is missing here.
    complete = 'complete'
    # The other list differs and is as new as this one or newer.
    behind = 'behind'
    # The other list is older; something that it has may be missing here.
    unknown = 'unknown'


class TargetList:
    """The directory of targets, kept up to date with the store.

    After an outage of the store, targets whose entries may have expired in
    it stay in use until they had time to write them again.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        log: EventLog,
        rng: random.Random,
        reputations: ReputationTable,
    ) -> None:
        """Start without targets; update `reputations` of those that go."""
        self.directory = TargetDirectory()
        self.schedule = ReadSchedule(rng=rng)
        self.outages = OutageMonitor()
        self._clock = clock
        self._log = log
        self._reputations = reputations
        self._is_retaining = False
        # The version of the store up to which nothing is missing here. The
        # directory may have single changes of later versions.
        self.complete_version = NO_VERSION
        # When the list had all that the store had. The configuration may be
        # older, so that `schedule` has an earlier time.
        self._listed_at = self.schedule.read_at
        self._uses = DataUseMonitor(
            clock=clock,
            log=log,
            schedule=self.schedule,
            known_at=lambda: max(self._listed_at, self.schedule.read_at),
            kinds_by_use=LIST_EVENTS,
        )
        # How many changes had something new.
        self.applied_changes = 0
        # Greatest age of the list when this host learnt of a leaving target.
        self.max_leaving_age_ms = 0

    @property
    def list_age_ms(self) -> int | None:
        """Return the age of the list in whole ms, `None` if it was never read.

        A change that is not in the list was made since then.
        """
        return self._uses.age_ms

    def is_usable(self) -> bool:
        """Return whether a target may be chosen by this list.

        Not if it is so old that a target may have left too long ago, unless
        the store answers no host.
        """
        return self._uses.is_usable()

    def record_listed(self, *, at: Millis) -> None:
        """Record that this list had all that the store had at `at`."""
        self._listed_at = max(self._listed_at, at)

    def apply(self, change: TargetsChanged, *, source: str) -> TargetsChanged:
        """Apply a change of targets and return the part that was new."""
        if self.directory.is_of_earlier_era(change.store_version):
            self.outages.record_restore(now=self._clock.now())
            self.observe_store_age()
            self._emit(
                EventKind.store_restored,
                store_version=change.store_version,
                known_version=self.directory.store_version,
            )
        entries_before = dict(self.directory.entries_by_id)
        applied = self.directory.merge(
            change, complete_version=self.complete_version
        )
        for entry in applied.entries:
            previous = entries_before.get(entry.target_id)
            if (
                previous is not None
                and previous.started_at_ms != entry.started_at_ms
            ):
                self._reputations.remove(entry.target_id)
        self._log_entries(applied.entries, source=source)
        for target_id in applied.removed:
            self._remove(entries_before[target_id], source=source)
        self.applied_changes += bool(applied)
        return applied

    @functools.singledispatchmethod
    def receive(
        self, message: Any, *, source: HostId, arrived_after: Millis
    ) -> None:
        """Handle a message about a read of the store by `source`."""
        raise TypeError(f'{type(message).__name__} is about no read')

    @receive.register
    def receive_change(
        self, message: TargetsChanged, *, source: HostId, arrived_after: Millis
    ) -> None:
        """Apply the changes that another host read."""
        self.apply(message, source=source)

    @receive.register
    def receive_notice(
        self, message: ReadInProgress, *, source: HostId, arrived_after: Millis
    ) -> None:
        """Leave the next read to the host that is reading."""
        self.schedule.postpone(now=self._clock.now())

    @receive.register
    def receive_failure(
        self, message: ReadFailed, *, source: HostId, arrived_after: Millis
    ) -> None:
        """Count a read that failed."""
        self.schedule.record_remote_failure(source, at=arrived_after)

    def observe_store_age(self) -> float:
        """Check whether the store is available; return its data's age in ms.

        Release retained targets once they had time to return.
        """
        now = self._clock.now()
        age_ms = self.schedule.answer_age_ms(now=now)
        self.outages.observe_age(age_ms=age_ms, now=now)
        is_retaining = self.outages.may_have_expired(now=now)
        if is_retaining is self._is_retaining:
            return age_ms
        self._is_retaining = is_retaining
        if is_retaining:
            self._emit(EventKind.removals_held, age_ms=round(age_ms))
            return age_ms
        self._emit(EventKind.removals_released, age_ms=round(age_ms))
        for target_id in self.directory.release_retained():
            self._forget(target_id, source='outage')
        return age_ms

    def relation_to(self, mark: StoreMark) -> ListRelation:
        """Compare this list with that of the sender of a mark."""
        if mark.targets_digest == self.directory.digest:
            return ListRelation.complete
        if mark.store_version >= self.directory.store_version:
            return ListRelation.behind
        if mark.store_version <= self.complete_version:
            return ListRelation.complete
        return ListRelation.unknown

    def credit_read(self, *, store_version: int, read_at: Millis) -> None:
        """Record that this host has all that was read at `read_at`.

        By itself or by another host, at `store_version` of the store or later.
        """
        self.observe_store_age()
        self.complete_version = max(self.complete_version, store_version)
        self.schedule.record_remote_read(
            age_ms=self._clock.now() - read_at, now=self._clock.now()
        )

    def _log_entries(
        self, entries: Sequence[TargetEntry], *, source: str
    ) -> None:
        leaving = tuple(entry.target_id for entry in entries if entry.leaving)
        if leaving:
            self.max_leaving_age_ms = max(
                self.max_leaving_age_ms, self.list_age_ms or 0
            )
        if len(entries) > settings.MAX_LOGGED_TARGETS:
            # At the start of the host, or after an outage of the store.
            self._emit(
                EventKind.targets_listed,
                targets=tuple(entry.target_id for entry in entries),
                leaving=leaving,
                source=source,
                list_age_ms=self.list_age_ms,
            )
            return
        for entry in entries:
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
                list_age_ms=self.list_age_ms,
            )

    def _remove(self, entry: TargetEntry, *, source: str) -> None:
        may_return = self.outages.may_have_expired(now=self._clock.now())
        if may_return and not entry.leaving:
            self.directory.retain(entry)
            return
        self._forget(entry.target_id, source=source)

    def _forget(self, target_id: TargetId, *, source: str) -> None:
        self._reputations.remove(target_id)
        self._emit(
            EventKind.target_gone,
            target=target_id,
            store_version=self.directory.store_version,
            source=source,
            list_age_ms=self.list_age_ms,
        )

    def _emit(self, kind: EventKind, **facts: Any) -> None:
        self._log.emit(Event(kind=kind, facts=facts))
