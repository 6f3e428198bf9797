"""Replay traces of the specification of permits on the real code.

The real holdings, permits and loans of each host execute each step of a
trace; the clock advances only within a step. Steps that need a timeout, a
loss of contact or a restart are not replayed.
"""

import itertools
import random

from chicorybridge.common.clocks import MILLIS_PER_SECOND, Millis
from chicorybridge.common.identities import (
    HostId,
    Incarnation,
    PoolId,
    RegionId,
    ServiceId,
    TargetId,
    Version,
    ZoneId,
)
from chicorybridge.common.systems import CallStore, Send
from chicorybridge.configuration.declarations import (
    Declaration,
    Pool,
    Region,
    Service,
    Target,
    Zone,
)
from chicorybridge.detection.ledgers import holder_of, ledger_of, row_key_of
from chicorybridge.detection.loans import (
    Loans,
    PermitLoan,
    PermitRequest,
    PermitReturn,
)
from chicorybridge.detection.permit_holdings import Holding, HoldingTable
from chicorybridge.detection.permits import Permits
from chicorybridge.fleet.freshness import FRESH_MS, Freshness
from chicorybridge.standins.tables import MemoryTables
from chicorybridge.storage.stores import ReadRows, Row, StoreOutcome, StoreReply
from chicorybridge.tools.specifications.permit_worlds import (
    PermitHost,
    PermitWorld,
)
from chicorybridge.tools.specifications.specifications import Label

SERVICE_ID = ServiceId('quotes')
VERSION = Version(1)
# Late enough that no start-up delay is in progress.
START = Millis(60 * MILLIS_PER_SECOND)


class ReplayedHost:
    """The permits of one host."""

    def __init__(self, *, number: int, declaration: Declaration) -> None:
        """Start without slots, configured with the first version."""
        self.host_id = HostId(str(number))
        self.incarnation = Incarnation(number + 1)
        self.freshness = Freshness(incarnation=self.incarnation)
        self.holdings = HoldingTable(freshness=self.freshness)
        self.holdings.configure(declaration, version=VERSION)
        self.permits = Permits(
            host_id=self.host_id,
            incarnation=self.incarnation,
            holdings=self.holdings,
            rng=random.Random(number),
        )
        self.loans = Loans(
            host_id=self.host_id,
            incarnation=self.incarnation,
            freshness=self.freshness,
            holdings=self.holdings,
        )

    @property
    def service_holding(self) -> Holding:
        """Return its holding of the service."""
        return self.holdings.by_service[SERVICE_ID]

    @property
    def name(self) -> str:
        """Return its name as a holder in the row."""
        epoch = self.holdings.epoch
        return holder_of(self.host_id, self.incarnation, epoch)

    def matches(self, host: PermitHost) -> bool:
        """Return whether its holding matches the specification."""
        holding = self.service_holding
        return (
            holding.owned,
            holding.used,
            len(holding.lent_by_serial),
            len(holding.loans),
        ) == (
            host.owned,
            host.used,
            len(host.lent),
            int(host.loan is not None),
        )


