"""Common policies of target selection, for comparison in measurements."""

import random
from collections.abc import Collection

from chicorybridge.common.attempts import Attempt
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import ServiceId, TargetId
from chicorybridge.configuration.declarations import Declaration


class RoundRobin:
    """Baseline: select targets in turn, whatever their answers."""

    def __init__(self, declaration: Declaration, *, rng: random.Random) -> None:
        """Start at a random target."""
        self._targets_by_service = declaration.targets_by_service
        self._next_index = rng.randrange(len(declaration.targets_by_id))

    def pick(
        self,
        service_id: ServiceId,
        *,
        excluded: Collection[TargetId] = (),
        now: Millis,
    ) -> TargetId | None:
        """Return the next target."""
        targets = self._targets_by_service[service_id]
        self._next_index += 1
        return targets[self._next_index % len(targets)].target_id

    def started(self, target_id: TargetId, now: Millis) -> None:
        """Ignore the start of an attempt."""

    def finished(self, attempt: Attempt, now: Millis) -> None:
        """Ignore the end of an attempt."""


class LeastInFlight:
    """Baseline: select the target with the fewest attempts in flight.

    Only the attempts of this process count.
    """

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
        """Return a random one of the targets with the fewest in flight."""
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
        """Count an attempt as in flight."""
        self._in_flight_by_target[target_id] += 1

    def finished(self, attempt: Attempt, now: Millis) -> None:
        """Count an attempt as ended."""
        self._in_flight_by_target[attempt.target_id] -= 1
