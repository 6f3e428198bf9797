"""Specification: hold, lend and revoke permits for ejections.

A few slots of one service may be out. The row of the platform books slots
to processes; only an answered transaction adds to what a process owns.
Bounds of time stand as guards: a host that was silent for long is struck
from the row only when nobody honours it or counts its loans any more.
"""

import dataclasses
from collections.abc import Iterator

from chicorybridge.tools.specifications.permit_worlds import (
    BrokenPermit,
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
    """Steps among a few hosts that may eject `budget` slots in all.

    `contacts` bounds the silences and starts, `serials` the loans of each
    host.
    """

    hosts: int = 2
    budget: int = 1
    contacts: int = 2
    serials: int = 2
    broken: BrokenPermit | None = None

    def build(self) -> Specification[PermitWorld]:
        """Return the state machine with its promise."""
        initial = PermitWorld(
            hosts=tuple(PermitHost() for _ in range(self.hosts)),
            row=tuple(0 for _ in range(self.hosts)),
        )
        return Specification(
            name='permits',
            initial=initial,
            steps=self.steps,
            promises={
                'ejections leave the floor of the service': (
                    self._is_floor_kept
                )
            },
        )

    def steps(self, world: PermitWorld) -> Iterator[Step]:
        """Yield every step that can happen next."""
        for number, host in enumerate(world.hosts):
            if host.fresh:
                yield from self._claim_steps(world, number, host)
                yield from self._use_steps(world, number, host)
                yield from self._lend_steps(world, number, host)
                yield from self._borrow_steps(world, number, host)
            yield from self._silence_steps(world, number, host)
            yield from self._strike_steps(world, number, host)

    def _is_floor_kept(self, world: PermitWorld) -> bool:
        return world.honoured <= self.budget

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
        # It took effect, or it did not; the host cannot tell.
        yield ('claim_unanswered', number), booked
        if self.broken is BrokenPermit.own_unanswered:
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
        if host.owned > host.used and host.serial < self.serials:
            for borrower in range(self.hosts):
                if borrower != number:
                    yield self._lend(world, number, borrower)
        for loan in world.returns:
            if loan.lender == number and loan.serial in host.lent:
                back = dataclasses.replace(
                    host,
                    owned=host.owned + 1,
                    lent=host.lent - {loan.serial},
                )
                label = ('take_back', number, loan.serial)
                yield label, world.with_host(number, back)

    def _lend(self, world: PermitWorld, number: int, borrower: int) -> Step:
        host = world.hosts[number]
        loan = Loan(
            lender=number,
            contact=host.contact,
            serial=host.serial,
            borrower=borrower,
            starts=world.hosts[borrower].starts,
        )
        kept = int(self.broken is BrokenPermit.lend_and_keep)
        host = dataclasses.replace(
            host,
            serial=host.serial + 1,
            owned=host.owned - 1 + kept,
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
                        host, loan=loan, taken=host.taken | {loan}
                    )
                    label = ('borrow', number, loan.lender, loan.serial)
                    yield label, world.with_host(number, borrower)
            return
        if host.used <= host.owned:
            returned = dataclasses.replace(
                world, returns=world.returns | {host.loan}
            )
            left = host.without_loan()
            yield ('give_back', number), returned.with_host(number, left)
        if not world.is_backed(host.loan):
            left = host.without_loan()
            yield ('drop_loan', number), world.with_host(number, left)

    def _may_borrow(self, world: PermitWorld, number: int, loan: Loan) -> bool:
        if loan.borrower != number or not world.is_backed(loan):
            return False
        same_process = loan.starts == world.hosts[number].starts
        if self.broken is BrokenPermit.borrow_for_ended:
            same_process = True
        if not same_process:
            return False
        if self.broken is BrokenPermit.borrow_twice:
            return True
        # Loans are taken once, and in the order in which they were made.
        return not any(
            taken.lender == loan.lender and taken.serial >= loan.serial
            for taken in world.hosts[number].taken
        )

    def _silence_steps(
        self, world: PermitWorld, number: int, host: PermitHost
    ) -> Iterator[Step]:
        if host.fresh:
            if host.contact < self.contacts:
                yield from self._end_steps(world, number, host)
            return
        if host.lapsed:
            woken = host.forgetful()
            if self.broken is BrokenPermit.keep_lapsed:
                woken = dataclasses.replace(host, fresh=True, lapsed=False)
            yield ('wake', number), world.with_host(number, woken)
            return
        resumed = dataclasses.replace(host, fresh=True)
        if host.loan is not None and not world.is_backed(host.loan):
            resumed = resumed.without_loan()
        yield ('resume', number), world.with_host(number, resumed)
        # By the time a silence counts as long, its borrowers noticed it.
        relied_on = world.is_relied_on(number)
        if not relied_on or self.broken is BrokenPermit.keep_unbacked:
            lapsed = dataclasses.replace(host, lapsed=True)
            yield ('lapse', number), world.with_host(number, lapsed)

    def _end_steps(
        self, world: PermitWorld, number: int, host: PermitHost
    ) -> Iterator[Step]:
        contact = host.contact + 1
        silent = dataclasses.replace(host, fresh=False, contact=contact)
        yield ('fall_silent', number), world.with_host(number, silent)
        if host.ended_booked or host.ended_used:
            return
        # The process ends; the one that replaces it knows nothing.
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

    def _strike_steps(
        self, world: PermitWorld, number: int, host: PermitHost
    ) -> Iterator[Step]:
        may_strike = host.lapsed or self.broken is BrokenPermit.strike_early
        if world.row[number] and may_strike:
            yield ('strike', number), world.with_booked(number, 0)
        if host.ended_used:
            # Peers do not honour the process that ended any more.
            faded = dataclasses.replace(host, ended_used=0, ended_loan=None)
            yield ('fade', number), world.with_host(number, faded)
        if host.ended_booked and self._may_strike_ended(world, number):
            struck = dataclasses.replace(host, ended_booked=0)
            yield ('strike_ended', number), world.with_host(number, struck)

    def _may_strike_ended(self, world: PermitWorld, number: int) -> bool:
        if world.hosts[number].ended_used:
            return False
        if self.broken is BrokenPermit.keep_unbacked:
            return True
        return not world.is_relied_on(number)
