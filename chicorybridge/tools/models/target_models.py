"""A fake target: slots, a queue, and service times drawn from a model."""

import dataclasses
import enum
import random
from collections import deque
from collections.abc import Callable

from chicorybridge.tools.models.schedules import Schedule


class Reply(enum.Enum):
    """What the target does with a job in the end."""

    answered = 'answered'
    shed = 'shed'
    refused = 'refused'
    cut = 'cut'


Done = Callable[[Reply], None]


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Job:
    """One attempt at the target; `work_ms` is its time at speed 1."""

    work_ms: float
    done: Done
    crashes: bool = False
    over: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class Behaviour:
    """How a target serves.

    `slowness` is the factor of a gray target, `shed_queue` the longest
    queue (`None`: it queues without end), `restart_ms` how long it is away
    after a crash, `spread` the sigma of the log-normal service time.
    """

    slots: int = 6
    speed: float = 1.0
    slowness: float = 1.0
    shed_queue: int | None = 12
    shed_ms: float = 2.0
    restart_ms: float = 5000
    spread: float = 0.5


class TargetModel:
    """Serve jobs in the order they come, as many at once as there are slots."""

    def __init__(
        self,
        *,
        schedule: Schedule,
        rng: random.Random,
        behaviour: Behaviour,
    ) -> None:
        """Start idle."""
        self.behaviour = behaviour
        self.crashes = 0
        self.most_held = 0
        self._schedule = schedule
        self._rng = rng
        self._queue: deque[Job] = deque()
        self._running: set[Job] = set()
        self._down_until: float = 0

    def submit(self, job: Job) -> None:
        """Take, queue, shed or refuse a job."""
        if self._schedule.now < self._down_until:
            job.done(Reply.refused)
            return
        longest = self.behaviour.shed_queue
        if longest is not None and len(self._queue) >= longest:
            self._schedule.call_later(
                self.behaviour.shed_ms, lambda: job.done(Reply.shed)
            )
            return
        self._queue.append(job)
        self._fill()
        held = len(self._queue) + len(self._running)
        self.most_held = max(self.most_held, held)

    def cancel(self, job: Job) -> None:
        """Give up a job whose caller no longer waits."""
        job.over = True
        if job in self._running:
            self._running.remove(job)
            self._fill()

    def crash(self) -> None:
        """End at once: every job here is cut; come back after a while."""
        self.crashes += 1
        self._down_until = self._schedule.now + self.behaviour.restart_ms
        held = [*self._running, *self._queue]
        self._running.clear()
        self._queue.clear()
        for job in held:
            if not job.over:
                job.over = True
                job.done(Reply.cut)

    def _fill(self) -> None:
        while self._queue and len(self._running) < self.behaviour.slots:
            job = self._queue.popleft()
            if not job.over:
                self._start(job)

    def _start(self, job: Job) -> None:
        self._running.add(job)
        drawn = self._rng.lognormvariate(0, self.behaviour.spread)
        pace = self.behaviour.slowness / self.behaviour.speed
        self._schedule.call_later(
            job.work_ms * drawn * pace, lambda: self._end(job)
        )

    def _end(self, job: Job) -> None:
        if job.over:
            return
        if job.crashes:
            self.crash()
            return
        job.over = True
        self._running.remove(job)
        self._fill()
        job.done(Reply.answered)
