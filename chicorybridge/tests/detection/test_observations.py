"""Tests of the counts that entries collect and send."""

from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import pack, unpack
from chicorybridge.common.identities import HostId, TargetId
from chicorybridge.detection.observations import LARGE_BODY_BYTES, Observer
from chicorybridge.tools.models.mixed_declarations import (
    READ_ROUTE,
    SERVICE_ID,
    UPLOAD_ROUTE,
    declare,
)

HOST = HostId('host-00')
TARGET = TargetId('target-00')
SMALL_SHIFT = 0.1
SLOW_HARDWARE_TARGET = TargetId('target-01')


def _observer():
    observer = Observer(host_id=HOST)
    observer.configure(declare(targets=4))
    return observer


def _run(observer, target_id, outcome, *, elapsed_ms=50.0, sent_bytes=0):
    number = observer.start(
        target_id=target_id, route_id=READ_ROUTE, now=Millis(0)
    )
    attempt = Attempt(
        service_id=SERVICE_ID,
        target_id=target_id,
        route_id=READ_ROUTE,
        outcome=outcome,
        started_at=Millis(0),
        elapsed_ms=elapsed_ms,
        sent_bytes=sent_bytes,
    )
    return observer.finish(number, attempt)


def _tallies(observer, *, now=0):
    send = observer.tick(now=Millis(now))[0]
    assert send.to == HOST
    return {tally.target_id: tally for tally in send.message.tallies}


def test_outcomes_are_counted_separately_and_sent_unchanged():
    """A tick sends all counts in one message and resets them."""
    observer = _observer()
    for outcome in AttemptOutcome:
        _run(observer, TARGET, outcome)
    large = LARGE_BODY_BYTES
    _run(observer, TARGET, AttemptOutcome.failed, sent_bytes=large)
    send = observer.tick(now=Millis(100))[0]
    tally = unpack(pack(send.message)).tallies[0]
    assert (tally.answered, tally.failed, tally.shed) == (1, 2, 1)
    assert (tally.cut, tally.unreachable, tally.large_failed) == (1, 1, 1)
    assert not observer.tick(now=Millis(200))


def test_crash_that_cuts_many_connections_counts_once():
    """Connections that are cut within a tick have one cause."""
    observer = _observer()
    for _ in range(6):
        _run(observer, TARGET, AttemptOutcome.cut)
    assert _tallies(observer)[TARGET].cut == 1


def test_slow_hardware_at_its_declared_speed_shows_no_shift():
    """Hardware declared at half the speed may take twice as long."""
    observer = _observer()
    for _ in range(50):
        _run(observer, TARGET, AttemptOutcome.answered, elapsed_ms=50)
    residual = _run(
        observer, SLOW_HARDWARE_TARGET, AttemptOutcome.answered, elapsed_ms=100
    )
    assert residual.weight == 0
    for _ in range(50):
        _run(observer, TARGET, AttemptOutcome.answered, elapsed_ms=50)
        residual = _run(
            observer,
            SLOW_HARDWARE_TARGET,
            AttemptOutcome.answered,
            elapsed_ms=100,
        )
    assert residual.weight > 0
    assert abs(residual.shift) < SMALL_SHIFT


def test_pending_attempt_counts_as_slow_before_it_ends():
    """A target that never answers is counted as slow early, and once."""
    observer = _observer()
    for _ in range(50):
        _run(observer, TARGET, AttemptOutcome.answered, elapsed_ms=50)
    observer.tick(now=Millis(0))
    observer.start(target_id=TARGET, route_id=READ_ROUTE, now=Millis(0))
    assert not observer.tick(now=Millis(100))
    assert _tallies(observer, now=500)[TARGET].latency_shift > 0
    assert not observer.tick(now=Millis(600))


def test_route_without_baseline_is_compared_with_its_service():
    """Latency counts before a route has a baseline of its own."""
    observer = _observer()
    for _ in range(50):
        _run(observer, TARGET, AttemptOutcome.answered, elapsed_ms=50)
    number = observer.start(
        target_id=TARGET, route_id=UPLOAD_ROUTE, now=Millis(0)
    )
    attempt = Attempt(
        service_id=SERVICE_ID,
        target_id=TARGET,
        route_id=UPLOAD_ROUTE,
        outcome=AttemptOutcome.answered,
        started_at=Millis(0),
        elapsed_ms=500,
    )
    residual = observer.finish(number, attempt)
    assert residual.weight > 0
    assert residual.shift > SMALL_SHIFT
