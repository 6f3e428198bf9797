"""Scores: cumulative sums of log likelihood ratios (CUSUM)."""

import dataclasses
import math
from enum import Enum

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId
from chicorybridge.detection.evidence import Evidence

# Share of otherwise successful attempts that fail at a gray target, and at
# one that is down.
GRAY_FAILED_SHARE = 0.2
DOWN_FAILED_SHARE = 0.95
# Evidence in nats that brings any score to 0.
CLEARING_NATS = -1000.0
# Latency shift of the other targets from which shedding is attributed to load
# on the whole service.
BUSY_SHIFT = 0.4
GRAY_SHED_SHARE = 0.5
# Time constant of the exponential decay of evidence.
DECAY_MS = 20_000.0


class EvidenceKind(Enum):
    """Kinds of evidence, each with a score of its own."""

    failed = 'failed'
    # Failed connections; a single answer shows that the target is up.
    down = 'down'
    large = 'large'
    shed = 'shed'
    latency = 'latency'


@dataclasses.dataclass(kw_only=True, slots=True)
class Score:
    """Decaying sum of evidence in nats, never below 0.

    `positive_since` is when it last rose above 0, and `hosts` are those
    that reported evidence against the target since then.
    """

    nats: float = 0
    positive_since: Millis = Millis(0)
    updated_at: Millis = Millis(0)
    hosts: set[HostId] = dataclasses.field(default_factory=set)

    def add(
        self, nats: float, *, host_id: HostId, now: Millis, max_nats: float
    ) -> None:
        """Add evidence of a host; `max_nats` bounds the sum."""
        decayed = self.nats * math.exp((self.updated_at - now) / DECAY_MS)
        self.updated_at = now
        self.nats = min(max(0, decayed + nats), max_nats)
        if self.nats == 0:
            self.hosts.clear()
            return
        if nats > 0:
            if not self.hosts:
                self.positive_since = now
            self.hosts.add(host_id)

    def reset(self) -> None:
        """Discard all evidence."""
        self.nats = 0
        self.hosts.clear()


def weigh_outcomes(
    evidence: Evidence, *, cuts: int
) -> dict[EvidenceKind, float]:
    """Return the evidence of the outcomes of attempts, in nats.

    `cuts` is the number of separate causes of cut connections.
    """
    tally = evidence.tally
    good = tally.answered + tally.large_answered
    normal = evidence.failed_share
    return {
        EvidenceKind.failed: _ratio(
            tally.failed + cuts, tally.answered, normal, GRAY_FAILED_SHARE
        ),
        EvidenceKind.down: _weigh_down(evidence, good),
        EvidenceKind.large: _ratio(
            tally.large_failed,
            tally.large_answered,
            evidence.large_failed_share,
            GRAY_FAILED_SHARE,
        ),
        EvidenceKind.shed: _weigh_shed(evidence, good),
    }


def _weigh_down(evidence: Evidence, good: float) -> float:
    """Weigh failed connections; a target that answers is up."""
    unreachable = evidence.tally.unreachable
    if good and not unreachable:
        return CLEARING_NATS
    return _ratio(unreachable, good, evidence.failed_share, DOWN_FAILED_SHARE)


def _weigh_shed(evidence: Evidence, good: float) -> float:
    """Weigh shed requests, which are legitimate in an overloaded pool."""
    if evidence.shift >= BUSY_SHIFT:
        return 0
    shed = evidence.tally.shed
    return _ratio(shed, good, evidence.shed_share, GRAY_SHED_SHARE)


def _ratio(bad: float, good: float, normal: float, gray: float) -> float:
    """Return the log likelihood ratio of a gray against a healthy target."""
    if not bad and not good:
        return 0
    expected = normal + (1 - normal) * gray
    ratio_bad = math.log(expected / normal)
    ratio_good = math.log((1 - expected) / (1 - normal))
    return bad * ratio_bad + good * ratio_good
