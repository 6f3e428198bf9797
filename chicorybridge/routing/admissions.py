"""Admission control per service; low priorities are refused first.

Two limits work together. A window limits the requests that a process has
in flight, so that a burst builds no long queue at the targets. The
admitted share of arrivals is reduced when attempts show overload (shed,
timed out, far slower than usual) and then increases slowly. A share does
not depend on the number of hosts, so that the same rule works for any
fleet size.
"""

import dataclasses
import random
import types

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.configuration.declarations import Priority

# Priorities in the order in which their requests are refused.
PRIORITIES = (Priority.low, Priority.normal, Priority.high)

# Share of the in-flight window that is open to each priority.
WINDOW_SHARES = types.MappingProxyType(
    {
        Priority.low: settings.LOW_PRIORITY_WINDOW_SHARE,
        Priority.normal: settings.NORMAL_PRIORITY_WINDOW_SHARE,
        Priority.high: 1.0,
    }
)


@dataclasses.dataclass(kw_only=True, slots=True)
class Signals:
    """Counts of attempts that ended in an interval.

    `shed` were refused by their target; `slow` timed out or took far
    longer than the baseline latency of their route.
    """

    attempts: int = 0
    shed: int = 0
    slow: int = 0

    def add(self, other: 'Signals') -> None:
        """Add the counts of another interval or process."""
        self.attempts += other.attempts
        self.shed += other.shed
        self.slow += other.slow

    @property
    def shed_share(self) -> float:
        """Return the share that was shed, 0 below `MIN_OVERLOAD_SHEDS`."""
        if self.shed < settings.MIN_OVERLOAD_SHEDS:
            return 0
        return self.shed / self.attempts

    @property
    def slow_share(self) -> float:
        """Return the share that was slow."""
        return self.slow / self.attempts if self.attempts else 0

    @property
    def overload_level(self) -> float:
        """Return the overload of the targets; above 1 they are overloaded.

        Slow attempts count by their share: a small one is the latency tail
        of a healthy service or a single gray target, a large one means
        that requests queue at most targets.
        """
        shed = self.shed_share / settings.OVERLOAD_SHED_SHARE
        return shed + self.slow_share / settings.OVERLOAD_SLOW_SHARE


class ServiceAdmission:
    """Admit a share of the arrivals of one service."""

    def __init__(self, *, rng: random.Random) -> None:
        """Start with all arrivals admitted."""
        self.share: float = 1
        self.window: float = settings.MIN_IN_FLIGHT
        self.in_flight = 0
        self._rng = rng
        self._signals = Signals()
        self._evaluated_at = Millis(0)
        self._reduced_at = Millis(0)
        self._arrivals_by_priority = dict.fromkeys(PRIORITIES, 1.0)
        self._admit_probability_by_priority = dict.fromkeys(PRIORITIES, 1.0)

    def admit(self, priority: Priority, *, now: Millis) -> bool:
        """Return whether an arrival is admitted."""
        self._arrivals_by_priority[priority] += 1
        self._evaluate(now)
        if self.in_flight >= self.window * WINDOW_SHARES[priority]:
            return False
        if self.share >= 1:
            return True
        return (
            self._rng.random() < self._admit_probability_by_priority[priority]
        )

    def record(
        self, signals: Signals, *, started_at: Millis, now: Millis
    ) -> None:
        """Count attempts that ended here or at other processes.

        Attempts that started before the last reduction are ignored: they
        do not show the load since then.
        """
        if started_at >= self._reduced_at:
            self._signals.add(signals)
        self._evaluate(now)

    def _evaluate(self, now: Millis) -> None:
        elapsed = now - self._evaluated_at
        if elapsed < settings.MIN_ADMISSION_INTERVAL_MS:
            return
        has_few_signals = (
            self._signals.attempts < settings.MIN_ADMISSION_ATTEMPTS
        )
        if has_few_signals and elapsed < settings.MAX_ADMISSION_INTERVAL_MS:
            return
        overload_level = self._signals.overload_level
        if overload_level > 1:
            self._reduce(now)
        else:
            rise = (
                self.share
                * settings.ADMISSION_RISE_SHARE
                * (1 - overload_level)
            )
            self.share = min(
                1, self.share + settings.ADMISSION_RISE_STEP + rise
            )
        self._signals = Signals()
        self._evaluated_at = now
        self._distribute_refusals()

    def _reduce(self, now: Millis) -> None:
        signals = self._signals
        slow = max(0, signals.slow_share - settings.OVERLOAD_SLOW_SHARE)
        # Slow attempts reduce the share less than shed ones: queues at targets
        # drain only some time after the load was reduced.
        self.share *= (
            1 - settings.ADMISSION_SHED_CUT_FACTOR * signals.shed_share
        )
        self.share *= 1 - settings.ADMISSION_SLOW_CUT_FACTOR * slow
        self.share = max(self.share, settings.MIN_ADMISSION_SHARE)
        self._reduced_at = now

    def _distribute_refusals(self) -> None:
        """Assign the refused share to the lowest priorities first."""
        total = sum(self._arrivals_by_priority.values())
        refused = (1 - self.share) * total
        for priority in PRIORITIES:
            arrivals = self._arrivals_by_priority[priority]
            refused_here = min(arrivals, refused)
            refused -= refused_here
            self._admit_probability_by_priority[priority] = (
                1 - refused_here / arrivals
            )
            self._arrivals_by_priority[priority] = max(
                arrivals * settings.ARRIVALS_DECAY_FACTOR,
                settings.MIN_ARRIVALS,
            )
