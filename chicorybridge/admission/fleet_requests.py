"""Requests that are subject to admission over the fleet."""

import dataclasses
from collections.abc import Collection, Hashable
from typing import TypeVar

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import ServiceId
from chicorybridge.routing import settings
from chicorybridge.admission.queue_reports import Urgency
from chicorybridge.routing.queues import QueuedRequest


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


Waiting = TypeVar('Waiting', bound=FleetRequest)


def serving_order(
    requests: Collection[Waiting], *, now: Millis
) -> list[Waiting]:
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
