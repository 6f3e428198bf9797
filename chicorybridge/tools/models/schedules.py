"""Steps on a manual clock, in the order of their times."""

import heapq
from collections.abc import Callable

from chicorybridge.common.clocks import ManualClock, Millis

Step = Callable[[], None]


class Schedule:
    """Run steps at their times; the clock stands still in between."""

    def __init__(self) -> None:
        """Start at 0 ms with nothing to do."""
        self.clock = ManualClock()
        self._steps: list[tuple[float, int, Step]] = []
        self._serial = 0

    @property
    def now(self) -> Millis:
        """Return the time of the step that runs."""
        return self.clock.now()

    def call_later(self, delay_ms: float, step: Step) -> None:
        """Run `step` after `delay_ms`."""
        self._serial += 1
        heapq.heappush(self._steps, (self.now + delay_ms, self._serial, step))

    def run(self, *, until: float) -> None:
        """Run every step that is due up to `until` milliseconds."""
        while self._steps and self._steps[0][0] <= until:
            due, _, step = heapq.heappop(self._steps)
            self.clock.advance(by_ms=due - self.now)
            step()
        self.clock.advance(by_ms=max(0, until - self.now))
