"""Episodes of simulated runs: gray targets, and disturbances.

Disturbances are not faults of a target and should not eject any.
"""

import math
from collections.abc import Callable

from chicorybridge.common.identities import TargetId
from chicorybridge.tools.models.service_models import Condition, Work
from chicorybridge.tools.simulations.detection_runs import Simulation
from chicorybridge.tools.simulations.detection_fleets import DetectionHost

# A gray target counts as detected after this time without new work.
DETECTED_AFTER_MS = 2000.0
# Duration of a gray condition, and timeout for the return into use.
GRAY_MS = 12_000.0
RETURN_TIMEOUT_MS = 90_000.0
STEP_MS = 1000.0
# Duration of a disturbance, and of the pause after it.
DISTURBANCE_MS = 10_000.0
PAUSE_MS = 20_000.0
# Time for which a target announces that it is leaving.
DRAIN_MS = 2000.0
# Time for which a restarted target is down.
RESTART_DOWN_MS = 300.0
# Number of requests in a disturbance that crash their targets.
POISON_REQUESTS = 3
# Factors of a slow pool on all service times; less at high load, so that
# the targets still have enough capacity.
SLOW_POOL_FACTOR = 3.0
HIGH_LOAD = 0.3
HIGH_LOAD_SLOW_POOL_FACTOR = 1.3

GRAY_CONDITIONS = tuple(
    each for each in Condition if each is not Condition.healthy
)


def run_gray_episode(simulation: Simulation, condition: Condition) -> float:
    """Make a random target gray for a while; return the detection time.

    Wait until the recovered target is in use again. The time is in
    milliseconds and infinite if the target was not detected.
    """
    target_id = make_gray(simulation, condition)
    onset_at = simulation.now
    detection_ms = await_detection(simulation, target_id)
    simulation.run(for_ms=max(0, onset_at + GRAY_MS - simulation.now))
    target = simulation.targets_by_id[target_id]
    target.change_condition(Condition.healthy, now=simulation.now)
    target.slow_zone = None
    _await_readmission(simulation, target_id)
    times = simulation.measures.detection_by_condition
    times.setdefault(condition, []).append(detection_ms)
    return detection_ms


def make_gray(simulation: Simulation, condition: Condition) -> TargetId:
    """Make a random healthy target gray and return its ID."""
    target_id = _healthy_target(simulation)
    target = simulation.targets_by_id[target_id]
    if condition is Condition.slow_for_zone:
        hosts = _hosts_sending_to(simulation, target_id)
        target.slow_zone = simulation.rng.choice(hosts).zone_id
    target.change_condition(condition, now=simulation.now)
    simulation.last_attempt_at_by_id[target_id] = simulation.now
    return target_id


def await_detection(simulation: Simulation, target_id: TargetId) -> float:
    """Return the milliseconds from now to the last new work of a target.

    Infinite if the target still gets new work after `GRAY_MS`.
    """
    onset_at = simulation.now
    while simulation.now < onset_at + GRAY_MS:
        simulation.run(for_ms=STEP_MS / 2)
        last_work_at = simulation.last_attempt_at_by_id[target_id]
        if simulation.now - last_work_at >= DETECTED_AFTER_MS:
            return last_work_at - onset_at
    return math.inf


def cold_start(simulation: Simulation) -> None:
    """Drain and restart a target, which is slow until it is warm."""
    target = simulation.targets_by_id[_healthy_target(simulation)]
    target.leaves_at = simulation.now
    simulation.run(for_ms=DRAIN_MS)
    target.crash(now=simulation.now, down_ms=RESTART_DOWN_MS)
    simulation.run(for_ms=DISTURBANCE_MS)


def slow_pool(simulation: Simulation) -> None:
    """Slow all targets down by the same factor."""
    is_high = simulation.setup.load > HIGH_LOAD
    factor = HIGH_LOAD_SLOW_POOL_FACTOR if is_high else SLOW_POOL_FACTOR
    for target in simulation.targets_by_id.values():
        target.load_factor = factor
    simulation.run(for_ms=DISTURBANCE_MS)
    for each in simulation.targets_by_id.values():
        each.load_factor = 1


def faulty_host(simulation: Simulation) -> None:
    """Make all attempts of one host fail."""
    host = simulation.rng.choice(simulation.hosts)
    simulation.faulty_hosts.add(host.host_id)
    simulation.run(for_ms=DISTURBANCE_MS)
    simulation.faulty_hosts.clear()


def poison(simulation: Simulation) -> None:
    """Send several requests, each of which crashes its target."""
    for _ in range(POISON_REQUESTS):
        host = simulation.rng.choice(simulation.hosts)
        work = Work(route=0, upload=False, zone_id=host.zone_id, poison=True)
        simulation.send(host, work, at=simulation.now)
        simulation.run(for_ms=STEP_MS)


DISTURBANCES: tuple[Callable[[Simulation], None], ...] = (
    cold_start,
    slow_pool,
    faulty_host,
    poison,
)


def run_disturbance(simulation: Simulation) -> None:
    """Run one random disturbance and a pause; mark the false events."""
    disturbance = simulation.rng.choice(DISTURBANCES)
    previous = len(simulation.measures.false_events)
    disturbance(simulation)
    simulation.run(for_ms=PAUSE_MS)
    events = simulation.measures.false_events
    marked = [
        f'{event} after {disturbance.__name__}' for event in events[previous:]
    ]
    simulation.measures.false_events = events[:previous] + marked


def _healthy_target(simulation: Simulation) -> TargetId:
    return simulation.rng.choice(
        [
            target_id
            for target_id, target in simulation.targets_by_id.items()
            if not target.is_gray(now=simulation.now)
        ]
    )


def _hosts_sending_to(
    simulation: Simulation, target_id: TargetId
) -> list[DetectionHost]:
    """Return the hosts that may send work to a target."""
    return [
        host
        for host in simulation.hosts
        if target_id in simulation.policies_by_host[host.host_id].targets
    ]


def _await_readmission(simulation: Simulation, target_id: TargetId) -> None:
    end = simulation.now + RETURN_TIMEOUT_MS
    while simulation.now < end:
        simulation.run(for_ms=STEP_MS)
        now = simulation.now
        policies = simulation.policies_by_host.values()
        if not any(target_id in each.ejected(now=now) for each in policies):
            return
