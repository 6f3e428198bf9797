"""News from the store on their way through a region.

If the host that reads them sent them to all others, its link would be full
for a while, and what it sends next would be lost. Instead they pass through
trees of the hosts below it. Small news take two trees, by rank and by the
reverse: most hosts that have others below them in one have none in the other,
so that a lost datagram keeps news from few.
"""

import dataclasses
from collections.abc import Collection, Sequence

from chicorybridge import settings
from chicorybridge.common.codecs import pack, wire
from chicorybridge.common.identities import HostId
from chicorybridge.fleet.configurations import (
    ConfigurationDelta,
    KeyedConfigurationDelta,
)
from chicorybridge.fleet.directories import TargetsChanged

News = TargetsChanged | ConfigurationDelta | KeyedConfigurationDelta


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RegionNews:
    """Tell the hosts below the receiver what `origin` read, if it is new."""

    origin: HostId
    message: News


def hosts_below(
    host_id: HostId, *, news: RegionNews, order: Sequence[HostId]
) -> Collection[HostId]:
    """Return the hosts to which `host_id` passes news.

    `order` has the hosts of the region by rank. Hosts that know others give
    another order may tell a host more often or not at all.
    """
    members = [member for member in order if member != news.origin]
    if host_id not in order:
        return ()
    if len(pack(news)) > settings.SMALL_NEWS_BYTES:
        return _below_in_tree(host_id, members, settings.NEWS_FAN_OUT)
    fan_out = settings.NEWS_FAN_OUT // 2
    below = (
        *_below_in_tree(host_id, members, fan_out),
        *_below_in_tree(host_id, tuple(reversed(members)), fan_out),
    )
    return dict.fromkeys(below).keys()


def _below_in_tree(
    host_id: HostId, members: Sequence[HostId], fan_out: int
) -> tuple[HostId, ...]:
    """Return the hosts below one in the tree of `members`, or at its root."""
    position = members.index(host_id) + 1 if host_id in members else 0
    first = position * fan_out
    return tuple(members[first : first + fan_out])
