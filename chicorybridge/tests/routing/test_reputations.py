"""Tests of the reputation of targets from results on all hosts."""

import pytest

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import TargetId
from chicorybridge.routing.reputations import (
    ReputationTable,
    Sign,
    TargetSeen,
)

TARGET_ID = TargetId('i-1')
START = Millis(1000)


def _seen(sign: Sign, latency_ms: int = 0) -> TargetSeen:
    return TargetSeen(target_id=TARGET_ID, sign=sign, latency_ms=latency_ms)


def test_broken_connection_on_any_host_lowers_soundness():
    table = ReputationTable()
    table.record_remote(_seen(Sign.answered), now=START)
    assert table.of(TARGET_ID).soundness_at(START) == pytest.approx(
        0.92, abs=0.03
    )
    table.record_remote(_seen(Sign.broke), now=START)
    assert table.of(TARGET_ID).soundness_at(START) == pytest.approx(0, abs=0.1)


def test_error_status_weighs_less_than_a_broken_connection():
    broken, failed = ReputationTable(), ReputationTable()
    broken.record_own(_seen(Sign.broke), now=START)
    failed.record_own(_seen(Sign.failed), now=START)
    assert broken.of(TARGET_ID).soundness_at(START) < failed.of(
        TARGET_ID
    ).soundness_at(START)


def test_soundness_decays_to_the_prior():
    table = ReputationTable()
    table.record_own(_seen(Sign.broke), now=START)
    later = Millis(START + settings.REPUTATION_DECAY_MS * 10)
    assert table.of(TARGET_ID).soundness_at(later) == pytest.approx(
        settings.SOUND_SHARE, abs=0.01
    )


def test_own_failure_to_connect_keeps_soundness():
    table = ReputationTable()
    before = table.of(TARGET_ID).soundness_at(START)
    table.record_own(_seen(Sign.unreachable), now=START)
    assert table.of(TARGET_ID).soundness_at(START) == before
    assert table.of(TARGET_ID).unreachable_until > START


def test_rejection_lowers_soundness():
    table = ReputationTable()
    table.record_own(_seen(Sign.answered), now=START)
    before = table.of(TARGET_ID).soundness_at(START)
    table.record_remote(_seen(Sign.rejected), now=START)
    assert (
        before - table.of(TARGET_ID).soundness_at(START)
        > settings.CHOICE_LOSS_MARGIN
    )


def test_own_results_override_those_of_another_region():
    table = ReputationTable()
    table.adopt_estimate(TARGET_ID, 0.3, now=START)
    assert table.of(TARGET_ID).soundness_at(START) == pytest.approx(0.3)
    table.record_own(_seen(Sign.answered), now=START)
    seen = table.of(TARGET_ID).soundness_at(START)
    table.adopt_estimate(TARGET_ID, 0.1, now=START)
    assert table.of(TARGET_ID).soundness_at(START) == seen
