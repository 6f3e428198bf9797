"""A simulated target with slots, a queue and gray conditions."""

import dataclasses
import heapq
import math
import random
import types
from enum import Enum

from chicorybridge.common.attempts import AttemptOutcome
from chicorybridge.common.identities import ZoneId

# Median service times on new hardware, and the standard deviation of
# their logarithm.
READ_MEDIAN_MS = 40.0
UPLOAD_MEDIAN_MS = 120.0
SPREAD = 0.5
# Share of the attempts that fail at a healthy target.
FAILED_SHARE = 0.001
# Queue wait beyond which a target sheds, and the time to do so.
MAX_QUEUE_WAIT_MS = 1000.0
SHED_MS = 2.0
# Timeout of every attempt.
ATTEMPT_TIMEOUT_MS = 5000.0
# A crashed target refuses connections, then serves slowly until warm.
DOWN_MS = 2000.0
WARM_UP_MS = 8000.0
COLD_FACTOR = 4.0
# Share of requests on connections that no longer answer.
SILENT_SHARE = 0.5
FAST_FLAPPING_PERIOD_MS = 1000.0
SLOW_FLAPPING_PERIOD_MS = 6000.0
ROUTES = 5


class Condition(Enum):
    """How a target behaves; all but `healthy` are gray."""

    healthy = 'healthy'
    fails = 'fails'
    slow3 = 'slow3'
    slow10 = 'slow10'
    slow100 = 'slow100'
    fails_one_route = 'fails_one_route'
    fails_large = 'fails_large'
    cuts = 'cuts'
    hangs = 'hangs'
    flaps_fast = 'flaps_fast'
    flaps_slowly = 'flaps_slowly'
    sheds = 'sheds'
    slow_for_zone = 'slow_for_zone'
    silent_connections = 'silent_connections'


