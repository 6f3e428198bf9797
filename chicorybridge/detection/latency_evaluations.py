"""What latencies say for or against one target."""

import dataclasses
import math

from chicorybridge.common.clocks import MILLIS_PER_SECOND, Millis
from chicorybridge.common.identities import ZoneId
from chicorybridge.detection.baselines import clip_residual
from chicorybridge.detection.evidence import Evidence
from chicorybridge.detection.observations import Tally
from chicorybridge.detection.thresholds import Thresholds

# Logarithm of the slowdown that is told from normal.
GRAY_SHIFT = 0.8
# Weight of latencies that counts at once.
MAX_BURST_WEIGHT = 16.0
# Cut connections that lie closer than this have one cause.
CUT_SPACING_MS = 100.0
# Weight of latencies over which a target's own history is averaged, and
# how far it may differ from what its hardware promises.
HISTORY_WEIGHT = 4000.0
MAX_HISTORY_SHIFT = 0.5


@dataclasses.dataclass(kw_only=True, slots=True)
class WarmUp:
    """When a target last restarted, as its connections show."""

    duration_ms: float
    ends_at: Millis
    last_cut_at: Millis = Millis(-math.inf)

    def observe(self, tally: Tally, *, now: Millis) -> None:
        """Start again on any sign of a restart."""
        if tally.cut or tally.unreachable or tally.leaving:
            self.ends_at = Millis(now + self.duration_ms)

    def count_cuts(self, tally: Tally, *, now: Millis) -> int:
        """Return how many causes the connections that were cut have."""
        if not tally.cut or now - self.last_cut_at < CUT_SPACING_MS:
            return 0
        self.last_cut_at = now
        return 1


class LatencyEvaluation:
    """Weigh latencies against the target's own history."""

    def __init__(self, *, now: Millis) -> None:
        """Start with no history."""
        self._history_by_zone: dict[ZoneId, float] = {}
        self._tokens = MAX_BURST_WEIGHT
        self._refilled_at = now

    def weigh(
        self,
        evidence: Evidence,
        *,
        zone_id: ZoneId,
        updates_history: bool,
        now: Millis,
        thresholds: Thresholds,
    ) -> float:
        """Return the evidence in nats; `learns` adds to the history."""
        weight = evidence.tally.latency_weight
        if not weight:
            return 0
        common = max(0, evidence.shift)
        shift = evidence.tally.latency_shift / weight - common
        history = self._history_by_zone.get(zone_id, 0)
        if updates_history:
            share = min(1, weight / HISTORY_WEIGHT)
            history += share * (shift - history)
            history = min(max(history, -MAX_HISTORY_SHIFT), MAX_HISTORY_SHIFT)
            self._history_by_zone[zone_id] = history
        # The busier the pool, the more its targets differ by chance.
        normal = thresholds.normal_shift + common
        excess = clip_residual(shift - history) - normal
        counted = self._take_tokens(
            weight, thresholds.weight_per_second, now=now
        )
        return counted * GRAY_SHIFT * excess

    def _take_tokens(
        self, weight: float, per_second: float, *, now: Millis
    ) -> float:
        """Return the part of `weight` that counts: samples correlate."""
        elapsed_s = (now - self._refilled_at) / MILLIS_PER_SECOND
        self._refilled_at = now
        tokens = min(MAX_BURST_WEIGHT, self._tokens + elapsed_s * per_second)
        counted = min(weight, tokens)
        self._tokens = tokens - counted
        return counted
