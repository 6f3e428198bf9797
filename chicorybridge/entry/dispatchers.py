"""Handling of one request: admission, claim, attempts and answer."""

import dataclasses
import logging
from collections.abc import Callable

import curio

from chicorybridge import settings
from chicorybridge.claims.claim_clients import ClaimClient, Post
from chicorybridge.claims.claim_messages import ClaimDecided, ClaimVerdict
from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Clock, as_seconds
from chicorybridge.common.errors import ErrorCode, RequestError, require
from chicorybridge.common.identities import (
    RequestKey,
)
from chicorybridge.common.outcomes import (
    COMPLETE_OUTCOMES,
    RequestOutcome,
)
from chicorybridge.entry.answers import BufferedAnswer
from chicorybridge.entry.attempt_runners import (
    DEFAULT_LIMITS,
    NON_IDEMPOTENT_LIMITS,
    AttemptRunner,
)
from chicorybridge.entry.call_readers import CallReader
from chicorybridge.entry.calls import Call
from chicorybridge.entry.entry_states import EntryPhase, EntryState
from chicorybridge.entry.failures import send_buffered, wrap_unexpected_errors
from chicorybridge.entry.refusals import (
    RefusalError,
    check_streamed,
    last_answer,
    outcome_before_attempts,
    replayed_answer,
)
from chicorybridge.http.bodies import CallerError
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.target_connections import TargetConnections
from chicorybridge.http.exchanges import Head, Headers
from chicorybridge.http.problems import (
    OUTCOME_HEADER,
    VERSION_HEADER,
    problem_body,
    problem_headers,
    status_for,
)
from chicorybridge.routing.policies import Policies
from chicorybridge.quarantine.quarantines import may_have_crashed
from chicorybridge.routing.retries import RequestFacts

logger = logging.getLogger(__name__)


