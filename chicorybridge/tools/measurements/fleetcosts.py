"""Measure what membership and rollouts cost, and how fast versions spread.

python -m chicorybridge.tools.measurements.fleetcosts --sizes 6 20 44

Hosts are the real decision code on the faulty channel, with 12 ms between
regions.
Bytes are those of the encoded messages, without framing of streams.
Processor time includes encoding and decoding and the channel itself.
"""

import argparse
import dataclasses
import statistics
import sys
import time
from typing import Any

from chicorybridge.common.codecs import pack
from chicorybridge.common.errors import require
from chicorybridge.common.identities import HostId
from chicorybridge.common.systems import Send
from chicorybridge.configuration.versions import ApplyStage
from chicorybridge.tools.simulations.channels import FaultyChannel
from chicorybridge.tools.simulations.fleets import AppliedFleet

QUIET_MS = 30_000
STEP_MS = 20
GIVEN_UP_MS = 30_000
MILLIS_PER_SECOND = 1000
PERCENTILES = 100


@dataclasses.dataclass(kw_only=True, slots=True)
class Traffic:
    """Messages and bytes sent, and the bytes between regions."""

    messages: int = 0
    sent_bytes: int = 0
    far_bytes: int = 0


class CountingChannel(FaultyChannel):
    """Count what is sent."""

    def __init__(self, *, seed: int) -> None:
        """Start with nothing counted."""
        super().__init__(seed=seed)
        self.traffic = Traffic()

    def execute(self, host_id: HostId, effects: Any) -> None:
        """Count sends, and carry all effects out."""
        listed = list(effects)
        for effect in listed:
            if isinstance(effect, Send):
                self._count(host_id, effect)
        super().execute(host_id, listed)

    def _count(self, host_id: HostId, send: Send) -> None:
        size = len(pack(send.message))
        self.traffic.messages += 1
        self.traffic.sent_bytes += size
        regions = self.region_by_host
        if regions.get(host_id) != regions.get(send.to):
            self.traffic.far_bytes += size


class CountedFleet(AppliedFleet):
    """A fleet on a counting channel."""

    def open_channel(self, *, seed: int) -> CountingChannel:
        """Return the channel that counts."""
        self.counting = CountingChannel(seed=seed)
        return self.counting


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FleetCost:
    """What one size of fleet costs, per host and second when quiet."""

    size: int
    messages: float
    sent_bytes: float
    far_bytes_fleet: float
    processor_ms: float
    in_force_p50_ms: float
    in_force_p99_ms: float
    in_force_max_ms: float
    rollout_far_bytes: float


def measure(size: int, *, seed: int, applies: int) -> FleetCost:
    """Measure one size: a quiet time first, then versions one by one."""
    fleet = CountedFleet(size=size, seed=seed)
    processor_ms = _stay_quiet(fleet)
    quiet = fleet.counting.traffic
    fleet.counting.traffic = Traffic()
    begun = fleet.channel.clock.now()
    waits = [_apply(fleet, base) for base in range(1, applies + 1)]
    elapsed = fleet.channel.clock.now() - begun
    host_seconds = size * QUIET_MS / MILLIS_PER_SECOND
    idle_far = quiet.far_bytes * elapsed / QUIET_MS
    return FleetCost(
        size=size,
        messages=round(quiet.messages / host_seconds, 1),
        sent_bytes=round(quiet.sent_bytes / host_seconds),
        far_bytes_fleet=round(quiet.far_bytes * MILLIS_PER_SECOND / QUIET_MS),
        processor_ms=round(processor_ms / host_seconds, 2),
        in_force_p50_ms=round(statistics.median(waits)),
        in_force_p99_ms=round(_tail(waits)),
        in_force_max_ms=round(max(waits)),
        rollout_far_bytes=round(
            (fleet.counting.traffic.far_bytes - idle_far) / applies
        ),
    )


def _tail(waits: list[float]) -> float:
    cuts = statistics.quantiles(waits, n=PERCENTILES, method='inclusive')
    return cuts[-1]


def _stay_quiet(fleet: CountedFleet) -> float:
    """Let time pass without changes; return the processor time in ms."""
    fleet.counting.traffic = Traffic()
    started = time.process_time()
    fleet.channel.run(for_ms=QUIET_MS)
    return (time.process_time() - started) * MILLIS_PER_SECOND


def _apply(fleet: CountedFleet, base: int) -> float:
    """Return the ms from the request until the version is accepted."""
    fleet.channel.run(for_ms=fleet.rng.uniform(0, MILLIS_PER_SECOND))
    begun = fleet.channel.clock.now()
    fleet.apply(f'version-{base}', base=base)
    while True:
        fleet.channel.run(for_ms=STEP_MS, tick_ms=STEP_MS)
        waited = fleet.channel.clock.now() - begun
        require(promise='in force in time', holds=waited < GIVEN_UP_MS)
        if fleet.last_progress.stage is ApplyStage.accepted:
            return waited


def main() -> None:
    """Print one line for each size asked for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', type=int, nargs='+', required=True)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--applies', type=int, default=100)
    options = parser.parse_args()
    for size in options.sizes:
        cost = measure(size, seed=options.seed, applies=options.applies)
        sys.stdout.write(f'{cost}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
