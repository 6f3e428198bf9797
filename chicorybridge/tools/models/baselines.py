"""Plain ways to choose a target, for comparison in measurements."""

import random
from collections.abc import Collection

from chicorybridge.common.attempts import Attempt
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import ServiceId, TargetId
from chicorybridge.configuration.declarations import Declaration


class RoundRobin:
    """Baseline: every target in turn, without a look at the answers."""

    def __init__(self, declaration: Declaration, *, rng: random.Random) -> None:
        """Start at a random place of the turn."""
        self._targets_by_service = declaration.targets_by_service
        self._turn = rng.randrange(len(declaration.targets_by_id))

    def pick(
        self,
        service_id: ServiceId,
        *,
        excluded: Collection[TargetId] = (),
        now: Millis,
    ) -> TargetId | None:
        """Return the next target."""
        targets = self._targets_by_service[service_id]
        self._turn += 1
        return targets[self._turn % len(targets)].target_id

    def started(self, target_id: TargetId, now: Millis) -> None:
        """Keep no count."""

    def finished(self, attempt: Attempt, now: Millis) -> None:
        """Learn nothing."""


class LeastInFlight:
    """Baseline: the target with the least requests of this process."""

    def __init__(self, declaration: Declaration, *, rng: random.Random) -> None:
        """Start with nothing in flight."""
        self._targets_by_service = declaration.targets_by_service
        self._in_flight_by_target = dict.fromkeys(declaration.targets_by_id, 0)
        self._rng = rng

    def pick(
        self,
        service_id: ServiceId,
        *,
        excluded: Collection[TargetId] = (),
        now: Millis,
    ) -> TargetId | None:
        """Return one of the targets with the least in flight."""
        counts = self._in_flight_by_target
        targets = self._targets_by_service[service_id]
        least = min(counts[target.target_id] for target in targets)
        return self._rng.choice(
            [
                target.target_id
                for target in targets
                if counts[target.target_id] == least
            ]
        )

    def started(self, target_id: TargetId, now: Millis) -> None:
        """Count an attempt."""
        self._in_flight_by_target[target_id] += 1

    def finished(self, attempt: Attempt, now: Millis) -> None:
        """Count it off."""
        self._in_flight_by_target[attempt.target_id] -= 1
