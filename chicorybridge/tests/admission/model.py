"""A compact model of offered load against slots, without a network.

Hosts of several zones start requests at slots that the zones of a region
share. A host knows at once of the slots that it frees itself; of others it
knows when news of them arrive, after 100 to 200 ms. Each host decides with
the code of the product.
"""

import dataclasses
import heapq
import itertools
import math
import random
import statistics
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, ServiceId
from chicorybridge.routing.fleet_queues import FleetQueues
from chicorybridge.routing.fleet_requests import FleetRequest, serving_order
from chicorybridge.routing.queue_reports import QueueBook
from chicorybridge.routing.queues import RequestQueue
from chicorybridge.routing.ranks import Rank

PULL = ServiceId('pull')
ZONES = 4
SLOTS_PER_HOST = 4
REPORT_MS = 100
FIRST_MS = 2000
LAST_MS = 4000


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


@dataclasses.dataclass(kw_only=True)
class Host:
    """A host with a queue of the new and one of the previous kind."""

    number: int
    zone: int
    queues: FleetQueues
    previous: RequestQueue[Ask] = dataclasses.field(
        default_factory=RequestQueue
    )
    waiting: list[Ask] = dataclasses.field(default_factory=list)
    check_at: float = 0


@dataclasses.dataclass(kw_only=True)
class Load:
    """The offered load as a factor of the room, and its shape."""

    factor: float
    hosts: int
    duration_ms: float = 16_000
    seed: int = 1
    # Factor of the load of a zone at a time.
    shape: Callable[[int, float], float] = lambda zone, now: 1
    # Share of slots that take four times as long.
    slow: float = 0
    # Share of the requests that one workspace sends, of those of ten.
    hot_workspace: float = 0


