"""Bytes sent to other zones and regions, by what they are."""

from collections import Counter
from collections.abc import Collection, Iterable

from chicorybridge.common.identities import ZoneId
from chicorybridge.fleet.host_groups import HostGroups
from chicorybridge.fleet.host_tables import HostTable

OTHER_ZONE = 'zone'
OTHER_REGION = 'region'
REQUEST = 'request'
ANSWER = 'answer'


class FarBytes:
    """Count bytes sent to other zones and regions by scope and content."""

    def __init__(self, *, host_table: HostTable) -> None:
        """Find the place of an address in `host_table`."""
        self._host_table = host_table
        self._groups: HostGroups | None = None
        self._scopes_by_address: dict[str, str] = {}
        self.by_scope_and_content: Counter[tuple[str, str]] = Counter()

    def add_message(
        self, content: str, size: int, addresses: Collection[str]
    ) -> None:
        """Count a message of `size` bytes to each of some hosts."""
        for scope in filter(None, self._scopes(addresses)):
            self.by_scope_and_content[scope, content] += size

    def add_exchange(
        self, zone_id: ZoneId, *, sent_bytes: int, received_bytes: int
    ) -> None:
        """Count a request to a target in a zone, and its answer."""
        table = self._host_table
        if zone_id == table.zone_id:
            return
        regions = table.regions_by_zone
        is_near = regions.get(zone_id) == regions.get(table.zone_id)
        scope = OTHER_ZONE if is_near else OTHER_REGION
        self.by_scope_and_content[scope, REQUEST] += sent_bytes
        self.by_scope_and_content[scope, ANSWER] += received_bytes

    def _scopes(self, addresses: Iterable[str]) -> Iterable[str | None]:
        """Return the scope of each address, `None` for one of the own zone."""
        groups = self._host_table.groups
        if groups is not self._groups:
            self._groups = groups
            self._scopes_by_address = {
                **{
                    profile.fleet_address: OTHER_ZONE
                    for profile in groups.in_other_zones
                },
                **{
                    profile.fleet_address: OTHER_REGION
                    for profile in groups.in_other_regions
                },
            }
        return map(self._scopes_by_address.get, addresses)
