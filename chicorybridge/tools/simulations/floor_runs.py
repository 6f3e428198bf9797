"""Random faults against the floor: permits, loans and announcements.

    python -m chicorybridge.tools.simulations.floor_runs \
        --seeds 1 2 3 --minutes 60

Hosts with the real code see targets fail at random while links are cut
one way or both, hosts pause, crash and restart, the store is away or
leaves writes unanswered, and configurations raise the floor or remove
targets. After every tick the slots that are out at any entry, all taken
together, must fit the budget of the configuration in force.
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
FEWEST_TARGETS = 8
MILLIS_PER_MINUTE = 60_000.0
FLOORS = (0.5, 0.6, 0.7, 0.8)
FIRST_FLOOR = 0.7
SENSITIVITY = 0.9
# Chances that something happens in a tick.
CONFIGURE_CHANCE = 0.002
GRAY_CHANCE = 0.02
LOST_CHANCE = 0.002
LOST_SLOTS = (0, 6, 12)
# Chance that a host takes in a configuration in a tick.
SPREAD_CHANCE = 0.25
# Attempts that a host reports of a target in a tick, and how often.
ATTEMPTS = 3
REPORT_CHANCE = 0.3


class FloorRun:
    """One randomised run with one seed."""

    def __init__(self, *, seed: int) -> None:
        """Start all hosts healthy and connected."""
        self.fleet = DetectionFleet(
            hosts=HOSTS,
            declaration=_declare(floor=FIRST_FLOOR, targets=TARGETS),
            seed=seed,
        )
        self.rng = self.fleet.channel.rng
        self.faults = HostFaults(fleet=self.fleet)
        self.gray: set[TargetId] = set()
        self.max_ejected_slots = 0
        self._accepted_budget = self._budget()
        self._is_accepted = True

    def run(self, *, for_ms: float) -> None:
        """Run with faults, checking the floor after each tick."""
        end = self.fleet.now + for_ms
        while self.fleet.now < end:
            self.faults.tick()
            self._change()
            self._spread()
            self._work()
            self.fleet.run(for_ms=TICK_MS)
            self._accept()
            self._check()

    def _budget(self) -> int:
        return budgets_of(self.fleet.declaration)[SERVICE_ID]

    def _happens(self, chance: float) -> bool:
        return self.rng.random() < chance

    def _change(self) -> None:
        """Change the configuration, the targets or what is lost."""
        if self._happens(CONFIGURE_CHANCE) and self._is_accepted:
            self._configure()
        if self._happens(LOST_CHANCE):
            lost = {SERVICE_ID: self.rng.choice(LOST_SLOTS)}
            for host in self.fleet.hosts_by_id.values():
                host.detection.update_unavailable_slots(lost)
        if self._happens(GRAY_CHANCE):
            target_ids = sorted(self.fleet.declaration.targets_by_id)
            self.gray ^= {self.rng.choice(target_ids)}

    def _configure(self) -> None:
        """Declare another floor and other targets."""
        self.fleet.declaration = _declare(
            floor=self.rng.choice(FLOORS),
            targets=self.rng.randint(FEWEST_TARGETS, TARGETS),
        )
        self.fleet.version = Version(self.fleet.version + 1)
        self.gray &= self.fleet.declaration.targets_by_id.keys()
        self._is_accepted = False
        self.faults.unconfigured = set(self.fleet.hosts_by_id)

    def _spread(self) -> None:
        for host_id in sorted(self.faults.unconfigured):
            if host_id in self.fleet.channel.paused:
                continue
            if self._happens(SPREAD_CHANCE):
                self.faults.unconfigured.discard(host_id)
                self.fleet.configure_host(host_id)

    def _work(self) -> None:
        """Let entries report what they saw of the targets in use."""
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

    def _accept(self) -> None:
        """Accept a configuration once every host has settled on it."""
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

    def _check(self) -> None:
        """Add up what is out at any entry of a running host."""
        out: set[TargetId] = set()
        for host_id, host in self.fleet.hosts_by_id.items():
            if host_id not in self.fleet.channel.paused:
                active = host.detection.announcements.active_ejections(
                    now=self.fleet.now
                )
                out |= host.weights.limited | active.keys()
        out &= self.fleet.declaration.targets_by_id.keys()
        slots = SLOTS * len(out)
        allowed = self._accepted_budget
        if not self._is_accepted:
            allowed = max(allowed, self._budget())
        require(
            promise=f'ejections leave the floor: {slots} of {allowed} slots',
            holds=slots <= allowed,
        )
        self.max_ejected_slots = max(self.max_ejected_slots, slots)


def _declare(*, floor: float, targets: int) -> Declaration:
    return declare(
        targets=targets, floor=floor, sensitivity=SENSITIVITY, warm_up_ms=0
    )


def main() -> None:
    """Run the seeds and print what was out at most."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, nargs='+', default=[1])
    parser.add_argument('--minutes', type=float, default=1)
    chosen = parser.parse_args()
    for seed in chosen.seeds:
        floor_run = FloorRun(seed=seed)
        floor_run.run(for_ms=chosen.minutes * MILLIS_PER_MINUTE)
        sys.stdout.write(
            f'seed {seed}: {chosen.minutes} min, at most '
            f'{floor_run.max_ejected_slots} slots out, floor kept\n'
        )
        sys.stdout.flush()


if __name__ == '__main__':
    main()
