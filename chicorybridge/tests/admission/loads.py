"""Loads of the model of admission, and what callers got."""

import dataclasses
import math
import statistics
from collections import defaultdict
from collections.abc import Callable, Iterator

from chicorybridge.common.identities import ServiceId
from chicorybridge.admission.fleet_requests import FleetRequest

PULL = ServiceId('pull')
# Requests that arrive before or in the last seconds of a load don't count, as
# the rest of a queue is served with no load beside it.
FIRST_MS = 2000
LAST_MS = 4000
ZONES = 4
# Factor of the load of a zone at a time.
Shape = Callable[[int, float], float]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """A type of request: its share of the offered work and its times."""

    rank: int
    share: float
    work_ms: float
    target_ms: float
    deadline_ms: float


KINDS = (
    Kind(rank=0, share=0.2, work_ms=200, target_ms=800, deadline_ms=3100),
    Kind(rank=1, share=0.4, work_ms=250, target_ms=1000, deadline_ms=3100),
    Kind(rank=2, share=0.4, work_ms=300, target_ms=2000, deadline_ms=4000),
)


@dataclasses.dataclass(kw_only=True, eq=False)
class Ask(FleetRequest):
    """A request of the model and what became of it."""

    kind: Kind
    zone: int
    host: int
    started_at: float | None = None
    ended_at: float | None = None
    refused_at: float | None = None


def _steady(zone: int, now: float) -> float:
    return 1


@dataclasses.dataclass(kw_only=True)
class Load:
    """The offered load as a factor of the room, and its shape."""

    factor: float
    hosts: int
    duration_ms: float = 16_000
    seed: int = 1
    # Factor of the load of a zone at a time.
    shape: Shape = _steady
    # Share of slots that take four times as long.
    slow: float = 0
    # Share of the requests that one workspace sends, of those of ten.
    hot_workspace: float = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """What callers got, by rank, with waits and times of refusal."""

    asked: dict[int, int]
    served: dict[int, float]
    timely: dict[int, float]
    timely_count: int
    served_share: float
    mean_wait_ms: float
    high_wait_ms: float
    refused: int
    # Shares of the deadline at which half of the requests that were refused,
    # and 19 of 20, had been.
    median_refusal: float
    late_refusal: float


def outcome(load: Load, all_asks: list[Ask]) -> Outcome:
    """Sum up what became of the requests while the load was steady.

    Without the last seconds, after which the rest of the queue would be
    served with no load beside it.
    """
    last_at = load.duration_ms - LAST_MS
    asks = [ask for ask in all_asks if FIRST_MS <= ask.arrived_at < last_at]
    by_rank: dict[int, list[Ask]] = defaultdict(list)
    for ask in asks:
        by_rank[ask.rank.first].append(ask)
    waits = sorted(_waits(asks))
    refusals = sorted(_refusals(asks))
    return Outcome(
        asked={rank: len(some) for rank, some in sorted(by_rank.items())},
        served={
            rank: _share(some, is_served)
            for rank, some in sorted(by_rank.items())
        },
        timely={
            rank: _share(some, is_timely)
            for rank, some in sorted(by_rank.items())
        },
        timely_count=sum(map(is_timely, asks)),
        served_share=_share(asks, is_served),
        mean_wait_ms=statistics.fmean(waits),
        high_wait_ms=waits[int(0.95 * len(waits))],
        refused=len(refusals),
        median_refusal=refusals[len(refusals) // 2] if refusals else 0,
        late_refusal=refusals[int(0.95 * len(refusals))] if refusals else 0,
    )


def is_served(ask: Ask) -> bool:
    """Return whether a request was answered before its deadline."""
    return ask.ended_at is not None


def is_timely(ask: Ask) -> bool:
    """Return whether a request was answered within its target latency."""
    return ask.ended_at is not None and ask.ended_at <= ask.latency_target_at


def wave(zone: int, now: float) -> float:
    """Return a wave of 0.55 with a different phase in each zone."""
    phase = now / 13_000 + zone / ZONES
    return 1 + 0.55 * math.sin(2 * math.pi * phase)


def hot_zone(zone: int, now: float) -> float:
    """Return the load of a fleet whose first zone gets twice the mean."""
    return 2 / 3 if zone else 2


def _share(asks: list[Ask], holds: Callable[[Ask], bool]) -> float:
    return sum(map(holds, asks)) / max(1, len(asks))


def _waits(asks: list[Ask]) -> Iterator[float]:
    """Yield the times until requests were started."""
    for ask in asks:
        if ask.started_at is not None:
            yield ask.started_at - ask.arrived_at


def _refusals(asks: list[Ask]) -> Iterator[float]:
    """Yield the times until requests were refused, by their deadline."""
    for ask in asks:
        if ask.refused_at is not None:
            yield (ask.refused_at - ask.arrived_at) / ask.kind.deadline_ms
