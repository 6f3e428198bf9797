"""Costs of requests by route, learnt from the answers to this host."""

import dataclasses
from collections.abc import Iterable

from chicorybridge.common.identities import RouteId
from chicorybridge.routing import settings


@dataclasses.dataclass(kw_only=True, slots=True)
class RouteCost:
    """Decaying means of the work and the answer size of a route.

    `high_work_ms` is an estimate of the quantile `ROUTE_WORK_QUANTILE`.
    """

    work_count: int = 0
    work_ms: float = 0
    high_work_ms: float = 0
    answer_count: int = 0
    answer_bytes: float = 0

    def record_work(self, work_ms: float) -> None:
        """Add the time that a target took for one request."""
        if not self.work_count:
            self.high_work_ms = work_ms
        self.work_count = min(self.work_count + 1, settings.ROUTE_COST_SAMPLES)
        self.work_ms += (work_ms - self.work_ms) / self.work_count
        # Rises and falls balance where the quantile lies.
        share = settings.ROUTE_WORK_QUANTILE
        step_ms = settings.ROUTE_QUANTILE_STEP * self.work_ms
        if work_ms > self.high_work_ms:
            self.high_work_ms += step_ms * share
        else:
            self.high_work_ms -= step_ms * (1 - share)
        self.high_work_ms = max(self.high_work_ms, self.work_ms)

    def record_answer(self, answer_bytes: float) -> None:
        """Add the size of one answer."""
        self.answer_count = min(
            self.answer_count + 1, settings.ROUTE_COST_SAMPLES
        )
        self.answer_bytes += (
            answer_bytes - self.answer_bytes
        ) / self.answer_count


class RouteCosts:
    """The costs of all routes on which this host has had answers."""

    def __init__(self) -> None:
        """Start without answers."""
        self._costs_by_id: dict[RouteId, RouteCost] = {}

    def record(
        self,
        route_id: RouteId,
        *,
        work_ms: float | None = None,
        answer_bytes: float | None = None,
    ) -> None:
        """Add the time at a target, the size of an answer, or both."""
        cost = self._costs_by_id.setdefault(route_id, RouteCost())
        if work_ms is not None:
            cost.record_work(max(0, work_ms))
        if answer_bytes is not None:
            cost.record_answer(max(0, answer_bytes))

    def work_ms(self, route_id: RouteId) -> float | None:
        """Return the mean time at targets, `None` if it is not known."""
        cost = self._costs_by_id.get(route_id)
        if cost is None or not cost.work_count:
            return None
        return cost.work_ms

    def high_work_ms(self, route_id: RouteId) -> float | None:
        """Return the time that few answers exceed, `None` if not known."""
        cost = self._costs_by_id.get(route_id)
        if cost is None or not cost.work_count:
            return None
        return cost.high_work_ms

    def answer_bytes(self, route_id: RouteId) -> float | None:
        """Return the mean size of answers, `None` if it is not known."""
        cost = self._costs_by_id.get(route_id)
        if cost is None or not cost.answer_count:
            return None
        return cost.answer_bytes

    def keep(self, route_ids: Iterable[RouteId]) -> None:
        """Forget the routes that are not in `route_ids`."""
        kept = frozenset(route_ids)
        self._costs_by_id = {
            route_id: cost
            for route_id, cost in self._costs_by_id.items()
            if route_id in kept
        }
