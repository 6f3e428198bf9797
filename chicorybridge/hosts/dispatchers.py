"""Handles one request of a caller: reads, forwards, retries, answers."""

from http import HTTPStatus

import curio

from chicorybridge.common.attempts import AttemptOutcome
from chicorybridge.common.clocks import Clock
from chicorybridge.common.errors import RequestError, require
from chicorybridge.common.identities import PoolId
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.common.tasks import is_cancelled_within
from chicorybridge.configuration.declarations import Target
from chicorybridge.entry.answers import BufferedAnswer, named_rate
from chicorybridge.entry.attempt_runners import AttemptRunner
from chicorybridge.entry.calls import Call
from chicorybridge.entry.refusals import RefusalError, check_streamed
from chicorybridge.hosts.crash_checks import CrashChecks
from chicorybridge.hosts.final_answers import is_final, last_answer
from chicorybridge.hosts.placements import Placements, check_caller
from chicorybridge.hosts.policies import HostPolicies
from chicorybridge.hosts.request_readers import RequestReader
from chicorybridge.hosts.responders import Responder
from chicorybridge.hosts.turn_checks import TurnChecks
from chicorybridge.http.bodies import CallerError
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.target_connections import TargetConnections
from chicorybridge.http.exchanges import Head
from chicorybridge.quotas.permits import Permits
from chicorybridge.routing.allowances import RetryBound
from chicorybridge.routing.selections import Option


