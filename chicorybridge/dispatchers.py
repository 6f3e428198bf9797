"""What an entry process does with one request of a caller."""

import dataclasses
from collections.abc import Callable
from enum import Enum

import curio

from chicorybridge import settings
from chicorybridge.attempts import Attempt, AttemptOutcome
from chicorybridge.bodies import CallerError, RequestBody
from chicorybridge.calls import DEADLINE_HEADER, WORKSPACE_HEADER, Call
from chicorybridge.claim_messages import ClaimDecided, ClaimVerdict
from chicorybridge.claimants import Claimant, Post
from chicorybridge.clocks import Clock, Millis, as_seconds
from chicorybridge.configurations import ActiveConfiguration
from chicorybridge.connections import TargetConnections
from chicorybridge.errors import ErrorCode, RequestError, require
from chicorybridge.exchanges import CallerExchange, Head, Headers
from chicorybridge.forwards import Forward
from chicorybridge.answers import WholeAnswer
from chicorybridge.identities import (
    NO_VERSION,
    RequestKey,
    Version,
    WorkspaceId,
)
from chicorybridge.outcomes import (
    COMPLETE_OUTCOMES,
    RequestOutcome,
    outcome_of,
)
from chicorybridge.policies import Policies
from chicorybridge.problems import (
    OUTCOME,
    VERSION,
    problem_body,
    problem_headers,
    status_of,
)
from chicorybridge.quarantines import may_have_crashed
from chicorybridge.request_keys import read_header
from chicorybridge.retries import RequestFacts
from chicorybridge.routes import IDEMPOTENT_HEADER, KEY_HEADER, is_idempotent


class Duty(Enum):
    """What an entry process does with the connections of callers."""

    serving = 'serving'
    # Closes each connection after its answer.
    draining = 'draining'


@dataclasses.dataclass(kw_only=True)
class EntryState:
    """What governs the requests that come now.

    New work is taken until `lease_until`, on the clock that all processes
    of a host share; it is checked before each request, so that a process
    that was paused takes none on the strength of an old lease.
    """

    duty: Duty = Duty.serving
    lease_until: Millis = Millis(0)

    @property
    def version(self) -> Version:
        """Return the version in force, 0 without one."""
        return self.configuration.version if self.configuration else NO_VERSION

    def switch(self, configuration: ActiveConfiguration) -> None:
        """Put a newer configuration in force."""
        require(
            promise='an accepted configuration never reverts',
            holds=configuration.version > self.version,
        )
        self.configuration = configuration

    configuration: ActiveConfiguration | None = None


class RefusalError(RequestError):
    """Carry the outcome and the wait besides the code."""

    def __init__(
        self,
        *,
        code: ErrorCode,
        detail: str,
        outcome: RequestOutcome = RequestOutcome.not_run,
        retry_after_ms: float = 0,
    ) -> None:
        """Keep what the caller is told."""
        super().__init__(code=code, detail=detail)
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms


