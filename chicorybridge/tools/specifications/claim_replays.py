"""Replay traces of the specification of claims on the real code.

Each step of a trace is applied to real `Claims`; then the state of the
code is compared with the state of the specification.
"""

import functools
from collections.abc import Iterable
from types import MappingProxyType

from chicorybridge.claims.claim_attempts import ClaimAttempts
from chicorybridge.claims.claim_messages import (
    AttemptId,
    ClaimDecided,
    ClaimFinished,
    ClaimHeld,
    ClaimRecorded,
    ClaimRefusal,
    ClaimRelayed,
    ClaimRequested,
    ClaimVerdict,
    ClaimWithdrawn,
    EntryId,
    EntryLost,
)
from chicorybridge.claims.claim_rows import CLAIM_TABLE, OwnerRow
from chicorybridge.claims.claim_tables import Claim
from chicorybridge.claims.claims import Claims
from chicorybridge.claims.request_keys import KeyOwner
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import (
    Digest,
    HostId,
    Incarnation,
    RequestKey,
)
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.common.systems import CallStore, Effect, Send, SendToEntries
from chicorybridge.standins.tables import MemoryTables
from chicorybridge.storage.stores import ScanRows, StoreOutcome, StoreReply
from chicorybridge.tools.specifications.claim_worlds import (
    ClaimWorld,
    LedgerClaim,
    Owner,
    AttemptState,
)
from chicorybridge.tools.specifications.specifications import Label

# Time between two steps: longer than every timeout of claims.
STEP_MS = 10_000_000
FINGERPRINT = Digest('body')

MESSAGES_TO_OWNER = frozenset(('request', 'finish'))
HOST_STEPS = frozenset(
    ('write_unanswered', 'resolve_owner', 'expire', 'replace')
)
OUTCOMES_BY_STEP = MappingProxyType(
    {
        'shed': RequestOutcome.not_run,
        'complete': RequestOutcome.complete,
        'fail': RequestOutcome.unknown,
    }
)
KINDS_BY_VERDICT = MappingProxyType(
    {
        ClaimVerdict.run: 'run',
        ClaimVerdict.replay: 'replay',
        ClaimVerdict.refused: 'refuse',
    }
)
# Refusals that have a kind of their own in the specification.
KINDS_BY_REFUSAL = MappingProxyType(
    {
        ClaimRefusal.withdrawn: 'withdrawn',
        ClaimRefusal.answer_dropped: 'replay',
    }
)


class ClaimReplay:
    """Claims of two hosts, and the messages between them by label."""

    def __init__(
        self, *, hosts_by_attempt: tuple[int, ...], issued: bool
    ) -> None:
        """Start two hosts; with `issued` host 0 issues the key."""
        self.tables = MemoryTables()
        self.claims: list[Claims] = []
        self.incarnations = [0, 0]
        self._hosts_by_attempt = hosts_by_attempt
        self._now = Millis(0)
        self._messages: dict[Label, object] = {}
        self._owners_by_attempt: dict[int, KeyOwner] = {}
        self._store_calls: dict[int, CallStore] = {}
        for host in (0, 1):
            self.claims.append(self._start(host))
        self.key = RequestKey('chosen')
        if issued:
            prefix = self.claims[0].claim_owner.key_prefix
            self.key = RequestKey(f'{prefix}part')

    def step(self, label: Label) -> None:
        """Apply one step of a trace."""
        self._now = Millis(self._now + STEP_MS)
        name, *details = label
        if name == 'deliver':
            self._deliver(tuple(details))
        elif name in HOST_STEPS:
            getattr(self, name)(*details)
        elif name != 'start_run':
            self._step_attempt(name, *details)

    def matches(self, world: ClaimWorld) -> bool:
        """Return whether the code is in the state of the specification."""
        ledgers = tuple(
            _ledger_claim(claims.claim_owner.ledger.claims.find(self.key))
            for claims in self.claims
        )
        attempts = tuple(
            _state_in_code(self.claims[host].attempts, attempt)
            for attempt, host in enumerate(self._hosts_by_attempt)
        )
        expected = tuple(
            _tracked_state(world, attempt)
            for attempt in range(len(world.attempts))
        )
        actual = (tuple(self.incarnations), ledgers, attempts)
        if actual != (world.incarnations, world.ledgers, expected):
            return False
        same_row = self._row() in {None, world.row}
        return same_row and frozenset(self._messages) == world.messages

    def write_unanswered(self, host: int) -> None:
        """Execute the row transaction, but lose its reply."""
        call = self._flush_transaction(host)
        self.tables.execute(call.request)
        self._receive(
            host,
            StoreReply(token=call.token, outcome=StoreOutcome.unanswered),
        )

    def resolve_owner(self, host: int) -> None:
        """Execute the row transaction and deliver its reply."""
        call = self._flush_transaction(host)
        self._receive(host, self.tables.execute(call.request, token=call.token))

    def expire(self, host: int) -> None:
        """Expire the claim of the holder."""
        claims = self.claims[host]
        replies = claims.claim_owner.ledger.expire_holders(now=self._now)
        self._execute(host, claims.send_replies(replies, now=self._now))

    def replace(self, host: int) -> None:
        """Replace the control process of a host."""
        self.incarnations[host] += 1
        self.claims[host] = self._start(host)
        self._store_calls.pop(host, None)

    def _start(self, host: int) -> Claims:
        return Claims(
            host_id=HostId(str(host)),
            incarnation=Incarnation(self.incarnations[host]),
            today=int,
        )

    def _flush_transaction(self, host: int) -> CallStore:
        calls = self.claims[host].assignments.flush(now=self._now)
        self._execute(host, calls)
        return self._store_calls.pop(host)

    def _step_attempt(self, name: str, attempt: int) -> None:
        host = self._hosts_by_attempt[attempt]
        outcome = OUTCOMES_BY_STEP.get(name)
        if name == 'give_up':
            self._give_up(host, AttemptId(str(attempt)))
        elif outcome is None:
            message = _entry_message(name, str(attempt), self.key)
            self._receive(host, message)
        else:
            self._finish(attempt, outcome)

    def _give_up(self, host: int, attempt_id: AttemptId) -> None:
        claims = self.claims[host]
        attempt = claims.attempts.pending_by_id[attempt_id]
        refused = claims.refuse(attempt, ClaimRefusal.owner_unreachable)
        self._execute(host, refused)

    def _finish(self, attempt: int, outcome: RequestOutcome) -> None:
        finished = ClaimFinished(
            attempt_id=AttemptId(str(attempt)),
            key=self.key,
            owner=self._owners_by_attempt[attempt],
            outcome=outcome,
        )
        self._receive(self._hosts_by_attempt[attempt], finished)

    def _deliver(self, label: Label) -> None:
        message = self._messages[label]
        host = self._hosts_by_attempt[label[1]]
        sender = HostId(str(host))
        if label[0] in MESSAGES_TO_OWNER:
            owner = getattr(message, 'owner')
            host = int(owner.host_id)
        self._receive(host, message, sender=sender)

    def _receive(
        self, host: int, message: object, *, sender: HostId | None = None
    ) -> None:
        effects = self.claims[host].receive(
            message, sender=sender or HostId(str(host)), now=self._now
        )
        self._execute(host, effects)

    def _execute(self, host: int, effects: Iterable[Effect]) -> None:
        for effect in effects:
            match effect:
                case CallStore():
                    self._store_calls[host] = effect
                case SendToEntries():
                    decided = effect.message
                    attempt = int(decided.attempt_id)
                    self._owners_by_attempt[attempt] = decided.owner
                case Send():
                    self._messages.setdefault(
                        _label(effect.message), effect.message
                    )
        self._messages.pop((), None)

    def _row(self) -> Owner | None:
        rows = self.tables.execute(ScanRows(table=CLAIM_TABLE)).rows
        if not rows:
            return None
        owner = OwnerRow.from_body(rows[0].body).owner
        return Owner(host=int(owner.host_id), incarnation=owner.incarnation)


