"""What the reports between hosts of the platform cost: bytes and time.

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
from chicorybridge.common.clocks import MILLIS_PER_SECOND, Millis
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
    ZoneWorkload,
)
from chicorybridge.tools.measurements.slopes import Slope, fit, measure_each

COUNTS = (1, 2, 4, 8, 16)
SENDER = HostId('edge-availability-zone-12')
ZONE_ID = ZoneId('availability-zone')
# A host that has run for a day; the fraction is coded like any other.
SENT_AT = 86_400_000.1
LATENCY_MS = 321
RECEIVED = 4000
GAP_S = 0.0005
ADDRESS = '127.0.0.1:19799'


@dataclasses.dataclass(kw_only=True)
class Receiver:
    """Take reports as a host does, and count them."""

    workloads: WorkloadTable
    reputations: ReputationTable
    count: int = 0

    def take(self, message: Any, sender: HostId) -> None:
        """Take in one report."""
        self.count += 1
        now = Millis(self.count)
        self.workloads.record_host(sender, message, now=now)
        for seen in message.seen:
            self.reputations.record_remote(seen, now=now)


def measure_sizes() -> tuple[Slope, ...]:
    """Return bytes of a datagram by the targets that it names."""
    return (
        fit(
            'bytes of one report of a host by targets with requests',
            unit='bytes',
            size_unit='targets',
            points=measure_each(COUNTS, _report_bytes),
        ),
        fit(
            'bytes of one sum to another region by targets of the zone',
            unit='bytes',
            size_unit='targets',
            points=measure_each(COUNTS, _sum_bytes),
        ),
    )


def measure_receiving() -> float:
    """Return the processor time of taking one report, in microseconds.

    The reports come over loopback, so that each is waited for.
    """
    return curio.run(_receive)


async def _receive() -> float:
    receiver = Receiver(
        workloads=WorkloadTable(zone_id=ZONE_ID), reputations=ReputationTable()
    )
    channel = Channel(host_id=SENDER, address=ADDRESS, on_message=receiver.take)
    running = await curio.spawn(channel.run)
    sending = threading.Thread(target=_send)
    sending.start()
    began = time.thread_time()
    while sending.is_alive():
        await curio.sleep(GAP_S * RECEIVED / MILLIS_PER_SECOND)
    spent = time.thread_time() - began
    await running.cancel()
    return spent * MILLIS_PER_SECOND**2 / max(1, receiver.count)


def _send() -> None:
    body = pack(_report(1))
    peer = parse_address(ADDRESS)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(RECEIVED):
            sender.sendto(body, (peer.host, peer.port))
            time.sleep(GAP_S)


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


def _sum_bytes(count: int) -> float:
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
    """Print the figures."""
    for slope in measure_sizes():
        line = '{0.name}: {0.per_unit:.1f} each, {0.fixed:.0f} fixed\n'
        sys.stdout.write(line.format(slope))
    micros = round(measure_receiving())
    sys.stdout.write(f'taking one report: {micros} us\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
