"""Simulated uploads and reads over one slow link between regions."""

import dataclasses
import random

from chicorybridge.common.clocks import MILLIS_PER_SECOND
from chicorybridge.common.identities import HostId, ServiceId
from chicorybridge.common.systems import Effect, Send, SendToEntries
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.routing.crossings import CrossingMeter
from chicorybridge.routing.grants import Grants
from chicorybridge.tools.models.schedules import Schedule

# Uploads are sent in chunks of this size.
CHUNK_BYTES = 65_536
BITS_PER_BYTE = 8
# Delay of the link, and of messages between hosts of the region.
ONE_WAY_DELAY_MS = 12
CONTROL_DELAY_MS = 1
TICK_INTERVAL_MS = 100


class LinkModel:
    """One direction of a link that sends bytes in order at a fixed rate."""

    def __init__(self, *, schedule: Schedule, bits_per_second: float) -> None:
        """Start idle."""
        self.carried_bytes = 0
        self._schedule = schedule
        self._bits_per_second = bits_per_second
        self._busy_until: float = 0

    def carry(self, size: int) -> float:
        """Send `size` bytes; return the milliseconds until they arrive."""
        self.carried_bytes += size
        now = self._schedule.now
        bit_ms = size * BITS_PER_BYTE * MILLIS_PER_SECOND
        self._busy_until = max(self._busy_until, now)
        self._busy_until += bit_ms / self._bits_per_second
        return self._busy_until - now + ONE_WAY_DELAY_MS


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UploadPlan:
    """Load over the link; unless `paced`, hosts ignore bandwidth grants."""

    hosts: int = 20
    reads_per_second: float = 100
    read_bytes: int = 4096
    uploads_per_second: float = 0.5
    upload_bytes: int = 4 * 1024 * 1024
    bits_per_second: float = 30_000_000
    paced: bool = True


class UploadModel:
    """Hosts of one region with real meters and grants for the shared link."""

    def __init__(
        self, declaration: Declaration, plan: UploadPlan, *, seed: int
    ) -> None:
        """Start all hosts; reads go to `quotes`, uploads to `photos`."""
        self.schedule = Schedule()
        self.link = LinkModel(
            schedule=self.schedule, bits_per_second=plan.bits_per_second
        )
        self.read_ms: list[float] = []
        self.upload_ms: list[float] = []
        self.uploads_started = 0
        self.reads_refused = 0
        self._plan = plan
        self._rng = random.Random(seed)
        self._meters_by_host: dict[HostId, CrossingMeter] = {}
        self._grants_by_host: dict[HostId, Grants] = {}
        for number in range(plan.hosts):
            self._add_host(HostId(f'host-{number}'), declaration)
        self._hosts = list(self._meters_by_host)
        self._tick()

    def run(self, *, for_ms: float) -> None:
        """Start reads and uploads at the rates of the plan for `for_ms`.

        Uploads that have not ended by then stay unfinished.
        """
        ends_at = self.schedule.now + for_ms
        self._start_load(self._plan.reads_per_second, ends_at, upload=False)
        self._start_load(self._plan.uploads_per_second, ends_at, upload=True)
        self.schedule.run(until=ends_at)

    def crossed_bytes(self, service: str) -> int:
        """Return the bytes of a service that all meters counted."""
        return sum(
            meter.counts()[ServiceId(service)].crossed_bytes
            for meter in self._meters_by_host.values()
        )

    def _add_host(self, host_id: HostId, declaration: Declaration) -> None:
        zone_id = min(declaration.zones_by_id)
        meter = CrossingMeter(entry_id=host_id)
        meter.set_declaration(
            declaration,
            zone_id,
            region_processes=self._plan.hosts,
            now=self.schedule.now,
        )
        grants = Grants(host_id=host_id, region_hosts=lambda: self._hosts)
        grants.set_declaration(declaration, declaration.region_id_of(zone_id))
        self._meters_by_host[host_id] = meter
        self._grants_by_host[host_id] = grants

    def _tick(self) -> None:
        for host_id, meter in self._meters_by_host.items():
            for demand in meter.tick(now=self.schedule.now):
                self._deliver(host_id, host_id, demand)
        self.schedule.call_later(TICK_INTERVAL_MS, self._tick)

    def _deliver(self, host_id: HostId, sender: HostId, message) -> None:
        effects = self._grants_by_host[host_id].receive(
            message, sender=sender, now=self.schedule.now
        )
        for effect in effects:
            self._execute(host_id, effect)

    def _execute(self, host_id: HostId, effect: Effect) -> None:
        match effect:
            case Send(to=peer, message=message):
                self.schedule.call_later(
                    CONTROL_DELAY_MS,
                    lambda: self._deliver(peer, host_id, message),
                )
            case SendToEntries(message=message):
                self._meters_by_host[host_id].receive(
                    message, now=self.schedule.now
                )

    def _start_load(self, per_second: float, ends_at: float, *, upload: bool):
        interarrival_ms = self._rng.expovariate(per_second / MILLIS_PER_SECOND)

        def arrive() -> None:  # noqa: WPS430
            if self.schedule.now >= ends_at:
                return
            host_id = self._rng.choice(self._hosts)
            if upload:
                self._upload(host_id)
            else:
                self._read(host_id)
            self._start_load(per_second, ends_at, upload=upload)

        self.schedule.call_later(interarrival_ms, arrive)

    def _read(self, host_id: HostId) -> None:
        now = self.schedule.now
        meter = self._meters_by_host[host_id]
        size = self._plan.read_bytes
        service_id = ServiceId('quotes')
        if self._plan.paced and not meter.may_cross(service_id, size, now=now):
            self.reads_refused += 1
            return
        meter.record(service_id, size, now=now)
        self.read_ms.append(self.link.carry(size))

    def _upload(self, host_id: HostId) -> None:
        self.uploads_started += 1
        self._send_chunk(host_id, self._plan.upload_bytes, self.schedule.now)

    def _send_chunk(
        self, host_id: HostId, remaining_bytes: int, started_at: float
    ) -> None:
        now = self.schedule.now
        meter = self._meters_by_host[host_id]
        service_id = ServiceId('photos')
        wait_ms = meter.wait_ms(service_id, now=now)
        if self._plan.paced and wait_ms > 0:
            self.schedule.call_later(
                min(wait_ms, TICK_INTERVAL_MS),
                lambda: self._send_chunk(host_id, remaining_bytes, started_at),
            )
            return
        size = min(CHUNK_BYTES, remaining_bytes)
        meter.record(service_id, size, now=now)
        transfer_ms = self.link.carry(size)
        if remaining_bytes > size:
            # A connection has at most one chunk in transit.
            self.schedule.call_later(
                transfer_ms,
                lambda: self._send_chunk(
                    host_id, remaining_bytes - size, started_at
                ),
            )
            return
        self.upload_ms.append(now + transfer_ms - started_at)
