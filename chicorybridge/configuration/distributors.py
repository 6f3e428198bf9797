"""How versions travel: offers to peers, and bodies fetched from them.

A body crosses the link between regions once: of the hosts of a region
that a far host offers it to, one fetches it at once and the others only
later, unless a near host offers it first.
"""

from collections.abc import Iterator

import xxhash

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import StreamError
from chicorybridge.common.events import Event, EventKind
from chicorybridge.common.identities import HostId, Version
from chicorybridge.common.systems import Ask, Effect, Effects, Emit, SendEntries
from chicorybridge.configuration.version_states import (
    NO_DIGEST,
    ActiveVersion,
    VersionState,
)
from chicorybridge.configuration.versions import (
    BodySent,
    BodyWanted,
    DeclarationActivated,
    HeadVersion,
    VersionOffered,
)
from chicorybridge.fleet.links import NEVER
from chicorybridge.fleet.members import Members
from chicorybridge.fleet.profiles import Heartbeat
from chicorybridge.storage.stores import GetObject, StoreOutcome, StoreReply

BODY_TOKEN = 'rollouts:body'

# Ranks of hosts that fetch over the far link one after the other.
FAR_RANKS = 4
# Requests to each near source before far ones are asked too.
NEAR_TRIES = 2


class Distributor:
    """Fetch the wanted version and offer the held one."""

    def __init__(
        self, *, members: Members, version_state: VersionState
    ) -> None:
        """Start with nothing offered."""
        self.collector: HostId = members.profile.host_id
        self._members = members
        self._version_state = version_state
        self._asked_by_source: dict[HostId, int] = {}
        self._ask_due: Millis = NEVER
        self._far_due: Millis = NEVER
        self._versions_by_host: dict[HostId, Version] = {}

    def learn(self, head: HeadVersion, *, now: Millis) -> Effects:
        """Want a durable version; the far link opens to it by rank."""
        if not self._version_state.want(head):
            return ()
        self._asked_by_source = {}
        self._ask_due = NEVER
        self._far_due = Millis(now + self._rank(head) * settings.REPAIR_MS)
        return [
            Emit(
                event=Event(
                    kind=EventKind.configuration_received,
                    facts={'version': head.version, 'digest': head.digest},
                )
            )
        ]

    def take_offer(
        self, message: VersionOffered, *, sender: HostId, now: Millis
    ) -> Effects:
        """Take an offer in and fetch the body if it is new."""
        self._note(sender, message.head.version)
        learnt = list(self.learn(message.head, now=now))
        if learnt:
            self.collector = message.collector
        if message.head == self._version_state.pending:
            self._asked_by_source.setdefault(sender, 0)
            learnt.extend(self.fetch(now=now))
        return learnt

    def take_beat(
        self, message: Heartbeat, *, sender: HostId, now: Millis
    ) -> Effects:
        """Offer the version in force to a peer that holds an older one."""
        self._versions_by_host[sender] = message.version
        if message.version >= self._version_state.version:
            return ()
        return self._offer(sender, now)

    def answer(
        self, message: BodyWanted, *, sender: HostId, now: Millis
    ) -> Effects:
        """Hand the body over to a peer that asked for it."""
        body = self._version_state.body_for(message)
        return (
            self._members.send_or_forward(sender, body, now=now) if body else ()
        )

    def take_object(self, reply: StoreReply, *, now: Millis) -> Effects:
        """Take the body in that the platform returned."""
        pending = self._version_state.pending
        if pending is None or reply.outcome is not StoreOutcome.done:
            return ()
        if reply.body is None:
            return ()
        sent = BodySent(digest=pending.digest, base=NO_DIGEST, body=reply.body)
        return self.take_body(sent, now=now)

    def take_body(self, sent: BodySent, *, now: Millis) -> Effects:
        """Put a body in force if it is the one wanted."""
        try:
            declaration = self._version_state.read(sent)
        except StreamError:
            declaration = None
        if declaration is None:
            return ()
        held = self._version_state.activate(declaration)
        return self.announce(held, origin=False, now=now)

    def announce(
        self, held: ActiveVersion, *, origin: bool, now: Millis
    ) -> Effects:
        """Tell the entry processes and the peers of the version in force."""
        head = held.head
        self._members.version = head.version
        activated = DeclarationActivated(
            version=head.version,
            digest=head.digest,
            body=held.declaration.body,
        )
        event = Event(
            kind=EventKind.configuration_active,
            facts={'version': head.version, 'digest': head.digest},
        )
        return [
            SendEntries(message=activated),
            Emit(event=event),
            *self._offers(origin, now),
        ]

    def fetch(self, *, now: Millis) -> Iterator[Effect]:
        """Ask the next source for the wanted body when that is due."""
        pending = self._version_state.pending
        if pending is None or now < self._ask_due:
            return
        near = [host for host in self._asked_by_source if self._is_near(host)]
        if not near and now < self._far_due:
            return
        self._ask_due = Millis(now + settings.REPAIR_MS)
        yield from self._ask(near, pending, now)

    def _ask(
        self, near: list[HostId], pending: HeadVersion, now: Millis
    ) -> Iterator[Effect]:
        asked = self._asked_by_source
        # A near source may fail; a far one is then better than none.
        tired = all(asked[host_id] >= NEAR_TRIES for host_id in near)
        usable = list(asked) if tired else near
        tries = sum(asked.values())
        if not usable or tries % FAR_RANKS == FAR_RANKS - 1:
            request = GetObject(digest=pending.digest)
            yield Ask(token=BODY_TOKEN, request=request)
        if not usable:
            return
        source = min(usable, key=lambda host_id: asked[host_id])
        asked[source] += 1
        message = BodyWanted(
            digest=pending.digest, active_digest=self._version_state.digest
        )
        yield from self._members.send_or_forward(source, message, now=now)

    def _offers(self, origin: bool, now: Millis) -> Iterator[Effect]:
        # In a large fleet the only far peers are those of bridges.
        peers = self._members.peers
        far = origin or not peers.is_full_mesh
        for link in peers.monitored_links:
            known = self._versions_by_host.get(link.host_id, 0)
            if known >= self._version_state.version:
                continue
            if far or self._is_near(link.host_id):
                yield from self._offer(link.host_id, now)

    def _offer(self, to: HostId, now: Millis) -> Effects:
        held = self._version_state.active
        if held is None:
            return ()
        offer = VersionOffered(head=held.head, collector=self.collector)
        return self._members.send_or_forward(to, offer, now=now)

    def _note(self, host_id: HostId, version: Version) -> None:
        known = self._versions_by_host.get(host_id, version)
        self._versions_by_host[host_id] = max(known, version)

    def _is_near(self, host_id: HostId) -> bool:
        link = self._members.peers.links_by_id.get(host_id)
        if link is None or link.profile is None:
            return False
        return link.profile.region_id == self._members.profile.region_id

    def _rank(self, head: HeadVersion) -> int:
        own = self._members.profile
        ranked = sorted(
            (
                host.host_id
                for host in self._members.hosts_by_id.values()
                if host.region_id == own.region_id
            ),
            key=lambda host_id: xxhash.xxh64_intdigest(
                (head.digest + host_id).encode()
            ),
        )
        return min(ranked.index(own.host_id), FAR_RANKS)