class Dispatcher:
    """Decide on requests and answer them."""

    def __init__(
        self,
        *,
        clock: Clock,
        state: EntryState,
        policies: Policies,
        connections: TargetConnections,
        claimant: Claimant,
        post: Post,
        ended: Callable[[Call], None],
    ) -> None:
        """Join the parts.

        `post` hands a message to the control process; `ended` hears of
        every call that has ended.
        """
        self.calls_by_number: dict[int, Call] = {}
        self._clock = clock
        self._state = state
        self._policies = policies
        self._connections = connections
        self._claimant = claimant
        self._post = post
        self._ended = ended
        self._serial = 0

    async def answer(self, exchange: CallerExchange, head: Head) -> None:
        """Answer one request; raise `CallerError` if the caller is gone."""
        try:
            call = await self._admit(exchange, head)
        except RequestError as error:
            await self.refuse(exchange, error, RequestOutcome.not_run)
            return
        self._serial += 1
        number = self._serial
        self.calls_by_number[number] = call
        exchange.abandonable = call.idempotent
        try:
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
        await exchange.answer(
            status=answer.status, headers=headers, body=answer.body
        )

    def version_headers(self) -> Headers:
        """Return the header that names the version in force."""
        return [(VERSION, str(self._state.version).encode())]

    async def _fail(self, call: Call, error: RequestError) -> None:
        if call.committed:
            # A cut answer must not look whole.
            raise CallerError(code=error.code, detail=error.detail)
        known = outcome_of(call.attempts)
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
        call = self._describe(exchange, head, configuration)
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

    def _describe(
        self,
        exchange: CallerExchange,
        head: Head,
        configuration: ActiveConfiguration,
    ) -> Call:
        method = head.method.decode('ascii')
        path = head.path.decode('ascii')
        route = configuration.routes.find(method=method, path=path)
        if route is None:
            raise RefusalError(
                code=ErrorCode.route_unknown, detail='no route takes this'
            )
        service = configuration.declaration.services_by_id[route.service_id]
        idempotent = is_idempotent(
            route, method=method, mark=head.header(IDEMPOTENT_HEADER)
        )
        body = RequestBody(
            exchange=exchange,
            head=head,
            limit=service.max_body_bytes,
            clock=self._clock,
        )
        timeout_ms = route.timeout_ms or service.timeout_ms
        return Call(
            exchange=exchange,
            head=head,
            body=body,
            route=route,
            service=service,
            configuration=configuration,
            idempotent=idempotent,
            started_at=self._clock.now(),
            deadline_at=self._deadline(head, timeout_ms),
            workspace_id=_workspace_of(head, configuration),
            key=None if idempotent else _key_of(head),
        )

    def _deadline(self, head: Head, timeout_ms: int) -> Millis:
        text = head.header(DEADLINE_HEADER)
        if text is not None and text.isdigit():
            timeout_ms = min(timeout_ms, int(text))
        return Millis(self._clock.now() + timeout_ms)

    async def _run(self, call: Call) -> None:
        if call.key is None:
            answer = await self._forward(call)
            if answer is not None:
                await self.send(call.exchange, answer)
            return
        decision = await self._claimant.claim(call, call.key)
        if decision.verdict is ClaimVerdict.run:
            await self._run_claimed(call, call.key, decision)
            return
        await self.send(call.exchange, _repeated(decision))

    async def _run_claimed(
        self, call: Call, key: RequestKey, decision: ClaimDecided
    ) -> None:
        answer: WholeAnswer | None = None
        try:
            answer = await self._forward(call)
        finally:
            await self._claimant.finish(
                decision,
                key,
                outcome=outcome_of(call.attempts),
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
                _check_relayed(attempt)
                return None
            if attempt.outcome in COMPLETE_OUTCOMES:
                return forward.answer
            decision = self._policies.decide(
                _facts_of(call), call.attempts, now=self._clock.now()
            )
            if not decision.retry:
                return _last_answer(forward, attempt, decision.outcome)
            excluded = decision.excluded

    def _next_forward(self, call: Call, excluded: frozenset) -> Forward:
        if self._policies.is_quarantined(call, now=self._clock.now()):
            raise RefusalError(
                code=ErrorCode.request_quarantined,
                detail='targets died when they ran this request',
                outcome=outcome_of(call.attempts),
            )
        target = self._policies.pick(
            call, excluded=excluded, now=self._clock.now()
        )
        if target is None:
            admission = self._policies.overloaded(call.service.service_id)
            raise RefusalError(
                code=ErrorCode.no_target,
                detail='no target may take the request now',
                outcome=outcome_of(call.attempts),
                retry_after_ms=admission.retry_after_ms,
            )
        return Forward(
            call=call,
            target=target,
            connections=self._connections,
            clock=self._clock,
        )

    async def _attempt(self, call: Call, forward: Forward) -> Attempt:
        require(
            promise='a non-idempotent request runs at most once',
            holds=call.idempotent
            or outcome_of(call.attempts) is RequestOutcome.not_run,
        )
        number = self._policies.started(
            forward.target.target_id, call.route, now=self._clock.now()
        )
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
        call.attempts.append(attempt)
        self._policies.finished(number, attempt, now=now)
        report = self._policies.suspect(call, attempt, now=now)
        if report is None:
            return
        await self._post(report)
        if may_have_crashed(attempt):
            # Other hosts may know by now that the request is to blame.
            await curio.sleep(as_seconds(settings.SUSPECT_WAIT_MS))


def _facts_of(call: Call) -> RequestFacts:
    return RequestFacts(
        service_id=call.service.service_id,
        idempotent=call.idempotent,
        deadline_at=call.deadline_at,
        replayable=call.body.whole is not None,
        committed=call.committed,
    )


def _check_relayed(attempt: Attempt) -> None:
    if attempt.outcome not in COMPLETE_OUTCOMES:
        raise RequestError(
            code=ErrorCode.target_failed, detail='the answer was cut'
        )


def _last_answer(
    forward: Forward, attempt: Attempt, outcome: RequestOutcome
) -> WholeAnswer:
    if forward.answer is not None and not attempt.marked_not_run:
        # The target's own words on why it did not serve the request.
        return forward.answer
    raise RefusalError(
        code=_code_of(attempt),
        detail='the last attempt ended as {0}'.format(attempt.outcome.value),
        outcome=outcome,
        retry_after_ms=attempt.retry_after_ms or 0,
    )


def _code_of(attempt: Attempt) -> ErrorCode:
    match attempt.outcome:
        case AttemptOutcome.timed_out:
            return ErrorCode.request_timeout
        case AttemptOutcome.shed:
            return ErrorCode.overloaded
        case _:
            return ErrorCode.target_failed


def _repeated(decision: ClaimDecided) -> WholeAnswer:
    if decision.answer is not None:
        return WholeAnswer(
            status=decision.answer.status,
            headers=list(decision.answer.headers),
            body=decision.answer.body,
        )
    refusal = decision.refusal
    if refusal is None:
        raise RequestError(
            code=ErrorCode.claim_unavailable, detail='no decision'
        )
    raise RefusalError(
        code=refusal.code, detail=refusal.value, outcome=refusal.outcome
    )


def _workspace_of(
    head: Head, configuration: ActiveConfiguration
) -> WorkspaceId | None:
    text = head.header(WORKSPACE_HEADER)
    if text is None:
        return None
    workspace_id = WorkspaceId(text.decode('ascii', 'replace'))
    if workspace_id in configuration.declaration.workspaces_by_id:
        return workspace_id
    raise RefusalError(
        code=ErrorCode.workspace_unknown, detail='no such workspace'
    )


def _key_of(head: Head) -> RequestKey | None:
    text = head.header(KEY_HEADER)
    return None if text is None else read_header(text.decode('latin-1'))
