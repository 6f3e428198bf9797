"""From evidence to verdict: one judge for each target.

Every host sends its evidence to the judge, which rendezvous hashing picks
among the live hosts. Bad news goes at once, good news once a second. A
target that is out is judged by the host that ejected it.
"""

from collections.abc import Iterable

import xxhash

from chicorybridge.announcements import Announcements
from chicorybridge.cases import Case
from chicorybridge.clocks import Millis
from chicorybridge.declarations import Declaration, Pool, Service
from chicorybridge.ejections import Ejections
from chicorybridge.evidence import CommonView, Evidence, EvidenceReport
from chicorybridge.freshness import Freshness
from chicorybridge.identities import HostId, ServiceId, TargetId, ZoneId
from chicorybridge.notices import Ejection
from chicorybridge.observations import Observations, Tally
from chicorybridge.systems import Effect, Effects, Send, System
from chicorybridge.thresholds import Thresholds, thresholds_of

# Time between two reports of good news.
REPORT_MS = 1000.0
# Mean residual from which a report goes at once.
URGENT_SHIFT = 0.5


def judge_of(target_id: TargetId, host_ids: Iterable[HostId]) -> HostId:
    """Return the host that judges a target, by rendezvous hashing."""
    return max(
        host_ids,
        key=lambda host_id: xxhash.xxh3_64_intdigest(
            f'{host_id} {target_id}'.encode()
        ),
    )


