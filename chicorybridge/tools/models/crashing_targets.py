"""Simulated targets that crash, are gray, restart, or lose their address."""

import dataclasses
import random
from collections.abc import Callable
from enum import Enum
from typing import Any

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import (
    Digest,
    HostId,
    ServiceId,
    TargetId,
    ZoneId,
)
from chicorybridge.fleet.directories import TargetDirectory, TargetEntry
from chicorybridge.quarantine.crash_reports import CrashPossible
from chicorybridge.tools.models.schedules import Schedule

# Time from a change of a target to its entry on all hosts.
LIST_LAG_MS = 2000
# Time in which an entry of a target that is gone expires.
LEASE_MS = 4500
CRASHING_WORK_MS = 20
MEAN_WORK_MS = 250
# Time until a gray target resets or fails a request.
GRAY_MS = 2
GRAY_SHARE_OF_REQUESTS = 0.6
# When a host notices that a connection ended, or checks a silent attempt.
RESET_MS = 1
STALL_MS = 800


class Grayness(Enum):
    """How a target fails some of its requests without running them."""

    none = 'none'
    resets = 'resets'
    fails = 'fails'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashFleetPlan:
    """Parameters of a run; times in ms, rates in 1/s, shares from 0 to 1.

    `crashing` requests crash what runs them and come again after
    `repeat_ms`. `wave` is the share of the targets that crash by themselves
    at a time within `wave_ms`. `restart_ms` is how long a target is down;
    after a share `taken_over` of the crashes another one has its address at
    once. Crashes are silent with `dark`. `host_restarts` is the rate of
    restarts of hosts, `per_target` that of harmless requests for each target.
    A caller sends a harmless request that failed up to
    `repeats` times more.
    """

    hosts: int = 36
    targets: int = 30
    for_ms: float = 20_000
    crashing: int = 2
    repeat_ms: tuple[float, float] = (150, 400)
    wave: float = 0
    wave_ms: tuple[float, float] = (2000, 8000)
    gray: float = 0
    grayness: Grayness = Grayness.none
    restart_ms: tuple[float, float] = (3000, 5000)
    taken_over: float = 0
    dark: bool = False
    host_restarts: float = 0
    loss: float = 0.025
    per_target: float = 0
    repeats: int = 3


@dataclasses.dataclass(kw_only=True)
class ModelTarget:
    """A target: its current process, and the runs that are in flight."""

    number: int
    started_at_ms: int = 1
    up: bool = True
    # Another target has its address.
    is_taken_over: bool = False
    grayness: Grayness = Grayness.none
    runs: list['ModelRun'] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(kw_only=True, eq=False)
class ModelRequest:
    """A request of a caller; `late_sendings` are those the rule counts."""

    digest: Digest
    crashes: bool = False
    idempotent: bool = True
    repeats_left: int = 0
    refused: bool = False
    crash_times: list[Millis] = dataclasses.field(default_factory=list)
    late_sendings: int = 0


@dataclasses.dataclass(kw_only=True, eq=False)
class ModelRun:
    """A request at a target, sent by a host."""

    request: ModelRequest
    host_id: HostId
    entry: TargetEntry
    started_at: Millis
    attempt: int
    # Reports on earlier attempts of which no other host knows.
    untold: list[CrashPossible]


