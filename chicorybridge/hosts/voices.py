"""What a host says to the others: its profile, beats and messages."""

import random
from collections.abc import Iterable
from typing import Any

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import Incarnation
from chicorybridge.fleet.channels import Channel
from chicorybridge.fleet.host_tables import (
    FleetMember,
    HostTable,
    zone_representatives,
)
from chicorybridge.hosts.settings_files import HostSettings
from chicorybridge.hosts.states import HostState


class Voice:
    """Send messages to the hosts of the region, or to all."""

    def __init__(
        self,
        *,
        given: HostSettings,
        incarnation: Incarnation,
        rng: random.Random,
        state: HostState,
        sightings: HostTable,
        channel: Channel,
    ) -> None:
        """Speak for the host that `given` describes."""
        self._incarnation = incarnation
        self._given = given
        self._rng = rng
        self._state = state
        self._sightings = sightings
        self._channel = channel
        self._serial = 0
        self._beat_at = Millis(0)

    def profile(self) -> FleetMember:
        """Return what the host says of itself now."""
        return FleetMember(
            host_id=self._given.host_id,
            zone_id=self._given.zone_id,
            incarnation=self._incarnation,
            serial=self._serial,
            front=self._given.front,
            fleet=self._given.fleet,
            serving=self._state.ready,
        )

    def announce(self) -> None:
        """Tell all hosts at once what this one does."""
        self._serial += 1
        self.tell_all(self.profile())

    def beat(self, *, now: Millis) -> bool:
        """Tell the region that this host lives, when it is time to.

        One far host hears of it, too. Return whether it was time.
        """
        if now - self._beat_at < settings.BEAT_MS:
            return False
        self._beat_at = now
        profile = self.profile()
        self.tell_near(profile)
        far = self._sightings.in_other_regions()
        if far:
            self._channel.send(profile, [self._rng.choice(far).fleet])
        return True

    def tell_all(self, message: Any) -> None:
        """Send a message to all hosts."""
        profiles = self._sightings.profiles()
        self._channel.send(message, _fleet_addresses(profiles))

    def tell_far_zones(self, message: Any) -> None:
        """Send a message to one host of each zone of other regions."""
        firsts = zone_representatives(self._sightings.in_other_regions())
        self._channel.send(message, _fleet_addresses(firsts))

    def tell_zone(self, message: Any) -> None:
        """Send a message to the hosts of the zone."""
        self._channel.send(message, _fleet_addresses(self._sightings.in_zone()))

    def tell_other_zones(self, message: Any) -> None:
        """Send a message to the hosts of the region's other zones."""
        others = self._sightings.in_other_zones()
        self._channel.send(message, _fleet_addresses(others))

    def tell_near(self, message: Any) -> None:
        """Send a message to the hosts of the region."""
        near = self._sightings.in_region()
        self._channel.send(message, _fleet_addresses(near))


def _fleet_addresses(profiles: Iterable[FleetMember]) -> list[str]:
    return [profile.fleet for profile in profiles]
