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
        for attempt, state in enumerate(world.attempts):
            yield from self._attempt_steps(world, attempt, state)
        for message in world.messages:
            after = self._deliver(world, message)
            if after != world:
                yield ('deliver', *message), after
        for host in range(self.hosts):
            yield from self._host_steps(world, host)

    def _attempt_steps(
        self, world: ClaimWorld, attempt: int, state: AttemptState
    ) -> Iterator[tuple[Label, ClaimWorld]]:
        if state is AttemptState.new and self._is_first_new(world, attempt):
            yield ('request', attempt), self.request(world, attempt)
        elif state is AttemptState.pending:
            given_up = world.with_attempt(attempt, AttemptState.given_up)
            yield ('give_up', attempt), given_up
        elif state is AttemptState.granted:
            running = world.with_attempt(attempt, AttemptState.running)
            started = dataclasses.replace(running, runs=world.runs + 1)
            yield ('start_run', attempt), started
            yield ('shed', attempt), self.shed(world, attempt)
            withdrawn = self.end_without_entry(
                world, attempt, RequestOutcome.not_run
            )
            yield ('withdraw', attempt), withdrawn
        elif state is AttemptState.running:
            done = dataclasses.replace(world, finished=True)
            complete = self.end(done, attempt, RequestOutcome.complete)
            yield ('complete', attempt), complete
            failed = self.end(world, attempt, RequestOutcome.unknown)
            yield ('fail', attempt), failed
        if state in {AttemptState.granted, AttemptState.running}:
            lost = self.end_without_entry(
                world, attempt, RequestOutcome.unknown
            )
            yield ('lose_entry', attempt), lost

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

    def _is_first_new(self, world: ClaimWorld, attempt: int) -> bool:
        # Attempts on one host are alike: one order of them is enough.
        return not any(
            world.attempts[earlier] is AttemptState.new
            for earlier in range(attempt)
            if self.hosts_by_attempt[earlier] == self.hosts_by_attempt[attempt]
        )

    def _deliver(self, world: ClaimWorld, message: Label) -> ClaimWorld:
        kind, attempt = message[0], message[1]
        if kind not in {'request', 'finish'}:
            return self.deliver_verdict(world, attempt, kind)
        owner = world.row
        if owner is None:
            return world
        is_replaced = world.incarnations[owner.host] != owner.incarnation
        if (
            is_replaced
            and self.mutation is not ClaimMutation.decide_for_replaced
        ):
            if kind == 'request':
                return world.with_message('refuse', attempt)
            return world
        if kind == 'request':
            return self.decide(world, owner.host, attempt)
        return self.record(world, owner.host, attempt, message[2])
