"""Grants of bandwidth across regions, by one host for each service.

The hosts of a region agree on the granting host of a service without a
message: it is the first by a hash of both names. It never has more
granted at once than the pool. A host that has just taken over grants
nothing for a lease, so that the grants of its predecessor end first.
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
    budget_of,
)

# Rounding errors of sums of rates.
TOLERANCE = 1e-6


@dataclasses.dataclass(kw_only=True, slots=True)
class Grant:
    """What an entry process wants, and what it holds until when."""

    wanted: float = 0
    rate: float = 0
    until: Millis = Millis(0)


class Pool:
    """The bandwidth of one service that this host grants."""

    def __init__(self, *, size: float, opened_at: Millis) -> None:
        """Grant nothing before `opened_at`."""
        self.size = size
        self._opened_at = opened_at
        self._grants_by_entry: dict[str, Grant] = {}

    def grant(self, wanted: CrossingWanted, *, now: Millis) -> float:
        """Return the rate granted for a lease from now, in bytes/s."""
        self._expire(now)
        if now < self._opened_at:
            return 0
        grant = self._grants_by_entry.setdefault(wanted.entry_id, Grant())
        grant.wanted = wanted.bytes_per_second
        others = sum(
            other.rate
            for entry_id, other in self._grants_by_entry.items()
            if entry_id != wanted.entry_id
        )
        grant.rate = max(0, min(self._fair(grant), self.size - others))
        grant.until = Millis(now + settings.CROSSING_LEASE_MS)
        require(
            promise='grants stay within the pool of a service',
            holds=others + grant.rate <= max(self.size, others) + TOLERANCE,
        )
        return grant.rate

    def _fair(self, grant: Grant) -> float:
        """Return the max-min fair part of one process."""
        left = self.size
        wants = sorted(other.wanted for other in self._grants_by_entry.values())
        for number, wanted in enumerate(wants):
            part = left / (len(wants) - number)
            if wanted > part:
                return min(part, grant.wanted)
            left -= wanted
        return grant.wanted

    def _expire(self, now: Millis) -> None:
        self._grants_by_entry = {
            entry_id: grant
            for entry_id, grant in self._grants_by_entry.items()
            if now < grant.until
        }


class Grants(System):
    """Pass demand to the granting host, and grant where this one is it."""

    def __init__(
        self,
        *,
        host_id: HostId,
        region_hosts: Callable[[], Collection[HostId]],
    ) -> None:
        """Look up the hosts of the region, this one included."""
        self._host_id = host_id
        self._region_hosts = region_hosts
        self._budgets_by_service: dict[ServiceId, float] = {}
        self._pools_by_service: dict[ServiceId, Pool] = {}

    def set_declaration(
        self, declaration: Declaration, region_id: RegionId
    ) -> None:
        """Take over the budgets of the region."""
        self._budgets_by_service = {
            service_id: budget_of(declaration, region_id, service_id)
            * settings.CROSSING_POOL_SHARE
            for service_id in declaration.services_by_id
        }
        for service_id, pool in self._pools_by_service.items():
            pool.size = self._budgets_by_service.get(service_id, 0)

    @functools.singledispatchmethod
    def receive(self, message: Any, *, sender: HostId, now: Millis) -> Effects:
        """Take in what entry processes want and what they are granted."""
        return ()

    @receive.register
    def _granted(
        self, message: CrossingGranted, *, sender: HostId, now: Millis
    ) -> Effects:
        return (SendToEntries(message=message),)

    @receive.register
    def _wanted(
        self, message: CrossingWanted, *, sender: HostId, now: Millis
    ) -> Effects:
        granting = self._granting_host(message.service_id)
        if granting == self._host_id:
            return self._grant(message, sender, now)
        self._pools_by_service.pop(message.service_id, None)
        if sender != self._host_id:
            # It has another view of the region and will ask again.
            return ()
        return (Send(to=granting, message=message),)

    def _grant(
        self, wanted: CrossingWanted, sender: HostId, now: Millis
    ) -> Iterable[Effect]:
        budget = self._budgets_by_service.get(wanted.service_id)
        if budget is None:
            return ()
        pool = self._pools_by_service.get(wanted.service_id)
        if pool is None:
            opened_at = Millis(now + settings.CROSSING_LEASE_MS)
            pool = Pool(size=budget, opened_at=opened_at)
            self._pools_by_service[wanted.service_id] = pool
        granted = CrossingGranted(
            entry_id=wanted.entry_id,
            service_id=wanted.service_id,
            bytes_per_second=pool.grant(wanted, now=now),
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
