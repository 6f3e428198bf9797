"""Return free memory to the system after a crowd of callers has gone."""

import ctypes
import logging
from collections.abc import Callable

from chicorybridge.common.clocks import Clock
from chicorybridge.http import settings
from chicorybridge.http.byte_budgets import ByteBudget

logger = logging.getLogger(__name__)


def _find_trim() -> Callable[[int], int]:
    """Return `malloc_trim` of glibc; other libraries don't have it."""
    try:
        return ctypes.CDLL(None).malloc_trim
    except (AttributeError, OSError):
        logger.info('free memory stays with the process: no malloc_trim')
        return int


class MemoryReturns:
    """Call `malloc_trim` some time after the sum of a budget has fallen.

    The allocator keeps what lies below a block in use, which may be most of
    what a crowd took.
    """

    def __init__(
        self,
        *,
        budget: ByteBudget,
        clock: Clock,
        trim: Callable[[int], int] | None = None,
    ) -> None:
        """Watch `budget`; `trim` stands for `malloc_trim` of the C library."""
        self._budget = budget
        self._clock = clock
        self._trim = trim or _find_trim()
        self._peak_bytes = 0
        self._returned_at = clock.now()

    def return_if_due(self) -> None:
        """Return free memory if much less is held than at the last peak.

        Call this on each tick.
        """
        held_bytes = self._budget.held_bytes
        self._peak_bytes = max(self._peak_bytes, held_bytes)
        if self._peak_bytes - held_bytes < settings.RETURN_AFTER_BYTES:
            return
        now = self._clock.now()
        if now - self._returned_at < settings.RETURN_INTERVAL_MS:
            return
        self._returned_at = now
        self._peak_bytes = held_bytes
        self._trim(0)
