"""Messages of a host to the others, its profile and heartbeats included."""

import random
from collections.abc import Collection, Iterable, Sequence
from typing import Any

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, Incarnation
from chicorybridge.fleet.channels import Channel
from chicorybridge.fleet.far_bytes import FarBytes
from chicorybridge.fleet.host_tables import (
    FleetMember,
    HostTable,
    own_link,
    own_share_of_far_zones,
    own_share_of_region,
    serving_by_zone,
    zone_representatives,
)
from chicorybridge.fleet.losses import LossReports
from chicorybridge.hosts.settings_files import HostSettings
from chicorybridge.hosts.states import HostState


class Announcer:
    """Send messages to the hosts of the zone, the region or the fleet."""

    def __init__(
        self,
        *,
        host_settings: HostSettings,
        incarnation: Incarnation,
        rng: random.Random,
        state: HostState,
        host_table: HostTable,
        channel: Channel,
    ) -> None:
        """Send from the host that `host_settings` describes."""
        self._incarnation = incarnation
        self._host_settings = host_settings
        # Hosts that start together send to different hosts at a time.
        self._heartbeats = rng.randrange(settings.MAX_LOST_HOSTS)
        self._rng = rng
        self._state = state
        self._host_table = host_table
        self._channel = channel
        self.far_bytes = FarBytes(host_table=host_table)
        channel.on_sent = self.far_bytes.add_message
        self._serial = 0
        self._heartbeat_at = Millis(0)
        self.losses = LossReports(host_table=host_table)
        host_table.bandwidth_by_id[host_table.host_id] = (
            host_settings.bandwidth_mbps
        )

    def profile(self) -> FleetMember:
        """Return the current profile of this host."""
        return FleetMember(
            host_id=self._host_settings.host_id,
            zone_id=self._host_settings.zone_id,
            incarnation=self._incarnation,
            serial=self._serial,
            front=self._host_settings.front,
            fleet_address=self._host_settings.fleet_address,
            serving=self._state.ready,
        )

    def announce(self) -> None:
        """Send a new version of the profile to those who use it most.

        In a large fleet the other hosts get it by turns, with heartbeats.
        """
        self._serial += 1
        profile = self.profile()
        hosts = len(self._host_table.profiles())
        if hosts <= settings.MAX_ANNOUNCED_HOSTS:
            self.broadcast(profile)
            return
        self.send_to_zone(profile)
        self.send_to_aggregators(profile, far=False)
        self.send_to_aggregators(profile, far=True)

    def send_heartbeat(self, *, now: Millis) -> bool:
        """Send the profile to the zone if a heartbeat is due.

        It goes to some hosts of other zones and regions, too, by turns, and to
        some that are lost. Return whether it was due.
        """
        if now - self._heartbeat_at < settings.HOST_HEARTBEAT_INTERVAL_MS:
            return False
        self._heartbeat_at = now
        self._heartbeats += 1
        table = self._host_table
        elsewhere = _fleet_addresses(
            (
                *_in_turn(
                    table.in_other_zones(),
                    settings.REGION_HOSTS_PER_HEARTBEAT,
                    self._heartbeats,
                ),
                *_in_turn(
                    table.in_other_regions(),
                    settings.FAR_HOSTS_PER_HEARTBEAT,
                    self._heartbeats,
                ),
            )
        )
        in_zone = _fleet_addresses(table.in_zone())
        lost = _fleet_addresses(_lost_in_turn(table, self._heartbeats))
        self._channel.send(self.profile(), (*in_zone, *elsewhere, *lost))
        if not self._heartbeats % settings.LINK_HEARTBEATS:
            self._channel.send(own_link(table), in_zone)
        report = self.losses.report(serving=self._state.ready, now=now)
        if report is not None:
            self._channel.send(report, elsewhere)
            self.send_to_aggregators(report, far=True)
        return True

    def broadcast(self, message: Any) -> None:
        """Send a message to all hosts."""
        profiles = self._host_table.profiles()
        self._channel.send(message, _fleet_addresses(profiles))

    def send_to_some(self, message: Any, *, count: int) -> None:
        """Send a message, if any, to `count` hosts drawn at random."""
        if message is None:
            return
        profiles = self._host_table.profiles()
        drawn = self._rng.sample(profiles, min(count, len(profiles)))
        self._channel.send(message, _fleet_addresses(drawn))

    def send_to_other_regions(self, message: Any) -> None:
        """Send a message to one host in each zone of other regions."""
        representatives = zone_representatives(
            self._host_table.in_other_regions()
        )
        self._channel.send(message, _fleet_addresses(representatives))

    def send_to_host(self, message: Any, host_id: HostId) -> None:
        """Send a message to one host, if it is known."""
        address = self._host_table.fleet_address(host_id)
        if address is not None:
            self._channel.send(message, (address,))

    def send_to_aggregators(self, message: Any, *, far: bool) -> None:
        """Send a message to those who may be aggregators of other zones.

        These are zones of other regions if `far`, else of this region.
        """
        table = self._host_table
        profiles = table.in_other_regions() if far else table.in_other_zones()
        representatives = zone_representatives(
            profiles, per_zone=settings.AGGREGATORS_TOLD
        )
        self._channel.send(message, _fleet_addresses(representatives))

    def send_to_relays(self, message: Any, *, far: bool) -> None:
        """Send a message to a random serving host of each other zone.

        These are zones of other regions if `far`, else of this region. If it
        were always the same host, one that is gone or has a full link would
        keep the messages from its zone.
        """
        table = self._host_table
        profiles = table.in_other_regions() if far else table.in_other_zones()
        relays = (
            self._rng.choice(in_zone)
            for in_zone in serving_by_zone(profiles).values()
        )
        self._channel.send(message, _fleet_addresses(relays))

    def send_to_share_of_region(self, message: Any) -> None:
        """Send a message to this host's share of the region's other zones.

        If all hosts of the zone do so, all hosts of the region get it once.
        """
        profiles = own_share_of_region(self._host_table)
        if profiles:
            self._channel.send(message, _fleet_addresses(profiles))

    def send_to_share_of_far_zones(self, message: Any) -> None:
        """Send a message to one host in this host's share of far zones."""
        profiles = own_share_of_far_zones(self._host_table)
        if profiles:
            self._channel.send(message, _fleet_addresses(profiles))

    def send_to_zone(self, message: Any) -> None:
        """Send a message to the hosts of the zone."""
        self._channel.send(
            message, _fleet_addresses(self._host_table.in_zone())
        )

    def send_to_other_zones(self, message: Any) -> None:
        """Send a message to the hosts of the region's other zones."""
        others = self._host_table.in_other_zones()
        self._channel.send(message, _fleet_addresses(others))

    def send_to_hosts(self, message: Any, host_ids: Collection[HostId]) -> None:
        """Send a message to the hosts with these ids that are known."""
        profiles = [
            profile
            for profile in self._host_table.profiles()
            if profile.host_id in host_ids
        ]
        self._channel.send(message, _fleet_addresses(profiles))

    def send_to_region(self, message: Any) -> None:
        """Send a message to the hosts of the region."""
        region = self._host_table.in_region()
        self._channel.send(message, _fleet_addresses(region))


def _lost_in_turn(table: HostTable, turn: int) -> tuple[FleetMember, ...]:
    """Return the lost hosts that get a heartbeat at this turn.

    After a cut each side has lost the other: neither would send anything.
    """
    lost = tuple(table.lost_by_id.values())
    in_zone = [host for host in lost if host.zone_id == table.zone_id]
    elsewhere = [host for host in lost if host.zone_id != table.zone_id]
    return (
        *_in_turn(in_zone, settings.LOST_ZONE_HOSTS_PER_HEARTBEAT, turn),
        *_in_turn(elsewhere, settings.LOST_HOSTS_PER_HEARTBEAT, turn),
    )


def _in_turn(
    profiles: Sequence[FleetMember], count: int, turn: int
) -> Sequence[FleetMember]:
    """Return the `count` hosts whose turn it is."""
    if len(profiles) <= count:
        return profiles
    ordered = sorted(profiles, key=_host_id)
    start = turn * count % len(ordered)
    return (*ordered, *ordered)[start : start + count]


def _fleet_addresses(profiles: Iterable[FleetMember]) -> list[str]:
    return [profile.fleet_address for profile in profiles]


def _host_id(profile: FleetMember) -> HostId:
    return profile.host_id
