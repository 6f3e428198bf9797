"""When a host reads the platform's store, and delayed removals."""

import dataclasses
import random
from collections.abc import Iterable

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import TargetId, Version
from chicorybridge.fleet.directories import TargetsChanged


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreMark:
    """Report to other hosts the state and age of the last store read."""

    store_version: int
    targets_digest: int
    configuration_version: Version
    age_ms: int


class ReadSchedule:
    """Decide when this host reads the store itself.

    The first-ranked host of a region reads at every interval and sends a
    `StoreMark` to the others. Each other host reads only when its data are
    older than a threshold that increases with its rank, so that a single
    host takes over when the first one fails.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        spread_limit_ms: float = settings.CHANGE_SPREAD_LIMIT_MS,
    ) -> None:
        """Start with nothing read.

        Changes in the store should reach all hosts within `spread_limit_ms`.
        """
        self.spread_limit_ms = spread_limit_ms
        self._rng = rng
        self.read_at = Millis(-settings.NEVER_READ_AGE_MS)
        self._paused_until = Millis(0)
        self._failures = 0

    def age_ms(self, *, now: Millis) -> float:
        """Return the age of the newest data from the store."""
        return now - self.read_at

    def is_due(self, *, rank: int, now: Millis) -> bool:
        """Return whether this host should read the store now."""
        if now < self._paused_until:
            return False
        share = settings.READ_INTERVAL_SHARE
        if rank:
            step = (
                min(rank, settings.MAX_READ_RANK)
                * settings.READ_RANK_STEP_SHARE
            )
            share = settings.READ_STALE_SHARE + step
        return self.age_ms(now=now) >= self.spread_limit_ms * share

    def record_remote_read(self, mark: StoreMark, *, now: Millis) -> None:
        """Record that another host has read the store."""
        self.read_at = max(self.read_at, Millis(now - mark.age_ms))

    def record_success(self, *, started_at: Millis) -> None:
        """Record a read of this host that began at `started_at`."""
        self.read_at = max(self.read_at, started_at)
        self._failures = 0

    def record_failure(self, *, now: Millis) -> None:
        """Delay the next read, with backoff after repeated failures."""
        doublings = min(self._failures, settings.MAX_READ_BACKOFF_DOUBLINGS)
        pause = settings.MIN_READ_BACKOFF_MS * 2**doublings
        self._paused_until = Millis(now + self._rng.uniform(pause, pause * 2))
        self._failures += 1


class RemovalDelay:
    """Hold back removals that an outage of the store may have caused.

    Entries expire while their targets can't write to the store. Live
    targets write again soon after it recovers, and what is still missing
    then is removed. The store counts as unavailable when no host has read
    it for `STORE_OUTAGE_AGE_MS`. If only this host fails, the store refused
    it or it was disconnected, while targets could write.
    """

    def __init__(self) -> None:
        """Start with the store available."""
        self._in_outage = False
        self._release_at = Millis(0)
        self._held_versions_by_id: dict[TargetId, int] = {}

    def observe_age(self, *, age_ms: float, now: Millis) -> None:
        """Record the age of the newest data from the store.

        Call this before each check for a due read, and after each
        successful read.
        """
        if age_ms > settings.STORE_OUTAGE_AGE_MS:
            # A host that has just started has no entries that could have
            # expired.
            self._in_outage = age_ms < settings.NEVER_READ_AGE_MS
        elif self._in_outage:
            self._in_outage = False
            store_read_at = now - age_ms
            self._release_at = Millis(
                store_read_at + settings.OUTAGE_RECOVERY_MS
            )

    def is_holding(self, *, now: Millis) -> bool:
        """Return whether removals are held back."""
        return self._in_outage or now < self._release_at

    def filter_removals(
        self, change: TargetsChanged, *, now: Millis
    ) -> TargetsChanged:
        """Return `change` with only the removals to apply now."""
        for entry in change.entries:
            self._held_versions_by_id.pop(entry.target_id, None)
        for target_id in change.removed:
            self._held_versions_by_id[target_id] = change.store_version
        released: Iterable[TargetId] = ()
        if not self.is_holding(now=now):
            released = tuple(self._held_versions_by_id)
            self._held_versions_by_id.clear()
        return dataclasses.replace(change, removed=tuple(released))