class CrashingTargets:
    """The targets of a plan and their entries, the same on all hosts.

    `on_cut` is called with each run that ends without an answer, `on_end` with
    each answered one and whether it succeeded.
    """

    def __init__(
        self,
        plan: CrashFleetPlan,
        *,
        schedule: Schedule,
        rng: random.Random,
        on_cut: Callable[[ModelRun], None],
        on_end: Callable[[ModelRun, bool], None],
    ) -> None:
        """Start and list all targets."""
        self.directory = TargetDirectory()
        self._plan = plan
        self._schedule = schedule
        self._rng = rng
        self._on_cut = on_cut
        self._on_end = on_end
        self._targets = [
            ModelTarget(number=number) for number in range(plan.targets)
        ]
        for target in self._targets:
            self._list(target)
        gray_count = round(plan.gray * plan.targets)
        for gray in rng.sample(self._targets, gray_count):
            gray.grayness = plan.grayness

    def start_wave(self) -> None:
        """Let a share of the targets crash by themselves."""
        count = round(self._plan.wave * self._plan.targets)
        for target in self._rng.sample(self._targets, count):
            delay_ms = self._rng.uniform(*self._plan.wave_ms)
            self._later(delay_ms, self._crash, target)

    def draw(self) -> TargetEntry:
        """Return a random listed target."""
        return self._rng.choice(list(self.directory.entries_by_id.values()))

    def is_reached(self, entry: TargetEntry) -> bool:
        """Return whether a request for a target reaches it."""
        target = self._target(entry)
        return target.up and not target.is_taken_over

    def accepts_connections(self, entry: TargetEntry) -> bool:
        """Return whether anything accepts connections at an address."""
        target = self._target(entry)
        return target.up or target.is_taken_over

    def start_run(self, run: ModelRun) -> None:
        """Run a request at the target that it has reached."""
        target = self._target(run.entry)
        target.runs.append(run)
        is_failing = self._rng.random() < GRAY_SHARE_OF_REQUESTS
        if target.grayness is Grayness.resets and is_failing:
            self._later(GRAY_MS, self._reset, run, target)
        elif target.grayness is Grayness.fails and is_failing:
            self._later(GRAY_MS, self._end, run, target, False)
        elif run.request.crashes:
            self._later(CRASHING_WORK_MS, self._crash_under, run, target)
        else:
            work_ms = self._rng.expovariate(1 / MEAN_WORK_MS)
            self._later(work_ms, self._end, run, target, True)

    def _target(self, entry: TargetEntry) -> ModelTarget:
        return self._targets[int(entry.address)]

    def _later(self, delay_ms: float, action: Any, *arguments: Any) -> None:
        self._schedule.call_later(delay_ms, lambda: action(*arguments))

    def _end(self, run: ModelRun, target: ModelTarget, success: bool) -> None:
        if run in target.runs:
            target.runs.remove(run)
            self._on_end(run, success)

    def _reset(self, run: ModelRun, target: ModelTarget) -> None:
        if run in target.runs:
            target.runs.remove(run)
            self._on_cut(run)

    def _crash_under(self, run: ModelRun, target: ModelTarget) -> None:
        if run in target.runs:
            run.request.crash_times.append(self._schedule.now)
            self._crash(target)

    def _crash(self, target: ModelTarget) -> None:
        if not target.up:
            return
        plan = self._plan
        target.up = False
        target.is_taken_over = self._rng.random() < plan.taken_over
        for run in target.runs:
            delay_ms = STALL_MS if plan.dark else RESET_MS
            self._later(delay_ms, self._on_cut, run)
        target.runs = []
        if target.is_taken_over:
            self._later(LEASE_MS + LIST_LAG_MS, self._unlist, target)
        else:
            down_ms = self._rng.uniform(*plan.restart_ms)
            self._later(down_ms, self._start, target)

    def _start(self, target: ModelTarget) -> None:
        target.up = True
        target.started_at_ms = round(self._schedule.now)
        self._later(LIST_LAG_MS, self._list, target)

    def _list(self, target: ModelTarget) -> None:
        target_id = TargetId(f'i-{target.number}')
        self.directory.entries_by_id[target_id] = TargetEntry(
            target_id=target_id,
            row_version=1,
            service_id=ServiceId('quotes'),
            address=str(target.number),
            zone_id=ZoneId('a'),
            slots=6,
            leaving=False,
            warming=False,
            started_at_ms=target.started_at_ms,
        )

    def _unlist(self, target: ModelTarget) -> None:
        self.directory.entries_by_id.pop(TargetId(f'i-{target.number}'), None)
