"""A simulated entry process with the real decision code.

Only the targets and the network are simulated.
"""

import dataclasses
import random
import types
from collections.abc import Callable, Collection
from typing import Protocol

from chicorybridge import settings
from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import (
    Digest,
    RouteId,
    ServiceId,
    TargetId,
    ZoneId,
)
from chicorybridge.common.outcomes import RequestOutcome, outcome_of
from chicorybridge.configuration.declarations import Declaration, Priority
from chicorybridge.routing.choosers import Chooser
from chicorybridge.routing.limits import Limiter
from chicorybridge.quarantine.quarantines import (
    CrashReport,
    Quarantine,
    may_have_crashed,
)
from chicorybridge.routing.retries import RequestFacts, RetryPolicy
from chicorybridge.routing.subsets import FleetSize
from chicorybridge.tools.models.schedules import Schedule
from chicorybridge.tools.models.target_models import Job, Reply, TargetModel

# Round trips by locality: own zone, other zones of the region, other regions.
ROUND_TRIPS_MS = (0.2, 1.0, 24.0)

OUTCOMES_BY_REPLY = types.MappingProxyType(
    {
        Reply.answered: AttemptOutcome.answered,
        Reply.shed: AttemptOutcome.shed,
        Reply.refused: AttemptOutcome.unreachable,
        Reply.cut: AttemptOutcome.cut,
    }
)


class Picker(Protocol):
    """The interface by which an entry selects targets."""

    def pick(
        self,
        service_id: ServiceId,
        *,
        excluded: Collection[TargetId] = (),
        now: Millis,
    ) -> TargetId | None:
        """Return the target for a new attempt."""

    def started(self, target_id: TargetId, now: Millis) -> None:
        """Record the start of an attempt."""

    def finished(self, attempt: Attempt, now: Millis) -> float | None:
        """Record an ended attempt; return the slowness of its target."""


@dataclasses.dataclass(kw_only=True, slots=True)
class Call:
    """A request of a caller, its attempts and its outcome."""

    service_id: ServiceId
    work_ms: float
    started_at: Millis
    timeout_ms: float = 5000
    priority: Priority = Priority.normal
    idempotent: bool = True
    crashes: bool = False
    digest: Digest = Digest('')
    quarantined: bool = False
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    outcome: RequestOutcome | None = None
    ended_at: Millis = Millis(0)

    @property
    def elapsed_ms(self) -> float:
        """Return the milliseconds for which the caller waited."""
        return self.ended_at - self.started_at


OnEnd = Callable[[Call], None]


class EntryModel:
    """Serve calls: admit, select a target, send, retry."""

    def __init__(
        self,
        *,
        schedule: Schedule,
        models_by_target: dict[TargetId, TargetModel],
        picker: Picker,
        limiter: Limiter | None = None,
        retries: RetryPolicy | None = None,
    ) -> None:
        """Start an entry; without `limiter` it admits all calls."""
        self.quarantine = Quarantine()
        # Sends a crash report to the control process, if there is one.
        self.report_crash: Callable[[CrashReport], None] | None = None
        self.picker = picker
        self.limiter = limiter
        self.retries = retries
        self.round_trips_by_target: dict[TargetId, float] = {}
        self._schedule = schedule
        self._models_by_target = models_by_target

    def serve(self, call: Call, on_end: OnEnd) -> None:
        """Serve one call; call `on_end` when it ends."""
        if not self._is_admitted(call):
            self._end(call, on_end)
            return
        if self.retries is not None:
            self.retries.record_request(call.service_id, now=self._schedule.now)
        self._attempt(call, on_end)

    def handle_attempt_end(
        self, call: Call, attempt: Attempt, on_end: OnEnd
    ) -> None:
        """Record an ended attempt; retry or end the call."""
        now = self._schedule.now
        call.attempts.append(attempt)
        slowness = self.picker.finished(attempt, now)
        if self.limiter is not None:
            self.limiter.finished(attempt, slowness=slowness, now=now)
        report = self.quarantine.record_attempt(call.digest, attempt, now=now)
        if report is not None and self.report_crash is not None:
            self.report_crash(report)
        if may_have_crashed(attempt):
            # Retry only once the report can have reached the other hosts.
            self._schedule.call_later(
                settings.SUSPECT_RETRY_DELAY_MS,
                lambda: self._retry_or_end(call, on_end),
            )
            return
        self._retry_or_end(call, on_end)

    def _retry_or_end(self, call: Call, on_end: OnEnd) -> None:
        if self._should_retry(call):
            self._attempt(call, on_end)
            return
        self._end(call, on_end)

    def _pick(self, call: Call, tried: frozenset[TargetId]) -> TargetId | None:
        picker = self.picker
        if isinstance(picker, Chooser):
            if self.quarantine.is_suspect(call.digest):
                return picker.pick_for_suspect(
                    call.service_id, call.digest, excluded=tried
                )
        return picker.pick(
            call.service_id, excluded=tried, now=self._schedule.now
        )

    def _is_admitted(self, call: Call) -> bool:
        if self.limiter is None:
            return True
        return self.limiter.admit(
            call.service_id,
            priority=call.priority,
            workspace_id=None,
            now=self._schedule.now,
        ).admitted

    def _attempt(self, call: Call, on_end: OnEnd) -> None:
        now = self._schedule.now
        if self.quarantine.refuses(call.digest, now=now):
            call.quarantined = True
            self._end(call, on_end)
            return
        tried = frozenset(attempt.target_id for attempt in call.attempts)
        target_id = self._pick(call, tried)
        if target_id is None:
            self._end(call, on_end)
            return
        self.picker.started(target_id, now)
        if self.limiter is not None:
            self.limiter.started(call.service_id)
        _PendingAttempt(
            entry=self, schedule=self._schedule, call=call, on_end=on_end
        ).start(target_id, self._models_by_target[target_id])

    def _should_retry(self, call: Call) -> bool:
        if self.retries is None:
            return False
        deadline_at = Millis(call.started_at + call.timeout_ms)
        facts = RequestFacts(
            service_id=call.service_id,
            idempotent=call.idempotent,
            deadline_at=deadline_at,
        )
        decision = self.retries.decide(
            facts, call.attempts, now=self._schedule.now
        )
        return decision.retry

    def _end(self, call: Call, on_end: OnEnd) -> None:
        call.outcome = outcome_of(call.attempts)
        call.ended_at = self._schedule.now
        on_end(call)


