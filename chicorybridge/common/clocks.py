"""The clock type of the project: milliseconds, never going back."""

import time
from typing import NewType

# Milliseconds on the clock of one process; comparable only within it.
Millis = NewType('Millis', float)

MILLIS_PER_SECOND = 1000
NANOS_PER_MILLI = 1_000_000

# Counts the time in which the machine was suspended, so that what was
# known before is as old as it really is.
STEADY = time.CLOCK_BOOTTIME


class Clock:
    """Read monotonic time in milliseconds."""

    def now(self) -> Millis:
        """Return the milliseconds since an arbitrary start."""
        return Millis(time.clock_gettime_ns(STEADY) / NANOS_PER_MILLI)

    def wall_time(self) -> Millis:
        """Return wall time, for people only: milliseconds since 1970."""
        return Millis(time.time_ns() / NANOS_PER_MILLI)


class ManualClock(Clock):
    """Stand still until advanced, for tests and simulated runs."""

    def __init__(self, *, start: float = 0) -> None:
        """Start at `start` milliseconds."""
        self._now = Millis(start)

    def now(self) -> Millis:
        """Return the milliseconds set so far."""
        return self._now

    def wall_time(self) -> Millis:
        """Return the same time as `now`."""
        return self._now

    def advance(self, *, by_ms: float) -> Millis:
        """Move on by `by_ms` milliseconds and return the new time."""
        self._now = Millis(self._now + by_ms)
        return self._now


def as_seconds(duration: float) -> float:
    """Convert milliseconds to the seconds that libraries expect."""
    return duration / MILLIS_PER_SECOND
