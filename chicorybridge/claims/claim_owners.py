"""The owner's side of claims: decide attempts and record outcomes."""

from chicorybridge import settings
from chicorybridge.claims.claim_ledgers import ClaimLedger, ClaimReply
from chicorybridge.claims.claim_messages import (
    ClaimFinished,
    ClaimRefusal,
    ClaimRelayed,
    KeptAnswer,
    KeyPrefixIssued,
)
from chicorybridge.claims.claim_tables import ReceivedRequest
from chicorybridge.claims.request_keys import (
    IssuedKey,
    KeyOwner,
    format_key_prefix,
    parse_issued_key,
)
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, RequestKey
from chicorybridge.common.systems import Effect, SendToEntries


class ClaimOwner:
    """Decide the claims of the keys that this control process owns."""

    def __init__(self, *, owner: KeyOwner) -> None:
        """Create an instance without claims; `owner` is this process.

        The first epoch starts at the first call of `advance_epoch`.
        """
        self.owner = owner
        self.ledger = ClaimLedger(owner=owner)
        self._epoch_started_at: Millis | None = None

    @property
    def key_prefix(self) -> str:
        """Return the current key prefix, to be issued with entry lists."""
        return format_key_prefix(
            IssuedKey(owner=self.owner, epoch=self.ledger.claims.epoch)
        )

    def advance_epoch(self, *, now: Millis) -> list[Effect]:
        """Start the next epoch when it is due, and send out its key prefix."""
        if self._epoch_started_at is None:
            self._epoch_started_at = now
        elif now - self._epoch_started_at < settings.CLAIM_EPOCH_MS:
            return []
        else:
            self._epoch_started_at = now
            self.ledger.start_epoch()
        return [SendToEntries(message=KeyPrefixIssued(prefix=self.key_prefix))]

    def decide(
        self, received_request: ReceivedRequest, *, now: Millis
    ) -> ClaimReply:
        """Decide an attempt with a key owned by this process."""
        issued = parse_issued_key(received_request.request.key)
        if issued is not None:
            return self.ledger.decide(
                received_request, epoch=issued.epoch, now=now
            )
        claim = self.ledger.claims.find(received_request.request.key)
        if claim is not None:
            return self.ledger.decide_existing(received_request, claim, now=now)
        # The row assigns the key to this process, but its claim has been
        # deleted.
        return self.ledger.refuse(received_request, ClaimRefusal.expired)

    def decide_relayed(
        self, relayed: ClaimRelayed, *, sender: HostId, now: Millis
    ) -> ClaimReply:
        """Decide an attempt that another host forwarded."""
        received_request = ReceivedRequest(
            request=relayed.request, host_id=sender
        )
        if relayed.owner != self.owner:
            return self.ledger.refuse(received_request, ClaimRefusal.owner_gone)
        return self.decide(received_request, now=now)

    def record(
        self, finished: ClaimFinished, *, now: Millis
    ) -> list[ClaimReply]:
        """Record the outcome of an attempt and decide the waiting ones."""
        claim = self.ledger.claims.find(finished.key)
        if finished.owner != self.owner or claim is None:
            return []
        return self.ledger.record(finished, claim, now=now)

    def stored_answer(self, key: RequestKey) -> KeptAnswer | None:
        """Return the answer of a key, `None` if it is not stored."""
        return self.ledger.answers.find(key)
