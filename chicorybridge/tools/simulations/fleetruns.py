"""Randomised simulations of the real decision code of a fleet.

python -m chicorybridge.tools.simulations.fleetruns --help

A run prints its seed; the same seed gives the same run. The promise on
configurations is checked at each tick; after the end of all faults the
fleet must serve and agree on the newest version.
"""

import argparse
import dataclasses
import random
import sys
from collections.abc import Callable

from chicorybridge.common.errors import require
from chicorybridge.common.identities import HostId
from chicorybridge.configuration.heads import HEAD_KEY
from chicorybridge.configuration.versions import ApplyStage
from chicorybridge.tools.simulations.fleetfaults import FleetFaults
from chicorybridge.tools.simulations.fleets import AppliedFleet

MILLIS_PER_MINUTE = 60_000
STEP_DURATION_MS = (200, 8000)
ISOLATION_MS = (1000, 40_000)
HEAL_MS = 60_000

# Defaults of the command.
DEFAULT_SIZE = 12
DEFAULT_MINUTES = 60


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunReport:
    """The counts of a run."""

    seed: int
    faults: int
    applies: int
    accepted: int
    versions: int


class FleetRun:
    """One simulation of a fleet under random faults."""

    def __init__(self, *, seed: int, size: int) -> None:
        """Start a healthy fleet; `seed` determines all random numbers."""
        self.fleet = AppliedFleet(size=size, seed=seed)
        self.fleet.operator('rival')
        self._seed = seed
        self._rng = random.Random(seed)
        self._fault_count = 0
        self._apply_count = 0
        self._fleet_faults = FleetFaults(fleet=self.fleet, rng=self._rng)
        self._steps: tuple[Callable[[], None], ...] = (
            self._apply,
            self._apply,
            self._isolate,
            self._isolate,
            *self._fleet_faults.faults,
        )

    def run(self, *, minutes: float) -> RunReport:
        """Simulate faults, end them, and check that the fleet agrees."""
        clock = self.fleet.channel.clock
        end = clock.now() + minutes * MILLIS_PER_MINUTE
        while clock.now() < end:
            self._fault_count += 1
            self._rng.choice(self._steps)()
            self.fleet.run(for_ms=self._rng.uniform(*STEP_DURATION_MS))
        self._heal()
        return RunReport(
            seed=self._seed,
            faults=self._fault_count,
            applies=self._apply_count,
            accepted=self.fleet.accepted,
            versions=self._durable_version,
        )

    @property
    def _durable_version(self) -> int:
        tables = self.fleet.channel.store.tables
        return tables.rows_by_key[HEAD_KEY].version

    def _heal(self) -> None:
        self._fleet_faults.heal()
        self.fleet.run(for_ms=HEAL_MS)
        self.fleet.apply('healed', base=self._durable_version)
        self.fleet.run(for_ms=HEAL_MS)
        require(
            promise='after all faults the fleet accepts a version',
            holds=self.fleet.last_progress.stage is ApplyStage.accepted,
        )
        all_hosts = set(self.fleet.hosts_by_id)
        require(
            promise='after all faults every host serves the newest version',
            holds=self.fleet.serving == all_hosts
            and set(self.fleet.versions.values()) == {self._durable_version},
        )

    def _apply(self, *, at: HostId | None = None) -> None:
        self._apply_count += 1
        base = max(self.fleet.versions.values(), default=0)
        self.fleet.apply(
            f'run-{self._apply_count}',
            base=base - self._rng.choice((0, 0, 0, 1)),
            at=at or self._rng.choice(sorted(self.fleet.hosts_by_id)),
            sender=self._rng.choice(('operator', 'rival')),
        )

    def _isolate(self) -> None:
        # Part of the hosts lose the others and the store; the others apply.
        others = self._fleet_faults.isolate()
        self._apply(at=self._rng.choice(others))
        self.fleet.run(for_ms=self._rng.uniform(*ISOLATION_MS))


def main() -> None:
    """Simulate the requested seeds and print a report of each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first-seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--minutes', type=float, default=DEFAULT_MINUTES)
    parser.add_argument('--size', type=int, default=DEFAULT_SIZE)
    options = parser.parse_args()
    for seed in range(options.first_seed, options.first_seed + options.seeds):
        sys.stdout.write(f'seed {seed}\n')
        sys.stdout.flush()
        run = FleetRun(seed=seed, size=options.size)
        report = run.run(minutes=options.minutes)
        sys.stdout.write(f'{report}\n')


if __name__ == '__main__':
    main()
