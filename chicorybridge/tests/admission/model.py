"""A compact model of offered load against slots, without a network.

Hosts of several zones start requests at slots that the zones of a region
share. A host knows at once of the slots that it frees itself; of others it
knows when news of them arrive, after 100 to 200 ms. Each host decides with
the code of the product.
"""

import dataclasses
import heapq
import itertools
import random
import statistics
from collections.abc import Callable
from typing import Any

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId
from chicorybridge.admission.fleet_queues import FleetQueues
from chicorybridge.admission.fleet_requests import serving_order
from chicorybridge.admission.queue_reports import QueueBook, QueueReport
from chicorybridge.routing.queues import RequestQueue
from chicorybridge.routing.ranks import Rank
from chicorybridge.tests.admission.loads import KINDS, PULL, Ask, Kind, Load

ZONES = 4
SLOTS_PER_HOST = 4
REPORT_MS = 100
Event = tuple[float, int, Callable[..., None], Any]

# Arrivals are drawn at this many times the mean rate, and then thinned.
MOST_FACTOR = 3


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


class Model:
    """Plays a load with the new queues or the previous ones."""

    def __init__(self, load: Load, *, is_new: bool) -> None:
        """Prepare the hosts; `run` plays the load."""
        self.load = load
        self._is_new = is_new
        self._rng = random.Random(load.seed)
        self._events: list[Event] = []
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
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2](event[3])
        return self

    def _later(
        self, delay_ms: float, action: Callable[[Any], None], content: Any
    ) -> None:
        event = (self.now + delay_ms, next(self._serial), action, content)
        heapq.heappush(self._events, event)

    def _arrive(self, stream: tuple[Kind, int, float]) -> None:
        kind, zone, work_rate = stream
        factor = self.load.shape(zone, self.now)
        pause_ms = self._rng.expovariate(work_rate * MOST_FACTOR / kind.work_ms)
        if self.now + pause_ms < self.load.duration_ms:
            self._later(pause_ms, self._arrive, stream)
        if self._rng.random() < factor / MOST_FACTOR:
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
        found = False
        for ask in self._order(host):
            known = self._busy[region] if freed else self._known_busy[region]
            if known >= self._room or self._busy[region] >= self._room:
                break
            found = True
            self._start(host, ask, region)
        host.previous.record_check(found=found, rng=self._rng, now=now)

    def _order(self, host: Host) -> list[Ask]:
        now = Millis(self.now)
        if self._is_new:
            return serving_order(host.waiting, now=now)
        return list(
            host.previous.serving_order(now=now, expected_ms=self._mean_ms)
        )

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
        """Send the report of a host, as `QueueReporter` does."""
        if self.now > self.load.duration_ms:
            return
        self._later(REPORT_MS, self._report, host)
        now = Millis(self.now)
        report = host.queues.report(now=now)
        aggregator = self._aggregator_of(host.zone)
        if host is aggregator:
            own = report or QueueReport(sent_at=now, loads=())
            totals = host.queues.book.totals(own, now=now)
            self._send(host, totals, self.hosts[host.zone :: ZONES])
        elif aggregator is None:
            self._send(host, report, self.hosts[host.zone :: ZONES])
        elif report is not None:
            host.queues.book.record_own(report)
            self._send(host, report, [aggregator])

    def _aggregator_of(self, zone: int) -> Host | None:
        hosts = self.hosts[zone::ZONES]
        is_large = len(hosts) >= settings.MIN_AGGREGATED_HOSTS
        return hosts[0] if is_large else None

    def _send(self, sender: Host, message: Any, hosts: list[Host]) -> None:
        """Deliver a message; two hops of sums take 100 to 200 ms more."""
        if message is None or not self._is_new:
            return
        is_direct = self._aggregator_of(sender.zone) is None
        delay_ms = self._rng.uniform(100, 200) if is_direct else 50
        receivers = [host for host in hosts if host is not sender]
        self._later(delay_ms, self._receive, (sender, message, receivers))

    def _receive(self, sent: tuple[Host, Any, list[Host]]) -> None:
        sender, message, receivers = sent
        sender_id = HostId(str(sender.number))
        now = Millis(self.now)
        for host in receivers:
            if isinstance(message, QueueReport):
                host.queues.book.record_host(sender_id, message, now=now)
            else:
                host.queues.book.record_totals(sender_id, message, now=now)

    def _spread(self, _: None) -> None:
        """Tell all hosts which slots are in use."""
        self._known_busy = list(self._busy)
        self._known_of_zone = list(self._busy_of_zone)
        if self.now < self.load.duration_ms + 5000:
            self._later(REPORT_MS, self._spread, None)