SLOWDOWN_FACTORS = types.MappingProxyType(
    {
        Condition.slow3: 3.0,
        Condition.slow10: 10.0,
        Condition.slow100: 100.0,
    }
)
FLAPPING_PERIODS_MS = types.MappingProxyType(
    {
        Condition.flaps_fast: FAST_FLAPPING_PERIOD_MS,
        Condition.flaps_slowly: SLOW_FLAPPING_PERIOD_MS,
    }
)
# Conditions that fail every request, while active if they flap.
FAILURE_OUTCOMES = types.MappingProxyType(
    {
        Condition.fails: AttemptOutcome.failed,
        Condition.flaps_fast: AttemptOutcome.failed,
        Condition.flaps_slowly: AttemptOutcome.failed,
        Condition.cuts: AttemptOutcome.cut,
        Condition.sheds: AttemptOutcome.shed,
    }
)
# Conditions that fail all or almost all requests from the onset.
HARD_FAILURES = (
    Condition.fails,
    Condition.cuts,
    Condition.hangs,
    Condition.slow100,
    Condition.sheds,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Work:
    """One attempt as a target receives it; `poison` crashes the target."""

    route: int
    upload: bool
    zone_id: ZoneId
    poison: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServeResult:
    """Outcome of an attempt and its time.

    `leaving` is set if the answer announces that the target is leaving.
    """

    outcome: AttemptOutcome
    elapsed_ms: float
    leaving: bool = False


class FakeTarget:
    """Serve attempts first in, first out, with `slots` at a time."""

    def __init__(self, *, slots: int, speed: float, rng: random.Random) -> None:
        """Start idle, healthy and warm."""
        self.condition = Condition.healthy
        self.condition_since: float = 0
        self.slow_zone: ZoneId | None = None
        # Factor on all service times, for slowdowns of a whole pool.
        self.load_factor = 1.0
        self.up_at = -WARM_UP_MS
        self.leaves_at = math.inf
        self._speed = speed
        self._rng = rng
        self._free_at: list[float] = [0 for _ in range(slots)]

    def change_condition(self, condition: Condition, *, now: float) -> None:
        """Change the condition of the target."""
        self.condition = condition
        self.condition_since = now

    def crash(self, *, now: float, down_ms: float = DOWN_MS) -> None:
        """End the process; it restarts cold after `down_ms`."""
        self.up_at = now + down_ms
        self.leaves_at = math.inf
        self._free_at = [self.up_at for _ in self._free_at]

    def is_gray(self, *, now: float) -> bool:
        """Return whether the target is gray or down."""
        return self.condition is not Condition.healthy or now < self.up_at

    def serve(self, work: Work, *, now: float) -> ServeResult:
        """Return the outcome and time of an attempt that arrives now."""
        if now < self.up_at:
            return ServeResult(outcome=AttemptOutcome.unreachable, elapsed_ms=1)
        if work.poison:
            self.crash(now=now)
            return ServeResult(outcome=AttemptOutcome.cut, elapsed_ms=1)
        fault = self._fault(work, now=now)
        if fault is not None:
            return fault
        elapsed_ms = self._queue(self._service_ms(work, now=now), now=now)
        if elapsed_ms is None:
            return ServeResult(outcome=AttemptOutcome.shed, elapsed_ms=SHED_MS)
        if elapsed_ms > ATTEMPT_TIMEOUT_MS:
            return _timed_out()
        outcome = AttemptOutcome.answered
        if self._rng.random() < FAILED_SHARE:
            outcome = AttemptOutcome.failed
        return ServeResult(
            outcome=outcome,
            elapsed_ms=elapsed_ms,
            leaving=now >= self.leaves_at,
        )

    def _is_faulty(self, *, now: float) -> bool:
        period_ms = FLAPPING_PERIODS_MS.get(self.condition)
        if period_ms is None:
            return self.condition is not Condition.healthy
        return (now - self.condition_since) % period_ms < period_ms / 2

    def _fault(self, work: Work, *, now: float) -> ServeResult | None:
        if not self._is_faulty(now=now):
            return None
        match self.condition:
            case Condition.hangs:
                return _timed_out()
            case Condition.silent_connections:
                return _timed_out() if self._is_silent() else None
            case Condition.fails_one_route:
                return self._failure_if(work.route == 0)
            case Condition.fails_large:
                return self._failure_if(work.upload)
        return self._failure_if(self.condition in FAILURE_OUTCOMES)

    def _is_silent(self) -> bool:
        return self._rng.random() < SILENT_SHARE

    def _failure_if(self, fails: bool) -> ServeResult | None:
        if not fails:
            return None
        elapsed_ms = self._rng.lognormvariate(0, SPREAD) * READ_MEDIAN_MS / 2
        outcome = FAILURE_OUTCOMES.get(self.condition, AttemptOutcome.failed)
        return ServeResult(outcome=outcome, elapsed_ms=elapsed_ms)

    def _service_ms(self, work: Work, *, now: float) -> float:
        median = UPLOAD_MEDIAN_MS if work.upload else READ_MEDIAN_MS
        factor = self.load_factor * SLOWDOWN_FACTORS.get(self.condition, 1)
        if self.condition is Condition.slow_for_zone:
            is_slow = work.zone_id == self.slow_zone
            factor *= SLOWDOWN_FACTORS[Condition.slow10] if is_slow else 1
        since_up = now - self.up_at
        if since_up < WARM_UP_MS:
            factor *= 1 + (COLD_FACTOR - 1) * (1 - since_up / WARM_UP_MS)
        time_factor = self._rng.lognormvariate(0, SPREAD)
        return time_factor * median * factor / self._speed

    def _queue(self, service_ms: float, *, now: float) -> float | None:
        starts_at = max(now, self._free_at[0])
        if starts_at - now > MAX_QUEUE_WAIT_MS:
            return None
        heapq.heapreplace(self._free_at, starts_at + service_ms)
        return starts_at + service_ms - now


def _timed_out() -> ServeResult:
    return ServeResult(
        outcome=AttemptOutcome.timed_out, elapsed_ms=ATTEMPT_TIMEOUT_MS
    )
