"""A simulated fleet of entries and targets with open-loop arrivals."""

import dataclasses
import enum
import random
from collections.abc import Callable, Sequence

from chicorybridge.common.clocks import MILLIS_PER_SECOND
from chicorybridge.common.identities import ServiceId, TargetId, ZoneId
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.configuration.declarations import Declaration, Priority
from chicorybridge.routing.candidates import locality_of
from chicorybridge.routing.retries import RetryPolicy
from chicorybridge.routing.subsets import FleetSize
from chicorybridge.tools.models.baselines import LeastInFlight, RoundRobin
from chicorybridge.tools.models.entry_models import (
    ROUND_TRIPS_MS,
    Call,
    EntryModel,
    EntryPlan,
    Picker,
    make_entry,
)
from chicorybridge.tools.models.schedules import Schedule
from chicorybridge.tools.models.target_models import Behaviour, TargetModel


class Policy(enum.Enum):
    """Policies of target selection that measurements compare."""

    chicorybridge = 'chicorybridge'
    round_robin = 'round robin'
    least_in_flight = 'least in flight'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """Poisson arrivals at the whole fleet, with shares of the priorities."""

    per_second: float
    work_ms: float = 50
    timeout_ms: float = 5000
    priority_shares: tuple[tuple[Priority, float], ...] = (
        (Priority.normal, 1),
    )


class FleetModel:
    """Entries and targets on one schedule; all randomness is from one seed."""

    def __init__(
        self,
        declaration: Declaration,
        *,
        entries: int,
        policy: Policy,
        seed: int,
        adjust: Callable[[TargetId, Behaviour], None] | None = None,
    ) -> None:
        """Start all entries and targets.

        `adjust` may change the behaviour of a target before it starts.
        """
        self.schedule = Schedule()
        self.rng = random.Random(seed)
        self.declaration = declaration
        self.calls: list[Call] = []
        self.models_by_target: dict[TargetId, TargetModel] = {}
        for target_id in declaration.targets_by_id:
            behaviour = _declared_behaviour(declaration, target_id)
            if adjust is not None:
                adjust(target_id, behaviour)
            self.models_by_target[target_id] = TargetModel(
                schedule=self.schedule,
                rng=random.Random(f'{seed} {target_id}'),
                behaviour=behaviour,
            )
        zones = sorted(declaration.zones_by_id)
        self.entries = [
            self._entry(zones[number % len(zones)], policy, entries)
            for number in range(entries)
        ]

    def start_load(self, load: Load, *, service: str, for_ms: float) -> None:
        """Send calls to random entries for the next `for_ms`."""
        service_id = ServiceId(service)
        ends_at = self.schedule.now + for_ms
        priorities = [priority for priority, _ in load.priority_shares]
        shares = [share for _, share in load.priority_shares]

        def arrive() -> None:  # noqa: WPS430
            if self.schedule.now >= ends_at:
                return
            priority = self.rng.choices(priorities, shares)[0]
            self.send(self._call(service_id, load, priority))
            self.schedule.call_later(self._draw_interarrival_ms(load), arrive)

        self.schedule.call_later(self._draw_interarrival_ms(load), arrive)

    def send(self, call: Call, *, entry: int | None = None) -> None:
        """Send a call to an entry, by default to a random one."""
        number = self.rng.randrange(len(self.entries))
        if entry is not None:
            number = entry
        self.entries[number].serve(call, self.calls.append)

    def run(self, *, for_ms: float) -> None:
        """Advance the simulation by `for_ms` milliseconds."""
        self.schedule.run(until=self.schedule.now + for_ms)

    def _draw_interarrival_ms(self, load: Load) -> float:
        return self.rng.expovariate(load.per_second / MILLIS_PER_SECOND)

    def _call(
        self, service_id: ServiceId, load: Load, priority: Priority
    ) -> Call:
        return Call(
            service_id=service_id,
            work_ms=load.work_ms,
            timeout_ms=load.timeout_ms,
            priority=priority,
            started_at=self.schedule.now,
        )

    def _entry(
        self, zone_id: ZoneId, policy: Policy, entries: int
    ) -> EntryModel:
        entry = self._make_entry(policy, zone_id, entries)
        for target_id, target in self.declaration.targets_by_id.items():
            locality = locality_of(self.declaration, target.zone_id, zone_id)
            entry.round_trips_by_target[target_id] = ROUND_TRIPS_MS[locality]
        return entry

    def _make_entry(
        self, policy: Policy, zone_id: ZoneId, entries: int
    ) -> EntryModel:
        rng = random.Random(self.rng.random())
        if policy is Policy.chicorybridge:
            zones = len(self.declaration.zones_by_id)
            fleet = FleetSize(
                processes=entries, zone_processes=max(1, entries // zones)
            )
            return make_entry(
                self.declaration,
                EntryPlan(zone_id=zone_id, fleet=fleet),
                schedule=self.schedule,
                models_by_target=self.models_by_target,
                rng=rng,
            )
        retries = RetryPolicy()
        retries.set_declaration(self.declaration)
        return EntryModel(
            schedule=self.schedule,
            models_by_target=self.models_by_target,
            picker=self._make_baseline(policy, rng),
            retries=retries,
        )

    def _make_baseline(self, policy: Policy, rng: random.Random) -> Picker:
        if policy is Policy.least_in_flight:
            return LeastInFlight(self.declaration, rng=rng)
        return RoundRobin(self.declaration, rng=rng)


def capacity_of(declaration: Declaration, *, work_ms: float) -> float:
    """Return the requests per second that all targets can serve."""
    slots_at_full_speed = sum(
        declaration.pool_of(target).slots * declaration.pool_of(target).speed
        for target in declaration.targets_by_id.values()
    )
    return slots_at_full_speed * MILLIS_PER_SECOND / work_ms


def percentile(values: Sequence[float], share: float) -> float:
    """Return the quantile of the values at `share`, from 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def completed(calls: Sequence[Call]) -> list[Call]:
    """Return the calls that got a complete answer."""
    return [call for call in calls if call.outcome is RequestOutcome.complete]


def _declared_behaviour(
    declaration: Declaration, target_id: TargetId
) -> Behaviour:
    pool = declaration.pool_of(declaration.targets_by_id[target_id])
    return Behaviour(slots=pool.slots, speed=pool.speed)
