"""A simulated target with slots, a queue and random service times."""

import dataclasses
import enum
import random
from collections import deque
from collections.abc import Callable

from chicorybridge.tools.models.schedules import Schedule


class Reply(enum.Enum):
    """How the target ends a job."""

    answered = 'answered'
    shed = 'shed'
    refused = 'refused'
    cut = 'cut'


OnDone = Callable[[Reply], None]


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Job:
    """One attempt at the target; `work_ms` is its median time at speed 1."""

    work_ms: float
    on_done: OnDone
    crashes: bool = False
    ended: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class Behaviour:
    """How a target serves jobs.

    `slowness` is the factor on service times of a gray target, `shed_queue`
    the queue length at which it sheds (`None`: it never does), `shed_ms`
    the time to do so, `restart_ms` the time for which it is down after a
    crash, `spread` the sigma of the log-normal service time.
    """

    slots: int = 6
    speed: float = 1.0
    slowness: float = 1.0
    shed_queue: int | None = 12
    shed_ms: float = 2.0
    restart_ms: float = 5000
    spread: float = 0.5


class TargetModel:
    """Serve jobs first in, first out, one in each slot."""

    def __init__(
        self,
        *,
        schedule: Schedule,
        rng: random.Random,
        behaviour: Behaviour,
    ) -> None:
        """Start without jobs."""
        self.behaviour = behaviour
        self.crashes = 0
        self.max_jobs = 0
        self._schedule = schedule
        self._rng = rng
        self._queue: deque[Job] = deque()
        self._running: set[Job] = set()
        self._down_until: float = 0

    def submit(self, job: Job) -> None:
        """Start, queue, shed or refuse a job."""
        if self._schedule.now < self._down_until:
            job.on_done(Reply.refused)
            return
        max_queued = self.behaviour.shed_queue
        if max_queued is not None and len(self._queue) >= max_queued:
            self._schedule.call_later(
                self.behaviour.shed_ms, lambda: job.on_done(Reply.shed)
            )
            return
        self._queue.append(job)
        self._start_queued()
        jobs = len(self._queue) + len(self._running)
        self.max_jobs = max(self.max_jobs, jobs)

    def cancel(self, job: Job) -> None:
        """Drop a job whose caller no longer waits."""
        job.ended = True
        if job in self._running:
            self._running.remove(job)
            self._start_queued()

    def crash(self) -> None:
        """Cut all jobs at once and be down for `restart_ms`."""
        self.crashes += 1
        self._down_until = self._schedule.now + self.behaviour.restart_ms
        jobs = [*self._running, *self._queue]
        self._running.clear()
        self._queue.clear()
        for job in jobs:
            if not job.ended:
                job.ended = True
                job.on_done(Reply.cut)

    def _start_queued(self) -> None:
        while self._queue and len(self._running) < self.behaviour.slots:
            job = self._queue.popleft()
            if not job.ended:
                self._start(job)

    def _start(self, job: Job) -> None:
        self._running.add(job)
        time_factor = self._rng.lognormvariate(0, self.behaviour.spread)
        slowdown = self.behaviour.slowness / self.behaviour.speed
        self._schedule.call_later(
            job.work_ms * time_factor * slowdown, lambda: self._end(job)
        )

    def _end(self, job: Job) -> None:
        if job.ended:
            return
        if job.crashes:
            self.crash()
            return
        job.ended = True
        self._running.remove(job)
        self._start_queued()
        job.on_done(Reply.answered)
