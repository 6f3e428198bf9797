"""From which host, and when, this host fetches newer state.

If all hosts of a region fetched a change from the host that read it, that
host would send it to each of them. Instead the hosts form a tree by rank
below the one that announced the change: the first ones fetch from it, and
announce the change to those below them.
"""

import dataclasses
import random
from collections.abc import Sequence

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingFetch:
    """Newer state that is to be fetched from `source` at `due_at`.

    `origin` is the root of the tree, `parent` the host above this one.
    """

    origin: HostId
    parent: HostId
    source: HostId
    due_at: Millis


class StateRelay:
    """Decide when this host fetches newer state, and whom it tells after."""

    def __init__(self, *, host_id: HostId, rng: random.Random) -> None:
        """Start with nothing to fetch; `host_id` is that of this host."""
        self._host_id = host_id
        self._rng = rng
        self._pending: PendingFetch | None = None
        # When the fetch under way began.
        self._fetching_since: Millis | None = None
        # Whether the last fetch hung.
        self._hung = False

    def offer(
        self, source: HostId, *, order: Sequence[HostId], now: Millis
    ) -> None:
        """Record that `source` has newer state.

        `order` has the hosts of the region by rank, with this host. A host
        of another region tells only a few, which all fetch from it.
        """
        pending = self._pending
        if pending is None:
            self._pending = self._new_fetch(source, order, now)
            return
        pending.source = source
        if source == pending.parent:
            pending.due_at = now

    def hurry(self, source: HostId, *, now: Millis) -> None:
        """Fetch from `source` now, which this host drew to ask it for news.

        Hosts that draw at random all ask others, so that none has to wait for
        the host above it. A fetch that is under way is left to its end.
        """
        pending = self._pending
        if (
            self._fetching_since is not None
            or pending is None
            or pending.due_at <= now
        ):
            return
        pending.source = source
        pending.due_at = now

    def ask_any(self, *, order: Sequence[HostId], now: Millis) -> None:
        """Fetch from a random host of the region now.

        A fetch that is to wait for the host above this one does so no longer.
        `order` has the hosts of the region, with this host.
        """
        others = [host_id for host_id in order if host_id != self._host_id]
        if not others:
            return
        source = self._rng.choice(others)
        if self._pending is not None:
            if self._pending.due_at > now:
                self._pending.source = source
                self._pending.due_at = now
            return
        self._pending = PendingFetch(
            origin=source, parent=source, source=source, due_at=now
        )

    def take_due(self, *, now: Millis) -> PendingFetch | None:
        """Return the fetch that is due now, if any, and end its wait."""
        pending = self._pending
        if pending is None or now < pending.due_at:
            return None
        self._pending = None
        self._fetching_since = now
        return pending

    def end(self, *, now: Millis) -> None:
        """Record that the fetch under way has ended."""
        self._hung = self._hangs(now)
        self._fetching_since = None

    @property
    def is_fetching(self) -> bool:
        """Return whether a fetch is under way."""
        return self._fetching_since is not None

    def is_cut_off(self, *, now: Millis) -> bool:
        """Return whether the fetch under way hangs, or else the last one hung.

        One that another host breaks off at once, as it sends to others, shows
        that the host is reached.
        """
        if self._fetching_since is None:
            return self._hung
        return self._hangs(now)

    def retry(self, fetch: PendingFetch, *, now: Millis) -> None:
        """Record that `fetch` failed; it is due again after a while."""
        if self._pending is not None:
            return
        jitter_ms = self._rng.uniform(0, settings.RELAY_JITTER_MS)
        fetch.due_at = Millis(now + settings.RELAY_WAIT_MS + jitter_ms)
        self._pending = fetch

    def hosts_below(
        self, fetch: PendingFetch, *, order: Sequence[HostId]
    ) -> tuple[HostId, ...]:
        """Return the hosts to tell of the state that `fetch` brought."""
        members = _below_origin(fetch.origin, order)
        if self._host_id not in members:
            return ()
        first = (members.index(self._host_id) + 1) * settings.RELAY_FAN_OUT
        return members[first : first + settings.RELAY_FAN_OUT]

    def _hangs(self, now: Millis) -> bool:
        if self._fetching_since is None:
            return False
        return now - self._fetching_since >= settings.FETCH_HANGS_MS

    def _new_fetch(
        self, source: HostId, order: Sequence[HostId], now: Millis
    ) -> PendingFetch:
        members = _below_origin(source, order)
        position = members.index(self._host_id)
        levels = 0
        parent = source
        if source in order and position >= settings.RELAY_FAN_OUT:
            parent = members[position // settings.RELAY_FAN_OUT - 1]
            levels = _levels_above(position)
        wait_ms = levels * settings.RELAY_WAIT_MS
        jitter_ms = self._rng.uniform(0, levels * settings.RELAY_JITTER_MS)
        return PendingFetch(
            origin=source,
            parent=parent,
            source=source,
            due_at=Millis(now + wait_ms + jitter_ms),
        )


def _below_origin(
    origin: HostId, order: Sequence[HostId]
) -> tuple[HostId, ...]:
    return tuple(host_id for host_id in order if host_id != origin)


def _levels_above(position: int) -> int:
    """Return the number of hosts between a position and the origin."""
    levels = 0
    while position >= settings.RELAY_FAN_OUT:
        position = position // settings.RELAY_FAN_OUT - 1
        levels += 1
    return levels
