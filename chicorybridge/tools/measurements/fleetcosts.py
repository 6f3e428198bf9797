"""Measure costs of membership and rollouts, and the time of rollouts.

python -m chicorybridge.tools.measurements.fleetcosts --sizes 6 20 44

Hosts run the real decision code on the faulty channel, with a delay of 12 ms
between regions.
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

IDLE_MS = 30_000
STEP_MS = 20
APPLY_TIMEOUT_MS = 30_000
MILLIS_PER_SECOND = 1000
PERCENTILES = 100


@dataclasses.dataclass(kw_only=True, slots=True)
class Traffic:
    """Numbers of messages and bytes sent; also of bytes between regions."""

    messages: int = 0
    sent_bytes: int = 0
    cross_region_bytes: int = 0


class CountingChannel(FaultyChannel):
    """Count the messages and bytes that hosts send."""

    def __init__(self, *, seed: int) -> None:
        """Start at zero."""
        super().__init__(seed=seed)
        self.traffic = Traffic()

    def execute(self, host_id: HostId, effects: Any) -> None:
        """Count the sent messages, then execute all effects."""
        effect_list = list(effects)
        for effect in effect_list:
            if isinstance(effect, Send):
                self._count(host_id, effect)
        super().execute(host_id, effect_list)

    def _count(self, host_id: HostId, send: Send) -> None:
        size = len(pack(send.message))
        self.traffic.messages += 1
        self.traffic.sent_bytes += size
        regions = self.region_by_host
        if regions.get(host_id) != regions.get(send.to):
            self.traffic.cross_region_bytes += size


class CountingFleet(AppliedFleet):
    """A fleet on a channel that counts messages."""

    def open_channel(self, *, seed: int) -> CountingChannel:
        """Return a channel that counts messages."""
        self.counting_channel = CountingChannel(seed=seed)
        return self.counting_channel


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FleetCost:
    """Costs of a fleet of one size, per idle host and second.

    `far_bytes_fleet` is bytes between regions per second of the whole
    fleet, `rollout_far_bytes` those of one rollout, `in_force_*_ms` the
    time from the request until a version is accepted.
    """

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
    """Measure an idle fleet of `size` hosts, then `applies` rollouts."""
    fleet = CountingFleet(size=size, seed=seed)
    processor_ms = _run_idle(fleet)
    idle = fleet.counting_channel.traffic
    fleet.counting_channel.traffic = Traffic()
    started_at = fleet.channel.clock.now()
    apply_times_ms = [
        _measure_apply(fleet, base) for base in range(1, applies + 1)
    ]
    elapsed = fleet.channel.clock.now() - started_at
    host_seconds = size * IDLE_MS / MILLIS_PER_SECOND
    idle_cross_region_bytes = idle.cross_region_bytes * elapsed / IDLE_MS
    return FleetCost(
        size=size,
        messages=round(idle.messages / host_seconds, 1),
        sent_bytes=round(idle.sent_bytes / host_seconds),
        far_bytes_fleet=round(
            idle.cross_region_bytes * MILLIS_PER_SECOND / IDLE_MS
        ),
        processor_ms=round(processor_ms / host_seconds, 2),
        in_force_p50_ms=round(statistics.median(apply_times_ms)),
        in_force_p99_ms=round(_upper_percentile(apply_times_ms)),
        in_force_max_ms=round(max(apply_times_ms)),
        rollout_far_bytes=round(
            (
                fleet.counting_channel.traffic.cross_region_bytes
                - idle_cross_region_bytes
            )
            / applies
        ),
    )


def _upper_percentile(apply_times_ms: list[float]) -> float:
    percentiles = statistics.quantiles(
        apply_times_ms, n=PERCENTILES, method='inclusive'
    )
    return percentiles[-1]


def _run_idle(fleet: CountingFleet) -> float:
    """Run without changes; return the processor time in milliseconds."""
    fleet.counting_channel.traffic = Traffic()
    started = time.process_time()
    fleet.channel.run(for_ms=IDLE_MS)
    return (time.process_time() - started) * MILLIS_PER_SECOND


def _measure_apply(fleet: CountingFleet, base: int) -> float:
    """Apply a version; return the milliseconds until it is accepted."""
    fleet.channel.run(for_ms=fleet.rng.uniform(0, MILLIS_PER_SECOND))
    started_at = fleet.channel.clock.now()
    fleet.apply(f'version-{base}', base=base)
    while True:
        fleet.channel.run(for_ms=STEP_MS, tick_ms=STEP_MS)
        elapsed_ms = fleet.channel.clock.now() - started_at
        require(
            promise='a version is accepted within the timeout',
            holds=elapsed_ms < APPLY_TIMEOUT_MS,
        )
        if fleet.last_progress.stage is ApplyStage.accepted:
            return elapsed_ms


def main() -> None:
    """Measure the sizes of the arguments and print one line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', type=int, nargs='+', required=True)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--applies', type=int, default=100)
    arguments = parser.parse_args()
    for size in arguments.sizes:
        cost = measure(size, seed=arguments.seed, applies=arguments.applies)
        sys.stdout.write(f'{cost}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
