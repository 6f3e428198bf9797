"""How much of the load of a service is let in, least important first.

Two bounds work together. A window bounds the requests that a process has
in flight, so that a burst makes no long queue at the targets. A share of
arrivals is adapted: it falls when attempts meet overload (shed, timed
out, far slower than usual) and rises again slowly. A share needs no count
of hosts, so that the same rule works whatever the size of the fleet.
"""

import dataclasses
import random
import types

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.configuration.declarations import Priority

# Least important first; they give way in this order.
PRIORITIES = (Priority.low, Priority.normal, Priority.high)

# Part of the window that requests of a priority may fill.
WINDOW_SHARES = types.MappingProxyType(
    {
        Priority.low: settings.LOW_PRIORITY_WINDOW_SHARE,
        Priority.normal: settings.NORMAL_PRIORITY_WINDOW_SHARE,
        Priority.high: 1.0,
    }
)


@dataclasses.dataclass(kw_only=True, slots=True)
class Signals:
    """Attempts that ended in an interval.

    `shed` were refused by their target; `slow` timed out or took far
    longer than was usual before any overload.
    """

    attempts: int = 0
    shed: int = 0
    slow: int = 0

    def add(self, other: 'Signals') -> None:
        """Count in what another interval or process saw."""
        self.attempts += other.attempts
        self.shed += other.shed
        self.slow += other.slow

    @property
    def shed_share(self) -> float:
        """Return the share that was shed; a single one is no sign."""
        if self.shed < settings.MIN_OVERLOAD_SHEDS:
            return 0
        return self.shed / self.attempts

    @property
    def slow_share(self) -> float:
        """Return the share that was slow."""
        return self.slow / self.attempts if self.attempts else 0

    @property
    def strain(self) -> float:
        """Return how near the targets are to what they bear; 1 is too near.

        A few slow attempts are the tail of a healthy service or one gray
        target; only a shift of many of them shows queues everywhere.
        """
        shed = self.shed_share / settings.OVERLOAD_SHED_SHARE
        return shed + self.slow_share / settings.OVERLOAD_SLOW_SHARE


class ServiceAdmission:
    """Admit a share of the arrivals of one service."""

    def __init__(self, *, rng: random.Random) -> None:
        """Start by admitting all."""
        self.share: float = 1
        self.window: float = settings.MIN_IN_FLIGHT
        self.in_flight = 0
        self._rng = rng
        self._signals = Signals()
        self._decided_at = Millis(0)
        self._cut_at = Millis(0)
        self._mix_by_priority = dict.fromkeys(PRIORITIES, 1.0)
        self._admitted_by_priority = dict.fromkeys(PRIORITIES, 1.0)

    def admit(self, priority: Priority, *, now: Millis) -> bool:
        """Tell whether an arrival is let in."""
        self._mix_by_priority[priority] += 1
        self._decide(now)
        if self.in_flight >= self.window * WINDOW_SHARES[priority]:
            return False
        if self.share >= 1:
            return True
        return self._rng.random() < self._admitted_by_priority[priority]

    def record(
        self, signals: Signals, *, started_at: Millis, now: Millis
    ) -> None:
        """Count attempts that ended here or at other processes.

        Attempts from before the last cut tell nothing of the load since.
        """
        if started_at >= self._cut_at:
            self._signals.add(signals)
        self._decide(now)

    def _decide(self, now: Millis) -> None:
        elapsed = now - self._decided_at
        if elapsed < settings.MIN_ADMISSION_INTERVAL_MS:
            return
        few = self._signals.attempts < settings.MIN_ADMISSION_ATTEMPTS
        if few and elapsed < settings.MAX_ADMISSION_INTERVAL_MS:
            return
        strain = self._signals.strain
        if strain > 1:
            self._cut(now)
        else:
            rise = self.share * settings.ADMISSION_RISE_SHARE * (1 - strain)
            self.share = min(
                1, self.share + settings.ADMISSION_RISE_STEP + rise
            )
        self._signals = Signals()
        self._decided_at = now
        self._spread()

    def _cut(self, now: Millis) -> None:
        signals = self._signals
        slow = max(0, signals.slow_share - settings.OVERLOAD_SLOW_SHARE)
        # Queues drain only after a while, so latency cuts gently.
        self.share *= (
            1 - settings.ADMISSION_SHED_CUT_FACTOR * signals.shed_share
        )
        self.share *= 1 - settings.ADMISSION_SLOW_CUT_FACTOR * slow
        self.share = max(self.share, settings.MIN_ADMISSION_SHARE)
        self._cut_at = now

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
                arrivals * settings.ADMISSION_MIX_DECAY_FACTOR,
                settings.MIN_ADMISSION_MIX,
            )