class Dispatcher:
    """Admit requests, forward them to targets and answer the callers."""

    def __init__(
        self,
        *,
        clock: Clock,
        state: EntryState,
        policies: Policies,
        connections: TargetConnections,
        claim_client: ClaimClient,
        post: Post,
        on_call_end: Callable[[Call], None],
        on_refusal: Callable[[ErrorCode], None],
    ) -> None:
        """Use these components.

        `post` queues a message for the control process; `on_call_end` is
        called with every call that ended, `on_refusal` with the code of
        every refusal.
        """
        self.calls_by_number: dict[int, Call] = {}
        self._clock = clock
        self._reader = CallReader(clock=clock)
        self._state = state
        self._policies = policies
        self._connections = connections
        self._claim_client = claim_client
        self._post = post
        self._on_call_end = on_call_end
        self._on_refusal = on_refusal
        self._last_number = 0

    async def answer(self, exchange: CallerExchange, head: Head) -> None:
        """Answer one request; raise `CallerError` if the caller is gone."""
        try:
            with wrap_unexpected_errors(_log_failure):
                call = await self._admit(exchange, head)
        except RequestError as error:
            await self.refuse(exchange, error, outcome_before_attempts(head))
            return
        self._last_number += 1
        number = self._last_number
        self.calls_by_number[number] = call
        exchange.cancel_on_disconnect = call.idempotent
        try:
            with wrap_unexpected_errors(_log_failure):
                await self._run_and_relay(call)
        except RequestError as error:
            await self._answer_error(call, error)
        finally:
            self.calls_by_number.pop(number)
            self._on_call_end(call)

    async def refuse(
        self,
        exchange: CallerExchange,
        error: RequestError,
        outcome: RequestOutcome,
    ) -> None:
        """Answer with a problem document."""
        self._on_refusal(error.code)
        body = problem_body(code=error.code, detail=error.detail)
        retry_after_ms = getattr(error, 'retry_after_ms', 0)
        headers = problem_headers(body=body, retry_after_ms=retry_after_ms)
        headers.append((OUTCOME_HEADER, outcome.value.encode()))
        answer = BufferedAnswer(
            status=status_for(error.code),
            headers=headers + self.version_headers(),
            body=body,
        )
        await self.send(exchange, answer)

    async def send(
        self, exchange: CallerExchange, answer: BufferedAnswer
    ) -> None:
        """Send a buffered answer; close the connection if draining."""
        headers = answer.headers
        if self._state.phase is not EntryPhase.serving:
            headers = [*headers, (b'connection', b'close')]
        await send_buffered(
            exchange, dataclasses.replace(answer, headers=headers)
        )

    def version_headers(self) -> Headers:
        """Return the header with the version of the current configuration."""
        return [(VERSION_HEADER, str(self._state.version).encode())]

    async def _answer_error(self, call: Call, error: RequestError) -> None:
        if call.exchange.answer_started:
            # Reset the connection: a truncated answer must not look complete.
            raise CallerError(code=error.code, detail=error.detail)
        outcome = call.outcome
        if isinstance(error, RefusalError):
            outcome = error.outcome
        await self.refuse(call.exchange, error, outcome)

    async def _admit(self, exchange: CallerExchange, head: Head) -> Call:
        configuration = self._state.configuration
        if configuration is None:
            raise RefusalError(
                code=ErrorCode.no_configuration,
                detail='this host has no configuration yet',
            )
        if self._clock.now() > self._state.lease_until:
            raise RefusalError(
                code=ErrorCode.host_cut_off,
                detail='this host has no valid serving lease',
            )
        call = self._reader.read(exchange, head, configuration)
        admission = self._policies.admit(
            call.route, call.workspace_id, now=self._clock.now()
        )
        if admission.code is not None:
            raise RefusalError(
                code=admission.code,
                detail='request refused by the load limits',
                retry_after_ms=admission.retry_after_ms,
            )
        await call.body.read_ahead()
        return call

    async def _run_and_relay(self, call: Call) -> None:
        try:
            await self._run(call)
        finally:
            await call.stop_relay()

    async def _run(self, call: Call) -> None:
        if call.key is None:
            answer = await self._try_targets(call)
            if answer is not None:
                await self.send(call.exchange, answer)
            return
        decision = await self._claim_client.claim(call, call.key)
        if decision.verdict is ClaimVerdict.run:
            await self._run_claimed(call, call.key, decision)
            return
        await self.send(call.exchange, replayed_answer(decision))

    async def _run_claimed(
        self, call: Call, key: RequestKey, decision: ClaimDecided
    ) -> None:
        call.claimed = True
        answer: BufferedAnswer | None = None
        try:
            answer = await self._try_targets(call)
        finally:
            await self._claim_client.report_outcome(
                decision,
                key,
                outcome=call.outcome,
                answer=answer,
            )
        if answer is not None:
            await self.send(call.exchange, answer)

    async def _try_targets(self, call: Call) -> BufferedAnswer | None:
        """Try targets; return the answer, or `None` if it was streamed."""
        excluded: frozenset = frozenset()
        while True:
            runner = self._build_runner(call, excluded)
            attempt = await self._run_attempt(call, runner)
            if call.committed:
                check_streamed(attempt)
                await call.finish_relay()
                return None
            if attempt.outcome in COMPLETE_OUTCOMES:
                return runner.answer
            decision = self._policies.decide(
                _request_facts(call), call.attempts, now=self._clock.now()
            )
            if not decision.retry:
                return last_answer(runner.answer, attempt, decision.outcome)
            excluded = decision.excluded

    def _build_runner(self, call: Call, excluded: frozenset) -> AttemptRunner:
        if self._policies.is_quarantined(call, now=self._clock.now()):
            raise RefusalError(
                code=ErrorCode.request_quarantined,
                detail='targets crashed while they ran this request',
                outcome=call.outcome,
            )
        target = self._policies.pick(
            call, excluded=excluded, now=self._clock.now()
        )
        if target is None:
            refusal = self._policies.overload_refusal(call.service.service_id)
            raise RefusalError(
                code=ErrorCode.no_target,
                detail='no target is available for this request',
                outcome=call.outcome,
                retry_after_ms=refusal.retry_after_ms,
            )
        return AttemptRunner(
            call=call,
            target=target,
            connections=self._connections,
            clock=self._clock,
            limits=DEFAULT_LIMITS if call.idempotent else NON_IDEMPOTENT_LIMITS,
        )

    async def _run_attempt(self, call: Call, runner: AttemptRunner) -> Attempt:
        require(
            promise='a non-idempotent request runs at most once',
            holds=call.idempotent or call.outcome is RequestOutcome.not_run,
        )
        number = self._policies.started(
            runner.target.target_id, call.route, now=self._clock.now()
        )
        call.attempt_in_progress = True
        # Remains the outcome if the caller disconnects during the attempt.
        outcome = AttemptOutcome.cancelled
        try:
            outcome = await runner.run()
        finally:
            attempt = runner.result(outcome)
            await self._record_attempt(call, number, attempt)
        return attempt

    async def _record_attempt(
        self, call: Call, number: int, attempt: Attempt
    ) -> None:
        now = self._clock.now()
        call.record(attempt)
        self._policies.finished(number, attempt, now=now)
        report = self._policies.record_crash_signs(call, attempt, now=now)
        if report is None:
            return
        await self._post(report)
        if may_have_crashed(attempt):
            # Wait before a retry, so that reports of other hosts about crashes
            # caused by the same request can arrive.
            await curio.sleep(as_seconds(settings.SUSPECT_RETRY_DELAY_MS))


def _log_failure(error: Exception) -> None:
    logger.error(
        'unexpected error in a request; it fails with host_failed',
        exc_info=error,
    )


def _request_facts(call: Call) -> RequestFacts:
    return RequestFacts(
        service_id=call.service.service_id,
        idempotent=call.idempotent,
        deadline_at=call.deadline_at,
        replayable=call.body.buffered is not None,
        committed=call.committed,
    )
