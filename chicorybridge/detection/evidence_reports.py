"""Reports of what the entries of this host saw of the targets.

They go to the evaluating host of each target: failures and slow answers at
once, everything else at intervals.
"""

from collections.abc import Iterable

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, TargetId, ZoneId
from chicorybridge.common.systems import Effect, Effects, Send, System
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.detection.announcements import Announcements
from chicorybridge.detection.assignments import Assignments
from chicorybridge.detection.evidence import (
    ServiceTallies,
    Evidence,
    EvidenceReport,
)
from chicorybridge.detection.observations import Observations, Tally
from chicorybridge.fleet.freshness import Freshness

# Interval of reports that are not urgent.
REPORT_INTERVAL_MS = 500.0
# Mean latency residual from which a report is sent at once.
URGENT_SHIFT = 0.5


class EvidenceReports(System):
    """Collect observations of entries and report them as evidence."""

    def __init__(
        self,
        *,
        zone_id: ZoneId,
        freshness: Freshness,
        announcements: Announcements,
        assignments: Assignments,
    ) -> None:
        """Start without observations; the host is in `zone_id`."""
        self._zone_id = zone_id
        self._freshness = freshness
        self._announcements = announcements
        self._assignments = assignments
        self._service_tallies = ServiceTallies()
        self._tallies_by_id: dict[TargetId, Tally] = {}
        self._next_report_at = Millis(0)

    def configure(self, declaration: Declaration) -> None:
        """Set the targets of a configuration; drop counts of others."""
        self._service_tallies.configure(declaration)
        for target_id in self._tallies_by_id.keys() - declaration.targets_by_id:
            self._tallies_by_id.pop(target_id)

    def tick(self, *, now: Millis) -> Effects:
        """Report all collected counts when the interval has passed."""
        if now < self._next_report_at:
            return ()
        self._next_report_at = Millis(now + REPORT_INTERVAL_MS)
        return self._report(tuple(self._tallies_by_id), now=now)

    def receive(
        self, message: object, *, sender: HostId, now: Millis
    ) -> Effects:
        """Add observations; report at once if they are urgent."""
        if not isinstance(message, Observations):
            return ()
        urgent = []
        for tally in message.tallies:
            target_id = tally.target_id
            if not self._service_tallies.is_declared(target_id):
                continue
            self._service_tallies.add(tally, now=now)
            gathered = self._tallies_by_id.setdefault(
                target_id, Tally(target_id=target_id)
            )
            gathered.add(tally)
            if _is_urgent(gathered):
                urgent.append(target_id)
        return self._report(urgent, now=now)

    def _report(
        self, target_ids: Iterable[TargetId], *, now: Millis
    ) -> list[Effect]:
        evidence_by_evaluator: dict[HostId, list[Evidence]] = {}
        for target_id in target_ids:
            tally = self._tallies_by_id.pop(target_id)
            evaluator = self._announcements.ejector_of(target_id, now=now)
            evaluator = (
                evaluator or self._assignments.evaluators_by_id[target_id]
            )
            evidence = self._service_tallies.compare(tally, now=now)
            evidence_by_evaluator.setdefault(evaluator, []).append(evidence)
        return [
            Send(
                to=evaluator,
                message=EvidenceReport(
                    stamp=self._freshness.stamp(to=evaluator, now=now),
                    zone_id=self._zone_id,
                    evidence=tuple(evidence),
                ),
            )
            for evaluator, evidence in evidence_by_evaluator.items()
        ]


def _is_urgent(tally: Tally) -> bool:
    if tally.failures:
        return True
    return tally.latency_shift > URGENT_SHIFT * tally.latency_weight
