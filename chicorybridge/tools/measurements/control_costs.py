"""What the decisions of a control process cost, by hosts and targets.

Control systems of many hosts run in one process over the faulty channel.
What is counted is a host's share: messages that it sends, their bytes on
the wire, requests to the platform, and processor time of its decisions
with the coding of messages; sockets are left out.
"""

import dataclasses
import random
import time
from collections.abc import Iterator, Sequence
from types import MappingProxyType
from typing import Any

from chicorybridge.common.clocks import (
    MILLIS_PER_SECOND,
    NANOS_PER_MILLI,
    Millis,
)
from chicorybridge.common.identities import (
    ApplyId,
    HostId,
    Incarnation,
    TargetId,
    Version,
)
from chicorybridge.common.systems import Effects, System
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.configuration.heads import write_version
from chicorybridge.configuration.versions import HeadVersion
from chicorybridge.control.control_systems import ControlSystems
from chicorybridge.control.sessions import EntryTable
from chicorybridge.detection.observations import Observations, Tally
from chicorybridge.fleet.profiles import HostProfile
from chicorybridge.storage.stores import HostState, ListedHost, PutObject
from chicorybridge.tools.measurements.slopes import Slope, fit
from chicorybridge.tools.models.synthetics import Sizes, make_declaration
from chicorybridge.tools.simulations.counting_channels import CountingChannel

WARM_UP_MS = 6000
MEASURED_MS = 10_000

HOST_COUNTS = (6, 12, 20, 44)
SERVICE_COUNTS = (4, 40, 145, 290)
TARGET_COUNTS = (100, 400, 1600, 4000)
# Below the number of hosts, so that most reports go to a judge alone.
EVIDENCE_RATES = (0, 10, 20, 40)
OUT_COUNTS = (0, 4, 8, 16)

FEW_TARGETS = 40
SMALL = Sizes(services=4, targets=FEW_TARGETS, routes=4, workspaces=4)
FEW_HOSTS = 6
MANY_HOSTS = 44
OBSERVATION_MS = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Cost:
    """What one host spends in a second."""

    messages: float
    bytes_sent: float
    platform_requests: float
    processor_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """What each host's entry reports in a second.

    `reported` healthy targets at random and the first `failing` ones,
    which are ejected as far as the floor allows.
    """

    reported: int = 0
    failing: int = 0


IDLE = Load()

UNITS_BY_FIELD = MappingProxyType(
    {
        'messages': 'messages',
        'bytes_sent': 'bytes',
        'platform_requests': 'requests',
        'processor_ms': 'ms',
    }
)


class ControlHost(System):
    """The joined systems of one host as the channel knows systems."""

    def __init__(self, *, systems: ControlSystems) -> None:
        """Pass everything on to `systems`."""
        self._systems = systems

    def tick(self, *, now: Millis) -> Effects:
        """Tick all systems."""
        return self._systems.tick(now=now)

    def receive(self, message: Any, *, sender: HostId, now: Millis) -> Effects:
        """Pass a message to all systems."""
        return self._systems.receive(message, sender=sender, now=now)


