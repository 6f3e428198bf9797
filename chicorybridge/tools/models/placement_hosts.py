"""Hosts and targets of a service, for the model of their choices.

Selectors, tables and results are those of the program. Modelled are targets,
which reject what exceeds their slots and may fail for seconds.
"""

import dataclasses
import random
from collections import Counter, deque

from chicorybridge.common.clocks import (
    MILLIS_PER_SECOND,
    ManualClock,
)
from chicorybridge.common.events import EventLog
from chicorybridge.common.identities import (
    HostId,
    Incarnation,
    RegionId,
    ServiceId,
    TargetId,
    ZoneId,
)
from chicorybridge.fleet.directories import (
    TargetDirectory,
    TargetEntry,
)
from chicorybridge.fleet.host_tables import FleetMember, HostTable
from chicorybridge.hosts.target_results import TargetResults
from chicorybridge.routing.preferences import PreferredTargets
from chicorybridge.routing.reputations import ReputationTable
from chicorybridge.routing.selections import (
    Selector,
    TargetEstimates,
)
from chicorybridge.routing.service_latencies import LatencyTable
from chicorybridge.routing.target_limits import TargetLimits
from chicorybridge.routing.target_signs import TargetSigns
from chicorybridge.routing.workloads import (
    WorkloadTable,
)

SERVICE_ID = ServiceId('quotes')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlacementPlan:
    """The fleet, its load and its faults.

    `busy_share` of the slots are in use on average. Each target fails most of
    its work for `failing_ms` at a time, `failing_share` of the time.
    """

    hosts: int
    targets: int
    slots: int
    zones: int = 4
    regions: int = 2
    work_ms: float = 200
    busy_share: float = 1 / 3
    repeatable_share: float = 0.5
    failing_share: float = 0
    failing_ms: float = 4000
    failed_work_share: float = 0.9
    prefers_own_targets: bool = False

    @property
    def rate_per_s(self) -> float:
        """Return the requests per second of all callers."""
        busy = self.targets * self.slots * self.busy_share
        return busy * MILLIS_PER_SECOND / self.work_ms


@dataclasses.dataclass(kw_only=True, eq=False, slots=True)
class Request:
    """A request, the targets that it was sent to and until when it waits."""

    repeatable: bool
    gives_up_at: float
    tried: set[TargetId] = dataclasses.field(default_factory=set)


class ModelTarget:
    """A target: the requests that it runs, and whether it fails."""

    def __init__(self, entry: TargetEntry) -> None:
        """Start idle and sound."""
        self.entry = entry
        self.running = 0
        self.failing = False
        self.arrivals: list[float] = []
        # When it started and ceased to fail, in turns.
        self.turned_at: list[float] = []

    def was_sound(self, since: float, until: float) -> bool:
        """Return whether the target was sound for the whole time."""
        earlier = sum(turn <= since for turn in self.turned_at)
        later = sum(turn <= until for turn in self.turned_at)
        return earlier == later and not earlier % 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Site:
    """What all hosts share: the plan, the targets, zones and the clock."""

    plan: PlacementPlan
    directory: TargetDirectory
    regions_by_zone: dict[ZoneId, RegionId]
    clock: ManualClock


class ModelHost:
    """A host: its tables, its selector and its idle connections."""

    def __init__(self, *, number: int, site: Site, zone_id: ZoneId) -> None:
        """Start without reports of others."""
        self.host_id = HostId(f'host-{number}')
        self.zone_id = zone_id
        self.table = HostTable(
            host_id=self.host_id,
            zone_id=zone_id,
            regions_by_zone=site.regions_by_zone,
        )
        self.idle_by_address: Counter[str] = Counter()
        self.workloads = WorkloadTable(zone_id=zone_id)
        self.results = TargetResults(
            directory=site.directory,
            reputations=ReputationTable(),
            latencies=LatencyTable(),
            workloads=self.workloads,
        )
        self.results.reputations.rejections_are_collisions = lambda: (
            site.plan.prefers_own_targets
        )
        self.waiting: deque[Request] = deque()
        self.selector = Selector(
            directory=site.directory,
            estimates=TargetEstimates(
                reputations=self.results.reputations,
                workloads=self.workloads,
                latencies=self.results.latencies,
            ),
            zone_id=zone_id,
            regions_by_zone=site.regions_by_zone,
            rng=random.Random(number),
            has_idle_connection=self._has_idle_connection,
            signs=_signs(site, self.table),
            is_list_usable=lambda: True,
            preferred=PreferredTargets(
                directory=site.directory,
                host_table=self.table,
                is_serving=lambda: True,
            ),
            prefers_own_targets=lambda: site.plan.prefers_own_targets,
        )

    def _has_idle_connection(self, address: str) -> bool:
        return self.idle_by_address[address] > 0


def entries_of(
    plan: PlacementPlan, zone_ids: list[ZoneId]
) -> list[TargetEntry]:
    return [
        TargetEntry(
            target_id=TargetId(f'target-{number}'),
            row_version=2,
            service_id=SERVICE_ID,
            address=f'10.0.0.1:{number}',
            zone_id=zone_ids[number % len(zone_ids)],
            slots=plan.slots,
            leaving=False,
            warming=False,
            started_at_ms=1,
        )
        for number in range(plan.targets)
    ]


def member_of(host: ModelHost) -> FleetMember:
    return FleetMember(
        host_id=host.host_id,
        zone_id=host.zone_id,
        incarnation=Incarnation(1),
        serial=1,
        front=f'{host.host_id}:80',
        fleet_address=f'{host.host_id}:70',
        serving=True,
    )


def _signs(site: Site, table: HostTable) -> TargetSigns:
    return TargetSigns(
        directory=site.directory,
        limits=TargetLimits(
            host_table=table,
            regions_by_zone=site.regions_by_zone,
            is_serving=lambda: True,
        ),
        log=EventLog(
            clock=site.clock,
            host_id=table.host_id,
            process='host',
            incarnation=Incarnation(1),
        ),
    )
