"""Permits that a host holds for slots above the floors of services."""

import dataclasses

from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import require
from chicorybridge.common.identities import (
    NO_VERSION,
    HostId,
    Incarnation,
    ServiceId,
    Version,
)
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.detection.ledgers import budgets_of
from chicorybridge.fleet.freshness import FRESH_MS, Freshness
from chicorybridge.storage.stores import Row


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BorrowedSlots:
    """Slots on loan from a peer.

    They count while the lender's `incarnation` echoes a reading of this host
    at least every `FRESH_MS`, without interruption since the loan.
    `contact_count` is `Freshness.contact_count` at the time of the loan.
    """

    slots: int
    incarnation: Incarnation
    serial: int
    version: Version
    contact_count: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LentSlots:
    """Slots on loan to a peer, within the budget of `version`."""

    slots: int
    borrower: HostId
    version: Version


@dataclasses.dataclass(kw_only=True, slots=True)
class Holding:
    """Permits of one service that this host holds, in slots.

    `owned` slots are free or in use on this host. Those in `lent_by_serial`
    are on loan to peers; the ledger still shows them under this host.
    `used` is the number of slots of the targets that this host ejected.
    `cooling` lists slots whose ejection has ended but may still be applied
    on some host, as (time until which it may be applied, slots).

    `claimed` slots are added by the pending transaction if it succeeds.
    `holders` are the hosts that the ledger names. `demand` is how many
    free slots this host tries to hold: it claims them from the store and,
    if `urgent`, borrows them from peers. `for_verdict` is true if there is
    a verdict and only permits are missing.
    """

    service_id: ServiceId
    budget: int
    owned: int = 0
    used: int = 0
    demand: int = 0
    urgent: bool = False
    for_verdict: bool = False
    claimed: int = 0
    is_request_pending: bool = False
    next_claim_at: Millis = Millis(0)
    next_borrow_at: Millis = Millis(0)
    loans_idle_at: Millis = Millis(0)
    next_query_at: Millis = Millis(0)
    row: Row | None = None
    holders: tuple[HostId, ...] = ()
    lent_by_serial: dict[int, LentSlots] = dataclasses.field(
        default_factory=dict
    )
    loans: dict[HostId, BorrowedSlots] = dataclasses.field(default_factory=dict)
    loans_to_return: list[tuple[HostId, BorrowedSlots]] = dataclasses.field(
        default_factory=list
    )
    cooling: list[tuple[Millis, int]] = dataclasses.field(default_factory=list)

    @property
    def borrowed(self) -> int:
        """Return the slots on loan from peers."""
        return sum(loan.slots for loan in self.loans.values())

    def booked(self, now: Millis) -> int:
        """Return the slots that the ledger must record for this host."""
        busy = self.used + self.cooling_slots(now) - self.borrowed
        lent = sum(loan.slots for loan in self.lent_by_serial.values())
        return max(self.owned, busy) + lent

    def cooling_slots(self, now: Millis) -> int:
        """Return the slots whose ended ejection some host may still apply."""
        while self.cooling and self.cooling[0][0] <= now:
            self.cooling.pop(0)
        return sum(slots for _, slots in self.cooling)

    def spare(self, now: Millis) -> int:
        """Return the owned slots that are neither in use nor cooling."""
        return self.owned - self.used - self.cooling_slots(now)

    def clear(self) -> None:
        """Drop all slots, since others may hold them by now."""
        self.owned = 0
        self.claimed = 0
        self.lent_by_serial.clear()
        self.loans.clear()

    def scale(self, *, budget: int) -> None:
        """Set a new budget; if it is lower, reduce `owned` in proportion.

        Forget the claim in flight, and queue all loans for return.
        """
        if budget < self.budget:
            self.owned = self.owned * budget // self.budget
        self.budget = budget
        self.claimed = 0
        self.queue_loan_returns()

    def queue_spare_returns(self, now: Millis) -> None:
        """Queue the return of loans that no ejection needs."""
        spare = self.spare(now) + self.borrowed
        for lender, loan in tuple(self.loans.items()):
            if loan.slots <= spare:
                spare -= loan.slots
                self.loans_to_return.append((lender, self.loans.pop(lender)))

    def queue_loan_returns(self) -> None:
        """Stop counting all loans, and queue their return."""
        self.loans_to_return.extend(self.loans.items())
        self.loans.clear()


