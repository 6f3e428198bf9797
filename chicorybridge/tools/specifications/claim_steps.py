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
    """Effects of the steps on the world.

    `hosts_by_attempt` holds the host that receives each attempt;
    `issued` means that host 0 issued the key; `replacements` is the
    maximum for the control process of each host.
    """

    hosts_by_attempt: tuple[int, ...] = (0, 1)
    hosts: int = 2
    issued: bool = True
    replacements: int = 1
    mutation: ClaimMutation | None = None

    def request(self, world: ClaimWorld, number: int) -> ClaimWorld:
        host = self.hosts_by_attempt[number]
        world = world.with_attempt(number, AttemptState.pending)
        world = dataclasses.replace(world, tracked=world.tracked | {number})
        if self.issued:
            return self._request_from_owner(world, number)
        if world.ledgers[host] is not None:
            return self.decide(world, host, number)
        return dataclasses.replace(
            world, row_pending=replace_at(world.row_pending, host, True)
        )

    def decide(self, world: ClaimWorld, host: int, number: int) -> ClaimWorld:
        claim = world.ledgers[host]
        if claim is None and not self.issued:
            return self._answer(world, host, number, 'refuse')
        claim = claim or LedgerClaim()
        if number in claim.withdrawn:
            return self._answer(world, host, number, 'withdrawn')
        if claim.state is ClaimState.released:
            claim = dataclasses.replace(
                claim, state=ClaimState.running, holder=number
            )
            world = world.with_claim(host, claim)
        if claim.state is ClaimState.complete:
            return self._answer(world, host, number, 'replay')
        if claim.state is ClaimState.unknown:
            return self._answer(world, host, number, 'refuse')
        if claim.holder == number:
            return self._answer(world, host, number, 'run')
        if number in claim.waiting:
            return world
        waiting = (*claim.waiting, number)
        claim = dataclasses.replace(claim, waiting=waiting)
        return world.with_claim(host, claim)

    def deliver_verdict(
        self, world: ClaimWorld, number: int, verdict: str
    ) -> ClaimWorld:
        state = world.attempts[number]
        if state is not AttemptState.pending:
            return self._decline(world, number, verdict)
        if verdict == 'run':
            return world.with_attempt(number, AttemptState.granted)
        wrong = verdict == 'replay' and not world.finished
        wrong = wrong or (verdict == 'withdrawn' and world.runs > 0)
        world = world.with_attempt(number, AttemptState.ended)
        return world.without_tracked(number).with_answer(is_wrong=wrong)

    def shed(self, world: ClaimWorld, number: int) -> ClaimWorld:
        world = world.with_answer(is_wrong=world.runs > 0)
        return self.end(world, number, RequestOutcome.not_run)

    def end_lost(
        self, world: ClaimWorld, number: int, outcome: RequestOutcome
    ) -> ClaimWorld:
        if number in world.tracked:
            return self.end(world, number, outcome)
        # The control process was replaced: no process reports the attempt.
        return world.with_attempt(number, AttemptState.ended)

    def end(
        self, world: ClaimWorld, number: int, outcome: RequestOutcome
    ) -> ClaimWorld:
        world = world.with_attempt(number, AttemptState.ended)
        world = world.without_tracked(number)
        return self._report(world, number, outcome)

    def record(
        self,
        world: ClaimWorld,
        host: int,
        number: int,
        outcome: RequestOutcome,
    ) -> ClaimWorld:
        claim = world.ledgers[host]
        if claim is None:
            return world
        if (
            claim.holder != number
            and self.mutation is not ClaimMutation.accept_any_report
        ):
            return world
        if claim.state not in UNFINISHED_STATES:
            return world
        withdrawn = claim.withdrawn
        if outcome is RequestOutcome.not_run:
            withdrawn |= {number}
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
        state = ClaimState.unknown
        if self.mutation is ClaimMutation.release_expired:
            state = ClaimState.released
        expired = dataclasses.replace(claim, state=state)
        return self._decide_waiting(world, host, expired)

    def resolve_owner(self, world: ClaimWorld, host: int) -> ClaimWorld:
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
        for number, state in enumerate(world.attempts):
            on_host = self.hosts_by_attempt[number] == host
            if on_host and state is AttemptState.pending:
                world = self._request_from_owner(world, number)
        return world

    def replace(self, world: ClaimWorld, host: int) -> ClaimWorld:
        on_this_host = {
            number
            for number, on_host in enumerate(self.hosts_by_attempt)
            if on_host == host
        }
        incarnation = world.incarnations[host] + 1
        attempts = tuple(
            AttemptState.ended
            if number in on_this_host and state in STATES_LOST_ON_REPLACEMENT
            else state
            for number, state in enumerate(world.attempts)
        )
        return dataclasses.replace(
            world,
            incarnations=replace_at(world.incarnations, host, incarnation),
            ledgers=replace_at(world.ledgers, host, None),
            row_pending=replace_at(world.row_pending, host, False),
            attempts=attempts,
            tracked=world.tracked - on_this_host,
        )

    def _request_from_owner(self, world: ClaimWorld, number: int) -> ClaimWorld:
        host = self.hosts_by_attempt[number]
        if world.row == world.owner_on(host):
            return self.decide(world, host, number)
        if world.row is not None and world.row.host == host:
            # An earlier process of this host owned the key.
            return world.with_attempt(number, AttemptState.given_up)
        return world.with_message('request', number)

    def _answer(
        self, world: ClaimWorld, host: int, number: int, verdict: str
    ) -> ClaimWorld:
        if self.hosts_by_attempt[number] == host:
            return self.deliver_verdict(world, number, verdict)
        return world.with_message(verdict, number)

    def _decline(
        self, world: ClaimWorld, number: int, verdict: str
    ) -> ClaimWorld:
        given_up = world.attempts[number] is AttemptState.given_up
        if verdict != 'run':
            return world
        if given_up:
            world = world.with_attempt(number, AttemptState.ended)
            world = world.without_tracked(number)
        if given_up or self.mutation is ClaimMutation.decline_any:
            return self._report(world, number, RequestOutcome.not_run)
        return world

    def _report(
        self, world: ClaimWorld, number: int, outcome: RequestOutcome
    ) -> ClaimWorld:
        host = self.hosts_by_attempt[number]
        if world.row is None:
            return world
        if world.row == world.owner_on(host):
            return self.record(world, host, number, outcome)
        if world.row.host == host:
            return world
        return world.with_message('finish', number, outcome)

    def _decide_waiting(
        self, world: ClaimWorld, host: int, claim: LedgerClaim
    ) -> ClaimWorld:
        idle = dataclasses.replace(claim, waiting=())
        world = world.with_claim(host, idle)
        for number in claim.waiting:
            world = self.decide(world, host, number)
        return world
