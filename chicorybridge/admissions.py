"""How much of the load of a service is let in, least important first.

Each process adapts one number per service: the share of arrivals that it
admits. It falls when attempts meet overload (shed, timed out, far slower
than usual) and rises again slowly. A share of arrivals needs no count of
hosts, so that the same rule works whatever the size of the fleet.
"""

import dataclasses
import random

from chicorybridge import settings
from chicorybridge.clocks import Millis
from chicorybridge.declarations import Priority

# Least important first; they give way in this order.
PRIORITIES = (Priority.low, Priority.normal, Priority.high)


@dataclasses.dataclass(kw_only=True, slots=True)
class Signals:
    """Attempts that ended in an interval, and those that met overload."""

    attempts: int = 0
    overloaded: int = 0

    @property
    def overload(self) -> float:
        """Return the share of attempts that met overload."""
        return self.overloaded / self.attempts if self.attempts else 0


class ServiceAdmission:
    """Admit a share of the arrivals of one service."""

    def __init__(self, *, rng: random.Random) -> None:
        """Start by admitting all."""
        self.share: float = 1
        self._rng = rng
        self._signals = Signals()
        self._decided_at = Millis(0)
        self._mix_by_priority = dict.fromkeys(PRIORITIES, 1.0)
        self._admitted_by_priority = dict.fromkeys(PRIORITIES, 1.0)

    def admit(self, priority: Priority, *, now: Millis) -> bool:
        """Tell whether an arrival is let in."""
        self._mix_by_priority[priority] += 1
        self._decide(now)
        if self.share >= 1:
            return True
        return self._rng.random() < self._admitted_by_priority[priority]

    def record(self, *, overloaded: bool, now: Millis) -> None:
        """Count an attempt that ended."""
        self.merge(Signals(attempts=1, overloaded=int(overloaded)), now=now)

    def merge(self, signals: Signals, *, now: Millis) -> None:
        """Count attempts that ended here or at other processes."""
        self._signals.attempts += signals.attempts
        self._signals.overloaded += signals.overloaded
        self._decide(now)

    def _decide(self, now: Millis) -> None:
        elapsed = now - self._decided_at
        if elapsed < settings.ADMISSION_INTERVAL_MS:
            return
        few = self._signals.attempts < settings.ADMISSION_LEAST_SIGNALS
        if few and elapsed < settings.ADMISSION_PATIENCE_MS:
            return
        overload = self._signals.overload
        if overload > settings.OVERLOAD_SHARE:
            self.share *= 1 - settings.ADMISSION_CUT * overload
            self.share = max(self.share, settings.ADMISSION_LEAST_SHARE)
        else:
            self.share = min(1, self.share + settings.ADMISSION_STEP)
        self._signals = Signals()
        self._decided_at = now
        self._spread()

    def _spread(self) -> None:
        """Take what is refused from the least important arrivals."""
        total = sum(self._mix_by_priority.values())
        refused = (1 - self.share) * total
        for priority in PRIORITIES:
            arrivals = self._mix_by_priority[priority]
            taken = min(arrivals, refused)
            refused -= taken
            self._admitted_by_priority[priority] = 1 - taken / arrivals
            self._mix_by_priority[priority] = max(
                arrivals * settings.ADMISSION_MIX_KEPT,
                settings.ADMISSION_MIX_LEAST,
            )
