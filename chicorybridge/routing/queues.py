"""Requests that wait on a host until a target has free capacity."""

import dataclasses
import random
from collections.abc import Iterator
from typing import Generic, TypeVar

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.routing.ranks import Rank


@dataclasses.dataclass(kw_only=True, eq=False)
class QueuedRequest:
    """A waiting request.

    `latency_target_at` is when the target latency of its route ends,
    `deadline_at` when its final answer is due. Lower ranks are more urgent.
    """

    arrived_at: Millis
    latency_target_at: Millis
    deadline_at: Millis
    rank: Rank = Rank()


# Largest weight of the second rank; it must be below half a rank.
SECOND_RANK_SHARE = 0.4


Queued = TypeVar('Queued', bound=QueuedRequest)


class RequestQueue(Generic[Queued]):
    """The waiting requests of one service and their serving order.

    Requests that can still be answered within their target latency go
    before the others: in order of arrival while waits are short, and
    newest first once one of them has waited long, as serving a long queue
    in order would make all of them late. Late requests follow, ordered by
    their deadlines. A lower rank counts as an earlier arrival, or as a
    later one when the newest go first.
    """

    def __init__(self) -> None:
        """Start empty."""
        # When free capacity is to be checked for next.
        self.check_at = Millis(0)
        self._check_interval_ms = settings.MIN_QUEUE_CHECK_INTERVAL_MS
        self._queued: list[Queued] = []

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queued)

    def record_check(
        self, *, found: bool, rng: random.Random, now: Millis
    ) -> None:
        """Record a check for free capacity, and whether it found any."""
        if found or not self._queued:
            self._check_interval_ms = settings.MIN_QUEUE_CHECK_INTERVAL_MS
        else:
            self._check_interval_ms = min(
                2 * self._check_interval_ms,
                settings.MAX_QUEUE_CHECK_INTERVAL_MS,
            )
        spread = settings.QUEUE_CHECK_SPREAD
        self.check_at = Millis(
            now + self._check_interval_ms * rng.uniform(1 - spread, 1 + spread)
        )

    def add(self, request: Queued) -> None:
        """Add a waiting request."""
        self._queued.append(request)

    def remove(self, request: Queued) -> None:
        """Remove a waiting request."""
        self._queued.remove(request)

    def serving_order(
        self, *, now: Millis, expected_ms: float
    ) -> Iterator[Queued]:
        """Yield the requests in the order in which they are to be served.

        `expected_ms` is the expected latency of a request at a target.
        """
        timely = [
            request
            for request in self._queued
            if now + expected_ms <= request.latency_target_at
        ]
        direction = (
            -1
            if any(_has_waited_long(request, now) for request in timely)
            else 1
        )
        timely.sort(key=lambda request: _urgency(request, direction))
        yield from timely
        late = [
            request
            for request in self._queued
            if now + expected_ms > request.latency_target_at
        ]
        late.sort(key=lambda request: request.deadline_at)
        yield from late


def _has_waited_long(request: QueuedRequest, now: Millis) -> bool:
    target_latency_ms = request.latency_target_at - request.arrived_at
    return (
        now - request.arrived_at
        > target_latency_ms * settings.QUEUE_STANDING_SHARE
    )


def _urgency(request: QueuedRequest, direction: int) -> float:
    first, second = request.rank
    difference = second - first
    # Never outweighs a difference of the first rank.
    rank = first + SECOND_RANK_SHARE * difference / (1 + abs(difference))
    rank_penalty_ms = rank * settings.QUEUE_RANK_PENALTY_MS
    return direction * request.arrived_at + rank_penalty_ms
