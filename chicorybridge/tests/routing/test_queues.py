"""Tests of the order in which waiting requests are served."""

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.routing.queues import QueuedRequest, RequestQueue
from chicorybridge.routing.ranks import Rank

TARGET_LATENCY_MS = 1000
DEADLINE_MS = 6000
EXPECTED_MS = 300


def _request(arrived_at: float, rank: int = 0) -> QueuedRequest:
    return QueuedRequest(
        arrived_at=Millis(arrived_at),
        latency_target_at=Millis(arrived_at + TARGET_LATENCY_MS),
        deadline_at=Millis(arrived_at + DEADLINE_MS),
        rank=Rank(first=rank, second=rank),
    )


def _serving_order(now: float, *requests: QueuedRequest) -> list[QueuedRequest]:
    queue = RequestQueue[QueuedRequest]()
    for request in requests:
        queue.add(request)
    return list(queue.serving_order(now=Millis(now), expected_ms=EXPECTED_MS))


def test_short_queue_is_served_in_order_of_arrival():
    first, second = _request(0), _request(20)
    assert _serving_order(100, second, first) == [first, second]


def test_long_queue_is_served_newest_first():
    first, second = _request(0), _request(200)
    assert _serving_order(TARGET_LATENCY_MS / 2, first, second) == [
        second,
        first,
    ]


def test_late_request_is_served_after_timely_ones():
    late, timely = _request(0), _request(700)
    now = TARGET_LATENCY_MS - EXPECTED_MS + 1
    assert _serving_order(now, late, timely) == [timely, late]


def test_late_requests_are_served_by_deadline():
    first, second = _request(0), _request(100)
    assert _serving_order(TARGET_LATENCY_MS * 2, second, first) == [
        first,
        second,
    ]


def test_urgent_request_goes_before_a_slightly_earlier_one():
    less_urgent, more_urgent = _request(0, rank=2), _request(100, rank=1)
    assert _serving_order(100, less_urgent, more_urgent) == [
        more_urgent,
        less_urgent,
    ]
    later = _request(settings.QUEUE_RANK_PENALTY_MS + 1, rank=1)
    assert _serving_order(160, less_urgent, later) == [less_urgent, later]


def test_removed_request_is_not_served():
    queue = RequestQueue[QueuedRequest]()
    request = _request(0)
    queue.add(request)
    queue.remove(request)
    assert not len(queue)


def test_rank_of_the_workspace_comes_before_that_of_the_route():
    urgent, other = _request(0), _request(0)
    urgent.rank = Rank(first=1, second=9)
    other.rank = Rank(first=2, second=0)
    assert _serving_order(100, other, urgent) == [urgent, other]
    other.rank = Rank(first=1, second=8)
    assert _serving_order(100, urgent, other) == [other, urgent]
