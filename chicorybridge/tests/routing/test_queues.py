"""The order in which waiting requests are served."""

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.routing.queues import QueuedRequest, RequestQueue

AIM_MS = 1000
DEADLINE_MS = 6000
USUAL_MS = 300


def _request(arrived_at: float, rank: int = 0) -> QueuedRequest:
    return QueuedRequest(
        arrived_at=Millis(arrived_at),
        aim_at=Millis(arrived_at + AIM_MS),
        deadline_at=Millis(arrived_at + DEADLINE_MS),
        rank=rank,
    )


def _turns(now: float, *requests: QueuedRequest) -> list[QueuedRequest]:
    queue = RequestQueue[QueuedRequest]()
    for request in requests:
        queue.add(request)
    return list(queue.turns(now=Millis(now), usual_ms=USUAL_MS))


def test_short_waits_end_in_the_order_of_arrival():
    first, second = _request(0), _request(20)
    assert _turns(100, second, first) == [first, second]


def test_standing_queue_serves_the_newest_first():
    first, second = _request(0), _request(200)
    assert _turns(AIM_MS / 2, first, second) == [second, first]


def test_request_that_is_late_anyway_lets_others_go_first():
    late, timely = _request(0), _request(700)
    now = AIM_MS - USUAL_MS + 1
    assert _turns(now, late, timely) == [timely, late]


def test_late_requests_go_by_their_deadlines():
    first, second = _request(0), _request(100)
    assert _turns(AIM_MS * 2, second, first) == [first, second]


def test_more_urgent_request_goes_before_one_that_came_a_little_earlier():
    less, more = _request(0, rank=2), _request(100, rank=1)
    assert _turns(100, less, more) == [more, less]
    later = _request(settings.QUEUE_RANK_PENALTY_MS + 1, rank=1)
    assert _turns(160, less, later) == [less, later]


def test_request_that_left_has_no_turn():
    queue = RequestQueue[QueuedRequest]()
    request = _request(0)
    queue.add(request)
    queue.remove(request)
    assert not len(queue)
