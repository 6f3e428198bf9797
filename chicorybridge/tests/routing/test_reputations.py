"""What signs of all hosts say of a target."""

import pytest

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import TargetId
from chicorybridge.routing.reputations import (
    ReputationTable,
    Sign,
    TargetSeen,
)

ONE = TargetId('i-1')
START = Millis(1000)


def _seen(sign: Sign, latency_ms: int = 0) -> TargetSeen:
    return TargetSeen(target_id=ONE, sign=sign, latency_ms=latency_ms)


def test_one_break_seen_anywhere_makes_a_target_doubtful():
    table = ReputationTable()
    table.hear(_seen(Sign.answered), now=START)
    assert table.of(ONE).sound_at(START) == pytest.approx(0.92, abs=0.03)
    table.hear(_seen(Sign.broke), now=START)
    assert table.of(ONE).sound_at(START) == pytest.approx(0, abs=0.1)


def test_error_of_the_target_weighs_less_than_a_break():
    broken, failed = ReputationTable(), ReputationTable()
    broken.see(_seen(Sign.broke), now=START)
    failed.see(_seen(Sign.failed), now=START)
    assert broken.of(ONE).sound_at(START) < failed.of(ONE).sound_at(START)


def test_old_news_loses_its_weight():
    table = ReputationTable()
    table.see(_seen(Sign.broke), now=START)
    later = Millis(START + settings.REPUTATION_DECAY_MS * 10)
    assert table.of(ONE).sound_at(later) == pytest.approx(
        settings.SOUND_SHARE, abs=0.01
    )


def test_own_failure_to_connect_says_nothing_of_the_target():
    table = ReputationTable()
    before = table.of(ONE).sound_at(START)
    table.see(_seen(Sign.unreachable), now=START)
    assert table.of(ONE).sound_at(START) == before
    assert table.of(ONE).unreachable_until > START


def test_latencies_of_all_hosts_count_for_a_while():
    table = ReputationTable()
    for _ in range(6):
        table.hear(_seen(Sign.answered, 500), now=START)
    assert table.of(ONE).latencies_at(START) == [500] * 6
    later = Millis(START + settings.LATENCY_WINDOW_MS + 1)
    assert not table.of(ONE).latencies_at(later)


def test_rejection_makes_a_target_less_likely_to_be_chosen():
    table = ReputationTable()
    table.see(_seen(Sign.answered), now=START)
    before = table.of(ONE).sound_at(START)
    table.hear(_seen(Sign.rejected), now=START)
    assert before - table.of(ONE).sound_at(START) > settings.CHOICE_LOSS_MARGIN


def test_word_of_another_region_gives_way_to_what_was_seen_here():
    table = ReputationTable()
    table.adopt(ONE, 0.3, now=START)
    assert table.of(ONE).sound_at(START) == pytest.approx(0.3)
    table.see(_seen(Sign.answered), now=START)
    seen = table.of(ONE).sound_at(START)
    table.adopt(ONE, 0.1, now=START)
    assert table.of(ONE).sound_at(START) == seen
