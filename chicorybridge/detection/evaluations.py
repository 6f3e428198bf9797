"""Evaluation of the targets that are assigned to this host.

Each target is evaluated by one host. While a target is ejected, that is
the host that ejected it.
"""

import random

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, TargetId
from chicorybridge.common.systems import Effect, Effects, Send, System
from chicorybridge.detection.announcements import Announcements
from chicorybridge.detection.assignments import Assignments
from chicorybridge.detection.target_evaluations import TargetEvaluation
from chicorybridge.detection.checks import (
    CHECKERS_PER_ROUND,
    CHECK_INTERVAL_MS,
    CheckRequest,
)
from chicorybridge.detection.ejections import Ejections
from chicorybridge.detection.evidence import EvidenceReport
from chicorybridge.detection.notices import Ejection
from chicorybridge.fleet.freshness import Freshness

# Delay until the first trial of a target that was down. It can be short,
# because probes show reliably when such a target is up again.
DOWN_TRIAL_DELAY_MS = 1500.0


class Evaluations(System):
    """Add up evidence and decide on targets; one per control process."""

    def __init__(
        self,
        *,
        host_id: HostId,
        freshness: Freshness,
        announcements: Announcements,
        assignments: Assignments,
        ejections: Ejections,
        rng: random.Random,
    ) -> None:
        """Start without evidence on any target."""
        self.evaluations_by_id: dict[TargetId, TargetEvaluation] = {}
        self._host_id = host_id
        self._freshness = freshness
        self._announcements = announcements
        self._assignments = assignments
        self._ejections = ejections
        self._rng = rng
        # Suspected targets, decided on again in the next tick: the evidence
        # is too little or too recent, or permits are missing.
        self._undecided: set[TargetId] = set()

    def configure(self) -> None:
        """Drop the evaluations of targets that are no longer declared."""
        declared = self._assignments.pools_by_target
        for target_id in self.evaluations_by_id.keys() - declared.keys():
            self.evaluations_by_id.pop(target_id)

    def tick(self, *, now: Millis) -> Effects:
        """Decide again on suspected targets without a decision so far."""
        undecided = sorted(self._undecided & self.evaluations_by_id.keys())
        self._undecided.clear()
        return tuple(
            effect
            for target_id in undecided
            for effect in self._decide(target_id, now=now)
        )

    def receive(
        self, message: object, *, sender: HostId, now: Millis
    ) -> Effects:
        """Add the evidence of a host, which may be this one."""
        if not isinstance(message, EvidenceReport):
            return ()
        if sender != self._host_id:
            self._freshness.record(message.stamp, sender=sender, now=now)
        effects: list[Effect] = []
        for evidence in message.evidence:
            target_id = evidence.tally.target_id
            if target_id not in self._assignments.pools_by_target:
                continue
            self._evaluation(target_id, now=now).add(
                evidence,
                host_id=sender,
                zone_id=message.zone_id,
                now=now,
                thresholds=self._assignments.thresholds_of(target_id),
            )
            effects += self._decide(target_id, now=now)
        return effects

    def _decide(self, target_id: TargetId, *, now: Millis) -> Effects:
        own_ejection = self._announcements.own_by_id.get(target_id)
        if own_ejection is None:
            return self._decide_in_service(target_id, now=now)
        if own_ejection.on_trial:
            return self._decide_on_trial(target_id, now=now)
        if own_ejection.zones:
            return self._decide_in_service(target_id, now=now)
        self.evaluations_by_id[target_id].reset()
        return ()

    def _decide_in_service(
        self, target_id: TargetId, *, now: Millis
    ) -> Effects:
        if not self._assignments.is_assigned_here(target_id):
            return ()
        evaluation = self.evaluations_by_id[target_id]
        thresholds = self._assignments.thresholds_of(target_id)
        live = self._assignments.hosts
        if evaluation.is_gray(thresholds=thresholds, live=live, now=now):
            return self._eject(target_id, now=now)
        if evaluation.needs_check(thresholds=thresholds):
            self._undecided.add(target_id)
            return self._check(target_id, now=now)
        return ()

    def _decide_on_trial(self, target_id: TargetId, *, now: Millis) -> Effects:
        evaluation = self.evaluations_by_id[target_id]
        thresholds = self._assignments.thresholds_of(target_id)
        if evaluation.fails_trial(thresholds=thresholds):
            return self._eject(target_id, now=now)
        if evaluation.passes_trial(thresholds=thresholds):
            evaluation.reset()
            return self._ejections.readmit(target_id, now=now)
        return ()

    def _check(self, target_id: TargetId, *, now: Millis) -> Effects:
        """Request checks of a target from hosts that use it.

        If fewer hosts use it than must agree on a verdict, request them
        from others, too.
        """
        evaluation = self.evaluations_by_id[target_id]
        if now - evaluation.checked_at < CHECK_INTERVAL_MS:
            return ()
        evaluation.checked_at = now
        pool = self._assignments.pools_by_target[target_id]
        self._ejections.request_permits(pool.service_id, pool.slots, now=now)
        checkers = self._checkers(evaluation, target_id)
        message = CheckRequest(target_id=target_id)
        return [Send(to=host_id, message=message) for host_id in checkers]

    def _checkers(
        self, evaluation: TargetEvaluation, target_id: TargetId
    ) -> list[HostId]:
        live = set(self._assignments.hosts)
        users = sorted(live & evaluation.reporters)
        others = sorted(live - evaluation.reporters)
        needed = self._assignments.thresholds_of(target_id).hosts
        missing = max(0, needed - len(users))
        return [
            *self._rng.sample(users, min(CHECKERS_PER_ROUND, len(users))),
            *self._rng.sample(others, min(missing, len(others))),
        ]

    def _eject(self, target_id: TargetId, *, now: Millis) -> Effects:
        evaluation = self.evaluations_by_id[target_id]
        pool = self._assignments.pools_by_target[target_id]
        ejection = Ejection(
            target_id=target_id,
            service_id=pool.service_id,
            slots=pool.slots,
            badness=evaluation.badness,
            zones=evaluation.affected_zones,
        )
        thresholds = self._assignments.thresholds_of(target_id)
        trial_delay_ms = (
            DOWN_TRIAL_DELAY_MS
            if evaluation.is_down
            else thresholds.trial_delay_ms
        )
        effects = self._ejections.eject(
            ejection, trial_delay_ms=trial_delay_ms, now=now
        )
        if target_id in self._announcements.own_by_id:
            evaluation.reset()
            self._undecided.discard(target_id)
        else:
            self._undecided.add(target_id)
        return effects

    def _evaluation(
        self, target_id: TargetId, *, now: Millis
    ) -> TargetEvaluation:
        evaluation = self.evaluations_by_id.get(target_id)
        if evaluation is None:
            pool = self._assignments.pools_by_target[target_id]
            evaluation = TargetEvaluation(warm_up_ms=pool.warm_up_ms, now=now)
            self.evaluations_by_id[target_id] = evaluation
        return evaluation
