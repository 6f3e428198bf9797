"""This host's copy of the platform's list of targets."""

import dataclasses
import zlib

from chicorybridge.common.codecs import pack, wire
from chicorybridge.common.identities import ServiceId, TargetId, ZoneId
from chicorybridge.fleet.ended_targets import EndedTargets
from chicorybridge.fleet.store_versions import NO_VERSION, era_of


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetEntry:
    """A target as it registered itself; `address` is IP:PORT.

    `row_version` is the version of its row in the platform's store; of
    two entries of a target the one with the higher version is newer.
    `started_at_ms`, in milliseconds since 1970, changes with each restart
    of the target. `warming` is set while a target is slow after its start.
    """

    target_id: TargetId
    row_version: int
    service_id: ServiceId
    address: str
    zone_id: ZoneId
    slots: int
    leaving: bool
    warming: bool
    started_at_ms: int

    def differs_from(self, other: 'TargetEntry | None') -> bool:
        """Return whether any field other than `row_version` differs."""
        if other is None:
            return True
        return self != dataclasses.replace(other, row_version=self.row_version)

    def is_like(self, other: 'TargetEntry') -> bool:
        """Return whether hosts that compare their entries see no difference."""
        return self.compared_fields() == other.compared_fields()

    def compared_fields(self) -> tuple[TargetId, str, bool, int]:
        """Return what hosts compare of their entries."""
        return (
            self.target_id,
            self.address,
            self.leaving,
            self.started_at_ms,
        )


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetsChanged:
    """Added or updated entries, and targets whose row was deleted.

    `store_version` is the version of the store at which they were read; an
    entry is as its row was then, or later.
    """

    store_version: int
    entries: tuple[TargetEntry, ...] = ()
    removed: tuple[TargetId, ...] = ()

    def __bool__(self) -> bool:
        """Return whether anything changed."""
        return bool(self.entries or self.removed)


