"""Refusal of requests that crash targets, on every host.

An entry process reports each request during which a target crashed to its
control process at once. The control process forwards the report to all
peers and to the entry processes of its host. A peer forwards each new
report to a few others, so that it also reaches hosts to which one link
is broken.
"""

import functools
import random
from collections.abc import Callable, Collection, Iterator
from typing import Any, Protocol, TypeAlias

from chicorybridge import settings
from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.events import Event, EventKind
from chicorybridge.common.identities import Digest, HostId, TargetId
from chicorybridge.common.outcomes import COMPLETE_OUTCOMES
from chicorybridge.common.systems import (
    Effect,
    Effects,
    Emit,
    Send,
    SendToEntries,
    System,
)
from chicorybridge.routing.suspects import (
    CrashSuspected,
    SuspectCleared,
    SuspectsKnown,
    SuspectTable,
)

CrashReport: TypeAlias = CrashSuspected | SuspectCleared


class HasDigest(Protocol):
    """A request that is identified by its digest."""

    @property
    def digest(self) -> Digest:
        """Return a digest that is the same for repeats of the request."""


class Quarantine:
    """Requests that may crash targets, as seen by one process."""

    def __init__(self) -> None:
        """Start without suspects."""
        self._suspects = SuspectTable()

    @property
    def is_empty(self) -> bool:
        """Return whether there are no suspects; then no digest is needed."""
        return not len(self._suspects)

    def contains(self, request: HasDigest) -> bool:
        """Return whether a request is suspect.

        Its digest is only computed if there are any suspects.
        """
        return not self.is_empty and request.digest in self._suspects

    def is_suspect(self, digest: Digest) -> bool:
        """Return whether the request with `digest` is suspect."""
        return digest in self._suspects

    def victim_count(self, digest: Digest) -> int:
        """Return how many targets crashed while they ran a request."""
        return len(self._suspects.victims_of(digest))

    def refuses(self, digest: Digest, *, now: Millis) -> bool:
        """Return whether a request is blamed for crashes and refused."""
        return self._suspects.is_blamed(digest, now=now)

    def record_attempt(
        self, digest: Digest, attempt: Attempt, *, now: Millis
    ) -> CrashReport | None:
        """Record an attempt; return a report for the control process."""
        if may_have_crashed(attempt):
            return self.suspect(digest, attempt.target_id, now=now)
        if attempt.outcome not in COMPLETE_OUTCOMES:
            return None
        if self._suspects.clear(digest):
            return SuspectCleared(digest=digest)
        return None

    def suspect(
        self, digest: Digest, target_id: TargetId, *, now: Millis
    ) -> CrashSuspected:
        """Record that a target crashed under a request; return the report."""
        victim = self._suspects.next_victim(digest, target_id, now=now)
        suspected = CrashSuspected(digest=digest, victim=victim)
        self._suspects.add(suspected, now=now)
        return suspected

    def receive(self, message: Any, *, now: Millis) -> None:
        """Handle a report from the control process."""
        match message:
            case CrashSuspected():
                self._suspects.add(message, now=now)
            case SuspectCleared():
                self._suspects.clear(message.digest)
            case SuspectsKnown():
                for suspected in message.reports:
                    self._suspects.add(suspected, now=now)

    def known(self) -> SuspectsKnown | None:
        """Return what a host that has started should know, if anything."""
        reports = self._suspects.reports(limit=settings.MAX_KNOWN_SUSPECTS)
        return SuspectsKnown(reports=reports) if reports else None

    def tick(self, *, now: Millis) -> None:
        """Drop expired reports."""
        self._suspects.expire(now=now)


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
        if not self._suspects.clear(message.digest):
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


def may_have_crashed(attempt: Attempt) -> bool:
    """Return whether an attempt may have crashed its target.

    If the connection ended after the answer began, the target is assumed
    to be gray instead.
    """
    if attempt.outcome is not AttemptOutcome.cut:
        return False
    return bool(attempt.sent_bytes) and attempt.first_byte_ms is None
