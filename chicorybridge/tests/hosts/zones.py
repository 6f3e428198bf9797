"""Hosts of one or more zones that send each other datagrams in memory."""

import dataclasses
import ipaddress
import itertools
import random
from collections import Counter
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Any, cast

from chicorybridge import settings
from chicorybridge.common.clocks import ManualClock
from chicorybridge.common.codecs import pack, unpack
from chicorybridge.common.events import EventLog
from chicorybridge.common.identities import (
    HostId,
    Incarnation,
    RegionId,
    ServiceId,
    TargetId,
    ZoneId,
)
from chicorybridge.fleet.channels import Channel
from chicorybridge.fleet.directories import TargetEntry, TargetsChanged
from chicorybridge.fleet.host_tables import HostTable
from chicorybridge.hosts.address_directories import AddressDirectory
from chicorybridge.hosts.announcers import Announcer
from chicorybridge.hosts.fleet_views import FleetView
from chicorybridge.hosts.reporters import Reporter
from chicorybridge.hosts.settings_files import HostBounds, HostSettings
from chicorybridge.hosts.states import HostPhase, HostState
from chicorybridge.routing.allowances import RetryBound

ZONE_ID = ZoneId('groningen')
REGIONS = MappingProxyType({ZONE_ID: RegionId('noord')})
TARGET_ID = TargetId('i-1')
NO_BANDWIDTHS: Mapping[int, float] = MappingProxyType({})
FIRST_INCARNATION = Incarnation(1)
STEP_MS = 10
STEPS_PER_TICK = round(settings.TICK_MS / STEP_MS)
STEPS_PER_TOTALS = 4


class ZoneHost:
    """One host; `frozen`, `off`, `mute`, `deaf` are faults."""

    def __init__(
        self,
        *,
        number: int,
        zone: 'Zone',
        zone_id: ZoneId = ZONE_ID,
        incarnation: Incarnation = FIRST_INCARNATION,
        bandwidth_mbps: float = 0,
    ) -> None:
        """Register with `zone`, which delivers its datagrams."""
        self.host_id = HostId(f'edge-{number}')
        self.zone_id = zone_id
        self.incarnation = incarnation
        # It stands still; datagrams wait in its socket.
        self.frozen = False
        # It has no power; datagrams to it are lost.
        self.off = False
        # Its datagrams are lost; it still receives others.
        self.mute = False
        # It receives nothing, but its datagrams arrive.
        self.deaf = False
        self.received: Counter[type] = Counter()
        self._zone = zone
        # When its socket was last empty.
        self._emptied_at = zone.clock.now()
        self.state = HostState()
        # A host without a configuration does not serve.
        self.state.configuration = zone.configuration
        host_settings = dataclasses.replace(
            host_settings_of(self.host_id, number, zone_id),
            bandwidth_mbps=bandwidth_mbps,
        )
        self.address = host_settings.fleet_address
        self.front = host_settings.front
        table = HostTable(
            host_id=self.host_id,
            zone_id=zone_id,
            regions_by_zone=zone.regions_by_zone,
        )
        self.view = FleetView(
            clock=zone.clock,
            log=EventLog(
                clock=zone.clock,
                host_id=self.host_id,
                process='host',
                incarnation=incarnation,
            ),
            rng=random.Random(number),
            state=self.state,
            host_table=table,
        )
        self.announcer = Announcer(
            host_settings=host_settings,
            incarnation=incarnation,
            rng=random.Random(number),
            state=self.state,
            host_table=table,
            channel=cast(Channel, self),
        )
        self.reporter = Reporter(
            clock=zone.clock, fleet_view=self.view, announcer=self.announcer
        )
        self.directory = AddressDirectory(
            clock=zone.clock,
            contact_ms=lambda: settings.HOST_CONTACT_MS,
            host_table=table,
            state=self.state,
            zone_id=zone_id,
            front=self.front,
            regions_by_zone=zone.regions_by_zone,
        )

    def send(self, message: Any, addresses: Any) -> None:
        """Send a datagram to each address."""
        if self.mute:
            return
        body = pack(message)
        for address in addresses:
            self._zone.in_transit.append((address, body, self.host_id))

    def receive(self, body: bytes, sender: HostId) -> None:
        """Handle a datagram."""
        message = unpack(body)
        self.received[type(message)] += 1
        self.view.on_message(message, sender, self._emptied_at)

    def start_attempt(self) -> None:
        """Start a request at the target."""
        self.reporter.attempt_started(TARGET_ID)
        self.reporter.flush()

    def finish_attempt(self) -> None:
        """End a request at the target."""
        self.reporter.attempt_finished(TARGET_ID)
        self.reporter.flush()

    @property
    def in_flight(self) -> int:
        """Return the requests in flight at the target, as this host sees."""
        return self.view.workloads.in_flight(TARGET_ID)

    def step(self, number: int) -> None:
        """Do what the process does periodically, at the step `number`."""
        if self.frozen or self.off:
            return
        self._emptied_at = self._zone.clock.now()
        if not number % STEPS_PER_TICK:
            self._tick()
        if not number % STEPS_PER_TOTALS:
            self.reporter.send_totals()

    def _tick(self) -> None:
        now = self._zone.clock.now()
        self.announcer.losses.add(self.view.host_table.expire(now=now))
        self.announcer.send_heartbeat(now=now)
        self.view.workloads.expire(now=now)
        self.reporter.repeat_if_due()
        self.reporter.send_summaries()


