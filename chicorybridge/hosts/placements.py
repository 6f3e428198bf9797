"""Placing requests on targets: at once if one has room, else in turn."""

import dataclasses
import random

import curio

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.clocks import Clock, Millis, as_seconds
from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.identities import ServiceId
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.entry.calls import Call
from chicorybridge.entry.refusals import RefusalError
from chicorybridge.hosts.policies import HostPolicies
from chicorybridge.hosts.states import HostDuty, HostState
from chicorybridge.http.bodies import CallerError
from chicorybridge.routing.queues import QueuedRequest, RequestQueue
from chicorybridge.routing.selections import Option


@dataclasses.dataclass(kw_only=True, eq=False)
class Waiter(QueuedRequest):
    """A queued call; `turn` is set with either an option or a refusal."""

    call: Call
    turn: curio.Event = dataclasses.field(default_factory=curio.Event)
    option: Option | None = None
    refusal: RefusalError | None = None

    def taken(self) -> Option | None:
        """Return the option, `None` before the turn; raise the refusal."""
        if self.refusal is not None:
            raise self.refusal
        return self.option


class Placements:
    """Choose targets for calls, which wait while none has room.

    Every option that is given out counts as an attempt under way.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        state: HostState,
        policies: HostPolicies,
    ) -> None:
        """Ask `policies` for targets while `state` allows it."""
        self._state = state
        self._clock = clock
        self._rng = rng
        self._policies = policies
        self._reporter = policies.reporter
        self._queues_by_id: dict[ServiceId, RequestQueue[Waiter]] = {}

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return sum(len(queue) for queue in self._queues_by_id.values())

    async def place(self, call: Call) -> Option:
        """Return the target of the next attempt.

        Raise `RefusalError` if none has room in time or the host leaves,
        `CallerError` if the caller leaves first.
        """
        self._check_leaving(call)
        queue = self._queue(call.service.service_id)
        if not len(queue):
            option = self._policies.choose(call)
            if option is not None:
                self._reporter.started(option.entry.target_id)
                self._reporter.flush()
                return option
        waiter = _waiter(call)
        queue.add(waiter)
        try:
            return await self._wait(waiter, queue)
        except BaseException:
            if waiter.option is not None:
                self._reporter.finished(waiter.option.entry.target_id)
                self._reporter.flush()
            raise
        finally:
            if not waiter.turn.is_set():
                queue.remove(waiter)

    async def advance(self, service_id: ServiceId) -> None:
        """Give targets that have room to the requests that are next."""
        queue = self._queue(service_id)
        now = self._clock.now()
        queue.checked_at = now
        usual_ms = self._policies.usual_ms(service_id) if len(queue) else 0
        vain = 0
        for waiter in tuple(queue.serving_order(now=now, expected_ms=usual_ms)):
            if vain >= settings.QUEUE_VAIN_CHOICES:
                break
            vain += not self._choose(waiter)
            if waiter.option or waiter.refusal:
                queue.remove(waiter)
                await waiter.turn.set()
        self._reporter.flush()

    def _choose(self, waiter: Waiter) -> bool:
        """Choose a target for a waiting call; return if there was one."""
        try:
            waiter.option = self._policies.choose(waiter.call)
        except RefusalError as error:
            waiter.refusal = error
        if waiter.option is None:
            return False
        self._reporter.started(waiter.option.entry.target_id)
        return True

    async def _wait(
        self, waiter: Waiter, queue: RequestQueue[Waiter]
    ) -> Option:
        service_id = waiter.call.service.service_id
        await self.advance(service_id)
        option = waiter.taken()
        while option is None:
            self._check(waiter)
            # Hosts that wait for the same target rarely look at one moment.
            pause_ms = self._rng.uniform(
                settings.QUEUE_LOOK_LEAST_MS, settings.QUEUE_LOOK_MOST_MS
            )
            async with curio.ignore_after(as_seconds(pause_ms)):
                await waiter.turn.wait()
            idle_ms = self._clock.now() - queue.checked_at
            if idle_ms >= settings.QUEUE_LOOK_LEAST_MS:
                await self.advance(service_id)
            option = waiter.taken()
        return option

    def _check(self, waiter: Waiter) -> None:
        """Raise if it makes no sense to wait on."""
        call = waiter.call
        check_caller(call)
        self._check_leaving(call)
        left_ms = call.deadline_at - self._clock.now()
        usual_ms = self._policies.usual_ms(call.service.service_id)
        if left_ms < usual_ms * settings.QUEUE_RUN_FACTOR:
            raise RefusalError(
                code=ErrorCode.overloaded,
                detail='no target had room in time',
                outcome=call.outcome,
                retry_after_ms=settings.OVERLOADED_RETRY_MS,
            )

    def _check_leaving(self, call: Call) -> None:
        """Raise if the host may end before a first run of the call does."""
        not_run = call.outcome is RequestOutcome.not_run
        if self._state.duty is HostDuty.closing and not_run:
            raise RefusalError(
                code=ErrorCode.host_leaving,
                detail='this host is stopping',
                retry_after_ms=settings.HOST_LEAVING_RETRY_MS,
            )

    def _queue(self, service_id: ServiceId) -> RequestQueue[Waiter]:
        return self._queues_by_id.setdefault(service_id, RequestQueue())


def check_caller(call: Call) -> None:
    """Raise `CallerError` if the caller has gone."""
    if sockets.is_closed(call.exchange.sock):
        raise CallerError(
            code=ErrorCode.stream_closed, detail='the caller has gone'
        )


def _waiter(call: Call) -> Waiter:
    left_ms = call.deadline_at - call.started_at
    aim_ms = min(call.route.target_latency_ms or left_ms, left_ms)
    return Waiter(
        call=call,
        rank=call.route.rank,
        deadline_at=call.deadline_at,
        arrived_at=call.started_at,
        latency_target_at=Millis(call.started_at + aim_ms),
    )
