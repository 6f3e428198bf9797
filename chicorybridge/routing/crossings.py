"""Traffic between regions (crossings), counted and limited per service.

Bytes in both directions count. A service has a declared share of the link
between regions. Each region may use that share divided by the number of
regions, so that no direction of any link carries more than the share. The
part outside the pool (`CROSSING_POOL_SHARE`) is divided among the entry
processes of the region. The pool is granted on demand, so that a single
upload can use idle bandwidth.
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
from chicorybridge.routing.candidates import OTHER_REGION, locality_of

BITS_PER_BYTE = 8


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrossingWanted:
    """Request bandwidth of a service's pool for an entry process."""

    entry_id: str
    service_id: ServiceId
    bytes_per_second: float


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrossingGranted:
    """Grant an entry process bandwidth of the pool for `lease_ms`."""

    entry_id: str
    service_id: ServiceId
    bytes_per_second: float
    lease_ms: float


@dataclasses.dataclass(kw_only=True, slots=True)
class CrossingCount:
    """Bytes of a service sent between regions, and those of retries."""

    crossed_bytes: int = 0
    retried_bytes: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class CrossingAllowance:
    """The bandwidth of one process and service between regions.

    `base_rate` is its rate without a grant, in bytes per second.
    `used_bytes` is counted since the last request for bandwidth;
    `has_waited` is set if a large request or a wait occurred since then.
    """

    base_rate: float
    bucket: TokenBucket
    count: CrossingCount
    granted_until: Millis = Millis(0)
    used_bytes: int = 0
    has_waited: bool = False

    def set_rate(self, per_second: float, *, now: Millis) -> None:
        """Set the rate in bytes per second from `now` on."""
        # Refill the bucket at the previous rate first.
        self.bucket.level(now=now)
        self.bucket.per_second = per_second
        self.bucket.burst = burst_bytes(per_second)


