"""Grants of bandwidth between regions, by one host per service.

All hosts of a region select the same granting host of a service by
rendezvous hashing, without messages. It grants no rate beyond what is left
of the pool. A host that becomes the granting host waits for one lease
before it grants, so that the grants of the previous one expire first.
"""

import dataclasses
import functools
from collections.abc import Callable, Collection, Iterable
from typing import Any

import xxhash

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import require
from chicorybridge.common.identities import HostId, RegionId, ServiceId
from chicorybridge.common.systems import (
    Effect,
    Effects,
    Send,
    SendToEntries,
    System,
)
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.routing.crossings import (
    CrossingGranted,
    CrossingWanted,
    region_budget,
)

# Allowed rounding error in sums of rates, in bytes per second.
TOLERANCE = 1e-6


@dataclasses.dataclass(kw_only=True, slots=True)
class Grant:
    """Demand and granted rate of an entry process, in bytes per second."""

    demand: float = 0
    rate: float = 0
    valid_until: Millis = Millis(0)


class BandwidthPool:
    """The bandwidth of one service that this host grants.

    `size` is in bytes per second.
    """

    def __init__(self, *, size: float, opened_at: Millis) -> None:
        """Grant nothing before `opened_at`.

        Until then, grants of another host for the service may be valid.
        """
        self.size = size
        self._opened_at = opened_at
        self._grants_by_entry: dict[str, Grant] = {}

    def grant(self, request: CrossingWanted, *, now: Millis) -> float:
        """Return the rate granted for one lease, in bytes per second."""
        self._expire(now)
        if now < self._opened_at:
            return 0
        grant = self._grants_by_entry.setdefault(request.entry_id, Grant())
        grant.demand = request.bytes_per_second
        granted_to_others = sum(
            other.rate
            for entry_id, other in self._grants_by_entry.items()
            if entry_id != request.entry_id
        )
        grant.rate = max(
            0, min(self._fair_rate(grant), self.size - granted_to_others)
        )
        grant.valid_until = Millis(now + settings.CROSSING_LEASE_MS)
        require(
            promise='grants stay within the pool of a service',
            holds=granted_to_others + grant.rate
            <= max(self.size, granted_to_others) + TOLERANCE,
        )
        return grant.rate

    def _fair_rate(self, grant: Grant) -> float:
        """Return the max-min fair share of one process."""
        remaining = self.size
        demands = sorted(
            other.demand for other in self._grants_by_entry.values()
        )
        for number, demand in enumerate(demands):
            fair_share = remaining / (len(demands) - number)
            if demand > fair_share:
                return min(fair_share, grant.demand)
            remaining -= demand
        return grant.demand

    def _expire(self, now: Millis) -> None:
        self._grants_by_entry = {
            entry_id: grant
            for entry_id, grant in self._grants_by_entry.items()
            if now < grant.valid_until
        }


class Grants(System):
    """Forward requests to the granting host, or grant if this host is it."""

    def __init__(
        self,
        *,
        host_id: HostId,
        region_hosts: Callable[[], Collection[HostId]],
    ) -> None:
        """Use the live hosts of the region, returned by `region_hosts`."""
        self._host_id = host_id
        self._region_hosts = region_hosts
        self._budgets_by_service: dict[ServiceId, float] = {}
        self._pools_by_service: dict[ServiceId, BandwidthPool] = {}

    def set_declaration(
        self, declaration: Declaration, region_id: RegionId
    ) -> None:
        """Apply the declared bandwidth of the region."""
        self._budgets_by_service = {
            service_id: region_budget(declaration, region_id, service_id)
            * settings.CROSSING_POOL_SHARE
            for service_id in declaration.services_by_id
        }
        for service_id, pool in self._pools_by_service.items():
            pool.size = self._budgets_by_service.get(service_id, 0)

    @functools.singledispatchmethod
    def receive(self, message: Any, *, sender: HostId, now: Millis) -> Effects:
        """Handle bandwidth requests of entry processes, and grants to them."""
        return ()

    @receive.register
    def _handle_granted(
        self, message: CrossingGranted, *, sender: HostId, now: Millis
    ) -> Effects:
        return (SendToEntries(message=message),)

    @receive.register
    def _handle_wanted(
        self, message: CrossingWanted, *, sender: HostId, now: Millis
    ) -> Effects:
        granting_host = self._granting_host(message.service_id)
        if granting_host == self._host_id:
            return self._grant(message, sender, now)
        self._pools_by_service.pop(message.service_id, None)
        if sender != self._host_id:
            # The sender sees other hosts in the region; it will repeat this.
            return ()
        return (Send(to=granting_host, message=message),)

    def _grant(
        self, request: CrossingWanted, sender: HostId, now: Millis
    ) -> Iterable[Effect]:
        budget = self._budgets_by_service.get(request.service_id)
        if budget is None:
            return ()
        pool = self._pools_by_service.get(request.service_id)
        if pool is None:
            opened_at = Millis(now + settings.CROSSING_LEASE_MS)
            pool = BandwidthPool(size=budget, opened_at=opened_at)
            self._pools_by_service[request.service_id] = pool
        granted = CrossingGranted(
            entry_id=request.entry_id,
            service_id=request.service_id,
            bytes_per_second=pool.grant(request, now=now),
            lease_ms=settings.CROSSING_LEASE_MS,
        )
        if sender == self._host_id:
            return (SendToEntries(message=granted),)
        return (Send(to=sender, message=granted),)

    def _granting_host(self, service_id: ServiceId) -> HostId:
        return max(
            {*self._region_hosts(), self._host_id},
            key=lambda host_id: xxhash.xxh3_64_intdigest(
                f'{service_id} {host_id}'.encode()
            ),
        )
