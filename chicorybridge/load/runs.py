"""Run an experiment: send requests, set faults, collect target counts."""

import dataclasses
import json
import random
import zlib
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any

import curio

from chicorybridge import settings
from chicorybridge.common import clocks
from chicorybridge.common.addresses import parse_address
from chicorybridge.common.collectors import freeze_collector
from chicorybridge.http.clients import Client
from chicorybridge.http.servers import AnswerLostError, NotSentError, Request
from chicorybridge.load.arrivals import Arrival, draw_arrivals
from chicorybridge.load.callers import CallerHost
from chicorybridge.load.experiments import CallerGroup, Experiment, FaultStep
from chicorybridge.load.recorders import GroupRecorder
from chicorybridge.load.usages import Usage, read_usage
from chicorybridge.load.promise_checks import PromiseCheck, check_promises
from chicorybridge.standins.emulators import COUNTS_PATH, KNOBS_PATH
from chicorybridge.storage import documents


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunOutcome:
    """The outcome of a run.

    It holds the records of groups, usages of processes, counts of targets
    and applied faults as JSON values, and the promise check.
    """

    groups_by_name: dict[str, dict[str, Any]]
    processes_by_name: dict[str, dict[str, float]]
    counts_by_target: dict[str, dict[str, Any]]
    faults: list[dict[str, Any]]
    promise_check: PromiseCheck


