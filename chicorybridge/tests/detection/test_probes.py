"""Tests of the scheduling of probes."""

import pytest

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import TargetId
from chicorybridge.detection.notices import Ejection
from chicorybridge.detection.probes import PROBE_INTERVAL_MS
from chicorybridge.tools.models.mixed_declarations import SERVICE_ID, declare
from chicorybridge.tools.simulations.detection_fleets import DetectionFleet

TARGET = TargetId('target-00')
SECONDS = 20


def _fleet_with_ejection(*, hosts):
    """Return a fleet in which one host has ejected a target."""
    fleet = DetectionFleet(hosts=hosts, declaration=declare(targets=10), seed=3)
    fleet.run(for_ms=3000)
    able_hosts = [
        host
        for host in fleet.hosts_by_id.values()
        if host.detection.holdings.free_slots(SERVICE_ID, now=Millis(fleet.now))
        >= 6
    ]
    ejection = Ejection(
        target_id=TARGET, service_id=SERVICE_ID, slots=6, badness=9
    )
    effects = able_hosts[0].detection.ejections.eject(
        ejection, trial_delay_ms=5000, now=Millis(fleet.now)
    )
    fleet.channel.execute(able_hosts[0].host_id, effects)
    return fleet


def _probe_all(fleet, *, succeeded):
    """Finish all due probes; return how many there were."""
    probes = 0
    for host_id, host in fleet.hosts_by_id.items():
        for target_id in host.detection.probes.take_due():
            probes += 1
            effects = host.detection.probes.finish(
                target_id, succeeded=succeeded
            )
            fleet.channel.execute(host_id, effects)
    return probes


def _on_trial(fleet):
    return any(
        ejection.on_trial
        for host in fleet.hosts_by_id.values()
        for ejection in host.detection.announcements.own_by_id.values()
    )


@pytest.mark.parametrize('hosts', [3, 12, 44])
def test_probes_of_a_target_are_bounded_at_any_fleet_size(hosts):
    """The whole fleet probes a target once a second."""
    fleet = _fleet_with_ejection(hosts=hosts)
    probes = 0
    for _ in range(SECONDS * 10):
        fleet.run()
        probes += _probe_all(fleet, succeeded=False)
    expected = SECONDS * 1000 / PROBE_INTERVAL_MS
    assert expected / 2 <= probes <= expected + 1


def test_target_that_answers_no_probe_gets_no_trial():
    """A trial is put off until the target answers probes again."""
    fleet = _fleet_with_ejection(hosts=3)
    for _ in range(SECONDS * 10):
        fleet.run()
        _probe_all(fleet, succeeded=False)
    assert not _on_trial(fleet)
    for _ in range(30):
        fleet.run()
        _probe_all(fleet, succeeded=True)
    assert _on_trial(fleet)
