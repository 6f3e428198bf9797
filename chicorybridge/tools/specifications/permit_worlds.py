"""The state of the specification of permits: hosts, the row, and loans."""

import dataclasses
from enum import Enum

from chicorybridge.tools.specifications.specifications import replace_at


class BrokenPermit(Enum):
    """Deliberate faults, each of which breaks the promise."""

    # A transaction without an answer counts as done.
    own_unanswered = 'own_unanswered'
    # The lender keeps what it lends.
    lend_and_keep = 'lend_and_keep'
    # A loan that arrives again after it was given back counts again.
    borrow_twice = 'borrow_twice'
    # A process takes a loan that the one before it asked for.
    borrow_for_ended = 'borrow_for_ended'
    # A host is struck from the row before its silence has cost it all.
    strike_early = 'strike_early'
    # A host that was silent for long keeps its permits.
    keep_lapsed = 'keep_lapsed'
    # A loan goes on counting when its lender is silent.
    keep_unbacked = 'keep_unbacked'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Loan:
    """A slot on loan.

    `contact` is that of the lender when it lent; only the process that
    asked takes it, the one after `starts` starts of the borrower.
    """

    lender: int
    contact: int
    serial: int
    borrower: int
    starts: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PermitHost:
    """One host: what its process owns, uses, lent and borrowed.

    Peers honour its ejections while it is `fresh`. `contact` grows with
    every silence and every start. `lapsed` tells that it was silent for
    so long that others may strike it from the row.
    """

    contact: int = 0
    starts: int = 0
    fresh: bool = True
    lapsed: bool = False
    owned: int = 0
    used: int = 0
    serial: int = 0
    lent: frozenset[int] = frozenset()
    loan: Loan | None = None
    taken: frozenset[Loan] = frozenset()
    # What its last process had booked and used when it ended.
    ended_booked: int = 0
    ended_used: int = 0
    ended_loan: Loan | None = None

    @property
    def booked(self) -> int:
        """Return the slots that the row must show for this host."""
        return self.owned + len(self.lent)

    @property
    def held(self) -> int:
        """Return the slots that ejections may use."""
        return self.owned + (self.loan is not None)

    @property
    def honoured(self) -> int:
        """Return the slots whose ejection somebody honours."""
        used = self.used if self.fresh else 0
        return self.ended_used + used

    @property
    def loans_in_use(self) -> tuple[Loan, ...]:
        """Return the loans that it counts, or that covered its last process."""
        loan = self.loan if self.fresh else None
        return tuple(
            each for each in (loan, self.ended_loan) if each is not None
        )

    def without_loan(self) -> 'PermitHost':
        """Return the host after a loan ended, and what it covered."""
        left = dataclasses.replace(self, loan=None)
        return dataclasses.replace(left, used=min(left.used, left.held))

    def forgetful(self) -> 'PermitHost':
        """Return the host after it noticed a long silence."""
        return dataclasses.replace(
            self,
            fresh=True,
            lapsed=False,
            owned=0,
            used=0,
            lent=frozenset(),
            loan=None,
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PermitWorld:
    """Hosts, the slots that the row books to each, and messages sent."""

    hosts: tuple[PermitHost, ...]
    row: tuple[int, ...]
    loans: frozenset[Loan] = frozenset()
    returns: frozenset[Loan] = frozenset()

    @property
    def booked(self) -> int:
        """Return the slots that the row books in all."""
        return sum(self.row) + sum(host.ended_booked for host in self.hosts)

    @property
    def honoured(self) -> int:
        """Return the slots whose ejection somebody honours."""
        return sum(host.honoured for host in self.hosts)

    def with_host(self, number: int, host: PermitHost) -> 'PermitWorld':
        """Return the world after a host has changed."""
        hosts = replace_at(self.hosts, number, host)
        return dataclasses.replace(self, hosts=hosts)

    def with_booked(self, number: int, slots: int) -> 'PermitWorld':
        """Return the world after a transaction on the row."""
        row = replace_at(self.row, number, slots)
        return dataclasses.replace(self, row=row)

    def is_backed(self, loan: Loan) -> bool:
        """Tell whether the lender was heard without a gap since."""
        lender = self.hosts[loan.lender]
        return lender.fresh and lender.contact == loan.contact

    def is_relied_on(self, number: int) -> bool:
        """Tell whether a loan of `number` that ended is still in use."""
        return any(
            loan.lender == number and not self.is_backed(loan)
            for host in self.hosts
            for loan in host.loans_in_use
        )
