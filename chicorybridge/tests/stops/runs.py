"""Runs of host programs on loopback that follow the plan of a seed."""

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
from chicorybridge.tests.stops.breaches import Breach, find_breaches
from chicorybridge.tests.stops.callers import Caller
from chicorybridge.tests.stops.plans import (
    Action,
    ActionKind,
    Plan,
    draw_plan,
    planned_requests,
)
from chicorybridge.tests.stops.platforms import Platform
from chicorybridge.tests.stops.processes import HostProgram
from chicorybridge.tests.stops.records import Exchange, Pause, Record, Stop, now

Programs: TypeAlias = list[HostProgram]
Environment: TypeAlias = tuple[Platform, Programs]

TARGET_COUNT = 3
START_TIMEOUT_S = 20
FINAL_WAIT_S = 0.5
POLL_INTERVAL_S = 0.02
# A host that still runs this long after its grace period is not waited for.
EXIT_SLACK_S = 1.0
# Shorter delays of the test process are not recorded as pauses.
MIN_LAG_S = 0.02
TRUNCATED_FILE_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """The violated promises of a run, with its records and logs."""

    seed: int
    record: Record
    breaches: list[Breach]
    log_paths: list[pathlib.Path]

    def __str__(self) -> str:
        """Return the counts of outcomes and the records of each breach."""
        outcomes = Counter(map(_outcome_label, self.record.exchanges))
        outcome_lines = [f'{key} {outcomes[key]}' for key in sorted(outcomes)]
        breach_count = len(self.breaches)
        lines = [f'seed {self.seed}: {breach_count} violated', *outcome_lines]
        if breach_count:
            stops = self.record.stops_by_host.items()
            lines.extend(f'  host {host}: {stop}' for host, stop in stops)
        for breach in self.breaches:
            lines.append(f'{breach.promise}: {breach.subject}')
            if breach.exchange is not None:
                lines.extend(self._describe(breach.exchange))
        return '\n'.join(lines)

    def _describe(self, exchange: Exchange) -> list[str]:
        stop = self.record.stops_by_host.get(exchange.host)
        runs = self.record.runs_by_request_id.get(exchange.request_id)
        quoted_id = f'"{exchange.request_id}"'
        log = self.log_paths[exchange.host].read_text(errors='replace')
        log_lines = [line for line in log.splitlines() if quoted_id in line]
        return [f'  {part}' for part in (exchange, runs, stop, *log_lines)]


def _outcome_label(exchange: Exchange) -> str:
    sent = 'completely' if exchange.sent_at else 'in part'
    outcome = exchange.outcome.value
    return f'  sent {sent}, {outcome} {exchange.status}:'


def run_seed(seed: int, folder: pathlib.Path) -> Report:
    """Carry out the plan of a seed and report violated promises."""
    return curio.run(_run, draw_plan(seed), folder)


async def _run(plan: Plan, folder: pathlib.Path) -> Report:
    record = Record(grace_s=plan.grace_s)
    async with _run_programs(plan, folder, record) as (platform, programs):
        log_paths = [program.log_path for program in programs]
        action_runner = _ActionRunner(
            platform=platform, programs=programs, record=record
        )
        async with curio.TaskGroup() as tasks:
            await tasks.spawn(_watch_lag, record)
            for caller_number, _ in enumerate(plan.caller_patterns):
                caller = _build_caller(caller_number, programs, record)
                await tasks.spawn(
                    caller.run, planned_requests(plan, caller_number)
                )
            await action_runner.carry_out(plan.actions)
            await curio.sleep(FINAL_WAIT_S)
            await tasks.cancel_remaining()
    return Report(
        seed=plan.seed,
        record=record,
        breaches=find_breaches(record),
        log_paths=log_paths,
    )


def _build_caller(number: int, programs: Programs, record: Record) -> Caller:
    host = number % len(programs)
    return Caller(
        number=number,
        host=host,
        address=programs[host].front_address,
        record=record,
    )


@contextlib.asynccontextmanager
async def _run_programs(
    plan: Plan, folder: pathlib.Path, record: Record
) -> AsyncIterator[Environment]:
    server_tasks = curio.TaskGroup()
    platform = Platform(record=record, tasks=server_tasks)
    store = await platform.start(
        target_count=TARGET_COUNT, idle_timeout_s=plan.idle_timeout_s
    )
    ips = _host_ips(plan.hosts)
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
            await wait_until_ready(started)
        yield platform, programs
    finally:
        for running in programs:
            running.close()
        await server_tasks.cancel_remaining()


