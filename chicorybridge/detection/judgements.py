"""From evidence to verdict: one judge for each target.

A target that is out is judged by the host that ejected it.
"""

import random

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, TargetId
from chicorybridge.common.systems import Effect, Effects, Send, System
from chicorybridge.detection.announcements import Announcements
from chicorybridge.detection.assignments import Assignments
from chicorybridge.detection.cases import Case
from chicorybridge.detection.checks import HOSTS_ASKED, ROUND_MS, CheckRequest
from chicorybridge.detection.ejections import Ejections
from chicorybridge.detection.evidence import EvidenceReport
from chicorybridge.detection.notices import Ejection
from chicorybridge.fleet.freshness import Freshness

# Rest of a target that was down: probes tell well when it is up again.
DOWN_REST_MS = 1500.0


class Judgements(System):
    """Add up evidence and decide; one per control process."""

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
        """Start without any case."""
        self.cases_by_id: dict[TargetId, Case] = {}
        self._host_id = host_id
        self._freshness = freshness
        self._announcements = announcements
        self._assignments = assignments
        self._ejections = ejections
        self._rng = rng
        # Targets in doubt, which wait for evidence, time or permits.
        self._waiting: set[TargetId] = set()

    def configure(self) -> None:
        """Drop the cases of targets that are not declared any more."""
        declared = self._assignments.pools_by_target
        for target_id in self.cases_by_id.keys() - declared.keys():
            self.cases_by_id.pop(target_id)

    def tick(self, *, now: Millis) -> Effects:
        """Decide again on targets in doubt."""
        waiting = sorted(self._waiting & self.cases_by_id.keys())
        self._waiting.clear()
        return tuple(
            effect
            for target_id in waiting
            for effect in self._decide(target_id, now=now)
        )

    def receive(
        self, message: object, *, sender: HostId, now: Millis
    ) -> Effects:
        """Take in the evidence of a host, this one included."""
        if not isinstance(message, EvidenceReport):
            return ()
        if sender != self._host_id:
            self._freshness.record(message.stamp, sender=sender, now=now)
        effects: list[Effect] = []
        for evidence in message.evidence:
            target_id = evidence.tally.target_id
            if target_id not in self._assignments.pools_by_target:
                continue
            self._case(target_id, now=now).add(
                evidence,
                host_id=sender,
                zone_id=message.zone_id,
                now=now,
                thresholds=self._assignments.thresholds_of(target_id),
            )
            effects += self._decide(target_id, now=now)
        return effects

    def _decide(self, target_id: TargetId, *, now: Millis) -> Effects:
        known = self._announcements.own.get(target_id)
        if known is None:
            return self._decide_in_service(target_id, now=now)
        if known.on_trial:
            return self._decide_on_trial(target_id, now=now)
        if known.zones:
            return self._decide_in_service(target_id, now=now)
        self.cases_by_id[target_id].reset()
        return ()

    def _decide_in_service(
        self, target_id: TargetId, *, now: Millis
    ) -> Effects:
        if not self._assignments.is_ours(target_id):
            return ()
        case = self.cases_by_id[target_id]
        thresholds = self._assignments.thresholds_of(target_id)
        live = self._assignments.hosts
        if case.is_gray(thresholds=thresholds, live=live, now=now):
            return self._eject(target_id, now=now)
        if case.is_doubted(thresholds=thresholds):
            self._waiting.add(target_id)
            return self._check(target_id, now=now)
        return ()

    def _decide_on_trial(self, target_id: TargetId, *, now: Millis) -> Effects:
        case = self.cases_by_id[target_id]
        thresholds = self._assignments.thresholds_of(target_id)
        if case.fails_trial(thresholds=thresholds):
            return self._eject(target_id, now=now)
        if case.passes_trial(thresholds=thresholds):
            case.reset()
            return self._ejections.readmit(target_id, now=now)
        return ()

    def _check(self, target_id: TargetId, *, now: Millis) -> Effects:
        """Ask hosts that use a target, and others if too few do, to check."""
        case = self.cases_by_id[target_id]
        if now - case.checked_at < ROUND_MS:
            return ()
        case.checked_at = now
        pool = self._assignments.pools_by_target[target_id]
        self._ejections.prepare(pool.service_id, pool.slots, now=now)
        asked = self._checkers(case, target_id)
        message = CheckRequest(target_id=target_id)
        return [Send(to=host_id, message=message) for host_id in asked]

    def _checkers(self, case: Case, target_id: TargetId) -> list[HostId]:
        live = set(self._assignments.hosts)
        users = sorted(live & case.reporters)
        others = sorted(live - case.reporters)
        wanted = self._assignments.thresholds_of(target_id).hosts
        missing = max(0, wanted - len(users))
        return [
            *self._rng.sample(users, min(HOSTS_ASKED, len(users))),
            *self._rng.sample(others, min(missing, len(others))),
        ]

    def _eject(self, target_id: TargetId, *, now: Millis) -> Effects:
        case = self.cases_by_id[target_id]
        pool = self._assignments.pools_by_target[target_id]
        ejection = Ejection(
            target_id=target_id,
            service_id=pool.service_id,
            slots=pool.slots,
            badness=case.badness,
            zones=case.zones,
        )
        thresholds = self._assignments.thresholds_of(target_id)
        rest_ms = DOWN_REST_MS if case.is_down else thresholds.rest_ms
        effects = self._ejections.eject(ejection, rest_ms=rest_ms, now=now)
        if target_id in self._announcements.own:
            case.reset()
            self._waiting.discard(target_id)
        else:
            self._waiting.add(target_id)
        return effects

    def _case(self, target_id: TargetId, *, now: Millis) -> Case:
        case = self.cases_by_id.get(target_id)
        if case is None:
            pool = self._assignments.pools_by_target[target_id]
            case = Case(warm_up_ms=pool.warm_up_ms, now=now)
            self.cases_by_id[target_id] = case
        return case
