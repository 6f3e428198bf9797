"""When a silent attempt of a request is given up for another target.

An attempt gets as long as its target is more probably slow than gray. While
the fleet has few retries left it gets longer: until another attempt would
end after the target latency.
"""

import dataclasses

from chicorybridge import settings
from chicorybridge.routing.service_latencies import LatencySummary


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SilentAttempt:
    """An attempt that is about to be sent.

    `soundness` is the probability that its target is sound, `aim_left_ms`
    the time left until the target latency of the request, `left_ms` that
    until its deadline, and `spent_share` the share of the allowed retries
    that is used up.
    """

    soundness: float
    aim_left_ms: float
    left_ms: float
    spent_share: float


def hedge_delay_ms(attempt: SilentAttempt, summary: LatencySummary) -> float:
    """Return how long to wait for an answer before another target is tried.

    While too few latencies are known, two attempts share the time, but none
    is given up that takes little longer than an earlier one.
    """
    unusual_ms = summary.quantile_ms(1 - _silent_share(attempt.soundness))
    likely_ms = summary.quantile_ms(settings.RETRY_FIT_SHARE)
    if unusual_ms is None or likely_ms is None:
        half_ms = min(attempt.left_ms, max(0, attempt.aim_left_ms)) / 2
        slowest_ms = max(summary.ordered_ms, default=0)
        return max(half_ms, slowest_ms * settings.FEW_LATENCIES_FACTOR)
    latest_ms = max(unusual_ms, attempt.aim_left_ms - likely_ms)
    spent_share = min(1, attempt.spent_share)
    return unusual_ms + (latest_ms - unusual_ms) * spent_share


def _silent_share(soundness: float) -> float:
    """Return the share of sound attempts that last until the target is doubted.

    After that time a target from which nothing came is gray with at least
    the probability `HEDGE_GRAY_PROBABILITY`.
    """
    gray_silent = (1 - soundness) * settings.GRAY_FAILED_SHARE
    odds = settings.HEDGE_GRAY_PROBABILITY / (
        1 - settings.HEDGE_GRAY_PROBABILITY
    )
    share = gray_silent / (odds * max(soundness, settings.MIN_SOUNDNESS))
    return min(
        settings.MAX_HEDGED_SOUND_SHARE,
        max(settings.SOUND_STALLED_SHARE, share),
    )
