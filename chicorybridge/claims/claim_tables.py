"""Claims in memory, grouped by the epoch of their key.

An epoch is forgotten as a whole, and from then on every key of it counts
as expired: a claim is never forgotten before its key.
"""

import dataclasses
from enum import Enum

from chicorybridge import settings
from chicorybridge.claims.claim_messages import AttemptId, ClaimRequested
from chicorybridge.common.identities import Digest, HostId, RequestKey


class ClaimState(Enum):
    """How far the request of a key has come."""

    # One try has been told to run.
    running = 'running'
    # No try has run: the next one may.
    released = 'released'
    # The first try ended with a whole answer.
    complete = 'complete'
    # A try may have run; no other one ever will.
    unknown = 'unknown'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Requester:
    """A try that asks for a claim, and the host that asks for it."""

    request: ClaimRequested
    host_id: HostId


@dataclasses.dataclass(kw_only=True, slots=True)
class Claim:
    """One key: the try that holds it and how it ended."""

    fingerprint: Digest
    state: ClaimState = ClaimState.released
    holder: Requester | None = None
    withdrawn: tuple[AttemptId, ...] = ()
    waiting: tuple[Requester, ...] = ()

    def is_held_by(self, attempt_id: AttemptId) -> bool:
        """Tell whether this try was the last that was told to run."""
        holder = self.holder
        return holder is not None and holder.request.attempt_id == attempt_id

    def has_waiting(self, attempt_id: AttemptId) -> bool:
        """Tell whether this try waits for the end of the holder's."""
        return any(
            requester.request.attempt_id == attempt_id
            for requester in self.waiting
        )


class ClaimTable:
    """Keep claims by epoch and key, a bounded number of them."""

    def __init__(self) -> None:
        """Start empty in epoch 0."""
        self.epoch = 0
        self._size = 0
        self._claims_by_epoch: dict[int, dict[RequestKey, Claim]] = {0: {}}

    @property
    def is_full(self) -> bool:
        """Tell whether there is no room for another claim."""
        return self._size >= settings.CLAIMS_KEPT

    def start_epoch(self) -> tuple[RequestKey, ...]:
        """Start the next epoch; return the keys of the oldest, forgotten."""
        self.epoch += 1
        self._claims_by_epoch[self.epoch] = {}
        oldest = self.epoch - settings.CLAIM_EPOCHS
        if oldest not in self._claims_by_epoch:
            return ()
        expired = self._claims_by_epoch.pop(oldest)
        self._size -= len(expired)
        return tuple(expired)

    def has_epoch(self, epoch: int) -> bool:
        """Tell whether the claims of `epoch` are all in memory."""
        return epoch in self._claims_by_epoch

    def find(self, key: RequestKey) -> Claim | None:
        """Return the claim of a key of any epoch."""
        for claims_by_key in self._claims_by_epoch.values():
            claim = claims_by_key.get(key)
            if claim is not None:
                return claim
        return None

    def add(self, key: RequestKey, *, fingerprint: Digest, epoch: int) -> Claim:
        """Add the claim of a key that has none."""
        claim = Claim(fingerprint=fingerprint)
        self._claims_by_epoch[epoch][key] = claim
        self._size += 1
        return claim
