"""Refusal of requests that crash targets, on every host.

An entry process reports the requests that targets died under to its
control process, at once. The control process tells its peers and the
entry processes of its host. A peer that learns something new tells a few
others, so that the word also goes around a link that carries nothing.
"""

import functools
import random
from collections.abc import Callable, Collection, Iterator
from typing import Any, Protocol, TypeAlias

from chicorybridge import settings
from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.events import Event, EventKind
from chicorybridge.common.identities import Digest, HostId
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
    SuspectTable,
)

Report: TypeAlias = CrashSuspected | SuspectCleared


class Identified(Protocol):
    """A request that can be told from others."""

    @property
    def digest(self) -> Digest:
        """Return a digest that a repeat of the request has, too."""


class Quarantine:
    """What an entry process knows of requests that crash targets."""

    def __init__(self) -> None:
        """Start with no suspect."""
        self._suspects = SuspectTable()

    @property
    def is_empty(self) -> bool:
        """Tell whether no request is suspect, so that none need a digest."""
        return not len(self._suspects)

    def knows(self, request: Identified) -> bool:
        """Tell whether a request is suspect; works out its digest if any."""
        return not self.is_empty and request.digest in self._suspects

    def is_suspect(self, digest: Digest) -> bool:
        """Tell whether a request is to be kept apart from the others."""
        return digest in self._suspects

    def refuses(self, digest: Digest, *, now: Millis) -> bool:
        """Tell whether a request must not reach another target."""
        return self._suspects.is_to_blame(digest, now=now)

    def attempt_ended(
        self, digest: Digest, attempt: Attempt, *, now: Millis
    ) -> Report | None:
        """Learn from an attempt; return what the control process is told."""
        if may_have_crashed(attempt):
            victim = self._suspects.next_victim(
                digest, attempt.target_id, now=now
            )
            suspected = CrashSuspected(digest=digest, victim=victim)
            self._suspects.add(suspected, now=now)
            return suspected
        if attempt.outcome not in COMPLETE_OUTCOMES:
            return None
        if self._suspects.clear(digest):
            return SuspectCleared(digest=digest)
        return None

    def receive(self, message: Any, *, now: Millis) -> None:
        """Take in what the control process passes on."""
        match message:
            case CrashSuspected():
                self._suspects.add(message, now=now)
            case SuspectCleared():
                self._suspects.clear(message.digest)

    def tick(self, *, now: Millis) -> None:
        """Forget what is old."""
        self._suspects.expire(now=now)


class Quarantines(System):
    """Spread the suspects of all entry processes over the fleet."""

    def __init__(
        self,
        *,
        host_id: HostId,
        peers: Callable[[], Collection[HostId]],
        rng: random.Random,
    ) -> None:
        """Tell `peers()`, which may include this host or not."""
        self._host_id = host_id
        self._peers = peers
        self._rng = rng
        self._suspects = SuspectTable()

    def tick(self, *, now: Millis) -> Effects:
        """Forget what is old."""
        self._suspects.expire(now=now)
        return ()

    @functools.singledispatchmethod
    def receive(self, message: Any, *, sender: HostId, now: Millis) -> Effects:
        """Take in what an entry process of this host or a peer says."""
        return ()

    @receive.register
    def _suspected(
        self, message: CrashSuspected, *, sender: HostId, now: Millis
    ) -> Effects:
        before = self._suspects.is_to_blame(message.digest, now=now)
        if not self._suspects.add(message, now=now):
            return ()
        effects = list(self._spread(message, sender))
        if not before and self._suspects.is_to_blame(message.digest, now=now):
            effects.append(self._blamed(message.digest))
        return effects

    @receive.register
    def _cleared(
        self, message: SuspectCleared, *, sender: HostId, now: Millis
    ) -> Effects:
        if not self._suspects.clear(message.digest):
            return ()
        return self._spread(message, sender)

    def _spread(self, report: Report, sender: HostId) -> Iterator[Effect]:
        yield SendToEntries(message=report)
        told = {self._host_id, sender}
        peers = [peer for peer in self._peers() if peer not in told]
        if sender != self._host_id:
            count = min(settings.SUSPECT_RELAYS, len(peers))
            peers = self._rng.sample(peers, count)
        for peer in peers:
            yield Send(to=peer, message=report)

    def _blamed(self, digest: Digest) -> Effect:
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
    """Tell whether the target may have died of the request.

    An answer that was begun and cut is the mark of a gray target instead.
    """
    if attempt.outcome is not AttemptOutcome.cut:
        return False
    return bool(attempt.sent_bytes) and attempt.first_byte_ms is None