def _host_ips(count: int) -> list[str]:
    """Return loopback addresses that simultaneous runs do not share."""
    high, low = divmod(os.getpid() % 62_500, 250)
    first_ip = ipaddress.ip_address('127.1.0.2') + (high << 16) + (low << 8)
    return [str(first_ip + number) for number in range(count)]


async def wait_until_ready(program: HostProgram) -> None:
    """Return when the host says that it is ready."""
    client = Client()
    address = parse_address(program.readiness_address)
    request = Request(method='GET', path='/readiness')
    async with curio.timeout_after(START_TIMEOUT_S):
        while True:
            with contextlib.suppress(NotSentError, AnswerLostError):
                response = await client.fetch(
                    address, request, timeout_ms=START_TIMEOUT_S * 1000
                )
                if response.status == 200:
                    return
            await curio.sleep(POLL_INTERVAL_S)


async def _watch_lag(record: Record) -> None:
    """Record when the test process did not run, since that delays callers."""
    while True:
        started_at = now()
        await curio.sleep(POLL_INTERVAL_S)
        ended_at = now()
        if ended_at - started_at > POLL_INTERVAL_S + MIN_LAG_S:
            record.pauses.append(
                Pause(
                    started_at=started_at + POLL_INTERVAL_S, ended_at=ended_at
                )
            )


class _ActionRunner:
    """Carries out the actions of a plan and records exits of the hosts."""

    def __init__(
        self,
        *,
        platform: Platform,
        programs: Programs,
        record: Record,
    ) -> None:
        """Act on `programs` and `platform`; write to `record`."""
        self._platform = platform
        self._programs = programs
        self._record = record

    async def carry_out(self, actions: tuple[Action, ...]) -> None:
        """Carry out each action at its time and wait until all hosts exit.

        Hosts that do not exit in time are not waited for.
        """
        started_at = now()
        exit_watcher = await curio.spawn(self._watch_exits, daemon=True)
        async with curio.TaskGroup() as tasks:
            for action in actions:
                await tasks.spawn(self._carry_out_action, action, started_at)
        while not all(
            map(self._exited_or_late, self._record.stops_by_host.values())
        ):
            await curio.sleep(POLL_INTERVAL_S)
        await exit_watcher.cancel()

    async def _carry_out_action(
        self, action: Action, started_at: float
    ) -> None:
        await curio.sleep(max(0, started_at + action.at_s - now()))
        program = self._programs[action.host]
        match action.kind:
            case ActionKind.configure:
                self._platform.configure(idle_timeout_s=action.amount)
            case ActionKind.rewrite:
                program.write_settings(action.amount)
            case ActionKind.truncate:
                program.truncate_settings()
                await curio.sleep(TRUNCATED_FILE_S)
                program.write_settings(action.amount)
            case ActionKind.reload:
                program.write_settings(action.amount)
                program.send_signal(signal.SIGHUP)
            case ActionKind.freeze:
                await self._freeze(action)
            case ActionKind.stop:
                stop = Stop(signalled_at=now())
                self._record.stops_by_host.setdefault(action.host, stop)
                program.send_signal(signal.SIGTERM)

    async def _freeze(self, action: Action) -> None:
        program = self._programs[action.host]
        started_at = now()
        program.send_signal(signal.SIGSTOP)
        await curio.sleep(action.amount)
        program.send_signal(signal.SIGCONT)
        pause = Pause(started_at=started_at, ended_at=now(), host=action.host)
        self._record.pauses.append(pause)

    async def _watch_exits(self) -> None:
        while True:
            for host, stop in self._record.stops_by_host.items():
                exit_status = self._programs[host].exit_status
                if stop.exited_at is None and exit_status is not None:
                    stop.exited_at = now()
                    stop.exit_status = exit_status
            await curio.sleep(POLL_INTERVAL_S)

    def _exited_or_late(self, stop: Stop) -> bool:
        is_late = (
            now() > stop.signalled_at + self._record.grace_s + EXIT_SLACK_S
        )
        return is_late or stop.exited_at is not None
