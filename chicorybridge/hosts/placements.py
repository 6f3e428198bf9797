"""Select targets for requests, queueing those that find no free slot."""

import dataclasses
import random
from collections.abc import Callable, Sequence

import curio

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.attempts import Attempt
from chicorybridge.common.clocks import Clock, Millis, as_seconds
from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.identities import ServiceId, WorkspaceId
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.entry.calls import Call
from chicorybridge.entry.refusals import RefusalError
from chicorybridge.hosts.fleet_admissions import FleetAdmission, urgency_of
from chicorybridge.hosts.policies import HostPolicies
from chicorybridge.hosts.reporters import Reporter
from chicorybridge.hosts.states import HostPhase, HostState
from chicorybridge.http.bodies import CallerError
from chicorybridge.admission.fleet_requests import (
    FleetRequest,
    serving_order,
)
from chicorybridge.routing.queues import RequestQueue
from chicorybridge.routing.selections import Option


@dataclasses.dataclass(kw_only=True, eq=False)
class Waiter(FleetRequest):
    """A queued call; `decided` is set once it has an option or a refusal."""

    call: Call
    decided: curio.Event = dataclasses.field(default_factory=curio.Event)
    option: Option | None = None
    refusal: RefusalError | None = None

    def result(self) -> Option | None:
        """Return the option, `None` while it waits; raise the refusal."""
        if self.refusal is not None:
            raise self.refusal
        return self.option


def _accept(_: Call) -> None:
    """Accept every call."""


