"""In-memory channel with faults between the systems of many hosts.

It executes the effects of the systems: sends, store requests and events.
Messages pass through the codec, so that an unregistered type fails as it
would on the wire. All random numbers come from one seeded generator; the
same seed gives the same run.
"""

import heapq
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from chicorybridge.common.clocks import ManualClock, Millis
from chicorybridge.common.codecs import pack, unpack
from chicorybridge.common.events import Event
from chicorybridge.common.identities import HostId
from chicorybridge.common.systems import (
    CallStore,
    Effect,
    Emit,
    Send,
    SendToEntries,
    System,
)
from chicorybridge.settings import TICK_MS
from chicorybridge.standins.faults import FaultyTables
from chicorybridge.standins.tables import MemoryTables

Callback = Callable[[], None]


class FaultyChannel:
    """Run the systems of many hosts on one manual clock."""

    def __init__(self, *, seed: int) -> None:
        """Start without hosts and without faults."""
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.store = FaultyTables(tables=MemoryTables(), rng=self.rng)
        self.systems_by_host: dict[HostId, Sequence[System]] = {}
        self.events: list[tuple[Millis, HostId, Event]] = []
        self.entry_messages: list[tuple[Millis, HostId, Any]] = []
        # Links that drop all messages in one direction: (sender, receiver).
        self.cut_links: set[tuple[HostId, HostId]] = set()
        # Paused hosts, and hosts that cannot reach the store.
        self.paused: set[HostId] = set()
        self.hosts_without_store: set[HostId] = set()
        self.loss_share: float = 0
        self.duplicate_share: float = 0
        self.delay_ms = (0.5, 1)
        # Delay between hosts of different regions in `region_by_host`.
        self.cross_region_delay_ms = (12.0, 13.0)
        self.region_by_host: dict[HostId, str] = {}
        self.store_delay_ms = (1, 5)
        self._queue: list[tuple[float, int, Callback]] = []
        self._serial = 0

    def add(self, host_id: HostId, *systems: System) -> None:
        """Add a host, or replace it by a new incarnation."""
        self.systems_by_host[host_id] = systems

    def remove(self, host_id: HostId) -> None:
        """Remove a crashed host; messages in transit to it are lost."""
        self.systems_by_host.pop(host_id, None)

    def run(self, *, for_ms: float, tick_ms: float = TICK_MS) -> None:
        """Advance the clock by `for_ms`, ticking every host."""
        end = self.clock.now() + for_ms
        while self.clock.now() < end:
            self._deliver_until(min(end, self.clock.now() + tick_ms))
            for host_id in sorted(self.systems_by_host):
                self.tick(host_id)

    def tick(self, host_id: HostId) -> None:
        """Tick all systems of one host unless it is paused."""
        if host_id in self.paused:
            return
        for system in self.systems_by_host.get(host_id, ()):
            self.execute(host_id, system.tick(now=self.clock.now()))

    def deliver(self, host_id: HostId, message: Any, *, sender: HostId) -> None:
        """Deliver `message` to all systems of one host without delay."""
        for system in self.systems_by_host.get(host_id, ()):
            effects = system.receive(
                message, sender=sender, now=self.clock.now()
            )
            self.execute(host_id, effects)

    def execute(self, host_id: HostId, effects: Iterable[Effect]) -> None:
        """Execute the effects that a system of `host_id` returned."""
        for effect in effects:
            match effect:
                case Send():
                    self._send(host_id, effect)
                case SendToEntries():
                    self.entry_messages.append(
                        (self.clock.now(), host_id, effect.message)
                    )
                case CallStore():
                    self._call_store(host_id, effect)
                case Emit():
                    self.events.append(
                        (self.clock.now(), host_id, effect.event)
                    )

    def _send(self, sender: HostId, send: Send) -> None:
        if (sender, send.to) in self.cut_links:
            return
        if self.rng.random() < self.loss_share:
            return
        body = pack(send.message)
        copies = 2 if self.rng.random() < self.duplicate_share else 1
        for _ in range(copies):
            self._schedule_delivery(send.to, sender, body)

    def _schedule_delivery(
        self, receiver: HostId, sender: HostId, body: bytes
    ) -> None:
        def arrive() -> None:  # noqa: WPS430
            if receiver in self.paused:
                self._schedule(TICK_MS, arrive)
                return
            self.deliver(receiver, unpack(body), sender=sender)

        delay_ms = self._delay_range_ms(sender, receiver)
        self._schedule(self.rng.uniform(*delay_ms), arrive)

    def _delay_range_ms(self, sender: HostId, receiver: HostId) -> tuple:
        regions = self.region_by_host
        if regions.get(sender) == regions.get(receiver):
            return self.delay_ms
        return self.cross_region_delay_ms

    def _call_store(self, host_id: HostId, call: CallStore) -> None:
        systems = self.systems_by_host.get(host_id)
        if host_id in self.hosts_without_store:
            reply = FaultyTables.unavailable_reply(call.token)
        else:
            reply = self.store.execute(call.request, token=call.token)

        def answer() -> None:  # noqa: WPS430
            if host_id in self.paused:
                self._schedule(TICK_MS, answer)
                return
            if self.systems_by_host.get(host_id) is systems:
                self.deliver(host_id, reply, sender=host_id)

        self._schedule(self.rng.uniform(*self.store_delay_ms), answer)

    def _schedule(self, delay_ms: float, callback: Callback) -> None:
        self._serial += 1
        due = self.clock.now() + delay_ms
        heapq.heappush(self._queue, (due, self._serial, callback))

    def _deliver_until(self, end: float) -> None:
        while self._queue and self._queue[0][0] <= end:
            due, _, callback = heapq.heappop(self._queue)
            self.clock.advance(by_ms=max(0, due - self.clock.now()))
            callback()
        self.clock.advance(by_ms=end - self.clock.now())