class Run:
    """One run of an experiment; `execute` may be called once."""

    def __init__(
        self,
        *,
        experiment: Experiment,
        pids_by_process: Mapping[str, int],
        clock: clocks.Clock,
    ) -> None:
        """Prepare the recorders; nothing is sent yet.

        `pids_by_process` names the processes whose usage is measured.
        """
        self._experiment = experiment
        self._pids_by_process = pids_by_process
        self._clock = clock
        self._client = Client()
        self._started_at = clock.now()
        self._faults: list[dict[str, Any]] = []
        self._recorders_by_group = {
            name: GroupRecorder(
                measured_from_ms=max(experiment.warm_up_ms, group.start_ms)
            )
            for name, group in experiment.callers_by_name.items()
        }

    async def execute(self) -> RunOutcome:
        """Run until all requests have ended and return the outcome."""
        workers = self._build_workers()
        freeze_collector()
        self._started_at = self._clock.now()
        fault_task = await curio.spawn(self._apply_faults)
        usages_task = await curio.spawn(self._read_usages_after_warm_up)
        async with curio.TaskGroup() as group:
            while workers:
                await group.spawn(workers.pop())
            await group.spawn(curio.sleep, self._remaining_s())
        processes = self._usage_by_process(
            await usages_task.join(), self._read_usages()
        )
        await fault_task.join()
        counts_by_target = await self._collect_counts()
        return self._build_outcome(processes, counts_by_target)

    def _build_workers(self) -> list[Any]:
        workers = []
        for group in self._experiment.callers_by_name.values():
            workers.extend(self._build_group_workers(group))
        return workers

    def _build_group_workers(self, group: CallerGroup) -> list[Any]:
        experiment = self._experiment
        arrivals = draw_arrivals(
            group,
            [experiment.requests_by_name[name] for name in group.requests],
            duration_ms=experiment.duration_ms,
            rng=self._make_rng(group.name),
        )
        hosts = [
            CallerHost(
                name=f'{experiment.seed}-{group.name}-{number}',
                group=group,
                addresses=experiment.addresses(group.to),
                clock=self._clock,
                rng=self._make_rng(f'{group.name}-{number}'),
            )
            for number in range(group.hosts)
        ]
        recorder = self._recorders_by_group[group.name]
        return [
            Worker(
                read_elapsed_ms=self._elapsed_ms,
                arrivals=arrivals,
                host=hosts[number % len(hosts)],
                recorder=recorder,
            ).run
            for number in range(max(group.workers, group.hosts))
        ]

    def _make_rng(self, name: str) -> random.Random:
        return random.Random(self._experiment.seed + zlib.crc32(name.encode()))

    def _elapsed_ms(self) -> float:
        return self._clock.now() - self._started_at

    def _remaining_s(self) -> float:
        remaining_ms = self._experiment.duration_ms - self._elapsed_ms()
        return clocks.as_seconds(max(0, remaining_ms))

    async def _apply_faults(self) -> None:
        pending = sorted(
            self._experiment.faults_by_name.values(),
            key=lambda step: step.at_ms,
            reverse=True,
        )
        while pending:
            step = pending.pop()
            wait_ms = max(0, step.at_ms - self._elapsed_ms())
            await curio.sleep(clocks.as_seconds(wait_ms))
            await self._apply_fault(step)

    async def _apply_fault(self, step: FaultStep) -> None:
        path = documents.KNOBS_PATH if step.platform else KNOBS_PATH
        body = documents.encode_document(step.knobs)
        request = Request(method='POST', path=path, body=body)
        addresses = list(self._experiment.addresses(step.to))
        answers = []
        while addresses:
            answers.append(await self._fetch_document(addresses.pop(), request))
        self._faults.append(
            {
                'name': step.name,
                'at_ms': round(self._elapsed_ms()),
                'set': all(answer is not None for answer in answers),
            }
        )

    async def _fetch_document(self, address: str, request: Request) -> Any:
        """Return the JSON body of the answer, `None` without an answer."""
        try:
            response = await self._client.fetch(
                parse_address(address),
                request,
                timeout_ms=settings.LOAD_ENTRIES_TIMEOUT_MS,
            )
        except (NotSentError, AnswerLostError):
            return None
        return json.loads(response.body)

    async def _read_usages_after_warm_up(self) -> dict[str, Usage]:
        wait_ms = max(0, self._experiment.warm_up_ms - self._elapsed_ms())
        await curio.sleep(clocks.as_seconds(wait_ms))
        return self._read_usages()

    def _read_usages(self) -> dict[str, Usage]:
        """Read the usage of all processes that still run."""
        usages_by_name = {}
        for name, pid in self._pids_by_process.items():
            usage = read_usage(pid)
            if usage is not None:
                usages_by_name[name] = usage
        return usages_by_name

    def _usage_by_process(
        self, before: Mapping[str, Usage], after: Mapping[str, Usage]
    ) -> dict[str, dict[str, float]]:
        """Return the usage of each process since `before`.

        The time per request is 0 for a process without measured requests.
        """
        requests_by_process: Counter[str] = Counter()
        for name, group in self._experiment.callers_by_name.items():
            count = self._recorders_by_group[name].count
            requests_by_process[group.process] += count
        usage_by_process = {}
        for name, usage in after.items():
            if name not in before:
                continue
            used_ms = usage.processor_ms - before[name].processor_ms
            count = requests_by_process[name]
            usage_by_process[name] = {
                'processor_ms': used_ms,
                'processor_ms_per_request': used_ms / count if count else 0,
                'resident_bytes': usage.resident_bytes,
                'peak_bytes': usage.peak_bytes,
            }
        return usage_by_process

    async def _collect_counts(self) -> dict[str, dict[str, Any]]:
        targets = [
            target
            for target in self._experiment.places_by_name.values()
            if target.target
        ]
        counts_by_target = {}
        while targets:
            target = targets.pop()
            request = Request(method='GET', path=COUNTS_PATH)
            counts = await self._fetch_document(target.at, request)
            if counts is not None:
                counts_by_target[target.name] = counts
        await self._client.close()
        return counts_by_target

    def _build_outcome(
        self,
        processes_by_name: dict[str, dict[str, float]],
        counts_by_target: dict[str, dict[str, Any]],
    ) -> RunOutcome:
        calls = [
            call
            for recorder in self._recorders_by_group.values()
            for call in recorder.calls
        ]
        return RunOutcome(
            groups_by_name={
                name: recorder.document()
                for name, recorder in self._recorders_by_group.items()
            },
            processes_by_name=processes_by_name,
            counts_by_target=counts_by_target,
            faults=self._faults,
            promise_check=check_promises(calls, counts_by_target),
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Worker:
    """Send the next arrival when it is due, one call at a time.

    The workers of a group share its arrivals. A worker takes an arrival
    before it is due and sleeps until then, so that no task has to be
    started per request. `read_elapsed_ms` returns the time since the start
    of the run.
    """

    read_elapsed_ms: Any
    arrivals: Iterator[Arrival]
    host: CallerHost
    recorder: GroupRecorder

    async def run(self) -> None:
        """Send requests until no arrivals are left."""
        arrival = next(self.arrivals, None)
        while arrival:
            await self._send(arrival)
            arrival = next(self.arrivals, None)

    async def _send(self, arrival: Arrival) -> None:
        prepared = await self.host.prepare(arrival.kind, number=arrival.number)
        wait_ms = arrival.at_ms - self.read_elapsed_ms()
        if wait_ms > 0:
            await curio.sleep(clocks.as_seconds(wait_ms))
        started_ms = self.read_elapsed_ms()
        call = await self.host.call(prepared)
        self.recorder.record(
            call,
            due_ms=arrival.at_ms,
            started_ms=started_ms,
            ended_ms=self.read_elapsed_ms(),
        )
