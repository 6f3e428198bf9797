"""Addresses of hosts that callers may connect to."""

from collections.abc import Callable, Mapping
from enum import Enum

from chicorybridge import settings
from chicorybridge.common.clocks import Clock
from chicorybridge.common.identities import RegionId, ZoneId
from chicorybridge.fleet.host_tables import HostTable
from chicorybridge.hosts.states import HostState


class AnswerScope(Enum):
    """Whose hosts an answer names."""

    zone = 'zone'
    region = 'region'
    fleet = 'fleet'


def _ignore(scope: AnswerScope) -> None:
    """Do nothing."""


class AddressDirectory:
    """List the hosts that serve callers of a zone."""

    def __init__(
        self,
        *,
        clock: Clock,
        host_table: HostTable,
        state: HostState,
        zone_id: ZoneId,
        front: str,
        regions_by_zone: Mapping[ZoneId, RegionId],
        contact_ms: Callable[[], float],
        on_answer: Callable[[AnswerScope], None] = _ignore,
    ) -> None:
        """List this host, too: `front` is its IP:PORT for callers.

        `contact_ms` returns for how long a silent host is still named;
        `on_answer` is called with the scope of each answer.
        """
        self._clock = clock
        self._contact_ms = contact_ms
        self._on_answer = on_answer
        self._host_table = host_table
        self._state = state
        self._zone_id = zone_id
        self._front = front
        self._regions_by_zone = regions_by_zone

    def addresses(self, zone_id: ZoneId) -> tuple[str, ...]:
        """Return the addresses, as IP:PORT, for callers of a zone.

        These are the hosts of the zone or, if those are too few, of its
        region or else of all regions. A host counts while it is known
        to have sent a message lately: how long hosts of other zones stay in
        the table grows with the fleet.
        """
        fronts = self._fronts()
        region_id = self._regions_by_zone.get(zone_id)
        in_zone = [front for zone, front in fronts if zone == zone_id]
        in_region = [
            front
            for zone, front in fronts
            if self._regions_by_zone.get(zone) == region_id
        ]
        addresses_by_scope = {
            AnswerScope.zone: in_zone,
            AnswerScope.region: in_region,
        }
        scope, addresses = next(
            (
                (scope, addresses)
                for scope, addresses in addresses_by_scope.items()
                if len(addresses) >= settings.MIN_DIRECTORY_ADDRESSES
            ),
            (AnswerScope.fleet, [front for _, front in fronts]),
        )
        self._on_answer(scope)
        return tuple(addresses[: settings.MAX_DIRECTORY_ADDRESSES])

    def _fronts(self) -> list[tuple[ZoneId, str]]:
        """Return the hosts that may be named, each with its zone."""
        in_touch = self._host_table.in_touch(
            now=self._clock.now(), within_ms=self._contact_ms()
        )
        fronts = [
            (profile.zone_id, profile.front)
            for profile in in_touch
            if profile.serving
        ]
        if self._state.ready:
            fronts.append((self._zone_id, self._front))
        return fronts
