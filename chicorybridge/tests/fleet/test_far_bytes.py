"""Bytes to other zones and regions are counted by what they are."""

from types import MappingProxyType

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import (
    HostId,
    Incarnation,
    RegionId,
    ZoneId,
)
from chicorybridge.fleet.far_bytes import FarBytes
from chicorybridge.fleet.host_tables import FleetMember, HostTable

REGIONS = MappingProxyType(
    {
        ZoneId('groningen'): RegionId('noord'),
        ZoneId('leeuwarden'): RegionId('noord'),
        ZoneId('eindhoven'): RegionId('zuid'),
    }
)


def _table() -> HostTable:
    """Return the table of a host in groningen, with one host in each zone."""
    table = HostTable(
        host_id=HostId('own'),
        zone_id=ZoneId('groningen'),
        regions_by_zone=REGIONS,
    )
    for zone_id in REGIONS:
        member = FleetMember(
            host_id=HostId(f'host-{zone_id}'),
            zone_id=zone_id,
            incarnation=Incarnation(1),
            serial=1,
            front=f'{zone_id}:80',
            fleet_address=f'{zone_id}:70',
            serving=True,
        )
        table.record(member, now=Millis(0))
    return table


def test_messages_count_where_they_leave_the_zone():
    """A message to many hosts counts once for each."""
    far_bytes = FarBytes(host_table=_table())
    far_bytes.add_message('Mark', 100, [f'{zone_id}:70' for zone_id in REGIONS])
    assert far_bytes.by_scope_and_content == {
        ('zone', 'Mark'): 100,
        ('region', 'Mark'): 100,
    }


def test_host_that_comes_later_is_counted():
    """The places of hosts would be those of the first message."""
    table = _table()
    far_bytes = FarBytes(host_table=table)
    far_bytes.add_message('Mark', 1, ['late:70'])
    member = FleetMember(
        host_id=HostId('late'),
        zone_id=ZoneId('eindhoven'),
        incarnation=Incarnation(1),
        serial=1,
        front='late:80',
        fleet_address='late:70',
        serving=True,
    )
    table.record(member, now=Millis(0))
    far_bytes.add_message('Mark', 1, ['late:70'])
    assert far_bytes.by_scope_and_content == {('region', 'Mark'): 1}


def test_requests_and_answers_count_by_the_zone_of_the_target():
    """Large answers could not be told from large requests."""
    far_bytes = FarBytes(host_table=_table())
    for zone_id in REGIONS:
        far_bytes.add_exchange(zone_id, sent_bytes=10, received_bytes=90)
    assert far_bytes.by_scope_and_content == {
        ('zone', 'request'): 10,
        ('zone', 'answer'): 90,
        ('region', 'request'): 10,
        ('region', 'answer'): 90,
    }
