"""Simulated service: callers, hosts with real detection code, targets.

One run has one policy, one load and one seed. Its episodes each turn one
target gray for a while; between them come disturbances that must not
lead to an ejection.
"""

import dataclasses
import heapq
import random
from collections.abc import Callable

from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, RouteId, TargetId
from chicorybridge.settings import TICK_MS
from chicorybridge.tools.models.mixed_declarations import (
    SERVICE_ID,
    UPLOAD_ROUTE,
    declare,
    region_of,
)
from chicorybridge.tools.models.policies import (
    ConsecutiveFailures,
    LeastInFlight,
    Policy,
    PolicyName,
    PoolMedian,
    Weighted,
)
from chicorybridge.tools.models.service_models import (
    READ_MS,
    ROUTES,
    UPLOAD_MS,
    Condition,
    FakeTarget,
    Served,
    Work,
)
from chicorybridge.tools.simulations.detection_fleets import (
    DetectionFleet,
    DetectionHost,
)

UPLOAD_SHARE = 0.1
UPLOAD_BYTES = 2_000_000
# Mean of a log-normal time over its median, at the spread of the model.
MEAN_FACTOR = 1.133
MEAN_MS = MEAN_FACTOR * (
    READ_MS * (1 - UPLOAD_SHARE) + UPLOAD_MS * UPLOAD_SHARE
)
ACROSS_ZONES_MS = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Setup:
    """What is varied between runs; `load` is a share of the capacity."""

    policy: PolicyName
    hosts: int
    targets: int
    load: float
    sensitivity: float
    seed: int
    store_up: bool = True


@dataclasses.dataclass(kw_only=True, slots=True)
class Measures:
    """What a run came to; times in milliseconds.

    `detection_by_condition` has one time for each episode, infinite if
    the target still got work at its end. `false_target_ms` counts targets
    that were out while healthy and had been ejected while healthy,
    `late_target_ms` those that had been gray, each by the share of hosts.
    """

    detection_by_condition: dict[Condition, list[float]] = dataclasses.field(
        default_factory=dict
    )
    false_target_ms: float = 0
    late_target_ms: float = 0
    target_ms: float = 0
    attempts: int = 0
    failures: int = 0
    false_events: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(order=True, slots=True)
class Flight:
    """An attempt under way, ordered by its end."""

    ends_at: float
    serial: int
    host_id: HostId = dataclasses.field(compare=False)
    target_id: TargetId = dataclasses.field(compare=False)
    number: int = dataclasses.field(compare=False)
    work: Work = dataclasses.field(compare=False)
    served: Served = dataclasses.field(compare=False)


