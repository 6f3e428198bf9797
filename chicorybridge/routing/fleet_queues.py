"""Admission over the fleet: place a request, let it wait or refuse it.

Each host decides by what waits and arrives in its zone, by service and
urgency, and by the slots that the zone uses. The wait of a request is the
work that goes before it, divided by the slots that more urgent arrivals
leave. A request that can't be served in that way may take one of the starts
that are kept for each rank, so that none starves.
"""

import dataclasses
import random
from collections.abc import Collection, Hashable, Mapping

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import ServiceId
from chicorybridge.routing import settings
from chicorybridge.settings import TICK_MS
from chicorybridge.routing.arrival_rates import DecayingRate, WorkspaceShares
from chicorybridge.routing.queue_reports import (
    Backlog,
    QueueBook,
    QueueReport,
    RankLoad,
    Urgency,
)
from chicorybridge.routing.queues import QueuedRequest

RATE_DIGITS = 3


@dataclasses.dataclass(kw_only=True, eq=False)
class FleetRequest(QueuedRequest):
    """A request that is subject to admission over the fleet.

    `work_ms` is its expected time at a target, `high_work_ms` one that few
    requests of its route exceed. `is_guaranteed` is set if it takes a start
    that is kept for its rank.
    """

    service_id: ServiceId
    urgency: Urgency = (0, 0)
    work_ms: float = 0
    high_work_ms: float = 0
    workspace_id: Hashable = None
    is_guaranteed: bool = False


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
            other_arriving * (1 if other < urgency else kept_share)
            for other, other_arriving in arriving_by_urgency.items()
            if other != urgency
        )
        free = self.slots * settings.ADMITTED_MARGIN - taken
        return max(0, min(1, free / arriving))

    def late_wait_ms(self) -> float | None:
        """Return the wait behind all that waits and arrives."""
        return self._time(
            sum(self.backlog.work_ms_by_urgency.values()),
            sum(self.backlog.arriving_by_urgency.values()),
        )

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

    def _time(self, work_ms: float, taken_slots: float) -> float | None:
        free_slots = self.slots - taken_slots
        return work_ms / free_slots if free_slots > 0 else None


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
        if _is_served_late(request, prospect, now):
            return None
        if self._take_guaranteed(request):
            return None
        return self._rejection(request, prospect)

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
            queue = self._queues_by_id[service_id] = ServiceQueue()
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
            if self._rng.random() < prospect.admitted_share(request.urgency):
                return self._is_fair(request, prospect, now)
        return _is_served_late(request, prospect, now)

    def _is_fair(
        self, request: FleetRequest, prospect: Prospect, now: Millis
    ) -> bool:
        """Return whether the share of its workspace lets a request wait."""
        if request.workspace_id is None:
            return True
        queue = self._queue(request.service_id)
        fairness = queue.workspaces.fairness(request.workspace_id, now=now)
        allowed_ms = queue.ranks[request.urgency].allowed_ms * fairness
        wait_ms = prospect.wait_ms(request.urgency)
        return wait_ms is not None and wait_ms <= allowed_ms

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


def _is_served_late(
    request: FleetRequest, prospect: Prospect, now: Millis
) -> bool:
    """Return whether a request is served before its deadline at least."""
    late_ms = prospect.late_wait_ms()
    if late_ms is None:
        return False
    return now + late_ms + request.high_work_ms <= request.deadline_at


def serving_order(
    requests: Collection[FleetRequest], *, now: Millis
) -> list[FleetRequest]:
    """Return requests in the order in which they are to be served.

    Those with a guaranteed start come first, then the more urgent. Among
    equals those come first that can be in time: in order of arrival, or the
    newest first once one of them has waited long, as serving a long queue in
    order would make all of them late.
    """
    direction = 1
    if any(_has_waited_long(request, now) for request in requests):
        direction = -1
    return sorted(requests, key=lambda request: _order(request, direction, now))


def _has_waited_long(request: FleetRequest, now: Millis) -> bool:
    timeout_ms = request.deadline_at - request.arrived_at
    standing_ms = timeout_ms * settings.FORESEEN_SHARE / 2
    return now - request.arrived_at > standing_ms


def _order(
    request: FleetRequest, direction: int, now: Millis
) -> tuple[bool, Urgency, bool, float]:
    is_late = now + request.work_ms > request.latency_target_at
    due_at: float = request.deadline_at
    if not is_late:
        due_at = direction * request.arrived_at
    return (not request.is_guaranteed, request.urgency, is_late, due_at)
