"""Links of modelled hosts, and what they send in the busiest second."""

import dataclasses
import math
from collections import Counter
from typing import Any, cast

from chicorybridge.common.clocks import MILLIS_PER_SECOND, Millis

BYTES_PER_MS_AND_MBPS = 125
BIN_MS = 100
BINS_PER_SECOND = round(MILLIS_PER_SECOND / BIN_MS)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Links:
    """What the link of each host carries, and that to the store, in Mbit/s."""

    host_mbps: float = math.inf
    store_mbps: float = math.inf


class Link:
    """A link that carries one answer after the other."""

    def __init__(self, *, mbps: float) -> None:
        """Start idle."""
        self._mbps = mbps
        self._free_at: float = 0

    def backlog_ms(self, *, now: Millis) -> float:
        """Return after how many ms the link is idle."""
        return max(0, self._free_at - now)

    def carry(self, size: int, *, now: Millis) -> float:
        """Send `size` bytes; return after how many ms the last one arrives."""
        bytes_per_ms = self._mbps * BYTES_PER_MS_AND_MBPS
        self._free_at = max(self._free_at, now) + size / bytes_per_ms
        return self._free_at - now


class Rates:
    """Amounts by key in the busiest second."""

    def __init__(self) -> None:
        """Start at nothing."""
        self._bins_by_key: dict[Any, Counter[int]] = {}

    def add(self, key: Any, amount: float, *, now: Millis) -> None:
        """Count `amount` at `now`."""
        bins = self._bins_by_key.setdefault(key, Counter())
        bins[round(now // BIN_MS)] += cast(int, amount)

    def most_at_once(self) -> float:
        """Return the most of a key in `BIN_MS`."""
        return max(
            (max(bins.values()) for bins in self._bins_by_key.values()),
            default=0,
        )

    def peak(self, *, seconds: int = 1) -> float:
        """Return the most of a key in so many seconds."""
        bins_counted = seconds * BINS_PER_SECOND
        return max(
            (
                sum(bins[first + step] for step in range(bins_counted))
                for bins in self._bins_by_key.values()
                for first in tuple(bins)
            ),
            default=0,
        )


UNLIMITED = Links()
