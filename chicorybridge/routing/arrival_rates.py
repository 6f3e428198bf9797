"""Decaying rates of arrivals, and shares of workspaces in them."""

import dataclasses
import math
from collections.abc import Hashable

from chicorybridge.common.clocks import Millis
from chicorybridge.routing import settings


@dataclasses.dataclass(kw_only=True, slots=True)
class DecayingRate:
    """Amount a millisecond, over about `ARRIVAL_RATE_MS`."""

    rate: float = 0
    updated_at: Millis = Millis(0)

    def add(self, amount: float, *, now: Millis) -> None:
        """Add an amount that arrives now."""
        self.rate = self.at(now) + amount / settings.ARRIVAL_RATE_MS
        self.updated_at = now

    def at(self, now: Millis) -> float:
        """Return the rate at a time."""
        elapsed_ms = max(0, now - self.updated_at)
        return self.rate * math.exp(-elapsed_ms / settings.ARRIVAL_RATE_MS)


class WorkspaceShares:
    """Recent requests by workspace on this host."""

    def __init__(self) -> None:
        """Start without requests."""
        self._rates_by_id: dict[Hashable, DecayingRate] = {}
        self._total = DecayingRate()

    def record(self, workspace_id: Hashable, *, now: Millis) -> None:
        """Count a request; the least recent workspace makes room for it."""
        self._total.add(1, now=now)
        rate = self._rates_by_id.pop(workspace_id, None) or DecayingRate()
        rate.add(1, now=now)
        self._rates_by_id[workspace_id] = rate
        if len(self._rates_by_id) > settings.MAX_COUNTED_WORKSPACES:
            self._rates_by_id.pop(next(iter(self._rates_by_id)))

    def fairness(self, workspace_id: Hashable, *, now: Millis) -> float:
        """Return 1, or less for a workspace with far more than its share.

        An equal share is that of each workspace with requests of late.
        """
        rate = self._rates_by_id.get(workspace_id)
        total = self._total.at(now)
        if rate is None or not total or len(self._rates_by_id) < 2:
            return 1
        # Effective number of workspaces with recent requests.
        squares = sum(
            (other.at(now) / total) ** 2 for other in self._rates_by_id.values()
        )
        equal_share = squares if squares else 1
        share = rate.at(now) / total
        if share <= settings.FAIR_SHARE_FACTOR * equal_share:
            return 1
        fairness = settings.FAIR_SHARE_FACTOR * equal_share / share
        return max(settings.MIN_FAIRNESS, fairness)
