"""Check real hosts against the specification of configurations.

After each tick the state of a fleet is compared with the previous one.
The change must be a sequence of steps of the specification, in some order;
otherwise the observer reports that it cannot explain the change.
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

MAX_STARTS = 1000
VERSION_PREFIX = 'version/'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ObservedHost:
    """Observed state of a host; `serving` means that it has a lease."""

    starts: int
    version: int
    confirmed: int
    serving: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ObservedFleet:
    """Observed state of a fleet.

    `durable` and `accepted` are the newest such versions.
    """

    durable: int
    accepted: int
    hosts: tuple[ObservedHost, ...]


Phase = Callable[[ObservedFleet, ConfigurationWorld], Iterator[Label]]


class ConfigurationObserver:
    """Match the states of a fleet with steps of the specification."""

    def __init__(self, *, fleet: Fleet, versions: int) -> None:
        """Start with a fleet that will have at most `versions` versions."""
        self._fleet = fleet
        self._host_ids: tuple[HostId, ...] = tuple(sorted(fleet.hosts_by_id))
        self._incarnations: dict[HostId, list[Incarnation]] = {
            host_id: [] for host_id in self._host_ids
        }
        self._specification = ConfigurationSpecification(
            hosts=len(self._host_ids),
            bases=tuple(range(versions)),
            starts=MAX_STARTS,
            answered=True,
        )
        self._phases: tuple[Phase, ...] = (
            _durable_steps,
            _version_steps,
            _expire_steps,
            _join_steps,
            _accept_steps,
        )
        self.world = self._specification.build().initial

    def explain(self, observed: ObservedFleet) -> bool:
        """Advance to the observed state; return whether steps lead there."""
        if _matches(self.world, observed):
            return True
        for phases in itertools.permutations(self._phases):
            after = self._apply_phases(phases, observed)
            if after is not None and _matches(after, observed):
                self.world = after
                return True
        return False

    def observe(self, *, accepted: int) -> ObservedFleet:
        """Return the current state of the fleet."""
        store = self._fleet.channel.store
        scan = ScanRows(table=TABLE, prefix=VERSION_PREFIX)
        rows = store.tables.execute(scan).rows
        heads = [head_from(row) for row in rows]
        return ObservedFleet(
            durable=max((head.version for head in heads if head), default=0),
            accepted=accepted,
            hosts=tuple(map(self._observe_host, self._host_ids)),
        )

    def _observe_host(self, host_id: HostId) -> ObservedHost:
        host = self._fleet.hosts_by_id[host_id]
        incarnation = host.members.profile.incarnation
        incarnations = self._incarnations[host_id]
        if incarnation not in incarnations:
            incarnations.append(incarnation)
        active = host.rollouts.active
        now = self._fleet.channel.clock.now()
        return ObservedHost(
            starts=incarnations.index(incarnation),
            version=active.head.version if active else 0,
            confirmed=host.rollouts.confirmed,
            serving=host.rollouts.may_serve(now=now),
        )

    def _apply_phases(
        self, phases: tuple[Phase, ...], observed: ObservedFleet
    ) -> ConfigurationWorld | None:
        world = self.world
        for phase in (_start_steps, *phases):
            for label in phase(observed, world):
                steps = dict(self._specification.steps(world))
                if label not in steps:
                    return None
                world = steps[label]
        return world


def _matches(world: ConfigurationWorld, observed: ObservedFleet) -> bool:
    accepted = max(
        (
            number + 1
            for number, state in enumerate(world.applies)
            if state is ApplyState.accepted
        ),
        default=0,
    )
    hosts = tuple(
        ObservedHost(
            starts=host.starts,
            version=host.version,
            confirmed=host.confirmed,
            serving=host.taking and not host.expired,
        )
        for host in world.hosts
    )
    return (len(world.log), accepted, hosts) == (
        observed.durable,
        observed.accepted,
        observed.hosts,
    )


def _start_steps(
    observed: ObservedFleet, world: ConfigurationWorld
) -> Iterator[Label]:
    for number, host in enumerate(observed.hosts):
        for _ in range(world.hosts[number].starts, host.starts):
            yield ('replace', number)


def _durable_steps(
    observed: ObservedFleet, world: ConfigurationWorld
) -> Iterator[Label]:
    for number in range(len(world.log), observed.durable):
        yield ('write', number)


def _version_steps(
    observed: ObservedFleet, world: ConfigurationWorld
) -> Iterator[Label]:
    for number, host in enumerate(observed.hosts):
        before = world.hosts[number]
        if host.confirmed > before.confirmed:
            if host.confirmed != before.version:
                yield ('receive', number, host.confirmed)
            yield ('confirm', number)
        if host.version > max(host.confirmed, before.version):
            yield ('receive', number, host.version)


def _expire_steps(
    observed: ObservedFleet, world: ConfigurationWorld
) -> Iterator[Label]:
    for number, host in enumerate(observed.hosts):
        if not host.serving and not world.hosts[number].expired:
            yield ('expire', number)


def _join_steps(
    observed: ObservedFleet, world: ConfigurationWorld
) -> Iterator[Label]:
    for number, host in enumerate(observed.hosts):
        before = world.hosts[number]
        if host.serving and (before.expired or not before.taking):
            if before.expired:
                yield ('reconnect', number)
            yield ('join', number)


def _accept_steps(
    observed: ObservedFleet, world: ConfigurationWorld
) -> Iterator[Label]:
    accepted = [
        number
        for number, state in enumerate(world.applies)
        if state is ApplyState.durable and number < observed.accepted
    ]
    for number in accepted:
        yield ('accept', number)
