"""What a host holds of the slots above the floors of the services."""

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
class Borrowed:
    """Slots on loan from a peer.

    They count while the lender's `incarnation` is surely alive and was
    heard without a gap since the loan, as `contact` shows.
    """

    slots: int
    incarnation: Incarnation
    serial: int
    version: Version
    contact: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Lent:
    """Slots on loan to a peer, under the budget of `version`."""

    slots: int
    borrower: HostId
    version: Version


@dataclasses.dataclass(kw_only=True, slots=True)
class Holding:
    """Slots of one service that this host holds.

    `owned` are free or in use here; `lent_by_serial` stays booked to this
    host in the ledger; `used` covers ejections; `cooling` was in use and
    may still be honoured somewhere, as (until, slots). `claimed` is what
    the transaction under way adds; `holders` are the hosts that the
    ledger names. `wanted` free slots are claimed from
    the store and, if `urgent`, borrowed from peers.
    """

    service_id: ServiceId
    budget: int
    owned: int = 0
    used: int = 0
    wanted: int = 0
    urgent: bool = False
    pressing: bool = False
    claimed: int = 0
    asking: bool = False
    store_at: Millis = Millis(0)
    peers_at: Millis = Millis(0)
    idle_at: Millis = Millis(0)
    query_at: Millis = Millis(0)
    row: Row | None = None
    holders: tuple[HostId, ...] = ()
    lent_by_serial: dict[int, Lent] = dataclasses.field(default_factory=dict)
    loans: dict[HostId, Borrowed] = dataclasses.field(default_factory=dict)
    returning: list[tuple[HostId, Borrowed]] = dataclasses.field(
        default_factory=list
    )
    cooling: list[tuple[Millis, int]] = dataclasses.field(default_factory=list)

    @property
    def borrowed(self) -> int:
        """Return the slots on loan from peers."""
        return sum(loan.slots for loan in self.loans.values())

    def booked(self, now: Millis) -> int:
        """Return the slots that the ledger must show for this host."""
        busy = self.used + self.cooling_slots(now) - self.borrowed
        lent = sum(loan.slots for loan in self.lent_by_serial.values())
        return max(self.owned, busy) + lent

    def cooling_slots(self, now: Millis) -> int:
        """Return the slots that may still be honoured somewhere."""
        while self.cooling and self.cooling[0][0] <= now:
            self.cooling.pop(0)
        return sum(slots for _, slots in self.cooling)

    def spare(self, now: Millis) -> int:
        """Return the owned slots that are neither used nor cooling."""
        return self.owned - self.used - self.cooling_slots(now)

    def forget(self) -> None:
        """Drop everything; the ledger may have given it to others."""
        self.owned = 0
        self.claimed = 0
        self.lent_by_serial.clear()
        self.loans.clear()

    def scale(self, *, budget: int) -> None:
        """Cut what is owned in the ratio of the new budget to the old."""
        if budget < self.budget:
            self.owned = self.owned * budget // self.budget
        self.budget = budget
        self.claimed = 0
        self.give_up_loans()

    def give_up_spare_loans(self, now: Millis) -> None:
        """Send back the loans that no ejection needs."""
        spare = self.spare(now) + self.borrowed
        for lender, loan in tuple(self.loans.items()):
            if loan.slots <= spare:
                spare -= loan.slots
                self.returning.append((lender, self.loans.pop(lender)))

    def give_up_loans(self) -> None:
        """Forget all loans; they go back to their lenders."""
        self.returning.extend(self.loans.items())
        self.loans.clear()


class HoldingTable:
    """The holdings of all services in one control process."""

    def __init__(self, *, freshness: Freshness) -> None:
        """Start without any holding."""
        self.version = NO_VERSION
        self.by_service: dict[ServiceId, Holding] = {}
        self._freshness = freshness
        self._lapses = 0

    @property
    def epoch(self) -> int:
        """Return how often this host has dropped all permits."""
        return self._lapses

    @property
    def lenders(self) -> set[HostId]:
        """Return the peers whose loans count here."""
        return {
            lender
            for holding in self.by_service.values()
            for lender in holding.loans
        }

    def configure(self, declaration: Declaration, *, version: Version) -> None:
        """Scale what is held to the budgets of a configuration.

        Every holder scales alike, so the sum stays within the budget
        without a message. A host that skipped a version cannot know what
        the others hold, so it drops all.
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
        """Return a holding, without what a pause or a gap has cost."""
        self.check_lapse(now=now)
        holding = self.by_service.get(service_id)
        if holding is not None and holding.loans:
            self._forget_unbacked(holding, now=now)
        return holding

    def free_slots(self, service_id: ServiceId, *, now: Millis) -> int:
        """Return the slots that may be put to use now.

        It is negative while ejections must end or still cool down.
        """
        holding = self.get(service_id, now=now)
        if holding is None:
            return 0
        return -self.excess(service_id, now=now) - holding.cooling_slots(now)

    def excess(self, service_id: ServiceId, *, now: Millis) -> int:
        """Return by how many slots ejections exceed what is held."""
        holding = self.get(service_id, now=now)
        if holding is None:
            return 0
        return holding.used - holding.owned - holding.borrowed

    def budget_of(self, service_id: ServiceId) -> int:
        """Return the slots above the floor of a service."""
        holding = self.by_service.get(service_id)
        return 0 if holding is None else holding.budget

    def want(
        self,
        service_id: ServiceId,
        slots: int,
        *,
        urgent: bool = False,
        pressing: bool = False,
    ) -> None:
        """Try to hold `slots` free slots; if urgent, borrow them, too.

        A verdict is pressing: it gets slots that others only prepare.
        """
        holding = self.by_service.get(service_id)
        if holding is None:
            return
        holding.wanted = slots
        holding.urgent = urgent
        holding.pressing = pressing or (holding.pressing and urgent)

    def use(self, service_id: ServiceId, slots: int, *, now: Millis) -> None:
        """Put free slots to use for an ejection."""
        require(
            promise='an ejection is covered by permits of its host',
            holds=self.free_slots(service_id, now=now) >= slots,
        )
        self.by_service[service_id].used += slots

    def release(
        self, service_id: ServiceId, slots: int, *, now: Millis
    ) -> None:
        """End the use of slots; they cool down until nobody honours it."""
        holding = self.by_service[service_id]
        holding.used -= slots
        holding.cooling.append((Millis(now + FRESH_MS), slots))

    def is_cut_off(self, *, now: Millis) -> bool:
        """Tell whether this host must not hold permits now."""
        return self._freshness.is_cut_off(now=now)

    def check_lapse(self, *, now: Millis) -> None:
        """Forget all permits if this host was paused or cut off."""
        lapses = self._freshness.cut_off_count(now=now)
        if lapses <= self._lapses:
            return
        self._lapses = lapses
        for holding in self.by_service.values():
            holding.forget()

    def _forget_unbacked(self, holding: Holding, *, now: Millis) -> None:
        for lender, loan in tuple(holding.loans.items()):
            if not self._is_backed(lender, loan, now=now):
                holding.loans.pop(lender)

    def _is_backed(
        self, lender: HostId, loan: Borrowed, *, now: Millis
    ) -> bool:
        return (
            self._freshness.incarnation_of(lender) == loan.incarnation
            and self._freshness.is_fresh(lender, now=now)
            and self._freshness.contact_count(lender) == loan.contact
        )
