"""Specification: claim and run a keyed request at most once.

One key, two hosts, several tries. Host 0 issued the key, or for a key of
a caller the platform's row assigns it. Each host has a control process
that may be replaced, entries that may pause, give up or end, and rows may
be written unanswered.
"""

import dataclasses
from collections.abc import Iterator

from chicorybridge.claims.claim_tables import ClaimState
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.tools.specifications.claim_steps import ClaimSteps
from chicorybridge.tools.specifications.claim_worlds import (
    Broken,
    ClaimWorld,
    Owner,
    TryState,
)
from chicorybridge.tools.specifications.specifications import (
    Label,
    Specification,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimSpecification(ClaimSteps):
    """Which steps can happen when."""

    def build(self) -> Specification[ClaimWorld]:
        """Return the state machine with its promises."""
        hosts = range(self.hosts)
        first = Owner(host=0, incarnation=0)
        initial = ClaimWorld(
            incarnations=tuple(0 for _ in hosts),
            row=first if self.issued else None,
            wanted=tuple(False for _ in hosts),
            ledgers=tuple(None for _ in hosts),
            tries=tuple(TryState.new for _ in self.hosts_by_try),
        )
        return Specification(
            name='claims',
            initial=initial,
            steps=self.steps,
            promises={
                'a keyed request runs at most once': lambda world: (
                    world.runs <= 1
                ),
                'what callers are told is true': lambda world: (
                    not world.wrongly_told
                ),
            },
        )

    def steps(self, world: ClaimWorld) -> Iterator[tuple[Label, ClaimWorld]]:
        """Yield every step that can happen next."""
        for number, state in enumerate(world.tries):
            yield from self._try_steps(world, number, state)
        for message in world.messages:
            after = self._deliver(world, message)
            if after != world:
                yield ('deliver', *message), after
        for host in range(self.hosts):
            yield from self._host_steps(world, host)

    def _try_steps(
        self, world: ClaimWorld, number: int, state: TryState
    ) -> Iterator[tuple[Label, ClaimWorld]]:
        if state is TryState.new and self._is_next(world, number):
            yield ('ask', number), self.ask(world, number)
        elif state is TryState.pending:
            given_up = world.with_try(number, TryState.given_up)
            yield ('give_up', number), given_up
        elif state is TryState.granted:
            running = world.with_try(number, TryState.running)
            begun = dataclasses.replace(running, runs=world.runs + 1)
            yield ('begin', number), begun
            yield ('shed', number), self.shed(world, number)
            withdrawn = self.drop(world, number, RequestOutcome.not_run)
            yield ('withdraw', number), withdrawn
        elif state is TryState.running:
            done = dataclasses.replace(world, finished=True)
            complete = self.end(done, number, RequestOutcome.complete)
            yield ('complete', number), complete
            failed = self.end(world, number, RequestOutcome.unknown)
            yield ('fail', number), failed
        if state in {TryState.granted, TryState.running}:
            lost = self.drop(world, number, RequestOutcome.unknown)
            yield ('lose_entry', number), lost

    def _host_steps(
        self, world: ClaimWorld, host: int
    ) -> Iterator[tuple[Label, ClaimWorld]]:
        claim = world.ledgers[host]
        if world.wanted[host]:
            if world.row is None:
                owner = world.owner_on(host)
                written = dataclasses.replace(world, row=owner)
                yield ('write', host), written
            yield ('learn', host), self.learn(world, host)
        if claim is not None and claim.state is ClaimState.running:
            yield ('lapse', host), self.lapse(world, host, claim)
        if world.incarnations[host] < self.replacements:
            yield ('replace', host), self.replace(world, host)

    def _is_next(self, world: ClaimWorld, number: int) -> bool:
        # Tries on one host are alike, so their order is left open once.
        return not any(
            world.tries[earlier] is TryState.new
            for earlier in range(number)
            if self.hosts_by_try[earlier] == self.hosts_by_try[number]
        )

    def _deliver(self, world: ClaimWorld, message: Label) -> ClaimWorld:
        kind, number = message[0], message[1]
        if kind not in {'ask', 'finish'}:
            return self.tell(world, number, kind)
        owner = world.row
        if owner is None:
            return world
        gone = world.incarnations[owner.host] != owner.incarnation
        if gone and self.broken is not Broken.gone_decides:
            if kind == 'ask':
                return world.with_message('refuse', number)
            return world
        if kind == 'ask':
            return self.decide(world, owner.host, number)
        return self.record(world, owner.host, number, message[2])
