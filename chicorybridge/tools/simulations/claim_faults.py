"""Faults of randomised runs of claims: each starts, lasts and is mended."""

import random
from collections.abc import Callable
from typing import TypeAlias

from chicorybridge.common.identities import HostId
from chicorybridge.tools.simulations.channels import FaultyChannel
from chicorybridge.tools.simulations.claim_fleets import ClaimFleet

SHORT_MS = (200, 30_000)
LONG_MS = (60_000, 600_000)

Mend: TypeAlias = Callable[[], None]
Lasting: TypeAlias = tuple[float, float]
Fault: TypeAlias = tuple[Callable[[], Mend], Lasting]

# Draws of the faults of hosts for one draw of a fault of the store.
HOST_WEIGHT = 4


class ClaimFaults:
    """Draw faults of a fleet and mend them when they are over."""

    def __init__(self, *, fleet: ClaimFleet, rng: random.Random) -> None:
        """Start without faults."""
        self._fleet = fleet
        self._channel: FaultyChannel = fleet.channel
        self._rng = rng
        self._mends: list[tuple[float, Mend]] = []
        hosts: tuple[Fault, ...] = (
            (self._cut_link, SHORT_MS),
            (self._cut_off, SHORT_MS),
            (self._pause_host, SHORT_MS),
            (self._pause_control, SHORT_MS),
            (self._pause_entry, SHORT_MS),
            (self._replace_host, SHORT_MS),
            (self._replace_control, SHORT_MS),
            (self._replace_entry, SHORT_MS),
        )
        self._faults: tuple[Fault, ...] = (
            *(hosts * HOST_WEIGHT),
            (self._lose_store, LONG_MS),
            (self._part_from_store, LONG_MS),
        )

    def start(self) -> None:
        """Start one more fault."""
        fault, lasting = self._rng.choice(self._faults)
        mend = fault()
        due = self._channel.clock.now() + self._rng.uniform(*lasting)
        self._mends.append((due, mend))

    def mend(self) -> None:
        """Mend the faults that are over."""
        now = self._channel.clock.now()
        over = [mend for due, mend in self._mends if due <= now]
        self._mends = [left for left in self._mends if left[0] > now]
        for mend in over:
            mend()

    def _host(self) -> HostId:
        return self._rng.choice(sorted(self._fleet.claims_by_host))

    def _cut_link(self) -> Mend:
        links = {(self._host(), self._host())}
        return self._cut(links)

    def _cut_off(self) -> Mend:
        one = self._host()
        others = set(self._fleet.claims_by_host) - {one}
        links = {(other, one) for other in others}
        if self._rng.random() < 1 / 2:
            links |= {(one, other) for other in others}
        return self._cut(links)

    def _cut(self, links: set[tuple[HostId, HostId]]) -> Mend:
        self._channel.cut_links |= links
        return lambda: self._channel.cut_links.difference_update(links)

    def _pause_host(self) -> Mend:
        host_id = self._host()
        self._channel.paused.add(host_id)
        self._fleet.paused_entries.add(host_id)
        return lambda: self._wake(host_id)

    def _pause_control(self) -> Mend:
        host_id = self._host()
        self._channel.paused.add(host_id)
        return lambda: self._wake(host_id)

    def _pause_entry(self) -> Mend:
        host_id = self._host()
        self._fleet.paused_entries.add(host_id)
        return lambda: self._wake(host_id)

    def _wake(self, host_id: HostId) -> None:
        self._channel.paused.discard(host_id)
        self._fleet.paused_entries.discard(host_id)

    def _replace_host(self) -> Mend:
        host_id = self._host()
        self._wake(host_id)
        self._fleet.replace_host(host_id)
        return _nothing

    def _replace_control(self) -> Mend:
        host_id = self._host()
        self._channel.paused.discard(host_id)
        self._fleet.replace_control(host_id)
        return _nothing

    def _replace_entry(self) -> Mend:
        host_id = self._host()
        self._fleet.paused_entries.discard(host_id)
        self._fleet.replace_entry(host_id)
        return _nothing

    def _lose_store(self) -> Mend:
        self._channel.store.outage = True
        return lambda: setattr(self._channel.store, 'outage', False)

    def _part_from_store(self) -> Mend:
        host_id = self._host()
        self._channel.hosts_without_store.add(host_id)
        return lambda: self._channel.hosts_without_store.discard(host_id)


def _nothing() -> None:
    """Mend a fault that has no end of its own."""
