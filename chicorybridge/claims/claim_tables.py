"""Claims in memory, grouped by the epoch of their key.

An epoch is a period in which a control process issues the same key prefix. A
caller-chosen key belongs to the epoch in which its claim was added. All
claims of an epoch are deleted together, and from then on every key of that
epoch counts as expired. So a claim is never deleted while its key is still
valid.
"""

import dataclasses
from enum import Enum

from chicorybridge import settings
from chicorybridge.claims.claim_messages import AttemptId, ClaimRequested
from chicorybridge.common.identities import Digest, HostId, RequestKey


class ClaimState(Enum):
    """State of the claim of one key."""

    # An attempt was granted the claim and has not reported its outcome.
    running = 'running'
    # No attempt has run; the next one may.
    released = 'released'
    # An attempt got a complete answer; repeats get this answer.
    complete = 'complete'
    # An attempt may have run; no other attempt is allowed to.
    unknown = 'unknown'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReceivedRequest:
    """A request for a claim and the host that sent or forwarded it."""

    request: ClaimRequested
    host_id: HostId


@dataclasses.dataclass(kw_only=True, slots=True)
class Claim:
    """Claim of one key.

    `holder` is the request of the attempt that was granted the claim last.
    `withdrawn` are attempts that ended without running. `waiting` are the
    requests of attempts that wait for the holder to end.
    """

    fingerprint: Digest
    state: ClaimState = ClaimState.released
    holder: ReceivedRequest | None = None
    withdrawn: tuple[AttemptId, ...] = ()
    waiting: tuple[ReceivedRequest, ...] = ()

    def is_held_by(self, attempt_id: AttemptId) -> bool:
        """Return whether this attempt was granted the claim last."""
        holder = self.holder
        return holder is not None and holder.request.attempt_id == attempt_id

    def has_waiting(self, attempt_id: AttemptId) -> bool:
        """Return whether this attempt waits for the holder to end."""
        return any(
            received_request.request.attempt_id == attempt_id
            for received_request in self.waiting
        )


class ClaimTable:
    """Claims by epoch and key; check `is_full` before calling `add`."""

    def __init__(self) -> None:
        """Create an empty table in epoch 0."""
        self.epoch = 0
        self._size = 0
        self._claims_by_epoch: dict[int, dict[RequestKey, Claim]] = {0: {}}

    @property
    def is_full(self) -> bool:
        """Return whether the limit of claims is reached."""
        return self._size >= settings.MAX_CLAIMS

    def start_epoch(self) -> tuple[RequestKey, ...]:
        """Start the next epoch; delete the oldest one and return its keys."""
        self.epoch += 1
        self._claims_by_epoch[self.epoch] = {}
        oldest = self.epoch - settings.CLAIM_EPOCHS
        if oldest not in self._claims_by_epoch:
            return ()
        expired = self._claims_by_epoch.pop(oldest)
        self._size -= len(expired)
        return tuple(expired)

    def has_epoch(self, epoch: int) -> bool:
        """Return whether the claims of `epoch` are still in memory."""
        return epoch in self._claims_by_epoch

    def find(self, key: RequestKey) -> Claim | None:
        """Return the claim of a key of any epoch, `None` if there is none."""
        for claims_by_key in self._claims_by_epoch.values():
            claim = claims_by_key.get(key)
            if claim is not None:
                return claim
        return None

    def add(self, key: RequestKey, *, fingerprint: Digest, epoch: int) -> Claim:
        """Add a claim, in state released, for a key that has none."""
        claim = Claim(fingerprint=fingerprint)
        self._claims_by_epoch[epoch][key] = claim
        self._size += 1
        return claim
