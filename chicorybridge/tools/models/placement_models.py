"""A service of several zones whose hosts choose targets with old reports.

Reports bring the requests in flight and results of others 100 to 200 ms late.
"""

import functools
import random
from collections import Counter, defaultdict

from chicorybridge import settings
from chicorybridge.common.clocks import MILLIS_PER_SECOND, Millis
from chicorybridge.common.identities import (
    HostId,
    RegionId,
    TargetId,
    ZoneId,
)
from chicorybridge.fleet.directories import TargetDirectory, TargetsChanged
from chicorybridge.routing.reputations import Sign, TargetSeen
from chicorybridge.routing.selections import Option, SelectionMode
from chicorybridge.routing.workloads import ZoneTotals, ZoneWorkload
from chicorybridge.tools.models.placement_hosts import (
    SERVICE_ID,
    ModelHost,
    ModelTarget,
    PlacementPlan,
    Request,
    Site,
    entries_of,
    member_of,
)
from chicorybridge.tools.models.schedules import Schedule

REPORT_MS = 100
REPORTS_PER_SUMMARY = 4
QUEUE_CHECK_MS = 30
MAX_WAIT_MS = 1500
RESET_MS = 30
REJECT_MS = 2
WORK_SPREAD = 0.3
TURN_SPREAD = (0.5, 1.5)
MAX_TARGETS_TRIED = 3

ResultsByZone = dict[ZoneId, list[tuple[HostId, TargetSeen]]]


