"""The effect of each step in the specification of claims."""

import dataclasses

from chicorybridge.claims.claim_ledgers import (
    STATES_BY_OUTCOME,
    UNFINISHED_STATES,
)
from chicorybridge.claims.claim_tables import ClaimState
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.tools.specifications.claim_worlds import (
    ClaimMutation,
    ClaimWorld,
    LedgerClaim,
    AttemptState,
)
from chicorybridge.tools.specifications.specifications import replace_at

# Attempts in these states end when their control process is replaced.
STATES_LOST_ON_REPLACEMENT = frozenset(
    (AttemptState.pending, AttemptState.given_up)
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimSteps:
    """Effects of the steps on the world; attempts are given by index.

    `hosts_by_attempt` holds the host that receives each attempt;
    `issued` means that host 0 issued the key; `replacements` is the
    maximum for the control process of each host.
    """

    hosts_by_attempt: tuple[int, ...] = (0, 1)
    hosts: int = 2
    issued: bool = True
    replacements: int = 1
    mutation: ClaimMutation | None = None

    def request(self, world: ClaimWorld, attempt: int) -> ClaimWorld:
        """Receive an attempt; without a known owner, access the row first."""
        host = self.hosts_by_attempt[attempt]
        world = world.with_attempt(attempt, AttemptState.pending)
        world = dataclasses.replace(world, tracked=world.tracked | {attempt})
        if self.issued:
            return self._request_from_owner(world, attempt)
        if world.ledgers[host] is not None:
            return self.decide(world, host, attempt)
        return dataclasses.replace(
            world, row_pending=replace_at(world.row_pending, host, True)
        )

    def decide(self, world: ClaimWorld, host: int, attempt: int) -> ClaimWorld:
        """Decide an attempt by the ledger of `host`, or let it wait."""
        claim = world.ledgers[host]
        if claim is None and not self.issued:
            return self._answer(world, host, attempt, 'refuse')
        claim = claim or LedgerClaim()
        if attempt in claim.withdrawn:
            return self._answer(world, host, attempt, 'withdrawn')
        if claim.state is ClaimState.released:
            claim = dataclasses.replace(
                claim, state=ClaimState.running, holder=attempt
            )
            world = world.with_claim(host, claim)
        if claim.state is ClaimState.complete:
            return self._answer(world, host, attempt, 'replay')
        if claim.state is ClaimState.unknown:
            return self._answer(world, host, attempt, 'refuse')
        if claim.holder == attempt:
            return self._answer(world, host, attempt, 'run')
        if attempt in claim.waiting:
            return world
        waiting = (*claim.waiting, attempt)
        claim = dataclasses.replace(claim, waiting=waiting)
        return world.with_claim(host, claim)

    def deliver_verdict(
        self, world: ClaimWorld, attempt: int, verdict: str
    ) -> ClaimWorld:
        """Deliver the decision of the owner to the host of an attempt."""
        state = world.attempts[attempt]
        if state is not AttemptState.pending:
            return self._decline(world, attempt, verdict)
        if verdict == 'run':
            return world.with_attempt(attempt, AttemptState.granted)
        wrong = verdict == 'replay' and not world.finished
        wrong = wrong or (verdict == 'withdrawn' and world.runs > 0)
        world = world.with_attempt(attempt, AttemptState.ended)
        return world.without_tracked(attempt).with_answer(is_wrong=wrong)

    def shed(self, world: ClaimWorld, attempt: int) -> ClaimWorld:
        """Refuse a granted request without running it."""
        world = world.with_answer(is_wrong=world.runs > 0)
        return self.end(world, attempt, RequestOutcome.not_run)

    def end_without_entry(
        self, world: ClaimWorld, attempt: int, outcome: RequestOutcome
    ) -> ClaimWorld:
        """End an attempt that its entry withdrew, or whose entry was lost."""
        if attempt in world.tracked:
            return self.end(world, attempt, outcome)
        # The control process was replaced: no process reports the attempt.
        return world.with_attempt(attempt, AttemptState.ended)

    def end(
        self, world: ClaimWorld, attempt: int, outcome: RequestOutcome
    ) -> ClaimWorld:
        """End an attempt and report its outcome to the owner."""
        world = world.with_attempt(attempt, AttemptState.ended)
        world = world.without_tracked(attempt)
        return self._report(world, attempt, outcome)

    def record(
        self,
        world: ClaimWorld,
        host: int,
        attempt: int,
        outcome: RequestOutcome,
    ) -> ClaimWorld:
        """Record the report on an attempt in the ledger of `host`."""
        claim = world.ledgers[host]
        if claim is None:
            return world
        if (
            claim.holder != attempt
            and self.mutation is not ClaimMutation.accept_any_report
        ):
            return world
        if claim.state not in UNFINISHED_STATES:
            return world
        withdrawn = claim.withdrawn
        if outcome is RequestOutcome.not_run:
            withdrawn |= {attempt}
        holder = claim.holder
        if outcome is RequestOutcome.complete:
            holder = None
        claim = dataclasses.replace(
            claim,
            state=STATES_BY_OUTCOME[outcome],
            holder=holder,
            withdrawn=withdrawn,
        )
        return self._decide_waiting(world, host, claim)

    def expire(
        self, world: ClaimWorld, host: int, claim: LedgerClaim
    ) -> ClaimWorld:
        """Expire a claim whose holder did not report in time."""
        state = ClaimState.unknown
        if self.mutation is ClaimMutation.release_expired:
            state = ClaimState.released
        expired = dataclasses.replace(claim, state=state)
        return self._decide_waiting(world, host, expired)

    def resolve_owner(self, world: ClaimWorld, host: int) -> ClaimWorld:
        """Complete the row transaction of a host; it writes an empty row."""
        owner = world.owner_on(host)
        row = world.row or owner
        if self.mutation is ClaimMutation.trust_any_row and row.host == host:
            row = owner
        world = dataclasses.replace(
            world,
            row=row,
            row_pending=replace_at(world.row_pending, host, False),
        )
        if row == owner:
            world = world.with_claim(host, LedgerClaim())
        for attempt, state in enumerate(world.attempts):
            is_on_host = self.hosts_by_attempt[attempt] == host
            if is_on_host and state is AttemptState.pending:
                world = self._request_from_owner(world, attempt)
        return world

    def replace(self, world: ClaimWorld, host: int) -> ClaimWorld:
        """Replace the control process of a host, which loses its state."""
        on_this_host = {
            attempt
            for attempt, attempt_host in enumerate(self.hosts_by_attempt)
            if attempt_host == host
        }
        incarnation = world.incarnations[host] + 1
        attempts = tuple(
            AttemptState.ended
            if attempt in on_this_host and state in STATES_LOST_ON_REPLACEMENT
            else state
            for attempt, state in enumerate(world.attempts)
        )
        return dataclasses.replace(
            world,
            incarnations=replace_at(world.incarnations, host, incarnation),
            ledgers=replace_at(world.ledgers, host, None),
            row_pending=replace_at(world.row_pending, host, False),
            attempts=attempts,
            tracked=world.tracked - on_this_host,
        )

    def _request_from_owner(
        self, world: ClaimWorld, attempt: int
    ) -> ClaimWorld:
        host = self.hosts_by_attempt[attempt]
        if world.row == world.owner_on(host):
            return self.decide(world, host, attempt)
        if world.row is not None and world.row.host == host:
            # An earlier process of this host owned the key.
            return world.with_attempt(attempt, AttemptState.given_up)
        return world.with_message('request', attempt)

    def _answer(
        self, world: ClaimWorld, host: int, attempt: int, verdict: str
    ) -> ClaimWorld:
        if self.hosts_by_attempt[attempt] == host:
            return self.deliver_verdict(world, attempt, verdict)
        return world.with_message(verdict, attempt)

    def _decline(
        self, world: ClaimWorld, attempt: int, verdict: str
    ) -> ClaimWorld:
        given_up = world.attempts[attempt] is AttemptState.given_up
        if verdict != 'run':
            return world
        if given_up:
            world = world.with_attempt(attempt, AttemptState.ended)
            world = world.without_tracked(attempt)
        if given_up or self.mutation is ClaimMutation.decline_any:
            return self._report(world, attempt, RequestOutcome.not_run)
        return world

    def _report(
        self, world: ClaimWorld, attempt: int, outcome: RequestOutcome
    ) -> ClaimWorld:
        host = self.hosts_by_attempt[attempt]
        if world.row is None:
            return world
        if world.row == world.owner_on(host):
            return self.record(world, host, attempt, outcome)
        if world.row.host == host:
            return world
        return world.with_message('finish', attempt, outcome)

    def _decide_waiting(
        self, world: ClaimWorld, host: int, claim: LedgerClaim
    ) -> ClaimWorld:
        idle = dataclasses.replace(claim, waiting=())
        world = world.with_claim(host, idle)
        for attempt in claim.waiting:
            world = self.decide(world, host, attempt)
        return world
