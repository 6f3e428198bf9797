"""Take the steps of the specification of claims through the real code.

Each step of a trace is done to real `Claims`; afterwards the state of the
code is read in the terms of the specification.
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
    TryState,
)
from chicorybridge.tools.specifications.specifications import Label

# Longer than every limit of time, so that each step comes after it.
STEP_MS = 10_000_000
BODY = Digest('body')

TO_OWNER = frozenset(('ask', 'finish'))
HOST_STEPS = frozenset(('write', 'learn', 'lapse', 'replace'))
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
# Refusals that the specification tells apart from the others.
KINDS_BY_REFUSAL = MappingProxyType(
    {
        ClaimRefusal.withdrawn: 'withdrawn',
        ClaimRefusal.answer_dropped: 'replay',
    }
)


class ClaimReplay:
    """Real control processes, and the messages between them by label."""

    def __init__(self, *, hosts_by_try: tuple[int, ...], issued: bool) -> None:
        """Start two hosts; `issued` makes the key one of host 0."""
        self.tables = MemoryTables()
        self.claims: list[Claims] = []
        self.incarnations = [0, 0]
        self._hosts_by_try = hosts_by_try
        self._now = Millis(0)
        self._messages: dict[Label, object] = {}
        self._owners_by_try: dict[int, KeyOwner] = {}
        self._asked: dict[int, CallStore] = {}
        for host in (0, 1):
            self.claims.append(self._start(host))
        self.key = RequestKey('chosen')
        if issued:
            prefix = self.claims[0].claim_owner.key_prefix
            self.key = RequestKey(f'{prefix}part')

    def step(self, label: Label) -> None:
        """Do one step of a trace."""
        self._now = Millis(self._now + STEP_MS)
        name, *details = label
        if name == 'deliver':
            self._deliver(tuple(details))
        elif name in HOST_STEPS:
            getattr(self, name)(*details)
        elif name != 'begin':
            self._step_try(name, *details)

    def shows(self, world: ClaimWorld) -> bool:
        """Tell whether the code is in the state of the specification."""
        ledgers = tuple(
            _ledger_claim(claims.claim_owner.ledger.claims.find(self.key))
            for claims in self.claims
        )
        tries = tuple(
            _known_state(self.claims[host].attempts, number)
            for number, host in enumerate(self._hosts_by_try)
        )
        visible = tuple(
            _visible(world, number) for number in range(len(world.tries))
        )
        shown = (tuple(self.incarnations), ledgers, tries)
        if shown != (world.incarnations, world.ledgers, visible):
            return False
        same_row = self._row() in {None, world.row}
        return same_row and frozenset(self._messages) == world.messages

    def write(self, host: int) -> None:
        """Let the row be written, and lose the reply."""
        ask = self._transaction(host)
        self.tables.execute(ask.request)
        self._hand(
            host,
            StoreReply(token=ask.token, outcome=StoreOutcome.unanswered),
        )

    def learn(self, host: int) -> None:
        """Carry the transaction out and answer it."""
        ask = self._transaction(host)
        self._hand(host, self.tables.execute(ask.request, token=ask.token))

    def lapse(self, host: int) -> None:
        """Give up on the holder."""
        claims = self.claims[host]
        replies = claims.claim_owner.ledger.expire_holders(now=self._now)
        self._carry_out(host, claims.send_replies(replies, now=self._now))

    def replace(self, host: int) -> None:
        """Replace the control process of a host."""
        self.incarnations[host] += 1
        self.claims[host] = self._start(host)
        self._asked.pop(host, None)

    def _start(self, host: int) -> Claims:
        return Claims(
            host_id=HostId(str(host)),
            incarnation=Incarnation(self.incarnations[host]),
            today=int,
        )

    def _transaction(self, host: int) -> CallStore:
        asks = self.claims[host].assignments.flush(now=self._now)
        self._carry_out(host, asks)
        return self._asked.pop(host)

    def _step_try(self, name: str, number: int) -> None:
        host = self._hosts_by_try[number]
        outcome = OUTCOMES_BY_STEP.get(name)
        if name == 'give_up':
            self._give_up(host, AttemptId(str(number)))
        elif outcome is None:
            message = _entry_message(name, str(number), self.key)
            self._hand(host, message)
        else:
            self._finish(number, outcome)

    def _give_up(self, host: int, attempt_id: AttemptId) -> None:
        claims = self.claims[host]
        attempt = claims.attempts.pending_by_id[attempt_id]
        refused = claims.refuse(attempt, ClaimRefusal.owner_unreachable)
        self._carry_out(host, refused)

    def _finish(self, number: int, outcome: RequestOutcome) -> None:
        finished = ClaimFinished(
            attempt_id=AttemptId(str(number)),
            key=self.key,
            owner=self._owners_by_try[number],
            outcome=outcome,
        )
        self._hand(self._hosts_by_try[number], finished)

    def _deliver(self, label: Label) -> None:
        message = self._messages[label]
        host = self._hosts_by_try[label[1]]
        sender = HostId(str(host))
        if label[0] in TO_OWNER:
            owner = getattr(message, 'owner')
            host = int(owner.host_id)
        self._hand(host, message, sender=sender)

    def _hand(
        self, host: int, message: object, *, sender: HostId | None = None
    ) -> None:
        effects = self.claims[host].receive(
            message, sender=sender or HostId(str(host)), now=self._now
        )
        self._carry_out(host, effects)

    def _carry_out(self, host: int, effects: Iterable[Effect]) -> None:
        for effect in effects:
            match effect:
                case CallStore():
                    self._asked[host] = effect
                case SendToEntries():
                    decided = effect.message
                    number = int(decided.attempt_id)
                    self._owners_by_try[number] = decided.owner
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


def _known_state(attempts: ClaimAttempts, number: int) -> TryState:
    """Return how far a try has come for its control process."""
    attempt_id = AttemptId(str(number))
    if attempt_id in attempts.pending_by_id:
        return TryState.pending
    if attempt_id in attempts.running_by_id:
        return TryState.running
    if attempts.is_given_up(attempt_id):
        return TryState.given_up
    return TryState.ended


def _entry_message(name: str, number: str, key: RequestKey) -> object:
    attempt_id = AttemptId(number)
    entry_id = EntryId(number)
    if name == 'withdraw':
        return ClaimWithdrawn(attempt_id=attempt_id)
    if name == 'lose_entry':
        return EntryLost(entry_id=entry_id)
    return ClaimRequested(
        attempt_id=attempt_id,
        entry_id=entry_id,
        key=key,
        fingerprint=BODY,
    )


def _visible(world: ClaimWorld, number: int) -> TryState:
    """Return what the control process knows of a try."""
    if number not in world.known:
        return TryState.ended
    state = world.tries[number]
    if state is TryState.granted:
        return TryState.running
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
def _label_nothing(message: ClaimHeld | ClaimRecorded) -> Label:
    """Leave out what only changes how long somebody waits."""
    return ()


@_label.register
def _label_asked(message: ClaimRelayed) -> Label:
    return ('ask', int(message.request.attempt_id))


@_label.register
def _label_decided(message: ClaimDecided) -> Label:
    kind = KINDS_BY_VERDICT[message.verdict]
    if message.refusal is not None:
        kind = KINDS_BY_REFUSAL.get(message.refusal, kind)
    return (kind, int(message.attempt_id))


@_label.register
def _label_finished(message: ClaimFinished) -> Label:
    return ('finish', int(message.attempt_id), message.outcome)
