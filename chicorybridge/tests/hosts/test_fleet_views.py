"""What a host learns from marks and snapshots of other hosts."""

import random
from types import MappingProxyType
from typing import Any

import curio
import pytest

from chicorybridge import settings
from chicorybridge.common.clocks import ManualClock
from chicorybridge.common.errors import ErrorCode, RequestError
from chicorybridge.common.events import EventLog
from chicorybridge.common.identities import (
    HostId,
    Incarnation,
    RegionId,
    ServiceId,
    TargetId,
    ZoneId,
)
from chicorybridge.fleet.configurations import (
    ConfigurationDelta,
    HostConfiguration,
)
from chicorybridge.fleet.directories import TargetEntry, TargetsChanged
from chicorybridge.fleet.host_tables import (
    FleetMember,
    HostTable,
    region_order,
)
from chicorybridge.fleet.snapshots import Snapshot
from chicorybridge.fleet.store_reads import ReadInProgress
from chicorybridge.hosts.fleet_views import FleetView
from chicorybridge.hosts.states import HostState
from chicorybridge.hosts.store_readers import StoreReader
from chicorybridge.platform.formats import decode_configuration
from chicorybridge.tests.platform.rows import configuration_row, route

ZONE_ID = ZoneId('groningen')
FAR_ZONE_ID = ZoneId('eindhoven')
REGIONS = MappingProxyType(
    {ZONE_ID: RegionId('noord'), FAR_ZONE_ID: RegionId('zuid')}
)
SERVICE_ID = ServiceId('quotes')
OUTAGE_MS = 4000


class ScriptedWatcher:
    """A store whose next read returns `change`."""

    calls = 0
    received_bytes = 0

    def __init__(self) -> None:
        """Start without changes."""
        self.skipped_to: int | None = None
        self.configuration_skipped_to: int | None = None
        self.change = TargetsChanged(store_version=0)
        self.profiles_by_id: dict[HostId, FleetMember] = {}
        self.away = False
        self.configuration: HostConfiguration | None = None

    async def read_configuration(self) -> HostConfiguration | None:
        """Return the configuration."""
        return self.configuration

    def skip_to(self, version: int) -> None:
        """Keep the version."""
        self.skipped_to = version

    def skip_configuration_to(self, version: int) -> None:
        """Keep the version."""
        self.configuration_skipped_to = version

    async def read_targets(self, _known_ids) -> TargetsChanged:
        """Return the change."""
        return self.change

    async def read_hosts(self) -> tuple[FleetMember, ...]:
        """Return the hosts that registered."""
        return tuple(self.profiles_by_id.values())

    async def write_host(self, profile: FleetMember) -> None:
        """Keep the profile, unless the store is away."""
        if self.away:
            raise RequestError(
                code=ErrorCode.overloaded, detail='the store is away'
            )
        self.profiles_by_id[profile.host_id] = profile


