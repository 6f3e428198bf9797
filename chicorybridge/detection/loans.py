"""Loans of permits between hosts, which work without the store.

The lender gives up slots before it sends them, so a lost message may lose
a loan but never duplicates one. A loan is accepted once and only while its
message is fresh. It counts only while recent echoes prove that the lender
runs: when the lender is gone, others can claim its share of the ledger,
and that includes its loans.
"""

import dataclasses

from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.events import Event, EventKind
from chicorybridge.common.identities import (
    HostId,
    Incarnation,
    ServiceId,
    Version,
)
from chicorybridge.common.systems import Effect, Effects, Emit, Send, System
from chicorybridge.detection.permit_holdings import (
    BorrowedSlots,
    Holding,
    HoldingTable,
    LentSlots,
)
from chicorybridge.fleet.freshness import FRESH_MS, Freshness, Stamp

# Interval between two requests to peers for permits of a service.
REQUEST_INTERVAL_MS = 100.0
# Loans that no ejection needs are returned this long after the last one was
# accepted.
LOAN_IDLE_MS = 20_000.0
# Interval between two queries whether a borrower still holds a loan.
QUERY_INTERVAL_MS = 3000.0
# Peers that get a request at once, besides the holders in the ledger.
PEERS_PER_REQUEST = 4


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PermitRequest:
    """Request to borrow free slots of a service from a peer.

    `for_verdict` is true if there is a verdict and only permits are missing.
    """

    stamp: Stamp
    service_id: ServiceId
    slots: int
    version: Version
    for_verdict: bool = False


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PermitLoan:
    """Slots on loan, which the lender has already given up.

    `serial` counts the loans of a lender.
    """

    stamp: Stamp
    service_id: ServiceId
    slots: int
    version: Version
    serial: int


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PermitReturn:
    """Return of a loan, which the borrower has already given up."""

    service_id: ServiceId
    incarnation: Incarnation
    serial: int


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoanQuery:
    """Ask a borrower whether it holds a loan; it replies only if not.

    The reply is a `PermitReturn`, so that the lender gets the slots back.
    """

    service_id: ServiceId
    incarnation: Incarnation
    serial: int


