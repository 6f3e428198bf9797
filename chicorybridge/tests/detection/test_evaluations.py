"""Tests of check requests for suspected targets."""

import random

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, Incarnation, Version, ZoneId
from chicorybridge.detection.checks import CheckRequest
from chicorybridge.detection.detections import Detection
from chicorybridge.detection.evidence import Evidence, EvidenceReport
from chicorybridge.detection.observations import Tally
from chicorybridge.fleet.freshness import Freshness
from chicorybridge.tools.models.mixed_declarations import declare

HOSTS = tuple(HostId(f'host-{number}') for number in range(3))
ZONE = ZoneId('groningen')


def _detection():
    detection = Detection(
        host_id=HOSTS[0],
        zone_id=ZONE,
        incarnation=Incarnation(1),
        rng=random.Random(1),
    )
    incarnations = {
        host_id: Incarnation(number + 1) for number, host_id in enumerate(HOSTS)
    }
    now = Millis(0)
    detection.update_hosts(incarnations, gone=frozenset(), now=now)
    declaration = declare(targets=12, warm_up_ms=0)
    detection.configure(declaration, version=Version(1), now=now)
    return detection


def _report(target_id):
    evidence = Evidence(
        tally=Tally(target_id=target_id, failed=3),
        failed_share=0.005,
        large_failed_share=0.005,
        shed_share=0.03,
        shift=0,
        others=Tally(target_id=target_id),
    )
    stamp = Freshness(incarnation=Incarnation(1)).stamp(
        to=HOSTS[0], now=Millis(0)
    )
    return EvidenceReport(stamp=stamp, zone_id=ZONE, evidence=(evidence,))


def test_hosts_that_do_not_use_a_suspected_target_get_check_requests():
    """Too few hosts could otherwise agree on a target that one zone uses."""
    detection = _detection()
    evaluators_by_id = detection.assignments.evaluators_by_id
    target_id = next(
        target_id
        for target_id, evaluator in evaluators_by_id.items()
        if evaluator == HOSTS[0]
    )
    effects = detection.receive(
        _report(target_id), sender=HOSTS[0], now=Millis(10)
    )
    receivers = {
        effect.to
        for effect in effects
        if isinstance(getattr(effect, 'message', None), CheckRequest)
    }
    assert receivers == set(HOSTS)