class Simulation:
    """One run: advance it tick by tick and read its measures."""

    def __init__(self, *, setup: Setup) -> None:
        """Start all hosts and targets."""
        self.setup = setup
        self.measures = Measures()
        self.declaration = declare(
            targets=setup.targets, sensitivity=setup.sensitivity
        )
        self.fleet = DetectionFleet(
            hosts=setup.hosts, declaration=self.declaration, seed=setup.seed
        )
        self.rng = random.Random(setup.seed)
        self.targets_by_id = {
            target_id: FakeTarget(
                slots=self.declaration.pool_of(target).slots,
                speed=self.declaration.pool_of(target).speed,
                rng=self.rng,
            )
            for target_id, target in self.declaration.targets_by_id.items()
        }
        self.hosts = tuple(self.fleet.hosts_by_id.values())
        self.policies_by_host = {
            host.host_id: self._policy(host) for host in self.hosts
        }
        # Hosts whose own network breaks all that they send.
        self.faulty_hosts: set[HostId] = set()
        self.last_attempt_at_by_id: dict[TargetId, float] = {}
        # Targets that were gray at some time since they were last in use.
        self.blamed: set[TargetId] = set()
        self.is_measured = False
        self._falsely_out: set[TargetId] = set()
        self._flights: list[Flight] = []
        self._serial = 0
        capacity = sum(self._capacity(each) for each in self.targets_by_id)
        self._rate = setup.load * capacity / MEAN_MS
        self._arrives_at = self.rng.expovariate(self._rate)

    @property
    def now(self) -> Millis:
        """Return the time of the run."""
        return self.fleet.channel.clock.now()

    @property
    def is_ours(self) -> bool:
        """Tell whether the hosts run the project's detection."""
        return self.setup.policy is PolicyName.chicorybridge

    def run(
        self, *, for_ms: float, each_tick: Callable[[], None] | None = None
    ) -> None:
        """Advance by whole ticks."""
        for _ in range(round(for_ms / TICK_MS)):
            if each_tick is not None:
                each_tick()
            self._arrive_until(self.now + TICK_MS)
            self._finish_until(self.now + TICK_MS)
            if self.is_ours:
                self.fleet.run()
            else:
                self.fleet.channel.clock.advance(by_ms=TICK_MS)
            if self.is_measured:
                self._measure()

    def send(self, host: DetectionHost, work: Work, *, at: Millis) -> TargetId:
        """Send one attempt from a host; return the target that got it."""
        policy = self.policies_by_host[host.host_id]
        target_id = policy.pick(now=at)
        target = self.targets_by_id[target_id]
        if target.bad_zone in {None, host.zone_id}:
            self.last_attempt_at_by_id[target_id] = at
        served = self._serve(host, target_id, work, at=at)
        policy.in_flight[target_id] += 1
        self._serial += 1
        number = host.observer.start(
            target_id=target_id, route_id=_route_id(work), now=at
        )
        flight = Flight(
            ends_at=at + served.elapsed_ms,
            serial=self._serial,
            host_id=host.host_id,
            target_id=target_id,
            number=number,
            work=work,
            served=served,
        )
        heapq.heappush(self._flights, flight)
        return target_id

    def _policy(self, host: DetectionHost) -> Policy:
        capacities = {
            target_id: self._capacity(target_id)
            for target_id, target in self.declaration.targets_by_id.items()
            if region_of(target.zone_id) == region_of(host.zone_id)
        }
        match self.setup.policy:
            case PolicyName.chicorybridge:
                return Weighted(
                    capacities=capacities, rng=self.rng, weights=host.weights
                )
            case PolicyName.round_robin:
                return Policy(capacities=capacities, rng=self.rng)
            case PolicyName.least_in_flight:
                return LeastInFlight(capacities=capacities, rng=self.rng)
            case PolicyName.consecutive_failures:
                return ConsecutiveFailures(capacities=capacities, rng=self.rng)
            case PolicyName.pool_median:
                return PoolMedian(capacities=capacities, rng=self.rng)

    def _capacity(self, target_id: TargetId) -> float:
        target = self.declaration.targets_by_id[target_id]
        pool = self.declaration.pool_of(target)
        return pool.slots * pool.speed

    def _arrive_until(self, end: float) -> None:
        while self._arrives_at < end:
            host = self.rng.choice(self.hosts)
            work = Work(
                route=self.rng.randrange(ROUTES),
                upload=self.rng.random() < UPLOAD_SHARE,
                zone_id=host.zone_id,
            )
            self.send(host, work, at=Millis(self._arrives_at))
            self._arrives_at += self.rng.expovariate(self._rate)

    def _serve(
        self,
        host: DetectionHost,
        target_id: TargetId,
        work: Work,
        *,
        at: Millis,
    ) -> Served:
        if host.host_id in self.faulty_hosts:
            return Served(outcome=AttemptOutcome.cut, elapsed_ms=2)
        served = self.targets_by_id[target_id].serve(work, now=at)
        zone_id = self.declaration.targets_by_id[target_id].zone_id
        if zone_id == host.zone_id:
            return served
        elapsed_ms = served.elapsed_ms + ACROSS_ZONES_MS
        return dataclasses.replace(served, elapsed_ms=elapsed_ms)

    def _finish_until(self, end: float) -> None:
        while self._flights and self._flights[0].ends_at <= end:
            self._finish(heapq.heappop(self._flights))

    def _finish(self, flight: Flight) -> None:
        served = flight.served
        attempt = Attempt(
            service_id=SERVICE_ID,
            target_id=flight.target_id,
            route_id=_route_id(flight.work),
            outcome=served.outcome,
            started_at=Millis(flight.ends_at - served.elapsed_ms),
            elapsed_ms=served.elapsed_ms,
            sent_bytes=UPLOAD_BYTES if flight.work.upload else 0,
            leaving=served.leaving,
        )
        self.measures.attempts += 1
        if served.outcome is not AttemptOutcome.answered:
            self.measures.failures += 1
        policy = self.policies_by_host[flight.host_id]
        policy.in_flight[flight.target_id] -= 1
        policy.finish(attempt, now=self.now)
        if self.is_ours:
            host = self.fleet.hosts_by_id[flight.host_id]
            residual = host.observer.finish(flight.number, attempt)
            host.weights.record(attempt, residual)

    def _measure(self) -> None:
        """Add up who is out though healthy."""
        self.measures.target_ms += TICK_MS * len(self.targets_by_id)
        out_by_id = dict.fromkeys(self.targets_by_id, 0)
        for policy in self.policies_by_host.values():
            for target_id in policy.out(now=self.now):
                out_by_id[target_id] += 1
        for target_id, count in out_by_id.items():
            if self.targets_by_id[target_id].is_gray(now=self.now):
                self.blamed.add(target_id)
            elif count:
                self._count_out(target_id, count / len(self.hosts))
            else:
                self.blamed.discard(target_id)
                self._falsely_out.discard(target_id)

    def _count_out(self, target_id: TargetId, share: float) -> None:
        if target_id in self.blamed:
            self.measures.late_target_ms += TICK_MS * share
            return
        self.measures.false_target_ms += TICK_MS * share
        if target_id not in self._falsely_out:
            self._falsely_out.add(target_id)
            event = f'{target_id} at {self.now} ms'
            self.measures.false_events.append(event)


def _route_id(work: Work) -> RouteId:
    return UPLOAD_ROUTE if work.upload else RouteId(f'read-{work.route}')
