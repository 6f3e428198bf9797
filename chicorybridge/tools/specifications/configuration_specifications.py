"""Specification: accept a configuration once, in force on every host.

Each apply was planned against a base version. Its version is durable
first, then in force on hosts as they learn of it, then accepted. Bounds
of time stand as guards: a host counts as excused only when its lease has
ended.
"""

import dataclasses
from collections.abc import Iterator

from chicorybridge.tools.specifications.configuration_worlds import (
    ApplyState,
    BrokenConfiguration,
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
    """Steps among a few hosts; `bases` holds the base of each apply.

    With `answered` the platform answers every write at once.
    """

    hosts: int = 2
    bases: tuple[int, ...] = (0, 0, 1)
    starts: int = 1
    answered: bool = False
    broken: BrokenConfiguration | None = None

    def build(self) -> Specification[ConfigurationWorld]:
        """Return the state machine with its promises."""
        initial = ConfigurationWorld(
            hosts=tuple(ConfiguredHost() for _ in range(self.hosts)),
            applies=tuple(ApplyState.planned for _ in self.bases),
        )
        return Specification(
            name='configurations',
            initial=initial,
            steps=self.steps,
            promises={
                'an accepted version governs all': self.governs_all,
                'no host reverts': lambda world: not world.reverted,
                'operators are told the truth': self.is_truthful,
            },
        )

    def steps(self, world: ConfigurationWorld) -> Iterator[Step]:
        """Yield every step that can happen next."""
        for number, base in enumerate(self.bases):
            yield from self._apply_steps(world, number, base)
        for number, host in enumerate(world.hosts):
            yield from self._version_steps(world, number, host)
            yield from self._lease_steps(world, number, host)

    def governs_all(self, world: ConfigurationWorld) -> bool:
        """Tell whether every host that serves confirmed what is accepted."""
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

    def is_truthful(self, world: ConfigurationWorld) -> bool:
        """Tell whether conflict means not durable, and durable that it is."""
        for number, base in enumerate(self.bases):
            state = world.applies[number]
            durable = world.is_durable(number, base=base)
            if state is ApplyState.conflict and durable:
                return False
            settled = state in {ApplyState.durable, ApplyState.accepted}
            if settled and not durable:
                return False
        return True

    def _is_serving(self, host: ConfiguredHost) -> bool:
        if self.broken is BrokenConfiguration.serve_lapsed:
            return host.taking
        return host.taking and not host.lapsed

    def _apply_steps(
        self, world: ConfigurationWorld, number: int, base: int
    ) -> Iterator[Step]:
        if number in world.pending:
            yield ('effect', number), self._effect(world, number, base)
        match world.applies[number]:
            case ApplyState.planned:
                yield ('write', number), self._write(world, number, base)
            case ApplyState.sent:
                yield from self._answer_steps(world, number, base)
            case ApplyState.unsure:
                yield from self._settle_steps(world, number, base)
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
        written = self._effect(world, number, base)
        if written.is_durable(number, base=base):
            return written.with_apply(number, ApplyState.durable)
        return written.with_apply(number, ApplyState.unsure)

    def _effect(
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

    def _settle_steps(
        self, world: ConfigurationWorld, number: int, base: int
    ) -> Iterator[Step]:
        if world.is_durable(number, base=base):
            durable = world.with_apply(number, ApplyState.durable)
            yield ('settle', number), durable
        elif len(world.log) > base:
            conflict = world.with_apply(number, ApplyState.conflict)
            yield ('settle', number), conflict
        else:
            # A late effect of the first write conflicts with the second.
            planned = world.with_apply(number, ApplyState.planned)
            yield ('settle', number), planned
        if self.broken is BrokenConfiguration.guess_conflict:
            guessed = world.with_apply(number, ApplyState.conflict)
            yield ('guess', number), guessed

    def _is_confirmed(self, world: ConfigurationWorld, version: int) -> bool:
        counted = [
            host.lapsed or self._has_reported(world, number, version)
            for number, host in enumerate(world.hosts)
        ]
        if self.broken is BrokenConfiguration.accept_early:
            return any(counted)
        return all(counted)

    def _has_reported(
        self, world: ConfigurationWorld, number: int, version: int
    ) -> bool:
        starts = world.hosts[number].starts
        trusting = self.broken is BrokenConfiguration.trust_ended
        return any(
            report.host == number
            and report.confirmed >= version
            and (trusting or report.starts == starts)
            for report in world.reports
        )

    def _version_steps(
        self, world: ConfigurationWorld, number: int, host: ConfiguredHost
    ) -> Iterator[Step]:
        for version in range(1, len(world.log) + 1):
            if version > host.version:
                learnt = dataclasses.replace(host, version=version)
                label = ('learn', number, version)
                yield label, world.with_host(number, learnt)
            elif self.broken is BrokenConfiguration.take_any:
                yield self._take_back(world, number, version)
        if host.confirmed < host.version:
            confirmed = dataclasses.replace(host, confirmed=host.version)
            report = Report(
                host=number, starts=host.starts, confirmed=host.version
            )
            told = dataclasses.replace(world, reports=world.reports | {report})
            yield ('confirm', number), told.with_host(number, confirmed)

    def _take_back(
        self, world: ConfigurationWorld, number: int, version: int
    ) -> Step:
        host = world.hosts[number]
        taken = dataclasses.replace(host, version=version)
        reverted = world.reverted or version < host.version
        after = dataclasses.replace(world, reverted=reverted)
        return ('learn', number, version), after.with_host(number, taken)

    def _lease_steps(
        self, world: ConfigurationWorld, number: int, host: ConfiguredHost
    ) -> Iterator[Step]:
        if host.starts < self.starts:
            started = ConfiguredHost(starts=host.starts + 1)
            yield ('replace', number), world.with_host(number, started)
        if host.lapsed:
            # It is heard again, and has noticed that its lease ended.
            heard = dataclasses.replace(host, lapsed=False, taking=False)
            yield ('hear', number), world.with_host(number, heard)
            return
        lapsed = dataclasses.replace(host, lapsed=True)
        yield ('lapse', number), world.with_host(number, lapsed)
        if not host.taking and self._may_join(world, number):
            taking = dataclasses.replace(host, taking=True)
            yield ('join', number), world.with_host(number, taking)

    def _may_join(self, world: ConfigurationWorld, number: int) -> bool:
        confirmed = world.hosts[number].confirmed
        if not confirmed:
            return False
        if confirmed == len(world.log):
            # Read from the platform.
            return True
        return any(
            peer.version <= confirmed and _may_vouch(peer, self.broken)
            for other, peer in enumerate(world.hosts)
            if other != number
        )


def _may_vouch(
    peer: ConfiguredHost, broken: BrokenConfiguration | None
) -> bool:
    if broken is BrokenConfiguration.join_any:
        return not peer.lapsed and peer.version > 0
    return peer.taking and not peer.lapsed
