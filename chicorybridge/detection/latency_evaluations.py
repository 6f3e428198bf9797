"""Evidence of latencies for or against one target."""

import dataclasses
import math

from chicorybridge.common.clocks import MILLIS_PER_SECOND, Millis
from chicorybridge.common.identities import ZoneId
from chicorybridge.detection.baselines import clip_residual
from chicorybridge.detection.evidence import Evidence
from chicorybridge.detection.observations import Tally
from chicorybridge.detection.thresholds import Thresholds

# Slowdown of a gray target, as a difference of logarithms.
GRAY_SHIFT = 0.8
# Capacity of the token bucket that limits how much latency weight counts:
# latency samples that lie close together are correlated.
MAX_BURST_WEIGHT = 16.0
# Cut connections within this time are taken to have one cause.
CUT_SPACING_MS = 100.0
# Latency weight over which the history of a target is averaged, and the
# bound on how far it may differ from the expectation for its hardware.
HISTORY_WEIGHT = 4000.0
MAX_HISTORY_SHIFT = 0.5


@dataclasses.dataclass(kw_only=True, slots=True)
class WarmUp:
    """Warm-up of a target after a restart.

    A restart is inferred from cut or failed connections and from answers
    that announce it.
    """

    duration_ms: float
    ends_at: Millis
    last_cut_at: Millis = Millis(-math.inf)

    def observe(self, tally: Tally, *, now: Millis) -> None:
        """Restart the warm-up on any sign that the target restarted."""
        if tally.cut or tally.unreachable or tally.leaving:
            self.ends_at = Millis(now + self.duration_ms)

    def count_cuts(self, tally: Tally, *, now: Millis) -> int:
        """Return 1 if connections were cut for a new cause, else 0."""
        if not tally.cut or now - self.last_cut_at < CUT_SPACING_MS:
            return 0
        self.last_cut_at = now
        return 1


class LatencyEvaluation:
    """Compare the latencies of a target with its own history.

    The history is an average residual for each zone of reporting hosts.
    """

    def __init__(self, *, now: Millis) -> None:
        """Start without history."""
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
        """Return the evidence of latencies against the target, in nats.

        `updates_history` adds the latencies to the history.
        """
        weight = evidence.tally.latency_weight
        if not weight:
            return 0
        others_shift = max(0, evidence.shift)
        shift = evidence.tally.latency_shift / weight - others_shift
        history = self._history_by_zone.get(zone_id, 0)
        if updates_history:
            share = min(1, weight / HISTORY_WEIGHT)
            history += share * (shift - history)
            history = min(max(history, -MAX_HISTORY_SHIFT), MAX_HISTORY_SHIFT)
            self._history_by_zone[zone_id] = history
        # The busier a pool, the more its targets differ by chance, so the
        # normal shift grows with that of the other targets.
        normal = thresholds.normal_shift + others_shift
        excess = clip_residual(shift - history) - normal
        counted = self._take_tokens(
            weight, thresholds.weight_per_second, now=now
        )
        return counted * GRAY_SHIFT * excess

    def _take_tokens(
        self, weight: float, per_second: float, *, now: Millis
    ) -> float:
        """Return the part of `weight` that the token bucket admits."""
        elapsed_s = (now - self._refilled_at) / MILLIS_PER_SECOND
        self._refilled_at = now
        tokens = min(MAX_BURST_WEIGHT, self._tokens + elapsed_s * per_second)
        counted = min(weight, tokens)
        self._tokens = tokens - counted
        return counted