class Model:
    """Plays a load with the new queues or the previous ones."""

    def __init__(self, load: Load, *, is_new: bool) -> None:
        """Prepare the hosts; `run` plays the load."""
        self.load = load
        self._is_new = is_new
        self._rng = random.Random(load.seed)
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._serial = itertools.count()
        self.now: float = 0
        self.asks: list[Ask] = []
        self.hosts = [
            Host(
                number=number,
                zone=number % ZONES,
                queues=FleetQueues(book=QueueBook(), rng=random.Random(number)),
            )
            for number in range(load.hosts)
        ]
        regions = ZONES // 2
        self._room = load.hosts * SLOTS_PER_HOST // regions
        self._busy = [0] * regions
        # What the hosts of a region hold for busy.
        self._known_busy = [0] * regions
        self._busy_of_zone = [0] * ZONES
        self._known_of_zone = [0] * ZONES
        self._mean_ms = statistics.fmean(kind.work_ms for kind in KINDS)

    def run(self) -> 'Model':
        """Play the load and let all requests end."""
        slowness = 1 + 3 * self.load.slow
        room = self._room * len(self._busy) / slowness
        for kind in KINDS:
            for zone in range(ZONES):
                rate = room * self.load.factor * kind.share
                self._later(0, self._arrive, (kind, zone, rate / ZONES))
        for host in self.hosts:
            self._later(self._rng.random() * REPORT_MS, self._report, host)
        self._later(REPORT_MS, self._spread, None)
        while self._events:
            self.now, _, action, content = heapq.heappop(self._events)
            action(content)
        return self

    def _later(
        self, delay_ms: float, action: Callable[[Any], None], content: Any
    ) -> None:
        event = (self.now + delay_ms, next(self._serial), action, content)
        heapq.heappush(self._events, event)

    def _arrive(self, stream: tuple[Kind, int, float]) -> None:
        kind, zone, work_rate = stream
        factor = self.load.shape(zone, self.now)
        most = 3.0
        pause_ms = self._rng.expovariate(work_rate * most / kind.work_ms)
        if self.now + pause_ms < self.load.duration_ms:
            self._later(pause_ms, self._arrive, stream)
        if self._rng.random() < factor / most:
            self._ask(kind, zone)

    def _ask(self, kind: Kind, zone: int) -> None:
        hosts = [host for host in self.hosts if host.zone == zone]
        host = self._rng.choice(hosts)
        now = Millis(self.now)
        workspace: Any = None
        if self.load.hot_workspace:
            is_hot = self._rng.random() < self.load.hot_workspace
            workspace = 0 if is_hot else 1 + self._rng.randrange(9)
        ask = Ask(
            arrived_at=now,
            latency_target_at=Millis(now + kind.target_ms),
            deadline_at=Millis(now + kind.deadline_ms),
            rank=Rank(first=kind.rank, second=kind.rank),
            service_id=PULL,
            urgency=(kind.rank, kind.rank),
            work_ms=self._work_ms(kind),
            high_work_ms=2.3 * self._work_ms(kind),
            workspace_id=workspace,
            kind=kind,
            zone=zone,
            host=host.number,
        )
        self.asks.append(ask)
        if self._is_new:
            host.queues.arrived(ask, now=now)
            slots = self._slots_of(zone)
            if host.queues.decide(ask, slots=slots, now=now) is not None:
                ask.refused_at = self.now
                return
        host.waiting.append(ask)
        host.previous.add(ask)
        host.queues.add(ask)
        self._serve(host, freed=False)
        if ask.started_at is None:
            self._later(20, self._check, host)
            self._later(REPORT_MS, self._expire, (host, ask))

    def _slots_of(self, zone: int) -> float:
        region = zone % len(self._busy)
        equal_share = self._known_busy[region] * len(self._busy) / ZONES
        return max(self._known_of_zone[zone], equal_share)

    def _work_ms(self, kind: Kind) -> float:
        return kind.work_ms * (1 + 3 * self.load.slow)

    def _serve(self, host: Host, *, freed: bool) -> None:
        region = host.zone % len(self._busy)
        now = Millis(self.now)
        order: list[Any] = (
            serving_order(host.waiting, now=now)
            if self._is_new
            else list(
                host.previous.serving_order(now=now, expected_ms=self._mean_ms)
            )
        )
        found = False
        for ask in order:
            known = self._busy[region] if freed else self._known_busy[region]
            if known >= self._room or self._busy[region] >= self._room:
                break
            found = True
            self._start(host, ask, region)
        host.previous.record_check(found=found, rng=self._rng, now=now)

    def _start(self, host: Host, ask: Ask, region: int) -> None:
        self._leave(host, ask)
        host.queues.started(PULL, now=Millis(self.now))
        ask.started_at = self.now
        self._busy[region] += 1
        self._known_busy[region] += 1
        self._busy_of_zone[host.zone] += 1
        mean_ms = ask.kind.work_ms
        if self._rng.random() < self.load.slow:
            mean_ms *= 4
        # Gamma distributed, with a deviation of half the mean.
        self._later(
            self._rng.gammavariate(4, mean_ms / 4), self._end, (host, ask)
        )

    def _end(self, ended: tuple[Host, Ask]) -> None:
        host, ask = ended
        region = host.zone % len(self._busy)
        self._busy[region] -= 1
        self._busy_of_zone[host.zone] -= 1
        if self.now <= ask.deadline_at:
            ask.ended_at = self.now
        self._serve(host, freed=True)

    def _check(self, host: Host) -> None:
        if not host.waiting:
            return
        if self.now >= host.previous.check_at:
            self._serve(host, freed=False)
        if host.waiting and self.now >= host.check_at:
            host.check_at = max(self.now + 5, host.previous.check_at)
            self._later(host.check_at - self.now, self._check, host)

    def _expire(self, waiter: tuple[Host, Ask]) -> None:
        host, ask = waiter
        if ask not in host.waiting:
            return
        now = Millis(self.now)
        left_ms = ask.deadline_at - now
        is_over = left_ms < self._mean_ms * settings.MIN_RUN_TIME_FACTOR
        if self._is_new and not is_over:
            slots = self._slots_of(host.zone)
            rejection = host.queues.reconsider(ask, slots=slots, now=now)
            is_over = rejection is not None
        if is_over:
            ask.refused_at = self.now
            self._leave(host, ask)
            return
        self._later(settings.TICK_MS, self._expire, (host, ask))

    def _leave(self, host: Host, ask: Ask) -> None:
        host.waiting.remove(ask)
        host.previous.remove(ask)
        host.queues.remove(ask, now=Millis(self.now))

    def _report(self, host: Host) -> None:
        if self.now > self.load.duration_ms:
            return
        self._later(REPORT_MS, self._report, host)
        report = host.queues.report(now=Millis(self.now))
        if report is None or not self._is_new:
            return
        delay_ms = self._rng.uniform(100, 200)
        self._later(delay_ms, self._receive, (host, report))

    def _receive(self, sent: tuple[Host, Any]) -> None:
        sender, report = sent
        sender_id = HostId(str(sender.number))
        for host in self.hosts[sender.zone :: ZONES]:
            if host is not sender:
                host.queues.book.record_host(
                    sender_id, report, now=Millis(self.now)
                )

    def _spread(self, _: None) -> None:
        """Tell all hosts which slots are in use."""
        self._known_busy = list(self._busy)
        self._known_of_zone = list(self._busy_of_zone)
        if self.now < self.load.duration_ms + 5000:
            self._later(REPORT_MS, self._spread, None)


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
    # Shares of the deadline at which the latest of 20 was refused.
    late_refusal: float


