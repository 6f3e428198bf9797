"""Requests that wait on a host until a target has room for them."""

import dataclasses
from collections.abc import Iterator
from typing import Generic, TypeVar

from chicorybridge import settings
from chicorybridge.common.clocks import Millis


@dataclasses.dataclass(kw_only=True, eq=False)
class QueuedRequest:
    """A request that waits.

    `aim_at` is the end of its route's target latency, `deadline_at` the
    time of its final answer; rank 0 is the most urgent.
    """

    arrived_at: Millis
    aim_at: Millis
    deadline_at: Millis
    rank: int = 0


Queued = TypeVar('Queued', bound=QueuedRequest)


class RequestQueue(Generic[Queued]):
    """The waiting requests of one service and the order of their turns.

    Requests that can still be answered within their target latency go
    before the others. While waits are short they go in the order of
    arrival. Once the queue stands, the newest goes first: serving in order
    would make all of them late. The late ones follow by their deadline.
    """

    def __init__(self) -> None:
        """Start empty."""
        # When room was looked for last.
        self.looked_at = Millis(0)
        self._waiting: list[Queued] = []

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    def add(self, request: Queued) -> None:
        """Let a request wait."""
        self._waiting.append(request)

    def remove(self, request: Queued) -> None:
        """Take a request out."""
        self._waiting.remove(request)

    def turns(self, *, now: Millis, usual_ms: float) -> Iterator[Queued]:
        """Yield the requests in the order in which they are to be served.

        `usual_ms` is the time that targets take for a request.
        """
        timely = [
            request
            for request in self._waiting
            if now + usual_ms <= request.aim_at
        ]
        direction = -1 if any(_is_old(one, now) for one in timely) else 1
        timely.sort(key=lambda one: _urgency(one, direction))
        yield from timely
        late = [
            request
            for request in self._waiting
            if now + usual_ms > request.aim_at
        ]
        late.sort(key=lambda one: one.deadline_at)
        yield from late


def _is_old(request: QueuedRequest, now: Millis) -> bool:
    aim_ms = request.aim_at - request.arrived_at
    return now - request.arrived_at > aim_ms * settings.QUEUE_STANDING_SHARE


def _urgency(request: QueuedRequest, direction: int) -> float:
    handicap = request.rank * settings.QUEUE_RANK_PENALTY_MS
    return direction * request.arrived_at + handicap