class HostDispatcher:
    """Forward requests to targets and answer them."""

    def __init__(
        self,
        *,
        clock: Clock,
        reader: RequestReader,
        permits: Permits,
        responder: Responder,
        policies: HostPolicies,
        connections: TargetConnections,
        crash_checks: CrashChecks,
        placements: Placements,
    ) -> None:
        """Read requests with `reader`, answer them with `responder`."""
        self.calls_by_number: dict[int, Call] = {}
        self._clock = clock
        self._policies = policies
        self.reporter = policies.reporter
        self._connections = connections
        self._request_log = responder.request_log
        self._crash_checks = crash_checks
        self._placements = placements
        self._turns = TurnChecks(clock=clock, state=responder.state)
        self._last_number = 0
        self._responder = responder
        self._reader = reader
        self._key_checks = reader.key_checks
        self.permits = permits

    async def answer(self, exchange: CallerExchange, head: Head) -> None:
        """Answer one request.

        Raise `CallerError` if the caller disconnects or violates HTTP, or if
        an answer that was started cannot be completed.
        """
        try:
            call = await self._read(exchange, head)
        except RequestError as error:
            await self._responder.refuse(
                exchange, error, RequestOutcome.not_run, head
            )
            return
        self._last_number += 1
        number = self._last_number
        self.calls_by_number[number] = call
        exchange.cancel_on_disconnect = call.idempotent
        try:
            status = await self._answer_call(call)
        except BaseException as error:
            self._request_log.log_unanswered(call, error, now=self._clock.now())
            raise
        finally:
            self.calls_by_number.pop(number)
            self._end(call)
        self._request_log.log_end(call, status=status, now=self._clock.now())

    @property
    def waiting_count(self) -> int:
        """Return how many requests wait for a free slot of a target."""
        return self._placements.waiting_count

    def set_retry_bound(self, bound: RetryBound) -> None:
        """Replace the bound on retries."""
        self._policies.set_retry_bound(bound)

    async def refuse(
        self,
        exchange: CallerExchange,
        error: RequestError,
        outcome: RequestOutcome,
    ) -> None:
        """Answer a request that could not be read."""
        await self._responder.refuse(exchange, error, outcome)

    def _end(self, call: Call) -> None:
        self._crash_checks.end(call)
        if call.outcome is RequestOutcome.not_run:
            self._reader.give_back(call)
        call.body.close()

    async def _read(self, exchange: CallerExchange, head: Head) -> Call:
        with self._responder.wrap_unexpected_errors(head):
            return await self._reader.read(exchange, head)

    async def _answer_call(self, call: Call) -> int:
        """Answer a call and return the status that was sent."""
        try:
            with self._responder.wrap_unexpected_errors(call.head):
                return await self._forward_and_send(call)
        except RequestError as error:
            if call.exchange.answer_started:
                # A truncated answer must not look complete.
                raise CallerError(
                    code=error.code, detail=error.detail
                ) from error
            return await self._responder.refuse(
                call.exchange, error, call.outcome, call.head
            )

    async def _forward_and_send(self, call: Call) -> int:
        await self._turns.await_turn(call)
        self._policies.record_request(call)
        try:
            answer = await self._try_targets(call)
        finally:
            await call.stop_relay()
        if answer is None:
            return HTTPStatus.OK
        await self._responder.send(call.exchange, answer)
        return answer.status

    async def _try_targets(self, call: Call) -> BufferedAnswer | None:
        """Try targets in turn; return `None` if the answer was streamed."""
        runner: AttemptRunner | None = None
        while True:
            next_runner = await self._try_next(call, runner)
            if next_runner is None:
                return last_answer(call, runner)
            runner = next_runner
            attempt = call.attempts[-1]
            if call.committed:
                check_streamed(attempt)
                await call.finish_relay()
                return None
            if is_final(runner, attempt):
                return runner.answer
            if not self._policies.may_retry(call):
                return last_answer(call, runner)

    async def _try_next(
        self, call: Call, previous: AttemptRunner | None
    ) -> AttemptRunner | None:
        """Send a call to the next target, `None` if there is none.

        A target that must not get it any more by then counts as not tried.
        """
        while True:
            option = await self._next_target(call, previous)
            if option is None:
                return None
            self._policies.record_retry(call)
            self._crash_checks.log_sending(call, option.entry.target_id)
            runner = self._build_runner(call, option)
            outcome = await self._run_attempt(call, runner, option)
            if outcome is not AttemptOutcome.withheld:
                return runner

    async def _next_target(
        self, call: Call, previous: AttemptRunner | None
    ) -> Option | None:
        """Return the next target, `None` if there is none.

        The result of the previous attempt then goes to the caller. Raise
        `RefusalError` instead if no target has run the request.
        """
        check_caller(call)
        self._turns.check(call)
        call.body.check_held()
        try:
            self._crash_checks.check(call)
            self._key_checks.check(call)
            return await self._placements.place(call)
        except RefusalError:
            if previous is None or call.outcome is RequestOutcome.not_run:
                raise
            return None

    def _build_runner(self, call: Call, option: Option) -> AttemptRunner:
        limits = self._policies.attempt_limits(call, option)
        limits = self._crash_checks.guard(call, limits)
        limits = self._key_checks.guard(call, limits)
        entry = option.entry
        target = Target(
            target_id=entry.target_id,
            pool_id=PoolId(entry.service_id),
            zone_id=entry.zone_id,
            address=entry.address,
        )
        return AttemptRunner(
            call=call,
            target=target,
            connections=self._connections,
            clock=self._clock,
            # Last, as the call counts as sent from then on.
            limits=self._turns.guard(call, limits),
        )

    async def _run_attempt(
        self, call: Call, runner: AttemptRunner, option: Option
    ) -> AttemptOutcome:
        require(
            promise='a non-idempotent request runs at most once',
            holds=call.idempotent or call.outcome is RequestOutcome.not_run,
        )
        call.attempt_in_progress = True
        # Holds if this task is cancelled because the caller disconnected.
        outcome = AttemptOutcome.cancelled
        stall_task = await curio.spawn(
            self._report_stall(call, option), daemon=True
        )
        try:
            outcome = await runner.run()
        finally:
            # Does not block: a cancellation in that wait would skip
            # `_record_attempt`, and the slot would never be released.
            await stall_task.cancel(blocking=False)
            await self._record_attempt(call, runner, outcome, option)
        return outcome

    async def _report_stall(self, call: Call, option: Option) -> None:
        started_at = self._clock.now()
        stall_ms = self._policies.stall_ms(call, option)
        if await is_cancelled_within(stall_ms):
            return
        self._policies.record_stall(option.entry.target_id)
        await self._crash_checks.check_stalled(
            call, option.entry, started_at=started_at
        )

    async def _record_attempt(
        self,
        call: Call,
        runner: AttemptRunner,
        outcome: AttemptOutcome,
        option: Option,
    ) -> None:
        attempt = runner.result(outcome)
        if outcome is AttemptOutcome.withheld:
            call.attempt_in_progress = False
        else:
            call.record(attempt)
            self._placements.record_attempt(attempt)
        self._policies.record_attempt(
            attempt, option.entry, rate_per_s=named_rate(call, runner.head)
        )
        self._request_log.log_attempt(call, attempt, option)
        await self._crash_checks.record_attempt(
            call, attempt, option.entry, head=runner.head
        )
        await self._placements.serve_queue(call.service.service_id)
