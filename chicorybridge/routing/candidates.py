"""Targets as one process sees them when it chooses."""

import dataclasses
import random
from collections.abc import Iterator

from chicorybridge import settings
from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import TargetId, ZoneId
from chicorybridge.configuration.declarations import Declaration

# Factors on the cost of a target in the own zone, own region and across.
PLACE_COSTS = (
    1.0,
    settings.IN_REGION_COST_FACTOR,
    settings.OTHER_REGION_COST_FACTOR,
)
ACROSS = len(PLACE_COSTS) - 1


# Beyond so many sheds in turn the pause no longer grows.
MOST_SHEDS_IN_TURN = 8


@dataclasses.dataclass(kw_only=True, slots=True)
class Candidate:
    """A target as this process sees it; `place` indexes `PLACE_COSTS`."""

    target_id: TargetId
    place: int
    warm_up_ms: int
    in_flight: int = 0
    cold_since: Millis | None = None
    paused_until: Millis = Millis(0)
    sheds_in_turn: int = 0
    unreachable: bool = False

    def learn(self, attempt: Attempt, *, now: Millis) -> None:
        """Take in how an attempt at this target ended."""
        if attempt.outcome is AttemptOutcome.unreachable:
            self.unreachable = True
            return
        if self.unreachable:
            # A target that answers again after a restart has cold caches.
            self.unreachable = False
            self.cold_since = now
        if attempt.outcome is AttemptOutcome.shed:
            self.pause(attempt.retry_after_ms, now=now)
        else:
            self.sheds_in_turn = 0

    def pause(self, asked_ms: float | None, *, now: Millis) -> None:
        """Take nothing for a while after a shed, longer after each."""
        waited = settings.MIN_SHED_PAUSE_MS * 2**self.sheds_in_turn
        pause_ms = max(waited, asked_ms or 0)
        longest = settings.MAX_SHED_PAUSE_MS
        self.paused_until = Millis(now + min(pause_ms, longest))
        self.sheds_in_turn = min(self.sheds_in_turn + 1, MOST_SHEDS_IN_TURN)

    def warmth(self, now: Millis) -> float:
        """Return the share of its load that a cold target may take."""
        if self.cold_since is None:
            return 1
        elapsed = now - self.cold_since
        if elapsed >= self.warm_up_ms:
            self.cold_since = None
            return 1
        return max(settings.MIN_WARM_UP_SHARE, elapsed / self.warm_up_ms)


# Candidates in the same place: own zone, own region or across.
Place = tuple[Candidate, ...]


def draw(candidates: Place, rng: random.Random) -> Iterator[Candidate]:
    """Yield candidates of a place at random, none of them twice."""
    drawn: set[int] = set()
    for _ in range(min(settings.MAX_CHOICE_DRAWS, 2 * len(candidates))):
        number = int(rng.random() * len(candidates))
        if number not in drawn:
            drawn.add(number)
            yield candidates[number]


def place_of(
    declaration: Declaration, zone_id: ZoneId, own_zone_id: ZoneId
) -> int:
    """Return 0 for the own zone, 1 for the own region, 2 across regions."""
    if zone_id == own_zone_id:
        return 0
    region_id = declaration.region_id_of(zone_id)
    if region_id == declaration.region_id_of(own_zone_id):
        return 1
    return 2
