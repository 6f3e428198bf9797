"""Tests of ejections under permits, over a simulated network."""

import pytest

from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import PromiseError
from chicorybridge.common.identities import HostId, TargetId, Version
from chicorybridge.detection.notices import Ejection
from chicorybridge.detection.permit_holdings import Holding
from chicorybridge.tools.models.mixed_declarations import (
    READ_ROUTE,
    SERVICE_ID,
    declare,
)
from chicorybridge.tools.simulations.detection_fleets import DetectionFleet

HOSTS = 6
# Ten targets of six slots with a floor of 0.7 leave three targets to eject.
TARGETS = 10
MAX_EJECTED = 3
TARGET_IDS = tuple(declare(targets=TARGETS).targets_by_id)


def _fleet(**declared):
    declaration = declare(
        targets=TARGETS, warm_up_ms=0, sensitivity=0.8, **declared
    )
    return DetectionFleet(hosts=HOSTS, declaration=declaration, seed=1)


def _send_requests(fleet, *, gray, for_ms=10_000):
    """Send requests from every host to each target; those to `gray` fail."""
    for _ in range(round(for_ms / 100)):
        for host in fleet.hosts_by_id.values():
            for target_id in TARGET_IDS:
                if host.weights.weight_of(target_id):
                    _attempt(fleet, host, target_id, fails=target_id in gray)
        fleet.run()


def _attempt(fleet, host, target_id, *, fails):
    now = fleet.channel.clock.now()
    number = host.observer.start(
        target_id=target_id, route_id=READ_ROUTE, now=now
    )
    outcome = AttemptOutcome.failed if fails else AttemptOutcome.answered
    attempt = Attempt(
        service_id=SERVICE_ID,
        target_id=target_id,
        route_id=READ_ROUTE,
        outcome=outcome,
        started_at=now,
        elapsed_ms=50,
    )
    host.observer.finish(number, attempt)


def _ejected(fleet):
    return set().union(*fleet.limited_by_host().values())


def test_gray_targets_are_ejected_everywhere_and_readmitted():
    """All entries stop using a gray target until it has recovered."""
    fleet = _fleet()
    _send_requests(fleet, gray=())
    assert not _ejected(fleet)
    _send_requests(fleet, gray=TARGET_IDS[:1], for_ms=2000)
    assert all(
        out == {TARGET_IDS[0]} for out in fleet.limited_by_host().values()
    )
    _send_requests(fleet, gray=(), for_ms=30_000)
    assert not _ejected(fleet)


def test_floor_holds_when_too_many_targets_fail():
    """Ejections of all entries together never exceed the floor."""
    fleet = _fleet()
    _send_requests(fleet, gray=(), for_ms=3000)
    for _ in range(50):
        _send_requests(fleet, gray=TARGET_IDS[:4], for_ms=200)
        assert len(_ejected(fleet)) <= MAX_EJECTED
    assert len(_ejected(fleet)) == MAX_EJECTED


def test_ejection_works_while_the_store_is_unavailable():
    """Reserved permits and loans from peers suffice for ejections."""
    fleet = _fleet()
    _send_requests(fleet, gray=(), for_ms=3000)
    fleet.channel.store.outage = True
    _send_requests(fleet, gray=TARGET_IDS[2:4], for_ms=5000)
    assert _ejected(fleet) == set(TARGET_IDS[2:4])


def test_ejection_expires_when_its_host_pauses():
    """Peers stop applying the announcements of a paused host."""
    fleet = _fleet()
    _send_requests(fleet, gray=(), for_ms=3000)
    _send_requests(fleet, gray=TARGET_IDS[:1], for_ms=3000)
    ejectors = [
        host_id
        for host_id, host in fleet.hosts_by_id.items()
        if TARGET_IDS[0] in host.detection.announcements.own_by_id
    ]
    assert len(ejectors) == 1
    fleet.channel.paused.update(ejectors)
    fleet.run(for_ms=6000)
    limited_by_host = fleet.limited_by_host()
    for host_id in fleet.hosts_by_id.keys() - set(ejectors):
        assert not limited_by_host[host_id]


def test_raised_floor_readmits_targets_before_it_is_confirmed():
    """A host is settled only when no peer may apply an ended ejection."""
    fleet = _fleet()
    _send_requests(fleet, gray=(), for_ms=3000)
    _send_requests(fleet, gray=TARGET_IDS[:3], for_ms=4000)
    assert len(_ejected(fleet)) == MAX_EJECTED
    fleet.declaration = declare(targets=TARGETS, floor=0.9)
    fleet.version = Version(2)
    for host_id in fleet.hosts_by_id:
        fleet.configure_host(host_id)
    assert not all(
        host.detection.is_settled(now=fleet.channel.clock.now())
        for host in fleet.hosts_by_id.values()
    )
    fleet.run(for_ms=5000)
    assert all(
        host.detection.is_settled(now=fleet.channel.clock.now())
        for host in fleet.hosts_by_id.values()
    )
    assert len(_ejected(fleet)) <= 1


