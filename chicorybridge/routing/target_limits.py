"""Rates that targets name for all hosts together, and this host's share.

A target in need names in its answers the requests a second that it takes
from the whole fleet. The rate is shared by as many hosts of its region as
it allows requests a second, chosen by rendezvous hashing; the others send
the target nothing. So the sum keeps to the rate without messages for each
request, however many hosts there are, and each share is enough to be used.
"""

import dataclasses
import heapq
import math
from collections.abc import Callable, Container, Mapping

import xxhash

from chicorybridge import settings
from chicorybridge.common.buckets import TokenBucket
from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import (
    HostId,
    RegionId,
    TargetId,
    ZoneId,
)
from chicorybridge.fleet.directories import TargetEntry
from chicorybridge.fleet.host_tables import HostTable


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LimitSeen:
    """Report the requests a second that a target takes from all hosts.

    `rate_per_s` is `None` once its answers name no limit any more.
    `started_at_ms`, in milliseconds since 1970, tells its restarts apart.
    """

    target_id: TargetId
    started_at_ms: int
    rate_per_s: float | None


@dataclasses.dataclass(kw_only=True, slots=True)
class LimitShare:
    """The rate that a target named, and the part of this host."""

    started_at_ms: int
    rate_per_s: float
    bucket: TokenBucket
    seen_at: Millis
    shared_at: Millis = Millis(-math.inf)


class TargetLimits:
    """The share of this host in the limits of targets."""

    def __init__(
        self,
        *,
        host_table: HostTable,
        regions_by_zone: Mapping[ZoneId, RegionId],
        is_serving: Callable[[], bool],
    ) -> None:
        """Share limits with the serving hosts of `host_table`.

        `is_serving` returns whether this host is one of them.
        """
        self._host_table = host_table
        self._regions_by_zone = regions_by_zone
        self._is_serving = is_serving
        self._shares_by_id: dict[TargetId, LimitShare] = {}

    def record(self, seen: LimitSeen, *, now: Millis) -> bool:
        """Record what a target named; return whether that is news.

        Small changes of a rate are no news, and ignored.
        """
        share = self._shares_by_id.get(seen.target_id)
        if share is not None and share.started_at_ms > seen.started_at_ms:
            return False
        if seen.rate_per_s is None:
            return self._shares_by_id.pop(seen.target_id, None) is not None
        rate_per_s = max(seen.rate_per_s, settings.MIN_LIMIT_PER_S)
        if share is not None and share.started_at_ms == seen.started_at_ms:
            change = abs(rate_per_s / share.rate_per_s - 1)
            if change < settings.LIMIT_CHANGE_SHARE:
                return False
        # Empty at first: other hosts may use their share at the same time.
        bucket = TokenBucket(per_second=0, burst=1, now=now)
        bucket.spend(1, now=now)
        self._shares_by_id[seen.target_id] = LimitShare(
            started_at_ms=seen.started_at_ms,
            rate_per_s=rate_per_s,
            bucket=bucket,
            seen_at=now,
        )
        return True

    def available_at(self, entry: TargetEntry, *, now: Millis) -> Millis:
        """Return when this host may send a target the next request.

        Infinite if it has no share in the limit of the target.
        """
        share = self._share_of(entry, now)
        if share is None:
            return now
        return Millis(now + share.bucket.wait_ms(now=now))

    def take(self, entry: TargetEntry, *, now: Millis) -> None:
        """Count a request that is sent to a target."""
        share = self._share_of(entry, now)
        if share is not None:
            share.bucket.spend(1, now=now)

    def expire(self, listed: Container[TargetId], *, now: Millis) -> None:
        """Drop old limits of targets that are not listed any more."""
        for target_id, share in tuple(self._shares_by_id.items()):
            is_old = now - share.seen_at > settings.TARGET_SIGN_TTL_MS
            if is_old and target_id not in listed:
                self._shares_by_id.pop(target_id)

    def _share_of(self, entry: TargetEntry, now: Millis) -> LimitShare | None:
        share = self._shares_by_id.get(entry.target_id)
        if share is None or share.started_at_ms < entry.started_at_ms:
            return None
        if now - share.shared_at >= settings.LIMIT_SHARE_TTL_MS:
            share.shared_at = now
            # Adds what came until now at the former rate.
            share.bucket.level(now=now)
            share.bucket.per_second = self._own_rate(entry, share.rate_per_s)
        return share

    def _own_rate(self, entry: TargetEntry, rate_per_s: float) -> float:
        host_ids = self._sharing_hosts(entry)
        count = min(len(host_ids), max(1, math.floor(rate_per_s)))
        chosen = heapq.nsmallest(
            count,
            host_ids,
            key=lambda host_id: _rank_hash(entry.target_id, host_id),
        )
        if self._host_table.host_id not in chosen:
            return 0
        return rate_per_s / count

    def _sharing_hosts(self, entry: TargetEntry) -> list[HostId]:
        """Return the serving hosts of the target's region, or else all."""
        regions_by_id = {
            profile.host_id: self._regions_by_zone.get(profile.zone_id)
            for profile in self._host_table.profiles()
            if profile.serving
        }
        if self._is_serving():
            own_zone = self._host_table.zone_id
            regions_by_id[self._host_table.host_id] = self._regions_by_zone.get(
                own_zone
            )
        target_region = self._regions_by_zone.get(entry.zone_id)
        in_region = [
            host_id
            for host_id, region_id in regions_by_id.items()
            if region_id == target_region
        ]
        return in_region or list(regions_by_id)


def _rank_hash(target_id: TargetId, host_id: HostId) -> int:
    return xxhash.xxh64_intdigest(f'{target_id} {host_id}'.encode())
