"""Hosts with the real detection code on a faulty channel."""

import random
from collections.abc import Mapping

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import (
    HostId,
    Incarnation,
    TargetId,
    Version,
    ZoneId,
)
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.detection.detections import Detection
from chicorybridge.detection.observations import Observer
from chicorybridge.routing.weights import Weights
from chicorybridge.settings import TICK_MS
from chicorybridge.tools.models.mixed_declarations import ZONES, numbered_name
from chicorybridge.tools.simulations.channels import FaultyChannel


class DetectionHost:
    """One host: observer and weights of its entry, and its detection."""

    def __init__(
        self, *, host_id: HostId, zone_id: ZoneId, incarnation: Incarnation
    ) -> None:
        """Start without a configuration."""
        self.host_id = host_id
        self.zone_id = zone_id
        self.incarnation = incarnation
        self.observer = Observer(host_id=host_id)
        self.weights = Weights()
        self.detection = Detection(
            host_id=host_id,
            zone_id=zone_id,
            incarnation=incarnation,
            rng=random.Random(incarnation),
        )


class DetectionFleet:
    """Hosts in four zones that are informed of each other."""

    def __init__(
        self, *, hosts: int, declaration: Declaration, seed: int
    ) -> None:
        """Start all hosts with a configuration of version 1."""
        self.channel = FaultyChannel(seed=seed)
        self.declaration = declaration
        self.version = Version(1)
        self.hosts_by_id: dict[HostId, DetectionHost] = {}
        self.ended_incarnations: set[Incarnation] = set()
        self._messages_seen = 0
        self._incarnations = 0
        for number in range(hosts):
            self.start_host(HostId(numbered_name('host', number)))
        self.update_hosts()

    @property
    def now(self) -> Millis:
        """Return the time of the channel's clock."""
        return self.channel.clock.now()

    def start_host(self, host_id: HostId) -> DetectionHost:
        """Start a host, or replace it by a new incarnation."""
        self._incarnations += 1
        number = int(host_id.rpartition('-')[2])
        host = DetectionHost(
            host_id=host_id,
            zone_id=ZONES[number % len(ZONES)],
            incarnation=Incarnation(self._incarnations),
        )
        self.hosts_by_id[host_id] = host
        self.channel.add(host_id, host.observer, host.weights, host.detection)
        self.configure_host(host_id)
        return host

    def crash_host(self, host_id: HostId) -> None:
        """Remove a host; its incarnation counts as ended."""
        self.ended_incarnations.add(self.hosts_by_id.pop(host_id).incarnation)
        self.channel.remove(host_id)

    def configure_host(self, host_id: HostId) -> None:
        """Configure one host with the newest version."""
        host = self.hosts_by_id[host_id]
        host.observer.configure(self.declaration)
        host.weights.configure(self.declaration)
        effects = host.detection.configure(
            self.declaration,
            version=self.version,
            now=self.channel.clock.now(),
        )
        self.channel.execute(host_id, effects)

    def update_hosts(self) -> None:
        """Pass incarnations of live and ended hosts to every detection."""
        incarnations = {
            host_id: host.incarnation
            for host_id, host in self.hosts_by_id.items()
        }
        for host in self.hosts_by_id.values():
            host.detection.update_hosts(
                incarnations,
                gone=frozenset(self.ended_incarnations),
                now=self.channel.clock.now(),
            )

    def run(self, *, for_ms: float = TICK_MS) -> None:
        """Advance all hosts and deliver the messages to their entries."""
        self.channel.run(for_ms=for_ms)
        for _, host_id, message in self.channel.entry_messages:
            host = self.hosts_by_id.get(host_id)
            if host is not None:
                host.weights.receive(
                    message, sender=host_id, now=self.channel.clock.now()
                )
        self.channel.entry_messages.clear()

    def limited_by_host(self) -> Mapping[HostId, set[TargetId]]:
        """Return the targets whose requests each entry limits."""
        return {
            host_id: host.weights.limited
            for host_id, host in self.hosts_by_id.items()
        }
