"""The state in the specification of permits.

A world is one state of the model: hosts, the row of the service, and loans.
"""

import dataclasses
from enum import Enum

from chicorybridge.tools.specifications.specifications import replace_at


class PermitMutation(Enum):
    """Deliberate faults, each of which violates the invariant."""

    # A transaction without an answer counts as successful.
    own_unanswered = 'own_unanswered'
    # The lender still owns a slot that it lends.
    lend_and_keep = 'lend_and_keep'
    # A loan that arrives again after its return adds a slot again.
    borrow_twice = 'borrow_twice'
    # A process accepts a loan that its predecessor requested.
    borrow_for_ended = 'borrow_for_ended'
    # Slots of a host are removed from the row before its permits expire.
    reclaim_early = 'reclaim_early'
    # A host keeps its permits after a long loss of contact.
    keep_expired = 'keep_expired'
    # A borrower still uses a loan while its lender is out of contact.
    keep_invalid_loans = 'keep_invalid_loans'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Loan:
    """A slot on loan.

    `contact` is that of the lender at the time of the loan. Only the
    process that requested the loan accepts it: the one that runs after
    `starts` restarts of the borrower.
    """

    lender: int
    contact: int
    serial: int
    borrower: int
    starts: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PermitHost:
    """One host: the slots that its process owns, uses, lends and borrows.

    Peers apply its ejections while it is `fresh`. `contact` is a counter
    that grows with every loss of contact and every start. `expired` means
    that it was out of contact for so long that others may remove its slots
    from the row.
    """

    contact: int = 0
    starts: int = 0
    fresh: bool = True
    expired: bool = False
    owned: int = 0
    used: int = 0
    serial: int = 0
    lent: frozenset[int] = frozenset()
    loan: Loan | None = None
    received_loans: frozenset[Loan] = frozenset()
    # Slots and loan of its previous process when that ended.
    ended_booked: int = 0
    ended_used: int = 0
    ended_loan: Loan | None = None

    @property
    def booked(self) -> int:
        """Return the slots that the row must book to this host."""
        return self.owned + len(self.lent)

    @property
    def held(self) -> int:
        """Return the slots that may be used for ejections."""
        return self.owned + (self.loan is not None)

    @property
    def active_ejections(self) -> int:
        """Return the slots of its ejections that some peer applies."""
        used = self.used if self.fresh else 0
        return self.ended_used + used

    @property
    def loans_in_use(self) -> tuple[Loan, ...]:
        """Return the loans that it or its previous process relies on."""
        loan = self.loan if self.fresh else None
        return tuple(
            each for each in (loan, self.ended_loan) if each is not None
        )

    def without_loan(self) -> 'PermitHost':
        """Return the host without its loan and the ejection it covered."""
        without_loan = dataclasses.replace(self, loan=None)
        return dataclasses.replace(
            without_loan, used=min(without_loan.used, without_loan.held)
        )

    def without_permits(self) -> 'PermitHost':
        """Return the host after its permits have expired."""
        return dataclasses.replace(
            self,
            fresh=True,
            expired=False,
            owned=0,
            used=0,
            lent=frozenset(),
            loan=None,
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PermitWorld:
    """Hosts, the slots that the row books to each, and messages sent.

    `loans` and `returns` are the messages that lend and return a loan.
    """

    hosts: tuple[PermitHost, ...]
    row: tuple[int, ...]
    loans: frozenset[Loan] = frozenset()
    returns: frozenset[Loan] = frozenset()

    @property
    def booked(self) -> int:
        """Return the total of slots that the row books."""
        return sum(self.row) + sum(host.ended_booked for host in self.hosts)

    @property
    def active_ejections(self) -> int:
        """Return the slots of ejections that some host applies."""
        return sum(host.active_ejections for host in self.hosts)

    def with_host(self, number: int, host: PermitHost) -> 'PermitWorld':
        """Return the world with another state of a host."""
        hosts = replace_at(self.hosts, number, host)
        return dataclasses.replace(self, hosts=hosts)

    def with_booked(self, number: int, slots: int) -> 'PermitWorld':
        """Return the world with `slots` booked to a host in the row."""
        row = replace_at(self.row, number, slots)
        return dataclasses.replace(self, row=row)

    def is_loan_valid(self, loan: Loan) -> bool:
        """Return whether the lender has been in contact since the loan."""
        lender = self.hosts[loan.lender]
        return lender.fresh and lender.contact == loan.contact

    def has_invalid_loans_in_use(self, number: int) -> bool:
        """Return whether an invalid loan from host `number` is in use."""
        return any(
            loan.lender == number and not self.is_loan_valid(loan)
            for host in self.hosts
            for loan in host.loans_in_use
        )
