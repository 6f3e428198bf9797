"""What a target stand-in counted, for checks of what really ran."""

import dataclasses
from collections import Counter, deque
from typing import Any

from chicorybridge import settings
from chicorybridge.common.clocks import Clock, Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """What the health and load endpoints tell, at one time."""

    at: Millis
    in_flight: int
    queued: int
    draining: bool


class Tally:
    """Count requests by how they ended, and runs by idempotency key."""

    def __init__(self, *, clock: Clock) -> None:
        """Start at zero."""
        self._clock = clock
        self.counts_by_outcome: Counter[str] = Counter()
        self.runs_by_key: Counter[str] = Counter()
        self.bytes_by_digest: dict[str, int] = {}
        self._knobs_turned_at = clock.now()
        self._work_since_knobs = 0
        self._last_work_at = clock.now()

    def begin(self, *, key: str) -> None:
        """Count the start of a run; an empty key names none."""
        self.counts_by_outcome['started'] += 1
        if key:
            self.runs_by_key[key] += 1

    def arrive(self) -> None:
        """Count a request that is no probe, run or not."""
        self._work_since_knobs += 1
        self._last_work_at = self._clock.now()

    def end(self, outcome: str) -> None:
        """Count how a request ended."""
        self.counts_by_outcome[outcome] += 1

    def turn_knobs(self) -> None:
        """Start to count work anew, as after the onset of a fault."""
        self._knobs_turned_at = self._clock.now()
        self._work_since_knobs = 0

    def document(self) -> dict[str, Any]:
        """Return all counts; `last_work_ms` runs from the last knob."""
        last_work_ms = max(0, self._last_work_at - self._knobs_turned_at)
        return {
            'outcomes': dict(self.counts_by_outcome),
            'runs_by_key': dict(self.runs_by_key),
            'uploads': dict(self.bytes_by_digest),
            'work_since_knobs': self._work_since_knobs,
            'last_work_ms': last_work_ms if self._work_since_knobs else 0,
            'since_knobs_ms': self._clock.now() - self._knobs_turned_at,
        }


class History:
    """Keep snapshots, so that an endpoint can tell old ones."""

    def __init__(self) -> None:
        """Start without snapshots."""
        self._snapshots: deque[Snapshot] = deque(
            maxlen=settings.STANDIN_MAX_SNAPSHOTS
        )

    def add(self, snapshot: Snapshot) -> None:
        """Keep the newest snapshot."""
        self._snapshots.append(snapshot)

    def as_of(self, at: float) -> Snapshot:
        """Return the newest snapshot that is not younger than `at`."""
        found = self._snapshots[0]
        for snapshot in self._snapshots:
            if snapshot.at > at:
                break
            found = snapshot
        return found
