"""Messages of a host to the others, its profile and heartbeats included."""

import random
from collections.abc import Collection, Iterable
from typing import Any

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, Incarnation
from chicorybridge.fleet.channels import Channel
from chicorybridge.fleet.host_tables import (
    FleetMember,
    HostTable,
    own_share_of_far_zones,
    own_share_of_region,
    zone_representatives,
)
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
        self._rng = rng
        self._state = state
        self._host_table = host_table
        self._channel = channel
        self._serial = 0
        self._heartbeat_at = Millis(0)

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
        """Send a new version of the profile to all hosts."""
        self._serial += 1
        self.broadcast(self.profile())

    def send_heartbeat(self, *, now: Millis) -> bool:
        """Send the profile to the region if a heartbeat is due.

        It goes to a random host of another region, too. Return whether
        it was due.
        """
        if now - self._heartbeat_at < settings.HOST_HEARTBEAT_INTERVAL_MS:
            return False
        self._heartbeat_at = now
        profile = self.profile()
        self.send_to_region(profile)
        other_regions = self._host_table.in_other_regions()
        if other_regions:
            self._channel.send(
                profile, [self._rng.choice(other_regions).fleet_address]
            )
        return True

    def broadcast(self, message: Any) -> None:
        """Send a message to all hosts."""
        profiles = self._host_table.profiles()
        self._channel.send(message, _fleet_addresses(profiles))

    def send_to_other_regions(self, message: Any) -> None:
        """Send a message to one host in each zone of other regions."""
        representatives = zone_representatives(
            self._host_table.in_other_regions()
        )
        self._channel.send(message, _fleet_addresses(representatives))

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


def _fleet_addresses(profiles: Iterable[FleetMember]) -> list[str]:
    return [profile.fleet_address for profile in profiles]
