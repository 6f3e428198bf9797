"""Rates that targets name for all hosts together, and this host's share.

A target in need names in its answers the requests a second that it takes
from the whole fleet. The hosts of its region take turns: time is divided
into slots of one request each, which are dealt to the hosts in the order
of a hash of target and host. A slot that its host doesn't use expires. So
the sum keeps to the rate without messages for each request, however many
hosts there are.
"""

import dataclasses
import heapq
import math
from collections.abc import Callable, Container, Mapping

import xxhash

from chicorybridge import settings
from chicorybridge.common.clocks import MILLIS_PER_SECOND, Millis
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
    """The rate that a target named, and the slots of this host.

    Slots are counted from `first_at`, when the fleet learnt of the limit.
    This host has the slot `turn` of each round of `hosts` slots; `turn` is
    `None` if it has none.
    """

    started_at_ms: int
    rate_per_s: float
    first_at: Millis
    seen_at: Millis
    hosts: int = 1
    turn: int | None = None
    shared_at: Millis = Millis(-math.inf)
    # The last round whose slot was used or given up.
    used_round: int = -1

    @property
    def round_ms(self) -> float:
        """Return the time in which each host has one slot."""
        return self.hosts / self.rate_per_s * MILLIS_PER_SECOND

    def next_at(self, now: Millis) -> Millis:
        """Return when this host may send the next request."""
        if self.turn is None:
            return Millis(math.inf)
        next_round = self._unused_round(now)
        slot_at = self._slot_at(next_round)
        return max(now, slot_at)

    def take(self, now: Millis) -> None:
        """Use the slot of the present or next round."""
        self.used_round = self._unused_round(now)

    def deal(self, turn: int | None, *, hosts: int, now: Millis) -> None:
        """Set the slots of this host; those until now are given up."""
        if (turn, hosts) == (self.turn, self.hosts):
            return
        self.turn = turn
        self.hosts = hosts
        self.used_round = self._round_at(now)

    def change_rate(self, rate_per_s: float, *, now: Millis) -> None:
        """Set another rate; the slots until now are given up."""
        self.rate_per_s = rate_per_s
        self.used_round = self._round_at(now)

    def _unused_round(self, now: Millis) -> int:
        expired_at = Millis(now - settings.LIMIT_SLOT_TTL_MS)
        return max(self.used_round, self._round_at(expired_at)) + 1

    def _round_at(self, now: Millis) -> int:
        """Return the last round whose slot of this host began by `now`."""
        rounds = (now - self.first_at) / self.round_ms
        return math.floor(rounds - (self.turn or 0) / self.hosts)

    def _slot_at(self, number: int) -> Millis:
        rounds = number + (self.turn or 0) / self.hosts
        return Millis(self.first_at + rounds * self.round_ms)


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
        if share is None or share.started_at_ms < seen.started_at_ms:
            self._shares_by_id[seen.target_id] = LimitShare(
                started_at_ms=seen.started_at_ms,
                rate_per_s=rate_per_s,
                first_at=now,
                seen_at=now,
            )
            return True
        change = abs(rate_per_s / share.rate_per_s - 1)
        if change < settings.LIMIT_CHANGE_SHARE:
            return False
        share.change_rate(rate_per_s, now=now)
        share.seen_at = now
        # The number of hosts that take turns depends on the rate.
        share.shared_at = Millis(-math.inf)
        return True

    def has_limit(self, target_id: TargetId) -> bool:
        """Return whether a target has named a limit."""
        return target_id in self._shares_by_id

    def available_at(self, entry: TargetEntry, *, now: Millis) -> Millis:
        """Return when this host may send a target the next request.

        Infinite if it has no share in the limit of the target.
        """
        share = self._share_of(entry, now)
        return now if share is None else share.next_at(now)

    def take(self, entry: TargetEntry, *, now: Millis) -> None:
        """Count a request that is sent to a target."""
        share = self._share_of(entry, now)
        if share is not None:
            share.take(now)

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
            order = self._turn_order(entry, share.rate_per_s)
            own = self._host_table.host_id
            turn = order.index(own) if own in order else None
            share.deal(turn, hosts=max(1, len(order)), now=now)
        return share

    def _turn_order(
        self, entry: TargetEntry, rate_per_s: float
    ) -> list[HostId]:
        """Return the hosts that take turns, in their order.

        In a large region these are only some, so that each has a slot
        before long.
        """
        return heapq.nsmallest(
            math.ceil(rate_per_s * settings.MAX_LIMIT_ROUND_S),
            self._sharing_hosts(entry),
            key=lambda host_id: _rank_hash(entry.target_id, host_id),
        )

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
