"""Choice of the host that sums up the requests in flight of a zone.

In a small zone each host tells all others what it has in flight. In a large
one it tells the aggregator, which sends the sums to the zone. Any host can be
the aggregator, and it stores nothing: each host repeats its counts to whoever
it holds for the aggregator, and chooses the next one when that one is silent.
Two hosts may take themselves for the aggregator for some time; each sums up
what it is told.
"""

from collections.abc import Sequence

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId


class AggregatorChoice:
    """The aggregator of the zone, as this host sees it.

    `current` is `None` while hosts of the zone tell each other directly.
    """

    def __init__(self, *, host_id: HostId) -> None:
        """Start with direct messages; `host_id` is this host."""
        self._host_id = host_id
        self.current: HostId | None = None
        self.changes = 0
        self._heard_at = Millis(0)
        self._incomplete_sums = 0
        self._avoided_until_by_id: dict[HostId, Millis] = {}

    @property
    def is_own(self) -> bool:
        """Return whether this host is the aggregator."""
        return self.current == self._host_id

    def record_totals(self, sender: HostId, *, now: Millis) -> bool:
        """Record that `sender` sent sums; return whether they count."""
        if sender != self.current:
            return False
        self._heard_at = now
        return True

    def check_complete_sums(self, *, has_own: bool, now: Millis) -> None:
        """Avoid an aggregator that does not hear this host.

        `has_own` is whether its complete sums have the requests of this
        host. Sums that crossed a report may lack them once.
        """
        self._incomplete_sums = 0 if has_own else self._incomplete_sums + 1
        if self._incomplete_sums >= settings.MAX_INCOMPLETE_SUMS:
            self._avoid_current(now)

    def update(self, order: Sequence[HostId], *, now: Millis) -> bool:
        """Choose again; return whether the aggregator has changed.

        `order` has the serving hosts of the zone, this one included, in the
        order in which they are preferred.
        """
        self._avoid_silent(now)
        chosen = self._choose(order, now)
        if chosen == self.current:
            return False
        self.current = chosen
        self._heard_at = now
        self._incomplete_sums = 0
        self.changes += 1
        return True

    def _avoid_silent(self, now: Millis) -> None:
        if self.current is None or self.is_own:
            return
        if now - self._heard_at > settings.AGGREGATOR_TIMEOUT_MS:
            self._avoid_current(now)

    def _avoid_current(self, now: Millis) -> None:
        if self.current is not None:
            self._avoided_until_by_id[self.current] = Millis(
                now + settings.AGGREGATOR_AVOIDED_MS
            )

    def _choose(self, order: Sequence[HostId], now: Millis) -> HostId | None:
        least = settings.MIN_AGGREGATED_HOSTS
        if self.current is not None:
            # Zones around the limit would otherwise change to and fro.
            least -= settings.AGGREGATION_HYSTERESIS_HOSTS
        if len(order) < least:
            return None
        self._avoided_until_by_id = {
            host_id: until
            for host_id, until in self._avoided_until_by_id.items()
            if until > now
        }
        available = (
            host_id
            for host_id in order
            if host_id not in self._avoided_until_by_id
        )
        return next(available, self._host_id)
