"""Admission of the requests of a host by the queues of its zone."""

import dataclasses
from collections import deque

from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.identities import RouteId, ServiceId
from chicorybridge.entry.calls import Call
from chicorybridge.entry.refusals import EarlyRefusal, RefusalError
from chicorybridge.hosts.fleet_views import FleetView
from chicorybridge.routing import settings
from chicorybridge.admission.fleet_requests import FleetRequest
from chicorybridge.admission.prospects import Rejection
from chicorybridge.admission.queue_reports import Urgency


def urgency_of(call: Call) -> Urgency:
    """Return the urgency of a call; lower comes first."""
    return (call.rank.first, call.rank.second)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UsedSlots:
    """The slots of a service that the zone used at a time."""

    count: float
    counted_at: Millis


class FleetAdmission:
    """Refuse requests early where the configuration calls for it."""

    def __init__(self, *, clock: Clock, fleet_view: FleetView) -> None:
        """Decide on what `fleet_view` knows."""
        self._clock = clock
        self._fleet_view = fleet_view
        self._queues = fleet_view.zone_sums.inbox.queues
        self._slots_by_id: dict[ServiceId, deque[UsedSlots]] = {}

    @property
    def is_on(self) -> bool:
        """Return whether the active configuration calls for admission."""
        configuration = self._fleet_view.state.configuration
        return configuration is not None and configuration.has_fleet_admission

    def estimate_work(
        self, request: FleetRequest, route_id: RouteId, *, mean_ms: float
    ) -> None:
        """Set the expected work of a request.

        `mean_ms` is the mean of the service, for routes without answers.
        """
        costs = self._fleet_view.zone_sums.inbox.route_costs
        request.work_ms = costs.work_ms(route_id) or mean_ms
        high_work_ms = costs.high_work_ms(route_id)
        request.high_work_ms = high_work_ms or request.work_ms

    def check_arrival(self, request: FleetRequest) -> None:
        """Count a request that arrives; raise if it is to be refused."""
        now = self._clock.now()
        self._queues.arrived(request, now=now)
        if not self._is_informed(now):
            return
        if not self._queues.is_waiting_for(request.service_id, now=now):
            # Counting the slots takes longer than all else here.
            return
        slots = self._used_slots(request.service_id, now)
        rejection = self._queues.decide(request, slots=slots, now=now)
        if rejection is not None:
            raise _refusal(request, rejection)

    def check_waiting(self, request: FleetRequest) -> None:
        """Raise if a waiting request can't be served in time any more."""
        now = self._clock.now()
        if not self._queues.is_waiting(request) or not self._is_informed(now):
            return
        slots = self._used_slots(request.service_id, now)
        rejection = self._queues.reconsider(request, slots=slots, now=now)
        if rejection is not None:
            raise _refusal(request, rejection)

    def add(self, request: FleetRequest) -> None:
        """Add a request that waits."""
        self._queues.add(request)

    def remove(self, request: FleetRequest) -> None:
        """Remove a request that has ceased to wait."""
        self._queues.remove(request, now=self._clock.now())

    def record_start(self, service_id: ServiceId) -> None:
        """Count the start of a request at a target."""
        self._queues.started(service_id, now=self._clock.now())

    def record_attempt(self, attempt: Attempt) -> None:
        """Learn the cost of a route from an answer."""
        if attempt.outcome is AttemptOutcome.answered:
            inbox = self._fleet_view.zone_sums.inbox
            inbox.route_costs.record(
                attempt.route_id,
                work_ms=attempt.elapsed_ms,
                answer_bytes=attempt.received_bytes,
            )

    def _is_informed(self, now: Millis) -> bool:
        """Return whether the queues of the other hosts are known."""
        view = self._fleet_view
        silent_ms = now - view.zone_sums.inbox.heard_at
        return (
            silent_ms <= settings.ZONE_SILENCE_MS
            or not view.host_table.in_zone()
        )

    def _used_slots(self, service_id: ServiceId, now: Millis) -> float:
        """Return the most slots that the zone used of late.

        Fewer are used for moments while hosts wait for sound targets.
        """
        counts = self._slots_by_id.setdefault(service_id, deque())
        if (
            not counts
            or now - counts[-1].counted_at > settings.USED_SLOTS_MAX_AGE_MS
        ):
            count = self._count_slots(service_id)
            counts.append(UsedSlots(count=count, counted_at=now))
        while now - counts[0].counted_at > settings.USED_SLOTS_WINDOW_MS:
            counts.popleft()
        return max(used.count for used in counts)

    def _count_slots(self, service_id: ServiceId) -> float:
        """Return the slots of a service that the zone uses, or its share.

        A zone that has lost slots to another one of its region would
        otherwise refuse more and more, and never get them back.
        """
        view = self._fleet_view
        region_by_zone = view.host_table.regions_by_zone
        region_id = region_by_zone.get(view.host_table.zone_id)
        in_zone = 0
        in_region = 0
        for entry in view.directory.for_service(service_id):
            in_zone += view.workloads.in_zone(entry.target_id)
            if region_by_zone.get(entry.zone_id) == region_id:
                in_region += view.workloads.in_flight(entry.target_id)
        zones = sum(other == region_id for other in region_by_zone.values())
        return max(in_zone, in_region / max(1, zones))


def _refusal(request: FleetRequest, rejection: Rejection) -> RefusalError:
    admitted = rejection.admitted
    return RefusalError(
        code=ErrorCode.overloaded,
        detail='more urgent requests use the room of the service',
        retry_after_ms=rejection.retry_after_ms,
        early=EarlyRefusal(
            service=request.service_id,
            rank='.'.join(map(str, request.urgency)),
            admitted='.'.join(map(str, admitted)) if admitted else 'none',
            work_ahead_ms=round(rejection.work_ahead_ms),
            slots=round(rejection.slots, 1),
            inputs_age_ms=round(rejection.age_ms),
        ),
    )
