"""Simulated hosts that tell each other which requests crash targets."""

import dataclasses
import random
from collections.abc import Collection, Iterable
from typing import Any, cast

from chicorybridge import settings
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.identities import HostId
from chicorybridge.fleet.directories import TargetDirectory
from chicorybridge.fleet.host_tables import HostTable
from chicorybridge.fleet.store_reads import ReadSchedule
from chicorybridge.quarantine.crash_reports import CrashMessage
from chicorybridge.quarantine.quarantines import Quarantine
from chicorybridge.quarantine.suspect_views import SuspectView
from chicorybridge.tools.models.crashing_targets import CrashFleetPlan
from chicorybridge.tools.models.schedules import Schedule

MESSAGE_DELAY_MS = (0.5, 13.0)
LONG_AGO = Millis(-settings.SUSPECT_TTL_MS)


@dataclasses.dataclass(kw_only=True)
class ModelHost:
    """A host: when it started, and its view of suspects."""

    host_id: HostId
    started_at: Millis
    view: SuspectView

    @property
    def quarantine(self) -> Quarantine:
        """Return what this host knows."""
        return self.view.quarantine


class _ScheduleClock(Clock):
    """The time of a schedule."""

    def __init__(self, schedule: Schedule) -> None:
        self._schedule = schedule

    def now(self) -> Millis:
        return self._schedule.now


class CrashHosts:
    """The hosts of a plan, with messages that are late or lost."""

    def __init__(
        self,
        plan: CrashFleetPlan,
        *,
        schedule: Schedule,
        rng: random.Random,
        directory: TargetDirectory,
    ) -> None:
        """Start all hosts; `directory` has the targets as all of them know."""
        self._plan = plan
        self._schedule = schedule
        self._rng = rng
        self._directory = directory
        self._read_schedule = ReadSchedule(rng=rng)
        host_ids = [HostId(f'host-{number}') for number in range(plan.hosts)]
        self.by_id = {
            host_id: self._build_host(host_id, LONG_AGO) for host_id in host_ids
        }
        self._profiles = tuple(self.by_id.values())

    def profiles(self) -> Collection[ModelHost]:
        """Return the hosts, as a host table does."""
        return self._profiles

    def start(self) -> None:
        """Start heartbeats and restarts."""
        for host_id in self.by_id:
            self._later(
                self._rng.uniform(0, settings.HOST_HEARTBEAT_INTERVAL_MS),
                self._send_heartbeat,
                host_id,
            )
        if self._plan.host_restarts:
            self._later(self._restart_pause_ms, self._restart_one)

    def draw(self) -> HostId:
        """Return the id of a random host."""
        return self._rng.choice(self._profiles).host_id

    def broadcast(self, sender: HostId, message: CrashMessage) -> None:
        """Send a message to all other hosts."""
        for host_id in self.by_id:
            if host_id != sender:
                self._tell(host_id, message)

    def send(self, message: CrashMessage, host_ids: Iterable[HostId]) -> None:
        """Send a message to some hosts."""
        for host_id in host_ids:
            self._tell(host_id, message)

    @property
    def _restart_pause_ms(self) -> float:
        return settings.HOST_HEARTBEAT_INTERVAL_MS / self._plan.host_restarts

    def _build_host(self, host_id: HostId, started_at: Millis) -> ModelHost:
        view = SuspectView(
            clock=_ScheduleClock(self._schedule),
            rng=self._rng,
            host_table=cast(HostTable, self),
            directory=self._directory,
            schedule=self._read_schedule,
        )
        return ModelHost(host_id=host_id, started_at=started_at, view=view)

    def _later(self, delay_ms: float, action: Any, *arguments: Any) -> None:
        self._schedule.call_later(delay_ms, lambda: action(*arguments))

    def _tell(self, host_id: HostId, message: CrashMessage) -> None:
        if self._rng.random() >= self._plan.loss:
            delay_ms = self._rng.uniform(*MESSAGE_DELAY_MS)
            self._later(delay_ms, self._deliver, host_id, message)

    def _deliver(self, host_id: HostId, message: CrashMessage) -> None:
        view = self.by_id[host_id].view
        view.receive(message)
        while view.to_hosts:
            self._tell(*view.to_hosts.pop())

    def _send_heartbeat(self, host_id: HostId) -> None:
        self._read_schedule.read_at = self._schedule.now
        shared = self.by_id[host_id].view.update()
        if shared is not None:
            drawn = self._rng.sample(self._profiles, settings.SUSPECT_SHARES)
            for host in drawn:
                self._tell(host.host_id, shared)
        self._later(
            settings.HOST_HEARTBEAT_INTERVAL_MS, self._send_heartbeat, host_id
        )

    def _restart_one(self) -> None:
        host_id = self.draw()
        self.by_id[host_id] = self._build_host(host_id, self._schedule.now)
        self._later(self._restart_pause_ms, self._restart_one)
