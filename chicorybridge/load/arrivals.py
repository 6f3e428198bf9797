"""Arrival times and kinds of the requests of a group of callers."""

import dataclasses
import random
from collections.abc import Iterator, Sequence

from chicorybridge.common.clocks import MILLIS_PER_SECOND
from chicorybridge.load.experiments import CallerGroup, RequestKind


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """A request that is due `at_ms` after the start of the run.

    `number` counts the arrivals of its group from 0.
    """

    number: int
    at_ms: float
    kind: RequestKind


def draw_arrivals(
    group: CallerGroup,
    kinds: Sequence[RequestKind],
    *,
    duration_ms: float,
    rng: random.Random,
) -> Iterator[Arrival]:
    """Yield arrivals of a Poisson process, independent of the answers.

    Kinds are drawn by their shares. Arrivals end at the `stop_ms` of the
    group, or at `duration_ms` if that is 0.
    """
    if group.requests_per_second <= 0:
        return
    shares = [kind.share for kind in kinds]
    rate = group.requests_per_second / MILLIS_PER_SECOND
    at_ms = group.start_ms + rng.expovariate(rate)
    number = 0
    while at_ms < (group.stop_ms or duration_ms):
        kind = rng.choices(kinds, weights=shares)[0]
        yield Arrival(number=number, at_ms=at_ms, kind=kind)
        at_ms += rng.expovariate(rate)
        number += 1
