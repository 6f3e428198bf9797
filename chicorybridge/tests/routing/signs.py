"""Signs of targets for tests."""

from collections.abc import Iterable
from types import MappingProxyType

from chicorybridge.common.clocks import ManualClock, Millis
from chicorybridge.common.events import EventLog
from chicorybridge.common.identities import (
    HostId,
    Incarnation,
    RegionId,
    ZoneId,
)
from chicorybridge.fleet.directories import TargetDirectory
from chicorybridge.fleet.host_tables import FleetMember, HostTable
from chicorybridge.routing.target_limits import TargetLimits
from chicorybridge.routing.target_signs import TargetSigns

ZONE_ID = ZoneId('groningen')
OTHER_ZONE_ID = ZoneId('eindhoven')
REGIONS = MappingProxyType(
    {ZONE_ID: RegionId('noord'), OTHER_ZONE_ID: RegionId('zuid')}
)


def host_names(count: int) -> list[HostId]:
    """Return ids of hosts."""
    return [HostId(f'host-{number}') for number in range(count)]


def build_limits(
    own: HostId,
    others: Iterable[HostId] = (),
    *,
    zone_id: ZoneId = ZONE_ID,
    is_serving: bool = True,
) -> TargetLimits:
    """Return the limits of a host in `zone_id` that knows `others`."""
    table = HostTable(
        host_id=own, zone_id=zone_id, regions_by_zone=dict(REGIONS)
    )
    for host_id in others:
        table.record(_member(host_id), now=Millis(0))
    return TargetLimits(
        host_table=table,
        regions_by_zone=REGIONS,
        is_serving=lambda: is_serving,
    )


def build_signs(directory: TargetDirectory) -> TargetSigns:
    """Return the signs of targets on the only host."""
    log = EventLog(
        clock=ManualClock(),
        host_id=HostId('host'),
        process='host',
        incarnation=Incarnation(1),
    )
    return TargetSigns(
        directory=directory, limits=build_limits(HostId('host')), log=log
    )


def _member(host_id: HostId) -> FleetMember:
    return FleetMember(
        host_id=host_id,
        zone_id=ZONE_ID,
        incarnation=Incarnation(1),
        serial=1,
        front=f'{host_id}:80',
        fleet_address=f'{host_id}:70',
        serving=True,
    )
