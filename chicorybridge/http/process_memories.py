"""The memory that a process holds for callers and targets, and its limit."""

from collections.abc import Callable

import curio

from chicorybridge.common import sockets
from chicorybridge.common.clocks import Clock
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.http import settings
from chicorybridge.http.byte_budgets import (
    ByteBudget,
    Eviction,
    HeldKind,
    budget_bytes,
)
from chicorybridge.http.memory_returns import MemoryReturns
from chicorybridge.http.target_connections import TargetConnections


class ProcessMemory:
    """The budget of bytes of a process and its connections to targets."""

    def __init__(
        self,
        *,
        memory_mb: float,
        clock: Clock,
        log: EventLog,
        on_eviction: Callable[[HeldKind], None],
    ) -> None:
        """Derive the budget from the memory of the machine, 0 if unknown.

        `on_eviction` is called with the kind of each holding that is evicted.
        """
        self._is_known = memory_mb > 0
        self._log = log
        self._on_eviction = on_eviction
        self.budget = ByteBudget(
            size_bytes=budget_bytes(memory_mb),
            clock=clock,
            on_eviction=self._report,
        )
        self.connections = TargetConnections(
            clock=clock,
            allow_close_delimited=True,
            budget=self.budget,
            receive_bytes=(
                settings.KERNEL_TARGET_BYTES if self._is_known else 0
            ),
        )
        self._returns = MemoryReturns(budget=self.budget, clock=clock)

    def limit_buffers(self, listener: curio.io.Socket) -> None:
        """Limit the kernel buffers of callers if the memory is known."""
        if self._is_known:
            sockets.limit_buffers(
                listener,
                receive_bytes=settings.KERNEL_RECEIVE_BYTES,
                send_bytes=settings.KERNEL_SEND_BYTES,
            )

    async def tick(self) -> None:
        """Close connections to targets that are stale; return free memory."""
        await self.connections.close_stale()
        self._returns.return_if_due()

    def _report(self, eviction: Eviction) -> None:
        self._on_eviction(eviction.kind)
        facts = {
            'kind': eviction.kind.value,
            'bytes': eviction.count,
            'waited_ms': round(eviction.waited_ms),
            'held_bytes': eviction.held_bytes,
            'limit_bytes': round(eviction.size_bytes),
        }
        self._log.emit(Event(kind=EventKind.memory_short, facts=facts))
