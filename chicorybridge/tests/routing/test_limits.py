"""Tests of the limits of one entry process."""

import random

from chicorybridge.common.attempts import AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.identities import ServiceId, TargetId, WorkspaceId
from chicorybridge.configuration.declarations import Priority
from chicorybridge.routing.limits import Limiter
from chicorybridge.routing.subsets import FleetSize
from chicorybridge.tools.models.sample_attempts import make_attempt
from chicorybridge.tools.models.sample_declarations import (
    ServiceShape,
    declare,
    sample_workspace,
)

SERVICE = ServiceId('quotes')
WORKSPACE = WorkspaceId('shop')
FLEET = FleetSize(processes=40, zone_processes=10)


class LimiterModel:
    """A limiter in front of a service with a given capacity."""

    def __init__(self, **declared):
        self.now = Millis(0)
        self.limiter = Limiter(rng=random.Random(3))
        self.limiter.set_declaration(
            declare(ServiceShape(), **declared), fleet=FLEET
        )

    def admit(self, priority=Priority.normal, workspace_id=None):
        return self.limiter.admit(
            SERVICE,
            priority=priority,
            workspace_id=workspace_id,
            now=self.now,
        )

    def overload(self, *, arrivals, capacity, seconds=30):
        """Send `arrivals[priority]` requests per second of each priority.

        Return the admitted ones per second, by priority, in the second half.

        The service sheds requests beyond `capacity` per second.
        """
        counts = dict.fromkeys(arrivals, 0)
        for second in range(seconds):
            admitted = self._run_second(_shuffled(arrivals), capacity)
            for admitted_priority in admitted:
                counts[admitted_priority] += second >= seconds // 2
        measured = seconds - seconds // 2
        return {priority: counts[priority] / measured for priority in counts}

    def end(self, outcome, slowness=1.0):
        self.limiter.finished(
            make_attempt(outcome, started_at=self.now),
            slowness=slowness,
            now=self.now,
        )

    def _run_second(self, arrivals, capacity):
        admitted = []
        for priority in arrivals:
            self.now = Millis(self.now + 1000 / len(arrivals))
            if not self.admit(priority).admitted:
                continue
            admitted.append(priority)
            shed = len(admitted) > capacity
            self.end(AttemptOutcome.shed if shed else AttemptOutcome.answered)
        return admitted


def _shuffled(arrivals):
    priorities = [
        priority for priority, count in arrivals.items() for _ in range(count)
    ]
    random.Random(5).shuffle(priorities)
    return priorities


def test_all_requests_are_admitted_without_overload():
    """No request is refused while answers are as fast as usual."""
    model = LimiterModel()
    admitted = model.overload(arrivals={Priority.normal: 100}, capacity=100)
    assert round(admitted[Priority.normal]) == 100


def test_admitted_rate_settles_near_the_capacity():
    """At three times the capacity, the excess is refused early."""
    model = LimiterModel()
    admitted = model.overload(arrivals={Priority.normal: 300}, capacity=100)
    assert 90 <= admitted[Priority.normal] <= 125


def test_low_priority_is_refused_before_high_priority():
    """High priority is admitted in full while low priority is refused."""
    admitted = LimiterModel().overload(
        arrivals={Priority.low: 150, Priority.high: 50}, capacity=100
    )
    assert admitted[Priority.high] >= 49
    assert admitted[Priority.low] < 100


def test_admission_recovers_after_overload():
    """All requests are admitted once the load fits the capacity again."""
    model = LimiterModel()
    model.overload(arrivals={Priority.normal: 300}, capacity=100)
    model.overload(arrivals={Priority.normal: 80}, capacity=100)
    assert model.limiter.admitted_share(SERVICE) >= 1


def test_slow_answers_count_as_overload():
    """Queues at the targets raise the latency before requests are shed."""
    model = LimiterModel()
    for _ in range(200):
        model.now = Millis(model.now + 10)
        model.end(AttemptOutcome.answered, slowness=10)
    assert model.limiter.admitted_share(SERVICE) <= 1 / 2


def test_failed_and_cancelled_requests_are_no_overload():
    """Broken targets and callers that disconnect cause no refusals."""
    model = LimiterModel()
    for _ in range(100):
        model.now = Millis(model.now + 10)
        model.end(AttemptOutcome.failed, slowness=None)
        model.end(AttemptOutcome.cancelled, slowness=None)
    assert model.limiter.admitted_share(SERVICE) >= 1


def test_refusal_names_code_and_retry_after():
    """A refusal has a code and the delay until a retry."""
    model = LimiterModel()
    model.overload(arrivals={Priority.normal: 300}, capacity=100)
    admissions = [model.admit() for _ in range(50)]
    refusal = next(
        admission for admission in admissions if not admission.admitted
    )
    assert refusal.code is ErrorCode.overloaded
    assert 500 <= refusal.retry_after_ms <= 10_000


def test_window_keeps_capacity_for_high_priority():
    """High priority is admitted when low priority fills its share."""
    model = LimiterModel()
    admitted = 0
    while model.admit(Priority.low).admitted:
        model.limiter.started(SERVICE)
        admitted += 1
    assert 1 <= admitted * FLEET.processes <= 4 * 48
    assert model.admit(Priority.high).admitted
    model.end(AttemptOutcome.answered)
    assert model.admit(Priority.low).admitted


def test_workspace_is_limited_to_its_rate():
    """After the burst, requests are admitted at the declared rate."""
    model = LimiterModel(
        workspaces=(sample_workspace(WORKSPACE, requests_per_second=10),)
    )
    admitted = 0
    for _ in range(1000):
        model.now = Millis(model.now + 10)
        admitted += model.admit(workspace_id=WORKSPACE).admitted
    assert 100 <= admitted <= 121
    refusal = model.admit(workspace_id=WORKSPACE)
    assert refusal.code is ErrorCode.workspace_limit
    assert 0 < refusal.retry_after_ms <= 100


def test_share_of_a_workspace_lowers_its_rate():
    """A process that serves half of a workspace gets half of its rate."""
    model = LimiterModel(
        workspaces=(sample_workspace(WORKSPACE, requests_per_second=10),)
    )
    model.limiter.set_workspace_share(WORKSPACE, 0.5, now=model.now)
    admitted = 0
    for _ in range(1000):
        model.now = Millis(model.now + 10)
        admitted += model.admit(workspace_id=WORKSPACE).admitted
    assert 50 <= admitted <= 71


def test_shares_of_a_target_fit_its_connections():
    """The connections of all processes together fit a target."""
    model = LimiterModel()
    target_id = TargetId('quotes-0')
    connections = model.limiter.connections_of(target_id)
    assert 1 <= connections * FLEET.processes <= 400
    assert model.limiter.has_capacity(target_id, 0)
    assert not model.limiter.has_capacity(target_id, connections)
    assert not model.limiter.has_capacity(TargetId('other'), 0)