@dataclasses.dataclass(kw_only=True, slots=True)
class _PendingAttempt:
    """One attempt that is being sent or waits for its reply."""

    entry: EntryModel
    schedule: Schedule
    call: Call
    on_end: OnEnd
    started_at: Millis = Millis(0)
    target_id: TargetId = TargetId('')
    ended: bool = False

    def start(self, target_id: TargetId, model: TargetModel) -> None:
        """Send the attempt to `model`; time out at the deadline of the call."""
        self.target_id = target_id
        self.started_at = self.schedule.now
        job = Job(
            work_ms=self.call.work_ms,
            on_done=self.reply,
            crashes=self.call.crashes,
        )
        remaining_ms = (
            self.call.started_at + self.call.timeout_ms - self.schedule.now
        )
        self.schedule.call_later(self._one_way_ms(), lambda: model.submit(job))
        self.schedule.call_later(
            remaining_ms, lambda: self._time_out(job, model)
        )

    def reply(self, reply: Reply) -> None:
        """Deliver the reply of the target to the entry."""
        outcome = OUTCOMES_BY_REPLY[reply]
        self.schedule.call_later(
            self._one_way_ms(), lambda: self._finish(outcome)
        )

    def _one_way_ms(self) -> float:
        return self.entry.round_trips_by_target.get(self.target_id, 0) / 2

    def _time_out(self, job: Job, model: TargetModel) -> None:
        if self.ended:
            return
        model.cancel(job)
        self._finish(AttemptOutcome.timed_out)

    def _finish(self, outcome: AttemptOutcome) -> None:
        if self.ended:
            return
        self.ended = True
        unreachable = outcome is AttemptOutcome.unreachable
        attempt = Attempt(
            service_id=self.call.service_id,
            target_id=self.target_id,
            route_id=RouteId(self.call.service_id),
            outcome=outcome,
            started_at=self.started_at,
            elapsed_ms=self.schedule.now - self.started_at,
            sent_bytes=0 if unreachable else 1,
        )
        self.entry.handle_attempt_end(self.call, attempt, self.on_end)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryPlan:
    """Zone of an entry, size of the fleet, and whether it limits admission."""

    zone_id: ZoneId
    fleet: FleetSize
    admission: bool = True


def make_entry(
    declaration: Declaration,
    plan: EntryPlan,
    *,
    schedule: Schedule,
    models_by_target: dict[TargetId, TargetModel],
    rng: random.Random,
) -> EntryModel:
    """Return an entry with the real chooser, limiter and retry policy."""
    limiter = Limiter(rng=rng)
    limiter.set_declaration(declaration, fleet=plan.fleet)
    chooser = Chooser(
        rng=rng, weight_of=lambda _: 1, has_capacity=limiter.has_capacity
    )
    chooser.set_declaration(declaration, plan.zone_id, now=schedule.now)
    retries = RetryPolicy()
    retries.set_declaration(declaration)
    return EntryModel(
        schedule=schedule,
        models_by_target=models_by_target,
        picker=chooser,
        limiter=limiter if plan.admission else None,
        retries=retries,
    )
