"""What each step of the specification of claims does."""

import dataclasses

from chicorybridge.claims.claim_ledgers import (
    STATES_BY_OUTCOME,
    UNFINISHED_STATES,
)
from chicorybridge.claims.claim_tables import ClaimState
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.tools.specifications.claim_worlds import (
    Broken,
    ClaimWorld,
    LedgerClaim,
    TryState,
)
from chicorybridge.tools.specifications.specifications import replace_at

# What a control process forgets when it is replaced.
FORGOTTEN_STATES = frozenset((TryState.pending, TryState.given_up))


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimSteps:
    """Steps of the protocol; `hosts_by_try` says where each try goes."""

    hosts_by_try: tuple[int, ...] = (0, 1)
    hosts: int = 2
    issued: bool = True
    replacements: int = 1
    broken: Broken | None = None

    def ask(self, world: ClaimWorld, number: int) -> ClaimWorld:
        host = self.hosts_by_try[number]
        world = world.with_try(number, TryState.pending)
        world = dataclasses.replace(world, known=world.known | {number})
        if self.issued:
            return self._route(world, number)
        if world.ledgers[host] is not None:
            return self.decide(world, host, number)
        return dataclasses.replace(
            world, wanted=replace_at(world.wanted, host, True)
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

    def tell(self, world: ClaimWorld, number: int, verdict: str) -> ClaimWorld:
        state = world.tries[number]
        if state is not TryState.pending:
            return self._decline(world, number, verdict)
        if verdict == 'run':
            return world.with_try(number, TryState.granted)
        wrong = verdict == 'replay' and not world.finished
        wrong = wrong or (verdict == 'withdrawn' and world.runs > 0)
        world = world.with_try(number, TryState.ended)
        return world.without_known(number).told(wrongly=wrong)

    def shed(self, world: ClaimWorld, number: int) -> ClaimWorld:
        world = world.told(wrongly=world.runs > 0)
        return self.end(world, number, RequestOutcome.not_run)

    def drop(
        self, world: ClaimWorld, number: int, outcome: RequestOutcome
    ) -> ClaimWorld:
        if number in world.known:
            return self.end(world, number, outcome)
        # The control process was replaced: nobody can report for the try.
        return world.with_try(number, TryState.ended)

    def end(
        self, world: ClaimWorld, number: int, outcome: RequestOutcome
    ) -> ClaimWorld:
        world = world.with_try(number, TryState.ended)
        world = world.without_known(number)
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
        if claim.holder != number and self.broken is not Broken.any_report:
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

    def lapse(
        self, world: ClaimWorld, host: int, claim: LedgerClaim
    ) -> ClaimWorld:
        state = ClaimState.unknown
        if self.broken is Broken.lapse_frees:
            state = ClaimState.released
        lapsed = dataclasses.replace(claim, state=state)
        return self._decide_waiting(world, host, lapsed)

    def learn(self, world: ClaimWorld, host: int) -> ClaimWorld:
        owner = world.owner_on(host)
        row = world.row or owner
        if self.broken is Broken.row_trusted and row.host == host:
            row = owner
        world = dataclasses.replace(
            world, row=row, wanted=replace_at(world.wanted, host, False)
        )
        if row == owner:
            world = world.with_claim(host, LedgerClaim())
        for number, state in enumerate(world.tries):
            on_host = self.hosts_by_try[number] == host
            if on_host and state is TryState.pending:
                world = self._route(world, number)
        return world

    def replace(self, world: ClaimWorld, host: int) -> ClaimWorld:
        here = {
            number
            for number, on_host in enumerate(self.hosts_by_try)
            if on_host == host
        }
        incarnation = world.incarnations[host] + 1
        tries = tuple(
            TryState.ended
            if number in here and state in FORGOTTEN_STATES
            else state
            for number, state in enumerate(world.tries)
        )
        return dataclasses.replace(
            world,
            incarnations=replace_at(world.incarnations, host, incarnation),
            ledgers=replace_at(world.ledgers, host, None),
            wanted=replace_at(world.wanted, host, False),
            tries=tries,
            known=world.known - here,
        )

    def _route(self, world: ClaimWorld, number: int) -> ClaimWorld:
        host = self.hosts_by_try[number]
        if world.row == world.owner_on(host):
            return self.decide(world, host, number)
        if world.row is not None and world.row.host == host:
            # An earlier process of this host owned the key.
            return world.with_try(number, TryState.given_up)
        return world.with_message('ask', number)

    def _answer(
        self, world: ClaimWorld, host: int, number: int, verdict: str
    ) -> ClaimWorld:
        if self.hosts_by_try[number] == host:
            return self.tell(world, number, verdict)
        return world.with_message(verdict, number)

    def _decline(
        self, world: ClaimWorld, number: int, verdict: str
    ) -> ClaimWorld:
        given_up = world.tries[number] is TryState.given_up
        if verdict != 'run':
            return world
        if given_up:
            world = world.with_try(number, TryState.ended)
            world = world.without_known(number)
        if given_up or self.broken is Broken.decline_any:
            return self._report(world, number, RequestOutcome.not_run)
        return world

    def _report(
        self, world: ClaimWorld, number: int, outcome: RequestOutcome
    ) -> ClaimWorld:
        host = self.hosts_by_try[number]
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
