"""Scheduled callbacks on a manual clock."""

import heapq
from collections.abc import Callable

from chicorybridge.common.clocks import ManualClock, Millis

Callback = Callable[[], None]


class Schedule:
    """Run callbacks in order of their times.

    The clock is set to the time of each callback and stops while it runs.
    """

    def __init__(self) -> None:
        """Start at 0 ms without callbacks."""
        self.clock = ManualClock()
        self._callbacks: list[tuple[float, int, Callback]] = []
        self._serial = 0

    @property
    def now(self) -> Millis:
        """Return the time in milliseconds since the start."""
        return self.clock.now()

    def call_later(self, delay_ms: float, callback: Callback) -> None:
        """Run `callback` after `delay_ms`."""
        self._serial += 1
        heapq.heappush(
            self._callbacks, (self.now + delay_ms, self._serial, callback)
        )

    def run(self, *, until: float) -> None:
        """Run all callbacks due by `until`, in milliseconds since the start."""
        while self._callbacks and self._callbacks[0][0] <= until:
            due_at, _, callback = heapq.heappop(self._callbacks)
            self.clock.advance(by_ms=due_at - self.now)
            callback()
        self.clock.advance(by_ms=max(0, until - self.now))
