"""Evaluation of one target: accumulates evidence until a verdict.

A score in nats is the log likelihood ratio of the observations for a gray
target against a healthy one. Each kind of evidence has its own score.
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

# Factor on the evidence that latency needs, because latency samples of one
# target are not independent.
LATENCY_EVIDENCE_FACTOR = 1.5
# A zone counts as not affected by a target if its evidence of the strongest
# kind sums to this or less, in nats.
MAX_UNAFFECTED_NATS = -3.0
# Upper bound of a score, as a multiple of the evidence needed.
MAX_NATS_FACTOR = 2
# Shares of the evidence threshold for a target on trial: it passes only
# below the first, and fails from the second.
TRIAL_PASS_SHARE = 0.25
TRIAL_FAIL_SHARE = 0.5
# Share of the evidence threshold from which a target gets check requests.
CHECK_SHARE = 0.2
# Consecutive good answers that a target needs to pass its trial.
MIN_TRIAL_SUCCESSES = 12


class TargetEvaluation:
    """Evidence for and against one target."""

    def __init__(self, *, warm_up_ms: float, now: Millis) -> None:
        """Start without evidence; the target may still be warming up."""
        self.scores = {kind: Score() for kind in EvidenceKind}
        # Hosts that have reported evidence: those that use the target.
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
        """Return the highest score against the target, in nats."""
        return max(score.nats for score in self.scores.values())

    @property
    def is_down(self) -> bool:
        """Return whether failed connections are the strongest evidence."""
        return max(EvidenceKind, key=self._nats_of) is EvidenceKind.down

    @property
    def affected_zones(self) -> tuple[ZoneId, ...]:
        """Return the zones with evidence above `MAX_UNAFFECTED_NATS`.

        This is the evidence against the target, of its strongest kind. Empty
        if every zone that reported is above it.
        """
        kind = max(EvidenceKind, key=self._nats_of)
        affected = [
            zone_id
            for zone_id, nats in self._nats_by_zone.items()
            if nats[kind] > MAX_UNAFFECTED_NATS
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
        """Add the evidence of one host to the scores."""
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
        """Return whether the evidence suffices for a verdict of gray.

        `live` are the live hosts. The number of hosts that must agree is
        that of the thresholds, but no more than use the target; it is two
        at least, unless there is only one live host.
        """
        users = max(MIN_HOSTS, len(self.reporters.intersection(live)))
        needed = min(len(live), thresholds.hosts, users)
        return any(
            score.nats >= thresholds.evidence_nats * _evidence_factor(kind)
            and now - score.positive_since >= _span_ms(kind, thresholds)
            and len(score.hosts) >= needed
            for kind, score in self.scores.items()
        )

    def needs_check(self, *, thresholds: Thresholds) -> bool:
        """Return whether the target is suspected enough for check requests."""
        return any(
            self._nats_of(kind) >= thresholds.evidence_nats * CHECK_SHARE
            for kind in EvidenceKind
        )

    def fails_trial(self, *, thresholds: Thresholds) -> bool:
        """Return whether a target on trial is still gray.

        Evidence from a single host must reach the full threshold.
        """
        return any(
            score.nats >= thresholds.evidence_nats * _trial_fail_share(score)
            for score in self.scores.values()
        )

    def passes_trial(self, *, thresholds: Thresholds) -> bool:
        """Return whether a target on trial gave enough good answers."""
        if self._trial_successes < MIN_TRIAL_SUCCESSES:
            return False
        return self.badness < thresholds.evidence_nats * TRIAL_PASS_SHARE

    def reset(self) -> None:
        """Discard the evidence, such as at the start or end of a trial."""
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
        """Raise the expectation to what all hosts see of other targets."""
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
