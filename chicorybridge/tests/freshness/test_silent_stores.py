"""When a host may use data that are older than the bound."""

import curio
import pytest

from chicorybridge import settings
from chicorybridge.common.clocks import ManualClock
from chicorybridge.common.errors import ErrorCode, RequestError
from chicorybridge.common.identities import TargetId
from chicorybridge.fleet.directories import TargetEntry, TargetsChanged
from chicorybridge.fleet.store_reads import (
    ReadFailed,
    StoreQuery,
    StoreReport,
)
from chicorybridge.tests.hosts.test_fleet_views import (
    FAR_ZONE_ID,
    SERVICE_ID,
    ZONE_ID,
    HostModel,
    ScriptedWatcher,
)

BOUND_MS = 3000
NEW_TARGET = TargetEntry(
    target_id=TargetId('i-1'),
    row_version=2,
    service_id=SERVICE_ID,
    address='127.0.0.1:1',
    zone_id=ZONE_ID,
    slots=6,
    leaving=False,
    warming=False,
    started_at_ms=1,
)


class SilentWatcher(ScriptedWatcher):
    """A store that does not answer."""

    async def read_targets(self, _known_ids) -> TargetsChanged:
        """Raise the error of a failed call."""
        raise RequestError(code=ErrorCode.store_unavailable, detail='no answer')


@pytest.fixture(name='clock')
def _clock() -> ManualClock:
    return ManualClock(start=10_000_000)


@pytest.fixture(name='others')
def _others(clock) -> list[HostModel]:
    return [HostModel(f'edge-{number}', clock) for number in (2, 3)]


@pytest.fixture(name='host')
def _host(clock) -> HostModel:
    """Return a host whose data are older than the bound."""
    host = HostModel('edge-1', clock)
    host.view.targets.schedule.spread_limit_ms = BOUND_MS
    host.read(TargetsChanged(store_version=1))
    host.reader._watcher = SilentWatcher()
    clock.advance(by_ms=BOUND_MS)
    return host


def _meet(host: HostModel, others: list[HostModel]) -> None:
    for other in others:
        host.view.on_message(other.profile(), other.name)


def _fail_to_read(host: HostModel) -> None:
    curio.run(host.reader._read_store)


def _ask(host: HostModel, others: list[HostModel]) -> None:
    """Let `host` ask the others, which report to it."""
    host.view.marks.ask_if_due()
    others_by_name = {other.name: other for other in others}
    for name, message in host.view.to_hosts:
        if isinstance(message, StoreQuery) and name in others_by_name:
            other = others_by_name[name]
            other.view.on_message(message, host.name)
            _, report = other.view.to_hosts[-1]
            host.view.on_message(report, name)


def test_host_that_alone_can_not_read_does_not_use_old_data(host, others):
    _meet(host, others)
    for _ in range(3):
        _fail_to_read(host)
    assert not host.view.targets.is_usable()


def test_failures_of_one_other_host_do_not_make_old_data_usable(host, others):
    _meet(host, others)
    for _ in range(3):
        host.view.on_message(ReadFailed(), others[0].name)
    assert not host.view.targets.is_usable()


def test_old_data_are_used_once_two_hosts_fail_to_read(host, others):
    _meet(host, others)
    host.view.on_message(ReadFailed(), others[0].name)
    _fail_to_read(host)
    _ask(host, others)
    assert host.view.targets.is_usable()


def test_old_data_are_used_once_two_other_hosts_fail_to_read(host, others):
    _meet(host, others)
    for other in others:
        host.view.on_message(ReadFailed(), other.name)
    _ask(host, others)
    assert host.view.targets.is_usable()


def test_host_that_is_alone_uses_old_data_after_two_failures(host):
    _fail_to_read(host)
    assert not host.view.targets.is_usable()
    _fail_to_read(host)
    assert host.view.targets.is_usable()


def test_failures_before_an_answer_do_not_count(clock, host, others):
    _meet(host, others)
    host.view.on_message(ReadFailed(), others[0].name)
    clock.advance(by_ms=1)
    host.view.targets.schedule.record_answer(at=clock.now(), latest=clock.now())
    clock.advance(by_ms=BOUND_MS)
    _fail_to_read(host)
    assert not host.view.targets.is_usable()


def test_failures_that_waited_beside_an_answer_do_not_count(
    clock, host, others
):
    _meet(host, others)
    others[0].read(TargetsChanged(store_version=2))
    mark = others[0].view.store_mark()
    arrived_after = clock.now()
    clock.advance(by_ms=BOUND_MS)
    host.view.on_message(mark, others[0].name, arrived_after)
    for other in others:
        host.view.on_message(ReadFailed(), other.name, arrived_after)
    assert not host.view.targets.is_usable()


def test_old_data_are_not_used_if_any_host_had_an_answer(host, others):
    _meet(host, others)
    host.view.on_message(ReadFailed(), others[0].name)
    _fail_to_read(host)
    others[1].read(TargetsChanged(store_version=2, entries=(NEW_TARGET,)))
    _ask(host, others)
    assert not host.view.targets.is_usable()


def test_report_to_an_earlier_clock_makes_no_data_current(clock, host, others):
    others[0].read(TargetsChanged(store_version=1))
    mark = others[0].view.store_mark()
    asked_at = clock.now() + BOUND_MS
    report = StoreReport(asked_at=asked_at, mark=mark, answer_age_ms=0)
    host.view.on_message(report, others[0].name)
    assert host.age_ms >= BOUND_MS
    assert not host.view.targets.is_usable()


def test_old_data_are_not_used_long_after_others_reported(clock, host, others):
    _meet(host, others)
    host.view.on_message(ReadFailed(), others[0].name)
    _fail_to_read(host)
    _ask(host, others)
    clock.advance(by_ms=settings.STORE_REPORT_TTL_MS)
    assert not host.view.targets.is_usable()


def test_failures_of_refused_hosts_do_not_make_old_data_usable(host, others):
    _meet(host, others)
    for other in others:
        host.view.on_message(ReadFailed(), other.name)
    _fail_to_read(host)
    assert not host.view.targets.is_usable()


@pytest.mark.parametrize(
    ('silent_ms', 'usable'), [(BOUND_MS - 100, False), (BOUND_MS + 100, True)]
)
def test_own_region_does_not_suffice_if_another_was_heard_within_the_bound(
    clock, host, others, silent_ms, usable
):
    """A full link between the regions may lose its reports for a while."""
    _meet(host, [HostModel('far-1', clock, FAR_ZONE_ID)])
    clock.advance(by_ms=silent_ms)
    others = [*others, HostModel('edge-4', clock)]
    _meet(host, others)
    host.view.on_message(ReadFailed(), others[0].name)
    _fail_to_read(host)
    _ask(host, others)
    assert host.view.targets.is_usable() is usable
