"""Randomised runs of the real decision code of a fleet under faults.

python -m chicorybridge.tools.simulations.fleetruns --help

A run prints its seed; the same seed gives the same run. At each tick the
promise on
configurations is required, and after all faults are gone the fleet must
agree on the newest version and serve.
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
STEP_MS = (200, 8000)
ISOLATED_MS = (1000, 40_000)
HEAL_MS = 60_000

# Defaults of the command.
SIZE = 12
MINUTES = 60


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunReport:
    """What a run came to."""

    seed: int
    faults: int
    applies: int
    accepted: int
    versions: int


class FleetRun:
    """One fleet, disturbed at random until the time is over."""

    def __init__(self, *, seed: int, size: int) -> None:
        """Start a healthy fleet; all draws come from `seed`."""
        self.fleet = AppliedFleet(size=size, seed=seed)
        self.fleet.operator('rival')
        self._seed = seed
        self._rng = random.Random(seed)
        self._faults = 0
        self._applies = 0
        self._disturbances = FleetFaults(fleet=self.fleet, rng=self._rng)
        self._steps: tuple[Callable[[], None], ...] = (
            self._apply,
            self._apply,
            self._isolate,
            self._isolate,
            *self._disturbances.kinds,
        )

    def run(self, *, minutes: float) -> RunReport:
        """Disturb the fleet, heal it, and require that it agrees."""
        clock = self.fleet.channel.clock
        end = clock.now() + minutes * MILLIS_PER_MINUTE
        while clock.now() < end:
            self._faults += 1
            self._rng.choice(self._steps)()
            self.fleet.run(for_ms=self._rng.uniform(*STEP_MS))
        self._heal()
        return RunReport(
            seed=self._seed,
            faults=self._faults,
            applies=self._applies,
            accepted=self.fleet.accepted,
            versions=self._durable,
        )

    @property
    def _durable(self) -> int:
        tables = self.fleet.channel.store.tables
        return tables.rows_by_key[HEAD_KEY].version

    def _heal(self) -> None:
        self._disturbances.heal()
        self.fleet.run(for_ms=HEAL_MS)
        self.fleet.apply('healed', base=self._durable)
        self.fleet.run(for_ms=HEAL_MS)
        require(
            promise='a healed fleet accepts a version',
            holds=self.fleet.last_progress.stage is ApplyStage.accepted,
        )
        everyone = set(self.fleet.hosts_by_id)
        require(
            promise='a healed fleet serves the newest version',
            holds=self.fleet.serving == everyone
            and set(self.fleet.versions.values()) == {self._durable},
        )

    def _apply(self, *, at: HostId | None = None) -> None:
        self._applies += 1
        base = max(self.fleet.versions.values(), default=0)
        self.fleet.apply(
            f'run-{self._applies}',
            base=base - self._rng.choice((0, 0, 0, 1)),
            at=at or self._rng.choice(sorted(self.fleet.hosts_by_id)),
            sender=self._rng.choice(('operator', 'rival')),
        )

    def _isolate(self) -> None:
        # A group without the store, and an apply among the others.
        others = self._disturbances.isolate()
        self._apply(at=self._rng.choice(others))
        self.fleet.run(for_ms=self._rng.uniform(*ISOLATED_MS))


def main() -> None:
    """Run the seeds asked for and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first-seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--minutes', type=float, default=MINUTES)
    parser.add_argument('--size', type=int, default=SIZE)
    options = parser.parse_args()
    for seed in range(options.first_seed, options.first_seed + options.seeds):
        sys.stdout.write(f'seed {seed}\n')
        sys.stdout.flush()
        run = FleetRun(seed=seed, size=options.size)
        report = run.run(minutes=options.minutes)
        sys.stdout.write(f'{report}\n')


if __name__ == '__main__':
    main()
