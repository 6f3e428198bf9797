"""When a host reads the platform's store, and outages of the store."""

import dataclasses
import random
from collections import deque
from collections.abc import Callable, Sequence
from enum import Enum

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import HostId, Version


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreMark:
    """Report to other hosts the state and age of the last store read.

    `sent_at` is on the clock of the sender, in ms.
    """

    store_version: int
    targets_digest: int
    configuration_version: Version
    age_ms: int
    sent_at: int | None = None


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadInProgress:
    """Report to other hosts that a long read of the store goes on."""


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadFailed:
    """Report to other hosts that the store did not answer a read."""


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreQuery:
    """Ask a host for a report; it sends `asked_at` back as it is."""

    asked_at: float


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreReport:
    """Answer a query: the mark of the sender, and what it knows of the store.

    The store answered a host `answer_age_ms` before, as far as is known.
    """

    asked_at: float
    mark: StoreMark
    answer_age_ms: float


class DataUse(Enum):
    """Whether data of the store may be used, and why."""

    # The data are as new as the bound on their use asks.
    current = 'current'
    # They are older, but the store answers no host, as far as is known.
    store_away = 'store-away'
    outdated = 'outdated'


def _without_reports(_now: Millis) -> bool:
    return True


class ReadSchedule:
    """Decide when this host reads the store itself.

    The first-ranked host of a region reads at every interval and sends a
    `StoreMark` to the others. The next ones read only when their data are
    older than a threshold that increases with the rank, so that a single
    host takes over when the first one fails. All others rely on them as long
    as any host answers: they would fill the link to the store if they all
    read. Those whose reads failed come last.
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
        # Whether other hosts report that the store is silent.
        self.confirms_silence: Callable[[Millis], bool] = _without_reports
        self._rng = rng
        self.read_at = Millis(-settings.NEVER_READ_AGE_MS)
        self._paused_until = Millis(0)
        self._postponed_until = Millis(0)
        self._failures = 0
        # When the store last answered a read of any host, as far as is known,
        # and when the last reads of this host and of others failed.
        self._answered_at = self.read_at
        self._answered_latest = self.read_at
        self._failed_at: deque[Millis] = deque(
            maxlen=settings.MIN_STORE_AWAY_FAILURES
        )
        self.own_failed_at = self.read_at
        self.failed_at_by_id: dict[HostId, Millis] = {}
        # Whether this host was alone in its region when its last read failed.
        self._is_alone = False

    def age_ms(self, *, now: Millis) -> float:
        """Return the age of the newest data from the store."""
        return now - self.read_at

    def answer_age_ms(self, *, now: Millis) -> float:
        """Return how long ago the store answered a host."""
        return now - max(self._answered_at, self.read_at)

    def latest_answer_age_ms(self, *, now: Millis) -> float:
        """Return how long ago the store answered a host at least."""
        return now - max(self._answered_latest, self.read_at)

    def data_use(self, *, known_at: Millis, now: Millis) -> DataUse:
        """Return whether data that were current at `known_at` may be used.

        They may be old if the store answers no host, as far as is known. A
        single read may fail although the store works.
        """
        max_age_ms = self.spread_limit_ms * settings.DATA_USE_SHARE
        if now - known_at < max_age_ms:
            return DataUse.current
        answered_at = max(self._answered_latest, self.read_at)
        if now - answered_at < max_age_ms:
            return DataUse.outdated
        if self._is_away(since=answered_at) and self.confirms_silence(now):
            return DataUse.store_away
        return DataUse.outdated

    def failed_hosts(self) -> tuple[HostId, ...]:
        """Return the other hosts whose reads failed since an answer."""
        since = max(self._answered_latest, self.read_at)
        return tuple(
            host_id
            for host_id, failed_at in self.failed_at_by_id.items()
            if failed_at > since
        )

    def is_current(self, *, now: Millis) -> bool:
        """Return whether the data are as new as they should be."""
        return self.age_ms(now=now) <= self.spread_limit_ms

    def may_be_due(self, *, now: Millis) -> bool:
        """Return whether a host of any rank should read the store now."""
        min_age_ms = self.spread_limit_ms * settings.READ_INTERVAL_SHARE
        return self.age_ms(now=now) >= min_age_ms

    def is_due(
        self,
        *,
        rank: int,
        hosts: int,
        now: Millis,
        relies_on_others: bool = False,
    ) -> bool:
        """Return whether this host should read the store now.

        `rank` is its rank among the `hosts` of the region. It leaves reads to
        the first ones if it `relies_on_others`.
        """
        if now < self._paused_until:
            return False
        if rank > settings.MAX_READ_RANK and relies_on_others:
            return False
        share = _due_share(rank=rank, hosts=hosts)
        if rank and now < self._postponed_until:
            share = _postponed_share(share)
        return self.age_ms(now=now) >= self.spread_limit_ms * share

    def postpone(self, *, now: Millis) -> None:
        """Leave the next read to another host, which has newer data or reads.

        For a while, and no longer than a read of this host still ends
        within the limit.
        """
        pause_ms = self.spread_limit_ms * settings.READ_STALE_SHARE
        self._postponed_until = Millis(now + pause_ms)

    def record_remote_read(self, *, age_ms: float, now: Millis) -> None:
        """Record that this host has all that another host has read.

        The other host read the store `age_ms` before `now` or later.
        """
        self.read_at = max(self.read_at, Millis(now - age_ms))

    def record_answer(self, *, at: Millis, latest: Millis) -> None:
        """Record that the store answered another host at `at` or later.

        At `latest` if the message did not wait. If failures before an answer
        were taken for later ones, the store would look away.
        """
        self._answered_at = max(self._answered_at, at)
        self._answered_latest = max(self._answered_latest, latest)

    def record_remote_failure(self, host_id: HostId, *, at: Millis) -> None:
        """Record that a read of another host had failed at `at` or later."""
        self.failed_at_by_id[host_id] = at

    def record_success(self, *, started_at: Millis) -> None:
        """Record a read of this host that began at `started_at`."""
        self.read_at = max(self.read_at, started_at)
        self._failures = 0
        self.own_failed_at = Millis(-settings.NEVER_READ_AGE_MS)

    def record_failure(self, *, hosts: int, now: Millis) -> None:
        """Delay the next read, with backoff after repeated failures.

        The backoff of few `hosts` stays short, as few others retry.
        """
        most = max(1, hosts / settings.READ_BACKOFF_HOSTS)
        factor = min(2**self._failures, most, settings.MAX_READ_BACKOFF_FACTOR)
        pause = settings.MIN_READ_BACKOFF_MS * factor
        self._paused_until = Millis(now + self._rng.uniform(pause, pause * 2))
        self._failures += 1
        self.own_failed_at = now
        self._failed_at.append(now)
        self._is_alone = hosts <= 1

    def _is_away(self, *, since: Millis) -> bool:
        """Return whether reads of several hosts failed after `since`.

        Those of one host may fail because of its own links.
        """
        own_count = sum(at > since for at in self._failed_at)
        if not self._is_alone:
            own_count = min(own_count, 1)
        others = len(self.failed_hosts())
        return own_count + others >= settings.MIN_STORE_AWAY_FAILURES


def rank_of_reader(
    schedule: ReadSchedule,
    *,
    host_id: HostId,
    order: Sequence[HostId],
    now: Millis,
) -> int:
    """Return the rank of a host with a schedule among those that read.

    `order` has them by rank; those whose reads failed lately come last.
    """
    failed_after = now - settings.FAILED_READER_MS
    failed_ids = {
        failed_id
        for failed_id, failed_at in schedule.failed_at_by_id.items()
        if failed_at > failed_after
    }
    if schedule.own_failed_at > failed_after:
        failed_ids.add(host_id)
    if not failed_ids:
        return order.index(host_id)
    return sorted(order, key=failed_ids.__contains__).index(host_id)


def _due_share(*, rank: int, hosts: int) -> float:
    """Return the age at which a host reads, as a share of the limit."""
    if not rank:
        return settings.READ_INTERVAL_SHARE
    last_step = settings.MAX_READ_RANK
    share = (
        settings.READ_STALE_SHARE
        + min(rank, last_step) * settings.READ_RANK_STEP_SHARE
    )
    if rank <= last_step:
        return share
    # Spread over the rest, so that they don't all read at once.
    tail = (rank - last_step) / max(1, hosts - last_step)
    return share + min(tail, 1) * settings.READ_TAIL_SHARE


def _postponed_share(share: float) -> float:
    """Return the share at which a host reads that leaves it to others.

    Those that don't are mostly earlier; `share` is when this one would be due.
    """
    first, last = settings.READ_STALE_SHARE, settings.READ_LATEST_SHARE
    delay = (share - first) / (last - first)
    postponed_span = (
        settings.READ_POSTPONED_LATEST_SHARE - settings.READ_POSTPONED_SHARE
    )
    return settings.READ_POSTPONED_SHARE + delay * postponed_span


class OutageMonitor:
    """Detect outages of the store, in which entries of targets may expire.

    Entries expire while their targets can't write to the store. Live
    targets write again soon after it recovers, and what is still missing
    then is gone. The store counts as unavailable when no host has read it
    for some of the intervals at which targets write. If only this host
    fails, the store refused it or it was disconnected, while targets could
    write.
    """

    def __init__(
        self, *, heartbeat_ms: float = settings.TARGET_HEARTBEAT_MS
    ) -> None:
        """Start with the store available; targets write at `heartbeat_ms`."""
        self.heartbeat_ms = heartbeat_ms
        self._in_outage = False
        self._recovered_at = Millis(0)

    def observe_age(self, *, age_ms: float, now: Millis) -> None:
        """Record the age of the newest data from the store.

        Call this before each check for a due read, and after each
        successful read.
        """
        outage_age_ms = self.heartbeat_ms * settings.STORE_OUTAGE_HEARTBEATS
        if age_ms > outage_age_ms:
            # A host that has just started has no entries that could have
            # expired.
            self._in_outage = age_ms < settings.NEVER_READ_AGE_MS
        elif self._in_outage:
            self._in_outage = False
            store_read_at = now - age_ms
            self._recovered_at = Millis(
                store_read_at + settings.OUTAGE_RECOVERY_MS
            )

    def record_restore(self, *, now: Millis) -> None:
        """Record that the store came back from a copy that may be older.

        Targets that registered since the copy write their entries again.
        """
        self._recovered_at = Millis(now + settings.OUTAGE_RECOVERY_MS)

    def may_have_expired(self, *, now: Millis) -> bool:
        """Return whether a removed entry may belong to a live target."""
        return self._in_outage or now < self._recovered_at
