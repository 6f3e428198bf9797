"""Runs of host programs on loopback, as a seed says."""

import contextlib
import dataclasses
import ipaddress
import os
import pathlib
import signal
from collections import Counter
from collections.abc import AsyncIterator
from typing import TypeAlias

import curio

from chicorybridge.common.addresses import parse_address
from chicorybridge.http.clients import Client
from chicorybridge.http.servers import AnswerLostError, NotSentError, Request
from chicorybridge.tests.stops.callers import Caller
from chicorybridge.tests.stops.platforms import Platform
from chicorybridge.tests.stops.plans import (
    Act,
    ActKind,
    Plan,
    draw_plan,
    steps,
)
from chicorybridge.tests.stops.processes import HostProgram
from chicorybridge.tests.stops.records import Record, Span, Stop, Story, now
from chicorybridge.tests.stops.breaches import Breach, breaches

Programs: TypeAlias = list[HostProgram]
Stage: TypeAlias = tuple[Platform, Programs]

TARGETS = 3
START_S = 20
SETTLE_S = 0.5
CHECK_S = 0.02
# How long after its grace a host is watched.
LATE_S = 1.0
# A pause of the own process below this is none.
LEAST_LAG_S = 0.02
TORN_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """What a run broke, and what tells how."""

    seed: int
    record: Record
    breaches: list[Breach]
    log_paths: list[pathlib.Path]

    def __str__(self) -> str:
        """Tell each breach with the story of its request."""
        endings = Counter(map(_ending_of, self.record.stories))
        counted = [f'{key} {endings[key]}' for key in sorted(endings)]
        broken = len(self.breaches)
        lines = [f'seed {self.seed}: {broken} broken', *counted]
        if broken:
            stops = self.record.stops_by_host.items()
            lines.extend(f'  host {host}: {stop}' for host, stop in stops)
        for breach in self.breaches:
            lines.append(f'{breach.promise}: {breach.subject}')
            if breach.story is not None:
                lines.extend(self._tell(breach.story))
        return '\n'.join(lines)

    def _tell(self, story: Story) -> list[str]:
        stop = self.record.stops_by_host.get(story.host)
        runs = self.record.runs_by_id.get(story.request_id)
        word = f'"{story.request_id}"'
        log = self.log_paths[story.host].read_text(errors='replace')
        told = [line for line in log.splitlines() if word in line]
        return [f'  {known}' for known in (story, runs, stop, *told)]


def _ending_of(story: Story) -> str:
    sent = 'whole' if story.sent_at else 'in part'
    ending = story.ending.value
    return f'  sent {sent}, {ending} {story.status}:'


def run_seed(seed: int, folder: pathlib.Path) -> Report:
    """Carry out the plan of a seed and judge it."""
    return curio.run(_run, draw_plan(seed), folder)


async def _run(plan: Plan, folder: pathlib.Path) -> Report:
    record = Record(grace_s=plan.grace_s)
    async with _programs(plan, folder, record) as (platform, programs):
        log_paths = [program.log_path for program in programs]
        operator = _Operator(
            platform=platform, programs=programs, record=record
        )
        async with curio.TaskGroup() as tasks:
            await tasks.spawn(_watch_lag, record)
            for serial, _ in enumerate(plan.manners):
                caller = _caller(serial, programs, record)
                await tasks.spawn(caller.run, steps(plan, serial))
            await operator.carry_out(plan.acts)
            await curio.sleep(SETTLE_S)
            await tasks.cancel_remaining()
    return Report(
        seed=plan.seed,
        record=record,
        breaches=breaches(record),
        log_paths=log_paths,
    )


def _caller(serial: int, programs: Programs, record: Record) -> Caller:
    host = serial % len(programs)
    return Caller(
        serial=serial, host=host, address=programs[host].front, record=record
    )


