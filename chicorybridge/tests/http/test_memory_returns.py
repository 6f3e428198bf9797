"""When free memory is returned to the system."""

from chicorybridge.common.clocks import ManualClock
from chicorybridge.http.memory_returns import MemoryReturns
from chicorybridge.http.byte_budgets import ByteBudget, HeldKind
from chicorybridge.http.settings import RETURN_AFTER_BYTES, RETURN_INTERVAL_MS


class Machine:
    """A budget with one holding and the calls of the allocator."""

    def __init__(self) -> None:
        """Start with nothing held."""
        self.clock = ManualClock()
        self.calls: list[int] = []
        budget = ByteBudget(size_bytes=10**9, clock=self.clock)
        self.holding = budget.open(kind=HeldKind.body, evict=None)
        self.returns = MemoryReturns(
            budget=budget, clock=self.clock, trim=self._trim
        )

    def tick(self, held_bytes: int, *, after_ms: float = 0) -> None:
        """Hold other bytes, and call what is due after a time."""
        self.holding.set_bytes(held_bytes)
        self.clock.advance(by_ms=after_ms)
        self.returns.return_if_due()

    def _trim(self, left_bytes: int) -> int:
        self.calls.append(left_bytes)
        return 1


def test_memory_is_returned_once_a_crowd_has_gone():
    """Memory stayed at its peak for the rest of the life of a process."""
    machine = Machine()
    machine.tick(2 * RETURN_AFTER_BYTES)
    machine.tick(0, after_ms=RETURN_INTERVAL_MS)
    assert len(machine.calls) == 1
    machine.tick(0, after_ms=RETURN_INTERVAL_MS)
    assert len(machine.calls) == 1


def test_small_changes_return_nothing():
    machine = Machine()
    for held_bytes in (RETURN_AFTER_BYTES - 1, 0):
        machine.tick(held_bytes, after_ms=RETURN_INTERVAL_MS)
    assert not machine.calls


def test_memory_is_returned_at_most_once_in_an_interval():
    machine = Machine()
    for _ in range(3):
        machine.tick(2 * RETURN_AFTER_BYTES, after_ms=RETURN_INTERVAL_MS / 4)
        machine.tick(0, after_ms=RETURN_INTERVAL_MS / 4)
    assert len(machine.calls) == 1
