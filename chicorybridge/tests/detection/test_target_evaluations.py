"""Tests of the evaluation of one target."""

import pytest

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, TargetId, ZoneId
from chicorybridge.detection.target_evaluations import TargetEvaluation
from chicorybridge.detection.evidence import Evidence
from chicorybridge.detection.observations import Tally
from chicorybridge.detection.thresholds import thresholds_of

TARGET = TargetId('target-00')
HOME_ZONE = ZoneId('groningen')
OTHER_ZONE = ZoneId('leeuwarden')
SENSITIVE = thresholds_of(0.9)
CAUTIOUS = thresholds_of(0.1)
# Weight of one latency sample: the inverse of its variance of 0.25.
LATENCY_WEIGHT = 4
SLOW_SHIFT = 1.1
HOSTS = tuple(HostId(f'host-{number}') for number in range(6))
LIVE = tuple(HostId(f'host-{number}') for number in range(36))


def _evidence(*, shift=0, others_shift=0, failed_share=0.005, **counts):
    tally = Tally(target_id=TARGET, **counts)
    tally.latency_weight = LATENCY_WEIGHT
    tally.latency_shift = LATENCY_WEIGHT * shift
    return Evidence(
        tally=tally,
        failed_share=failed_share,
        large_failed_share=0.005,
        shed_share=0.03,
        shift=others_shift,
        others=Tally(target_id=TARGET),
    )


def _report(
    evaluation,
    evidence,
    *,
    times,
    zone_id=HOME_ZONE,
    thresholds=SENSITIVE,
    start=0,
):
    """Add the same evidence from each host in turn, every 100 ms."""
    for number in range(times):
        evaluation.add(
            evidence,
            host_id=HOSTS[number % len(HOSTS)],
            zone_id=zone_id,
            now=Millis(start + 100 * number),
            thresholds=thresholds,
        )


@pytest.fixture
def evaluation():
    """Return the evaluation of a target that has warmed up."""
    return TargetEvaluation(warm_up_ms=0, now=Millis(0))


def _is_gray(evaluation, thresholds=SENSITIVE, live=LIVE):
    return evaluation.is_gray(
        thresholds=thresholds, live=live, now=Millis(60_000)
    )


def test_failures_suffice_sooner_at_higher_sensitivity(evaluation):
    """A high sensitivity needs a few failures, a low one many more."""
    _report(evaluation, _evidence(failed=1), times=4)
    assert _is_gray(evaluation)
    assert not _is_gray(evaluation, CAUTIOUS)
    _report(evaluation, _evidence(failed=1), times=30, thresholds=CAUTIOUS)
    assert _is_gray(evaluation, CAUTIOUS)


def test_slow_target_is_gray_and_a_slow_service_is_not(evaluation):
    """Only latency beyond that of the other targets counts."""
    shared = _evidence(shift=SLOW_SHIFT, others_shift=SLOW_SHIFT, answered=1)
    _report(evaluation, shared, times=50)
    assert not _is_gray(evaluation)
    _report(
        evaluation,
        _evidence(shift=SLOW_SHIFT, answered=1),
        times=50,
        start=5000,
    )
    assert _is_gray(evaluation)


def test_errors_of_the_whole_service_do_not_count(evaluation):
    """A target that fails as often as the others is not gray."""
    evidence = _evidence(failed=1, answered=1, failed_share=0.5)
    _report(evaluation, evidence, times=50)
    assert not _is_gray(evaluation)


def test_one_host_alone_cannot_eject(evaluation):
    """Failures seen by one host may be a network fault near that host."""
    for number in range(50):
        evaluation.add(
            _evidence(failed=1),
            host_id=HOSTS[0],
            zone_id=HOME_ZONE,
            now=Millis(100 * number),
            thresholds=SENSITIVE,
        )
    assert not _is_gray(evaluation)


def test_crash_under_many_requests_counts_once(evaluation):
    """Connections that are cut at the same time have one cause."""
    for host_id in HOSTS:
        evaluation.add(
            _evidence(cut=1),
            host_id=host_id,
            zone_id=HOME_ZONE,
            now=Millis(0),
            thresholds=SENSITIVE,
        )
    assert not _is_gray(evaluation)


def test_latency_is_ignored_during_warm_up():
    """Latency counts only after the warm-up of a restarted target."""
    evaluation = TargetEvaluation(warm_up_ms=10_000, now=Millis(0))
    _report(evaluation, _evidence(shift=SLOW_SHIFT, answered=1), times=90)
    assert not _is_gray(evaluation)
    _report(evaluation, _evidence(leaving=1, answered=1), times=1, start=20_000)
    slow = _evidence(shift=SLOW_SHIFT, answered=1)
    _report(evaluation, slow, times=90, start=20_100)
    assert not _is_gray(evaluation)


def test_zone_with_good_evidence_keeps_the_target(evaluation):
    """A one-way partition ejects the target for one zone only."""
    for number in range(20):
        start = 200 * number
        good = _evidence(answered=1)
        _report(evaluation, good, times=1, zone_id=OTHER_ZONE, start=start)
        bad = _evidence(shift=SLOW_SHIFT, answered=1)
        _report(evaluation, bad, times=2, zone_id=HOME_ZONE, start=start)
    assert evaluation.affected_zones == (HOME_ZONE,)


def test_trial_needs_consecutive_good_answers(evaluation):
    """A failure resets the count of good answers."""
    _report(evaluation, _evidence(answered=1), times=11)
    assert not evaluation.passes_trial(thresholds=SENSITIVE)
    _report(evaluation, _evidence(answered=1), times=1, start=2000)
    assert evaluation.passes_trial(thresholds=SENSITIVE)
    _report(evaluation, _evidence(failed=1), times=1, start=3000)
    assert not evaluation.passes_trial(thresholds=SENSITIVE)


def test_hosts_that_do_not_use_a_target_need_not_agree(evaluation):
    """The two hosts that use the target suffice for a verdict."""
    for number in range(12):
        evaluation.add(
            _evidence(failed=2),
            host_id=HOSTS[number % 2],
            zone_id=HOME_ZONE,
            now=Millis(200 * number),
            thresholds=CAUTIOUS,
        )
    assert _is_gray(evaluation, CAUTIOUS, live=HOSTS[:3])


def test_one_host_of_three_cannot_eject(evaluation):
    """A single reporting host does not suffice in a small fleet either."""
    for number in range(12):
        evaluation.add(
            _evidence(failed=2),
            host_id=HOSTS[0],
            zone_id=HOME_ZONE,
            now=Millis(200 * number),
            thresholds=SENSITIVE,
        )
    assert not _is_gray(evaluation, SENSITIVE, live=HOSTS[:3])
