"""A simulated fleet of hosts that share what they know of crashing requests.

Hosts restart and lose reports. The model counts what reaches targets late,
and which harmless requests are refused.
"""

import random
from collections.abc import Sequence
from typing import Any

from chicorybridge import settings
from chicorybridge.common.clocks import MILLIS_PER_SECOND
from chicorybridge.common.identities import Digest, HostId
from chicorybridge.quarantine.crash_evidence import CrashedRun
from chicorybridge.quarantine.crash_reports import CrashPossible
from chicorybridge.tools.models.crashing_hosts import CrashHosts, ModelHost
from chicorybridge.tools.models.crashing_targets import (
    CrashFleetPlan,
    CrashingTargets,
    ModelRequest,
    ModelRun,
)
from chicorybridge.tools.models.schedules import Schedule

CONNECT_MS = (0.5, 25.0)
CLIENT_PAUSE_MS = (10.0, 60.0)
FIRST_SENDING_MS = (1000.0, 9000.0)
# A process that restarted is not bound by the rule for this time, which is
# also the time in which the fleet has to learn of the last victim.
CONTACT_MS = 3000
# The crash of a request from which on its retries are bounded.
BOUNDED_FROM = 3
MAX_ATTEMPTS = 3


class CrashFleet:
    """Run a plan; then ask for the counts."""

    def __init__(self, plan: CrashFleetPlan, *, seed: int) -> None:
        """Start all hosts and targets."""
        self._plan = plan
        self._rng = random.Random(seed)
        self._schedule = Schedule()
        self._targets = CrashingTargets(
            plan,
            schedule=self._schedule,
            rng=self._rng,
            on_cut=self._handle_cut,
            on_end=self._handle_end,
        )
        self._hosts = CrashHosts(
            plan,
            schedule=self._schedule,
            rng=self._rng,
            directory=self._targets.directory,
        )
        self.crashing = [
            ModelRequest(digest=Digest(f'crashing-{number}'), crashes=True)
            for number in range(plan.crashing)
        ]
        self.harmless: list[ModelRequest] = []

    def run(self) -> None:
        """Run the whole plan."""
        for request in self.crashing:
            self._later(
                self._rng.uniform(*FIRST_SENDING_MS), self._repeat, request
            )
        self._targets.start_wave()
        if self._plan.per_target:
            self._later(0, self._arrive)
        self._hosts.start()
        self._schedule.run(until=self._plan.for_ms)

    @property
    def most_late_sendings(self) -> int:
        """Return the most retries later than the bound of any request."""
        return max(request.late_sendings for request in self.crashing)

    @property
    def refused_harmless(self) -> int:
        """Return how many harmless requests were refused."""
        return sum(request.refused for request in self.harmless)

    def _later(self, delay_ms: float, action: Any, *arguments: Any) -> None:
        self._schedule.call_later(delay_ms, lambda: action(*arguments))

    def _repeat(self, request: ModelRequest) -> None:
        self._send(request, self._hosts.draw())
        pause_ms = self._rng.uniform(*self._plan.repeat_ms)
        self._later(pause_ms, self._repeat, request)

    def _arrive(self) -> None:
        request = ModelRequest(
            digest=Digest(str(self._rng.random())),
            idempotent=bool(self._rng.getrandbits(1)),
            repeats_left=self._plan.repeats,
        )
        self.harmless.append(request)
        self._send(request, self._hosts.draw())
        per_second = self._plan.per_target * self._plan.targets
        pause_s = self._rng.expovariate(per_second)
        self._later(pause_s * MILLIS_PER_SECOND, self._arrive)

    def _send(
        self,
        request: ModelRequest,
        host_id: HostId,
        attempt: int = 1,
        untold: list[CrashPossible] | None = None,
    ) -> None:
        now = self._schedule.now
        quarantine = self._hosts.by_id[host_id].quarantine
        if quarantine.refuses(request.digest, now=now):
            request.refused = True
            self._tell(host_id, untold or ())
            return
        entry = self._targets.draw()
        if not self._targets.is_reached(entry):
            # Nothing was sent, or another target says that it didn't run it.
            delay_ms = self._rng.uniform(*CONNECT_MS)
            self._later(delay_ms, self._send, request, host_id, attempt, untold)
            return
        self._count_sending(request, self._hosts.by_id[host_id])
        self._targets.start_run(
            ModelRun(
                request=request,
                host_id=host_id,
                entry=entry,
                started_at=now,
                attempt=attempt,
                untold=[] if untold is None else untold,
            )
        )

    def _count_sending(self, request: ModelRequest, host: ModelHost) -> None:
        now = self._schedule.now
        if len(request.crash_times) < BOUNDED_FROM:
            return
        is_late = now > request.crash_times[BOUNDED_FROM - 1] + CONTACT_MS
        if is_late and now - host.started_at >= CONTACT_MS:
            request.late_sendings += 1

    def _handle_end(self, run: ModelRun, success: bool) -> None:
        digest = run.request.digest
        quarantine = self._hosts.by_id[run.host_id].quarantine
        if success:
            cleared = quarantine.clear(digest, now=self._schedule.now)
            if cleared is not None:
                self._hosts.broadcast(run.host_id, cleared)
            return
        if len(quarantine.victims(digest)) >= settings.MAX_VICTIMS:
            self._suspect(run)
        self._try_again(run)

    def _handle_cut(self, run: ModelRun) -> None:
        self._suspect(run)
        self._try_again(run)

    def _suspect(self, run: ModelRun) -> None:
        crashed = CrashedRun(
            digest=run.request.digest,
            target_id=run.entry.target_id,
            started_at=run.started_at,
            target_started_at_ms=run.entry.started_at_ms,
        )
        quarantine = self._hosts.by_id[run.host_id].quarantine
        possible = quarantine.suspect_possibly(crashed, now=self._schedule.now)
        check_ms = self._rng.uniform(*CONNECT_MS)
        self._later(check_ms, self._check, run, crashed, possible)

    def _check(
        self, run: ModelRun, crashed: CrashedRun, possible: CrashPossible
    ) -> None:
        entries_by_id = self._targets.directory.entries_by_id
        is_listed = entries_by_id.get(run.entry.target_id) == run.entry
        if is_listed and self._targets.accepts_connections(run.entry):
            run.untold.append(possible)
            self._tell_if_over(run)
            return
        quarantine = self._hosts.by_id[run.host_id].quarantine
        suspected = quarantine.suspect(crashed, now=self._schedule.now)
        self._hosts.broadcast(run.host_id, suspected)

    def _tell_if_over(self, run: ModelRun) -> None:
        if not _may_try_again(run):
            self._tell(run.host_id, run.untold)

    def _tell(self, host_id: HostId, untold: Sequence[CrashPossible]) -> None:
        view = self._hosts.by_id[host_id].view
        for possible in untold:
            shared = view.quarantine.shared(possible.digest)
            if shared is not None:
                self._hosts.broadcast(host_id, shared)
                return
            self._hosts.send(possible, view.witnesses(possible.digest))

    def _try_again(self, run: ModelRun) -> None:
        request = run.request
        if _may_try_again(run):
            self._send(request, run.host_id, run.attempt + 1, run.untold)
        elif request.repeats_left:
            request.repeats_left -= 1
            pause_ms = self._rng.uniform(*CLIENT_PAUSE_MS)
            self._later(pause_ms, self._send, request, self._hosts.draw())


def _may_try_again(run: ModelRun) -> bool:
    return run.request.idempotent and run.attempt < MAX_ATTEMPTS
