"""Random faults in simulations of claims; each ends after some time."""

import random
from collections.abc import Callable
from typing import TypeAlias

from chicorybridge.common.identities import HostId
from chicorybridge.tools.simulations.channels import FaultyChannel
from chicorybridge.tools.simulations.claim_fleets import ClaimFleet

SHORT_FAULT_MS = (200, 30_000)
LONG_FAULT_MS = (60_000, 600_000)

EndFault: TypeAlias = Callable[[], None]
DurationRange: TypeAlias = tuple[float, float]
Fault: TypeAlias = tuple[Callable[[], EndFault], DurationRange]

# Relative frequency of each fault of a host to each fault of the store.
HOST_FAULT_WEIGHT = 4


class ClaimFaults:
    """Start random faults of a fleet, and end them when they are due."""

    def __init__(self, *, fleet: ClaimFleet, rng: random.Random) -> None:
        """Start without faults."""
        self._fleet = fleet
        self._channel: FaultyChannel = fleet.channel
        self._rng = rng
        self._active: list[tuple[float, EndFault]] = []
        host_faults: tuple[Fault, ...] = (
            (self._cut_link, SHORT_FAULT_MS),
            (self._cut_host, SHORT_FAULT_MS),
            (self._pause_host, SHORT_FAULT_MS),
            (self._pause_control, SHORT_FAULT_MS),
            (self._pause_entry, SHORT_FAULT_MS),
            (self._replace_host, SHORT_FAULT_MS),
            (self._replace_control, SHORT_FAULT_MS),
            (self._replace_entry, SHORT_FAULT_MS),
        )
        self._faults: tuple[Fault, ...] = (
            *(host_faults * HOST_FAULT_WEIGHT),
            (self._stop_store, LONG_FAULT_MS),
            (self._cut_from_store, LONG_FAULT_MS),
        )

    def start(self) -> None:
        """Start a random fault."""
        fault, duration_ms = self._rng.choice(self._faults)
        end_fault = fault()
        ends_at = self._channel.clock.now() + self._rng.uniform(*duration_ms)
        self._active.append((ends_at, end_fault))

    def end_due(self) -> None:
        """End the faults whose time is over."""
        now = self._channel.clock.now()
        ended = [
            end_fault for ends_at, end_fault in self._active if ends_at <= now
        ]
        self._active = [fault for fault in self._active if fault[0] > now]
        for end_fault in ended:
            end_fault()

    def _random_host(self) -> HostId:
        return self._rng.choice(sorted(self._fleet.claims_by_host))

    def _cut_link(self) -> EndFault:
        links = {(self._random_host(), self._random_host())}
        return self._cut(links)

    def _cut_host(self) -> EndFault:
        host_id = self._random_host()
        others = set(self._fleet.claims_by_host) - {host_id}
        links = {(other, host_id) for other in others}
        if self._rng.random() < 1 / 2:
            links |= {(host_id, other) for other in others}
        return self._cut(links)

    def _cut(self, links: set[tuple[HostId, HostId]]) -> EndFault:
        self._channel.cut_links |= links
        return lambda: self._channel.cut_links.difference_update(links)

    def _pause_host(self) -> EndFault:
        host_id = self._random_host()
        self._channel.paused.add(host_id)
        self._fleet.paused_entries.add(host_id)
        return lambda: self._resume(host_id)

    def _pause_control(self) -> EndFault:
        host_id = self._random_host()
        self._channel.paused.add(host_id)
        return lambda: self._resume(host_id)

    def _pause_entry(self) -> EndFault:
        host_id = self._random_host()
        self._fleet.paused_entries.add(host_id)
        return lambda: self._resume(host_id)

    def _resume(self, host_id: HostId) -> None:
        self._channel.paused.discard(host_id)
        self._fleet.paused_entries.discard(host_id)

    def _replace_host(self) -> EndFault:
        host_id = self._random_host()
        self._resume(host_id)
        self._fleet.replace_host(host_id)
        return _do_nothing

    def _replace_control(self) -> EndFault:
        host_id = self._random_host()
        self._channel.paused.discard(host_id)
        self._fleet.replace_control(host_id)
        return _do_nothing

    def _replace_entry(self) -> EndFault:
        host_id = self._random_host()
        self._fleet.paused_entries.discard(host_id)
        self._fleet.replace_entry(host_id)
        return _do_nothing

    def _stop_store(self) -> EndFault:
        self._channel.store.outage = True
        return lambda: setattr(self._channel.store, 'outage', False)

    def _cut_from_store(self) -> EndFault:
        host_id = self._random_host()
        self._channel.hosts_without_store.add(host_id)
        return lambda: self._channel.hosts_without_store.discard(host_id)


def _do_nothing() -> None:
    """End a replacement, which needs no action."""
