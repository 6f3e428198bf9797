"""Specification: a keyed request is claimed and runs at most once.

The model has one key, two hosts and several attempts. The owner of the key
is host 0 if it issued the key; the owner of a key that the caller chose is
written in a row of the platform. The control process of a host may be
replaced; its entries may pause, withdraw or end; a row may be written
without a reply.
"""

import dataclasses
from collections.abc import Iterator

from chicorybridge.claims.claim_tables import ClaimState
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.tools.specifications.claim_steps import ClaimSteps
from chicorybridge.tools.specifications.claim_worlds import (
    ClaimMutation,
    ClaimWorld,
    Owner,
    AttemptState,
)
from chicorybridge.tools.specifications.specifications import (
    Label,
    Specification,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimSpecification(ClaimSteps):
    """The steps that are possible in each world."""

    def build(self) -> Specification[ClaimWorld]:
        """Return the state machine with its invariants."""
        hosts = range(self.hosts)
        first = Owner(host=0, incarnation=0)
        initial = ClaimWorld(
            incarnations=tuple(0 for _ in hosts),
            row=first if self.issued else None,
            row_pending=tuple(False for _ in hosts),
            ledgers=tuple(None for _ in hosts),
            attempts=tuple(AttemptState.new for _ in self.hosts_by_attempt),
        )
        return Specification(
            name='claims',
            initial=initial,
            steps=self.steps,
            invariants={
                'a keyed request runs at most once': lambda world: (
                    world.runs <= 1
                ),
                'answers to callers are true': lambda world: (
                    not world.wrongly_answered
                ),
            },
        )

    def steps(self, world: ClaimWorld) -> Iterator[tuple[Label, ClaimWorld]]:
        """Yield every possible step from `world`."""
        for number, state in enumerate(world.attempts):
            yield from self._attempt_steps(world, number, state)
        for message in world.messages:
            after = self._deliver(world, message)
            if after != world:
                yield ('deliver', *message), after
        for host in range(self.hosts):
            yield from self._host_steps(world, host)

    def _attempt_steps(
        self, world: ClaimWorld, number: int, state: AttemptState
    ) -> Iterator[tuple[Label, ClaimWorld]]:
        if state is AttemptState.new and self._is_first_new(world, number):
            yield ('request', number), self.request(world, number)
        elif state is AttemptState.pending:
            given_up = world.with_attempt(number, AttemptState.given_up)
            yield ('give_up', number), given_up
        elif state is AttemptState.granted:
            running = world.with_attempt(number, AttemptState.running)
            started = dataclasses.replace(running, runs=world.runs + 1)
            yield ('start_run', number), started
            yield ('shed', number), self.shed(world, number)
            withdrawn = self.end_lost(world, number, RequestOutcome.not_run)
            yield ('withdraw', number), withdrawn
        elif state is AttemptState.running:
            done = dataclasses.replace(world, finished=True)
            complete = self.end(done, number, RequestOutcome.complete)
            yield ('complete', number), complete
            failed = self.end(world, number, RequestOutcome.unknown)
            yield ('fail', number), failed
        if state in {AttemptState.granted, AttemptState.running}:
            lost = self.end_lost(world, number, RequestOutcome.unknown)
            yield ('lose_entry', number), lost

    def _host_steps(
        self, world: ClaimWorld, host: int
    ) -> Iterator[tuple[Label, ClaimWorld]]:
        claim = world.ledgers[host]
        if world.row_pending[host]:
            if world.row is None:
                owner = world.owner_on(host)
                written = dataclasses.replace(world, row=owner)
                yield ('write_unanswered', host), written
            yield ('resolve_owner', host), self.resolve_owner(world, host)
        if claim is not None and claim.state is ClaimState.running:
            yield ('expire', host), self.expire(world, host, claim)
        if world.incarnations[host] < self.replacements:
            yield ('replace', host), self.replace(world, host)

    def _is_first_new(self, world: ClaimWorld, number: int) -> bool:
        # Attempts on one host are alike: one order of them is enough.
        return not any(
            world.attempts[earlier] is AttemptState.new
            for earlier in range(number)
            if self.hosts_by_attempt[earlier] == self.hosts_by_attempt[number]
        )

    def _deliver(self, world: ClaimWorld, message: Label) -> ClaimWorld:
        kind, number = message[0], message[1]
        if kind not in {'request', 'finish'}:
            return self.deliver_verdict(world, number, kind)
        owner = world.row
        if owner is None:
            return world
        is_replaced = world.incarnations[owner.host] != owner.incarnation
        if (
            is_replaced
            and self.mutation is not ClaimMutation.decide_for_replaced
        ):
            if kind == 'request':
                return world.with_message('refuse', number)
            return world
        if kind == 'request':
            return self.decide(world, owner.host, number)
        return self.record(world, owner.host, number, message[2])