class Judgements(System):
    """Report evidence, add it up and decide; one per control process."""

    def __init__(
        self,
        *,
        host_id: HostId,
        zone_id: ZoneId,
        freshness: Freshness,
        announcements: Announcements,
        ejections: Ejections,
    ) -> None:
        """Judge nothing until configured."""
        self.cases_by_id: dict[TargetId, Case] = {}
        self._host_id = host_id
        self._zone_id = zone_id
        self._freshness = freshness
        self._announcements = announcements
        self._ejections = ejections
        self._view = CommonView()
        self._pools_by_target: dict[TargetId, Pool] = {}
        self._services_by_id: dict[ServiceId, Service] = {}
        self._tallies_by_id: dict[TargetId, Tally] = {}
        self._hosts: tuple[HostId, ...] = (host_id,)
        self._judges_by_id: dict[TargetId, HostId] = {}
        self._report_at = Millis(0)

    def configure(self, declaration: Declaration) -> None:
        """Take in the targets of a configuration."""
        self._view.configure(declaration)
        self._services_by_id = declaration.services_by_id
        self._pools_by_target = {
            target_id: declaration.pool_of(target)
            for target_id, target in declaration.targets_by_id.items()
        }
        for target_id in self.cases_by_id.keys() - declaration.targets_by_id:
            self.cases_by_id.pop(target_id)
        for target_id in self._tallies_by_id.keys() - declaration.targets_by_id:
            self._tallies_by_id.pop(target_id)
        self._assign()

    def update_hosts(self, host_ids: Iterable[HostId]) -> None:
        """Take in the live hosts; this host is always one of them."""
        self._hosts = tuple(sorted({self._host_id, *host_ids}))
        self._assign()

    def judges(self, target_id: TargetId) -> bool:
        """Tell whether this host judges a target that is not out."""
        return self._judges_by_id.get(target_id) == self._host_id

    def tick(self, *, now: Millis) -> Effects:
        """Report good news once a second."""
        if now < self._report_at:
            return ()
        self._report_at = Millis(now + REPORT_MS)
        return self._report(tuple(self._tallies_by_id), now=now)

    def receive(
        self, message: object, *, sender: HostId, now: Millis
    ) -> Effects:
        """Take in observations of entries and evidence of hosts."""
        match message:
            case Observations():
                return self._observe(message, now=now)
            case EvidenceReport():
                return self._add_up(message, sender=sender, now=now)
        return ()

    def _assign(self) -> None:
        """Find the judges anew; hold permits in advance for our targets."""
        reserve = dict.fromkeys(self._services_by_id, 0)
        for target_id, pool in self._pools_by_target.items():
            judge = judge_of(target_id, self._hosts)
            self._judges_by_id[target_id] = judge
            if judge == self._host_id:
                slots = max(pool.slots, reserve[pool.service_id])
                reserve[pool.service_id] = slots
        self._ejections.reserve_by_service = reserve

    def _observe(self, message: Observations, *, now: Millis) -> Effects:
        urgent = []
        for tally in message.tallies:
            target_id = tally.target_id
            if not self._view.knows(target_id):
                continue
            self._view.add(tally, now=now)
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
        evidence_by_judge: dict[HostId, list[Evidence]] = {}
        for target_id in target_ids:
            tally = self._tallies_by_id.pop(target_id)
            judge = self._announcements.ejector_of(target_id, now=now)
            judge = judge or self._judges_by_id[target_id]
            evidence = self._view.judge(tally, now=now)
            evidence_by_judge.setdefault(judge, []).append(evidence)
        return [
            Send(
                to=judge,
                message=EvidenceReport(
                    stamp=self._freshness.stamp(to=judge, now=now),
                    zone_id=self._zone_id,
                    evidence=tuple(evidence),
                ),
            )
            for judge, evidence in evidence_by_judge.items()
        ]

    def _add_up(
        self, report: EvidenceReport, *, sender: HostId, now: Millis
    ) -> Effects:
        if sender != self._host_id:
            self._freshness.take(report.stamp, sender=sender, now=now)
        effects: list[Effect] = []
        for evidence in report.evidence:
            target_id = evidence.tally.target_id
            if not self._view.knows(target_id):
                continue
            self._case(target_id, now=now).add(
                evidence,
                host_id=sender,
                zone_id=report.zone_id,
                now=now,
                thresholds=self._thresholds(target_id),
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
        if self._judges_by_id[target_id] != self._host_id:
            return ()
        case = self.cases_by_id[target_id]
        thresholds = self._thresholds(target_id)
        if case.is_gray(thresholds=thresholds, hosts=len(self._hosts)):
            return self._eject(target_id, now=now)
        return ()

    def _decide_on_trial(self, target_id: TargetId, *, now: Millis) -> Effects:
        case = self.cases_by_id[target_id]
        thresholds = self._thresholds(target_id)
        if case.fails_trial(thresholds=thresholds):
            return self._eject(target_id, now=now)
        if case.passes_trial(thresholds=thresholds):
            case.reset()
            return self._ejections.readmit(target_id, now=now)
        return ()

    def _eject(self, target_id: TargetId, *, now: Millis) -> Effects:
        case = self.cases_by_id[target_id]
        pool = self._pools_by_target[target_id]
        thresholds = self._thresholds(target_id)
        ejection = Ejection(
            target_id=target_id,
            service_id=pool.service_id,
            slots=pool.slots,
            badness=case.badness,
            zones=case.zones(thresholds=thresholds),
        )
        effects = self._ejections.eject(
            ejection, rest_ms=thresholds.rest_ms, now=now
        )
        if target_id in self._announcements.own:
            case.reset()
        return effects

    def _case(self, target_id: TargetId, *, now: Millis) -> Case:
        case = self.cases_by_id.get(target_id)
        if case is None:
            pool = self._pools_by_target[target_id]
            case = Case(warm_up_ms=pool.warm_up_ms, now=now)
            self.cases_by_id[target_id] = case
        return case

    def _thresholds(self, target_id: TargetId) -> Thresholds:
        service_id = self._pools_by_target[target_id].service_id
        return thresholds_of(self._services_by_id[service_id].sensitivity)


def _is_urgent(tally: Tally) -> bool:
    if tally.failures:
        return True
    return tally.latency_shift > URGENT_SHIFT * tally.latency_weight
