"""Measure size and processing time of workload reports between hosts.

python -m chicorybridge.tools.measurements.workload_costs
"""

import dataclasses
import socket
import sys
import threading
import time
from typing import Any

import curio

from chicorybridge.common.addresses import parse_address
from chicorybridge.common.clocks import MILLIS_PER_SECOND, Clock, Millis
from chicorybridge.common.codecs import pack
from chicorybridge.common.identities import HostId, TargetId, ZoneId
from chicorybridge.fleet.channels import Channel, Datagram
from chicorybridge.routing.reputations import (
    ReputationTable,
    Sign,
    TargetSeen,
)
from chicorybridge.routing.workloads import (
    HostWorkload,
    WorkloadTable,
    ZoneTotals,
    ZoneWorkload,
)
from chicorybridge.tools.measurements.slopes import Slope, fit, measure_each

TARGET_COUNTS = (1, 2, 4, 8, 16)
SENDER = HostId('edge-availability-zone-12')
ZONE_ID = ZoneId('availability-zone')
# A host that has run for a day; real clock readings have a fraction, too.
SENT_AT = 86_400_000.1
LATENCY_MS = 321
SENT_REPORTS = 4000
SEND_INTERVAL_S = 0.0005
ADDRESS = '127.0.0.1:19799'


@dataclasses.dataclass(kw_only=True)
class Receiver:
    """Process workload reports as a host does, and count them."""

    workloads: WorkloadTable
    reputations: ReputationTable
    count: int = 0

    def receive(
        self, message: Any, sender: HostId, _arrived_after: Millis
    ) -> None:
        """Record one report."""
        self.count += 1
        now = Millis(self.count)
        self.workloads.record_host(sender, message, now=now)
        for seen in message.seen:
            self.reputations.record_remote(seen, now=now)


def measure_sizes() -> tuple[Slope, ...]:
    """Return the bytes of a datagram by the number of its targets."""
    return (
        fit(
            'bytes of one host report by targets with requests',
            unit='bytes',
            size_unit='targets',
            points=measure_each(TARGET_COUNTS, _report_bytes),
        ),
        fit(
            'bytes of one zone summary by targets of the zone',
            unit='bytes',
            size_unit='targets',
            points=measure_each(TARGET_COUNTS, _summary_bytes),
        ),
    )


def measure_totals_size() -> Slope:
    """Return the bytes of sums of an aggregator by changed targets."""
    return fit(
        'bytes of sums of an aggregator by targets with a result',
        unit='bytes',
        size_unit='targets',
        points=measure_each(TARGET_COUNTS, _totals_bytes),
    )


def measure_receiving() -> float:
    """Return the processor time of receiving one report, in microseconds.

    The reports arrive one by one over loopback, so that each wakes the
    receiver.
    """
    return curio.run(_receive)


async def _receive() -> float:
    receiver = Receiver(
        workloads=WorkloadTable(zone_id=ZONE_ID), reputations=ReputationTable()
    )
    channel = Channel(
        clock=Clock(),
        host_id=SENDER,
        address=ADDRESS,
        on_message=receiver.receive,
    )
    running = await curio.spawn(channel.run)
    sending = threading.Thread(target=_send)
    sending.start()
    started_at = time.thread_time()
    while sending.is_alive():
        await curio.sleep(SEND_INTERVAL_S * SENT_REPORTS / MILLIS_PER_SECOND)
    used_s = time.thread_time() - started_at
    await running.cancel()
    return used_s * MILLIS_PER_SECOND**2 / max(1, receiver.count)


def _send() -> None:
    body = pack(_report(1))
    peer = parse_address(ADDRESS)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(SENT_REPORTS):
            sender.sendto(body, (peer.host, peer.port))
            time.sleep(SEND_INTERVAL_S)


def _report(count: int) -> Datagram:
    seen = TargetSeen(
        target_id=_target_ids(1)[0],
        sign=Sign.answered,
        latency_ms=LATENCY_MS,
    )
    workload = HostWorkload(
        sent_at=SENT_AT,
        in_flight_by_id=dict.fromkeys(_target_ids(count), 1),
        seen=(seen,),
    )
    return Datagram(sender=SENDER, message=workload)


def _report_bytes(count: int) -> float:
    return len(pack(_report(count)))


def _totals_bytes(count: int) -> float:
    target_ids = _target_ids(count)
    totals = ZoneTotals(
        sent_at=SENT_AT,
        complete=False,
        in_flight_by_id=dict.fromkeys(target_ids, 1),
        seen_by_host={
            HostId(f'{SENDER}-{number}'): (
                TargetSeen(
                    target_id=target_id,
                    sign=Sign.answered,
                    latency_ms=LATENCY_MS,
                ),
            )
            for number, target_id in enumerate(target_ids)
        },
    )
    return len(pack(Datagram(sender=SENDER, message=totals)))


def _summary_bytes(count: int) -> float:
    target_ids = _target_ids(count)
    workload = ZoneWorkload(
        zone_id=ZONE_ID,
        sent_at=SENT_AT,
        in_flight_by_id=dict.fromkeys(target_ids, 1),
        soundness_by_id=dict.fromkeys(target_ids, 1 / 2),
    )
    return len(pack(Datagram(sender=SENDER, message=workload)))


def _target_ids(count: int) -> list[TargetId]:
    return [TargetId('i-{0:010x}'.format(number)) for number in range(count)]


def main() -> int:
    """Measure and print sizes and processing time."""
    for slope in (*measure_sizes(), measure_totals_size()):
        line = '{0.name}: {0.per_unit:.1f} each, {0.fixed:.0f} fixed\n'
        sys.stdout.write(line.format(slope))
    micros = round(measure_receiving())
    sys.stdout.write(f'receiving one report: {micros} us\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
