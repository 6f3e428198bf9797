"""When requests of a service would be served, by the queues of the zone."""

import dataclasses
from collections.abc import Mapping

from chicorybridge.common.clocks import Millis
from chicorybridge.routing import settings
from chicorybridge.admission.fleet_requests import FleetRequest
from chicorybridge.admission.queue_reports import Backlog, Urgency


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rejection:
    """Refuse a request now, and what decided it.

    `work_ahead_ms` is the expected work that goes before the request,
    `slots` what the zone uses of the service; `admitted` is the least urgent
    rank that is admitted, `None` if none is.
    """

    retry_after_ms: float
    work_ahead_ms: float
    slots: float
    admitted: Urgency | None
    age_ms: float


class Prospect:
    """When requests of a service would be served, by their urgency."""

    def __init__(self, *, backlog: Backlog, slots: float) -> None:
        """Judge by what waits and arrives and by the slots in use."""
        self.backlog = backlog
        self.slots = max(1, slots)

    @property
    def total_wait_ms(self) -> float:
        """Return the time that the zone needs to start all that waits."""
        return sum(self.backlog.work_ms_by_urgency.values()) / self.slots

    def work_ahead_ms(self, urgency: Urgency) -> float:
        """Return the waiting work that is as urgent or more urgent."""
        return sum(
            work_ms
            for other, work_ms in self.backlog.work_ms_by_urgency.items()
            if other <= urgency
        )

    def wait_ms(self, urgency: Urgency) -> float | None:
        """Return the wait behind what is as urgent or more urgent.

        `None` if more urgent arrivals leave no slot.
        """
        more_urgent = sum(
            arriving
            for other, arriving in self.backlog.arriving_by_urgency.items()
            if other < urgency
        )
        return self._time(self.work_ahead_ms(urgency), more_urgent)

    def admitted_share(self, urgency: Urgency) -> float:
        """Return the share of arriving requests of an urgency to admit.

        It is what more urgent arrivals, and the starts that are kept for less
        urgent ones, leave of the slots.
        """
        arriving_by_urgency = self.backlog.arriving_by_urgency
        arriving = arriving_by_urgency.get(urgency, 0)
        total = sum(arriving_by_urgency.values())
        if not arriving or total <= self.slots:
            return 1
        kept_share = settings.MIN_SERVED_SHARE * self.slots / total
        taken = sum(
            other_arriving if other < urgency else other_arriving * kept_share
            for other, other_arriving in arriving_by_urgency.items()
            if other != urgency
        )
        free = self.slots - taken
        return max(0, min(1, free / arriving))

    def admitted(
        self, allowed_ms_by_urgency: Mapping[Urgency, float]
    ) -> Urgency | None:
        """Return the least urgent rank that is admitted.

        All more urgent ones have a wait that is allowed, too, so that none
        is refused because its requests may wait less long.
        """
        admitted: Urgency | None = None
        for urgency, allowed_ms in sorted(allowed_ms_by_urgency.items()):
            wait_ms = self.wait_ms(urgency)
            if wait_ms is None or wait_ms > allowed_ms:
                break
            admitted = urgency
        return admitted

    def is_served_late(self, request: FleetRequest, *, now: Millis) -> bool:
        """Return whether a request is served before its deadline at least.

        All else that waits and arrives is taken to come first.
        """
        late_ms = self._time(
            sum(self.backlog.work_ms_by_urgency.values()),
            sum(self.backlog.arriving_by_urgency.values()),
        )
        if late_ms is None:
            return False
        return now + late_ms + request.high_work_ms <= request.deadline_at

    def _time(self, work_ms: float, taken_slots: float) -> float | None:
        free_slots = self.slots - taken_slots
        return work_ms / free_slots if free_slots > 0 else None