class HostModel:
    """The fleet view of one host and its reader of the store."""

    def __init__(
        self, name: str, clock: ManualClock, zone_id: ZoneId = ZONE_ID
    ) -> None:
        """Start without targets."""
        self.name = HostId(name)
        self.zone_id = zone_id
        self.clock = clock
        self.sent: list[Any] = []
        self.sent_far: list[Any] = []
        self.announced = 0
        self.watcher = ScriptedWatcher()
        self.log = EventLog(
            clock=clock,
            host_id=self.name,
            process='host',
            incarnation=Incarnation(1),
        )
        self.view = FleetView(
            clock=clock,
            log=self.log,
            rng=random.Random(1),
            state=HostState(),
            host_table=HostTable(
                host_id=self.name, zone_id=zone_id, regions_by_zone=REGIONS
            ),
        )
        self.reader = StoreReader(
            clock=clock,
            log=self.log,
            fleet_view=self.view,
            watcher=self.watcher,
            announcer=self,
            send=self.sent.append,
            send_far=self.sent_far.append,
        )

    @property
    def age_ms(self) -> float:
        """Return the age of the store data of this host."""
        return self.view.targets.schedule.age_ms(now=self.clock.now())

    @property
    def delta(self) -> ConfigurationDelta:
        """Return the delta that this host sent to its region."""
        return next(
            message
            for message in self.sent
            if isinstance(message, ConfigurationDelta)
        )

    def profile(self) -> FleetMember:
        """Return the profile that this host sends."""
        return FleetMember(
            host_id=self.name,
            zone_id=self.zone_id,
            incarnation=Incarnation(1),
            serial=1,
            front=f'{self.name}:80',
            fleet_address=f'{self.name}:70',
            serving=True,
        )

    def announce(self) -> None:
        """Count the announcements."""
        self.announced += 1

    def read(self, change: TargetsChanged) -> None:
        """Read `change` from the store."""
        self.watcher.change = change
        self.reader._is_due()
        curio.run(self.reader._read_store)

    def hear(self, other: 'HostModel') -> None:
        """Handle a mark of another host, fetch its snapshot and its mark."""
        self.view.on_message(other.profile(), other.name)
        mark = other.view.store_mark()
        self.view.on_message(mark, other.name)
        self.view.merge_snapshot(
            other.view.build_snapshot(),
            source=other.name,
            requested_at=self.clock.now(),
        )
        self.view.on_message(other.view.store_mark(), other.name)


def _entry(row_version: int, *, leaving: bool = False) -> TargetEntry:
    return TargetEntry(
        target_id=TargetId('i-1'),
        row_version=row_version,
        service_id=SERVICE_ID,
        address='127.0.0.1:1',
        zone_id=ZONE_ID,
        slots=6,
        leaving=leaving,
        warming=False,
        started_at_ms=1,
    )


def _listed(store_version: int) -> TargetsChanged:
    return TargetsChanged(store_version=store_version, entries=(_entry(1),))


def _removed(store_version: int) -> TargetsChanged:
    return TargetsChanged(
        store_version=store_version, removed=(TargetId('i-1'),)
    )


@pytest.fixture(name='clock')
def _clock() -> ManualClock:
    return ManualClock(start=10_000_000)


@pytest.fixture(name='first')
def _first(clock) -> HostModel:
    return HostModel('first', clock)


@pytest.fixture(name='second')
def _second(clock) -> HostModel:
    return HostModel('second', clock)


def test_marks_count_although_only_their_sender_holds_removals_back(
    clock, first, second
):
    first.read(_listed(1))
    clock.advance(by_ms=OUTAGE_MS)
    first.read(_removed(5))
    second.read(_removed(5))
    clock.advance(by_ms=OUTAGE_MS / 4)
    first.read(TargetsChanged(store_version=6))
    second.hear(first)
    assert second.age_ms == 0


def test_fetched_state_is_as_fresh_as_its_sender_says(clock, first):
    first.read(TargetsChanged(store_version=1))
    clock.advance(by_ms=1000)
    snapshot = Snapshot(
        configuration=None, targets=_listed(7), hosts=(), age_ms=200
    )
    first.view.merge_snapshot(
        snapshot, source='second', requested_at=clock.now()
    )
    assert first.age_ms == 200


def test_host_that_saw_an_outage_keeps_removed_targets_in_use(clock, first):
    first.read(_listed(1))
    clock.advance(by_ms=OUTAGE_MS)
    first.read(_removed(5))
    assert first.view.directory.for_service(SERVICE_ID)
    clock.advance(by_ms=settings.OUTAGE_RECOVERY_MS)
    first.read(TargetsChanged(store_version=6))
    assert not first.view.directory.for_service(SERVICE_ID)


def test_leaving_target_that_is_removed_after_an_outage_is_gone(clock, first):
    first.read(
        TargetsChanged(store_version=1, entries=(_entry(1, leaving=True),))
    )
    clock.advance(by_ms=OUTAGE_MS)
    first.read(_removed(5))
    assert not first.view.directory.for_service(SERVICE_ID)


