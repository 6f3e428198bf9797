"""The state in the specification of claims.

A world is one state of the model: one key, its attempts and the hosts.
"""

import dataclasses
from enum import Enum

from chicorybridge.claims.claim_tables import ClaimState
from chicorybridge.tools.specifications.specifications import Label, replace_at


class AttemptState(Enum):
    """The state of one attempt on the host that received it."""

    new = 'new'
    # The control process waits for the decision.
    pending = 'pending'
    # The entry may run the request; it may be paused before it does.
    granted = 'granted'
    running = 'running'
    # Refused to the caller; a late decision to run is declined.
    given_up = 'given_up'
    # The attempt has ended; a late decision is ignored.
    ended = 'ended'


class ClaimMutation(Enum):
    """Deliberate faults, each of which violates an invariant."""

    # The key is released when its holder does not report in time.
    release_expired = 'release_expired'
    # A report counts even if its attempt does not hold the key.
    accept_any_report = 'accept_any_report'
    # A process decides the keys of the process that it replaced.
    decide_for_replaced = 'decide_for_replaced'
    # A process considers itself the owner if the row names its host, even if
    # an earlier process of the host wrote the row.
    trust_any_row = 'trust_any_row'
    # Every late decision to run is declined as not run.
    decline_any = 'decline_any'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Owner:
    """A control process: its host and the number of replacements."""

    host: int
    incarnation: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LedgerClaim:
    """The claim of the key in the ledger of one control process."""

    state: ClaimState = ClaimState.released
    holder: int | None = None
    withdrawn: frozenset[int] = frozenset()
    waiting: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimWorld:
    """Hosts, the row, attempts, messages sent, and what happened.

    `row_pending` is, for each host, whether it waits for the reply to its
    row transaction. `tracked` holds the attempts that the current control
    process has received and whose end it has not recorded.
    """

    incarnations: tuple[int, ...]
    row: Owner | None
    row_pending: tuple[bool, ...]
    ledgers: tuple[LedgerClaim | None, ...]
    attempts: tuple[AttemptState, ...]
    tracked: frozenset[int] = frozenset()
    messages: frozenset[Label] = frozenset()
    runs: int = 0
    finished: bool = False
    wrongly_answered: bool = False

    def owner_on(self, host: int) -> Owner:
        """Return the current control process of a host."""
        return Owner(host=host, incarnation=self.incarnations[host])

    def with_attempt(self, attempt: int, state: AttemptState) -> 'ClaimWorld':
        """Return the world with an attempt in `state`."""
        attempts = replace_at(self.attempts, attempt, state)
        return dataclasses.replace(self, attempts=attempts)

    def with_claim(self, host: int, claim: LedgerClaim) -> 'ClaimWorld':
        """Return the world with `claim` in the ledger of a host."""
        ledgers = replace_at(self.ledgers, host, claim)
        return dataclasses.replace(self, ledgers=ledgers)

    def with_message(self, *message: object) -> 'ClaimWorld':
        """Return the world after a message is sent."""
        return dataclasses.replace(self, messages=self.messages | {message})

    def without_tracked(self, attempt: int) -> 'ClaimWorld':
        """Return the world after the end of an attempt is recorded."""
        return dataclasses.replace(self, tracked=self.tracked - {attempt})

    def with_answer(self, *, is_wrong: bool) -> 'ClaimWorld':
        """Return the world after a caller is answered."""
        wrong = self.wrongly_answered or is_wrong
        return dataclasses.replace(self, wrongly_answered=wrong)
