"""Explain what real hosts do by the specification of configurations.

After each tick the state of a fleet is compared with the one before. The
change must come about by steps of the specification, in some order; a
fleet that does what the specification forbids is left unexplained.
"""

import dataclasses
import itertools
from collections.abc import Callable, Iterator

from chicorybridge.common.identities import HostId, Incarnation
from chicorybridge.configuration.heads import TABLE, head_from
from chicorybridge.storage.stores import ScanRows
from chicorybridge.tools.simulations.fleets import Fleet
from chicorybridge.tools.specifications.configuration_specifications import (
    ConfigurationSpecification,
)
from chicorybridge.tools.specifications.configuration_worlds import (
    ApplyState,
    ConfigurationWorld,
)
from chicorybridge.tools.specifications.specifications import Label

STARTS = 1000
VERSION_PREFIX = 'version/'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostSeen:
    """What can be seen of one host; `serving` by its lease."""

    starts: int
    version: int
    confirmed: int
    serving: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FleetSeen:
    """What can be seen of a fleet: durable versions, hosts, accepted."""

    durable: int
    accepted: int
    hosts: tuple[HostSeen, ...]


Phase = Callable[[FleetSeen, ConfigurationWorld], Iterator[Label]]


class ConfigurationObserver:
    """Follow a fleet through the specification, tick by tick."""

    def __init__(self, *, fleet: Fleet, versions: int) -> None:
        """Start with the fleet as it is; at most `versions` versions."""
        self._fleet = fleet
        self._host_ids: tuple[HostId, ...] = tuple(sorted(fleet.hosts_by_id))
        self._incarnations: dict[HostId, list[Incarnation]] = {
            host_id: [] for host_id in self._host_ids
        }
        self._specification = ConfigurationSpecification(
            hosts=len(self._host_ids),
            bases=tuple(range(versions)),
            starts=STARTS,
            answered=True,
        )
        self._phases: tuple[Phase, ...] = (
            _durable_steps,
            _version_steps,
            _lapse_steps,
            _join_steps,
            _accept_steps,
        )
        self.world = self._specification.build().initial

    def follow(self, seen: FleetSeen) -> bool:
        """Tell whether steps lead to what is seen, and take them."""
        if _shows(self.world, seen):
            return True
        for phases in itertools.permutations(self._phases):
            after = self._take(phases, seen)
            if after is not None and _shows(after, seen):
                self.world = after
                return True
        return False

    def look(self, *, accepted: int) -> FleetSeen:
        """Return what is seen of the fleet now."""
        store = self._fleet.channel.store
        scan = ScanRows(table=TABLE, prefix=VERSION_PREFIX)
        rows = store.tables.execute(scan).rows
        heads = [head_from(row) for row in rows]
        return FleetSeen(
            durable=max((head.version for head in heads if head), default=0),
            accepted=accepted,
            hosts=tuple(map(self._look_at, self._host_ids)),
        )

    def _look_at(self, host_id: HostId) -> HostSeen:
        host = self._fleet.hosts_by_id[host_id]
        incarnation = host.members.profile.incarnation
        known = self._incarnations[host_id]
        if incarnation not in known:
            known.append(incarnation)
        active = host.rollouts.active
        now = self._fleet.channel.clock.now()
        return HostSeen(
            starts=known.index(incarnation),
            version=active.head.version if active else 0,
            confirmed=host.rollouts.confirmed,
            serving=host.rollouts.may_serve(now=now),
        )

    def _take(
        self, phases: tuple[Phase, ...], seen: FleetSeen
    ) -> ConfigurationWorld | None:
        world = self.world
        for phase in (_start_steps, *phases):
            for label in phase(seen, world):
                steps = dict(self._specification.steps(world))
                if label not in steps:
                    return None
                world = steps[label]
        return world


def _shows(world: ConfigurationWorld, seen: FleetSeen) -> bool:
    accepted = max(
        (
            number + 1
            for number, state in enumerate(world.applies)
            if state is ApplyState.accepted
        ),
        default=0,
    )
    hosts = tuple(
        HostSeen(
            starts=host.starts,
            version=host.version,
            confirmed=host.confirmed,
            serving=host.taking and not host.lapsed,
        )
        for host in world.hosts
    )
    return (len(world.log), accepted, hosts) == (
        seen.durable,
        seen.accepted,
        seen.hosts,
    )


def _start_steps(seen: FleetSeen, world: ConfigurationWorld) -> Iterator[Label]:
    for number, host in enumerate(seen.hosts):
        for _ in range(world.hosts[number].starts, host.starts):
            yield ('replace', number)


def _durable_steps(
    seen: FleetSeen, world: ConfigurationWorld
) -> Iterator[Label]:
    for number in range(len(world.log), seen.durable):
        yield ('write', number)


def _version_steps(
    seen: FleetSeen, world: ConfigurationWorld
) -> Iterator[Label]:
    for number, host in enumerate(seen.hosts):
        before = world.hosts[number]
        if host.confirmed > before.confirmed:
            if host.confirmed != before.version:
                yield ('learn', number, host.confirmed)
            yield ('confirm', number)
        if host.version > max(host.confirmed, before.version):
            yield ('learn', number, host.version)


def _lapse_steps(seen: FleetSeen, world: ConfigurationWorld) -> Iterator[Label]:
    for number, host in enumerate(seen.hosts):
        if not host.serving and not world.hosts[number].lapsed:
            yield ('lapse', number)


def _join_steps(seen: FleetSeen, world: ConfigurationWorld) -> Iterator[Label]:
    for number, host in enumerate(seen.hosts):
        before = world.hosts[number]
        if host.serving and (before.lapsed or not before.taking):
            if before.lapsed:
                yield ('hear', number)
            yield ('join', number)


def _accept_steps(
    seen: FleetSeen, world: ConfigurationWorld
) -> Iterator[Label]:
    accepted = [
        number
        for number, state in enumerate(world.applies)
        if state is ApplyState.durable and number < seen.accepted
    ]
    for number in accepted:
        yield ('accept', number)