class Zone:
    """The hosts of a zone, or of several, all heard by all others."""

    def __init__(
        self,
        hosts: int,
        configuration: Any,
        *,
        regions_by_zone: Mapping[ZoneId, RegionId] = REGIONS,
        bandwidths_mbps: Mapping[int, float] = NO_BANDWIDTHS,
    ) -> None:
        """Start `hosts` hosts in each zone and let them choose aggregators.

        `bandwidths_mbps` has the links of hosts by number, 0 if not known.
        """
        self.regions_by_zone = regions_by_zone
        self.clock = ManualClock(start=10_000)
        self.configuration = configuration
        self.in_transit: list[tuple[str, bytes, HostId]] = []
        # Pairs of sender and receiver whose datagrams are lost.
        self._cut: set[tuple[HostId, HostId]] = set()
        zone_ids = tuple(regions_by_zone) * hosts
        self.hosts = [
            ZoneHost(
                number=number,
                zone=self,
                zone_id=zone_id,
                bandwidth_mbps=bandwidths_mbps.get(number, 0),
            )
            for number, zone_id in enumerate(zone_ids)
        ]
        self._by_address = {host.address: host for host in self.hosts}
        self._steps = 0
        for host in self.hosts:
            _list_target(host.view)
            profiles = [
                other.announcer.profile()
                for other in self.hosts
                if other is not host
            ]
            for profile in profiles:
                host.view.host_table.record(profile, now=self.clock.now())
        self.run(ms=settings.TICK_MS)

    @property
    def aggregator(self) -> ZoneHost:
        """Return the host that the first live host holds for it."""
        host_id = next(
            host.view.zone_sums.aggregator
            for host in self.hosts
            if not (host.frozen or host.mute or host.deaf or host.off)
        )
        return next(host for host in self.hosts if host.host_id == host_id)

    @property
    def others(self) -> list[ZoneHost]:
        """Return the hosts without the aggregator."""
        return [host for host in self.hosts if host is not self.aggregator]

    def run(self, *, ms: float) -> None:
        """Let time pass."""
        for _ in range(round(ms / STEP_MS)):
            self.clock.advance(by_ms=STEP_MS)
            self._steps += 1
            self._deliver()
            for host in self.hosts:
                host.step(self._steps)

    def restart(self, host: ZoneHost) -> None:
        """Replace a host by one that has just started and announces itself."""
        number = self.hosts.index(host)
        started = ZoneHost(
            number=number,
            zone=self,
            zone_id=host.zone_id,
            incarnation=Incarnation(host.incarnation + 1),
        )
        self.hosts[number] = started
        self._by_address[started.address] = started
        _list_target(started.view)
        for other in self.hosts:
            if other is not started:
                started.view.host_table.add_unknown(
                    [other.announcer.profile()], now=self.clock.now()
                )
        started.announcer.announce()

    def cut_zone_of(self, sender: ZoneHost) -> None:
        """Lose all datagrams of a host to the others of its zone."""
        self._cut.update(
            (sender.host_id, host.host_id)
            for host in self.hosts
            if host.zone_id == sender.zone_id
        )

    def cut_off(self, host: ZoneHost) -> None:
        """Lose all datagrams from and to a host."""
        self.part([host], [other for other in self.hosts if other is not host])

    def part(
        self, some: Sequence[ZoneHost], others: Sequence[ZoneHost]
    ) -> None:
        """Lose all datagrams between two groups of hosts."""
        for one, other in itertools.product(some, others):
            self._cut.add((one.host_id, other.host_id))
            self._cut.add((other.host_id, one.host_id))

    def heal(self) -> None:
        """End all cuts."""
        self._cut.clear()

    def stop(self, host: ZoneHost) -> None:
        """Begin a planned stop of a host."""
        host.state.phase = HostPhase.draining
        host.announcer.announce()

    def _arrives(self, host: ZoneHost, sender: HostId) -> bool:
        if host.deaf or host.off:
            return False
        return (sender, host.host_id) not in self._cut

    def _deliver(self) -> None:
        waiting = tuple(self.in_transit)
        self.in_transit.clear()
        for address, body, sender in waiting:
            host = self._by_address[address]
            if host.frozen:
                self.in_transit.append((address, body, sender))
            elif self._arrives(host, sender):
                host.receive(body, sender)


def _list_target(view: FleetView) -> None:
    entry = TargetEntry(
        target_id=TARGET_ID,
        row_version=1,
        service_id=ServiceId('quotes'),
        address='127.0.0.1:1',
        zone_id=ZONE_ID,
        slots=6,
        leaving=False,
        warming=False,
        started_at_ms=1,
    )
    view.directory.merge(TargetsChanged(store_version=1, entries=(entry,)))


def host_settings_of(
    host_id: HostId, number: int, zone_id: ZoneId = ZONE_ID
) -> HostSettings:
    """Return settings of a host with addresses of its own."""
    ip_number = str(ipaddress.IPv4Address('10.0.0.1') + number)
    return HostSettings(
        host_id=host_id,
        ip_number=ip_number,
        zone_id=zone_id,
        region_id=REGIONS[ZONE_ID],
        front=f'{ip_number}:1',
        readiness=f'{ip_number}:2',
        directory=f'{ip_number}:3',
        metrics=f'{ip_number}:4',
        fleet_port=5,
        seeds=(),
        store='10.1.0.1:1',
        regions_by_zone=dict(REGIONS),
        bounds=HostBounds(
            grace_ms=2000,
            ttl_ms=1000,
            known_within_ms=2000,
            retries=RetryBound(ratio=0.2, slack=20, window_ms=10_000),
        ),
    )