def test_target_that_returns_after_an_outage_is_listed_once(clock, first):
    first.read(_listed(1))
    clock.advance(by_ms=OUTAGE_MS)
    first.read(_removed(5))
    first.read(TargetsChanged(store_version=7, entries=(_entry(7),)))
    assert len(first.view.directory.for_service(SERVICE_ID)) == 1
    clock.advance(by_ms=settings.OUTAGE_RECOVERY_MS)
    first.read(TargetsChanged(store_version=8))
    assert len(first.view.directory.for_service(SERVICE_ID)) == 1


def test_mark_that_waited_while_the_host_stood_still_is_old(
    clock, first, second
):
    second.read(TargetsChanged(store_version=1))
    mark = second.view.store_mark()
    first.read(TargetsChanged(store_version=1))
    arrived_after = clock.now()
    clock.advance(by_ms=OUTAGE_MS)
    first.view.on_message(mark, second.name, arrived_after)
    assert first.age_ms >= OUTAGE_MS


def _configuration(version: int, *, routes: int = 3) -> HostConfiguration:
    body = configuration_row(
        *(
            route(name=f'r-{number}', prefix=f'/{number}/')
            for number in range(routes)
        ),
        version=format(version, '08x'),
    )
    return decode_configuration(body)


def test_small_change_of_the_configuration_needs_no_fetch(first, second):
    first.view.apply_configuration(_configuration(4), source='store')
    second.view.apply_configuration(_configuration(4), source='store')
    first.watcher.configuration = _configuration(7, routes=4)
    first.read(TargetsChanged(store_version=9))
    second.view.on_message(first.delta, first.name)
    assert second.view.state.configuration == first.view.state.configuration


def test_change_to_another_version_is_not_applied(first, second):
    first.view.apply_configuration(_configuration(4), source='store')
    second.view.apply_configuration(_configuration(3), source='store')
    first.watcher.configuration = _configuration(7, routes=4)
    first.read(TargetsChanged(store_version=9))
    second.view.on_message(first.delta, first.name)
    assert second.view.state.version == 3


def test_large_change_of_the_configuration_is_not_sent_to_all(first):
    first.view.apply_configuration(_configuration(4), source='store')
    first.watcher.configuration = _configuration(7, routes=300)
    first.read(TargetsChanged(store_version=9))
    assert [type(message).__name__ for message in first.sent] == ['StoreMark']


@pytest.fixture(name='far')
def _far(clock, first) -> HostModel:
    host = HostModel('far', clock, FAR_ZONE_ID)
    host.view.on_message(first.profile(), first.name)
    return host


def test_mark_of_another_region_counts_and_is_passed_on(clock, first, far):
    first.read(TargetsChanged(store_version=9))
    clock.advance(by_ms=50)
    far.view.on_message(first.view.store_mark(), first.name)
    assert far.age_ms == 50
    clock.advance(by_ms=30)
    ages_ms = [mark.age_ms for mark in far.view.to_forward.take()]
    assert ages_ms == [80]


def test_targets_of_another_region_that_differ_need_no_fetch(clock, first, far):
    first.read(_listed(9))
    far.view.on_message(first.view.store_mark(), first.name)
    assert far.view.relay.take_due(now=clock.now()) is None
    assert not far.view.to_forward.take()


def test_configuration_of_another_region_is_fetched_at_once(clock, first, far):
    first.view.apply_configuration(_configuration(4), source='store')
    far.view.on_message(first.view.store_mark(), first.name)
    fetch = far.view.relay.take_due(now=clock.now())
    assert fetch is not None
    assert fetch.source == first.name


def test_small_change_reaches_other_regions_and_is_passed_on(first, far):
    first.view.apply_configuration(_configuration(4), source='store')
    far.view.apply_configuration(_configuration(4), source='store')
    first.watcher.configuration = _configuration(7, routes=4)
    first.read(TargetsChanged(store_version=9))
    delta = first.sent_far[0]
    far.view.on_message(delta, first.name)
    assert far.view.state.version == 7
    assert far.view.to_forward.take() == (delta,)


