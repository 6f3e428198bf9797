"""Polling of the configuration head in the platform's store."""

import dataclasses
from collections.abc import Iterator

import xxhash

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.systems import CallStore, Effect
from chicorybridge.configuration.heads import head_from, read_head
from chicorybridge.configuration.versions import HeadVersion
from chicorybridge.fleet.links import NEVER
from chicorybridge.fleet.members import Members
from chicorybridge.storage.stores import StoreOutcome, StoreReply

HEAD_TOKEN = 'rollouts:head:'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PolledHead:
    """The newest version at `requested_at`, when the read was requested."""

    head: HeadVersion
    requested_at: Millis


class HeadPoller:
    """Poll the head in the store, on the hosts that should do so.

    A few hosts of each zone poll. Hosts that take no work, and hosts without
    recent heartbeat echoes from a large enough group, poll too, as they
    could miss a version.
    """

    def __init__(self, *, members: Members) -> None:
        """Start with a poll due."""
        self._members = members
        self._poll_due: Millis = NEVER

    def tick(self, *, now: Millis) -> Iterator[Effect]:
        """Request the head if a poll is due and this host should poll."""
        if now < self._poll_due:
            return
        self._poll_due = Millis(now + settings.HEAD_POLL_INTERVAL_MS)
        if self._should_poll(now):
            yield CallStore(token=f'{HEAD_TOKEN}{now}', request=read_head())

    def parse_reply(self, reply: StoreReply) -> PolledHead | None:
        """Return the head in a reply, `None` if the reply has none."""
        if not reply.token.startswith(HEAD_TOKEN):
            return None
        if reply.outcome is not StoreOutcome.done:
            return None
        head = head_from(reply.rows[0])
        if head is None:
            return None
        requested_at = Millis(float(reply.token.removeprefix(HEAD_TOKEN)))
        return PolledHead(head=head, requested_at=requested_at)

    def _should_poll(self, now: Millis) -> bool:
        if not self._members.profile.taking:
            return True
        group_ack_age_ms = now - self._members.peers.group_acked_at()
        if group_ack_age_ms > settings.HEAD_POLL_INTERVAL_MS * 2:
            return True
        own = self._members.profile
        ranked = sorted(
            (
                host.host_id
                for host in self._members.hosts_by_id.values()
                if host.zone_id == own.zone_id
            ),
            key=lambda host_id: xxhash.xxh64_intdigest(host_id.encode()),
        )
        return own.host_id in ranked[: settings.HEAD_POLLERS_PER_ZONE]
