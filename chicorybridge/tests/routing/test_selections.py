"""Choice of a target from reputations, places and idle connections."""

import math
import random
from collections import Counter
from types import MappingProxyType

import pytest

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import (
    RegionId,
    ServiceId,
    TargetId,
    ZoneId,
)
from chicorybridge.fleet.directories import (
    TargetDirectory,
    TargetEntry,
    TargetsChanged,
)
from chicorybridge.routing.reputations import (
    ReputationTable,
    Sign,
    TargetSeen,
)
from chicorybridge.routing.selections import Manner, Selector
from chicorybridge.routing.workloads import WorkloadTable

QUOTES = ServiceId('quotes')
REGIONS = MappingProxyType(
    {
        ZoneId('groningen'): RegionId('noord'),
        ZoneId('leeuwarden'): RegionId('noord'),
        ZoneId('eindhoven'): RegionId('zuid'),
    }
)
NOW = Millis(1000)
DRAWS = 60
SLOTS = 6


class Scene:
    """Targets, what is known of them, and a selector in groningen."""

    def __init__(self) -> None:
        """Start without targets."""
        self.directory = TargetDirectory()
        self.reputations = ReputationTable()
        self.workloads = WorkloadTable(zone_id=ZoneId('groningen'))
        self.idle: set[str] = set()
        self.selector = Selector(
            directory=self.directory,
            reputations=self.reputations,
            workloads=self.workloads,
            zone_id=ZoneId('groningen'),
            regions_by_zone=REGIONS,
            rng=random.Random(1),
            has_idle=lambda address: address in self.idle,
        )

    def add(self, target_id: str, zone: str, **given: bool) -> None:
        """List a target; its address is its id."""
        version = len(self.directory.entries_by_id) + 1
        entry = TargetEntry(
            target_id=TargetId(target_id),
            row_version=version,
            service_id=QUOTES,
            address=target_id,
            zone_id=ZoneId(zone),
            slots=SLOTS,
            leaving=given.get('leaving', False),
            warming=given.get('warming', False),
            started_at_ms=1,
        )
        self.directory.merge(
            TargetsChanged(store_version=version, entries=(entry,))
        )

    def see(self, target_id: str, sign: Sign, at: Millis = NOW) -> None:
        """Take in what a request showed."""
        seen = TargetSeen(target_id=TargetId(target_id), sign=sign)
        self.reputations.see(seen, now=at)

    def fill(self, target_id: str) -> None:
        """Let requests take all slots of a target and wait for the next."""
        for _ in range(SLOTS + 1):
            self.workloads.started(TargetId(target_id))

    def draw(
        self,
        manner: Manner = Manner.safest,
        body_bytes: int = 0,
        patience: float = math.inf,
        at: Millis = NOW,
    ) -> Counter[str]:
        """Choose many times and count the targets."""
        found: Counter[str] = Counter()
        for _ in range(DRAWS):
            option = self.selector.choose(
                QUOTES,
                manner,
                excluded=(),
                body_bytes=body_bytes,
                patience=patience,
                now=at,
            )
            if option is not None:
                found[option.entry.target_id] += 1
        return found


@pytest.fixture(name='scene')
def _scene() -> Scene:
    return Scene()


def test_work_that_may_run_once_goes_to_the_proven(scene):
    for target_id in ('a', 'b', 'c'):
        scene.add(target_id, 'groningen')
    scene.see('a', Sign.broke)
    scene.see('b', Sign.answered)
    assert set(scene.draw()) == {'b'}


def test_repeatable_work_looks_at_what_was_not_seen(scene):
    scene.add('a', 'groningen')
    scene.add('b', 'groningen')
    scene.see('a', Sign.answered)
    assert scene.draw(Manner.exploring)['b']


def test_leaving_target_is_never_chosen(scene):
    scene.add('a', 'groningen', leaving=True)
    assert not scene.draw()


def test_idle_connection_decides_between_equals(scene):
    scene.add('a', 'groningen')
    scene.add('b', 'groningen')
    scene.idle.add('b')
    assert set(scene.draw()) == {'b'}


def test_large_body_stays_in_its_region(scene):
    scene.add('near', 'leeuwarden')
    scene.add('far', 'eindhoven')
    scene.see('near', Sign.failed)
    scene.see('far', Sign.answered)
    assert set(scene.draw()) == {'far'}
    assert set(scene.draw(body_bytes=60_000)) == {'near'}


def test_target_out_of_reach_is_passed_over(scene):
    scene.add('a', 'groningen')
    scene.add('b', 'leeuwarden')
    scene.see('a', Sign.unreachable)
    assert set(scene.draw()) == {'b'}


def test_full_target_is_not_chosen(scene):
    scene.add('a', 'groningen')
    scene.add('b', 'leeuwarden')
    scene.fill('a')
    assert set(scene.draw()) == {'b'}
    scene.fill('b')
    assert not scene.draw()


def test_busy_target_is_waited_for_rather_than_a_doubtful_one_taken(scene):
    scene.add('a', 'groningen')
    scene.add('b', 'groningen')
    scene.see('a', Sign.answered)
    scene.see('b', Sign.broke)
    scene.fill('a')
    assert not scene.draw(patience=settings.LOSS_TOLERANCE)
    assert set(scene.draw(patience=1)) == {'b'}


def test_doubtful_target_is_taken_when_there_is_no_better_one(scene):
    scene.add('a', 'groningen')
    scene.see('a', Sign.broke)
    assert set(scene.draw(patience=settings.LOSS_TOLERANCE)) == {'a'}


def test_target_is_listed_also_while_it_is_full(scene):
    scene.add('a', 'groningen')
    scene.fill('a')
    assert scene.selector.has_targets(QUOTES, excluded=())
    assert not scene.selector.has_targets(QUOTES, excluded=('a',))


def test_target_seen_just_now_is_not_looked_at(scene):
    scene.add('a', 'groningen')
    scene.add('b', 'groningen')
    scene.see('a', Sign.answered)
    scene.see('b', Sign.answered)
    scene.idle.add('b')
    assert set(scene.draw(Manner.exploring)) == {'b'}


def test_service_without_repeatable_work_tries_targets_that_are_back(scene):
    scene.add('a', 'groningen')
    scene.add('b', 'groningen')
    scene.see('a', Sign.answered)
    assert set(scene.draw(Manner.returning)) == {'b'}
    scene.see('b', Sign.broke)
    assert set(scene.draw(Manner.returning)) == {'a'}


def test_gray_target_is_looked_at_by_one_request_at_a_time(scene):
    scene.add('a', 'groningen')
    scene.add('b', 'groningen')
    scene.see('a', Sign.answered)
    scene.see('b', Sign.broke)
    later = Millis(NOW + settings.EXPLORE_GRAY_INTERVAL_MS)
    scene.see('a', Sign.answered, at=later)
    assert set(scene.draw(Manner.exploring, at=later)) == {'b'}
    scene.workloads.started(TargetId('b'))
    assert set(scene.draw(Manner.exploring, at=later)) == {'a'}


def test_full_region_sends_work_to_one_that_has_room(scene):
    scene.add('near', 'leeuwarden')
    scene.add('far', 'eindhoven')
    scene.see('near', Sign.answered)
    scene.fill('near')
    assert not scene.draw(patience=settings.LOSS_TOLERANCE)
    # The word of the other region on its target.
    scene.reputations.adopt(TargetId('far'), 0.98, now=NOW)
    assert set(scene.draw(patience=settings.LOSS_TOLERANCE)) == {'far'}
