"""Specification: hold, lend and revoke permits for ejections.

A limited number of slots of one service may be ejected. The row of the
platform books slots to processes; only an answered transaction adds to the
slots that a process owns. Guards stand for timeouts: slots of a host that
was out of contact for long are removed from the row only when no host
applies its ejections or uses its loans any more.
"""

import dataclasses
from collections.abc import Iterator

from chicorybridge.tools.specifications.permit_worlds import (
    PermitMutation,
    Loan,
    PermitHost,
    PermitWorld,
)
from chicorybridge.tools.specifications.specifications import (
    Specification,
    Step,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PermitSpecification:
    """Steps of a few hosts that may eject `budget` slots in total.

    `max_contact_losses` limits the losses of contact and restarts of each
    host, `max_loans` the loans that it lends. In the steps, `number` is the
    index of the host.
    """

    hosts: int = 2
    budget: int = 1
    max_contact_losses: int = 2
    max_loans: int = 2
    mutation: PermitMutation | None = None

    def build(self) -> Specification[PermitWorld]:
        """Return the state machine with its invariant."""
        initial = PermitWorld(
            hosts=tuple(PermitHost() for _ in range(self.hosts)),
            row=tuple(0 for _ in range(self.hosts)),
        )
        return Specification(
            name='permits',
            initial=initial,
            steps=self.steps,
            invariants={
                'ejections respect the floor of the service': (
                    self._is_floor_met
                )
            },
        )

    def steps(self, world: PermitWorld) -> Iterator[Step]:
        """Yield every possible step from `world`."""
        for number, host in enumerate(world.hosts):
            if host.fresh:
                yield from self._claim_steps(world, number, host)
                yield from self._use_steps(world, number, host)
                yield from self._lend_steps(world, number, host)
                yield from self._borrow_steps(world, number, host)
            yield from self._contact_steps(world, number, host)
            yield from self._reclaim_steps(world, number, host)

    def _is_floor_met(self, world: PermitWorld) -> bool:
        return world.active_ejections <= self.budget

    def _claim_steps(
        self, world: PermitWorld, number: int, host: PermitHost
    ) -> Iterator[Step]:
        if host.booked != world.row[number]:
            yield ('book', number), world.with_booked(number, host.booked)
        others = world.booked - world.row[number]
        if others + host.booked >= self.budget:
            return
        owner = dataclasses.replace(host, owned=host.owned + 1)
        booked = world.with_booked(number, host.booked + 1)
        yield ('claim', number), booked.with_host(number, owner)
        # The transaction took effect, but its reply was lost, so the host
        # does not own the slot.
        yield ('claim_unanswered', number), booked
        if self.mutation is PermitMutation.own_unanswered:
            yield ('claim_lost', number), world.with_host(number, owner)

    def _use_steps(
        self, world: PermitWorld, number: int, host: PermitHost
    ) -> Iterator[Step]:
        if host.used < host.held:
            ejecting = dataclasses.replace(host, used=host.used + 1)
            yield ('eject', number), world.with_host(number, ejecting)
        if host.used:
            ended = dataclasses.replace(host, used=host.used - 1)
            yield ('readmit', number), world.with_host(number, ended)

    def _lend_steps(
        self, world: PermitWorld, number: int, host: PermitHost
    ) -> Iterator[Step]:
        if host.owned > host.used and host.serial < self.max_loans:
            for borrower in range(self.hosts):
                if borrower != number:
                    yield self._lend(world, number, borrower)
        for loan in world.returns:
            if loan.lender == number and loan.serial in host.lent:
                returned = dataclasses.replace(
                    host,
                    owned=host.owned + 1,
                    lent=host.lent - {loan.serial},
                )
                label = ('accept_return', number, loan.serial)
                yield label, world.with_host(number, returned)

    def _lend(self, world: PermitWorld, number: int, borrower: int) -> Step:
        host = world.hosts[number]
        loan = Loan(
            lender=number,
            contact=host.contact,
            serial=host.serial,
            borrower=borrower,
            starts=world.hosts[borrower].starts,
        )
        extra = int(self.mutation is PermitMutation.lend_and_keep)
        host = dataclasses.replace(
            host,
            serial=host.serial + 1,
            owned=host.owned - 1 + extra,
            lent=host.lent | {loan.serial},
        )
        sent = dataclasses.replace(world, loans=world.loans | {loan})
        return ('lend', number, borrower), sent.with_host(number, host)

    def _borrow_steps(
        self, world: PermitWorld, number: int, host: PermitHost
    ) -> Iterator[Step]:
        if host.loan is None:
            for loan in world.loans:
                if self._may_borrow(world, number, loan):
                    borrower = dataclasses.replace(
                        host,
                        loan=loan,
                        received_loans=host.received_loans | {loan},
                    )
                    label = ('borrow', number, loan.lender, loan.serial)
                    yield label, world.with_host(number, borrower)
            return
        if host.used <= host.owned:
            returned = dataclasses.replace(
                world, returns=world.returns | {host.loan}
            )
            without_loan = host.without_loan()
            yield (
                ('return_loan', number),
                returned.with_host(number, without_loan),
            )
        if not world.is_loan_valid(host.loan):
            without_loan = host.without_loan()
            yield ('drop_loan', number), world.with_host(number, without_loan)

    def _may_borrow(self, world: PermitWorld, number: int, loan: Loan) -> bool:
        if loan.borrower != number or not world.is_loan_valid(loan):
            return False
        same_process = loan.starts == world.hosts[number].starts
        if self.mutation is PermitMutation.borrow_for_ended:
            same_process = True
        if not same_process:
            return False
        if self.mutation is PermitMutation.borrow_twice:
            return True
        # Loans are accepted once, and in the order of their serials.
        return not any(
            received.lender == loan.lender and received.serial >= loan.serial
            for received in world.hosts[number].received_loans
        )

    def _contact_steps(
        self, world: PermitWorld, number: int, host: PermitHost
    ) -> Iterator[Step]:
        if host.fresh:
            if host.contact < self.max_contact_losses:
                yield from self._lose_contact_steps(world, number, host)
            return
        if host.expired:
            recovered = host.without_permits()
            if self.mutation is PermitMutation.keep_expired:
                recovered = dataclasses.replace(host, fresh=True, expired=False)
            yield ('recover', number), world.with_host(number, recovered)
            return
        resumed = dataclasses.replace(host, fresh=True)
        if host.loan is not None and not world.is_loan_valid(host.loan):
            resumed = resumed.without_loan()
        yield ('resume', number), world.with_host(number, resumed)
        # Borrowers drop their loans before the permits of a lender expire.
        is_in_use = world.has_invalid_loans_in_use(number)
        if not is_in_use or self.mutation is PermitMutation.keep_invalid_loans:
            expired = dataclasses.replace(host, expired=True)
            yield ('expire', number), world.with_host(number, expired)

    def _lose_contact_steps(
        self, world: PermitWorld, number: int, host: PermitHost
    ) -> Iterator[Step]:
        contact = host.contact + 1
        out_of_contact = dataclasses.replace(host, fresh=False, contact=contact)
        yield ('lose_contact', number), world.with_host(number, out_of_contact)
        if host.ended_booked or host.ended_used:
            return
        # The process ends; the new one starts without its state.
        started = PermitHost(
            contact=contact,
            starts=host.starts + 1,
            serial=host.serial,
            ended_booked=world.row[number],
            ended_used=host.used,
            ended_loan=host.loan if host.used else None,
        )
        replaced = world.with_booked(number, 0).with_host(number, started)
        yield ('replace', number), replaced

    def _reclaim_steps(
        self, world: PermitWorld, number: int, host: PermitHost
    ) -> Iterator[Step]:
        may_reclaim = (
            host.expired or self.mutation is PermitMutation.reclaim_early
        )
        if world.row[number] and may_reclaim:
            yield ('reclaim', number), world.with_booked(number, 0)
        if host.ended_used:
            # Peers stop applying the ejections of the process that ended.
            expired = dataclasses.replace(host, ended_used=0, ended_loan=None)
            yield ('expire_ended', number), world.with_host(number, expired)
        if host.ended_booked and self._may_reclaim_ended(world, number):
            reclaimed = dataclasses.replace(host, ended_booked=0)
            yield ('reclaim_ended', number), world.with_host(number, reclaimed)

    def _may_reclaim_ended(self, world: PermitWorld, number: int) -> bool:
        if world.hosts[number].ended_used:
            return False
        if self.mutation is PermitMutation.keep_invalid_loans:
            return True
        return not world.has_invalid_loans_in_use(number)
