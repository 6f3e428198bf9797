"""Check that ejections respect the floor under random faults.

    python -m chicorybridge.tools.simulations.floor_runs \
        --seeds 1 2 3 --minutes 60

Targets of hosts with the real code fail at random. Links are cut in one or
both directions; hosts pause, crash and restart; the store is unavailable or
leaves writes unanswered; configurations raise the floor or remove targets.
After every tick the slots that are ejected at any entry must together fit
the budget of the active configuration.
"""

import argparse
import sys

from chicorybridge.common.errors import require
from chicorybridge.common.identities import TargetId, Version
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.detection.ledgers import budgets_of
from chicorybridge.detection.observations import Observations, Tally
from chicorybridge.settings import SLOTS, TICK_MS
from chicorybridge.tools.models.mixed_declarations import SERVICE_ID, declare
from chicorybridge.tools.simulations.host_faults import HostFaults
from chicorybridge.tools.simulations.detection_fleets import DetectionFleet

HOSTS = 8
TARGETS = 12
MIN_TARGETS = 8
MILLIS_PER_MINUTE = 60_000.0
FLOORS = (0.5, 0.6, 0.7, 0.8)
INITIAL_FLOOR = 0.7
SENSITIVITY = 0.9
# Probabilities of events in a tick.
CONFIGURE_CHANCE = 0.002
GRAY_CHANCE = 0.02
UNAVAILABLE_CHANCE = 0.002
# Numbers of unavailable slots to choose from.
UNAVAILABLE_SLOTS = (0, 6, 12)
# Probability that a host receives the new configuration in a tick.
CONFIGURE_HOST_CHANCE = 0.25
# Number of attempts in a report on a target.
ATTEMPTS = 3
# Probability that a host reports on a target in a tick.
REPORT_CHANCE = 0.3


class FloorRun:
    """One randomised run with one seed."""

    def __init__(self, *, seed: int) -> None:
        """Start all hosts healthy and connected."""
        self.fleet = DetectionFleet(
            hosts=HOSTS,
            declaration=_declare(floor=INITIAL_FLOOR, targets=TARGETS),
            seed=seed,
        )
        self.rng = self.fleet.channel.rng
        self.faults = HostFaults(fleet=self.fleet)
        self.gray: set[TargetId] = set()
        self.max_ejected_slots = 0
        self._accepted_budget = self._budget()
        self._is_accepted = True

    def run(self, *, for_ms: float) -> None:
        """Simulate `for_ms` with faults; check the floor after each tick."""
        end = self.fleet.now + for_ms
        while self.fleet.now < end:
            self.faults.tick()
            self._change_conditions()
            self._configure_hosts()
            self._report_attempts()
            self.fleet.run(for_ms=TICK_MS)
            self._accept_when_settled()
            self._check_floor()

    def _budget(self) -> int:
        return budgets_of(self.fleet.declaration)[SERVICE_ID]

    def _happens(self, chance: float) -> bool:
        return self.rng.random() < chance

    def _change_conditions(self) -> None:
        """Change configuration, unavailable slots or gray targets."""
        if self._happens(CONFIGURE_CHANCE) and self._is_accepted:
            self._configure()
        if self._happens(UNAVAILABLE_CHANCE):
            unavailable = {SERVICE_ID: self.rng.choice(UNAVAILABLE_SLOTS)}
            for host in self.fleet.hosts_by_id.values():
                host.detection.update_unavailable_slots(unavailable)
        if self._happens(GRAY_CHANCE):
            target_ids = sorted(self.fleet.declaration.targets_by_id)
            self.gray ^= {self.rng.choice(target_ids)}

    def _configure(self) -> None:
        """Declare another floor and other targets."""
        self.fleet.declaration = _declare(
            floor=self.rng.choice(FLOORS),
            targets=self.rng.randint(MIN_TARGETS, TARGETS),
        )
        self.fleet.version = Version(self.fleet.version + 1)
        self.gray &= self.fleet.declaration.targets_by_id.keys()
        self._is_accepted = False
        self.faults.unconfigured = set(self.fleet.hosts_by_id)

    def _configure_hosts(self) -> None:
        for host_id in sorted(self.faults.unconfigured):
            if host_id in self.fleet.channel.paused:
                continue
            if self._happens(CONFIGURE_HOST_CHANCE):
                self.faults.unconfigured.discard(host_id)
                self.fleet.configure_host(host_id)

    def _report_attempts(self) -> None:
        """Send reports of entries on the targets in use."""
        for host_id, host in self.fleet.hosts_by_id.items():
            if host_id in self.fleet.channel.paused:
                continue
            tallies = tuple(
                self._tally(target_id)
                for target_id in self.fleet.declaration.targets_by_id
                if host.weights.weight_of(target_id)
                and self._happens(REPORT_CHANCE)
            )
            message = Observations(tallies=tallies)
            self.fleet.channel.deliver(host_id, message, sender=host_id)

    def _tally(self, target_id: TargetId) -> Tally:
        if target_id in self.gray:
            return Tally(target_id=target_id, failed=ATTEMPTS)
        return Tally(target_id=target_id, answered=ATTEMPTS)

    def _accept_when_settled(self) -> None:
        """Accept the configuration once it allows all ejections."""
        if self._is_accepted or self.faults.unconfigured:
            return
        if self.fleet.channel.paused:
            return
        self._is_accepted = all(
            host.detection.is_settled(now=self.fleet.now)
            for host in self.fleet.hosts_by_id.values()
        )
        if self._is_accepted:
            self._accepted_budget = self._budget()

    def _check_floor(self) -> None:
        """Check the slots that are ejected at any running host."""
        ejected: set[TargetId] = set()
        for host_id, host in self.fleet.hosts_by_id.items():
            if host_id not in self.fleet.channel.paused:
                active = host.detection.announcements.active_ejections(
                    now=self.fleet.now
                )
                ejected |= host.weights.limited | active.keys()
        ejected &= self.fleet.declaration.targets_by_id.keys()
        slots = SLOTS * len(ejected)
        budget = self._accepted_budget
        if not self._is_accepted:
            budget = max(budget, self._budget())
        require(
            promise=f'ejections respect the floor: {slots} of {budget} slots',
            holds=slots <= budget,
        )
        self.max_ejected_slots = max(self.max_ejected_slots, slots)


def _declare(*, floor: float, targets: int) -> Declaration:
    return declare(
        targets=targets, floor=floor, sensitivity=SENSITIVITY, warm_up_ms=0
    )


def main() -> None:
    """Simulate the seeds and print the maximum of ejected slots."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, nargs='+', default=[1])
    parser.add_argument('--minutes', type=float, default=1)
    arguments = parser.parse_args()
    for seed in arguments.seeds:
        floor_run = FloorRun(seed=seed)
        floor_run.run(for_ms=arguments.minutes * MILLIS_PER_MINUTE)
        sys.stdout.write(
            f'seed {seed}: {arguments.minutes} min, at most '
            f'{floor_run.max_ejected_slots} slots ejected, floor respected\n'
        )
        sys.stdout.flush()


if __name__ == '__main__':
    main()