class PlacementModel:  # noqa: WPS214
    """The hosts of a service, its targets and what happened to requests."""

    def __init__(self, plan: PlacementPlan, *, seed: int) -> None:
        """Start all hosts and targets without requests."""
        self.plan = plan
        self.counts: Counter[str] = Counter()
        self.schedule = Schedule()
        self.directory = TargetDirectory()
        zone_ids = [ZoneId(f'zone-{number}') for number in range(plan.zones)]
        self.regions_by_zone = {
            zone_id: RegionId(str(number % plan.regions))
            for number, zone_id in enumerate(zone_ids)
        }
        site = Site(
            plan=plan,
            directory=self.directory,
            regions_by_zone=self.regions_by_zone,
            clock=self.schedule.clock,
        )
        self.targets_by_id = {
            entry.target_id: ModelTarget(entry)
            for entry in entries_of(plan, zone_ids)
        }
        self.directory.merge(
            TargetsChanged(
                store_version=2,
                entries=tuple(
                    target.entry for target in self.targets_by_id.values()
                ),
            )
        )
        self.hosts = [
            ModelHost(
                number=number, site=site, zone_id=zone_ids[number % plan.zones]
            )
            for number in range(plan.hosts)
        ]
        self.hosts_by_zone: dict[ZoneId, list[ModelHost]] = defaultdict(list)
        for host in self.hosts:
            self.hosts_by_zone[host.zone_id].append(host)
        self._introduce_hosts()
        self._rng = random.Random(seed)
        self._new_by_zone: ResultsByZone = {}
        self._reported: dict[ZoneId, ZoneTotals] = {}
        self._reported_results = self._new_by_zone
        self._reports = 0
        self._start_load()

    def run(self, *, ms: float) -> None:
        """Let requests come and end for a time."""
        self.schedule.run(until=self.schedule.now + ms)

    def _introduce_hosts(self) -> None:
        for hosts in self.hosts_by_zone.values():
            for host in hosts:
                for other in hosts:
                    host.table.record(member_of(other), now=Millis(0))

    def _start_load(self) -> None:
        self.schedule.call_later(0, self._arrive)
        self.schedule.call_later(REPORT_MS, self._report)
        if self.plan.failing_share:
            for target in self.targets_by_id.values():
                self._turn_later(target)

    def _turn_later(self, target: ModelTarget) -> None:
        sound_ms = self.plan.failing_ms * (1 / self.plan.failing_share - 1)
        mean_ms = self.plan.failing_ms if target.failing else sound_ms
        delay_ms = mean_ms * self._rng.uniform(*TURN_SPREAD)
        if not target.turned_at:
            delay_ms *= self._rng.random()
        self.schedule.call_later(
            delay_ms, functools.partial(self._turn, target)
        )

    def _turn(self, target: ModelTarget) -> None:
        target.failing = not target.failing
        target.turned_at.append(self.schedule.now)
        self._turn_later(target)

    def _arrive(self) -> None:
        self.counts['requests'] += 1
        host = self._rng.choice(self.hosts)
        request = Request(
            repeatable=self._rng.random() < self.plan.repeatable_share,
            gives_up_at=self.schedule.now + MAX_WAIT_MS,
        )
        if host.waiting or not self._place(host, request):
            host.waiting.append(request)
            self._serve_later(host)
        pause_ms = self._rng.expovariate(self.plan.rate_per_s)
        self.schedule.call_later(pause_ms * MILLIS_PER_SECOND, self._arrive)

    def _serve(self, host: ModelHost) -> None:
        """Place the first requests that wait, as far as there is room."""
        while host.waiting:
            request = host.waiting[0]
            if request.gives_up_at <= self.schedule.now:
                self.counts['refused'] += 1
            elif not self._place(host, request):
                self._serve_later(host)
                return
            host.waiting.popleft()

    def _serve_later(self, host: ModelHost) -> None:
        self.schedule.call_later(
            QUEUE_CHECK_MS, functools.partial(self._serve, host)
        )

    def _place(self, host: ModelHost, request: Request) -> bool:
        now = self.schedule.now
        option = host.selector.choose(
            SERVICE_ID,
            self._mode(request),
            excluded=request.tried,
            max_extra_loss=settings.MAX_EXTRA_LOSS,
            now=now,
        )
        if option is None:
            return False
        host.selector.take(option, now=now)
        host.workloads.started(option.entry.target_id, now=now)
        self._send(host, request, option)
        return True

    def _mode(self, request: Request) -> SelectionMode:
        if request.repeatable:
            if request.tried:
                return SelectionMode.safest
            return SelectionMode.exploring
        has_repeatable = self.plan.repeatable_share > 0
        return (
            SelectionMode.safest if has_repeatable else SelectionMode.returning
        )

    def _send(self, host: ModelHost, request: Request, option: Option) -> None:
        target = self.targets_by_id[option.entry.target_id]
        address = option.entry.address
        request.tried.add(option.entry.target_id)
        target.arrivals.append(self.schedule.now)
        self.counts.update(('arrivals',))
        if host.idle_by_address[address]:
            host.idle_by_address[address] -= 1
            self.counts['kept'] += 1
        sign = Sign.answered
        delay_ms = self.plan.work_ms * self._rng.lognormvariate(0, WORK_SPREAD)
        if target.running >= option.entry.slots:
            self.counts['collisions'] += 1
            sign, delay_ms = Sign.rejected, REJECT_MS
        elif (
            target.failing and self._rng.random() < self.plan.failed_work_share
        ):
            sign, delay_ms = Sign.broke, RESET_MS
            self.counts['once_at_failing'] += not request.repeatable
        target.running += sign is not Sign.rejected
        self.schedule.call_later(
            delay_ms,
            lambda: self._end(host, request, target, sign, delay_ms),
        )

    def _end(
        self,
        host: ModelHost,
        request: Request,
        target: ModelTarget,
        sign: Sign,
        elapsed_ms: float,
    ) -> None:
        now = self.schedule.now
        entry = target.entry
        if sign is not Sign.rejected:
            target.running -= 1
        if sign is not Sign.broke:
            host.idle_by_address[entry.address] += 1
        seen = TargetSeen(
            target_id=entry.target_id,
            sign=sign,
            latency_ms=round(elapsed_ms) if sign is Sign.answered else 0,
        )
        host.workloads.finished(entry.target_id, now=now)
        host.selector.record_freed(entry, now=now)
        host.results.record_own(seen, now=now)
        self._new_by_zone.setdefault(host.zone_id, []).append(
            (host.host_id, seen)
        )
        self._conclude(host, request, sign)
        self._serve(host)

    def _conclude(self, host: ModelHost, request: Request, sign: Sign) -> None:
        if sign is Sign.answered:
            self.counts['answered'] += 1
            return
        may_repeat = request.repeatable or sign is Sign.rejected
        if not may_repeat or len(request.tried) >= MAX_TARGETS_TRIED:
            self.counts['failed'] += 1
        elif not self._place(host, request):
            host.waiting.append(request)
            self._serve_later(host)

    def _report(self) -> None:
        """Deliver the last sums and results, and take new ones."""
        self._reports += 1
        for totals_of_zone in self._reported.items():
            self._deliver(*totals_of_zone)
        self._reported_results = self._new_by_zone
        self._new_by_zone = {}
        self._reported = {
            zone_id: self._totals(hosts)
            for zone_id, hosts in self.hosts_by_zone.items()
        }
        self.schedule.call_later(REPORT_MS, self._report)

    def _totals(self, hosts: list[ModelHost]) -> ZoneTotals:
        in_flight: Counter[TargetId] = Counter()
        for host in hosts:
            in_flight.update(
                host.workloads.host_report(
                    now=self.schedule.now
                ).in_flight_by_id
            )
        return ZoneTotals(
            sent_at=self.schedule.now,
            complete=True,
            in_flight_by_id=dict(in_flight),
            seen_by_host={},
        )

    def _deliver(self, zone_id: ZoneId, totals: ZoneTotals) -> None:
        now = self.schedule.now
        workload = ZoneWorkload(
            zone_id=zone_id,
            sent_at=totals.sent_at,
            in_flight_by_id=totals.in_flight_by_id,
        )
        for host in self.hosts:
            if host.zone_id == zone_id:
                host.workloads.record_totals(totals, now=now)
            elif not self._reports % REPORTS_PER_SUMMARY:
                host.workloads.record_zone(
                    workload, sender=HostId(zone_id), now=now
                )
            self._deliver_results(zone_id, host)

    def _deliver_results(self, zone_id: ZoneId, host: ModelHost) -> None:
        regions = self.regions_by_zone
        if regions[host.zone_id] != regions[zone_id]:
            return
        now = self.schedule.now
        for host_id, seen in self._reported_results.get(zone_id, ()):
            if host_id != host.host_id:
                host.results.record_remote(seen, now=now)