def test_host_that_takes_over_reads_only_what_it_lacks(clock, first, second):
    first.read(_listed(5))
    second.view.on_message(first.sent[0], first.name)
    second.view.on_message(first.view.store_mark(), first.name)
    second.read(TargetsChanged(store_version=9))
    assert second.watcher.skipped_to == 5


def test_host_that_lacks_targets_reads_no_configuration_that_it_has(
    first, second
):
    for host in (first, second):
        host.watcher.configuration = _configuration(1)
        host.read(_listed(4))
    entry = _entry(5, leaving=True)
    first.read(TargetsChanged(store_version=5, entries=(entry,)))
    second.view.on_message(first.view.store_mark(), first.name)
    second.read(TargetsChanged(store_version=6))
    assert second.watcher.skipped_to == 4
    assert second.watcher.configuration_skipped_to == 5


def _age_and_source(host: HostModel) -> tuple[int, str]:
    event = next(
        event
        for event in host.log.recent()
        if event['event'] == 'target_leaving'
    )
    return (event['list_age_ms'], event['source'])


def test_late_news_of_a_leaving_target_is_logged_with_its_age_and_way(
    clock, first, second
):
    first.read(_listed(1))
    second.hear(first)
    clock.advance(by_ms=700)
    leaving = TargetsChanged(
        store_version=2, entries=(_entry(2, leaving=True),)
    )
    first.read(leaving)
    second.view.on_message(leaving, first.name)
    assert _age_and_source(first) == (700, 'store')
    assert _age_and_source(second) == (700, first.name)
    assert second.view.targets.max_leaving_age_ms == 700


def test_reads_of_the_store_are_logged_with_the_age_before(clock, first):
    first.read(_listed(1))
    clock.advance(by_ms=700)
    first.read(TargetsChanged(store_version=2))
    reads = [
        event for event in first.log.recent() if event['event'] == 'store_read'
    ]
    assert [event['list_age_ms'] for event in reads] == [None, 700]
    assert not any(event['failed'] for event in reads)


def test_read_is_left_to_a_host_whose_answer_is_arriving(clock, first):
    first.read(TargetsChanged(store_version=1))
    schedule = first.view.targets.schedule
    clock.advance(by_ms=schedule.spread_limit_ms * 0.6)
    assert schedule.is_due(rank=2, hosts=8, now=clock.now())
    first.view.on_message(ReadInProgress(), HostId('second'))
    assert not schedule.is_due(rank=2, hosts=8, now=clock.now())
    clock.advance(by_ms=schedule.spread_limit_ms * 0.4)
    assert schedule.is_due(rank=7, hosts=8, now=clock.now())


def test_older_mark_does_not_hide_a_change_that_was_lost(clock, first, second):
    first.read(_listed(5))
    mark = first.view.store_mark()
    second.view.on_message(TargetsChanged(store_version=8), HostId('third'))
    second.view.on_message(mark, first.name)
    second.read(TargetsChanged(store_version=9))
    assert second.watcher.skipped_to is None


def test_older_mark_does_not_make_a_list_with_a_gap_current(
    clock, first, second
):
    first.read(_listed(1))
    second.hear(first)
    clock.advance(by_ms=500)
    first.read(
        TargetsChanged(store_version=5, entries=(_entry(5, leaving=True),))
    )
    # The change is lost; a later one of another host arrives.
    second.view.on_message(TargetsChanged(store_version=8), HostId('third'))
    second.view.on_message(first.view.store_mark(), first.name)
    assert second.age_ms == 500


def test_host_does_not_skip_a_change_that_its_peer_lost_as_well(
    clock, first, second
):
    third = HostModel('third', clock)
    first.read(_listed(1))
    for host in (second, third):
        host.hear(first)
    first.read(
        TargetsChanged(store_version=5, entries=(_entry(5, leaving=True),))
    )
    # Both lose that change, and get a later one.
    for host in (second, third):
        host.view.on_message(TargetsChanged(store_version=8), first.name)
    second.view.on_message(third.view.store_mark(), third.name)
    second.read(TargetsChanged(store_version=9))
    assert second.watcher.skipped_to == 1


