"""Monotonic clocks that count milliseconds."""

import time
from typing import Any, NewType

# Milliseconds on the clock of one process; comparable only within it.
Millis = NewType('Millis', float)

MILLIS_PER_SECOND = 1000
NANOS_PER_MILLI = 1_000_000

# Includes the time in which the machine was suspended, so that data from
# before a suspension have their real age.
MONOTONIC_CLOCK_ID = time.CLOCK_BOOTTIME


class Clock:
    """Read monotonic time in milliseconds."""

    def now(self) -> Millis:
        """Return the milliseconds since an arbitrary point in time."""
        now_ms: Any = (
            time.clock_gettime_ns(MONOTONIC_CLOCK_ID) / NANOS_PER_MILLI
        )
        # Without a call of `Millis`, which takes longer than the division.
        return now_ms

    def wall_time(self) -> Millis:
        """Return the wall time in milliseconds since 1970, for display only."""
        return Millis(time.time_ns() / NANOS_PER_MILLI)


class ManualClock(Clock):
    """A clock that stands still until advanced, for tests and simulations."""

    def __init__(self, *, start: float = 0) -> None:
        """Start the clock at `start` milliseconds."""
        self._now = Millis(start)

    def now(self) -> Millis:
        """Return the current time in milliseconds."""
        return self._now

    def wall_time(self) -> Millis:
        """Return the same time as `now`."""
        return self._now

    def advance(self, *, by_ms: float) -> Millis:
        """Advance the clock by `by_ms` milliseconds and return the new time."""
        self._now = Millis(self._now + by_ms)
        return self._now


def as_seconds(duration: float) -> float:
    """Convert milliseconds to seconds."""
    return duration / MILLIS_PER_SECOND