class CrossingMeter:
    """Count and limit what one entry process sends between regions."""

    def __init__(self, *, entry_id: str) -> None:
        """Start without a declaration: no crossings allowed."""
        self._entry_id = entry_id
        self._allowances_by_service: dict[ServiceId, CrossingAllowance] = {}
        self._other_region_ids: frozenset[TargetId] = frozenset()
        self._requested_at = Millis(0)

    def set_declaration(
        self,
        declaration: Declaration,
        zone_id: ZoneId,
        *,
        region_processes: int,
        now: Millis,
    ) -> None:
        """Apply the declared link shares.

        `region_processes` is the number of entry processes in the region of
        `zone_id`, which divide its base rate among them.
        """
        self._other_region_ids = frozenset(
            target.target_id
            for target in declaration.targets_by_id.values()
            if locality_of(declaration, target.zone_id, zone_id) == OTHER_REGION
        )
        region_id = declaration.region_id_of(zone_id)
        allowances = {}
        for service_id in declaration.services_by_id:
            budget = region_budget(declaration, region_id, service_id)
            base_rate = budget * (1 - settings.CROSSING_POOL_SHARE)
            allowances[service_id] = self._allowance(
                service_id, base_rate / max(1, region_processes), now
            )
        self._allowances_by_service = allowances

    def is_in_other_region(self, target_id: TargetId) -> bool:
        """Return whether a target is in another region."""
        return target_id in self._other_region_ids

    def may_cross(
        self, service_id: ServiceId, size: int, *, now: Millis
    ) -> bool:
        """Return whether a request may be sent to another region.

        `size` is the size of its body in bytes. Small requests are allowed
        while the bucket is overdrawn by less than a burst, so that reads
        continue during uploads; large ones only if it is not overdrawn.
        """
        allowance = self._allowances_by_service.get(service_id)
        if allowance is None:
            return False
        level = allowance.bucket.level(now=now)
        if size > settings.MAX_SMALL_CROSSING_BYTES:
            allowance.has_waited = True
            return level >= 0
        return level > -allowance.bucket.burst

    def forbidden_targets(
        self, service_id: ServiceId, size: int, *, now: Millis
    ) -> frozenset[TargetId]:
        """Return the targets in other regions that a request may not use."""
        if not self._other_region_ids or self.may_cross(
            service_id, size, now=now
        ):
            return frozenset()
        return self._other_region_ids

    def wait_ms(self, service_id: ServiceId, *, now: Millis) -> float:
        """Return how long the next chunk of a large body must wait, in ms."""
        allowance = self._allowances_by_service[service_id]
        wait_ms = allowance.bucket.wait_ms(0, now=now)
        if wait_ms <= 0:
            return 0
        allowance.has_waited = True
        return max(wait_ms, settings.MIN_CROSSING_WAIT_MS)

    def record(
        self,
        service_id: ServiceId,
        size: int,
        *,
        retried: bool = False,
        now: Millis,
    ) -> None:
        """Count bytes sent to or received from another region."""
        allowance = self._allowances_by_service[service_id]
        allowance.bucket.spend(size, now=now)
        allowance.used_bytes += size
        allowance.count.crossed_bytes += size
        if retried:
            allowance.count.retried_bytes += size

    def receive(self, granted: CrossingGranted, *, now: Millis) -> None:
        """Apply a grant, unless it is for another process."""
        allowance = self._allowances_by_service.get(granted.service_id)
        if allowance is None or granted.entry_id != self._entry_id:
            return
        allowance.granted_until = Millis(now + granted.lease_ms)
        rate = allowance.base_rate + granted.bytes_per_second
        allowance.set_rate(rate, now=now)

    def tick(self, *, now: Millis) -> list[CrossingWanted]:
        """Expire grants; return the bandwidth requests that are due."""
        for allowance in self._allowances_by_service.values():
            if now >= allowance.granted_until:
                allowance.set_rate(allowance.base_rate, now=now)
        if now - self._requested_at < settings.CROSSING_DEMAND_INTERVAL_MS:
            return []
        elapsed = now - self._requested_at
        self._requested_at = now
        return [
            self._request_for(service_id, elapsed)
            for service_id, current in self._allowances_by_service.items()
            if current.used_bytes or current.has_waited
        ]

    def counts(self) -> dict[ServiceId, CrossingCount]:
        """Return the bytes of each service between regions since the start."""
        return {
            service_id: allowance.count
            for service_id, allowance in self._allowances_by_service.items()
        }

    def _request_for(
        self, service_id: ServiceId, elapsed: float
    ) -> CrossingWanted:
        allowance = self._allowances_by_service[service_id]
        demand_rate = allowance.used_bytes * MILLIS_PER_SECOND / elapsed
        if allowance.has_waited:
            demand_rate = max(
                2 * demand_rate, settings.MIN_CROSSING_DEMAND_BYTES_PER_SECOND
            )
        allowance.used_bytes = 0
        allowance.has_waited = False
        return CrossingWanted(
            entry_id=self._entry_id,
            service_id=service_id,
            bytes_per_second=demand_rate,
        )

    def _allowance(
        self, service_id: ServiceId, base_rate: float, now: Millis
    ) -> CrossingAllowance:
        allowance = self._allowances_by_service.get(service_id)
        if allowance is None:
            bucket = TokenBucket(
                per_second=base_rate, burst=burst_bytes(base_rate), now=now
            )
            return CrossingAllowance(
                base_rate=base_rate, bucket=bucket, count=CrossingCount()
            )
        granted = allowance.bucket.per_second - allowance.base_rate
        allowance.base_rate = base_rate
        allowance.set_rate(base_rate + granted, now=now)
        return allowance


def region_budget(
    declaration: Declaration, region_id: RegionId, service_id: ServiceId
) -> float:
    """Return the bandwidth of a region and service, in bytes per second."""
    link = declaration.regions_by_id[region_id].link_bits_per_second
    share = declaration.services_by_id[service_id].link_share
    regions = max(1, len(declaration.regions_by_id))
    return link * share / BITS_PER_BYTE / regions


def burst_bytes(per_second: float) -> float:
    """Return the burst size for a rate, in bytes."""
    burst = per_second * settings.CROSSING_BURST_MS / MILLIS_PER_SECOND
    return max(1, burst)
