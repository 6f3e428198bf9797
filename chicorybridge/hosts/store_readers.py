"""Periodic reads of the platform's store, shared between hosts."""

import functools
import math
from collections.abc import Awaitable, Callable, Collection
from typing import Any, Protocol

import curio

from chicorybridge import settings
from chicorybridge.common.clocks import Clock, Millis, as_seconds
from chicorybridge.common.codecs import pack
from chicorybridge.common.errors import ChicorybridgeError
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.common.identities import HostId, TargetId
from chicorybridge.fleet.configurations import (
    ConfigurationDelta,
    KeyedConfigurationDelta,
    HostConfiguration,
    diff_configurations,
)
from chicorybridge.fleet.directories import TargetsChanged
from chicorybridge.fleet.host_tables import FleetMember, region_order
from chicorybridge.fleet.news import News, RegionNews, hosts_below
from chicorybridge.fleet.store_reads import (
    ReadFailed,
    ReadInProgress,
    StoreMark,
    rank_of_reader,
)
from chicorybridge.fleet.store_versions import NO_VERSION, era_of
from chicorybridge.hosts.fleet_views import FleetView

Send = Callable[[Any], None]

NEVER = Millis(math.inf)
NEVER_READ_AT = Millis(-math.inf)


class Watcher(Protocol):
    """Client of the store; methods raise `ChicorybridgeError`."""

    @property
    def calls(self) -> int:
        """Return the number of calls to the store."""

    async def read_configuration(self) -> HostConfiguration | None:
        """Return the configuration if it changed since the last read."""

    @property
    def received_bytes(self) -> int:
        """Return the number of bytes received from the store."""

    def skip_to(self, version: int) -> None:
        """Leave out changes up to a version of the store."""

    def skip_configuration_to(self, version: int) -> None:
        """Leave out configurations up to a version of the store."""

    async def read_targets(
        self, known_ids: Collection[TargetId]
    ) -> TargetsChanged:
        """Return the targets that changed since the last read."""

    async def read_hosts(self) -> tuple[FleetMember, ...]:
        """Return the profiles of hosts in the store."""

    async def write_host(self, profile: FleetMember) -> None:
        """Write the profile of this host."""


class HostAnnouncer(Protocol):
    """Tells the other hosts of this one."""

    def profile(self) -> FleetMember:
        """Return the profile of this host."""

    def announce(self) -> None:
        """Send it to the hosts that are known."""


class RegionSender(Protocol):
    """Sends messages to hosts of the region."""

    def send_to_region(self, message: Any) -> None:
        """Send a message to all hosts of the region."""

    def send_to_hosts(self, message: Any, host_ids: Collection[HostId]) -> None:
        """Send a message to the hosts with these ids that are known."""


class NewsRelay:
    """Send what this host reads to its region, and pass on what others read.

    The mark of a read is to come after its news, or hosts that could do
    without would fetch them.
    """

    def __init__(
        self, *, clock: Clock, fleet_view: FleetView, sender: RegionSender
    ) -> None:
        """Start without news; messages are handled by `fleet_view`."""
        self._clock = clock
        self._fleet_view = fleet_view
        self._host_table = fleet_view.host_table
        self._sender = sender
        # Ticks until the mark of the last read with news is sent.
        self._mark_ticks = 0

    @functools.singledispatchmethod
    def tell(self, message: Any) -> None:
        """Send a message about a read of this host to the region."""
        self._sender.send_to_region(message)

    @tell.register(TargetsChanged)
    @tell.register(ConfigurationDelta)
    @tell.register(KeyedConfigurationDelta)
    def tell_news(self, message: News) -> None:
        """Send news through a tree; hosts fetch those that are too large."""
        self._mark_ticks = settings.NEWS_TICKS
        if len(pack(message)) <= settings.MAX_NEWS_BYTES:
            origin = self._host_table.host_id
            self._pass_on(RegionNews(origin=origin, message=message))

    @tell.register
    def tell_mark(self, message: StoreMark) -> None:
        """Send a mark, unless it is to follow news."""
        if not self._mark_ticks:
            self._sender.send_to_region(message)

    def tick(self) -> None:
        """Send the mark of a read with news once it is due."""
        if not self._mark_ticks:
            return
        self._mark_ticks -= 1
        if not self._mark_ticks:
            self._sender.send_to_region(self._fleet_view.store_mark())

    def receive(
        self, message: Any, sender: HostId, arrived_after: Millis
    ) -> None:
        """Handle a message of another host; news go on to the hosts below.

        News show that the store answered, though not when it did.
        Only what is new here is passed on, as hosts that know others have
        another order, in which news might go round in a circle.
        """
        if not isinstance(message, RegionNews):
            self._fleet_view.on_message(message, sender, arrived_after)
            return
        before = self._changes()
        self._fleet_view.on_message(message.message, sender, arrived_after)
        if self._changes() == before:
            return
        self._fleet_view.targets.schedule.record_answer(
            at=NEVER_READ_AT, latest=self._clock.now()
        )
        self._pass_on(message)

    def _changes(self) -> tuple[int, int]:
        view = self._fleet_view
        return view.targets.applied_changes, view.state.version

    def _pass_on(self, news: RegionNews) -> None:
        below = hosts_below(
            self._host_table.host_id,
            news=news,
            order=self._host_table.groups.all_by_rank,
        )
        self._sender.send_to_hosts(news, below)