class Placements:
    """Select targets for calls, which are queued while none has a free slot.

    Every option that is returned counts as an attempt in flight.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        state: HostState,
        policies: HostPolicies,
        check_call: Callable[[Call], None] = _accept,
        admission: FleetAdmission | None = None,
    ) -> None:
        """Select targets with `policies` until `state` is closing.

        `check_call` raises `RefusalError` for a call that must wait no longer.
        `admission`, if it is on, refuses calls by the queues of the zone.
        """
        self._admission = admission
        self._check_call = check_call
        self._state = state
        self._clock = clock
        self._rng = rng
        self._policies = policies
        self._reporter = policies.reporter
        self._queues_by_id: dict[ServiceId, RequestQueue[Waiter]] = {}

    @property
    def waiting_count(self) -> int:
        """Return how many requests are queued."""
        return sum(len(queue) for queue in self._queues_by_id.values())

    async def place(self, call: Call) -> Option:
        """Return the target of the next attempt.

        Raise `RefusalError` if none has a free slot in time or the host is
        stopping, `CallerError` if the caller disconnects first.
        """
        self._check_closing(call)
        queue = self._queue_of(call.service.service_id)
        waiter = _build_waiter(call)
        self._check_arrival(waiter)
        if not len(queue):
            option = self._policies.select_target(call)
            if option is not None:
                self._start(waiter, option)
                self._reporter.flush()
                return option
        self._add(waiter, queue)
        try:
            return await self._await_target(waiter, queue)
        except BaseException:
            _free(waiter, self._reporter)
            raise
        finally:
            self._remove(waiter, queue)

    def record_attempt(self, attempt: Attempt) -> None:
        """Learn the cost of a route from an attempt, if that is of use."""
        admission = self._active_admission()
        if admission is not None:
            admission.record_attempt(attempt)

    async def serve_queue(self, service_id: ServiceId) -> None:
        """Assign free slots of targets to the first requests of a queue."""
        queue = self._queue_of(service_id)
        now = self._clock.now()
        is_found = False
        mean_latency_ms = (
            self._policies.latencies(service_id).mean_ms if len(queue) else 0
        )
        failed_count = 0
        for waiter in self._serving_order(queue, mean_latency_ms):
            if failed_count >= settings.MAX_FAILED_QUEUE_CHOICES:
                break
            is_selected = self._select_for(waiter)
            is_found = is_found or is_selected
            failed_count += not is_selected
            if waiter.option or waiter.refusal:
                queue.remove(waiter)
                await waiter.decided.set()
        queue.record_check(found=is_found, rng=self._rng, now=now)
        self._reporter.flush()

    def _serving_order(
        self, queue: RequestQueue[Waiter], mean_latency_ms: float
    ) -> Sequence[Waiter]:
        now = self._clock.now()
        order = tuple(queue.serving_order(now=now, expected_ms=mean_latency_ms))
        if self._active_admission() is None:
            return order
        return serving_order(order, now=now)

    def _active_admission(self) -> FleetAdmission | None:
        admission = self._admission
        return admission if admission and admission.is_on else None

    def _check_arrival(self, waiter: Waiter) -> None:
        """Raise if a call that has just arrived is to be refused."""
        admission = self._active_admission()
        if admission is None:
            return
        call = waiter.call
        waiter.urgency = urgency_of(call)
        mean_ms = self._policies.latencies(waiter.service_id).mean_ms
        admission.estimate_work(waiter, call.route.route_id, mean_ms=mean_ms)
        waiter.workspace_id = _workspace_id(call)
        # A retry was admitted before.
        if not call.attempts:
            admission.check_arrival(waiter)

    def _add(self, waiter: Waiter, queue: RequestQueue[Waiter]) -> None:
        queue.add(waiter)
        admission = self._active_admission()
        if admission is not None:
            admission.add(waiter)

    def _remove(self, waiter: Waiter, queue: RequestQueue[Waiter]) -> None:
        if not waiter.decided.is_set():
            queue.remove(waiter)
        if self._admission is not None:
            self._admission.remove(waiter)
        # Its traceback would keep the body until a garbage collection.
        waiter.refusal = None

    def _start(self, waiter: Waiter, option: Option) -> None:
        self._reporter.attempt_started(option.entry.target_id)
        admission = self._active_admission()
        if admission is not None:
            admission.record_start(waiter.service_id)

    def _select_for(self, waiter: Waiter) -> bool:
        """Select a target for a queued call; return whether there was one."""
        try:
            waiter.option = self._policies.select_target(waiter.call)
        except RefusalError as error:
            waiter.refusal = error
        if waiter.option is None:
            return False
        self._start(waiter, waiter.option)
        return True

    async def _await_target(
        self, waiter: Waiter, queue: RequestQueue[Waiter]
    ) -> Option:
        service_id = waiter.call.service.service_id
        await self.serve_queue(service_id)
        option = waiter.result()
        while option is None:
            self._check_waiter(waiter)
            # The caller may leave, too, or too little time be left.
            pause_ms = min(settings.TICK_MS, queue.check_at - self._clock.now())
            async with curio.ignore_after(as_seconds(max(0, pause_ms))):
                await waiter.decided.wait()
            if self._clock.now() >= queue.check_at:
                await self.serve_queue(service_id)
            option = waiter.result()
        return option

    def _check_waiter(self, waiter: Waiter) -> None:
        """Raise if the call should not wait any longer."""
        call = waiter.call
        check_caller(call)
        self._check_call(call)
        self._check_closing(call)
        admission = self._active_admission()
        if admission is not None and not call.attempts:
            admission.check_waiting(waiter)
        left_ms = call.deadline_at - self._clock.now()
        mean_latency_ms = self._policies.latencies(
            call.service.service_id
        ).mean_ms
        if left_ms < mean_latency_ms * settings.MIN_RUN_TIME_FACTOR:
            raise RefusalError(
                code=ErrorCode.overloaded,
                detail='no target had room in time',
                outcome=call.outcome,
                retry_after_ms=settings.OVERLOADED_RETRY_AFTER_MS,
            )

    def _check_closing(self, call: Call) -> None:
        """Refuse a call that has not run if the host is about to stop.

        Nor is one started that would probably be cut by the stop.
        """
        if call.outcome is not RequestOutcome.not_run:
            return
        latencies = self._policies.latencies(call.service.service_id)
        longest_ms = latencies.quantile_ms(1 - settings.SOUND_STALLED_SHARE)
        is_too_late = (
            self._clock.now() + (longest_ms or 0) > self._state.stops_at
        )
        if self._state.phase is HostPhase.closing or is_too_late:
            raise RefusalError(
                code=ErrorCode.host_leaving,
                detail='this host is stopping',
                retry_after_ms=settings.HOST_LEAVING_RETRY_AFTER_MS,
            )

    def _queue_of(self, service_id: ServiceId) -> RequestQueue[Waiter]:
        return self._queues_by_id.setdefault(service_id, RequestQueue())


def check_caller(call: Call) -> None:
    """Raise `CallerError` if the caller closed its connection."""
    if sockets.is_closed(call.exchange.sock):
        raise CallerError(
            code=ErrorCode.stream_closed, detail='caller disconnected'
        )


def _free(waiter: Waiter, reporter: Reporter) -> None:
    """Free the slot of a call that ends before it gets its target."""
    if waiter.option is not None:
        reporter.attempt_finished(waiter.option.entry.target_id)
        reporter.flush()


def _workspace_id(call: Call) -> WorkspaceId | None:
    workspace = call.caller_workspace
    return None if workspace is None else workspace.workspace_id


def _build_waiter(call: Call) -> Waiter:
    left_ms = call.deadline_at - call.started_at
    target_latency_ms = min(call.route.target_latency_ms or left_ms, left_ms)
    return Waiter(
        call=call,
        service_id=call.service.service_id,
        rank=call.rank,
        deadline_at=call.deadline_at,
        arrived_at=call.started_at,
        latency_target_at=Millis(call.started_at + target_latency_ms),
    )
