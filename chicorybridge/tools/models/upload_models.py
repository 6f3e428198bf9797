"""Uploads and reads that share one slow link between regions."""

import dataclasses
import random

from chicorybridge.common.clocks import MILLIS_PER_SECOND
from chicorybridge.common.identities import HostId, ServiceId
from chicorybridge.common.systems import Effect, Send, SendToEntries
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.routing.crossings import CrossingMeter
from chicorybridge.routing.grants import Grants
from chicorybridge.tools.models.schedules import Schedule

CHUNK_BYTES = 65_536
BITS_PER_BYTE = 8
ONE_WAY_MS = 12
CONTROL_MS = 1
TICK_MS = 100


class LinkModel:
    """One direction of a link: bytes leave in order at its rate."""

    def __init__(self, *, schedule: Schedule, bits_per_second: float) -> None:
        """Start idle."""
        self.carried_bytes = 0
        self._schedule = schedule
        self._bits_per_second = bits_per_second
        self._busy_until: float = 0

    def carry(self, size: int) -> float:
        """Return how long `size` bytes take to arrive from now."""
        self.carried_bytes += size
        now = self._schedule.now
        takes = size * BITS_PER_BYTE * MILLIS_PER_SECOND
        self._busy_until = max(self._busy_until, now)
        self._busy_until += takes / self._bits_per_second
        return self._busy_until - now + ONE_WAY_MS


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UploadPlan:
    """Load across the link; `paced` false sends without any bound."""

    hosts: int = 20
    reads_per_second: float = 100
    read_bytes: int = 4096
    uploads_per_second: float = 0.5
    upload_bytes: int = 4 * 1024 * 1024
    bits_per_second: float = 30_000_000
    paced: bool = True


class UploadModel:
    """Hosts of one region whose meters and grants share the link."""

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
            self._add(HostId(f'host-{number}'), declaration)
        self._hosts = list(self._meters_by_host)
        self._tick()

    def run(self, *, for_ms: float) -> None:
        """Offer reads and uploads for a while, then let uploads end."""
        ends_at = self.schedule.now + for_ms
        self._offer(self._plan.reads_per_second, ends_at, upload=False)
        self._offer(self._plan.uploads_per_second, ends_at, upload=True)
        self.schedule.run(until=ends_at)

    def crossed_bytes(self, service: str) -> int:
        """Return the bytes that all meters counted for a service."""
        return sum(
            meter.counts()[ServiceId(service)].crossed_bytes
            for meter in self._meters_by_host.values()
        )

    def _add(self, host_id: HostId, declaration: Declaration) -> None:
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
            for wanted in meter.tick(now=self.schedule.now):
                self._hand_in(host_id, host_id, wanted)
        self.schedule.call_later(TICK_MS, self._tick)

    def _hand_in(self, host_id: HostId, sender: HostId, message) -> None:
        effects = self._grants_by_host[host_id].receive(
            message, sender=sender, now=self.schedule.now
        )
        for effect in effects:
            self._carry_out(host_id, effect)

    def _carry_out(self, host_id: HostId, effect: Effect) -> None:
        match effect:
            case Send(to=peer, message=message):
                self.schedule.call_later(
                    CONTROL_MS, lambda: self._hand_in(peer, host_id, message)
                )
            case SendToEntries(message=message):
                self._meters_by_host[host_id].receive(
                    message, now=self.schedule.now
                )

    def _offer(self, per_second: float, ends_at: float, *, upload: bool):
        gap = self._rng.expovariate(per_second / MILLIS_PER_SECOND)

        def arrive() -> None:  # noqa: WPS430
            if self.schedule.now >= ends_at:
                return
            host_id = self._rng.choice(self._hosts)
            if upload:
                self._upload(host_id)
            else:
                self._read(host_id)
            self._offer(per_second, ends_at, upload=upload)

        self.schedule.call_later(gap, arrive)

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

    def _send_chunk(self, host_id: HostId, left: int, began: float) -> None:
        now = self.schedule.now
        meter = self._meters_by_host[host_id]
        service_id = ServiceId('photos')
        wait_ms = meter.wait_ms(service_id, now=now)
        if self._plan.paced and wait_ms > 0:
            self.schedule.call_later(
                min(wait_ms, TICK_MS),
                lambda: self._send_chunk(host_id, left, began),
            )
            return
        size = min(CHUNK_BYTES, left)
        meter.record(service_id, size, now=now)
        takes = self.link.carry(size)
        if left > size:
            # A connection has no more than a chunk under way.
            self.schedule.call_later(
                takes, lambda: self._send_chunk(host_id, left - size, began)
            )
            return
        self.upload_ms.append(now + takes - began)