def test_least_severe_ejection_ends_when_capacity_is_lost():
    """Slots of targets that leave or are down count towards the floor."""
    fleet = _fleet()
    _send_requests(fleet, gray=(), for_ms=3000)
    _send_requests(fleet, gray=TARGET_IDS[:3], for_ms=4000)
    for host in fleet.hosts_by_id.values():
        host.detection.update_unavailable_slots({SERVICE_ID: 6})
    fleet.run(for_ms=1000)
    assert len(_ejected(fleet)) == MAX_EJECTED - 1


def test_ejection_without_permit_raises_an_error():
    """Use of slots that are not held raises an error."""
    fleet = _fleet()
    holdings = fleet.hosts_by_id[HostId('host-00')].detection.holdings
    with pytest.raises(PromiseError):
        holdings.use(SERVICE_ID, 1, now=Millis(0))


def test_ejection_is_refused_before_permits_are_held():
    """A verdict has no effect while the host holds no permits."""
    fleet = _fleet()
    host = fleet.hosts_by_id[HostId('host-00')]
    ejection = Ejection(
        target_id=TargetId(TARGET_IDS[0]),
        service_id=SERVICE_ID,
        slots=6,
        badness=9,
    )
    effects = host.detection.ejections.eject(
        ejection, trial_delay_ms=1000, now=Millis(0)
    )
    assert not list(effects)
    assert not host.detection.announcements.own_by_id


def _ejector(fleet):
    return next(
        host
        for host in fleet.hosts_by_id.values()
        if TARGET_IDS[0] in host.detection.announcements.own_by_id
    )


def _cut_off(fleet, host):
    """Drop all messages from `host` to the others."""
    others = fleet.hosts_by_id.keys() - {host.host_id}
    fleet.channel.cut_links = {(host.host_id, each) for each in others}


def _use_permit_twice(fleet):
    """End an ejection that peers still apply, and eject another target.

    Yield the number of ejected targets after each tick.
    """
    ejector = _ejector(fleet)
    ejections = ejector.detection.ejections
    _cut_off(fleet, ejector)
    readmission = ejections.readmit(TARGET_IDS[0], now=fleet.now)
    fleet.channel.execute(ejector.host_id, readmission)
    second = Ejection(
        target_id=TARGET_IDS[1], service_id=SERVICE_ID, slots=6, badness=9
    )
    for _ in range(60):
        ejection_effects = ejections.eject(
            second, trial_delay_ms=60_000, now=fleet.now
        )
        fleet.channel.execute(ejector.host_id, ejection_effects)
        fleet.run()
        yield len(_ejected(fleet))


def test_permit_is_not_reused_while_a_peer_may_apply_the_ejection():
    """A peer that missed a readmission still applies the ejection."""
    fleet = _fleet(floor=0.9)
    _send_requests(fleet, gray=(), for_ms=3000)
    _send_requests(fleet, gray=TARGET_IDS[:1], for_ms=1000)
    counts = list(_use_permit_twice(fleet))
    assert max(counts) == 1


def test_permit_is_used_twice_without_cooling(monkeypatch):
    """Without cooling, two targets are ejected under one permit."""
    monkeypatch.setattr(Holding, 'cooling_slots', lambda _, now: 0)
    fleet = _fleet(floor=0.9)
    _send_requests(fleet, gray=(), for_ms=3000)
    _send_requests(fleet, gray=TARGET_IDS[:1], for_ms=1000)
    counts = list(_use_permit_twice(fleet))
    assert max(counts) == 2


def test_lost_loan_returns_to_its_lender():
    """A borrower that is cut off does not keep lent slots forever."""
    fleet = _fleet(floor=0.9)
    _send_requests(fleet, gray=(), for_ms=3000)
    _send_requests(fleet, gray=TARGET_IDS[:1], for_ms=1000)
    _cut_off(fleet, _ejector(fleet))
    for _ in range(100):
        _send_requests(fleet, gray=TARGET_IDS[1:2], for_ms=100)
        assert len(_ejected(fleet)) <= 1
    fleet.channel.cut_links = set()
    _send_requests(fleet, gray=TARGET_IDS[1:2], for_ms=15_000)
    assert _ejected(fleet) == {TARGET_IDS[1]}
