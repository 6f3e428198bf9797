"""Tests of applies: concurrent or lost operators, and a faulty store."""

import random

import pytest

from chicorybridge import settings
from chicorybridge.common.identities import HostId
from chicorybridge.configuration.heads import HEAD_KEY
from chicorybridge.configuration.versions import ApplyProgress, ApplyStage
from chicorybridge.standins.faults import FaultyTables
from chicorybridge.standins.tables import MemoryTables
from chicorybridge.storage.stores import (
    PutObject,
    ReadRows,
    StoreOutcome,
    StoreReply,
    StoreRequest,
    Transact,
)
from chicorybridge.tools.simulations.fleets import SETTLE_MS, AppliedFleet

SECOND = HostId('host-0001')
ROLLOUT_MS = 2000
OUTAGE_MS = 60_000
STORE_DELAY_MS = 150
# Midway between any two steps of an apply.
FAULT_TIMES_MS = range(STORE_DELAY_MS // 2, 6 * STORE_DELAY_MS, STORE_DELAY_MS)


class ScriptedTables(FaultyTables):
    """Leave the next request of one type unanswered.

    A request that fails as `lost` takes no effect, as `done` it takes
    effect, and as `late` it takes effect only when `release` is called.
    """

    def __init__(self, *, tables: MemoryTables) -> None:
        """Start without a planned failure."""
        super().__init__(tables=tables, rng=random.Random(1))
        self.planned_failure: tuple[type, str] | None = None
        self.late_requests: list[StoreRequest] = []

    def execute(self, request: StoreRequest, *, token: str = '') -> StoreReply:
        """Execute `request`, or fail it as planned."""
        if self.planned_failure is None or not isinstance(
            request, self.planned_failure[0]
        ):
            return super().execute(request, token=token)
        _, failure = self.planned_failure
        self.planned_failure = None
        if failure == 'done':
            super().execute(request, token=token)
        if failure == 'late':
            self.late_requests.append(request)
        return StoreReply(token=token, outcome=StoreOutcome.unanswered)

    def release(self) -> None:
        """Execute the late requests."""
        for request in self.late_requests:
            self.tables.execute(request)


@pytest.fixture
def fleet() -> AppliedFleet:
    """Return a fleet of six hosts with the first version active."""
    return AppliedFleet(size=6)


def _scripted_store(fleet: AppliedFleet) -> ScriptedTables:
    store = ScriptedTables(tables=fleet.channel.store.tables)
    fleet.channel.store = store
    return store


def _durable_version(fleet: AppliedFleet) -> int:
    tables = fleet.channel.store.tables
    return tables.rows_by_key[HEAD_KEY].version


def test_one_of_two_concurrent_applies_wins(fleet):
    """One apply is accepted; the other gets a conflict and writes nothing."""
    rival = fleet.operator('rival').answers
    fleet.apply('second', base=1)
    fleet.apply('other', base=1, at=SECOND, sender='rival')
    fleet.run(for_ms=ROLLOUT_MS)
    stages = {fleet.last_progress.stage, rival[-1].stage}
    assert stages == {ApplyStage.accepted, ApplyStage.conflict}
    loser = _last_conflict(fleet, rival)
    assert loser.winner
    assert loser.winner.version == 2
    assert loser.winner.digest != loser.digest
    assert set(fleet.versions.values()) == {2}


def _last_conflict(fleet: AppliedFleet, rival: list) -> ApplyProgress:
    last_progresses = (fleet.last_progress, rival[-1])
    return next(
        progress
        for progress in last_progresses
        if progress.stage is ApplyStage.conflict
    )


def test_apply_on_an_old_version_conflicts(fleet):
    """An apply planned against a version that is not the newest conflicts."""
    fleet.apply('second', base=1)
    fleet.run(for_ms=ROLLOUT_MS)
    fleet.apply('third', base=2)
    fleet.run(for_ms=ROLLOUT_MS)
    fleet.apply('late', base=1)
    fleet.run(for_ms=ROLLOUT_MS)
    assert fleet.last_progress.stage is ApplyStage.conflict
    assert fleet.last_progress.winner is not None
    assert set(fleet.versions.values()) == {3}


@pytest.mark.parametrize('failure', ['lost', 'done', 'late'])
@pytest.mark.parametrize('request_type', [PutObject, Transact, ReadRows])
def test_unanswered_request_yields_one_version(fleet, request_type, failure):
    """One version results, whether or not the request took effect."""
    store = _scripted_store(fleet)
    store.planned_failure = (request_type, failure)
    fleet.apply('second', base=1)
    fleet.run(for_ms=5000)
    store.release()
    fleet.run(for_ms=5000)
    assert fleet.last_progress.stage is ApplyStage.accepted
    assert set(fleet.versions.values()) == {2}
    assert _durable_version(fleet) == 2


def test_late_write_conflicts_with_another_apply(fleet):
    """A write that reaches the store after that of another apply conflicts."""
    fleet.operator('rival')
    store = _scripted_store(fleet)
    fleet.channel.store_delay_ms = (STORE_DELAY_MS, STORE_DELAY_MS)
    store.planned_failure = (Transact, 'late')
    fleet.apply('second', base=1)
    fleet.run(for_ms=STORE_DELAY_MS + 50)
    fleet.crash(fleet.default_host_id)
    fleet.apply('other', base=1, at=SECOND, sender='rival')
    fleet.run(for_ms=ROLLOUT_MS)
    store.release()
    fleet.apply('second', base=1, at=SECOND)
    fleet.run(for_ms=3 * settings.EXCUSE_AFTER_MS)
    assert fleet.last_progress.stage is ApplyStage.conflict
    assert _durable_version(fleet) == 2
    assert fleet.versions[SECOND] == 2


@pytest.mark.parametrize('crash_after_ms', FAULT_TIMES_MS)
@pytest.mark.parametrize('is_repeated', [False, True])
def test_host_crashes_during_an_apply(fleet, crash_after_ms, is_repeated):
    """A repeated apply is accepted.

    The version of one that is not repeated is active on all hosts or on
    none.
    """
    fleet.channel.store_delay_ms = (STORE_DELAY_MS, STORE_DELAY_MS)
    fleet.apply('second', base=1)
    fleet.run(for_ms=crash_after_ms)
    fleet.crash(fleet.default_host_id)
    if is_repeated:
        fleet.apply('second', base=1, at=SECOND, apply_id='repeated')
    fleet.run(for_ms=3 * settings.EXCUSE_AFTER_MS)
    assert set(fleet.versions.values()) == {_durable_version(fleet)}
    if is_repeated:
        assert fleet.last_progress.stage is ApplyStage.accepted
        assert _durable_version(fleet) == 2


def test_unwritten_apply_is_dropped_without_its_operator(fleet):
    """A version is not written after its operator stopped requesting it."""
    fleet.channel.store.outage = True
    fleet.apply('second', base=1)
    fleet.run(for_ms=OUTAGE_MS)
    fleet.channel.store.outage = False
    fleet.run(for_ms=OUTAGE_MS)
    assert _durable_version(fleet) == 1


def test_store_is_unavailable_before_an_apply(fleet):
    """An apply waits for the store while its operator repeats the request."""
    fleet.channel.store.outage = True
    for _ in range(10):
        fleet.apply('second', base=1)
        fleet.run(for_ms=settings.UNWATCHED_APPLY_TTL_MS / 2)
        assert fleet.last_progress.store_unavailable
    fleet.channel.store.outage = False
    fleet.run(for_ms=ROLLOUT_MS)
    assert fleet.last_progress.stage is ApplyStage.accepted


@pytest.mark.parametrize('outage_after_ms', FAULT_TIMES_MS)
def test_store_becomes_unavailable_during_an_apply(fleet, outage_after_ms):
    """After an outage of the store at any step, the version is accepted."""
    fleet.channel.store_delay_ms = (STORE_DELAY_MS, STORE_DELAY_MS)
    fleet.apply('second', base=1)
    fleet.run(for_ms=outage_after_ms)
    fleet.channel.store.outage = True
    for _ in range(6):
        fleet.run(for_ms=settings.UNWATCHED_APPLY_TTL_MS / 2)
        fleet.apply('second', base=1)
    fleet.channel.store.outage = False
    fleet.run(for_ms=SETTLE_MS)
    assert fleet.last_progress.stage is ApplyStage.accepted
    assert _durable_version(fleet) == 2


def test_store_is_unavailable_after_the_write(fleet):
    """A durable version is accepted through any host during an outage."""
    fleet.hosts_by_id[SECOND].is_settled = False
    fleet.apply('second', base=1)
    fleet.run(for_ms=ROLLOUT_MS)
    fleet.channel.store.outage = True
    fleet.crash(fleet.default_host_id)
    fleet.hosts_by_id[SECOND].is_settled = True
    fleet.apply('second', base=1, at=HostId('host-0004'))
    fleet.run(for_ms=3 * settings.EXCUSE_AFTER_MS)
    assert fleet.last_progress.stage is ApplyStage.accepted


def test_malformed_body_is_rejected(fleet):
    """Nothing is written for a malformed body."""
    fleet.apply('broken', base=1, body=b'nonsense')
    fleet.run(for_ms=100)
    assert fleet.last_progress.stage is ApplyStage.rejected
    assert _durable_version(fleet) == 1
