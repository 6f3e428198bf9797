"""Policies by which a simulated host selects a target.

The policy of the project, and common ones to compare it with.
"""

import random
from collections import Counter, deque
from enum import Enum

from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import TargetId
from chicorybridge.routing.weights import FAILED_OUTCOMES, Weights
from chicorybridge.tools.models.mixed_declarations import SERVICE_ID

# Consecutive failures that lead to an ejection, and its duration.
CONSECUTIVE_FAILURE_LIMIT = 5
EJECTION_MS = 30_000.0
# Share of the targets that the common ejectors may have ejected.
MAX_EJECTED_SHARE = 0.3
# Outliers of a pool: mean latency against the median over a window.
OUTLIER_LATENCY_FACTOR = 2.0
OUTLIER_FAILED_SHARE = 0.2
WINDOW_MS = 10_000.0
MIN_SAMPLES = 5
CHECK_INTERVAL_MS = 1000.0


class PolicyName(Enum):
    """Names of the policies that are compared."""

    chicorybridge = 'chicorybridge'
    round_robin = 'round-robin'
    least_in_flight = 'least-in-flight'
    consecutive_failures = 'consecutive-failures'
    pool_median = 'pool-median'


class Policy:
    """Round robin without ejection; base class of the other policies."""

    def __init__(
        self, *, capacities: dict[TargetId, float], rng: random.Random
    ) -> None:
        """Select among the targets in `capacities`."""
        self.capacities = capacities
        self.targets = tuple(capacities)
        self.rng = rng
        # A counter, as checks also go to targets of other regions.
        self.in_flight: Counter[TargetId] = Counter()
        self._next_index = rng.randrange(len(self.targets))

    def pick(self, *, now: float) -> TargetId:
        """Return the target of the next attempt."""
        usable = self.usable(now=now)
        self._next_index += 1
        return usable[self._next_index % len(usable)]

    def usable(self, *, now: float) -> tuple[TargetId, ...]:
        """Return the targets that are not ejected."""
        ejected = self.ejected(now=now)
        return tuple(each for each in self.targets if each not in ejected)

    def ejected(self, *, now: float) -> set[TargetId]:
        """Return the targets that are ejected."""
        return set()

    def finish(self, attempt: Attempt, *, now: float) -> None:
        """Record a finished attempt."""


class LeastInFlight(Policy):
    """Select the less busy of two random targets."""

    def pick(self, *, now: float) -> TargetId:
        """Return the target of the next attempt."""
        pair = self.rng.sample(self.usable(now=now), 2)
        return min(pair, key=self.in_flight.__getitem__)


class LocalEjector(LeastInFlight):
    """Base class: eject targets for a fixed time, up to a share of all."""

    def __init__(
        self, *, capacities: dict[TargetId, float], rng: random.Random
    ) -> None:
        """Start without ejected targets."""
        super().__init__(capacities=capacities, rng=rng)
        self._ejected_until: dict[TargetId, float] = {}

    def ejected(self, *, now: float) -> set[TargetId]:
        """Return the targets that are ejected."""
        return {
            target_id
            for target_id, until in self._ejected_until.items()
            if until > now
        }

    def eject(self, target_id: TargetId, *, now: float) -> None:
        """Eject a target unless too many are ejected."""
        if len(self.ejected(now=now)) + 1 <= MAX_EJECTED_SHARE * len(
            self.targets
        ):
            self._ejected_until[target_id] = now + EJECTION_MS


class ConsecutiveFailures(LocalEjector):
    """Eject a target after consecutive failures."""

    def __init__(
        self, *, capacities: dict[TargetId, float], rng: random.Random
    ) -> None:
        """Start without failures."""
        super().__init__(capacities=capacities, rng=rng)
        self._consecutive_failures = dict.fromkeys(self.targets, 0)

    def finish(self, attempt: Attempt, *, now: float) -> None:
        """Count consecutive failures; eject the target at the limit."""
        target_id = attempt.target_id
        failed = attempt.outcome in FAILED_OUTCOMES
        self._consecutive_failures[target_id] = (
            self._consecutive_failures[target_id] + 1 if failed else 0
        )
        if self._consecutive_failures[target_id] >= CONSECUTIVE_FAILURE_LIMIT:
            self._consecutive_failures[target_id] = 0
            self.eject(target_id, now=now)


class PoolMedian(LocalEjector):
    """Eject targets far above the median latency of the pool.

    A high share of failures ejects a target, too.
    """

    def __init__(
        self, *, capacities: dict[TargetId, float], rng: random.Random
    ) -> None:
        """Start without attempts."""
        super().__init__(capacities=capacities, rng=rng)
        self._samples: deque[tuple[float, Attempt]] = deque()
        self._next_check_at: float = 0

    def finish(self, attempt: Attempt, *, now: float) -> None:
        """Record the attempt; look for outliers at intervals."""
        self._samples.append((now, attempt))
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_MS
        while self._samples[0][0] < now - WINDOW_MS:
            self._samples.popleft()
        self._eject_outliers(now=now)

    def _eject_outliers(self, *, now: float) -> None:
        attempts: dict[TargetId, list[Attempt]] = {}
        for _, attempt in self._samples:
            attempts.setdefault(attempt.target_id, []).append(attempt)
        means = {
            target_id: sum(each.elapsed_ms for each in own_attempts)
            / len(own_attempts)
            for target_id, own_attempts in attempts.items()
            if len(own_attempts) >= MIN_SAMPLES
        }
        if not means:
            return
        median = sorted(means.values())[len(means) // 2]
        for target_id, mean in means.items():
            failed = sum(
                each.outcome is not AttemptOutcome.answered
                for each in attempts[target_id]
            )
            share = failed / len(attempts[target_id])
            if (
                mean > OUTLIER_LATENCY_FACTOR * median
                or share > OUTLIER_FAILED_SHARE
            ):
                self.eject(target_id, now=now)


class Weighted(Policy):
    """Draw targets by weight, capacity and load.

    The weights are those of the entry process.
    """

    def __init__(
        self,
        *,
        capacities: dict[TargetId, float],
        rng: random.Random,
        weights: Weights,
    ) -> None:
        """Start with the `weights` that detection keeps up to date."""
        super().__init__(capacities=capacities, rng=rng)
        self._weights = weights

    def pick(self, *, now: float) -> TargetId:
        """Return the target of the next attempt."""
        check = self._weights.take_check(SERVICE_ID, now=Millis(now))
        if check is not None:
            return check
        weight_of = self._weights.weight_of
        shares = [
            weight_of(target_id) * capacity / (1 + self.in_flight[target_id])
            for target_id, capacity in self.capacities.items()
        ]
        return self.rng.choices(self.targets, shares)[0]

    def ejected(self, *, now: float) -> set[TargetId]:
        """Return the targets that are ejected or on trial."""
        return self._weights.limited
