"""Questions to other hosts on how old their data from the store are.

A host that hears nothing new asks some hosts at random. Their reports bring
it marks that it missed, and show whether the store answers anybody: failures
of its own reads don't, as the store may refuse some hosts, or the host and its
links may be too busy.
"""

import random
from collections.abc import Sequence

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId
from chicorybridge.fleet.host_tables import FleetMember, HostTable


class StoreInquiry:
    """Decide whom this host asks, and what the reports show together."""

    def __init__(self, *, host_table: HostTable, rng: random.Random) -> None:
        """Start with nothing asked."""
        self._host_table = host_table
        self._rng = rng
        self._asked_at = Millis(-settings.NEVER_READ_AGE_MS)
        # When the first query without a report was sent.
        self._unanswered_since = self._asked_at
        self._is_answered = False
        # When hosts were asked that knew of no recent answer of the store.
        self._silent_at_by_id: dict[HostId, Millis] = {}
        # Whether a host of another region must be among them.
        self._needs_far = False

    def hosts_to_ask(
        self, *, silent_ms: float, now: Millis
    ) -> tuple[HostId, ...]:
        """Return the hosts to ask now, if it is time again.

        Those of other regions count as reachable if one of them sent
        something in the last `silent_ms`.
        """
        waited_ms = now - self._asked_at
        if waited_ms < settings.STORE_QUERY_INTERVAL_MS:
            return ()
        if self._is_answered or waited_ms > settings.STORE_REPORT_TTL_MS:
            self._is_answered = False
            self._unanswered_since = now
        self._asked_at = now
        in_touch = self._host_table.in_touch(now=now, within_ms=silent_ms)
        self._needs_far = any(
            not self._host_table.is_in_region(profile) for profile in in_touch
        )
        return (
            *self._draw(
                self._host_table.in_region(), settings.STORE_QUERY_HOSTS
            ),
            *self._draw(self._host_table.in_other_regions(), 1),
        )

    def record(self, sender: HostId, *, asked_at: Millis, silent: bool) -> None:
        """Record a report; `silent` if it has no recent answer of the store."""
        self._is_answered = True
        if silent:
            self._silent_at_by_id[sender] = asked_at
        else:
            self._silent_at_by_id.clear()

    def is_isolated(self, *, now: Millis) -> bool:
        """Return whether no host answers this one."""
        if not self._host_table.profiles():
            return True
        if self._is_answered:
            return False
        if now - self._asked_at > settings.STORE_REPORT_TTL_MS:
            return False
        waited_ms = now - self._unanswered_since
        return waited_ms >= settings.STORE_QUERY_INTERVAL_MS

    def confirms_silence(self, now: Millis) -> bool:
        """Return whether enough hosts just said that the store is silent.

        One of another region is among them if any is reachable: the link
        between the regions may be full.
        """
        silent_ids = [
            host_id
            for host_id, asked_at in self._silent_at_by_id.items()
            if now - asked_at < settings.STORE_REPORT_TTL_MS
        ]
        hosts = len(self._host_table.profiles())
        if len(silent_ids) < min(settings.MIN_SILENT_REPORTS, hosts):
            return False
        return not self._needs_far or any(
            map(self._host_table.is_in_other_region, silent_ids)
        )

    def _draw(
        self, profiles: Sequence[FleetMember], count: int
    ) -> tuple[HostId, ...]:
        drawn = self._rng.sample(profiles, min(count, len(profiles)))
        return tuple(profile.host_id for profile in drawn)