class Loans(System):
    """Borrow permits that are urgent from peers, and lend spare ones."""

    def __init__(
        self,
        *,
        host_id: HostId,
        incarnation: Incarnation,
        freshness: Freshness,
        holdings: HoldingTable,
    ) -> None:
        """Start without loans."""
        self._host_id = host_id
        self._incarnation = incarnation
        self._freshness = freshness
        self._holdings = holdings
        self._peers: tuple[HostId, ...] = ()
        self._serials_by_incarnation: dict[Incarnation, int] = {}
        self._serial = 0
        self._next_peer = 0

    def update_hosts(self, host_ids: tuple[HostId, ...]) -> None:
        """Set the live hosts."""
        self._peers = tuple(
            host_id for host_id in host_ids if host_id != self._host_id
        )

    def tick(self, *, now: Millis) -> Effects:
        """Request urgent permits from peers and return idle loans."""
        return tuple(
            effect
            for holding in self._holdings.by_service.values()
            for effect in self._tick_holding(holding, now=now)
        )

    def receive(
        self, message: object, *, sender: HostId, now: Millis
    ) -> Effects:
        """Handle requests, loans, queries and returns of peers."""
        match message:
            case PermitRequest():
                self._freshness.record(message.stamp, sender=sender, now=now)
                return self._lend(message, sender=sender, now=now)
            case PermitLoan():
                return self._accept_loan(message, sender=sender, now=now)
            case LoanQuery():
                return self._answer_query(message, sender=sender, now=now)
            case PermitReturn():
                self._accept_return(message, now=now)
        return ()

    def _tick_holding(self, holding: Holding, *, now: Millis) -> list[Effect]:
        effects: list[Effect] = []
        if holding.urgent and now >= holding.next_borrow_at:
            effects += self._request_from_peers(holding, now=now)
        if holding.loans and now >= holding.loans_idle_at:
            holding.queue_spare_returns(now)
        if holding.loans_to_return:
            effects += self._return_loans(holding, now=now)
        if holding.lent_by_serial and now >= holding.next_query_at:
            effects += self._query_borrowers(holding, now=now)
        return effects

    def _request_from_peers(
        self, holding: Holding, *, now: Millis
    ) -> list[Effect]:
        free = self._holdings.free_slots(holding.service_id, now=now)
        missing = holding.demand - free
        if missing <= 0:
            return []
        holding.next_borrow_at = Millis(now + REQUEST_INTERVAL_MS)
        return [
            Send(
                to=peer,
                message=PermitRequest(
                    stamp=self._freshness.stamp(to=peer, now=now),
                    service_id=holding.service_id,
                    slots=missing,
                    version=self._holdings.version,
                    for_verdict=holding.for_verdict,
                ),
            )
            for peer in self._likely_lenders(holding)
        ]

    def _likely_lenders(self, holding: Holding) -> tuple[HostId, ...]:
        """Return the live holders in the ledger and some peers by rotation."""
        likely = {each for each in holding.holders if each in self._peers}
        for _ in range(min(PEERS_PER_REQUEST, len(self._peers))):
            self._next_peer = (self._next_peer + 1) % len(self._peers)
            likely.add(self._peers[self._next_peer])
        return tuple(sorted(likely))

    def _lend(
        self, request: PermitRequest, *, sender: HostId, now: Millis
    ) -> Effects:
        holding = self._holdings.get(request.service_id, now=now)
        if holding is None or request.version != self._holdings.version:
            return ()
        slots = min(request.slots, holding.spare(now))
        if holding.for_verdict or (holding.urgent and not request.for_verdict):
            return ()
        if slots <= 0:
            holding.queue_spare_returns(now)
            return self._return_loans(holding, now=now)
        holding.owned -= slots
        self._serial += 1
        holding.lent_by_serial[self._serial] = LentSlots(
            slots=slots, borrower=sender, version=request.version
        )
        loan = PermitLoan(
            stamp=self._freshness.stamp(to=sender, now=now),
            service_id=request.service_id,
            slots=slots,
            version=request.version,
            serial=self._serial,
        )
        facts = {'service': loan.service_id, 'slots': slots, 'to': sender}
        event = Event(kind=EventKind.permit_given, facts=facts)
        return (Send(to=sender, message=loan), Emit(event=event))

    def _accept_loan(
        self, loan: PermitLoan, *, sender: HostId, now: Millis
    ) -> Effects:
        """Accept a loan once, and loans only in the order of their serials."""
        echo = self._freshness.record(loan.stamp, sender=sender, now=now)
        incarnation = loan.stamp.incarnation
        last = self._serials_by_incarnation.get(incarnation, 0)
        holding = self._holdings.get(loan.service_id, now=now)
        if holding is None or loan.serial <= last:
            return ()
        self._serials_by_incarnation[incarnation] = loan.serial
        if loan.version != self._holdings.version or now - echo > FRESH_MS:
            return ()
        borrowed = BorrowedSlots(
            slots=loan.slots,
            incarnation=incarnation,
            serial=loan.serial,
            version=loan.version,
            contact_count=self._freshness.contact_count(sender),
        )
        free = self._holdings.free_slots(loan.service_id, now=now)
        if sender in holding.loans or free >= holding.demand:
            holding.loans_to_return.append((sender, borrowed))
            return self._return_loans(holding, now=now)
        holding.loans[sender] = borrowed
        holding.loans_idle_at = Millis(now + LOAN_IDLE_MS)
        facts = {'service': loan.service_id, 'slots': loan.slots}
        event = Event(kind=EventKind.permit_taken, facts=facts)
        return (Emit(event=event),)

    def _return_loans(self, holding: Holding, *, now: Millis) -> list[Effect]:
        """Return queued loans once no host may apply their ejections."""
        if self._holdings.free_slots(holding.service_id, now=now) < 0:
            return []
        returns: list[Effect] = [
            Send(
                to=lender,
                message=PermitReturn(
                    service_id=holding.service_id,
                    incarnation=loan.incarnation,
                    serial=loan.serial,
                ),
            )
            for lender, loan in holding.loans_to_return
        ]
        holding.loans_to_return.clear()
        return returns

    def _accept_return(self, message: PermitReturn, *, now: Millis) -> None:
        """Regain a returned loan, unless it was made under another version."""
        holding = self._holdings.get(message.service_id, now=now)
        if holding is None or message.incarnation != self._incarnation:
            return
        lent = holding.lent_by_serial.pop(message.serial, None)
        if lent is not None and lent.version == self._holdings.version:
            holding.owned += lent.slots

    def _query_borrowers(
        self, holding: Holding, *, now: Millis
    ) -> list[Effect]:
        """Query borrowers, to find lost loans and lost returns."""
        holding.next_query_at = Millis(now + QUERY_INTERVAL_MS)
        return [
            Send(
                to=lent.borrower,
                message=LoanQuery(
                    service_id=holding.service_id,
                    incarnation=self._incarnation,
                    serial=serial,
                ),
            )
            for serial, lent in holding.lent_by_serial.items()
        ]

    def _answer_query(
        self, query: LoanQuery, *, sender: HostId, now: Millis
    ) -> Effects:
        """Reply with `PermitReturn` if a loan is not held here.

        The loan is then refused if it still arrives.
        """
        holding = self._holdings.get(query.service_id, now=now)
        if holding is None:
            return ()
        loan = holding.loans.get(sender)
        if loan is not None and loan.serial == query.serial:
            return ()
        if self._holdings.free_slots(query.service_id, now=now) < 0:
            return ()
        last = self._serials_by_incarnation.get(query.incarnation, 0)
        self._serials_by_incarnation[query.incarnation] = max(
            last, query.serial
        )
        message = PermitReturn(
            service_id=query.service_id,
            incarnation=query.incarnation,
            serial=query.serial,
        )
        return (Send(to=sender, message=message),)
