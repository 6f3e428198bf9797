"""When a silent attempt is given up for another target."""

import pytest

from chicorybridge.common.clocks import Millis
from chicorybridge.routing.hedging import SilentAttempt, hedge_delay_ms
from chicorybridge.routing.service_latencies import LatencySummary

# Ninety-seven of a hundred answers take up to 397 ms, the others 2 s.
SUMMARY = LatencySummary(
    at=Millis(0),
    mean_ms=400,
    ordered_ms=[300 + number for number in range(97)] + [2000] * 3,
)
TARGET_LATENCY_MS = 1200


def _delay_ms(
    *,
    soundness: float,
    spent_share: float = 0,
    aim_left_ms: float = TARGET_LATENCY_MS,
) -> float:
    attempt = SilentAttempt(
        soundness=soundness,
        aim_left_ms=aim_left_ms,
        left_ms=TARGET_LATENCY_MS,
        spent_share=spent_share,
    )
    return hedge_delay_ms(attempt, SUMMARY)


@pytest.mark.parametrize('soundness', [0, 0.1, 0.5, 0.9, 0.995, 1])
def test_attempt_gets_half_the_usual_answers_at_least(soundness):
    delay_ms = _delay_ms(soundness=soundness)
    assert 350 <= delay_ms <= 2000


def test_doubtful_target_is_given_up_sooner():
    delays = [_delay_ms(soundness=share / 10) for share in range(1, 11)]
    assert delays == sorted(delays)
    assert delays[0] < delays[-1]


def test_attempt_gets_longer_as_retries_run_out():
    delays = [
        _delay_ms(soundness=0.7, spent_share=share) for share in (0, 0.5, 1, 5)
    ]
    assert delays == sorted(delays)
    assert len(set(delays)) == 3
    assert delays[2] == delays[3]
    # Another attempt still ends within the target latency.
    assert delays[2] == TARGET_LATENCY_MS - 390


def test_late_request_does_not_wait_for_a_target_latency_that_is_over():
    late = _delay_ms(soundness=0.7, spent_share=1, aim_left_ms=-5000)
    assert late == _delay_ms(soundness=0.7)


@pytest.mark.parametrize(('aim_left_ms', 'left_ms'), [(1000, 400), (400, 1000)])
def test_two_attempts_share_the_time_while_latencies_are_unknown(
    aim_left_ms, left_ms
):
    attempt = SilentAttempt(
        soundness=0.7, aim_left_ms=aim_left_ms, left_ms=left_ms, spent_share=0
    )
    summary = LatencySummary(at=Millis(0), mean_ms=0, ordered_ms=())
    assert hedge_delay_ms(attempt, summary) == 200


def test_attempt_gets_longer_than_the_few_known_latencies():
    attempt = SilentAttempt(
        soundness=0.7, aim_left_ms=1000, left_ms=1000, spent_share=0
    )
    summary = LatencySummary(at=Millis(0), mean_ms=800, ordered_ms=[800])
    assert hedge_delay_ms(attempt, summary) > 800
