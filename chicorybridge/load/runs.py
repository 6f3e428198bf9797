"""Carry out an experiment: callers, faults and what the targets counted."""

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
from chicorybridge.load.verdicts import Verdict, judge_calls
from chicorybridge.standins.emulators import COUNTS, KNOBS
from chicorybridge.storage import documents


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """All that a run brought: JSON values by name of group or process."""

    groups_by_name: dict[str, dict[str, Any]]
    processes_by_name: dict[str, dict[str, float]]
    counts_by_target: dict[str, dict[str, Any]]
    faults: list[dict[str, Any]]
    verdict: Verdict


class Run:
    """One run of an experiment."""

    def __init__(
        self,
        *,
        experiment: Experiment,
        pids_by_process: Mapping[str, int],
        clock: clocks.Clock,
    ) -> None:
        """Prepare the callers; nothing is sent yet."""
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

    async def carry_out(self) -> Outcome:
        """Run to the end and return what came of it."""
        workers = self._prepare()
        freeze_collector()
        self._started_at = self._clock.now()
        steps = await curio.spawn(self._turn_knobs)
        before = await curio.spawn(self._usages_after_warm_up)
        async with curio.TaskGroup() as group:
            while workers:
                await group.spawn(workers.pop())
            await group.spawn(curio.sleep, self._seconds_left())
        processes = self._charge(await before.join(), self._usages())
        await steps.join()
        counts_by_target = await self._collect_counts()
        return self._finish(processes, counts_by_target)

    def _prepare(self) -> list[Any]:
        workers = []
        for group in self._experiment.callers_by_name.values():
            workers.extend(self._prepare_group(group))
        return workers

    def _prepare_group(self, group: CallerGroup) -> list[Any]:
        experiment = self._experiment
        arrivals = draw_arrivals(
            group,
            [experiment.requests_by_name[name] for name in group.requests],
            duration_ms=experiment.duration_ms,
            rng=self._random(group.name),
        )
        hosts = [
            CallerHost(
                name=f'{experiment.seed}-{group.name}-{number}',
                group=group,
                addresses=experiment.addresses(group.to),
                clock=self._clock,
                rng=self._random(f'{group.name}-{number}'),
            )
            for number in range(group.hosts)
        ]
        recorder = self._recorders_by_group[group.name]
        return [
            Worker(
                run_clock=self._elapsed_ms,
                arrivals=arrivals,
                host=hosts[number % len(hosts)],
                recorder=recorder,
            ).work
            for number in range(max(group.workers, group.hosts))
        ]

    def _random(self, name: str) -> random.Random:
        return random.Random(self._experiment.seed + zlib.crc32(name.encode()))

    def _elapsed_ms(self) -> float:
        return self._clock.now() - self._started_at

    def _seconds_left(self) -> float:
        left_ms = self._experiment.duration_ms - self._elapsed_ms()
        return clocks.as_seconds(max(0, left_ms))

    async def _turn_knobs(self) -> None:
        pending = sorted(
            self._experiment.faults_by_name.values(),
            key=lambda step: step.at_ms,
            reverse=True,
        )
        while pending:
            step = pending.pop()
            wait_ms = max(0, step.at_ms - self._elapsed_ms())
            await curio.sleep(clocks.as_seconds(wait_ms))
            await self._turn(step)

    async def _turn(self, step: FaultStep) -> None:
        path = documents.KNOBS_PATH if step.platform else KNOBS
        body = documents.encode_document(step.knobs)
        request = Request(method='POST', path=path, body=body)
        addresses = list(self._experiment.addresses(step.to))
        statuses = []
        while addresses:
            statuses.append(await self._fetch(addresses.pop(), request))
        self._faults.append(
            {
                'name': step.name,
                'at_ms': round(self._elapsed_ms()),
                'set': all(status is not None for status in statuses),
            }
        )

    async def _fetch(self, address: str, request: Request) -> Any:
        """Return the document of the answer, `None` without one."""
        try:
            response = await self._client.fetch(
                parse_address(address),
                request,
                timeout_ms=settings.LOAD_ENTRIES_TIMEOUT_MS,
            )
        except (NotSentError, AnswerLostError):
            return None
        return json.loads(response.body)

    async def _usages_after_warm_up(self) -> dict[str, Usage]:
        wait_ms = max(0, self._experiment.warm_up_ms - self._elapsed_ms())
        await curio.sleep(clocks.as_seconds(wait_ms))
        return self._usages()

    def _usages(self) -> dict[str, Usage]:
        """Read all processes; one that has ended is left out."""
        usages_by_name = {}
        for name, pid in self._pids_by_process.items():
            usage = read_usage(pid)
            if usage is not None:
                usages_by_name[name] = usage
        return usages_by_name

    def _charge(
        self, before: Mapping[str, Usage], after: Mapping[str, Usage]
    ) -> dict[str, dict[str, float]]:
        """Return what each process used, and per request if known."""
        requests_by_process: Counter[str] = Counter()
        for name, group in self._experiment.callers_by_name.items():
            count = self._recorders_by_group[name].count
            requests_by_process[group.process] += count
        charged = {}
        for name, usage in after.items():
            if name not in before:
                continue
            used_ms = usage.processor_ms - before[name].processor_ms
            count = requests_by_process[name]
            charged[name] = {
                'processor_ms': used_ms,
                'processor_ms_per_request': used_ms / count if count else 0,
                'resident_bytes': usage.resident_bytes,
                'peak_bytes': usage.peak_bytes,
            }
        return charged

    async def _collect_counts(self) -> dict[str, dict[str, Any]]:
        places = [
            place
            for place in self._experiment.places_by_name.values()
            if place.target
        ]
        counts_by_target = {}
        while places:
            place = places.pop()
            request = Request(method='GET', path=COUNTS)
            counts = await self._fetch(place.at, request)
            if counts is not None:
                counts_by_target[place.name] = counts
        await self._client.close()
        return counts_by_target

    def _finish(
        self,
        processes_by_name: dict[str, dict[str, float]],
        counts_by_target: dict[str, dict[str, Any]],
    ) -> Outcome:
        calls = [
            call
            for recorder in self._recorders_by_group.values()
            for call in recorder.calls
        ]
        return Outcome(
            groups_by_name={
                name: recorder.document()
                for name, recorder in self._recorders_by_group.items()
            },
            processes_by_name=processes_by_name,
            counts_by_target=counts_by_target,
            faults=self._faults,
            verdict=judge_calls(calls, counts_by_target),
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Worker:
    """Send whatever is due next, one call at a time.

    Workers of a group share its arrivals. A worker takes the next one
    before it is due and sleeps until then, so that no task has to be
    started for a request.
    """

    run_clock: Any
    arrivals: Iterator[Arrival]
    host: CallerHost
    recorder: GroupRecorder

    async def work(self) -> None:
        """Work until no more requests come."""
        arrival = next(self.arrivals, None)
        while arrival:
            await self._send(arrival)
            arrival = next(self.arrivals, None)

    async def _send(self, arrival: Arrival) -> None:
        prepared = await self.host.prepare(arrival.kind, number=arrival.number)
        wait_ms = arrival.at_ms - self.run_clock()
        if wait_ms > 0:
            await curio.sleep(clocks.as_seconds(wait_ms))
        begun_ms = self.run_clock()
        call = await self.host.call(prepared)
        self.recorder.record(
            call,
            due_ms=arrival.at_ms,
            begun_ms=begun_ms,
            ended_ms=self.run_clock(),
        )
