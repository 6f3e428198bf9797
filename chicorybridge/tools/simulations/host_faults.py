"""Random faults of hosts, links and the store in a simulated fleet."""

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId
from chicorybridge.fleet.freshness import ECHO_TIMEOUT_MS
from chicorybridge.settings import TICK_MS
from chicorybridge.tools.simulations.detection_fleets import DetectionFleet

# Probability that a fault starts in a tick.
PAUSE_CHANCE = 0.004
CRASH_CHANCE = 0.002
CUT_CHANCE = 0.01
OUTAGE_CHANCE = 0.003
# Maximum durations of faults.
MAX_PAUSE_MS = 40_000.0
MAX_FAULT_MS = 40_000.0
# A host crashes only while more than this number have not crashed.
MIN_HOSTS = 4
# Shares of lost store replies, and of lost and duplicated messages.
UNANSWERED_SHARE = 0.1
LOSS_SHARE = 0.02
DUPLICATE_SHARE = 0.02

Link = tuple[HostId, HostId]


class HostFaults:
    """Pause, crash, cut off and restart hosts; start store outages."""

    def __init__(self, *, fleet: DetectionFleet) -> None:
        """Start with a lossy channel and no other fault."""
        # Hosts that have not received the newest configuration.
        self.unconfigured: set[HostId] = set()
        self._fleet = fleet
        self._channel = fleet.channel
        self._rng = fleet.channel.rng
        self._paused_since: dict[HostId, Millis] = {}
        self._resumes_at: dict[HostId, float] = {}
        self._starts_at: dict[HostId, float] = {}
        self._heals_at: dict[Link, float] = {}
        self._store_outage_ends_at: float = 0
        self._channel.loss_share = LOSS_SHARE
        self._channel.duplicate_share = DUPLICATE_SHARE
        self._channel.store.unanswered_share = UNANSWERED_SHARE

    def tick(self) -> None:
        """End the faults that are due and start others at random."""
        self._end_due()
        self._report_paused_as_ended()
        hosts = sorted(self._fleet.hosts_by_id)
        running = [
            host_id for host_id in hosts if host_id not in self._channel.paused
        ]
        if self._happens(PAUSE_CHANCE) and len(running) > 1:
            self._pause(self._rng.choice(running))
        if self._happens(CRASH_CHANCE) and len(hosts) > MIN_HOSTS:
            self._crash(self._rng.choice(hosts))
        if self._happens(CUT_CHANCE):
            self._cut(hosts)
        if self._happens(OUTAGE_CHANCE):
            self._channel.store.outage = True
            self._store_outage_ends_at = self._random_end(MAX_FAULT_MS)

    def _happens(self, chance: float) -> bool:
        return self._rng.random() < chance

    def _random_end(self, max_ms: float) -> float:
        return self._fleet.now + self._rng.uniform(TICK_MS, max_ms)

    def _pause(self, host_id: HostId) -> None:
        self._channel.paused.add(host_id)
        self._paused_since[host_id] = self._fleet.now
        self._resumes_at[host_id] = self._random_end(MAX_PAUSE_MS)

    def _report_paused_as_ended(self) -> None:
        """Report hosts as ended after a pause longer than the echo timeout."""
        for host_id, since in tuple(self._paused_since.items()):
            if self._fleet.now - since > ECHO_TIMEOUT_MS:
                self._paused_since.pop(host_id)
                host = self._fleet.hosts_by_id[host_id]
                self._fleet.ended_incarnations.add(host.incarnation)
                self._fleet.update_hosts()

    def _crash(self, host_id: HostId) -> None:
        self._channel.paused.discard(host_id)
        self._paused_since.pop(host_id, None)
        self._resumes_at.pop(host_id, None)
        self.unconfigured.discard(host_id)
        self._fleet.crash_host(host_id)
        self._fleet.update_hosts()
        self._starts_at[host_id] = self._random_end(MAX_FAULT_MS)

    def _cut(self, hosts: list[HostId]) -> None:
        """Cut links from one host to some others, or in both directions."""
        cut_host = self._rng.choice(hosts)
        others = self._rng.sample(hosts, self._rng.randint(1, len(hosts)))
        is_both_ways = self._happens(1 / 2)
        ends_at = self._random_end(MAX_FAULT_MS)
        for other in others:
            if other == cut_host:
                continue
            self._heals_at[cut_host, other] = ends_at
            if is_both_ways:
                self._heals_at[other, cut_host] = ends_at
        self._channel.cut_links = set(self._heals_at)

    def _end_due(self) -> None:
        now = self._fleet.now
        for host_id in _pop_due(self._resumes_at, now):
            self._resume(host_id)
        for host_id in _pop_due(self._starts_at, now):
            self._fleet.start_host(host_id)
            self._fleet.update_hosts()
        if _pop_due(self._heals_at, now):
            self._channel.cut_links = set(self._heals_at)
        if now >= self._store_outage_ends_at:
            self._channel.store.outage = False

    def _resume(self, host_id: HostId) -> None:
        """Resume a paused host; it no longer counts as ended."""
        self._channel.paused.discard(host_id)
        self._paused_since.pop(host_id, None)
        host = self._fleet.hosts_by_id[host_id]
        self._fleet.ended_incarnations.discard(host.incarnation)
        self._fleet.update_hosts()


def _pop_due(ends_at: dict, now: float) -> list:
    """Remove and return the keys whose time is at or before `now`."""
    due = [key for key, end in ends_at.items() if end <= now]
    for key in due:
        ends_at.pop(key)
    return due