class HoldingTable:
    """Holdings of all services in one control process."""

    def __init__(self, *, freshness: Freshness) -> None:
        """Start without holdings."""
        self.version = NO_VERSION
        self.by_service: dict[ServiceId, Holding] = {}
        self._freshness = freshness
        self._echo_losses = 0

    @property
    def epoch(self) -> int:
        """Return how often this host has dropped all permits."""
        return self._echo_losses

    @property
    def lenders(self) -> set[HostId]:
        """Return the peers from which this host has loans."""
        return {
            lender
            for holding in self.by_service.values()
            for lender in holding.loans
        }

    def configure(self, declaration: Declaration, *, version: Version) -> None:
        """Scale the holdings to the budgets of a configuration.

        All holders scale in the same proportion, so their sum stays within
        the budget without coordination. A host that skipped a version
        cannot know what the others hold, so it drops its permits.
        """
        skipped = version != self.version + 1
        self.version = version
        budgets = budgets_of(declaration)
        for service_id in self.by_service.keys() | budgets.keys():
            budget = budgets.get(service_id, 0)
            holding = self.by_service.setdefault(
                service_id, Holding(service_id=service_id, budget=budget)
            )
            if skipped:
                holding.owned = 0
            holding.scale(budget=budget)

    def get(self, service_id: ServiceId, *, now: Millis) -> Holding | None:
        """Return a holding after dropping what no longer counts.

        All permits are dropped if this host was paused or received no
        echoes for too long, and loans that are no longer valid.
        """
        self.drop_after_echo_loss(now=now)
        holding = self.by_service.get(service_id)
        if holding is not None and holding.loans:
            self._drop_invalid_loans(holding, now=now)
        return holding

    def free_slots(self, service_id: ServiceId, *, now: Millis) -> int:
        """Return the slots that new ejections may use now.

        The number is negative while the slots in use or cooling exceed the
        permits held.
        """
        holding = self.get(service_id, now=now)
        if holding is None:
            return 0
        return -self.excess(service_id, now=now) - holding.cooling_slots(now)

    def excess(self, service_id: ServiceId, *, now: Millis) -> int:
        """Return by how many slots ejections exceed the permits held."""
        holding = self.get(service_id, now=now)
        if holding is None:
            return 0
        return holding.used - holding.owned - holding.borrowed

    def budget_of(self, service_id: ServiceId) -> int:
        """Return the slots above the floor of a service."""
        holding = self.by_service.get(service_id)
        return 0 if holding is None else holding.budget

    def set_demand(
        self,
        service_id: ServiceId,
        slots: int,
        *,
        urgent: bool = False,
        for_verdict: bool = False,
    ) -> None:
        """Set how many free slots to hold; if urgent, also borrow them.

        Demand that is `for_verdict` takes precedence over that of hosts
        which only suspect a target.
        """
        holding = self.by_service.get(service_id)
        if holding is None:
            return
        holding.demand = slots
        holding.urgent = urgent
        holding.for_verdict = for_verdict or (holding.for_verdict and urgent)

    def use(self, service_id: ServiceId, slots: int, *, now: Millis) -> None:
        """Use free slots for an ejection."""
        require(
            promise='an ejection is covered by permits of its host',
            holds=self.free_slots(service_id, now=now) >= slots,
        )
        self.by_service[service_id].used += slots

    def release(
        self, service_id: ServiceId, slots: int, *, now: Millis
    ) -> None:
        """End the use of slots.

        They stay reserved for `FRESH_MS`, while peers may still apply the
        ejection.
        """
        holding = self.by_service[service_id]
        holding.used -= slots
        holding.cooling.append((Millis(now + FRESH_MS), slots))

    def has_lost_echoes(self, *, now: Millis) -> bool:
        """Return whether this host lacks echoes and must not hold permits."""
        return self._freshness.has_lost_echoes(now=now)

    def drop_after_echo_loss(self, *, now: Millis) -> None:
        """Drop all permits if echoes were lost, for example in a pause."""
        echo_losses = self._freshness.echo_loss_count(now=now)
        if echo_losses <= self._echo_losses:
            return
        self._echo_losses = echo_losses
        for holding in self.by_service.values():
            holding.clear()

    def _drop_invalid_loans(self, holding: Holding, *, now: Millis) -> None:
        for lender, loan in tuple(holding.loans.items()):
            if not self._is_valid(lender, loan, now=now):
                holding.loans.pop(lender)

    def _is_valid(
        self, lender: HostId, loan: BorrowedSlots, *, now: Millis
    ) -> bool:
        """Return whether the lender still runs and stayed in contact."""
        return (
            self._freshness.incarnation_of(lender) == loan.incarnation
            and self._freshness.is_fresh(lender, now=now)
            and self._freshness.contact_count(lender) == loan.contact_count
        )
