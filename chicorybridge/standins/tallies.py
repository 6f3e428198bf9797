"""Counts of a target stand-in, to check which requests really ran."""

import dataclasses
from collections import Counter, deque
from typing import Any

from chicorybridge import settings
from chicorybridge.common.clocks import Clock, Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """The state behind the health and load endpoints at one time."""

    at: Millis
    in_flight: int
    queued: int
    draining: bool


class Tally:
    """Count requests by outcome, and runs by idempotency key."""

    def __init__(self, *, clock: Clock) -> None:
        """Start at zero."""
        self._clock = clock
        self.counts_by_outcome: Counter[str] = Counter()
        self.runs_by_key: Counter[str] = Counter()
        self.bytes_by_digest: dict[str, int] = {}
        self._knobs_changed_at = clock.now()
        self._arrivals_since_knobs_changed = 0
        self._last_arrival_at = clock.now()

    def record_start(self, *, key: str) -> None:
        """Count the start of a run; `key` is empty if the request has none."""
        self.counts_by_outcome['started'] += 1
        if key:
            self.runs_by_key[key] += 1

    def record_arrival(self) -> None:
        """Count a request other than a probe, whether or not it runs."""
        self._arrivals_since_knobs_changed += 1
        self._last_arrival_at = self._clock.now()

    def record_end(self, outcome: str) -> None:
        """Count the outcome of a request."""
        self.counts_by_outcome[outcome] += 1

    def reset_arrivals(self) -> None:
        """Restart the count of requests other than probes at a knob change."""
        self._knobs_changed_at = self._clock.now()
        self._arrivals_since_knobs_changed = 0

    def document(self) -> dict[str, Any]:
        """Return all counts as JSON values.

        `last_work_ms` is the time from the last change of the knobs to
        the last request; 0 without one.
        """
        last_work_ms = max(0, self._last_arrival_at - self._knobs_changed_at)
        return {
            'outcomes': dict(self.counts_by_outcome),
            'runs_by_key': dict(self.runs_by_key),
            'uploads': dict(self.bytes_by_digest),
            'work_since_knobs': self._arrivals_since_knobs_changed,
            'last_work_ms': last_work_ms
            if self._arrivals_since_knobs_changed
            else 0,
            'since_knobs_ms': self._clock.now() - self._knobs_changed_at,
        }


class SnapshotHistory:
    """Keep recent snapshots, so that endpoints can return old state."""

    def __init__(self) -> None:
        """Start without snapshots."""
        self._snapshots: deque[Snapshot] = deque(
            maxlen=settings.STANDIN_MAX_SNAPSHOTS
        )

    def add(self, snapshot: Snapshot) -> None:
        """Add a snapshot; the oldest is dropped at the limit."""
        self._snapshots.append(snapshot)

    def as_of(self, at: float) -> Snapshot:
        """Return the newest snapshot from `at` or earlier.

        If there is none, return the oldest snapshot.
        """
        newest = self._snapshots[0]
        for snapshot in self._snapshots:
            if snapshot.at > at:
                break
            newest = snapshot
        return newest
