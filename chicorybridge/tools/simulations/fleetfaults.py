"""Random faults of a fleet on the faulty channel."""

import random
from collections.abc import Callable

from chicorybridge.common.identities import HostId
from chicorybridge.storage.stores import HostState
from chicorybridge.tools.simulations.fleets import Fleet

ZONES = 4
# Probability of each of the two variants of a fault.
VARIANT_CHANCE = 0.5
# Probability that a host may confirm versions at once.
SETTLED_SHARE = 0.9
# Maximum number of hosts that are paused at once.
MAX_PAUSED = 3
# Maximum shares of lost and duplicated messages, and of store requests
# without an answer.
MAX_LOSS = 0.3
MAX_DUPLICATES = 0.2
MAX_UNANSWERED = 0.5


class FleetFaults:
    """Start random faults of a fleet, and end all of them."""

    def __init__(self, *, fleet: Fleet, rng: random.Random) -> None:
        """Use `rng` for all random numbers."""
        self._fleet = fleet
        self._rng = rng
        self._crashed: dict[HostId, int] = {}
        self.faults: tuple[Callable[[], None], ...] = (
            self._cut_region,
            self._cut_host,
            self._heal_links,
            self._pause_hosts,
            self._crash_host,
            self._restart_host,
            self._change_store,
            self._change_losses,
            self._unlist_host,
            self._change_settled,
        )

    def random_hosts(self) -> list[HostId]:
        """Return up to half of the hosts, at random."""
        hosts = sorted(self._fleet.hosts_by_id)
        return self._rng.sample(hosts, self._rng.randint(1, len(hosts) // 2))

    def isolate(self) -> list[HostId]:
        """Cut random hosts off from the others and the store.

        Return the others.
        """
        group = self.random_hosts()
        others = [
            host_id
            for host_id in self._fleet.hosts_by_id
            if host_id not in group
        ]
        self._fleet.cut(group, others)
        if self._rng.random() < VARIANT_CHANCE:
            self._fleet.cut(others, group)
        self._fleet.channel.hosts_without_store |= set(group)
        return others

    def heal(self) -> None:
        """End all faults and restart the crashed hosts."""
        channel = self._fleet.channel
        self._heal_links()
        channel.paused.clear()
        channel.store.outage = False
        channel.store.unanswered_share = 0
        channel.loss_share = 0
        channel.duplicate_share = 0
        for host_id, zone in tuple(self._crashed.items()):
            self._start(host_id, zone)
        for host in self._fleet.hosts_by_id.values():
            host.is_settled = True

    def _cut_region(self) -> None:
        north, south = (
            self._fleet.hosts_of_region(0),
            self._fleet.hosts_of_region(1),
        )
        direction = self._rng.choice((1, 2, 3))
        if direction != 1:
            self._fleet.cut(north, south)
        if direction != 2:
            self._fleet.cut(south, north)

    def _cut_host(self) -> None:
        host_id = self._random_host()
        others = self.random_hosts()
        if self._rng.random() < VARIANT_CHANCE:
            self._fleet.cut([host_id], others)
            return
        self._fleet.cut(others, [host_id])

    def _heal_links(self) -> None:
        self._fleet.channel.cut_links.clear()
        self._fleet.channel.hosts_without_store.clear()

    def _pause_hosts(self) -> None:
        # This replaces the set, so hosts paused earlier resume.
        paused = self.random_hosts()[:MAX_PAUSED]
        self._fleet.channel.paused = set(self._rng.choice((paused, ())))

    def _crash_host(self) -> None:
        if len(self._fleet.hosts_by_id) <= ZONES:
            return
        host_id = self._random_host()
        zone_id = self._fleet.zone_of(host_id)
        self._crashed[host_id] = int(zone_id.removeprefix('zone-'))
        self._fleet.crash(host_id)
        if self._rng.random() < VARIANT_CHANCE:
            self._fleet.unlist(host_id)

    def _restart_host(self) -> None:
        for host_id, zone in tuple(self._crashed.items())[:1]:
            self._start(host_id, zone)

    def _start(self, host_id: HostId, zone: int) -> None:
        seeds = tuple(self.random_hosts())
        self._fleet.start(host_id, zone=zone, seeds=seeds)
        self._crashed.pop(host_id)

    def _change_store(self) -> None:
        self._fleet.channel.hosts_without_store |= set(
            self._rng.choice(((), self.random_hosts()))
        )
        store = self._fleet.channel.store
        store.outage = not store.outage
        store.unanswered_share = self._rng.choice(
            (0, self._rng.uniform(0, MAX_UNANSWERED))
        )

    def _change_losses(self) -> None:
        channel = self._fleet.channel
        channel.loss_share = self._rng.choice(
            (0, self._rng.uniform(0, MAX_LOSS))
        )
        channel.duplicate_share = self._rng.uniform(0, MAX_DUPLICATES)

    def _unlist_host(self) -> None:
        host_id = self._random_host()
        self._fleet.unlist(host_id)
        if self._rng.random() < VARIANT_CHANCE:
            self._fleet.list_host(host_id, state=HostState.live)

    def _change_settled(self) -> None:
        for host in self._fleet.hosts_by_id.values():
            host.is_settled = self._rng.random() < SETTLED_SHARE

    def _random_host(self) -> HostId:
        return self._rng.choice(sorted(self._fleet.hosts_by_id))
