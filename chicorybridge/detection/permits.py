"""Claims of permits from the store, for slots above a service's floor.

The store keeps a row for each service that records how many slots each
incarnation of a host holds; their sum stays within the budget. A host
counts a claim only when the store confirms the transaction, so the worst
effect of an unanswered one is that its slots stay unused.
"""

import random

from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import require
from chicorybridge.common.events import Event, EventKind
from chicorybridge.common.identities import HostId, Incarnation, ServiceId
from chicorybridge.common.systems import (
    CallStore,
    Effect,
    Effects,
    Emit,
    System,
)
from chicorybridge.detection.ledgers import (
    Ledger,
    holder_of,
    incarnation_of,
    ledger_of,
    row_key_of,
)
from chicorybridge.detection.permit_holdings import Holding, HoldingTable
from chicorybridge.fleet.freshness import ECHO_TIMEOUT_MS, FRESH_MS
from chicorybridge.storage.stores import (
    ReadRows,
    StoreOutcome,
    StoreReply,
    Transact,
)

TOKEN_PREFIX = 'permits:'
# Time after which the share of an incarnation that is gone can be claimed.
# The terms are the times until it drops its permits for lack of echoes, until
# its borrowers notice that it is gone, and until their peers stop applying the
# ejections that the loans covered.
RECLAIM_AFTER_MS = ECHO_TIMEOUT_MS + FRESH_MS + FRESH_MS
# Range from which the delay between two requests for permits of a service
# is drawn.
RETRY_RANGE_MS = (100.0, 500.0)
# Delay if others hold all permits, or if the store is unavailable.
BACKOFF_MS = 5000.0


class Permits(System):
    """Claim permits from the store; one per control process."""

    def __init__(
        self,
        *,
        host_id: HostId,
        incarnation: Incarnation,
        holdings: HoldingTable,
        rng: random.Random,
    ) -> None:
        """Claim for `incarnation`; `rng` spreads the retries in time."""
        self._host_id = host_id
        self._incarnation = incarnation
        self._holdings = holdings
        self._rng = rng
        self._gone_since: dict[Incarnation, Millis] = {}
        # Time at which a share of an incarnation that is gone was first read.
        self._read_since: dict[tuple[ServiceId, str], Millis] = {}

    def mark_gone(self, gone: frozenset[Incarnation], *, now: Millis) -> None:
        """Set the incarnations that are certainly gone.

        An incarnation is certainly gone when its process has ended, or when
        no host received a message of it for longer than a host may go
        without an echo before it drops its permits. If messages of it arrive
        again, it must be removed from `gone` within `RECLAIM_AFTER_MS`.
        """
        self._gone_since = {
            incarnation: self._gone_since.get(incarnation, now)
            for incarnation in gone
        }

    def tick(self, *, now: Millis) -> Effects:
        """Claim permits in demand, and correct this host's share."""
        self._holdings.drop_after_echo_loss(now=now)
        if self._holdings.has_lost_echoes(now=now):
            return ()
        effects: list[Effect] = []
        for holding in self._holdings.by_service.values():
            if holding.is_request_pending or now < holding.next_claim_at:
                continue
            if self._is_due(holding, now=now):
                effects += self._send_request(holding, now=now)
        return effects

    def receive(
        self, message: object, *, sender: HostId, now: Millis
    ) -> Effects:
        """Handle replies of the store."""
        if not isinstance(message, StoreReply):
            return ()
        if not message.token.startswith(TOKEN_PREFIX):
            return ()
        return self._handle_reply(message, now=now)

    def _is_due(self, holding: Holding, *, now: Millis) -> bool:
        if self._missing(holding, now=now) > 0:
            return True
        if holding.row is None:
            return False
        ledger = ledger_of(holding.service_id, holding.row)
        booked = ledger.shares_by_holder.get(self._holder, 0)
        return booked != holding.booked(now)

    def _missing(self, holding: Holding, *, now: Millis) -> int:
        service_id = holding.service_id
        free = self._holdings.free_slots(service_id, now=now)
        return max(0, holding.demand - free)

    def _send_request(self, holding: Holding, *, now: Millis) -> list[Effect]:
        request: ReadRows | Transact | None
        holding.next_claim_at = Millis(now + self._rng.uniform(*RETRY_RANGE_MS))
        if holding.row is None:
            request = ReadRows(row_keys=(row_key_of(holding.service_id),))
        else:
            ledger = ledger_of(holding.service_id, holding.row)
            request = self._claim(ledger, holding, now=now)
        if request is None:
            holding.row = None
            holding.next_claim_at = Millis(now + BACKOFF_MS)
            return []
        holding.is_request_pending = True
        token = TOKEN_PREFIX + holding.service_id
        return [CallStore(token=token, request=request)]

    def _claim(
        self, ledger: Ledger, holding: Holding, *, now: Millis
    ) -> Transact | None:
        if ledger.version > self._holdings.version:
            return None
        holder = self._holder
        reclaimed = self._reclaimable(ledger, now=now)
        others = ledger.shares_without(holder=holder, reclaimed=reclaimed)
        booked = holding.booked(now)
        room = holding.budget - sum(others.values()) - booked
        holding.claimed = max(0, min(room, self._missing(holding, now=now)))
        slots = booked + holding.claimed
        is_booked = slots == ledger.shares_by_holder.get(holder, 0)
        if is_booked and not holding.claimed:
            return None
        require(
            promise='permits claimed stay within the budget of the service',
            holds=not holding.claimed
            or sum(others.values()) + slots <= holding.budget,
        )
        return ledger.transaction_for(
            holder=holder,
            slots=slots,
            reclaimed=reclaimed,
            version=self._holdings.version,
        )

    @property
    def _holder(self) -> str:
        epoch = self._holdings.epoch
        return holder_of(self._host_id, self._incarnation, epoch)

    def _reclaimable(self, ledger: Ledger, *, now: Millis) -> frozenset[str]:
        """Return the holders whose shares are certainly out of use."""
        reclaimable = set()
        for holder in ledger.shares_by_holder:
            key = (ledger.service_id, holder)
            gone_since = self._gone_since.get(incarnation_of(holder))
            if gone_since is None:
                self._read_since.pop(key, None)
                continue
            read_since = self._read_since.setdefault(key, now)
            if now - max(gone_since, read_since) >= RECLAIM_AFTER_MS:
                reclaimable.add(holder)
        return frozenset(reclaimable)

    def _handle_reply(self, reply: StoreReply, *, now: Millis) -> Effects:
        service_id = ServiceId(reply.token.removeprefix(TOKEN_PREFIX))
        holding = self._holdings.get(service_id, now=now)
        if holding is None:
            return ()
        claimed = holding.claimed
        holding.claimed = 0
        holding.is_request_pending = False
        holding.row = reply.rows[0] if reply.rows else None
        if holding.row is not None:
            holding.holders = ledger_of(service_id, holding.row).hosts
        if reply.outcome is StoreOutcome.unavailable:
            holding.next_claim_at = Millis(now + BACKOFF_MS)
        if reply.outcome is not StoreOutcome.done or not claimed:
            return ()
        if self._holdings.has_lost_echoes(now=now):
            return ()
        holding.owned += claimed
        facts = {'service': service_id, 'slots': claimed}
        event = Event(kind=EventKind.permit_taken, facts=facts)
        return (Emit(event=event),)