class TargetDirectory:
    """Entries by target, merged from the store and from other hosts.

    Entries are compared by the version of their row and removals by the
    version of the store at which they were seen, so that changes may
    arrive in any order and hosts that have merged the same changes have
    the same entries. A host may keep a removed target in use; that is
    local, and not part of what hosts compare or exchange.
    """

    def __init__(self) -> None:
        """Start empty, with a store version below any other."""
        self.entries_by_id: dict[TargetId, TargetEntry] = {}
        self._retained_by_id: dict[TargetId, TargetEntry] = {}
        self.store_version = NO_VERSION
        self._removal_versions_by_id: dict[TargetId, int] = {}
        self._ended = EndedTargets()
        self._digest: int | None = None
        # Built on demand, dropped with each change.
        self._entries_by_service: dict[ServiceId, tuple[TargetEntry, ...]] = {}

    @property
    def digest(self) -> int:
        """Return a checksum by which hosts compare their directories.

        It covers the id, address, leaving state and start time of each
        target, but not the versions of the rows.
        """
        if self._digest is None:
            entries = sorted(
                entry.compared_fields() for entry in self.entries_by_id.values()
            )
            self._digest = zlib.crc32(pack(tuple(entries)))
        return self._digest

    def for_service(self, service_id: ServiceId) -> tuple[TargetEntry, ...]:
        """Return the entries of a service, also leaving and retained ones.

        It is the same tuple until an entry changes.
        """
        entries = self._entries_by_service.get(service_id)
        if entries is None:
            entries = tuple(
                entry
                for entries_by_id in (self.entries_by_id, self._retained_by_id)
                for entry in entries_by_id.values()
                if entry.service_id == service_id
            )
            self._entries_by_service[service_id] = entries
        return entries

    def in_use(self, target_id: TargetId) -> TargetEntry | None:
        """Return the entry of a target, also of a leaving or retained one."""
        listed = self.entries_by_id.get(target_id)
        return listed or self._retained_by_id.get(target_id)

    def retain(self, entry: TargetEntry) -> None:
        """Keep a removed target in use until it returns or is released."""
        self._retained_by_id[entry.target_id] = entry
        self._entries_by_service.clear()

    def release_retained(self) -> tuple[TargetId, ...]:
        """Drop the retained targets and return their ids."""
        released = tuple(self._retained_by_id)
        self._retained_by_id.clear()
        self._entries_by_service.clear()
        return released

    def merge(
        self, change: TargetsChanged, *, complete_version: int = NO_VERSION
    ) -> TargetsChanged:
        """Apply a change; return the part that changed this directory.

        What differs from this directory, which lacks nothing up to
        `complete_version`, and was read before is outdated and left out.
        Entries of which only the row version is new are left out as well.
        """
        entries = tuple(
            entry
            for entry in change.entries
            if self._upsert(entry, change.store_version, complete_version)
        )
        removed: tuple[TargetId, ...] = ()
        # What another directory of the same version lacks went later.
        if change.store_version >= complete_version:
            removed = tuple(
                target_id
                for target_id in change.removed
                if self._remove(target_id, change.store_version)
            )
        self.store_version = max(self.store_version, change.store_version)
        self._ended.observe(change.store_version)
        return TargetsChanged(
            store_version=change.store_version,
            entries=entries,
            removed=removed,
        )

    def is_of_earlier_era(self, store_version: int) -> bool:
        """Return whether what is known here is of an era before a version's."""
        if self.store_version == NO_VERSION:
            return False
        return era_of(self.store_version) < era_of(store_version)

    def diff(self, full_state: TargetsChanged) -> TargetsChanged:
        """Return the change that leads from this directory to `full_state`.

        It has all entries of `full_state`, and removes the targets that
        `full_state` lacks, unless this directory was read at a newer
        version of the store.
        """
        if full_state.store_version < self.store_version:
            return full_state
        listed = {entry.target_id for entry in full_state.entries}
        missing = tuple(set(self.entries_by_id) - listed)
        return dataclasses.replace(full_state, removed=missing)

    def is_covered_by(self, full_state: TargetsChanged) -> bool:
        """Return whether `diff` finds all removals that `full_state` has.

        Not if this directory is newer and lists targets that it lacks.
        """
        if full_state.store_version >= self.store_version:
            return True
        listed = {entry.target_id for entry in full_state.entries}
        return listed.issuperset(self.entries_by_id)

    def full_state(self) -> TargetsChanged:
        """Return all entries as one change."""
        return TargetsChanged(
            store_version=self.store_version,
            entries=tuple(self.entries_by_id.values()),
        )

    def _upsert(
        self, entry: TargetEntry, store_version: int, complete_version: int
    ) -> bool:
        is_listed_leaving = entry.leaving
        entry = self._ended.as_known(entry)
        current = self.entries_by_id.get(entry.target_id)
        # Up to which versions the entry and what is here are known to hold.
        known_version = max(entry.row_version, store_version)
        own_version = max(
            self._changed_version(entry.target_id), complete_version
        )
        if current is not None and current.is_like(entry):
            if entry.row_version <= current.row_version:
                return False
        elif known_version <= own_version:
            return False
        elif entry.row_version <= own_version:
            # Its row was written again, unchanged in what hosts compare.
            entry = dataclasses.replace(entry, row_version=known_version)
        self._removal_versions_by_id.pop(entry.target_id, None)
        self._retained_by_id.pop(entry.target_id, None)
        self.entries_by_id[entry.target_id] = entry
        if is_listed_leaving:
            self._ended.remember(entry, version=entry.row_version)
        self._entries_by_service.clear()
        differs = entry.differs_from(current)
        if differs:
            self._digest = None
        return differs

    def _changed_version(self, target_id: TargetId) -> int:
        """Return the version of the last change of a target."""
        current = self.entries_by_id.get(target_id)
        if current is not None:
            return current.row_version
        return self._removal_versions_by_id.get(target_id, NO_VERSION)

    def _remove(self, target_id: TargetId, store_version: int) -> bool:
        current = self.entries_by_id.get(target_id)
        if current is not None and current.row_version > store_version:
            return False
        # Also recorded for an unknown target: an entry that is older than
        # the removal may still arrive.
        removal_version = self._removal_versions_by_id.get(
            target_id, NO_VERSION
        )
        self._removal_versions_by_id[target_id] = max(
            removal_version, store_version
        )
        if current is None:
            return False
        self._ended.remember(
            self.entries_by_id.pop(target_id), version=store_version
        )
        self._entries_by_service.clear()
        self._digest = None
        return True