@contextlib.asynccontextmanager
async def _programs(
    plan: Plan, folder: pathlib.Path, record: Record
) -> AsyncIterator[Stage]:
    serving = curio.TaskGroup()
    platform = Platform(record=record, tasks=serving)
    store = await platform.start(targets=TARGETS, idle_s=plan.idle_s)
    ips = _addresses(plan.hosts)
    programs: Programs = []
    try:
        for number in range(plan.hosts):
            program = HostProgram(
                number=number,
                ips=ips,
                store=store,
                grace_s=plan.grace_s,
                folder=folder,
            )
            programs.append(program)
        for started in programs:
            await _until_ready(started)
        yield platform, programs
    finally:
        for running in programs:
            running.close()
        await serving.cancel_remaining()


def _addresses(count: int) -> list[str]:
    """Return addresses of the own process, so that runs don't meet."""
    high, low = divmod(os.getpid() % 62_500, 250)
    network = ipaddress.ip_address('127.1.0.2') + (high << 16) + (low << 8)
    return [str(network + serial) for serial in range(count)]


async def _until_ready(program: HostProgram) -> None:
    client = Client()
    address = parse_address(program.readiness)
    request = Request(method='GET', path='/readiness')
    async with curio.timeout_after(START_S):
        while True:
            with contextlib.suppress(NotSentError, AnswerLostError):
                response = await client.fetch(
                    address, request, timeout_ms=START_S * 1000
                )
                if response.status == 200:
                    return
            await curio.sleep(CHECK_S)


async def _watch_lag(record: Record) -> None:
    """Note when the own process did not run, which delays what it sees."""
    while True:
        began_at = now()
        await curio.sleep(CHECK_S)
        ended_at = now()
        if ended_at - began_at > CHECK_S + LEAST_LAG_S:
            record.pauses.append(
                Span(began_at=began_at + CHECK_S, ended_at=ended_at)
            )


class _Operator:
    """Carry out acts and watch the hosts end."""

    def __init__(
        self,
        *,
        platform: Platform,
        programs: Programs,
        record: Record,
    ) -> None:
        """Act on `programs`."""
        self._platform = platform
        self._programs = programs
        self._record = record

    async def carry_out(self, acts: tuple[Act, ...]) -> None:
        """Do each act at its time; return when the hosts have ended."""
        began_at = now()
        watching = await curio.spawn(self._watch_exits, daemon=True)
        async with curio.TaskGroup() as acting:
            for act in acts:
                await acting.spawn(self._act, act, began_at)
        while not all(map(self._is_over, self._record.stops_by_host.values())):
            await curio.sleep(CHECK_S)
        await watching.cancel()

    async def _act(self, act: Act, began_at: float) -> None:
        await curio.sleep(max(0, began_at + act.at_s - now()))
        program = self._programs[act.host]
        match act.kind:
            case ActKind.configure:
                self._platform.configure(idle_s=act.amount)
            case ActKind.rewrite:
                program.rewrite(act.amount)
            case ActKind.tear:
                program.tear()
                await curio.sleep(TORN_S)
                program.rewrite(act.amount)
            case ActKind.hang_up:
                program.rewrite(act.amount)
                program.signal(signal.SIGHUP)
            case ActKind.freeze:
                await self._freeze(act)
            case ActKind.stop:
                stop = Stop(told_at=now())
                self._record.stops_by_host.setdefault(act.host, stop)
                program.signal(signal.SIGTERM)

    async def _freeze(self, act: Act) -> None:
        program = self._programs[act.host]
        began_at = now()
        program.signal(signal.SIGSTOP)
        await curio.sleep(act.amount)
        program.signal(signal.SIGCONT)
        span = Span(began_at=began_at, ended_at=now(), host=act.host)
        self._record.pauses.append(span)

    async def _watch_exits(self) -> None:
        while True:
            for host, stop in self._record.stops_by_host.items():
                status = self._programs[host].status
                if stop.exited_at is None and status is not None:
                    stop.exited_at = now()
                    stop.status = status
            await curio.sleep(CHECK_S)

    def _is_over(self, stop: Stop) -> bool:
        late = now() > stop.told_at + self._record.grace_s + LATE_S
        return late or stop.exited_at is not None
