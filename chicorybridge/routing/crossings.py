"""Bytes across regions, counted and bounded for each service.

Bytes count both ways. A region may use its part of the share that a
service has of the link; the part is the share divided by the number of
regions, so that no direction of any link carries more than the share.
A quarter of it is spread over the entry processes of the region. The
rest is granted on demand, so that one upload can use what is idle.
"""

import dataclasses

from chicorybridge import settings
from chicorybridge.common.buckets import TokenBucket
from chicorybridge.common.clocks import MILLIS_PER_SECOND, Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import (
    RegionId,
    ServiceId,
    TargetId,
    ZoneId,
)
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.routing.candidates import ACROSS, place_of

BITS_PER_BYTE = 8


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrossingWanted:
    """Say what an entry process could use of a service's pool, a second."""

    entry_id: str
    service_id: ServiceId
    bytes_per_second: float


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrossingGranted:
    """Grant an entry process a part of the pool for `lease_ms`."""

    entry_id: str
    service_id: ServiceId
    bytes_per_second: float
    lease_ms: float


@dataclasses.dataclass(kw_only=True, slots=True)
class CrossingCount:
    """Bytes of a service that crossed, and those of retries among them."""

    crossed_bytes: int = 0
    retried_bytes: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class Allowance:
    """What one process may send across for one service."""

    base: float
    bucket: TokenBucket
    count: CrossingCount
    granted_until: Millis = Millis(0)
    used_bytes: int = 0
    waited: bool = False

    def set_rate(self, per_second: float, *, now: Millis) -> None:
        """Allow another rate from now on."""
        # Fills at the rate so far first.
        self.bucket.level(now=now)
        self.bucket.per_second = per_second
        self.bucket.burst = burst_of(per_second)


class CrossingMeter:
    """Count and pace what one entry process sends across regions."""

    def __init__(self, *, entry_id: str) -> None:
        """Start without a declaration: nothing may cross."""
        self._entry_id = entry_id
        self._allowances_by_service: dict[ServiceId, Allowance] = {}
        self._across: frozenset[TargetId] = frozenset()
        self._wanted_at = Millis(0)

    def set_declaration(
        self,
        declaration: Declaration,
        zone_id: ZoneId,
        *,
        region_processes: int,
        now: Millis,
    ) -> None:
        """Take over the shares; `region_processes` share this region."""
        self._across = frozenset(
            target.target_id
            for target in declaration.targets_by_id.values()
            if place_of(declaration, target.zone_id, zone_id) == ACROSS
        )
        region_id = declaration.region_id_of(zone_id)
        allowances = {}
        for service_id in declaration.services_by_id:
            budget = budget_of(declaration, region_id, service_id)
            base = budget * (1 - settings.CROSSING_POOL_SHARE)
            allowances[service_id] = self._allowance(
                service_id, base / max(1, region_processes), now
            )
        self._allowances_by_service = allowances

    def crosses(self, target_id: TargetId) -> bool:
        """Tell whether a target is in another region."""
        return target_id in self._across

    def may_cross(
        self, service_id: ServiceId, size: int, *, now: Millis
    ) -> bool:
        """Tell whether a request with a body of `size` bytes may cross.

        A small one may while the service owes less than a burst, so that
        reads go on beside uploads; a large one only if nothing is owed.
        """
        allowance = self._allowances_by_service.get(service_id)
        if allowance is None:
            return False
        level = allowance.bucket.level(now=now)
        if size > settings.MAX_SMALL_CROSSING_BYTES:
            allowance.waited = True
            return level >= 0
        return level > -allowance.bucket.burst

    def barred(
        self, service_id: ServiceId, size: int, *, now: Millis
    ) -> frozenset[TargetId]:
        """Return the targets that a request must not be sent across to."""
        if not self._across or self.may_cross(service_id, size, now=now):
            return frozenset()
        return self._across

    def wait_ms(self, service_id: ServiceId, *, now: Millis) -> float:
        """Return how long the next chunk of a large body has to wait."""
        allowance = self._allowances_by_service[service_id]
        wait_ms = allowance.bucket.wait_ms(0, now=now)
        if wait_ms <= 0:
            return 0
        allowance.waited = True
        return max(wait_ms, settings.MIN_CROSSING_WAIT_MS)

    def spend(
        self,
        service_id: ServiceId,
        size: int,
        *,
        retried: bool = False,
        now: Millis,
    ) -> None:
        """Count bytes that crossed, either way."""
        allowance = self._allowances_by_service[service_id]
        allowance.bucket.spend(size, now=now)
        allowance.used_bytes += size
        allowance.count.crossed_bytes += size
        if retried:
            allowance.count.retried_bytes += size

    def receive(self, granted: CrossingGranted, *, now: Millis) -> None:
        """Take over a grant to this process."""
        allowance = self._allowances_by_service.get(granted.service_id)
        if allowance is None or granted.entry_id != self._entry_id:
            return
        allowance.granted_until = Millis(now + granted.lease_ms)
        rate = allowance.base + granted.bytes_per_second
        allowance.set_rate(rate, now=now)

    def tick(self, *, now: Millis) -> list[CrossingWanted]:
        """End old grants; return what the control process is asked for."""
        for allowance in self._allowances_by_service.values():
            if now >= allowance.granted_until:
                allowance.set_rate(allowance.base, now=now)
        if now - self._wanted_at < settings.CROSSING_DEMAND_INTERVAL_MS:
            return []
        elapsed = now - self._wanted_at
        self._wanted_at = now
        return [
            self._want(service_id, elapsed)
            for service_id, known in self._allowances_by_service.items()
            if known.used_bytes or known.waited
        ]

    def counts(self) -> dict[ServiceId, CrossingCount]:
        """Return what crossed for each service since the start."""
        return {
            service_id: allowance.count
            for service_id, allowance in self._allowances_by_service.items()
        }

    def _want(self, service_id: ServiceId, elapsed: float) -> CrossingWanted:
        allowance = self._allowances_by_service[service_id]
        wanted = allowance.used_bytes * MILLIS_PER_SECOND / elapsed
        if allowance.waited:
            wanted = max(
                2 * wanted, settings.MIN_CROSSING_DEMAND_BYTES_PER_SECOND
            )
        allowance.used_bytes = 0
        allowance.waited = False
        return CrossingWanted(
            entry_id=self._entry_id,
            service_id=service_id,
            bytes_per_second=wanted,
        )

    def _allowance(
        self, service_id: ServiceId, base: float, now: Millis
    ) -> Allowance:
        known = self._allowances_by_service.get(service_id)
        if known is None:
            bucket = TokenBucket(per_second=base, burst=burst_of(base), now=now)
            return Allowance(base=base, bucket=bucket, count=CrossingCount())
        granted = known.bucket.per_second - known.base
        known.base = base
        known.set_rate(base + granted, now=now)
        return known


def budget_of(
    declaration: Declaration, region_id: RegionId, service_id: ServiceId
) -> float:
    """Return the bytes a second that a region may use for a service."""
    link = declaration.regions_by_id[region_id].link_bits_per_second
    share = declaration.services_by_id[service_id].link_share
    regions = max(1, len(declaration.regions_by_id))
    return link * share / BITS_PER_BYTE / regions


def burst_of(per_second: float) -> float:
    """Return the bytes that may go at once at a rate."""
    burst = per_second * settings.CROSSING_BURST_MS / MILLIS_PER_SECOND
    return max(1, burst)
