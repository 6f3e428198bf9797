"""What happens in a simulated run: gray targets and mere disturbances."""

import math
from collections.abc import Callable

from chicorybridge.common.identities import TargetId
from chicorybridge.tools.models.service_models import Condition, Work
from chicorybridge.tools.simulations.detection_runs import Simulation
from chicorybridge.tools.simulations.detection_fleets import DetectionHost

# Without new work for so long, a gray target counts as detected.
QUIET_MS = 2000.0
# How long a target is gray, and the longest wait for its return.
GRAY_MS = 12_000.0
RETURN_MS = 90_000.0
STEP_MS = 1000.0
# How long a disturbance lasts, and the pause after it.
DISTURBED_MS = 10_000.0
PAUSE_MS = 20_000.0
# How long a target announces that it leaves.
DRAIN_MS = 2000.0
# A restart that takes a target away only for a moment.
RESTART_MS = 300.0
# Callers that repeat a request that crashes targets.
POISONED = 3
# What a slow pool does to all service times, if the load leaves room.
POOL_FACTOR = 3.0
HIGH_LOAD = 0.3
HIGH_LOAD_FACTOR = 1.3

GRAY = tuple(each for each in Condition if each is not Condition.healthy)


def run_gray(simulation: Simulation, condition: Condition) -> float:
    """Turn a random target gray, then well; return the detection time."""
    target_id = turn_gray(simulation, condition)
    onset = simulation.now
    detected = await_detection(simulation, target_id)
    simulation.run(for_ms=max(0, onset + GRAY_MS - simulation.now))
    target = simulation.targets_by_id[target_id]
    target.turn(Condition.healthy, now=simulation.now)
    target.bad_zone = None
    _await_return(simulation, target_id)
    times = simulation.measures.detection_by_condition
    times.setdefault(condition, []).append(detected)
    return detected


def turn_gray(simulation: Simulation, condition: Condition) -> TargetId:
    """Turn a random healthy target gray and return it."""
    target_id = _healthy_target(simulation)
    target = simulation.targets_by_id[target_id]
    if condition is Condition.slow_for_zone:
        hosts = _hosts_near(simulation, target_id)
        target.bad_zone = simulation.rng.choice(hosts).zone_id
    target.turn(condition, now=simulation.now)
    simulation.last_attempt_at_by_id[target_id] = simulation.now
    return target_id


def await_detection(simulation: Simulation, target_id: TargetId) -> float:
    """Return the time from now to the last new work of a target.

    It is infinite if the target is not left alone within `GRAY_MS`.
    """
    onset = simulation.now
    while simulation.now < onset + GRAY_MS:
        simulation.run(for_ms=STEP_MS / 2)
        last = simulation.last_attempt_at_by_id[target_id]
        if simulation.now - last >= QUIET_MS:
            return last - onset
    return math.inf


def cold_start(simulation: Simulation) -> None:
    """Drain and restart a target, which is then slow for a while."""
    target = simulation.targets_by_id[_healthy_target(simulation)]
    target.leaves_at = simulation.now
    simulation.run(for_ms=DRAIN_MS)
    target.crash(now=simulation.now, down_ms=RESTART_MS)
    simulation.run(for_ms=DISTURBED_MS)


def slow_pool(simulation: Simulation) -> None:
    """Slow all targets down alike."""
    is_high = simulation.setup.load > HIGH_LOAD
    factor = HIGH_LOAD_FACTOR if is_high else POOL_FACTOR
    for target in simulation.targets_by_id.values():
        target.load_factor = factor
    simulation.run(for_ms=DISTURBED_MS)
    for each in simulation.targets_by_id.values():
        each.load_factor = 1


def faulty_host(simulation: Simulation) -> None:
    """Break all that one host sends to targets."""
    host = simulation.rng.choice(simulation.hosts)
    simulation.faulty_hosts.add(host.host_id)
    simulation.run(for_ms=DISTURBED_MS)
    simulation.faulty_hosts.clear()


def poison(simulation: Simulation) -> None:
    """Repeat a request that crashes whoever runs it."""
    for _ in range(POISONED):
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
    """Run one disturbance, drawn at random, and a pause."""
    disturbance = simulation.rng.choice(DISTURBANCES)
    before = len(simulation.measures.false_events)
    disturbance(simulation)
    simulation.run(for_ms=PAUSE_MS)
    events = simulation.measures.false_events
    caused = [
        f'{event} after {disturbance.__name__}' for event in events[before:]
    ]
    simulation.measures.false_events = events[:before] + caused


def _healthy_target(simulation: Simulation) -> TargetId:
    return simulation.rng.choice(
        [
            target_id
            for target_id, target in simulation.targets_by_id.items()
            if not target.is_gray(now=simulation.now)
        ]
    )


def _hosts_near(
    simulation: Simulation, target_id: TargetId
) -> list[DetectionHost]:
    """Return the hosts that send work to a target."""
    return [
        host
        for host in simulation.hosts
        if target_id in simulation.policies_by_host[host.host_id].targets
    ]


def _await_return(simulation: Simulation, target_id: TargetId) -> None:
    end = simulation.now + RETURN_MS
    while simulation.now < end:
        simulation.run(for_ms=STEP_MS)
        now = simulation.now
        policies = simulation.policies_by_host.values()
        if not any(target_id in each.out(now=now) for each in policies):
            return
