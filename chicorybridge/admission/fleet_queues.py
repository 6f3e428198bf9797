"""Admission over the fleet: place a request, let it wait or refuse it.

Each host decides by what waits and arrives in its zone, by service and
urgency, and by the slots that the zone uses. The wait of a request is the
work that goes before it, divided by the slots that more urgent arrivals
leave. A request that can't be served in that way may take one of the starts
that are kept for each rank, so that none starves.
"""

import random

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import ServiceId
from chicorybridge.routing import settings
from chicorybridge.admission.fleet_requests import FleetRequest
from chicorybridge.admission.prospects import Prospect, Rejection
from chicorybridge.admission.queue_reports import QueueBook, QueueReport
from chicorybridge.admission.service_queues import Rank, ServiceQueue
from chicorybridge.settings import TICK_MS


class FleetQueues:
    """Decide on the requests of this host by the queues of its zone."""

    def __init__(self, *, book: QueueBook, rng: random.Random) -> None:
        """Use the reports in `book`."""
        self.book = book
        self._rng = rng
        self._queues_by_id: dict[ServiceId, ServiceQueue] = {}

    def arrived(self, request: FleetRequest, *, now: Millis) -> None:
        """Count a request that arrives, before the decision on it."""
        queue = self._queue(request.service_id)
        rank = queue.ranks.get(request.urgency)
        if rank is None:
            # Random, so that hosts with few requests round differently.
            rank = Rank(kept_starts=self._rng.random())
            queue.ranks[request.urgency] = rank
        rank.rate.add(request.work_ms, now=now)
        rank.target_ms = request.latency_target_at - request.arrived_at
        rank.work_ms = request.work_ms
        if request.workspace_id is not None:
            queue.workspaces.record(request.workspace_id, now=now)

    def is_waiting_for(self, service_id: ServiceId, *, now: Millis) -> bool:
        """Return whether a request waits for a service, on any known host."""
        if self._queue(service_id).waiting:
            return True
        backlog = self.book.others(service_id, now=now)
        return any(backlog.work_ms_by_urgency.values())

    def decide(
        self, request: FleetRequest, *, slots: float, now: Millis
    ) -> Rejection | None:
        """Return the rejection of a request that arrives, `None` to admit it.

        `slots` is the number of slots of the service that the zone uses. A
        request that was admitted is placed at once if a target has room, and
        waits otherwise.
        """
        prospect = self._prospect(request.service_id, slots, now)
        if self._is_admitted(request, prospect, now):
            # Kept starts only make up for what a rank lacks.
            rank = self._queue(request.service_id).ranks[request.urgency]
            rank.kept_starts = max(0, rank.kept_starts - 1)
            return None
        if self._take_guaranteed(request):
            return None
        return self._rejection(request, prospect)

    def reconsider(
        self, request: FleetRequest, *, slots: float, now: Millis
    ) -> Rejection | None:
        """Return the rejection of a waiting request that has become hopeless.

        It is one that waited for a tenth of its deadline and that wouldn't be
        served before it if all else that waits and arrives came first.
        """
        if request.is_guaranteed:
            return None
        timeout_ms = request.deadline_at - request.arrived_at
        foreseen_ms = timeout_ms * settings.FORESEEN_SHARE - TICK_MS
        if now - request.arrived_at < foreseen_ms:
            return None
        prospect = self._prospect(request.service_id, slots, now)
        if self._is_short_wait(request.service_id, prospect):
            return None
        if prospect.is_served_late(request, now=now):
            return None
        if self._take_guaranteed(request):
            return None
        return self._rejection(request, prospect)

    def is_waiting(self, request: FleetRequest) -> bool:
        """Return whether a request was added and not removed."""
        return id(request) in self._queue(request.service_id).waiting

    def add(self, request: FleetRequest) -> None:
        """Add a request that waits."""
        queue = self._queue(request.service_id)
        queue.waiting[id(request)] = request

    def remove(self, request: FleetRequest, *, now: Millis) -> None:
        """Remove a request that does not wait any more."""
        queue = self._queue(request.service_id)
        if queue.waiting.pop(id(request), None) is not None:
            queue.waited_at = now

    def started(self, service_id: ServiceId, *, now: Millis) -> None:
        """Count a start of a request, of which each rank gets its share."""
        queue = self._queue(service_id)
        total = sum(rank.rate.at(now) for rank in queue.ranks.values())
        if not total or not queue.is_reported(now):
            return
        for rank in queue.ranks.values():
            share = rank.rate.at(now) / total
            rank.kept_starts = min(
                settings.MAX_GUARANTEED_STARTS,
                rank.kept_starts + settings.MIN_SERVED_SHARE * share,
            )

    def report(self, *, now: Millis) -> QueueReport | None:
        """Return the report of this host, `None` if nothing waits of late."""
        loads = [
            load
            for service_id, queue in self._queues_by_id.items()
            if queue.is_reported(now)
            for load in queue.loads(service_id, now)
        ]
        if not loads:
            return None
        return QueueReport(sent_at=now, loads=tuple(loads))

    def _queue(self, service_id: ServiceId) -> ServiceQueue:
        queue = self._queues_by_id.get(service_id)
        if queue is None:
            queue = ServiceQueue()
            self._queues_by_id[service_id] = queue
        return queue

    def _prospect(
        self, service_id: ServiceId, slots: float, now: Millis
    ) -> Prospect:
        backlog = self.book.others(service_id, now=now)
        for load in self._queue(service_id).loads(service_id, now):
            backlog.add(load)
        return Prospect(backlog=backlog, slots=slots)

    def _is_short_wait(self, service_id: ServiceId, prospect: Prospect) -> bool:
        """Return whether the zone starts all that waits in a short time."""
        target_ms = min(
            rank.target_ms for rank in self._queue(service_id).ranks.values()
        )
        return prospect.total_wait_ms <= target_ms * settings.SHORT_WAIT_SHARE

    def _is_admitted(
        self, request: FleetRequest, prospect: Prospect, now: Millis
    ) -> bool:
        queue = self._queue(request.service_id)
        if self._is_short_wait(request.service_id, prospect):
            return True
        admitted = prospect.admitted(queue.allowed_ms_by_urgency())
        if admitted is not None and request.urgency <= admitted:
            share = prospect.admitted_share(request.urgency)
            share *= queue.workspaces.fairness(request.workspace_id, now=now)
            if self._rng.random() < share:
                return True
        return prospect.is_served_late(request, now=now)

    def _take_guaranteed(self, request: FleetRequest) -> bool:
        """Take a start that is kept for the rank of a request, if any is."""
        rank = self._queue(request.service_id).ranks[request.urgency]
        if rank.kept_starts < 1:
            return False
        rank.kept_starts -= 1
        request.is_guaranteed = True
        return True

    def _rejection(
        self, request: FleetRequest, prospect: Prospect
    ) -> Rejection:
        queue = self._queue(request.service_id)
        backlog_ms = min(
            settings.MAX_BACKLOG_RETRY_MS,
            max(settings.MIN_BACKLOG_RETRY_MS, prospect.total_wait_ms),
        )
        return Rejection(
            retry_after_ms=backlog_ms * (1 + self._rng.random()),
            work_ahead_ms=prospect.work_ahead_ms(request.urgency),
            slots=prospect.slots,
            admitted=prospect.admitted(queue.allowed_ms_by_urgency()),
            age_ms=prospect.backlog.age_ms,
        )
