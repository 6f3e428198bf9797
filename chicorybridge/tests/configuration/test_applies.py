"""Tests of applies: operators who race or vanish, and a faulty store."""

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
IN_FORCE_MS = 2000
OUTAGE_MS = 60_000
STORE_MS = 150
# Once between any two steps of an apply.
KILL_TIMES_MS = range(STORE_MS // 2, 6 * STORE_MS, STORE_MS)


class ScriptedTables(FaultyTables):
    """Fail the next request of one type in one way.

    `lost` takes no effect, `done` takes effect, `late` takes effect only
    when `release` is called; none of them is answered.
    """

    def __init__(self, *, tables: MemoryTables) -> None:
        """Start without a failure planned."""
        super().__init__(tables=tables, rng=random.Random(1))
        self.planned: tuple[type, str] | None = None
        self.held: list[StoreRequest] = []

    def execute(self, request: StoreRequest, *, token: str = '') -> StoreReply:
        """Carry out `request`, or fail it as planned."""
        if self.planned is None or not isinstance(request, self.planned[0]):
            return super().execute(request, token=token)
        _, how = self.planned
        self.planned = None
        if how == 'done':
            super().execute(request, token=token)
        if how == 'late':
            self.held.append(request)
        return StoreReply(token=token, outcome=StoreOutcome.unanswered)

    def release(self) -> None:
        """Let late requests take effect now."""
        for request in self.held:
            self.tables.execute(request)


@pytest.fixture
def fleet() -> AppliedFleet:
    """Return six hosts with the first version in force."""
    return AppliedFleet(size=6)


def _script(fleet: AppliedFleet) -> ScriptedTables:
    store = ScriptedTables(tables=fleet.channel.store.tables)
    fleet.channel.store = store
    return store


def _durable(fleet: AppliedFleet) -> int:
    tables = fleet.channel.store.tables
    return tables.rows_by_key[HEAD_KEY].version


def test_two_operators_at_once(fleet):
    """One apply wins, the other is shown both and writes nothing."""
    rival = fleet.operator('rival').answers
    fleet.apply('second', base=1)
    fleet.apply('other', base=1, at=SECOND, sender='rival')
    fleet.run(for_ms=IN_FORCE_MS)
    stages = {fleet.last.stage, rival[-1].stage}
    assert stages == {ApplyStage.accepted, ApplyStage.conflict}
    loser = _last_conflict(fleet, rival)
    assert loser.winner
    assert loser.winner.version == 2
    assert loser.winner.digest != loser.digest
    assert set(fleet.versions.values()) == {2}


def _last_conflict(fleet: AppliedFleet, rival: list) -> ApplyProgress:
    ends = (fleet.last, rival[-1])
    return next(end for end in ends if end.stage is ApplyStage.conflict)


def test_plan_against_an_old_version_conflicts(fleet):
    """An apply planned against a version that is not newest loses."""
    fleet.apply('second', base=1)
    fleet.run(for_ms=IN_FORCE_MS)
    fleet.apply('third', base=2)
    fleet.run(for_ms=IN_FORCE_MS)
    fleet.apply('late', base=1)
    fleet.run(for_ms=IN_FORCE_MS)
    assert fleet.last.stage is ApplyStage.conflict
    assert fleet.last.winner is not None
    assert set(fleet.versions.values()) == {3}


@pytest.mark.parametrize('how', ['lost', 'done', 'late'])
@pytest.mark.parametrize('step', [PutObject, Transact, ReadRows])
def test_unanswered_step_is_settled(fleet, step, how):
    """Whatever became of an unanswered request, one version comes of it."""
    store = _script(fleet)
    store.planned = (step, how)
    fleet.apply('second', base=1)
    fleet.run(for_ms=5000)
    store.release()
    fleet.run(for_ms=5000)
    assert fleet.last.stage is ApplyStage.accepted
    assert set(fleet.versions.values()) == {2}
    assert _durable(fleet) == 2


def test_unanswered_write_may_lose_to_a_rival(fleet):
    """A write held back for long conflicts with what came meanwhile."""
    fleet.operator('rival')
    store = _script(fleet)
    fleet.channel.store_delay_ms = (STORE_MS, STORE_MS)
    store.planned = (Transact, 'late')
    fleet.apply('second', base=1)
    fleet.run(for_ms=STORE_MS + 50)
    fleet.crash(fleet.first)
    fleet.apply('other', base=1, at=SECOND, sender='rival')
    fleet.run(for_ms=IN_FORCE_MS)
    store.release()
    fleet.apply('second', base=1, at=SECOND)
    fleet.run(for_ms=3 * settings.EXCUSE_MS)
    assert fleet.last.stage is ApplyStage.conflict
    assert _durable(fleet) == 2
    assert fleet.versions[SECOND] == 2


@pytest.mark.parametrize('killed_after_ms', KILL_TIMES_MS)
@pytest.mark.parametrize('again', [False, True])
def test_operator_and_host_killed(fleet, killed_after_ms, again):
    """A repeat finishes the apply; without one it is whole or dropped."""
    fleet.channel.store_delay_ms = (STORE_MS, STORE_MS)
    fleet.apply('second', base=1)
    fleet.run(for_ms=killed_after_ms)
    fleet.crash(fleet.first)
    if again:
        fleet.apply('second', base=1, at=SECOND, apply_id='repeated')
    fleet.run(for_ms=3 * settings.EXCUSE_MS)
    assert set(fleet.versions.values()) == {_durable(fleet)}
    if again:
        assert fleet.last.stage is ApplyStage.accepted
        assert _durable(fleet) == 2


def test_operator_gone_before_the_write_drops_the_apply(fleet):
    """A host does not write hours later for an operator who gave up."""
    fleet.channel.store.outage = True
    fleet.apply('second', base=1)
    fleet.run(for_ms=OUTAGE_MS)
    fleet.channel.store.outage = False
    fleet.run(for_ms=OUTAGE_MS)
    assert _durable(fleet) == 1


def test_store_away_before(fleet):
    """An apply waits for the store while its operator does."""
    fleet.channel.store.outage = True
    for _ in range(10):
        fleet.apply('second', base=1)
        fleet.run(for_ms=settings.OPERATOR_MS / 2)
        assert fleet.last.store_unavailable
    fleet.channel.store.outage = False
    fleet.run(for_ms=IN_FORCE_MS)
    assert fleet.last.stage is ApplyStage.accepted


@pytest.mark.parametrize('away_after_ms', KILL_TIMES_MS)
def test_store_away_in_the_middle(fleet, away_after_ms):
    """An outage at any step ends in one version, accepted or not yet."""
    fleet.channel.store_delay_ms = (STORE_MS, STORE_MS)
    fleet.apply('second', base=1)
    fleet.run(for_ms=away_after_ms)
    fleet.channel.store.outage = True
    for _ in range(6):
        fleet.run(for_ms=settings.OPERATOR_MS / 2)
        fleet.apply('second', base=1)
    fleet.channel.store.outage = False
    fleet.run(for_ms=SETTLE_MS)
    assert fleet.last.stage is ApplyStage.accepted
    assert _durable(fleet) == 2


def test_store_away_after(fleet):
    """With the store away the version goes on to be accepted anywhere."""
    fleet.hosts_by_id[SECOND].settles = False
    fleet.apply('second', base=1)
    fleet.run(for_ms=IN_FORCE_MS)
    fleet.channel.store.outage = True
    fleet.crash(fleet.first)
    fleet.hosts_by_id[SECOND].settles = True
    fleet.apply('second', base=1, at=HostId('host-0004'))
    fleet.run(for_ms=3 * settings.EXCUSE_MS)
    assert fleet.last.stage is ApplyStage.accepted


def test_body_that_is_no_declaration_is_rejected(fleet):
    """Nothing is written for it."""
    fleet.apply('broken', base=1, body=b'nonsense')
    fleet.run(for_ms=100)
    assert fleet.last.stage is ApplyStage.rejected
    assert _durable(fleet) == 1
