"""Random applies and faults on a real fleet, followed by an observer."""

import random
from collections.abc import Callable
from typing import TypeAlias

from chicorybridge.common.events import EventKind
from chicorybridge.settings import TICK_MS
from chicorybridge.tools.simulations.fleets import AppliedFleet, Fleet
from chicorybridge.tools.specifications.configuration_observers import (
    ConfigurationObserver,
)

APPLY_PAUSE_MS = (3000, 20_000)
FAULT_PAUSE_MS = (2000, 15_000)
FAULT_MS = (500, 40_000)
QUIET_MS = 8000

Mend: TypeAlias = Callable[[], None]


class ConfigurationRun:
    """Apply versions and start faults; explain every tick."""

    def __init__(self, *, seed: int, size: int = 6, versions: int = 100):
        """Start `size` hosts without a version."""
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
        self._apply_at: float = QUIET_MS
        self._fault_at: float = QUIET_MS
        self._mends: list[tuple[float, Mend]] = []

    def run(self, *, for_ms: float) -> bool:
        """Tell whether the specification explains the whole run."""
        end = self.channel.clock.now() + for_ms
        while self.channel.clock.now() < end:
            self._disturb()
            self.channel.run(for_ms=TICK_MS)
            self._note_accepted()
            observed = self._observer.observe(accepted=self.accepted)
            if not self._observer.explain(observed):
                return False
        return True

    def _disturb(self) -> None:
        now = self.channel.clock.now()
        over = [mend for due, mend in self._mends if due <= now]
        self._mends = [left for left in self._mends if left[0] > now]
        for mend in over:
            mend()
        if now >= self._apply_at:
            self._apply_at = now + self.rng.uniform(*APPLY_PAUSE_MS)
            self._apply()
        if now >= self._fault_at:
            self._fault_at = now + self.rng.uniform(*FAULT_PAUSE_MS)
            until = now + self.rng.uniform(*FAULT_MS)
            self._mends.append((until, self._fault()))

    def _apply(self) -> None:
        self._applies += 1
        newest = max(
            host.rollouts.active.head.version if host.rollouts.active else 0
            for host in self.fleet.hosts_by_id.values()
        )
        AppliedFleet.apply(
            self.fleet,  # type: ignore[arg-type]
            f'version-{self._applies}',
            base=newest,
            at=self.rng.choice(self._hosts),
        )

    def _fault(self) -> Mend:
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
        return self._cut()

    def _cut(self) -> Mend:
        cut_off = self.rng.choice(self._hosts)
        links = {(cut_off, other) for other in self._hosts}
        if self.rng.randrange(2):
            links |= {(other, cut_off) for other in self._hosts}
        self.channel.cut_links |= links
        return lambda: self.channel.cut_links.difference_update(links)

    def _note_accepted(self) -> None:
        for _, _, event in self.channel.events:
            if event.kind is EventKind.configuration_accepted:
                version = event.facts['version']
                self.accepted = max(self.accepted, version)
        self.channel.events.clear()
