"""Sizes of the messages between control processes."""

from collections.abc import Iterator
from typing import Any

from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import pack
from chicorybridge.common.identities import (
    Incarnation,
    ServiceId,
    TargetId,
    ZoneId,
)
from chicorybridge.detection.evidence import ServiceTallies, EvidenceReport
from chicorybridge.detection.notices import Ejection, EjectionNotice
from chicorybridge.detection.observations import Tally
from chicorybridge.fleet.freshness import Stamp
from chicorybridge.tools.measurements.slopes import Slope, fit, measure_each
from chicorybridge.tools.models.synthetics import Sizes, make_declaration
from chicorybridge.tools.simulations.counting_channels import OVERHEAD_BYTES

ITEM_COUNTS = (1, 2, 4, 8, 16)

# A process that has run for a day; real readings have a fraction, too.
UPTIME_MS = 86_400_000
NOW = Millis(UPTIME_MS + 0.1)
INCARNATION = Incarnation(1 << 62)  # noqa: WPS432
STAMP = Stamp(
    incarnation=INCARNATION,
    reading=NOW,
    echo_incarnation=INCARNATION,
    echo=NOW,
)
ZONE_ID = ZoneId('zone-1')
DECLARATION = make_declaration(
    Sizes(targets=max(ITEM_COUNTS), routes=1, workspaces=1)
)


def measure_messages() -> Iterator[Slope]:
    """Yield bytes on the wire by the number of items in a message."""
    yield fit(
        'bytes of one ejection notice by ejections',
        unit='bytes',
        size_unit='ejections',
        points=measure_each(ITEM_COUNTS, _notice_bytes),
    )
    yield fit(
        'bytes of one evidence report by targets',
        unit='bytes',
        size_unit='targets',
        points=measure_each(ITEM_COUNTS, _report_bytes),
    )


def _notice_bytes(count: int) -> float:
    ejections = tuple(
        Ejection(
            target_id=target_id,
            service_id=ServiceId('service-1'),
            slots=6,
            badness=0.1,
            zones=(),
        )
        for target_id in _target_ids(count)
    )
    return _wire_bytes(EjectionNotice(stamp=STAMP, ejections=ejections))


def _report_bytes(count: int) -> float:
    service_tallies = ServiceTallies()
    service_tallies.configure(DECLARATION)
    evidence = []
    for target_id in _target_ids(count):
        tally = Tally(
            target_id=target_id,
            answered=1,
            latency_weight=0.1,
            latency_shift=0.1,
        )
        service_tallies.add(tally, now=NOW)
        evidence.append(service_tallies.compare(tally, now=NOW))
    return _wire_bytes(
        EvidenceReport(stamp=STAMP, zone_id=ZONE_ID, evidence=tuple(evidence))
    )


def _target_ids(count: int) -> list[TargetId]:
    return list(DECLARATION.targets_by_id)[:count]


def _wire_bytes(message: Any) -> float:
    return len(pack(message)) + OVERHEAD_BYTES
