"""Loans of permits between hosts, which need no store.

The lender forgets slots before it sends them, so a lost message loses a
loan and never doubles one. A loan is taken once, while it is fresh, and
counts only while the lender is surely alive: when the lender is gone,
its share in the ledger, loans included, can be given out again.
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
    Borrowed,
    Holding,
    HoldingTable,
    Lent,
)
from chicorybridge.fleet.freshness import FRESH_MS, Freshness, Stamp

# Wait between two requests to peers for the same permits.
RETRY_MS = 100.0
# Loans that were not used for so long go back.
IDLE_MS = 20_000.0
# Time between two questions whether a borrower still holds a loan.
QUERY_MS = 3000.0
# Peers that are asked at once.
PEERS_ASKED = 4


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PermitRequest:
    """Ask a peer for free slots of a service; `pressing` for a verdict."""

    stamp: Stamp
    service_id: ServiceId
    slots: int
    version: Version
    pressing: bool = False


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PermitLoan:
    """Lend slots that the lender has forgotten; `serial` counts loans."""

    stamp: Stamp
    service_id: ServiceId
    slots: int
    version: Version
    serial: int


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PermitReturn:
    """Give a loan back; the borrower has forgotten it."""

    service_id: ServiceId
    incarnation: Incarnation
    serial: int


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoanQuery:
    """Ask a borrower to give a loan back if it does not hold it."""

    service_id: ServiceId
    incarnation: Incarnation
    serial: int


class Loans(System):
    """Borrow from peers what is urgent, and lend what is spare."""

    def __init__(
        self,
        *,
        host_id: HostId,
        incarnation: Incarnation,
        freshness: Freshness,
        holdings: HoldingTable,
    ) -> None:
        """Lend and borrow the holdings of one control process."""
        self._host_id = host_id
        self._incarnation = incarnation
        self._freshness = freshness
        self._holdings = holdings
        self._hosts: tuple[HostId, ...] = ()
        self._serials_by_incarnation: dict[Incarnation, int] = {}
        self._serial = 0
        self._next_peer = 0

    def update_hosts(self, host_ids: tuple[HostId, ...]) -> None:
        """Take in the live hosts."""
        self._hosts = tuple(
            host_id for host_id in host_ids if host_id != self._host_id
        )

    def tick(self, *, now: Millis) -> Effects:
        """Ask peers for what is urgent and return what lies idle."""
        return tuple(
            effect
            for holding in self._holdings.by_service.values()
            for effect in self._tend(holding, now=now)
        )

    def receive(
        self, message: object, *, sender: HostId, now: Millis
    ) -> Effects:
        """Take in requests, loans and returns of peers."""
        match message:
            case PermitRequest():
                self._freshness.record(message.stamp, sender=sender, now=now)
                return self._lend(message, sender=sender, now=now)
            case PermitLoan():
                return self._borrow(message, sender=sender, now=now)
            case LoanQuery():
                return self._answer(message, sender=sender, now=now)
            case PermitReturn():
                self._take_back(message, now=now)
        return ()

    def _tend(self, holding: Holding, *, now: Millis) -> list[Effect]:
        effects: list[Effect] = []
        if holding.urgent and now >= holding.peers_at:
            effects += self._ask_peers(holding, now=now)
        if holding.loans and now >= holding.idle_at:
            holding.give_up_spare_loans(now)
        if holding.returning:
            effects += self._return_loans(holding, now=now)
        if holding.lent_by_serial and now >= holding.query_at:
            effects += self._query(holding, now=now)
        return effects

    def _ask_peers(self, holding: Holding, *, now: Millis) -> list[Effect]:
        free = self._holdings.free_slots(holding.service_id, now=now)
        missing = holding.wanted - free
        if missing <= 0:
            return []
        holding.peers_at = Millis(now + RETRY_MS)
        return [
            Send(
                to=peer,
                message=PermitRequest(
                    stamp=self._freshness.stamp(to=peer, now=now),
                    service_id=holding.service_id,
                    slots=missing,
                    version=self._holdings.version,
                    pressing=holding.pressing,
                ),
            )
            for peer in self._likely_lenders(holding)
        ]

    def _likely_lenders(self, holding: Holding) -> tuple[HostId, ...]:
        """Return the holders in the ledger and some other peers in turn."""
        likely = {each for each in holding.holders if each in self._hosts}
        for _ in range(min(PEERS_ASKED, len(self._hosts))):
            self._next_peer = (self._next_peer + 1) % len(self._hosts)
            likely.add(self._hosts[self._next_peer])
        return tuple(sorted(likely))

    def _lend(
        self, request: PermitRequest, *, sender: HostId, now: Millis
    ) -> Effects:
        holding = self._holdings.get(request.service_id, now=now)
        if holding is None or request.version != self._holdings.version:
            return ()
        slots = min(request.slots, holding.spare(now))
        if holding.pressing or (holding.urgent and not request.pressing):
            return ()
        if slots <= 0:
            holding.give_up_spare_loans(now)
            return self._return_loans(holding, now=now)
        holding.owned -= slots
        self._serial += 1
        holding.lent_by_serial[self._serial] = Lent(
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

    def _borrow(
        self, loan: PermitLoan, *, sender: HostId, now: Millis
    ) -> Effects:
        """Take a loan once, and only in the order in which it was made."""
        echo = self._freshness.record(loan.stamp, sender=sender, now=now)
        incarnation = loan.stamp.incarnation
        last = self._serials_by_incarnation.get(incarnation, 0)
        holding = self._holdings.get(loan.service_id, now=now)
        if holding is None or loan.serial <= last:
            return ()
        self._serials_by_incarnation[incarnation] = loan.serial
        if loan.version != self._holdings.version or now - echo > FRESH_MS:
            return ()
        borrowed = Borrowed(
            slots=loan.slots,
            incarnation=incarnation,
            serial=loan.serial,
            version=loan.version,
            contact=self._freshness.contact_count(sender),
        )
        free = self._holdings.free_slots(loan.service_id, now=now)
        if sender in holding.loans or free >= holding.wanted:
            holding.returning.append((sender, borrowed))
            return self._return_loans(holding, now=now)
        holding.loans[sender] = borrowed
        holding.idle_at = Millis(now + IDLE_MS)
        facts = {'service': loan.service_id, 'slots': loan.slots}
        event = Event(kind=EventKind.permit_taken, facts=facts)
        return (Emit(event=event),)

    def _return_loans(self, holding: Holding, *, now: Millis) -> list[Effect]:
        """Give loans back once no peer can honour what they covered."""
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
            for lender, loan in holding.returning
        ]
        holding.returning.clear()
        return returns

    def _take_back(self, message: PermitReturn, *, now: Millis) -> None:
        """Own a loan again, unless it was made under another budget."""
        holding = self._holdings.get(message.service_id, now=now)
        if holding is None or message.incarnation != self._incarnation:
            return
        lent = holding.lent_by_serial.pop(message.serial, None)
        if lent is not None and lent.version == self._holdings.version:
            holding.owned += lent.slots

    def _query(self, holding: Holding, *, now: Millis) -> list[Effect]:
        """Find loans that got lost, or whose return did."""
        holding.query_at = Millis(now + QUERY_MS)
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

    def _answer(
        self, query: LoanQuery, *, sender: HostId, now: Millis
    ) -> Effects:
        """Give a loan back that is not held here, and never take it."""
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
