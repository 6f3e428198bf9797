"""Simulated service: callers, hosts with real detection code, targets.

A run has one policy, one load and one seed. In each of its episodes one
target is gray for some time; between the episodes there are disturbances
that must not lead to an ejection.
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
# Ratio of mean and median of the log-normal service times of the model.
MEAN_FACTOR = 1.133
MEAN_MS = MEAN_FACTOR * (
    READ_MS * (1 - UPLOAD_SHARE) + UPLOAD_MS * UPLOAD_SHARE
)
CROSS_ZONE_DELAY_MS = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Setup:
    """Parameters of a run; `load` is a share of the capacity."""

    policy: PolicyName
    hosts: int
    targets: int
    load: float
    sensitivity: float
    seed: int
    store_up: bool = True


@dataclasses.dataclass(kw_only=True, slots=True)
class Measures:
    """Results of a run; times in milliseconds.

    `detection_by_condition` has one detection time for each episode; it is
    infinite if the target still got requests at the end of the episode.
    `false_target_ms` is the time that healthy targets were ejected without
    having been gray, `late_target_ms` the time that they stayed ejected
    after they had been gray; both are weighted by the share of hosts.
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
class AttemptInFlight:
    """An attempt in flight, ordered by its end."""

    ends_at: float
    serial: int
    host_id: HostId = dataclasses.field(compare=False)
    target_id: TargetId = dataclasses.field(compare=False)
    number: int = dataclasses.field(compare=False)
    work: Work = dataclasses.field(compare=False)
    served: Served = dataclasses.field(compare=False)


class Simulation:
    """One simulated run; its results are in `measures`."""

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
        # Hosts whose own network cuts all their attempts.
        self.faulty_hosts: set[HostId] = set()
        self.last_attempt_at_by_id: dict[TargetId, float] = {}
        # Targets that are gray, or were gray and are still ejected.
        self.recently_gray: set[TargetId] = set()
        self.is_measured = False
        self._falsely_ejected: set[TargetId] = set()
        self._in_flight: list[AttemptInFlight] = []
        self._serial = 0
        capacity = sum(self._capacity(each) for each in self.targets_by_id)
        self._rate = setup.load * capacity / MEAN_MS
        self._next_arrival_at = self.rng.expovariate(self._rate)

    @property
    def now(self) -> Millis:
        """Return the simulated time."""
        return self.fleet.channel.clock.now()

    @property
    def runs_detection(self) -> bool:
        """Return whether the hosts run the detection of this project."""
        return self.setup.policy is PolicyName.chicorybridge

    def run(
        self, *, for_ms: float, on_tick: Callable[[], None] | None = None
    ) -> None:
        """Advance by whole ticks; call `on_tick` before each of them."""
        for _ in range(round(for_ms / TICK_MS)):
            if on_tick is not None:
                on_tick()
            self._send_until(self.now + TICK_MS)
            self._finish_until(self.now + TICK_MS)
            if self.runs_detection:
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
        attempt_in_flight = AttemptInFlight(
            ends_at=at + served.elapsed_ms,
            serial=self._serial,
            host_id=host.host_id,
            target_id=target_id,
            number=number,
            work=work,
            served=served,
        )
        heapq.heappush(self._in_flight, attempt_in_flight)
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

    def _send_until(self, end: float) -> None:
        while self._next_arrival_at < end:
            host = self.rng.choice(self.hosts)
            work = Work(
                route=self.rng.randrange(ROUTES),
                upload=self.rng.random() < UPLOAD_SHARE,
                zone_id=host.zone_id,
            )
            self.send(host, work, at=Millis(self._next_arrival_at))
            self._next_arrival_at += self.rng.expovariate(self._rate)

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
        elapsed_ms = served.elapsed_ms + CROSS_ZONE_DELAY_MS
        return dataclasses.replace(served, elapsed_ms=elapsed_ms)

    def _finish_until(self, end: float) -> None:
        while self._in_flight and self._in_flight[0].ends_at <= end:
            self._finish(heapq.heappop(self._in_flight))

    def _finish(self, attempt_in_flight: AttemptInFlight) -> None:
        served = attempt_in_flight.served
        attempt = Attempt(
            service_id=SERVICE_ID,
            target_id=attempt_in_flight.target_id,
            route_id=_route_id(attempt_in_flight.work),
            outcome=served.outcome,
            started_at=Millis(attempt_in_flight.ends_at - served.elapsed_ms),
            elapsed_ms=served.elapsed_ms,
            sent_bytes=UPLOAD_BYTES if attempt_in_flight.work.upload else 0,
            leaving=served.leaving,
        )
        self.measures.attempts += 1
        if served.outcome is not AttemptOutcome.answered:
            self.measures.failures += 1
        policy = self.policies_by_host[attempt_in_flight.host_id]
        policy.in_flight[attempt_in_flight.target_id] -= 1
        policy.finish(attempt, now=self.now)
        if self.runs_detection:
            host = self.fleet.hosts_by_id[attempt_in_flight.host_id]
            residual = host.observer.finish(attempt_in_flight.number, attempt)
            host.weights.record(attempt, residual)

    def _measure(self) -> None:
        """Add up the time that healthy targets are ejected."""
        self.measures.target_ms += TICK_MS * len(self.targets_by_id)
        ejected_by_id = dict.fromkeys(self.targets_by_id, 0)
        for policy in self.policies_by_host.values():
            for target_id in policy.out(now=self.now):
                ejected_by_id[target_id] += 1
        for target_id, count in ejected_by_id.items():
            if self.targets_by_id[target_id].is_gray(now=self.now):
                self.recently_gray.add(target_id)
            elif count:
                self._count_ejected(target_id, count / len(self.hosts))
            else:
                self.recently_gray.discard(target_id)
                self._falsely_ejected.discard(target_id)

    def _count_ejected(self, target_id: TargetId, share: float) -> None:
        if target_id in self.recently_gray:
            self.measures.late_target_ms += TICK_MS * share
            return
        self.measures.false_target_ms += TICK_MS * share
        if target_id not in self._falsely_ejected:
            self._falsely_ejected.add(target_id)
            event = f'{target_id} at {self.now} ms'
            self.measures.false_events.append(event)


def _route_id(work: Work) -> RouteId:
    return UPLOAD_ROUTE if work.upload else RouteId(f'read-{work.route}')
