"""The case against one target: evidence added up to a verdict.

A sum in nats says how much likelier what was seen is for a gray target
than for a healthy one. Outcomes and latency are added up apart.
"""

import math
from collections.abc import Collection

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, ZoneId
from chicorybridge.detection.evidence import (
    Evidence,
    empty_decaying_tally,
    with_expectation,
    with_worse_expectation,
)
from chicorybridge.detection.latency_evaluations import (
    LatencyEvaluation,
    WarmUp,
)
from chicorybridge.detection.observations import Tally
from chicorybridge.detection.scores import Score, EvidenceKind, weigh_outcomes
from chicorybridge.detection.thresholds import MIN_HOSTS, Thresholds

# Latency needs more evidence: samples of one target are not independent.
LATENCY_EVIDENCE_FACTOR = 1.5
# Evidence from a zone that clears the target there, in nats.
CLEARED_NATS = -3.0
# Bound on a sum, as a factor on the evidence that is needed.
MAX_NATS_FACTOR = 2
# Share of the threshold below which a target on trial is not in doubt,
# and share that suffices against it.
TRIAL_PASS_SHARE = 0.25
TRIAL_FAIL_SHARE = 0.5
# Share of the evidence from which a target is checked with real work.
CHECK_SHARE = 0.2
# Good answers without a failure between them that end a trial.
MIN_TRIAL_SUCCESSES = 12


class TargetEvaluation:
    """All evidence for and against one target."""

    def __init__(self, *, warm_up_ms: float, now: Millis) -> None:
        """Start with a target that may be warming up."""
        self.scores = {kind: Score() for kind in EvidenceKind}
        # Hosts that send work to the target.
        self.reporters: set[HostId] = set()
        self.checked_at = Millis(-math.inf)
        self._nats_by_zone: dict[ZoneId, dict[EvidenceKind, float]] = {}
        self._trial_successes: float = 0
        self._other_targets = empty_decaying_tally()
        self._latency = LatencyEvaluation(now=now)
        self._warm_up = WarmUp(
            duration_ms=warm_up_ms, ends_at=Millis(now + warm_up_ms)
        )

    @property
    def badness(self) -> float:
        """Return the strongest evidence against the target, in nats."""
        return max(score.nats for score in self.scores.values())

    @property
    def is_down(self) -> bool:
        """Tell whether the target is refused connections above all."""
        return max(EvidenceKind, key=self._nats_of) is EvidenceKind.down

    @property
    def affected_zones(self) -> tuple[ZoneId, ...]:
        """Return the zones that see it gray, or none if all may do."""
        kind = max(EvidenceKind, key=self._nats_of)
        affected = [
            zone_id
            for zone_id, nats in self._nats_by_zone.items()
            if nats[kind] > CLEARED_NATS
        ]
        is_everywhere = len(affected) == len(self._nats_by_zone)
        return () if is_everywhere else tuple(sorted(affected))

    def add(
        self,
        evidence: Evidence,
        *,
        host_id: HostId,
        zone_id: ZoneId,
        now: Millis,
        thresholds: Thresholds,
    ) -> None:
        """Add up the evidence of one host."""
        self.reporters.add(host_id)
        if not self.badness:
            self._reset_zones()
        evidence = self._with_pooled_expectation(evidence, now=now)
        nats_by_kind = self._weigh(
            evidence, zone_id=zone_id, now=now, thresholds=thresholds
        )
        zone_nats = self._nats_by_zone.setdefault(
            zone_id, dict.fromkeys(EvidenceKind, 0)
        )
        max_nats = MAX_NATS_FACTOR * thresholds.evidence_nats
        for kind, nats in nats_by_kind.items():
            zone_nats[kind] += nats
            self.scores[kind].add(
                nats, host_id=host_id, now=now, max_nats=max_nats
            )
        self._count_successes(evidence.tally)

    def is_gray(
        self, *, thresholds: Thresholds, live: Collection[HostId], now: Millis
    ) -> bool:
        """Tell whether the evidence suffices; `live` are the live hosts.

        Hosts that use the target must agree, as many as the thresholds
        ask for, and two at least unless there is only one host.
        """
        users = max(MIN_HOSTS, len(self.reporters.intersection(live)))
        wanted = min(len(live), thresholds.hosts, users)
        return any(
            score.nats >= thresholds.evidence_nats * _evidence_factor(kind)
            and now - score.positive_since >= _span_ms(kind, thresholds)
            and len(score.hosts) >= wanted
            for kind, score in self.scores.items()
        )

    def needs_check(self, *, thresholds: Thresholds) -> bool:
        """Tell whether it is worth while to check with real work."""
        return any(
            self._nats_of(kind) >= thresholds.evidence_nats * CHECK_SHARE
            for kind in EvidenceKind
        )

    def fails_trial(self, *, thresholds: Thresholds) -> bool:
        """Tell whether a target on trial is still gray.

        The word of one host needs all the evidence.
        """
        return any(
            score.nats >= thresholds.evidence_nats * _trial_fail_share(score)
            for score in self.scores.values()
        )

    def passes_trial(self, *, thresholds: Thresholds) -> bool:
        """Tell whether a target on trial did enough good work."""
        if self._trial_successes < MIN_TRIAL_SUCCESSES:
            return False
        return self.badness < thresholds.evidence_nats * TRIAL_PASS_SHARE

    def reset(self) -> None:
        """Forget the evidence, as when a trial starts or ends."""
        self._trial_successes = 0
        for score in self.scores.values():
            score.reset()
        self._reset_zones()

    def _reset_zones(self) -> None:
        for zone_id in self._nats_by_zone:
            self._nats_by_zone[zone_id] = dict.fromkeys(EvidenceKind, 0)

    def _nats_of(self, kind: EvidenceKind) -> float:
        return self.scores[kind].nats / _evidence_factor(kind)

    def _with_pooled_expectation(
        self, evidence: Evidence, *, now: Millis
    ) -> Evidence:
        """Add what all hosts see of the other targets to the evidence."""
        self._other_targets.add(evidence.others, now=now)
        pooled = with_expectation(
            evidence.tally, others=self._other_targets.tally
        )
        return with_worse_expectation(evidence, pooled)

    def _weigh(
        self,
        evidence: Evidence,
        *,
        zone_id: ZoneId,
        now: Millis,
        thresholds: Thresholds,
    ) -> dict[EvidenceKind, float]:
        self._warm_up.observe(evidence.tally, now=now)
        cuts = self._warm_up.count_cuts(evidence.tally, now=now)
        nats_by_kind = weigh_outcomes(evidence, cuts=cuts)
        if now >= self._warm_up.ends_at:
            nats_by_kind[EvidenceKind.latency] = self._latency.weigh(
                evidence,
                zone_id=zone_id,
                updates_history=not self.scores[EvidenceKind.latency].nats,
                now=now,
                thresholds=thresholds,
            )
        return nats_by_kind

    def _count_successes(self, tally: Tally) -> None:
        self._trial_successes += tally.answered + tally.large_answered
        if tally.failures:
            self._trial_successes = 0


def _trial_fail_share(score: Score) -> float:
    return TRIAL_FAIL_SHARE if len(score.hosts) > 1 else 1


def _evidence_factor(kind: EvidenceKind) -> float:
    return LATENCY_EVIDENCE_FACTOR if kind is EvidenceKind.latency else 1


def _span_ms(kind: EvidenceKind, thresholds: Thresholds) -> float:
    if kind is EvidenceKind.latency:
        return thresholds.latency_span_ms
    return thresholds.span_ms
