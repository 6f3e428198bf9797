"""Which hosts read the head of the configuration, and when."""

import dataclasses
from collections.abc import Iterator

import xxhash

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.systems import Ask, Effect
from chicorybridge.configuration.heads import head_from, read_head
from chicorybridge.configuration.versions import HeadVersion
from chicorybridge.fleet.links import NEVER
from chicorybridge.fleet.members import Members
from chicorybridge.storage.stores import StoreOutcome, StoreReply

HEAD_TOKEN = 'rollouts:head:'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PolledHead:
    """The newest version as of `requested_at`, the time of the request."""

    head: HeadVersion
    requested_at: Millis


class HeadPoller:
    """Read the head from few hosts of a zone, and from lonely ones."""

    def __init__(self, *, members: Members) -> None:
        """Start with a read due."""
        self._members = members
        self._due: Millis = NEVER

    def tick(self, *, now: Millis) -> Iterator[Effect]:
        """Ask for the head when this host should read it."""
        if now < self._due:
            return
        self._due = Millis(now + settings.HEAD_POLL_MS)
        if self._is_reader(now):
            yield Ask(token=f'{HEAD_TOKEN}{now}', request=read_head())

    def read(self, reply: StoreReply) -> PolledHead | None:
        """Return what a reply says, `None` if there is no version."""
        if not reply.token.startswith(HEAD_TOKEN):
            return None
        if reply.outcome is not StoreOutcome.done:
            return None
        head = head_from(reply.rows[0])
        if head is None:
            return None
        requested_at = Millis(float(reply.token.removeprefix(HEAD_TOKEN)))
        return PolledHead(head=head, requested_at=requested_at)

    def _is_reader(self, now: Millis) -> bool:
        if not self._members.profile.taking:
            return True
        group_age = now - self._members.peers.group_acked_at()
        if group_age > settings.HEAD_POLL_MS * 2:
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
        return own.host_id in ranked[: settings.HEAD_READERS]
