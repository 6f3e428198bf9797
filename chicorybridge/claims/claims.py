"""Handle messages about claims, so that each key runs at most once.

An issued key names its owner, the control process that issued it. A
caller-chosen key gets its owner from a row in the store. The owner keeps
its claims in memory only. When the owner has ended, no other process takes
over its keys. Repeats are then refused with the outcome unknown, unless the
row holds the answer.
"""

import functools
from collections.abc import Callable
from typing import Any

from chicorybridge.claims.claim_assignments import ASSIGNMENT_TOKEN
from chicorybridge.claims.claim_messages import (
    ClaimDecided,
    ClaimFinished,
    ClaimHeld,
    ClaimRecorded,
    ClaimRefusal,
    ClaimRelayed,
    ClaimRequested,
    ClaimWithdrawn,
    EntryLost,
)
from chicorybridge.claims.claim_routers import ClaimRouter
from chicorybridge.claims.claim_rows import OwnerRow
from chicorybridge.claims.claim_tables import ReceivedRequest
from chicorybridge.claims.request_keys import KeyOwner, parse_issued_key
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, Incarnation
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.common.systems import Effect, Send
from chicorybridge.storage.stores import StoreReply


class Claims(ClaimRouter):
    """Handle the messages about claims on one host.

    Messages of the host's own entry processes have the host's own id as
    sender. An entry process sends `ClaimRequested`, waits for the
    `ClaimDecided` of its attempt, and then sends `ClaimFinished`, or
    `ClaimWithdrawn` if it cancels the attempt.
    """

    def __init__(
        self,
        *,
        host_id: HostId,
        incarnation: Incarnation,
        today: Callable[[], int],
    ) -> None:
        """Create an instance without claims for one control process.

        `today` returns the current day as a number, for the retention of
        rows.
        """
        owner = KeyOwner(host_id=host_id, incarnation=incarnation)
        super().__init__(owner=owner, today=today)

    @functools.singledispatchmethod
    def receive(
        self, message: Any, *, sender: HostId, now: Millis
    ) -> list[Effect]:
        """Handle one message; ignore messages of other types."""
        return []

    @receive.register
    def _handle_requested(
        self, message: ClaimRequested, *, sender: HostId, now: Millis
    ) -> list[Effect]:
        if self.attempts.contains(message.attempt_id):
            return []
        attempt = self.attempts.add_pending(message, now=now)
        issued = parse_issued_key(message.key)
        if issued is not None:
            return self.route(attempt, issued.owner, now=now)
        claim = self.claim_owner.ledger.claims.find(message.key)
        if claim is not None:
            received_request = ReceivedRequest(request=message, host_id=sender)
            reply = self.claim_owner.ledger.decide_existing(
                received_request, claim, now=now
            )
            return self.send_replies([reply], now=now)
        row = OwnerRow(
            owner=self.owner,
            attempt_id=message.attempt_id,
            fingerprint=message.fingerprint,
        )
        if self.assignments.queue_row(message.key, row):
            return list(self.assignments.flush(now=now))
        return self.refuse(attempt, ClaimRefusal.store_unavailable)

    @receive.register
    def _handle_withdrawn(
        self, message: ClaimWithdrawn, *, sender: HostId, now: Millis
    ) -> list[Effect]:
        self.attempts.give_up(message.attempt_id)
        finished = self.attempts.finish(
            message.attempt_id, RequestOutcome.not_run
        )
        return [] if finished is None else self.report(finished, now=now)

    @receive.register
    def _handle_finished(
        self, message: ClaimFinished, *, sender: HostId, now: Millis
    ) -> list[Effect]:
        if sender == self.owner.host_id:
            self.attempts.finish(message.attempt_id, message.outcome)
            return self.report(message, now=now)
        recorded = ClaimRecorded(attempt_id=message.attempt_id)
        effects: list[Effect] = [Send(to=sender, message=recorded)]
        effects.extend(self.record(message, now=now))
        return effects

    @receive.register
    def _handle_entry_lost(
        self, message: EntryLost, *, sender: HostId, now: Millis
    ) -> list[Effect]:
        effects: list[Effect] = []
        for attempt_id in self.attempts.ids_of_entry(message.entry_id):
            self.attempts.give_up(attempt_id)
            finished = self.attempts.finish(attempt_id, RequestOutcome.unknown)
            if finished is not None:
                effects.extend(self.report(finished, now=now))
        return effects

    @receive.register
    def _handle_relayed(
        self, message: ClaimRelayed, *, sender: HostId, now: Millis
    ) -> list[Effect]:
        reply = self.claim_owner.decide_relayed(message, sender=sender, now=now)
        return self.send_replies([reply], now=now)

    @receive.register
    def _handle_decided(
        self, message: ClaimDecided, *, sender: HostId, now: Millis
    ) -> list[Effect]:
        return self.deliver_decision(message, now=now)

    @receive.register
    def _handle_held(
        self, message: ClaimHeld, *, sender: HostId, now: Millis
    ) -> list[Effect]:
        self.attempts.mark_queued(message.attempt_id)
        return []

    @receive.register
    def _handle_recorded(
        self, message: ClaimRecorded, *, sender: HostId, now: Millis
    ) -> list[Effect]:
        self.attempts.reports_by_id.pop(message.attempt_id, None)
        return []

    @receive.register
    def _handle_store_reply(
        self, message: StoreReply, *, sender: HostId, now: Millis
    ) -> list[Effect]:
        if message.token != ASSIGNMENT_TOKEN:
            return list(self.sweeps.handle_reply(message))
        effects: list[Effect] = []
        for assignment in self.assignments.handle_reply(message, now=now):
            effects.extend(self.handle_assignment(assignment, now=now))
        effects.extend(self.assignments.flush(now=now))
        return effects