def outcome(model: 'Model') -> Outcome:
    """Sum up what became of the requests while the load was steady.

    Without the last seconds, after which the rest of the queue would be
    served with no load beside it.
    """
    last_at = model.load.duration_ms - LAST_MS
    asks = [ask for ask in model.asks if FIRST_MS <= ask.arrived_at < last_at]
    by_rank: dict[int, list[Ask]] = defaultdict(list)
    for ask in asks:
        by_rank[ask.rank.first].append(ask)
    waits = sorted(
        ask.started_at - ask.arrived_at
        for ask in asks
        if ask.started_at is not None
    )
    refusals = sorted(
        (ask.refused_at - ask.arrived_at) / ask.kind.deadline_ms
        for ask in asks
        if ask.refused_at is not None
    )
    return Outcome(
        asked={rank: len(some) for rank, some in sorted(by_rank.items())},
        served={
            rank: _share(some, lambda ask: ask.ended_at is not None)
            for rank, some in sorted(by_rank.items())
        },
        timely={
            rank: _share(some, is_timely)
            for rank, some in sorted(by_rank.items())
        },
        timely_count=sum(map(is_timely, asks)),
        served_share=_share(asks, lambda ask: ask.ended_at is not None),
        mean_wait_ms=statistics.fmean(waits),
        high_wait_ms=waits[int(0.95 * len(waits))],
        refused=len(refusals),
        late_refusal=refusals[int(0.95 * len(refusals))] if refusals else 0,
    )


def is_timely(ask: Ask) -> bool:
    """Return whether a request was answered within its target latency."""
    return ask.ended_at is not None and ask.ended_at <= ask.latency_target_at


def wave(zone: int, now: float) -> float:
    """Return a wave of 0.55 with a different phase in each zone."""
    phase = now / 13_000 + zone / ZONES
    return 1 + 0.55 * math.sin(2 * math.pi * phase)


def hot_zone(zone: int, now: float) -> float:
    """Return the load of a fleet whose first zone gets twice the mean."""
    return 2 if not zone else 2 / 3


def _share(asks: list[Ask], holds: Callable[[Ask], bool]) -> float:
    return sum(map(holds, asks)) / max(1, len(asks))
