"""A limit on the bytes that a process holds for callers and targets.

When the sum exceeds the limit, the holdings whose eviction costs callers least
are evicted first.
"""

import dataclasses
import functools
import math
from collections.abc import Callable
from enum import Enum
from types import MappingProxyType

from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.http import settings

MEGABYTE = 1_000_000


class HeldKind(Enum):
    """What bytes are held for."""

    # A connection from a caller, with the part of a head that has arrived.
    connection = 'connection'
    # A body that is read before its request is sent to a target.
    body = 'body'
    # A request that waits for a target.
    waiting = 'waiting'
    # An answer that is sent to a caller.
    answer = 'answer'
    # A request at a target that still gets its body from its caller.
    upload = 'upload'
    # A request that a target runs.
    running = 'running'
    # A connection to a target, with the part of an answer that has arrived.
    target = 'target'


# Evicted in this order: those that wait for their caller and have stopped,
# those that make progress, and those that wait for the host or a target.
STOPPED_RANKS = MappingProxyType(
    {HeldKind.body: 0, HeldKind.answer: 0, HeldKind.upload: 1}
)
RANKS = MappingProxyType(
    {
        HeldKind.body: 2,
        HeldKind.waiting: 3,
        HeldKind.connection: 4,
        HeldKind.answer: 5,
        HeldKind.upload: 6,
        HeldKind.running: 7,
        HeldKind.target: 8,
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Eviction:
    """A holding that was evicted and what decided it.

    `held_bytes` is the sum before the eviction, `size_bytes` the limit.
    """

    kind: HeldKind
    count: int
    waited_ms: float
    held_bytes: int
    size_bytes: float


def _ignore(_: Eviction) -> None:
    """Ignore an eviction."""


class Holding:
    """Bytes held for one connection or request.

    Times out of its budget: bytes of an evicted or closed one don't count.
    """

    __slots__ = ('kind', 'count', 'progress_at', 'evict', '_budget')

    def __init__(
        self,
        *,
        budget: 'ByteBudget',
        kind: HeldKind,
        evict: Callable[[], bool] | None,
        now: Millis,
    ) -> None:
        """Hold no bytes yet.

        `evict` starts to release them and returns whether it does; `None` if
        that is never possible.
        """
        self.kind = kind
        self.count = 0
        self.progress_at = now
        self.evict = evict
        self._budget: ByteBudget | None = budget

    def set_bytes(self, count: int) -> None:
        """Hold `count` bytes; this may evict this holding or others."""
        budget = self._budget
        if budget is None:
            return
        budget.held_bytes += count - self.count
        self.count = count
        if budget.held_bytes > budget.search_above:
            budget.make_room()

    def touch(self) -> None:
        """Record progress."""
        if self._budget is not None:
            self.progress_at = self._budget.now()

    def close(self) -> None:
        """Hold nothing any more."""
        # The owner refers to this holding: both would stay until a collection.
        self.evict = None
        if self._budget is not None:
            self._budget.forget(self)
            self._budget = None


class ByteBudget:
    """The sum of all holdings of a process and its limit."""

    def __init__(
        self,
        *,
        size_bytes: float,
        clock: Clock,
        on_eviction: Callable[[Eviction], None] = _ignore,
    ) -> None:
        """Start empty; `on_eviction` is called after each eviction."""
        self.size_bytes = size_bytes
        self.held_bytes = 0
        # The sum above which holdings are evicted.
        self.search_above = size_bytes
        self.now = clock.now
        self._on_eviction = on_eviction
        self._holdings: set[Holding] = set()
        self._is_searching = False

    @property
    def has_room_ahead(self) -> bool:
        """Return whether requests may be read ahead of their turn."""
        limit = self.size_bytes * settings.READ_AHEAD_HELD_SHARE
        return self.held_bytes < limit

    def open(
        self, *, kind: HeldKind, evict: Callable[[], bool] | None
    ) -> Holding:
        """Return a new holding without bytes."""
        if self.size_bytes == math.inf:
            return Holding(budget=self, kind=kind, evict=None, now=self.now())
        holding = Holding(budget=self, kind=kind, evict=evict, now=self.now())
        self._holdings.add(holding)
        return holding

    def forget(self, holding: Holding) -> None:
        """Subtract the bytes of a holding that ends."""
        self._holdings.discard(holding)
        self.held_bytes -= holding.count
        if self.held_bytes <= self.size_bytes:
            self.search_above = self.size_bytes

    def make_room(self) -> None:
        """Evict holdings until the sum is below the limit again."""
        if self._is_searching:
            return
        self._is_searching = True
        try:
            self._evict_some()
        finally:
            self._is_searching = False
        self.search_above = self.size_bytes
        if self.held_bytes > self.size_bytes:
            # What remains can't be evicted now.
            step_bytes = self.size_bytes * settings.SEARCH_STEP_SHARE
            self.search_above = self.held_bytes + step_bytes

    def _evict_some(self) -> None:
        now = self.now()
        order = functools.partial(_order, now=now)
        for holding in sorted(self._holdings, key=order):
            if self.held_bytes <= self._enough_for(holding.kind):
                return
            if holding.evict is None or not holding.evict():
                continue
            eviction = Eviction(
                kind=holding.kind,
                count=holding.count,
                waited_ms=now - holding.progress_at,
                held_bytes=self.held_bytes,
                size_bytes=self.size_bytes,
            )
            holding.close()
            self._on_eviction(eviction)

    def _enough_for(self, kind: HeldKind) -> float:
        """Return down to which sum holdings of a kind are evicted.

        Only bodies are evicted ahead of need.
        """
        if kind is HeldKind.body:
            return self.size_bytes * settings.EVICT_DOWN_TO_SHARE
        return self.size_bytes


def budget_bytes(memory_mb: float) -> float:
    """Return the limit for a machine with `memory_mb`, 0 if not known."""
    memory = memory_mb or settings.DEFAULT_MEMORY_MB
    return memory * MEGABYTE * settings.HELD_SHARE


def _order(holding: Holding, now: Millis) -> tuple[int, int, int]:
    """Return the place in the order of eviction."""
    steps = int((now - holding.progress_at) // settings.STOPPED_MS)
    rank = RANKS[holding.kind]
    if steps > 0:
        rank = STOPPED_RANKS.get(holding.kind, rank)
    return rank, -steps, -holding.count


# For processes and tests without a limit.
UNLIMITED = ByteBudget(size_bytes=math.inf, clock=Clock())