class StoreReader:
    """Read the store unless another host did so recently.

    The first hosts of the region by rank send changes to it. The others read
    for themselves only: they do so when they hear nothing, many at once, and
    what is new to one of them is known to most.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        log: EventLog,
        fleet_view: FleetView,
        watcher: Watcher,
        announcer: HostAnnouncer,
        send: Send,
        send_far: Send,
    ) -> None:
        """Send changes with `send`, which reaches the hosts of the region.

        `send_far` reaches some hosts of each other region. `announcer` has
        the profile of this host.
        """
        self._announcer = announcer
        self._send_far = send_far
        self._clock = clock
        self._log = log
        self._fleet_view = fleet_view
        self._targets = fleet_view.targets
        self._watcher = watcher
        self._send = send
        self._store_failing = False
        # When the host is to be registered; never once it is.
        self._register_at = Millis(0)
        # The era of the store in which it was, as far as is known.
        self._registered_era = era_of(NO_VERSION)

    @property
    def calls(self) -> int:
        """Return the number of calls to the store."""
        return self._watcher.calls

    async def run(self) -> None:
        """Register and read the store whenever it is due, until cancelled."""
        while True:
            await self.register_if_due()
            if self._is_due():
                await self._read_store()
            await curio.sleep(as_seconds(settings.READ_CHECK_INTERVAL_MS))

    async def register_if_due(self) -> None:
        """Write the profile of this host and read those of the others.

        Announce the host to them. This is due at the start; if the store
        fails, again once it has been read, or after a while, as other hosts
        may read it for this one. A store that came back from a copy may have
        lost the profile.
        """
        self._observe_era()
        if self._clock.now() < self._register_at:
            return
        profiles = await self._call_store(self._write_and_read_hosts())
        now = self._clock.now()
        if profiles is None:
            self._register_at = Millis(now + settings.REGISTER_RETRY_MS)
        else:
            self._register_at = NEVER
            self._fleet_view.host_table.add_unknown(profiles, now=now)
        self._announcer.announce()

    def _observe_era(self) -> None:
        """Register again after a while if the store starts a new era."""
        era = era_of(self._targets.complete_version)
        if era == self._registered_era or self._register_at != NEVER:
            return
        if self._registered_era != era_of(NO_VERSION):
            rank, _ = self._rank()
            self._register_at = Millis(
                self._clock.now() + rank * settings.REGISTER_SPREAD_MS
            )
        self._registered_era = era

    async def _write_and_read_hosts(self) -> tuple[FleetMember, ...]:
        await self._watcher.write_host(self._announcer.profile())
        return await self._watcher.read_hosts()

    def _is_due(self) -> bool:
        self._targets.observe_store_age()
        if not self._targets.schedule.may_be_due(now=self._clock.now()):
            return False
        rank, hosts = self._rank()
        now = self._clock.now()
        return self._targets.schedule.is_due(
            rank=rank,
            hosts=hosts,
            now=now,
            relies_on_others=self._fleet_view.marks.relies_on_others(),
        )

    def _rank(self) -> tuple[int, int]:
        """Return this host's rank and the number of hosts that read."""
        order = self._fleet_view.host_table.groups.reading_order
        rank = rank_of_reader(
            self._targets.schedule,
            host_id=self._fleet_view.host_table.host_id,
            order=order,
            now=self._clock.now(),
        )
        return rank, len(order)

    def _tell_region(self, message: Any) -> None:
        rank, _ = self._rank()
        if rank <= settings.MAX_READ_RANK:
            self._send(message)

    def _tell_all(self, message: Any) -> None:
        """Send a message to the region and to some hosts of each other one."""
        rank, _ = self._rank()
        if rank <= settings.MAX_READ_RANK:
            self._send(message)
            self._send_far(message)

    async def _read_store(self) -> None:
        started_at = self._clock.now()
        rank, hosts = self._rank()
        age_ms = self._targets.list_age_ms
        if self._targets.complete_version != NO_VERSION:
            self._watcher.skip_to(self._targets.complete_version)
        configured_to = self._fleet_view.marks.configuration_version
        if configured_to != NO_VERSION:
            self._watcher.skip_configuration_to(configured_to)
        notices = await curio.spawn(self._send_notices, daemon=True)
        change = await self._call_store(self._read_all())
        await notices.cancel(blocking=False)
        now = self._clock.now()
        self._emit(
            EventKind.store_read,
            rank=rank,
            list_age_ms=age_ms,
            took_ms=round(now - started_at),
            failed=change is None,
        )
        if change is None:
            self._tell_region(ReadFailed())
            self._targets.schedule.record_failure(hosts=hosts, now=now)
            # Another host may know more, and its state comes over a stream.
            order = region_order(self._fleet_view.host_table)
            self._fleet_view.relay.ask_any(order=order, now=now)
            return
        self._targets.schedule.record_success(started_at=started_at)
        self._targets.credit_read(
            store_version=change.store_version, read_at=started_at
        )
        if self._register_at != NEVER:
            self._register_at = self._clock.now()
        self._targets.observe_store_age()
        self._tell_all(self._fleet_view.store_mark())

    async def _read_all(self) -> TargetsChanged:
        """Read and apply changes of the targets, then the configuration.

        In this order the configuration is as new as the version of the
        store that the targets have.
        """
        started_at = self._clock.now()
        change = await self._watcher.read_targets(
            self._fleet_view.directory.entries_by_id.keys()
        )
        applied = self._targets.apply(change, source='store')
        self._targets.record_listed(at=started_at)
        if applied:
            self._tell_region(applied)
        configuration = await self._watcher.read_configuration()
        if configuration is not None:
            self._apply_configuration(configuration)
        return change

    async def _send_notices(self) -> None:
        """Tell the region of this read while its answer is arriving."""
        while True:
            received_bytes = self._watcher.received_bytes
            await curio.sleep(as_seconds(settings.READ_NOTICE_INTERVAL_MS))
            if self._watcher.received_bytes > received_bytes:
                self._tell_region(ReadInProgress())

    def _apply_configuration(self, configuration: HostConfiguration) -> None:
        """Activate a newer configuration and send what it changes."""
        before = self._fleet_view.state.configuration
        applied = self._fleet_view.apply_configuration(
            configuration, source='store'
        )
        if not applied or before is None:
            return
        delta = diff_configurations(before, configuration)
        if delta is not None:
            self._tell_all(delta)

    async def _call_store(self, store_call: Awaitable[Any]) -> Any:
        try:
            answer = await store_call
        except ChicorybridgeError as error:
            if not self._store_failing:
                self._emit(EventKind.store_lost, error=str(error))
            self._store_failing = True
            return None
        if self._store_failing:
            self._emit(EventKind.store_back)
        self._store_failing = False
        return answer

    def _emit(self, kind: EventKind, **facts: Any) -> None:
        self._log.emit(Event(kind=kind, facts=facts))
