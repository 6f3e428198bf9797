"""Random faults of hosts, links and store in a simulated fleet."""

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId
from chicorybridge.fleet.freshness import ECHO_TIMEOUT_MS
from chicorybridge.settings import TICK_MS
from chicorybridge.tools.simulations.detection_fleets import DetectionFleet

# Chances that something happens in a tick.
PAUSE_CHANCE = 0.004
CRASH_CHANCE = 0.002
CUT_CHANCE = 0.01
STORE_CHANCE = 0.003
# How long a fault lasts at most.
LONGEST_PAUSE_MS = 40_000.0
LONGEST_FAULT_MS = 40_000.0
FEWEST_HOSTS = 4
UNANSWERED_SHARE = 0.1
LOSS_SHARE = 0.02
DUPLICATE_SHARE = 0.02

Link = tuple[HostId, HostId]


class HostFaults:
    """Pause, crash, cut off and restart hosts; take the store away."""

    def __init__(self, *, fleet: DetectionFleet) -> None:
        """Start with a lossy channel and no other fault."""
        # Hosts that do not hold the newest configuration yet.
        self.unconfigured: set[HostId] = set()
        self._fleet = fleet
        self._channel = fleet.channel
        self._rng = fleet.channel.rng
        self._paused_since: dict[HostId, Millis] = {}
        self._wakes_at: dict[HostId, float] = {}
        self._starts_at: dict[HostId, float] = {}
        self._heals_at: dict[Link, float] = {}
        self._store_back_at: float = 0
        self._channel.loss_share = LOSS_SHARE
        self._channel.duplicate_share = DUPLICATE_SHARE
        self._channel.store.unanswered_share = UNANSWERED_SHARE

    def tick(self) -> None:
        """End the faults that are due and perhaps start others."""
        self._end()
        self._give_up_paused()
        hosts = sorted(self._fleet.hosts_by_id)
        running = [each for each in hosts if each not in self._channel.paused]
        if self._happens(PAUSE_CHANCE) and len(running) > 1:
            self._pause(self._rng.choice(running))
        if self._happens(CRASH_CHANCE) and len(hosts) > FEWEST_HOSTS:
            self._crash(self._rng.choice(hosts))
        if self._happens(CUT_CHANCE):
            self._cut(hosts)
        if self._happens(STORE_CHANCE):
            self._channel.store.outage = True
            self._store_back_at = self._until(LONGEST_FAULT_MS)

    def _happens(self, chance: float) -> bool:
        return self._rng.random() < chance

    def _until(self, longest_ms: float) -> float:
        return self._fleet.now + self._rng.uniform(TICK_MS, longest_ms)

    def _pause(self, host_id: HostId) -> None:
        self._channel.paused.add(host_id)
        self._paused_since[host_id] = self._fleet.now
        self._wakes_at[host_id] = self._until(LONGEST_PAUSE_MS)

    def _give_up_paused(self) -> None:
        """Let the fleet count hosts as gone that paused for too long."""
        for host_id, since in tuple(self._paused_since.items()):
            if self._fleet.now - since > ECHO_TIMEOUT_MS:
                self._paused_since.pop(host_id)
                host = self._fleet.hosts_by_id[host_id]
                self._fleet.gone.add(host.incarnation)
                self._fleet.update_hosts()

    def _crash(self, host_id: HostId) -> None:
        self._channel.paused.discard(host_id)
        self._paused_since.pop(host_id, None)
        self._wakes_at.pop(host_id, None)
        self.unconfigured.discard(host_id)
        self._fleet.crash_host(host_id)
        self._fleet.update_hosts()
        self._starts_at[host_id] = self._until(LONGEST_FAULT_MS)

    def _cut(self, hosts: list[HostId]) -> None:
        """Cut one host off, one way or both, from some others."""
        victim = self._rng.choice(hosts)
        others = self._rng.sample(hosts, self._rng.randint(1, len(hosts)))
        is_both_ways = self._happens(1 / 2)
        until = self._until(LONGEST_FAULT_MS)
        for other in others:
            if other == victim:
                continue
            self._heals_at[victim, other] = until
            if is_both_ways:
                self._heals_at[other, victim] = until
        self._channel.cut_links = set(self._heals_at)

    def _end(self) -> None:
        now = self._fleet.now
        for woken in _take_due(self._wakes_at, now):
            self._wake(woken)
        for started in _take_due(self._starts_at, now):
            self._fleet.start_host(started)
            self._fleet.update_hosts()
        if _take_due(self._heals_at, now):
            self._channel.cut_links = set(self._heals_at)
        if now >= self._store_back_at:
            self._channel.store.outage = False

    def _wake(self, host_id: HostId) -> None:
        """Let a host go on; it is heard again, so it is not gone."""
        self._channel.paused.discard(host_id)
        self._paused_since.pop(host_id, None)
        host = self._fleet.hosts_by_id[host_id]
        self._fleet.gone.discard(host.incarnation)
        self._fleet.update_hosts()


def _take_due(until: dict, now: float) -> list:
    """Take out the keys whose time has come, and return them."""
    due = [key for key, end in until.items() if end <= now]
    for key in due:
        until.pop(key)
    return due
