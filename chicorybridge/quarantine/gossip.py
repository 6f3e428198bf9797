"""Reports of crashes between control processes.

An entry process reports each request during which a target crashed to its
control process at once. The control process forwards the report to all
peers and to the entry processes of its host. A peer forwards each new
report to a few others, so that it also reaches hosts to which one link
is broken.
"""

import functools
import random
from collections.abc import Callable, Collection, Iterator
from typing import Any

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.events import Event, EventKind
from chicorybridge.common.identities import Digest, HostId
from chicorybridge.common.systems import (
    Effect,
    Effects,
    Emit,
    Send,
    SendToEntries,
    System,
)
from chicorybridge.quarantine.crash_reports import (
    CrashReport,
    CrashSuspected,
    SuspectCleared,
)
from chicorybridge.quarantine.suspects import SuspectTable


class QuarantineGossip(System):
    """Forward crash reports of all entry processes through the fleet."""

    def __init__(
        self,
        *,
        host_id: HostId,
        peers: Callable[[], Collection[HostId]],
        rng: random.Random,
    ) -> None:
        """Forward to `peers()`, which may or may not include this host."""
        self._host_id = host_id
        self._peers = peers
        self._rng = rng
        self._suspects = SuspectTable()

    def tick(self, *, now: Millis) -> Effects:
        """Drop expired reports."""
        self._suspects.expire(now=now)
        return ()

    @functools.singledispatchmethod
    def receive(self, message: Any, *, sender: HostId, now: Millis) -> Effects:
        """Handle a report of an own entry process or of a peer."""
        return ()

    @receive.register
    def _handle_suspected(
        self, message: CrashSuspected, *, sender: HostId, now: Millis
    ) -> Effects:
        was_blamed = self._suspects.is_blamed(message.digest, now=now)
        if not self._suspects.add(message, now=now):
            return ()
        effects = list(self._forward(message, sender))
        if not was_blamed and self._suspects.is_blamed(message.digest, now=now):
            effects.append(self._quarantine_event(message.digest))
        return effects

    @receive.register
    def _handle_cleared(
        self, message: SuspectCleared, *, sender: HostId, now: Millis
    ) -> Effects:
        if not self._suspects.clear(message.digest, now=now):
            return ()
        return self._forward(message, sender)

    def _forward(self, report: CrashReport, sender: HostId) -> Iterator[Effect]:
        yield SendToEntries(message=report)
        informed = {self._host_id, sender}
        peers = [peer for peer in self._peers() if peer not in informed]
        if sender != self._host_id:
            count = min(settings.SUSPECT_RELAYS, len(peers))
            peers = self._rng.sample(peers, count)
        for peer in peers:
            yield Send(to=peer, message=report)

    def _quarantine_event(self, digest: Digest) -> Effect:
        victims = self._suspects.victims_of(digest)
        return Emit(
            event=Event(
                kind=EventKind.request_quarantined,
                facts={
                    'digest': digest,
                    'victims': [victim.target_id for victim in victims],
                },
            )
        )
