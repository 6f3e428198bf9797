"""Who gets the heartbeats and the profile of a host."""

import random
from collections import Counter
from collections.abc import Iterable
from types import MappingProxyType
from typing import Any, cast

import pytest

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import (
    HostId,
    Incarnation,
    RegionId,
    ZoneId,
)
from chicorybridge.fleet.channels import Channel
from chicorybridge.fleet.host_tables import (
    FleetMember,
    HostTable,
    heartbeat_turns,
)
from chicorybridge.hosts.announcers import Announcer
from chicorybridge.hosts.states import HostState
from chicorybridge.tests.hosts.zones import host_settings_of

OWN_ZONE = ZoneId('groningen')
ZONES = MappingProxyType(
    {
        OWN_ZONE: RegionId('noord'),
        ZoneId('leeuwarden'): RegionId('noord'),
        ZoneId('eindhoven'): RegionId('zuid'),
    }
)
PER_ZONE = 40
NOW = Millis(10_000)


class Network:
    """A channel that counts what each address is sent."""

    def __init__(self) -> None:
        """Start without messages."""
        self.sent: Counter[str] = Counter()

    def send(self, message: Any, addresses: Iterable[str]) -> None:
        """Count a message to each address."""
        self.sent.update(addresses)


def _members(per_zone: int) -> list[FleetMember]:
    return [
        FleetMember(
            host_id=HostId(f'{zone_id}-{number}'),
            zone_id=zone_id,
            incarnation=Incarnation(1),
            serial=1,
            front=f'{zone_id}-{number}:80',
            fleet_address=f'{zone_id}-{number}:70',
            serving=True,
        )
        for zone_id in ZONES
        for number in range(per_zone)
    ]


def _table(per_zone: int) -> HostTable:
    table = HostTable(
        host_id=HostId('own'), zone_id=OWN_ZONE, regions_by_zone=ZONES
    )
    for member in _members(per_zone):
        table.record(member, now=NOW)
    return table


def _announcer(network: Network, per_zone: int) -> Announcer:
    return Announcer(
        host_settings=host_settings_of(HostId('own'), 0),
        incarnation=Incarnation(1),
        rng=random.Random(1),
        state=HostState(),
        host_table=_table(per_zone),
        channel=cast(Channel, network),
    )


def _beat(announcer: Announcer, count: int) -> None:
    for number in range(count):
        at = NOW + number * settings.HOST_HEARTBEAT_INTERVAL_MS
        assert announcer.send_heartbeat(now=Millis(at))


def _counts(network: Network, zone: str) -> list[int]:
    return [network.sent[f'{zone}-{number}:70'] for number in range(PER_ZONE)]


def test_hosts_of_other_zones_get_heartbeats_by_turns():
    network = Network()
    turns = heartbeat_turns(PER_ZONE, settings.REGION_HOSTS_PER_HEARTBEAT)
    _beat(_announcer(network, PER_ZONE), turns)
    assert set(_counts(network, 'groningen')) == {turns}
    in_region = _counts(network, 'leeuwarden')
    assert min(in_region) == 1
    assert sum(in_region) == turns * settings.REGION_HOSTS_PER_HEARTBEAT
    far_turns = heartbeat_turns(PER_ZONE, settings.FAR_HOSTS_PER_HEARTBEAT)
    network.sent.clear()
    _beat(_announcer(network, PER_ZONE), far_turns)
    assert min(_counts(network, 'eindhoven')) == 1


def test_no_host_is_lost_between_its_turns():
    table = _table(PER_ZONE)
    turns = heartbeat_turns(PER_ZONE, settings.REGION_HOSTS_PER_HEARTBEAT)
    one_turn_ms = turns * settings.HOST_HEARTBEAT_INTERVAL_MS
    for member in table.in_zone():
        table.touch(member.host_id, now=Millis(NOW + 3 * one_turn_ms))
    assert not table.expire(now=Millis(NOW + 3 * one_turn_ms))
    lost = table.expire(now=Millis(NOW + 4 * one_turn_ms))
    assert {record.profile.zone_id for record in lost} == {'leeuwarden'}


def test_hosts_of_the_own_zone_are_lost_as_soon_as_in_a_small_fleet():
    table = _table(PER_ZONE)
    lost = table.expire(now=Millis(NOW + settings.HOST_TIMEOUT_MS + 1))
    assert {record.profile.zone_id for record in lost} == {OWN_ZONE}


@pytest.mark.parametrize('per_zone', [4, PER_ZONE])
def test_stop_is_announced_to_the_zone_and_to_aggregators_at_once(per_zone):
    network = Network()
    _announcer(network, per_zone).announce()
    told = Counter(address.rpartition('-')[0] for address in network.sent)
    others = 4 if per_zone == 4 else settings.AGGREGATORS_TOLD
    assert told == {
        'groningen': per_zone,
        'leeuwarden': others,
        'eindhoven': others,
    }
