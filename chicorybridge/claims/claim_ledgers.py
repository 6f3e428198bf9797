"""Decisions on the claims that one control process owns, in memory."""

import dataclasses
from collections import deque
from types import MappingProxyType

from chicorybridge import settings
from chicorybridge.claims.answer_caches import AnswerCache
from chicorybridge.claims.claim_messages import (
    AttemptId,
    ClaimDecided,
    ClaimFinished,
    ClaimHeld,
    ClaimRefusal,
    ClaimVerdict,
    KeptAnswer,
)
from chicorybridge.claims.claim_tables import (
    Claim,
    ClaimState,
    ClaimTable,
    ReceivedRequest,
)
from chicorybridge.claims.request_keys import KeyOwner
from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import require
from chicorybridge.common.identities import Digest, HostId, RequestKey
from chicorybridge.common.outcomes import RequestOutcome

AT_MOST_ONCE = 'a keyed request runs at most once'

# States in which a report of the holder changes the claim.
UNFINISHED_STATES = frozenset((ClaimState.running, ClaimState.unknown))

STATES_BY_OUTCOME = MappingProxyType(
    {
        RequestOutcome.not_run: ClaimState.released,
        RequestOutcome.unknown: ClaimState.unknown,
        RequestOutcome.complete: ClaimState.complete,
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimReply:
    """Reply to the host `to`: a decision, or that the attempt has to wait."""

    to: HostId
    message: ClaimDecided | ClaimHeld


class ClaimLedger:
    """Grant the claims of one owner; every key runs at most once."""

    def __init__(self, *, owner: KeyOwner) -> None:
        """Create an empty ledger of the control process `owner`."""
        self.owner = owner
        self.claims = ClaimTable()
        self.answers = AnswerCache()
        # Grants in order of time, to find holders that never reported.
        self._grants: deque[tuple[Millis, Claim, AttemptId]] = deque()

    def start_epoch(self) -> None:
        """Start the next epoch and delete the claims of the oldest one."""
        for key in self.claims.start_epoch():
            self.answers.remove(key)

    def decide(
        self, received_request: ReceivedRequest, *, epoch: int, now: Millis
    ) -> ClaimReply:
        """Decide an attempt with an issued key of `epoch`.

        Grants a new claim if the key has none. This is safe only for a key
        whose attempts have all been sent to this ledger.
        """
        if not self.claims.has_epoch(epoch):
            return self.refuse(received_request, ClaimRefusal.expired)
        request = received_request.request
        claim = self.claims.find(request.key)
        if claim is not None:
            return self.decide_existing(received_request, claim, now=now)
        if self.claims.is_full:
            return self.refuse(received_request, ClaimRefusal.full)
        claim = self.claims.add(
            request.key, fingerprint=request.fingerprint, epoch=epoch
        )
        return self._grant(claim, received_request, now=now)

    def add_assigned(self, key: RequestKey, fingerprint: Digest) -> bool:
        """Add a released claim for a key that the store assigned here.

        Return `False` if the limit of claims is reached.
        """
        if self.claims.is_full:
            return False
        require(promise=AT_MOST_ONCE, holds=self.claims.find(key) is None)
        self.claims.add(key, fingerprint=fingerprint, epoch=self.claims.epoch)
        return True

    def decide_existing(
        self, received_request: ReceivedRequest, claim: Claim, *, now: Millis
    ) -> ClaimReply:
        """Decide an attempt with a key that already has a claim."""
        attempt_id = received_request.request.attempt_id
        if claim.fingerprint != received_request.request.fingerprint:
            return self.refuse(received_request, ClaimRefusal.conflict)
        if attempt_id in claim.withdrawn:
            return self.refuse(received_request, ClaimRefusal.withdrawn)
        if claim.state is ClaimState.released:
            return self._grant(claim, received_request, now=now)
        if claim.state is ClaimState.running:
            return self._enqueue(received_request, claim)
        if claim.state is ClaimState.complete:
            return self._replay(received_request)
        return self.refuse(received_request, ClaimRefusal.first_unknown)

    def record(
        self, finished: ClaimFinished, claim: Claim, *, now: Millis
    ) -> list[ClaimReply]:
        """Record the outcome of the holder and decide the waiting attempts.

        Reports of other attempts are ignored.
        """
        if not claim.is_held_by(finished.attempt_id):
            return []
        if claim.state not in UNFINISHED_STATES:
            return []
        claim.state = STATES_BY_OUTCOME[finished.outcome]
        if claim.state is ClaimState.released:
            withdrawn = (*claim.withdrawn, finished.attempt_id)
            claim.withdrawn = withdrawn[-settings.MAX_CLAIM_WITHDRAWALS :]
        if claim.state is ClaimState.complete:
            # A complete claim does not change again; the holder is not needed.
            claim.holder = None
            self.answers.store(finished.key, finished.answer)
        return self._decide_waiting(claim, now=now)

    def expire_holders(self, *, now: Millis) -> list[ClaimReply]:
        """Change claims to unknown if their holder did not report in time."""
        replies: list[ClaimReply] = []
        cutoff = now - settings.CLAIM_RUN_TIMEOUT_MS
        while self._grants and self._grants[0][0] <= cutoff:
            _, claim, attempt_id = self._grants.popleft()
            replies.extend(self._mark_unknown(claim, attempt_id, now=now))
        return replies

    def refuse(
        self, received_request: ReceivedRequest, refusal: ClaimRefusal
    ) -> ClaimReply:
        """Return the reply that refuses an attempt."""
        return self._reply(
            received_request, ClaimVerdict.refused, refusal=refusal
        )

    def _grant(
        self, claim: Claim, received_request: ReceivedRequest, *, now: Millis
    ) -> ClaimReply:
        attempt_id = received_request.request.attempt_id
        require(promise=AT_MOST_ONCE, holds=claim.state is ClaimState.released)
        require(promise=AT_MOST_ONCE, holds=attempt_id not in claim.withdrawn)
        claim.holder = received_request
        claim.state = ClaimState.running
        self._grants.append((now, claim, attempt_id))
        return self._reply(received_request, ClaimVerdict.run)

    def _enqueue(
        self, received_request: ReceivedRequest, claim: Claim
    ) -> ClaimReply:
        attempt_id = received_request.request.attempt_id
        if claim.is_held_by(attempt_id):
            # The decision was lost in transit; send it to the holder again.
            return self._reply(received_request, ClaimVerdict.run)
        queued = ClaimReply(
            to=received_request.host_id,
            message=ClaimHeld(attempt_id=attempt_id),
        )
        if claim.has_waiting(attempt_id):
            return queued
        if len(claim.waiting) >= settings.MAX_CLAIM_WAITERS:
            return self.refuse(received_request, ClaimRefusal.under_way)
        claim.waiting += (received_request,)
        return queued

    def _replay(self, received_request: ReceivedRequest) -> ClaimReply:
        answer = self.answers.find(received_request.request.key)
        if answer is None:
            return self.refuse(received_request, ClaimRefusal.answer_dropped)
        return self._reply(received_request, ClaimVerdict.replay, answer=answer)

    def _mark_unknown(
        self, claim: Claim, attempt_id: AttemptId, *, now: Millis
    ) -> list[ClaimReply]:
        if claim.state is not ClaimState.running:
            return []
        if not claim.is_held_by(attempt_id):
            return []
        claim.state = ClaimState.unknown
        return self._decide_waiting(claim, now=now)

    def _decide_waiting(self, claim: Claim, *, now: Millis) -> list[ClaimReply]:
        waiting = claim.waiting
        claim.waiting = ()
        return [
            self.decide_existing(received_request, claim, now=now)
            for received_request in waiting
        ]

    def _reply(
        self,
        received_request: ReceivedRequest,
        verdict: ClaimVerdict,
        *,
        answer: KeptAnswer | None = None,
        refusal: ClaimRefusal | None = None,
    ) -> ClaimReply:
        decided = ClaimDecided(
            attempt_id=received_request.request.attempt_id,
            verdict=verdict,
            owner=self.owner,
            answer=answer,
            refusal=refusal,
        )
        return ClaimReply(to=received_request.host_id, message=decided)
