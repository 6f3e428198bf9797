"""Targets as load-balancing candidates of one process."""

import dataclasses
import random
from collections.abc import Iterator

from chicorybridge import settings
from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import TargetId, ZoneId
from chicorybridge.configuration.declarations import Declaration

# Cost factors of targets by locality: own zone, own region, other region.
LOCALITY_COSTS = (
    1.0,
    settings.IN_REGION_COST_FACTOR,
    settings.OTHER_REGION_COST_FACTOR,
)
OTHER_REGION = len(LOCALITY_COSTS) - 1


# The pause after a shed request stops doubling at this count.
MAX_CONSECUTIVE_SHEDS = 8


@dataclasses.dataclass(kw_only=True, slots=True)
class Candidate:
    """The state of a target; `locality` indexes `LOCALITY_COSTS`."""

    target_id: TargetId
    locality: int
    warm_up_ms: int
    in_flight: int = 0
    cold_since: Millis | None = None
    paused_until: Millis = Millis(0)
    consecutive_sheds: int = 0
    unreachable: bool = False

    def record(self, attempt: Attempt, *, now: Millis) -> None:
        """Update the state from an attempt that ended."""
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
            self.consecutive_sheds = 0

    def pause(self, requested_ms: float | None, *, now: Millis) -> None:
        """Pause the target after a shed request.

        The pause doubles with each consecutive shed request, is at least
        `requested_ms` and at most `MAX_SHED_PAUSE_MS`.
        """
        backoff_ms = settings.MIN_SHED_PAUSE_MS * 2**self.consecutive_sheds
        pause_ms = max(backoff_ms, requested_ms or 0)
        max_pause_ms = settings.MAX_SHED_PAUSE_MS
        self.paused_until = Millis(now + min(pause_ms, max_pause_ms))
        self.consecutive_sheds = min(
            self.consecutive_sheds + 1, MAX_CONSECUTIVE_SHEDS
        )

    def warm_up_share(self, now: Millis) -> float:
        """Return the share of its normal load that the target may get.

        It is below 1 during warm-up.
        """
        if self.cold_since is None:
            return 1
        elapsed = now - self.cold_since
        if elapsed >= self.warm_up_ms:
            self.cold_since = None
            return 1
        return max(settings.MIN_WARM_UP_SHARE, elapsed / self.warm_up_ms)


# Candidates of one locality.
CandidateGroup = tuple[Candidate, ...]


def draw_candidates(
    candidates: CandidateGroup, rng: random.Random
) -> Iterator[Candidate]:
    """Yield random candidates of a locality, each at most once."""
    drawn: set[int] = set()
    for _ in range(min(settings.MAX_CHOICE_DRAWS, 2 * len(candidates))):
        number = int(rng.random() * len(candidates))
        if number not in drawn:
            drawn.add(number)
            yield candidates[number]


def locality_of(
    declaration: Declaration, zone_id: ZoneId, own_zone_id: ZoneId
) -> int:
    """Return 0 for the own zone, 1 for the own region, 2 for other regions."""
    if zone_id == own_zone_id:
        return 0
    region_id = declaration.region_id_of(zone_id)
    if region_id == declaration.region_id_of(own_zone_id):
        return 1
    return 2
