"""Random applies and faults, checked against the specification."""

import random
from collections.abc import Callable
from typing import TypeAlias

from chicorybridge.common.events import EventKind
from chicorybridge.settings import TICK_MS
from chicorybridge.tools.simulations.fleets import AppliedFleet, Fleet
from chicorybridge.tools.specifications.configuration_observers import (
    ConfigurationObserver,
)

APPLY_INTERVAL_MS = (3000, 20_000)
FAULT_INTERVAL_MS = (2000, 15_000)
FAULT_DURATION_MS = (500, 40_000)
START_DELAY_MS = 8000

EndFault: TypeAlias = Callable[[], None]


class ConfigurationRun:
    """Simulate applies and faults, and check the fleet after each tick."""

    def __init__(self, *, seed: int, size: int = 6, versions: int = 100):
        """Start `size` hosts without a version; apply at most `versions`."""
        self.fleet = Fleet(size=size, seed=seed)
        self.fleet.operator('operator')
        self.channel = self.fleet.channel
        self.rng = random.Random(seed)
        self.accepted = 0
        self._observer = ConfigurationObserver(
            fleet=self.fleet, versions=versions
        )
        self._hosts = sorted(self.fleet.hosts_by_id)
        self._applies = 0
        self._next_apply_at: float = START_DELAY_MS
        self._next_fault_at: float = START_DELAY_MS
        self._active_faults: list[tuple[float, EndFault]] = []

    def run(self, *, for_ms: float) -> bool:
        """Simulate `for_ms`; return whether the specification allows it."""
        end = self.channel.clock.now() + for_ms
        while self.channel.clock.now() < end:
            self._step_faults()
            self.channel.run(for_ms=TICK_MS)
            self._record_accepted()
            observed = self._observer.observe(accepted=self.accepted)
            if not self._observer.explain(observed):
                return False
        return True

    def _step_faults(self) -> None:
        now = self.channel.clock.now()
        ended = [
            end_fault
            for ends_at, end_fault in self._active_faults
            if ends_at <= now
        ]
        self._active_faults = [
            fault for fault in self._active_faults if fault[0] > now
        ]
        for end_fault in ended:
            end_fault()
        if now >= self._next_apply_at:
            self._next_apply_at = now + self.rng.uniform(*APPLY_INTERVAL_MS)
            self._apply()
        if now >= self._next_fault_at:
            self._next_fault_at = now + self.rng.uniform(*FAULT_INTERVAL_MS)
            ends_at = now + self.rng.uniform(*FAULT_DURATION_MS)
            self._active_faults.append((ends_at, self._start_fault()))

    def _apply(self) -> None:
        self._applies += 1
        base = max(
            host.rollouts.active.head.version if host.rollouts.active else 0
            for host in self.fleet.hosts_by_id.values()
        )
        AppliedFleet.apply(
            self.fleet,  # type: ignore[arg-type]
            f'version-{self._applies}',
            base=base,
            at=self.rng.choice(self._hosts),
        )

    def _start_fault(self) -> EndFault:
        host_id = self.rng.choice(self._hosts)
        channel = self.channel
        match self.rng.randrange(5):
            case 0:
                channel.paused.add(host_id)
                return lambda: channel.paused.discard(host_id)
            case 1:
                channel.hosts_without_store.add(host_id)
                return lambda: channel.hosts_without_store.discard(host_id)
            case 2:
                channel.store.outage = True
                return lambda: setattr(channel.store, 'outage', False)
            case 3:
                channel.paused.discard(host_id)
                zone = self._hosts.index(host_id) % self.fleet.zones
                self.fleet.start(host_id, zone=zone)
                return lambda: None
        return self._cut_host()

    def _cut_host(self) -> EndFault:
        cut_off = self.rng.choice(self._hosts)
        links = {(cut_off, other) for other in self._hosts}
        if self.rng.randrange(2):
            links |= {(other, cut_off) for other in self._hosts}
        self.channel.cut_links |= links
        return lambda: self.channel.cut_links.difference_update(links)

    def _record_accepted(self) -> None:
        for _, _, event in self.channel.events:
            if event.kind is EventKind.configuration_accepted:
                version = event.facts['version']
                self.accepted = max(self.accepted, version)
        self.channel.events.clear()
