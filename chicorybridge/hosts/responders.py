"""Send answers to callers: those of targets and refusals of the host."""

import dataclasses
from contextlib import AbstractContextManager

from chicorybridge import settings
from chicorybridge.common.errors import RequestError
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.entry.answers import NOT_RUN_STATUSES, BufferedAnswer
from chicorybridge.entry.failures import send_buffered, wrap_unexpected_errors
from chicorybridge.hosts.final_answers import error_for_outcome
from chicorybridge.hosts.request_logs import RequestLog
from chicorybridge.hosts.states import HostPhase, HostState
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.dialects import Dialect
from chicorybridge.http.exchanges import Head
from chicorybridge.http.problems import (
    problem_body,
    problem_headers,
    status_for,
)


class Responder:
    """Send complete answers to callers."""

    def __init__(
        self, *, state: HostState, dialect: Dialect, request_log: RequestLog
    ) -> None:
        """Use the header names of `dialect`."""
        self.state = state
        self._dialect = dialect
        self.request_log = request_log

    def wrap_unexpected_errors(
        self, head: Head
    ) -> AbstractContextManager[None]:
        """Log an unexpected error and raise `RequestError` in its place."""
        return wrap_unexpected_errors(
            lambda error: self.request_log.log_failure(head, error)
        )

    async def refuse(
        self,
        exchange: CallerExchange,
        error: RequestError,
        outcome: RequestOutcome,
        head: Head | None = None,
    ) -> int:
        """Answer with a problem document and return its status."""
        error = error_for_outcome(error, outcome)
        status = status_for(error.code)
        wait_ms: float = 0
        if status in NOT_RUN_STATUSES:
            wait_ms = getattr(error, 'retry_after_ms', 0)
            wait_ms = wait_ms or settings.HOST_RETRY_AFTER_MS
        body = problem_body(code=error.code, detail=error.detail)
        headers = problem_headers(
            body=body,
            retry_after_ms=wait_ms,
            fractional=self._dialect.fractional_retry_after,
        )
        request_id = self.request_log.request_id(head)
        if request_id and self._dialect.request_id:
            headers.append((self._dialect.request_id, request_id.encode()))
        self.request_log.log_refusal(head, error, outcome, status=status)
        answer = BufferedAnswer(status=status, headers=headers, body=body)
        await self.send(exchange, answer)
        return status

    async def send(
        self, exchange: CallerExchange, answer: BufferedAnswer
    ) -> None:
        """Send a complete answer once its turn has come.

        With `Connection: close` while stopping, unless a later request of the
        connection was forwarded.
        """
        await exchange.turn.wait()
        headers = answer.headers
        is_stopping = self.state.phase is not HostPhase.serving
        if is_stopping and exchange.turn.close_after_answer():
            headers = [*headers, (b'connection', b'close')]
        await send_buffered(
            exchange, dataclasses.replace(answer, headers=headers)
        )
