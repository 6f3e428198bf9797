"""How a simulated entry picks a target: ours and the usual ones."""

import random
from collections import Counter, deque
from enum import Enum

from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import TargetId
from chicorybridge.routing.weights import FAILED_OUTCOMES, Weights
from chicorybridge.tools.models.mixed_declarations import SERVICE_ID

# A plain ejector: failures in a row, and how long a target stays out.
FAILURES_IN_ROW = 5
OUT_MS = 30_000.0
# Share of the targets that the usual ejectors may take.
MOST_OUT = 0.3
# Pool-median outliers: latency against the median, over a window.
OUTLIER_FACTOR = 2.0
OUTLIER_FAILURES = 0.2
WINDOW_MS = 10_000.0
LEAST_SAMPLES = 5
CHECK_MS = 1000.0


class PolicyName(Enum):
    """Name the policies that are compared."""

    chicorybridge = 'chicorybridge'
    round_robin = 'round-robin'
    least_in_flight = 'least-in-flight'
    consecutive_failures = 'consecutive-failures'
    pool_median = 'pool-median'


class Policy:
    """Round robin without ejection; the base of the others."""

    def __init__(
        self, *, capacities: dict[TargetId, float], rng: random.Random
    ) -> None:
        """Pick among the targets of `capacities`."""
        self.capacities = capacities
        self.targets = tuple(capacities)
        self.rng = rng
        # Checks go to targets of other regions, too.
        self.in_flight: Counter[TargetId] = Counter()
        self._next = rng.randrange(len(self.targets))

    def pick(self, *, now: float) -> TargetId:
        """Return the target of the next attempt."""
        usable = self.usable(now=now)
        self._next += 1
        return usable[self._next % len(usable)]

    def usable(self, *, now: float) -> tuple[TargetId, ...]:
        """Return the targets that are not out."""
        out = self.ejected(now=now)
        return tuple(each for each in self.targets if each not in out)

    def ejected(self, *, now: float) -> set[TargetId]:
        """Return the targets that are out."""
        return set()

    def finish(self, attempt: Attempt, *, now: float) -> None:
        """Learn from a finished attempt."""


class LeastInFlight(Policy):
    """The less busy of two targets drawn at random."""

    def pick(self, *, now: float) -> TargetId:
        """Return the target of the next attempt."""
        pair = self.rng.sample(self.usable(now=now), 2)
        return min(pair, key=self.in_flight.__getitem__)


class LocalEjector(LeastInFlight):
    """Take targets out for a fixed time, up to a share of all."""

    def __init__(
        self, *, capacities: dict[TargetId, float], rng: random.Random
    ) -> None:
        """Start with all targets in use."""
        super().__init__(capacities=capacities, rng=rng)
        self._out_until: dict[TargetId, float] = {}

    def ejected(self, *, now: float) -> set[TargetId]:
        """Return the targets that are out."""
        return {
            target_id
            for target_id, until in self._out_until.items()
            if until > now
        }

    def eject(self, target_id: TargetId, *, now: float) -> None:
        """Take a target out if not too many are."""
        if len(self.ejected(now=now)) + 1 <= MOST_OUT * len(self.targets):
            self._out_until[target_id] = now + OUT_MS


class ConsecutiveFailures(LocalEjector):
    """Take a target out after some failures in a row."""

    def __init__(
        self, *, capacities: dict[TargetId, float], rng: random.Random
    ) -> None:
        """Start with no failures."""
        super().__init__(capacities=capacities, rng=rng)
        self._in_row = dict.fromkeys(self.targets, 0)

    def finish(self, attempt: Attempt, *, now: float) -> None:
        """Count failures in a row."""
        target_id = attempt.target_id
        failed = attempt.outcome in FAILED_OUTCOMES
        self._in_row[target_id] = self._in_row[target_id] + 1 if failed else 0
        if self._in_row[target_id] >= FAILURES_IN_ROW:
            self._in_row[target_id] = 0
            self.eject(target_id, now=now)


class PoolMedian(LocalEjector):
    """Take a target out that is far from the median of the pool."""

    def __init__(
        self, *, capacities: dict[TargetId, float], rng: random.Random
    ) -> None:
        """Start with an empty window."""
        super().__init__(capacities=capacities, rng=rng)
        self._samples: deque[tuple[float, Attempt]] = deque()
        self._check_at: float = 0

    def finish(self, attempt: Attempt, *, now: float) -> None:
        """Keep the attempt in the window; compare once in a while."""
        self._samples.append((now, attempt))
        if now < self._check_at:
            return
        self._check_at = now + CHECK_MS
        while self._samples[0][0] < now - WINDOW_MS:
            self._samples.popleft()
        self._compare(now=now)

    def _compare(self, *, now: float) -> None:
        attempts: dict[TargetId, list[Attempt]] = {}
        for _, attempt in self._samples:
            attempts.setdefault(attempt.target_id, []).append(attempt)
        means = {
            target_id: sum(each.elapsed_ms for each in own) / len(own)
            for target_id, own in attempts.items()
            if len(own) >= LEAST_SAMPLES
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
            if mean > OUTLIER_FACTOR * median or share > OUTLIER_FAILURES:
                self.eject(target_id, now=now)


class Weighted(Policy):
    """Draw by the weights of the entry process, capacity and load."""

    def __init__(
        self,
        *,
        capacities: dict[TargetId, float],
        rng: random.Random,
        weights: Weights,
    ) -> None:
        """Draw by `weights`."""
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