class PermitReplay:
    """Hosts in contact, their row, and messages by lender and serial."""

    def __init__(self, *, hosts: int, budget: int) -> None:
        """Start with an empty row."""
        self.tables = MemoryTables()
        declaration = _declaration(budget)
        self.hosts = [
            ReplayedHost(number=number, declaration=declaration)
            for number in range(hosts)
        ]
        self._now = START
        self._loans: dict[tuple[int, int], PermitLoan] = {}
        self._returns: dict[tuple[int, int], PermitReturn] = {}
        _exchange_heartbeats(self.hosts, now=self._now)

    def step(self, label: Label) -> None:
        """Apply one step of a trace."""
        name, number, *details = label
        getattr(self, name)(self.hosts[number], *details)

    def matches(self, world: PermitWorld) -> bool:
        """Return whether the code is in the state of the specification."""
        ledger = ledger_of(SERVICE_ID, self._row())
        booked = tuple(
            ledger.shares_by_holder.get(host.name, 0) for host in self.hosts
        )
        return booked == world.row and all(
            host.matches(expected)
            for host, expected in zip(self.hosts, world.hosts, strict=True)
        )

    def claim(self, host: ReplayedHost) -> None:
        """Claim a slot and receive the reply."""
        self._run_transaction(host, demand=1, answered=True)

    def claim_unanswered(self, host: ReplayedHost) -> None:
        """Claim a slot without a reply, although it took effect."""
        self._run_transaction(host, demand=1, answered=False)

    def book(self, host: ReplayedHost) -> None:
        """Set the row to the slots that the host holds."""
        self._run_transaction(host, demand=0, answered=True)

    def eject(self, host: ReplayedHost) -> None:
        """Use a slot for an ejection."""
        host.holdings.use(SERVICE_ID, 1, now=self._now)

    def readmit(self, host: ReplayedHost) -> None:
        """End an ejection, and wait until no peer applies it."""
        host.holdings.release(SERVICE_ID, 1, now=self._now)
        # Hosts stay in contact until the released slot is free.
        for _ in range(3):
            self._now = Millis(self._now + FRESH_MS / 2)
            _exchange_heartbeats(self.hosts, now=self._now)

    def lend(self, host: ReplayedHost, borrower: int) -> None:
        """Lend a slot to a host that requests it."""
        requester = self.hosts[borrower]
        request = PermitRequest(
            stamp=requester.freshness.stamp(to=host.host_id, now=self._now),
            service_id=SERVICE_ID,
            slots=1,
            version=VERSION,
        )
        effects = host.loans.receive(
            request, sender=requester.host_id, now=self._now
        )
        for effect in effects:
            if isinstance(effect, Send):
                loan = effect.message
                # The specification counts loans from 0.
                key = (int(host.host_id), loan.serial - 1)
                self._loans[key] = loan

    def borrow(self, host: ReplayedHost, lender: int, serial: int) -> None:
        """Receive a loan from `lender`."""
        loan = self._loans[lender, serial]
        free = host.holdings.free_slots(SERVICE_ID, now=self._now)
        host.holdings.set_demand(SERVICE_ID, free + 1)
        host.loans.receive(loan, sender=HostId(str(lender)), now=self._now)
        host.holdings.set_demand(SERVICE_ID, 0)

    def return_loan(self, host: ReplayedHost) -> None:
        """Return a borrowed slot that is not in use."""
        host.service_holding.queue_loan_returns()
        for effect in host.loans.tick(now=self._now):
            if isinstance(effect, Send):
                self._record_return(effect)

    def accept_return(self, host: ReplayedHost, serial: int) -> None:
        """Receive a loan that was returned."""
        message = self._returns[int(host.host_id), serial]
        host.loans.receive(message, sender=host.host_id, now=self._now)

    def _record_return(self, send: Send) -> None:
        if isinstance(send.message, PermitReturn):
            key = (int(send.to), send.message.serial - 1)
            self._returns[key] = send.message

    def _run_transaction(
        self, host: ReplayedHost, *, demand: int, answered: bool
    ) -> None:
        free = host.holdings.free_slots(SERVICE_ID, now=self._now)
        host.holdings.set_demand(SERVICE_ID, free + demand if demand else 0)
        host.service_holding.row = self._row()
        call = self._next_transaction(host)
        reply = self.tables.execute(call.request, token=call.token)
        if not answered:
            reply = StoreReply(
                token=call.token, outcome=StoreOutcome.unanswered
            )
        host.permits.receive(reply, sender=host.host_id, now=self._now)
        host.holdings.set_demand(SERVICE_ID, 0)

    def _next_transaction(self, host: ReplayedHost) -> CallStore:
        host.service_holding.next_claim_at = self._now
        calls = [
            effect
            for effect in host.permits.tick(now=self._now)
            if isinstance(effect, CallStore)
        ]
        return calls[0]

    def _row(self) -> Row:
        read = ReadRows(row_keys=(row_key_of(SERVICE_ID),))
        return self.tables.execute(read).rows[0]


def _exchange_heartbeats(hosts: list[ReplayedHost], *, now: Millis) -> None:
    """Exchange two rounds of stamps, so that all echoes are fresh."""
    for _ in range(2):
        for host, other in itertools.permutations(hosts, 2):
            stamp = host.freshness.stamp(to=other.host_id, now=now)
            other.freshness.record(stamp, sender=host.host_id, now=now)


def _declaration(budget: int) -> Declaration:
    """Return a service with one slot more than may be ejected."""
    slots = budget + 1
    region_id, zone_id = RegionId('noord'), ZoneId('groningen')
    pool = Pool(pool_id=PoolId('pool'), service_id=SERVICE_ID, slots=slots)
    target = Target(
        target_id=TargetId('target'),
        pool_id=pool.pool_id,
        zone_id=zone_id,
        address='127.0.0.1:1',
    )
    service = Service(service_id=SERVICE_ID, floor=1 / slots)
    return Declaration(
        name='permits',
        regions_by_id={region_id: Region(region_id=region_id)},
        zones_by_id={zone_id: Zone(zone_id=zone_id, region_id=region_id)},
        services_by_id={SERVICE_ID: service},
        pools_by_id={pool.pool_id: pool},
        targets_by_id={target.target_id: target},
        routes_by_id={},
        workspaces_by_id={},
    )
