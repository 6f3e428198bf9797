"""Distribution of versions: offers to peers, and requests for bodies.

A body should cross the link between two regions only once. When a version
is offered from another region, the first-ranked host requests its body at
once. The others wait, by rank, and request it from a host of their own
region as soon as one offers it.
"""

from collections.abc import Iterator

import xxhash

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import StreamError
from chicorybridge.common.events import Event, EventKind
from chicorybridge.common.identities import HostId, Version
from chicorybridge.common.systems import (
    CallStore,
    Effect,
    Effects,
    Emit,
    SendToEntries,
)
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

# Before a host requests a body from another region, it waits as many repair
# intervals as its rank in its own region (from 0), but at most this many.
# The same number is used for the platform's object store: one in this many
# attempts also requests the body from there.
MAX_DELAY_RANK = 4
# Number of attempts with each source in this region before sources in other
# regions are also used.
IN_REGION_ATTEMPTS = 2


class Distributor:
    """Fetch the body of the pending version, and offer the active one.

    `collector` is the host to which hosts report that they confirmed it.
    """

    def __init__(
        self, *, members: Members, version_state: VersionState
    ) -> None:
        """Start without sources; this host collects the reports."""
        self.collector: HostId = members.profile.host_id
        self._members = members
        self._version_state = version_state
        self._attempts_by_source: dict[HostId, int] = {}
        self._request_due: Millis = NEVER
        self._cross_region_due: Millis = NEVER
        self._versions_by_host: dict[HostId, Version] = {}

    def record_head(self, head: HeadVersion, *, now: Millis) -> Effects:
        """Record a durable version; return effects only if it is new.

        Requests to other regions are delayed by the rank of this host.
        """
        if not self._version_state.record_head(head):
            return ()
        self._attempts_by_source = {}
        self._request_due = NEVER
        self._cross_region_due = Millis(
            now + self._delay_rank(head) * settings.BODY_REQUEST_INTERVAL_MS
        )
        return [
            Emit(
                event=Event(
                    kind=EventKind.configuration_received,
                    facts={'version': head.version, 'digest': head.digest},
                )
            )
        ]

    def handle_offer(
        self, message: VersionOffered, *, sender: HostId, now: Millis
    ) -> Effects:
        """Record an offered version, and request its body if it is pending."""
        self._record_version(sender, message.head.version)
        effects = list(self.record_head(message.head, now=now))
        if effects:
            self.collector = message.collector
        if message.head == self._version_state.pending:
            self._attempts_by_source.setdefault(sender, 0)
            effects.extend(self.request_body(now=now))
        return effects

    def handle_heartbeat(
        self, message: Heartbeat, *, sender: HostId, now: Millis
    ) -> Effects:
        """Offer the active version to a peer that has an older one."""
        self._versions_by_host[sender] = message.version
        if message.version >= self._version_state.version:
            return ()
        return self._offer(sender, now)

    def handle_request(
        self, message: BodyWanted, *, sender: HostId, now: Millis
    ) -> Effects:
        """Send a requested body if it is that of the active version."""
        body = self._version_state.body_for(message)
        return (
            self._members.send_or_forward(sender, body, now=now) if body else ()
        )

    def handle_object(self, reply: StoreReply, *, now: Millis) -> Effects:
        """Handle the body of the pending version from the platform."""
        pending = self._version_state.pending
        if pending is None or reply.outcome is not StoreOutcome.done:
            return ()
        if reply.body is None:
            return ()
        sent = BodySent(digest=pending.digest, base=NO_DIGEST, body=reply.body)
        return self.handle_body(sent, now=now)

    def handle_body(self, sent: BodySent, *, now: Millis) -> Effects:
        """Activate the pending version if `sent` holds its body."""
        try:
            declaration = self._version_state.decode_body(sent)
        except StreamError:
            declaration = None
        if declaration is None:
            return ()
        active = self._version_state.activate(declaration)
        return self.announce(active, origin=False, now=now)

    def announce(
        self, active: ActiveVersion, *, origin: bool, now: Millis
    ) -> Effects:
        """Send the active version to entry processes and offer it to peers.

        `origin` is true if this host wrote the version; it then offers the
        version to other regions as well.
        """
        head = active.head
        self._members.version = head.version
        activated = DeclarationActivated(
            version=head.version,
            digest=head.digest,
            body=active.declaration.body,
        )
        event = Event(
            kind=EventKind.configuration_active,
            facts={'version': head.version, 'digest': head.digest},
        )
        return [
            SendToEntries(message=activated),
            Emit(event=event),
            *self._offer_to_peers(origin, now),
        ]

    def request_body(self, *, now: Millis) -> Iterator[Effect]:
        """Request the pending body from the next source if that is due."""
        pending = self._version_state.pending
        if pending is None or now < self._request_due:
            return
        in_region = [
            host
            for host in self._attempts_by_source
            if self._is_in_region(host)
        ]
        if not in_region and now < self._cross_region_due:
            return
        self._request_due = Millis(now + settings.BODY_REQUEST_INTERVAL_MS)
        yield from self._send_request(in_region, pending, now)

    def _send_request(
        self, in_region: list[HostId], pending: HeadVersion, now: Millis
    ) -> Iterator[Effect]:
        attempts = self._attempts_by_source
        # After enough attempts with every source in this region, sources in
        # other regions are used, too.
        exhausted = all(
            attempts[host_id] >= IN_REGION_ATTEMPTS for host_id in in_region
        )
        sources = list(attempts) if exhausted else in_region
        attempt_count = sum(attempts.values())
        if not sources or attempt_count % MAX_DELAY_RANK == MAX_DELAY_RANK - 1:
            request = GetObject(digest=pending.digest)
            yield CallStore(token=BODY_TOKEN, request=request)
        if not sources:
            return
        source = min(sources, key=lambda host_id: attempts[host_id])
        attempts[source] += 1
        message = BodyWanted(
            digest=pending.digest, active_digest=self._version_state.digest
        )
        yield from self._members.send_or_forward(source, message, now=now)

    def _offer_to_peers(self, origin: bool, now: Millis) -> Iterator[Effect]:
        # Outside a full mesh only bridge hosts have peers in other regions, so
        # they must offer the version there, whether or not they wrote it.
        peers = self._members.peers
        cross_region = origin or not peers.is_full_mesh
        for link in peers.monitored_links:
            peer_version = self._versions_by_host.get(link.host_id, 0)
            if peer_version >= self._version_state.version:
                continue
            if cross_region or self._is_in_region(link.host_id):
                yield from self._offer(link.host_id, now)

    def _offer(self, to: HostId, now: Millis) -> Effects:
        active = self._version_state.active
        if active is None:
            return ()
        offer = VersionOffered(head=active.head, collector=self.collector)
        return self._members.send_or_forward(to, offer, now=now)

    def _record_version(self, host_id: HostId, version: Version) -> None:
        previous = self._versions_by_host.get(host_id, version)
        self._versions_by_host[host_id] = max(previous, version)

    def _is_in_region(self, host_id: HostId) -> bool:
        link = self._members.peers.links_by_id.get(host_id)
        if link is None or link.profile is None:
            return False
        return link.profile.region_id == self._members.profile.region_id

    def _delay_rank(self, head: HeadVersion) -> int:
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
        return min(ranked.index(own.host_id), MAX_DELAY_RANK)