def test_state_without_a_removal_that_this_host_missed_is_not_current(
    clock, first, second
):
    first.read(_listed(1))
    second.hear(first)
    clock.advance(by_ms=500)
    first.read(_removed(5))
    second.view.on_message(TargetsChanged(store_version=8), HostId('third'))
    second.view.merge_snapshot(
        first.view.build_snapshot(),
        source=first.name,
        requested_at=clock.now(),
    )
    assert second.age_ms == 500


def test_host_that_starts_without_the_store_registers_when_it_is_back(
    first, second
):
    first.watcher.profiles_by_id = second.watcher.profiles_by_id
    curio.run(second.reader.register_if_due)
    first.watcher.away = True
    curio.run(first.reader.register_if_due)
    assert not first.view.host_table.profiles()
    first.watcher.away = False
    first.read(TargetsChanged(store_version=1))
    curio.run(first.reader.register_if_due)
    assert first.view.host_table.profiles() == (second.profile(),)
    assert first.name in second.watcher.profiles_by_id
    assert first.announced == 2
    # It is registered once.
    curio.run(first.reader.register_if_due)
    assert first.announced == 2


def test_host_for_which_others_read_the_store_registers_after_a_while(
    clock, first
):
    first.watcher.away = True
    curio.run(first.reader.register_if_due)
    first.watcher.away = False
    curio.run(first.reader.register_if_due)
    assert first.name not in first.watcher.profiles_by_id
    clock.advance(by_ms=settings.REGISTER_RETRY_MS)
    curio.run(first.reader.register_if_due)
    assert first.name in first.watcher.profiles_by_id


MARK_INTERVAL_MS = 500
CHECK_MS = 100
# What is left of the bound for the read itself: two calls to the store.
READ_MS = 300


def _last_of_region(clock, hosts: int) -> HostModel:
    """Return the host of the last rank in a region of `hosts`."""
    models = [HostModel(f'edge-{number}', clock) for number in range(hosts)]
    _introduce(models, models[0])
    order = region_order(models[0].view.host_table)
    last = next(host for host in models if host.name == order[-1])
    _introduce(models, last)
    return last


def _introduce(models: list[HostModel], to: HostModel) -> None:
    for model in models:
        to.view.on_message(model.profile(), model.name)


def test_host_that_can_not_fetch_what_is_new_reads_the_store_in_time(
    clock, first
):
    last = _last_of_region(clock, 40)
    last.read(_listed(1))
    read_at = clock.now()
    version = 1
    while not last.reader._is_due():
        clock.advance(by_ms=CHECK_MS)
        if not clock.now() % MARK_INTERVAL_MS:
            version += 1
            entry = _entry(version, leaving=True)
            first.read(TargetsChanged(store_version=version, entries=(entry,)))
            last.view.on_message(first.view.store_mark(), first.name)
    limit_ms = last.view.targets.schedule.spread_limit_ms
    assert clock.now() - read_at + CHECK_MS + READ_MS <= limit_ms


def test_read_of_lost_targets_that_fails_is_repeated_within_the_bound(
    clock, first
):
    last = _last_of_region(clock, 40)
    last.view.targets.schedule.spread_limit_ms = 3000
    last.read(_listed(1))
    read_at = clock.now()
    version = 1
    while not last.reader._is_due():
        clock.advance(by_ms=CHECK_MS)
        version += 1
        entry = _entry(version, leaving=True)
        first.read(TargetsChanged(store_version=version, entries=(entry,)))
        last.view.on_message(first.view.store_mark(), first.name)
    # The pause after a read that fails, and the read that repeats it.
    retry_ms = 2 * settings.MIN_READ_BACKOFF_MS + CHECK_MS + READ_MS
    assert clock.now() - read_at + READ_MS + retry_ms <= 3000


def test_host_of_high_rank_that_reads_the_store_sends_nothing_to_its_region(
    clock,
):
    last = _last_of_region(clock, 40)
    last.read(_listed(1))
    assert last.view.directory.entries_by_id
    assert not last.sent
    assert not last.sent_far
