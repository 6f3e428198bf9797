"""Decaying rates of arrivals, and shares of workspaces in them."""

import dataclasses
import math
from collections.abc import Hashable

from chicorybridge.common.clocks import Millis
from chicorybridge.routing import settings


@dataclasses.dataclass(kw_only=True, slots=True)
class DecayingRate:
    """Amount a millisecond, over about `window_ms`."""

    window_ms: float = settings.ARRIVAL_RATE_MS
    rate: float = 0
    updated_at: Millis = Millis(0)

    def add(self, amount: float, *, now: Millis) -> None:
        """Add an amount that arrives now."""
        self.rate = self.at(now) + amount / self.window_ms
        self.updated_at = now

    def at(self, now: Millis) -> float:
        """Return the rate at a time."""
        elapsed_ms = max(0, now - self.updated_at)
        return self.rate * math.exp(-elapsed_ms / self.window_ms)


class WorkspaceShares:
    """Recent requests by workspace on this host."""

    def __init__(self) -> None:
        """Start without requests."""
        self._rates_by_id: dict[Hashable, DecayingRate] = {}
        self._total = _workspace_rate()

    def record(self, workspace_id: Hashable, *, now: Millis) -> None:
        """Count a request; the least recent workspace makes room for it."""
        self._total.add(1, now=now)
        rate = self._rates_by_id.pop(workspace_id, None) or _workspace_rate()
        rate.add(1, now=now)
        self._rates_by_id[workspace_id] = rate
        if len(self._rates_by_id) > settings.MAX_COUNTED_WORKSPACES:
            self._rates_by_id.pop(next(iter(self._rates_by_id)))

    def fairness(self, workspace_id: Hashable, *, now: Millis) -> float:
        """Return the share of a workspace's requests that may be admitted.

        Less than 1 if most of the recent requests of this host are its own.
        """
        rate = self._rates_by_id.get(workspace_id)
        total = self._total.at(now)
        requests = total * settings.WORKSPACE_SHARE_MS
        if rate is None or requests < settings.MIN_WORKSPACE_REQUESTS:
            return 1
        share = rate.at(now) / total
        if share <= settings.MAX_WORKSPACE_SHARE:
            return 1
        return settings.MAX_WORKSPACE_SHARE / share


def _workspace_rate() -> DecayingRate:
    return DecayingRate(window_ms=settings.WORKSPACE_SHARE_MS)
