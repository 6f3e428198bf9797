"""Specification: accept a configuration once every host has confirmed it.

Each apply was planned against a base version. Its version first becomes
durable, then hosts receive and confirm it, then it is accepted. Guards
stand for timeouts: a host is excused only when its lease has expired.
"""

import dataclasses
from collections.abc import Iterator

from chicorybridge.tools.specifications.configuration_worlds import (
    ApplyState,
    ConfigurationMutation,
    ConfigurationWorld,
    ConfiguredHost,
    Report,
)
from chicorybridge.tools.specifications.specifications import (
    Specification,
    Step,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationSpecification:
    """Steps of a few hosts; `bases` holds the base version of each apply.

    `starts` limits the restarts of each host. With `answered` the platform
    answers every write at once. In the steps, `number` is the index of an
    apply or of a host.
    """

    hosts: int = 2
    bases: tuple[int, ...] = (0, 0, 1)
    starts: int = 1
    answered: bool = False
    mutation: ConfigurationMutation | None = None

    def build(self) -> Specification[ConfigurationWorld]:
        """Return the state machine with its invariants."""
        initial = ConfigurationWorld(
            hosts=tuple(ConfiguredHost() for _ in range(self.hosts)),
            applies=tuple(ApplyState.planned for _ in self.bases),
        )
        return Specification(
            name='configurations',
            initial=initial,
            steps=self.steps,
            invariants={
                'serving hosts have confirmed the accepted version': (
                    self.is_confirmed_by_serving
                ),
                'no host reverts to an older version': lambda world: (
                    not world.reverted
                ),
                'states reported to operators are true': self.are_states_true,
            },
        )

    def steps(self, world: ConfigurationWorld) -> Iterator[Step]:
        """Yield every possible step from `world`."""
        for number, base in enumerate(self.bases):
            yield from self._apply_steps(world, number, base)
        for number, host in enumerate(world.hosts):
            yield from self._version_steps(world, number, host)
            yield from self._lease_steps(world, number, host)

    def is_confirmed_by_serving(self, world: ConfigurationWorld) -> bool:
        """Return whether all serving hosts confirmed the accepted version."""
        accepted = [
            base + 1
            for number, base in enumerate(self.bases)
            if world.applies[number] is ApplyState.accepted
        ]
        newest = max(accepted, default=0)
        return all(
            host.confirmed >= newest
            for host in world.hosts
            if self._is_serving(host)
        )

    def are_states_true(self, world: ConfigurationWorld) -> bool:
        """Return whether each state that an operator sees is true.

        A version that is `durable` or `accepted` must be in the log, one
        with a `conflict` must not.
        """
        for number, base in enumerate(self.bases):
            state = world.applies[number]
            durable = world.is_durable(number, base=base)
            if state is ApplyState.conflict and durable:
                return False
            reported_durable = state in {
                ApplyState.durable,
                ApplyState.accepted,
            }
            if reported_durable and not durable:
                return False
        return True

    def _is_serving(self, host: ConfiguredHost) -> bool:
        if self.mutation is ConfigurationMutation.serve_expired:
            return host.taking
        return host.taking and not host.expired

    def _apply_steps(
        self, world: ConfigurationWorld, number: int, base: int
    ) -> Iterator[Step]:
        if number in world.pending:
            yield (
                ('take_effect', number),
                self._take_effect(world, number, base),
            )
        match world.applies[number]:
            case ApplyState.planned:
                yield ('write', number), self._write(world, number, base)
            case ApplyState.sent:
                yield from self._answer_steps(world, number, base)
            case ApplyState.unsure:
                yield from self._resolve_steps(world, number, base)
            case ApplyState.durable:
                if self._is_confirmed(world, base + 1):
                    accepted = world.with_apply(number, ApplyState.accepted)
                    yield ('accept', number), accepted

    def _write(
        self, world: ConfigurationWorld, number: int, base: int
    ) -> ConfigurationWorld:
        if not self.answered:
            sent = dataclasses.replace(world, pending=world.pending | {number})
            return sent.with_apply(number, ApplyState.sent)
        written = self._take_effect(world, number, base)
        if written.is_durable(number, base=base):
            return written.with_apply(number, ApplyState.durable)
        return written.with_apply(number, ApplyState.unsure)

    def _take_effect(
        self, world: ConfigurationWorld, number: int, base: int
    ) -> ConfigurationWorld:
        world = dataclasses.replace(world, pending=world.pending - {number})
        if len(world.log) != base:
            return world
        return dataclasses.replace(world, log=(*world.log, number))

    def _answer_steps(
        self, world: ConfigurationWorld, number: int, base: int
    ) -> Iterator[Step]:
        unsure = world.with_apply(number, ApplyState.unsure)
        yield ('lose_answer', number), unsure
        if number in world.pending:
            return
        if world.is_durable(number, base=base):
            durable = world.with_apply(number, ApplyState.durable)
            yield ('answer', number), durable

    def _resolve_steps(
        self, world: ConfigurationWorld, number: int, base: int
    ) -> Iterator[Step]:
        if world.is_durable(number, base=base):
            durable = world.with_apply(number, ApplyState.durable)
            yield ('resolve', number), durable
        elif len(world.log) > base:
            conflict = world.with_apply(number, ApplyState.conflict)
            yield ('resolve', number), conflict
        else:
            # If the first write takes effect late, the second one conflicts.
            planned = world.with_apply(number, ApplyState.planned)
            yield ('resolve', number), planned
        if self.mutation is ConfigurationMutation.guess_conflict:
            guessed = world.with_apply(number, ApplyState.conflict)
            yield ('guess', number), guessed

    def _is_confirmed(self, world: ConfigurationWorld, version: int) -> bool:
        confirmed_or_expired = [
            host.expired or self._has_reported(world, number, version)
            for number, host in enumerate(world.hosts)
        ]
        if self.mutation is ConfigurationMutation.accept_early:
            return any(confirmed_or_expired)
        return all(confirmed_or_expired)

    def _has_reported(
        self, world: ConfigurationWorld, number: int, version: int
    ) -> bool:
        starts = world.hosts[number].starts
        any_process = self.mutation is ConfigurationMutation.trust_replaced
        return any(
            report.host == number
            and report.confirmed >= version
            and (any_process or report.starts == starts)
            for report in world.reports
        )

    def _version_steps(
        self, world: ConfigurationWorld, number: int, host: ConfiguredHost
    ) -> Iterator[Step]:
        for version in range(1, len(world.log) + 1):
            if version > host.version:
                updated = dataclasses.replace(host, version=version)
                label = ('receive', number, version)
                yield label, world.with_host(number, updated)
            elif self.mutation is ConfigurationMutation.accept_any_version:
                yield self._revert(world, number, version)
        if host.confirmed < host.version:
            confirmed = dataclasses.replace(host, confirmed=host.version)
            report = Report(
                host=number, starts=host.starts, confirmed=host.version
            )
            reported = dataclasses.replace(
                world, reports=world.reports | {report}
            )
            yield ('confirm', number), reported.with_host(number, confirmed)

    def _revert(
        self, world: ConfigurationWorld, number: int, version: int
    ) -> Step:
        host = world.hosts[number]
        taken = dataclasses.replace(host, version=version)
        reverted = world.reverted or version < host.version
        after = dataclasses.replace(world, reverted=reverted)
        return ('receive', number, version), after.with_host(number, taken)

    def _lease_steps(
        self, world: ConfigurationWorld, number: int, host: ConfiguredHost
    ) -> Iterator[Step]:
        if host.starts < self.starts:
            started = ConfiguredHost(starts=host.starts + 1)
            yield ('replace', number), world.with_host(number, started)
        if host.expired:
            # The host has contact again and left service at the expiry.
            reconnected = dataclasses.replace(host, expired=False, taking=False)
            yield ('reconnect', number), world.with_host(number, reconnected)
            return
        expired = dataclasses.replace(host, expired=True)
        yield ('expire', number), world.with_host(number, expired)
        if not host.taking and self._may_join(world, number):
            taking = dataclasses.replace(host, taking=True)
            yield ('join', number), world.with_host(number, taking)

    def _may_join(self, world: ConfigurationWorld, number: int) -> bool:
        confirmed = world.hosts[number].confirmed
        if not confirmed:
            return False
        if confirmed == len(world.log):
            # The host has read the newest version from the platform.
            return True
        return any(
            peer.version <= confirmed and _may_admit(peer, self.mutation)
            for other, peer in enumerate(world.hosts)
            if other != number
        )


def _may_admit(
    peer: ConfiguredHost, mutation: ConfigurationMutation | None
) -> bool:
    if mutation is ConfigurationMutation.join_any:
        return not peer.expired and peer.version > 0
    return peer.taking and not peer.expired