def _state_in_code(attempts: ClaimAttempts, attempt: int) -> AttemptState:
    """Return the state of an attempt in its control process."""
    attempt_id = AttemptId(str(attempt))
    if attempt_id in attempts.pending_by_id:
        return AttemptState.pending
    if attempt_id in attempts.running_by_id:
        return AttemptState.running
    if attempts.is_given_up(attempt_id):
        return AttemptState.given_up
    return AttemptState.ended


def _entry_message(name: str, attempt: str, key: RequestKey) -> object:
    attempt_id = AttemptId(attempt)
    entry_id = EntryId(attempt)
    if name == 'withdraw':
        return ClaimWithdrawn(attempt_id=attempt_id)
    if name == 'lose_entry':
        return EntryLost(entry_id=entry_id)
    return ClaimRequested(
        attempt_id=attempt_id,
        entry_id=entry_id,
        key=key,
        fingerprint=FINGERPRINT,
    )


def _tracked_state(world: ClaimWorld, attempt: int) -> AttemptState:
    """Return the state that the control process of an attempt must have."""
    if attempt not in world.tracked:
        return AttemptState.ended
    state = world.attempts[attempt]
    if state is AttemptState.granted:
        return AttemptState.running
    return state


def _ledger_claim(claim: Claim | None) -> LedgerClaim | None:
    if claim is None:
        return None
    holder = claim.holder
    return LedgerClaim(
        state=claim.state,
        holder=None if holder is None else int(holder.request.attempt_id),
        withdrawn=frozenset(map(int, claim.withdrawn)),
        waiting=tuple(
            int(received_request.request.attempt_id)
            for received_request in claim.waiting
        ),
    )


@functools.singledispatch
def _label(message: object) -> Label:
    raise TypeError(f'no label for {message}')


@_label.register(ClaimHeld)
@_label.register(ClaimRecorded)
def _ignore_wait_hint(message: ClaimHeld | ClaimRecorded) -> Label:
    """Return no label: these messages only change how long a wait is."""
    return ()


@_label.register
def _label_relayed(message: ClaimRelayed) -> Label:
    return ('request', int(message.request.attempt_id))


@_label.register
def _label_decided(message: ClaimDecided) -> Label:
    kind = KINDS_BY_VERDICT[message.verdict]
    if message.refusal is not None:
        kind = KINDS_BY_REFUSAL.get(message.refusal, kind)
    return (kind, int(message.attempt_id))


@_label.register
def _label_finished(message: ClaimFinished) -> Label:
    return ('finish', int(message.attempt_id), message.outcome)
