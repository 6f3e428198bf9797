"""What an entry process does with one request of a caller."""

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
from chicorybridge.entry.answers import WholeAnswer
from chicorybridge.entry.call_readers import CallReader
from chicorybridge.entry.calls import Call
from chicorybridge.entry.entry_states import Duty, EntryState
from chicorybridge.entry.failures import contained, send_whole
from chicorybridge.entry.forwards import CAREFUL, PATIENT, Forward
from chicorybridge.entry.refusals import (
    RefusalError,
    check_relayed,
    last_answer,
    outcome_unsent,
    repeated_answer,
)
from chicorybridge.http.bodies import CallerError
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.connections import TargetConnections
from chicorybridge.http.exchanges import Head, Headers
from chicorybridge.http.problems import (
    OUTCOME,
    VERSION,
    problem_body,
    problem_headers,
    status_of,
)
from chicorybridge.routing.policies import Policies
from chicorybridge.routing.quarantines import may_have_crashed
from chicorybridge.routing.retries import RequestFacts


logger = logging.getLogger(__name__)


class Dispatcher:
    """Decide on requests and answer them."""

    def __init__(
        self,
        *,
        clock: Clock,
        state: EntryState,
        policies: Policies,
        connections: TargetConnections,
        claim_client: ClaimClient,
        post: Post,
        ended: Callable[[Call], None],
        refused: Callable[[ErrorCode], None],
    ) -> None:
        """Join the parts.

        `post` hands a message to the control process; `ended` hears of
        every call that has ended, `refused` of every refusal.
        """
        self.calls_by_number: dict[int, Call] = {}
        self._clock = clock
        self._reader = CallReader(clock=clock)
        self._state = state
        self._policies = policies
        self._connections = connections
        self._claim_client = claim_client
        self._post = post
        self._ended = ended
        self._refused = refused
        self._serial = 0

    async def answer(self, exchange: CallerExchange, head: Head) -> None:
        """Answer one request; raise `CallerError` if the caller is gone."""
        try:
            with contained(_tell):
                call = await self._admit(exchange, head)
        except RequestError as error:
            await self.refuse(exchange, error, outcome_unsent(head))
            return
        self._serial += 1
        number = self._serial
        self.calls_by_number[number] = call
        exchange.abandonable = call.idempotent
        try:
            with contained(_tell):
                await self._run(call)
        except RequestError as error:
            await self._fail(call, error)
        finally:
            self.calls_by_number.pop(number)
            self._ended(call)

    async def refuse(
        self,
        exchange: CallerExchange,
        error: RequestError,
        outcome: RequestOutcome,
    ) -> None:
        """Answer with a problem document."""
        self._refused(error.code)
        body = problem_body(code=error.code, detail=error.detail)
        retry_after_ms = getattr(error, 'retry_after_ms', 0)
        headers = problem_headers(body=body, retry_after_ms=retry_after_ms)
        headers.append((OUTCOME, outcome.value.encode()))
        answer = WholeAnswer(
            status=status_of(error.code),
            headers=headers + self.version_headers(),
            body=body,
        )
        await self.send(exchange, answer)

    async def send(self, exchange: CallerExchange, answer: WholeAnswer) -> None:
        """Send a whole answer, closing the connection of a leaving host."""
        headers = answer.headers
        if self._state.duty is not Duty.serving:
            headers = [*headers, (b'connection', b'close')]
        await send_whole(exchange, dataclasses.replace(answer, headers=headers))

    def version_headers(self) -> Headers:
        """Return the header that names the version in force."""
        return [(VERSION, str(self._state.version).encode())]

    async def _fail(self, call: Call, error: RequestError) -> None:
        if call.exchange.answered:
            # A cut answer must not look whole.
            raise CallerError(code=error.code, detail=error.detail)
        known = call.outcome
        if isinstance(error, RefusalError):
            known = error.outcome
        await self.refuse(call.exchange, error, known)

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
                detail='this host takes no new work',
            )
        call = self._reader.read(exchange, head, configuration)
        admission = self._policies.admit(
            call.route, call.workspace_id, now=self._clock.now()
        )
        if admission.code is not None:
            raise RefusalError(
                code=admission.code,
                detail='refused to protect the targets',
                retry_after_ms=admission.retry_after_ms,
            )
        await call.body.read_ahead()
        return call

    async def _run(self, call: Call) -> None:
        if call.key is None:
            answer = await self._forward(call)
            if answer is not None:
                await self.send(call.exchange, answer)
            return
        decision = await self._claim_client.claim(call, call.key)
        if decision.verdict is ClaimVerdict.run:
            await self._run_claimed(call, call.key, decision)
            return
        await self.send(call.exchange, repeated_answer(decision))

    async def _run_claimed(
        self, call: Call, key: RequestKey, decision: ClaimDecided
    ) -> None:
        call.claimed = True
        answer: WholeAnswer | None = None
        try:
            answer = await self._forward(call)
        finally:
            await self._claim_client.report_outcome(
                decision,
                key,
                outcome=call.outcome,
                answer=answer,
            )
        if answer is not None:
            await self.send(call.exchange, answer)

    async def _forward(self, call: Call) -> WholeAnswer | None:
        """Try targets in turn; `None` if the answer was relayed."""
        excluded: frozenset = frozenset()
        while True:
            forward = self._next_forward(call, excluded)
            attempt = await self._attempt(call, forward)
            if call.committed:
                check_relayed(attempt)
                return None
            if attempt.outcome in COMPLETE_OUTCOMES:
                return forward.answer
            decision = self._policies.decide(
                _facts_of(call), call.attempts, now=self._clock.now()
            )
            if not decision.retry:
                return last_answer(forward.answer, attempt, decision.outcome)
            excluded = decision.excluded

    def _next_forward(self, call: Call, excluded: frozenset) -> Forward:
        if self._policies.is_quarantined(call, now=self._clock.now()):
            raise RefusalError(
                code=ErrorCode.request_quarantined,
                detail='targets died when they ran this request',
                outcome=call.outcome,
            )
        target = self._policies.pick(
            call, excluded=excluded, now=self._clock.now()
        )
        if target is None:
            admission = self._policies.overloaded(call.service.service_id)
            raise RefusalError(
                code=ErrorCode.no_target,
                detail='no target may take the request now',
                outcome=call.outcome,
                retry_after_ms=admission.retry_after_ms,
            )
        return Forward(
            call=call,
            target=target,
            connections=self._connections,
            clock=self._clock,
            patience=PATIENT if call.idempotent else CAREFUL,
        )

    async def _attempt(self, call: Call, forward: Forward) -> Attempt:
        require(
            promise='a non-idempotent request runs at most once',
            holds=call.idempotent or call.outcome is RequestOutcome.not_run,
        )
        number = self._policies.started(
            forward.target.target_id, call.route, now=self._clock.now()
        )
        call.under_way = True
        # Stands if the caller goes away first.
        outcome = AttemptOutcome.cancelled
        try:
            outcome = await forward.run()
        finally:
            attempt = forward.result(outcome)
            await self._learn(call, number, attempt)
        return attempt

    async def _learn(self, call: Call, number: int, attempt: Attempt) -> None:
        now = self._clock.now()
        call.record(attempt)
        self._policies.finished(number, attempt, now=now)
        report = self._policies.suspect(call, attempt, now=now)
        if report is None:
            return
        await self._post(report)
        if may_have_crashed(attempt):
            # Other hosts may know by now that the request is to blame.
            await curio.sleep(as_seconds(settings.SUSPECT_WAIT_MS))


def _tell(error: Exception) -> None:
    logger.error('a request failed inside the host', exc_info=error)


def _facts_of(call: Call) -> RequestFacts:
    return RequestFacts(
        service_id=call.service.service_id,
        idempotent=call.idempotent,
        deadline_at=call.deadline_at,
        replayable=call.body.whole is not None,
        committed=call.committed,
    )
