"""Tests of the limits of one entry process."""

import random

from chicorybridge.common.attempts import AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.identities import ServiceId, TargetId, WorkspaceId
from chicorybridge.configuration.declarations import Priority
from chicorybridge.routing.limits import Limiter
from chicorybridge.routing.subsets import FleetSize
from chicorybridge.tools.models.attempted import attempted
from chicorybridge.tools.models.declared import (
    ServiceShape,
    declare,
    sample_workspace,
)

SERVICE = ServiceId('quotes')
WORKSPACE = WorkspaceId('shop')
TODAY = FleetSize(processes=40, zone_processes=10)


class Entry:
    """A limiter before a service that bears a given number of requests."""

    def __init__(self, **declared):
        self.now = Millis(0)
        self.limiter = Limiter(rng=random.Random(3))
        self.limiter.set_declaration(
            declare(ServiceShape(), **declared), fleet=TODAY
        )

    def admit(self, priority=Priority.normal, workspace_id=None):
        return self.limiter.admit(
            SERVICE,
            priority=priority,
            workspace_id=workspace_id,
            now=self.now,
        )

    def overload(self, *, arrivals, bears, seconds=30):
        """Run arrivals a second by priority; return the admitted a second."""
        counts = dict.fromkeys(arrivals, 0)
        for second in range(seconds):
            admitted = self._second(_mixed(arrivals), bears)
            for priority in admitted:
                counts[priority] += second >= seconds // 2
        measured = seconds - seconds // 2
        return {found: counts[found] / measured for found in counts}

    def end(self, outcome, slowness=1.0):
        self.limiter.finished(
            attempted(outcome, started_at=self.now),
            slowness=slowness,
            now=self.now,
        )

    def _second(self, arrivals, bears):
        admitted = []
        for priority in arrivals:
            self.now = Millis(self.now + 1000 / len(arrivals))
            if not self.admit(priority).admitted:
                continue
            admitted.append(priority)
            shed = len(admitted) > bears
            self.end(AttemptOutcome.shed if shed else AttemptOutcome.answered)
        return admitted


def _mixed(arrivals):
    order = [
        priority for priority, count in arrivals.items() for _ in range(count)
    ]
    random.Random(5).shuffle(order)
    return order


def test_all_is_let_in_without_overload():
    """Answers at the usual pace refuse nobody."""
    entry = Entry()
    admitted = entry.overload(arrivals={Priority.normal: 100}, bears=100)
    assert round(admitted[Priority.normal]) == 100


def test_overload_settles_near_what_targets_bear():
    """At three times the capacity the refused are refused early."""
    entry = Entry()
    admitted = entry.overload(arrivals={Priority.normal: 300}, bears=100)
    assert 90 <= admitted[Priority.normal] <= 125


def test_reads_give_way_before_acceptances():
    """Low priority is refused while high priority is served."""
    admitted = Entry().overload(
        arrivals={Priority.low: 150, Priority.high: 50}, bears=100
    )
    assert admitted[Priority.high] >= 49
    assert admitted[Priority.low] < 100


def test_admission_recovers_after_overload():
    """Once targets bear the load again, all of it is let in."""
    entry = Entry()
    entry.overload(arrivals={Priority.normal: 300}, bears=100)
    entry.overload(arrivals={Priority.normal: 80}, bears=100)
    assert entry.limiter.admitted_share(SERVICE) >= 1


def test_slow_answers_count_as_overload():
    """A queue at the targets shows in latency before anything is shed."""
    entry = Entry()
    for _ in range(200):
        entry.now = Millis(entry.now + 10)
        entry.end(AttemptOutcome.answered, slowness=10)
    assert entry.limiter.admitted_share(SERVICE) <= 1 / 2


def test_failures_and_cancelled_requests_are_no_overload():
    """Broken targets and impatient callers cause no refusals."""
    entry = Entry()
    for _ in range(100):
        entry.now = Millis(entry.now + 10)
        entry.end(AttemptOutcome.failed, slowness=None)
        entry.end(AttemptOutcome.cancelled, slowness=None)
    assert entry.limiter.admitted_share(SERVICE) >= 1


def test_refusal_names_code_and_retry_after():
    """A refused caller is told when to come back."""
    entry = Entry()
    entry.overload(arrivals={Priority.normal: 300}, bears=100)
    refusals = [entry.admit() for _ in range(50)]
    refusal = next(found for found in refusals if not found.admitted)
    assert refusal.code is ErrorCode.overloaded
    assert 500 <= refusal.retry_after_ms <= 10_000


def test_window_leaves_room_for_the_important():
    """With reads filling their part acceptances still come in."""
    entry = Entry()
    admitted = 0
    while entry.admit(Priority.low).admitted:
        entry.limiter.started(SERVICE)
        admitted += 1
    assert 1 <= admitted * TODAY.processes <= 4 * 48
    assert entry.admit(Priority.high).admitted
    entry.end(AttemptOutcome.answered)
    assert entry.admit(Priority.low).admitted


def test_workspace_is_held_to_its_rate():
    """Beyond the burst only the declared rate passes."""
    entry = Entry(
        workspaces=(sample_workspace(WORKSPACE, requests_per_second=10),)
    )
    admitted = 0
    for _ in range(1000):
        entry.now = Millis(entry.now + 10)
        admitted += entry.admit(workspace_id=WORKSPACE).admitted
    assert 100 <= admitted <= 121
    refusal = entry.admit(workspace_id=WORKSPACE)
    assert refusal.code is ErrorCode.workspace_limit
    assert 0 < refusal.retry_after_ms <= 100


def test_share_of_a_workspace_lowers_its_rate():
    """A process that serves half of a workspace gets half of its rate."""
    entry = Entry(
        workspaces=(sample_workspace(WORKSPACE, requests_per_second=10),)
    )
    entry.limiter.set_workspace_share(WORKSPACE, 0.5, now=entry.now)
    admitted = 0
    for _ in range(1000):
        entry.now = Millis(entry.now + 10)
        admitted += entry.admit(workspace_id=WORKSPACE).admitted
    assert 50 <= admitted <= 71


def test_share_of_a_target_bounds_the_whole_fleet():
    """All processes together stay within the connections of a target."""
    entry = Entry()
    target_id = TargetId('quotes-0')
    connections = entry.limiter.connections_of(target_id)
    assert 1 <= connections * TODAY.processes <= 400
    assert entry.limiter.has_capacity(target_id, 0)
    assert not entry.limiter.has_capacity(target_id, connections)
    assert not entry.limiter.has_capacity(TargetId('other'), 0)
