"""The state of the specification of claims: one key, its tries, hosts."""

import dataclasses
from enum import Enum

from chicorybridge.claims.claim_tables import ClaimState
from chicorybridge.tools.specifications.specifications import Label, replace_at


class TryState(Enum):
    """How far one try has come on the host that took it."""

    new = 'new'
    # The control process waits for the decision.
    pending = 'pending'
    # The entry was told to run; it may be paused before it does.
    granted = 'granted'
    running = 'running'
    # Given up by the control process, which declines a late decision.
    given_up = 'given_up'
    # Over; a late decision is ignored.
    ended = 'ended'


class Broken(Enum):
    """Deliberate faults, each of which breaks a promise."""

    # A holder that does not report frees the key.
    lapse_frees = 'lapse_frees'
    # A report counts whichever try holds the key.
    any_report = 'any_report'
    # A process answers for the one that it replaced.
    gone_decides = 'gone_decides'
    # A row that names the host is ours, whichever process wrote it.
    row_trusted = 'row_trusted'
    # Every late decision is given back as not run.
    decline_any = 'decline_any'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Owner:
    """A control process: its host and how often it was replaced."""

    host: int
    incarnation: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LedgerClaim:
    """The claim of the key in the memory of one control process."""

    state: ClaimState = ClaimState.released
    holder: int | None = None
    withdrawn: frozenset[int] = frozenset()
    waiting: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimWorld:
    """The whole state: hosts, row, tries, messages, and what happened.

    `known` holds the tries that the control process was told of since it
    started and that it has not seen end.
    """

    incarnations: tuple[int, ...]
    row: Owner | None
    wanted: tuple[bool, ...]
    ledgers: tuple[LedgerClaim | None, ...]
    tries: tuple[TryState, ...]
    known: frozenset[int] = frozenset()
    messages: frozenset[Label] = frozenset()
    runs: int = 0
    finished: bool = False
    wrongly_told: bool = False

    def owner_on(self, host: int) -> Owner:
        """Return the control process that runs on a host now."""
        return Owner(host=host, incarnation=self.incarnations[host])

    def with_try(self, number: int, state: TryState) -> 'ClaimWorld':
        """Return the world after a try has come to `state`."""
        tries = replace_at(self.tries, number, state)
        return dataclasses.replace(self, tries=tries)

    def with_claim(self, host: int, claim: LedgerClaim) -> 'ClaimWorld':
        """Return the world after a ledger holds `claim`."""
        ledgers = replace_at(self.ledgers, host, claim)
        return dataclasses.replace(self, ledgers=ledgers)

    def with_message(self, *message: object) -> 'ClaimWorld':
        """Return the world after a message was sent."""
        return dataclasses.replace(self, messages=self.messages | {message})

    def without_known(self, number: int) -> 'ClaimWorld':
        """Return the world after a control process saw the end of a try."""
        return dataclasses.replace(self, known=self.known - {number})

    def told(self, *, wrongly: bool) -> 'ClaimWorld':
        """Return the world after a caller was told something."""
        wrong = self.wrongly_told or wrongly
        return dataclasses.replace(self, wrongly_told=wrong)
