"""What waits and arrives for one service on this host."""

import dataclasses
from collections.abc import Mapping

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import ServiceId
from chicorybridge.routing import settings
from chicorybridge.admission.arrival_rates import DecayingRate, WorkspaceShares
from chicorybridge.admission.fleet_requests import FleetRequest
from chicorybridge.admission.queue_reports import RankLoad, Urgency

RATE_DIGITS = 3


@dataclasses.dataclass(kw_only=True, slots=True)
class Rank:
    """Requests of one urgency on this host: their rate and limits of time.

    `kept_starts` are the starts that are kept for it and not used so far.
    `target_ms` and `work_ms` are of the last request.
    """

    kept_starts: float
    rate: DecayingRate = dataclasses.field(default_factory=DecayingRate)
    target_ms: float = 0
    work_ms: float = 0

    @property
    def allowed_ms(self) -> float:
        """Return how long a request that arrives may expect to wait."""
        left_ms = self.target_ms - self.work_ms
        return left_ms * settings.TIMELY_WAIT_SHARE


@dataclasses.dataclass(kw_only=True)
class ServiceQueue:
    """What waits and arrives for one service on this host."""

    waiting: dict[int, FleetRequest] = dataclasses.field(default_factory=dict)
    ranks: dict[Urgency, Rank] = dataclasses.field(default_factory=dict)
    workspaces: WorkspaceShares = dataclasses.field(
        default_factory=WorkspaceShares
    )
    waited_at: Millis = Millis(0)

    def loads(self, service_id: ServiceId, now: Millis) -> list[RankLoad]:
        """Return the loads of this host by urgency."""
        waiting_by_urgency: dict[Urgency, list[float]] = {}
        for request in self.waiting.values():
            works = waiting_by_urgency.setdefault(request.urgency, [])
            works.append(request.work_ms)
        return [
            RankLoad(
                service_id=service_id,
                urgency=urgency,
                waiting=len(waiting_by_urgency.get(urgency, ())),
                work_ms=round(sum(waiting_by_urgency.get(urgency, ())), 1),
                arriving=round(rank.rate.at(now), RATE_DIGITS),
            )
            for urgency, rank in self.ranks.items()
        ]

    def allowed_ms_by_urgency(self) -> Mapping[Urgency, float]:
        """Return how long requests may expect to wait, by urgency."""
        return {
            urgency: rank.allowed_ms for urgency, rank in self.ranks.items()
        }

    def is_reported(self, now: Millis) -> bool:
        """Return whether something waits or has just ceased to."""
        if self.waiting:
            self.waited_at = now
        return now - self.waited_at <= settings.QUEUE_REPORT_LINGER_MS
