"""Choice of a target from reputations, places and idle connections."""

import random
from collections import Counter
from types import MappingProxyType

import pytest

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


class Scene:
    """Targets, what is known of them, and a selector in groningen."""

    def __init__(self) -> None:
        """Start without targets."""
        self.directory = TargetDirectory()
        self.reputations = ReputationTable()
        self.idle: set[str] = set()
        self.selector = Selector(
            directory=self.directory,
            reputations=self.reputations,
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
            slots=6,
            leaving=given.get('leaving', False),
            warming=given.get('warming', False),
            born=1,
        )
        self.directory.merge(
            TargetsChanged(store_version=version, entries=(entry,))
        )

    def see(self, target_id: str, sign: Sign) -> None:
        """Take in what a request showed."""
        seen = TargetSeen(target_id=TargetId(target_id), sign=sign)
        self.reputations.see(seen, now=NOW)

    def draw(
        self, manner: Manner = Manner.safest, body_bytes: int = 0
    ) -> Counter[str]:
        """Choose many times and count the targets."""
        found: Counter[str] = Counter()
        for _ in range(DRAWS):
            option = self.selector.choose(
                QUOTES, manner, excluded=(), body_bytes=body_bytes, now=NOW
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
