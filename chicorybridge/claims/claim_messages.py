"""Messages about claims of idempotency keys.

An entry process requests a claim from the control process of its host
before it sends a keyed request to a target, and reports the outcome. The
control process forwards both to the owner of the key.
"""

import dataclasses
from enum import Enum
from typing import NewType

from chicorybridge.claims.request_keys import KeyOwner
from chicorybridge.common.codecs import wire
from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.identities import Digest, RequestKey
from chicorybridge.common.outcomes import RequestOutcome

# Identifies one attempt: one arrival of a keyed request at an entry process.
# Unique over all entry processes and their restarts.
AttemptId = NewType('AttemptId', str)

# Identifies an entry process; a restarted process gets a new id.
EntryId = NewType('EntryId', str)

wire(RequestOutcome)


@wire
class ClaimVerdict(Enum):
    """Decision on one attempt."""

    # Send the request to a target and report the outcome.
    run = 'run'
    # Answer the caller with the stored answer of the earlier attempt.
    replay = 'replay'
    # Do not send the request; the refusal gives the reason.
    refused = 'refused'


@wire
class ClaimRefusal(Enum):
    """Reason why an attempt was refused."""

    # The key was used for a request with another fingerprint.
    conflict = 'conflict'
    # The key has no claim, and the owner has reached its limit of claims.
    full = 'full'
    # This attempt was ended earlier without running.
    withdrawn = 'withdrawn'
    # An earlier attempt is still running.
    under_way = 'under_way'
    # The outcome of an earlier attempt is unknown.
    first_unknown = 'first_unknown'
    # An earlier attempt is complete, but its answer is no longer stored.
    answer_dropped = 'answer_dropped'
    # The retention of the claim has ended; the request may have run.
    expired = 'expired'
    # The control process that owns the key has ended.
    owner_gone = 'owner_gone'
    # The owner of the key did not reply in time.
    owner_unreachable = 'owner_unreachable'
    # The store, which assigns owners to caller-chosen keys, is unavailable.
    store_unavailable = 'store_unavailable'

    @property
    def outcome(self) -> RequestOutcome:
        """Return the outcome of the request to report to the caller."""
        if self in NOT_RUN_REFUSALS:
            return RequestOutcome.not_run
        return RequestOutcome.unknown

    @property
    def code(self) -> ErrorCode:
        """Return the error code to report to the caller."""
        if self is ClaimRefusal.conflict:
            return ErrorCode.key_conflict
        if self is ClaimRefusal.full:
            return ErrorCode.overloaded
        return ErrorCode.claim_unavailable


NOT_RUN_REFUSALS = frozenset(
    (
        ClaimRefusal.conflict,
        ClaimRefusal.full,
        ClaimRefusal.withdrawn,
    )
)


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeptAnswer:
    """Complete answer to a keyed request, as sent to the caller."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b''

    @property
    def size(self) -> int:
        """Return the size of headers and body in bytes, for the size limits."""
        fields = sum(len(name) + len(field) for name, field in self.headers)
        return len(self.body) + fields


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRequested:
    """Request a decision on an attempt; sent by an entry process."""

    attempt_id: AttemptId
    entry_id: EntryId
    key: RequestKey
    fingerprint: Digest


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRelayed:
    """Forward a request to the owner of its key.

    Sent by the control process of the host that received the request.
    """

    request: ClaimRequested
    owner: KeyOwner


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimDecided:
    """Report the decision on an attempt.

    `refusal` is set for a refused attempt, `answer` for a replayed one.
    """

    attempt_id: AttemptId
    verdict: ClaimVerdict
    owner: KeyOwner | None = None
    answer: KeptAnswer | None = None
    refusal: ClaimRefusal | None = None


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimHeld:
    """Notify the requester that its attempt waits for an earlier one."""

    attempt_id: AttemptId


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimWithdrawn:
    """Cancel an attempt; sent by an entry process that won't run it.

    The entry process ignores any later decision on the attempt.
    """

    attempt_id: AttemptId


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimFinished:
    """Report the outcome of an attempt that was allowed to run.

    `owner` is the owner named in the decision. `answer` comes with a
    complete outcome, unless it was streamed to the caller.
    """

    attempt_id: AttemptId
    key: RequestKey
    owner: KeyOwner
    outcome: RequestOutcome
    answer: KeptAnswer | None = None


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRecorded:
    """Acknowledge a `ClaimFinished` message."""

    attempt_id: AttemptId


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryLost:
    """Notify the control process that an entry process has ended."""

    entry_id: EntryId


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyPrefixIssued:
    """Send entry processes the key prefix to issue to callers."""

    prefix: str