class ControlFleet:
    """Control systems of many hosts that hold the same declaration."""

    def __init__(
        self, *, hosts: int, declaration: Declaration, seed: int = 1
    ) -> None:
        """Start all hosts, two zones a region."""
        self.channel = CountingChannel(seed=seed)
        self._declaration = declaration
        self._rng = random.Random(seed)
        self._targets = tuple(declaration.targets_by_id)
        self.systems_by_host: dict[HostId, ControlSystems] = {}
        self._publish(declaration)
        for number in range(hosts):
            self._start(number)

    def run(self, *, for_ms: float, load: Load) -> None:
        """Advance all hosts, with reports of their entries each second."""
        for _ in range(round(for_ms / OBSERVATION_MS)):
            self._observe(load)
            self.channel.run(for_ms=OBSERVATION_MS)
            self.channel.entry_messages.clear()

    def cost(self, *, load: Load = IDLE) -> Cost:
        """Return what a host spends in a second once all is quiet."""
        self.run(for_ms=WARM_UP_MS, load=load)
        self._require_configured()
        self.channel.reset()
        begun = time.process_time_ns()
        self.run(for_ms=MEASURED_MS, load=load)
        used_ms = (time.process_time_ns() - begun) / NANOS_PER_MILLI
        seconds = MEASURED_MS / MILLIS_PER_SECOND
        share = len(self.systems_by_host) * seconds
        return Cost(
            messages=self.channel.messages / share,
            bytes_sent=self.channel.bytes_sent / share,
            platform_requests=self.channel.platform_requests / share,
            processor_ms=used_ms / share,
        )

    def _observe(self, load: Load) -> None:
        if not load.reported and not load.failing:
            return
        failing = [_failing(each) for each in self._targets[: load.failing]]
        for host_id in self.systems_by_host:
            seen = self._rng.sample(self._targets, load.reported)
            tallies = (*map(_tally, seen), *failing)
            message = Observations(tallies=tallies)
            self.channel.deliver(host_id, message, sender=host_id)

    def _publish(self, declaration: Declaration) -> None:
        store = self.channel.store
        digest = declaration.digest
        head = HeadVersion(
            version=Version(1), digest=digest, apply_id=ApplyId('first')
        )
        store.execute(PutObject(digest=digest, body=declaration.body))
        store.execute(write_version(head))

    def _require_configured(self) -> None:
        for host_id, systems in self.systems_by_host.items():
            if systems.rollouts.confirmed != 1:
                raise RuntimeError(f'{host_id} holds no configuration')

    def _start(self, number: int) -> None:
        zones = tuple(self._declaration.zones_by_id.values())
        zone = zones[number % len(zones)]
        host_id = HostId(f'host-{number}')
        profile = HostProfile(
            host_id=host_id,
            incarnation=Incarnation(number + 1),
            address=f'127.0.0.1:{number}',
            entries=(f'127.0.1.1:{number}',),
            zone_id=zone.zone_id,
            region_id=zone.region_id,
        )
        systems = ControlSystems(
            profile=profile,
            clock=self.channel.clock,
            rng=random.Random(number),
            seeds=(),
            entries=EntryTable(),
        )
        self.systems_by_host[host_id] = systems
        tables = self.channel.store.tables
        tables.hosts_by_id[host_id] = ListedHost(
            host_id=host_id, address=profile.address, state=HostState.live
        )
        self.channel.add(host_id, ControlHost(systems=systems))


def _tally(target_id: TargetId) -> Tally:
    return Tally(
        target_id=target_id, answered=1, latency_weight=1, latency_shift=0.1
    )


def _failing(target_id: TargetId) -> Tally:
    return Tally(target_id=target_id, failed=3)


def _measure(*, hosts: int, targets: int, load: Load = IDLE) -> Cost:
    declaration = make_declaration(dataclasses.replace(SMALL, targets=targets))
    fleet = ControlFleet(hosts=hosts, declaration=declaration)
    return fleet.cost(load=load)


def _measure_services(services: int) -> Cost:
    sizes = dataclasses.replace(
        SMALL, services=services, targets=TARGET_COUNTS[1]
    )
    declaration = make_declaration(sizes)
    return ControlFleet(hosts=FEW_HOSTS, declaration=declaration).cost()


def measure_controls() -> Iterator[Slope]:
    """Yield the slopes by hosts, targets, evidence and ejections."""
    yield from _fit_all(
        'hosts',
        HOST_COUNTS,
        [_measure(hosts=size, targets=FEW_TARGETS) for size in HOST_COUNTS],
    )
    yield from _fit_all(
        'services',
        SERVICE_COUNTS,
        [_measure_services(size) for size in SERVICE_COUNTS],
    )
    yield from _fit_all(
        'targets',
        TARGET_COUNTS,
        [_measure(hosts=FEW_HOSTS, targets=size) for size in TARGET_COUNTS],
    )
    yield from _fit_all(
        'targets reported a second',
        EVIDENCE_RATES,
        [_measure_load(Load(reported=size)) for size in EVIDENCE_RATES],
    )
    yield from _fit_all(
        'failing targets',
        OUT_COUNTS,
        [_measure_load(Load(failing=size)) for size in OUT_COUNTS],
    )


def _measure_load(load: Load) -> Cost:
    return _measure(hosts=MANY_HOSTS, targets=TARGET_COUNTS[0], load=load)


def _fit_all(
    size_unit: str, sizes: Sequence[int], costs: Sequence[Cost]
) -> Iterator[Slope]:
    for field in dataclasses.fields(Cost):
        yield fit(
            f'control {field.name} a second by {size_unit}',
            unit=UNITS_BY_FIELD[field.name],
            size_unit=size_unit,
            points=[
                (size, getattr(cost, field.name))
                for size, cost in zip(sizes, costs, strict=True)
            ],
        )
