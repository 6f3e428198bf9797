"""The share of recent attempts of a service that failed, over all hosts."""

import dataclasses
import math

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import ServiceId
from chicorybridge.routing.reputations import Sign
from chicorybridge.routing.settings import FAILURE_SHARE_MS

# Other results don't tell whether a request was served: it may be retried.
FAILED_SIGNS = frozenset((Sign.failed, Sign.broke))


@dataclasses.dataclass(kw_only=True, slots=True)
class DecayingCounts:
    """Counts of results that decay with time."""

    failed: float = 0
    answered: float = 0
    counted_at: Millis = Millis(0)

    def decay(self, *, now: Millis) -> None:
        """Reduce the counts by the time since the last call."""
        elapsed_ms = max(0, now - self.counted_at)
        left_share = math.exp(-elapsed_ms / FAILURE_SHARE_MS)
        self.failed *= left_share
        self.answered *= left_share
        self.counted_at = now


class FailureShares:
    """Count the results that this host knows, its own and reported ones."""

    def __init__(self) -> None:
        """Start without results."""
        self._counts_by_id: dict[ServiceId, DecayingCounts] = {}

    def record(self, service_id: ServiceId, sign: Sign, *, now: Millis) -> None:
        """Count the result of an attempt."""
        counts = self._counts_by_id.setdefault(service_id, DecayingCounts())
        if sign is Sign.answered:
            counts.decay(now=now)
            counts.answered += 1
        elif sign in FAILED_SIGNS:
            counts.decay(now=now)
            counts.failed += 1

    def of(self, service_id: ServiceId) -> float:
        """Return the share of failures, 0 without results."""
        counts = self._counts_by_id.get(service_id)
        if counts is None or not counts.failed:
            return 0
        return counts.failed / (counts.failed + counts.answered)
