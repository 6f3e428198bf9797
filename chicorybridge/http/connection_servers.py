"""Answer the requests of one connection, pipelined or one after the other."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Protocol

import curio

from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import ErrorCode, RequestError
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.http.bodies import CallerError
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.close_reasons import CloseReason, linger
from chicorybridge.http.exchanges import ExchangeError, Head
from chicorybridge.http.pipelines import Pipeline, PipelineReader

LocalAnswer = Callable[[CallerExchange, Head], Awaitable[bool]]


class RequestDispatcher(Protocol):
    """Answers the requests of callers."""

    async def answer(self, exchange: CallerExchange, head: Head) -> None:
        """Answer one request.

        Raise `CallerError` if the caller disconnects or violates HTTP, or if
        an answer that was started cannot be completed.
        """

    async def refuse(
        self,
        exchange: CallerExchange,
        error: RequestError,
        outcome: RequestOutcome,
    ) -> None:
        """Answer a request with a problem document."""


@dataclasses.dataclass(kw_only=True, slots=True)
class CallerConnection:
    """An open connection from a caller and the task that serves it.

    `close_reason` is set when the host starts to close the connection.
    `pipeline` is set once the caller has sent a request behind an unanswered
    one; until then all requests use `first_exchange`.
    """

    first_exchange: CallerExchange
    task: curio.Task | None = None
    close_reason: CloseReason | None = None
    pipeline: Pipeline | None = None

    @property
    def exchange(self) -> CallerExchange:
        """Return the exchange of the first unanswered or the next request."""
        if self.pipeline is None:
            return self.first_exchange
        return self.pipeline.current

    @property
    def ahead_count(self) -> int:
        """Return how many requests were read behind an unanswered one."""
        if self.pipeline is None:
            return 0
        return max(0, self.pipeline.unanswered_count - 1)

    def has_unanswered(self, *, read_by: Millis) -> bool:
        """Return whether a request read until `read_by` is unanswered."""
        if self.pipeline is not None:
            return self.pipeline.has_unanswered(read_by=read_by)
        exchange = self.first_exchange
        return exchange.in_request and exchange.request_read_at <= read_by

    async def abort(self) -> None:
        """End all tasks that use the connection and reset it."""
        if self.pipeline is not None:
            await self.pipeline.stop()
        await self.first_exchange.abort()

    async def close(self) -> None:
        """End all tasks that use the connection and close it."""
        if self.pipeline is not None:
            await self.pipeline.stop()
        await self.first_exchange.close()


class ConnectionServer:
    """Answer the requests of connections, one in each of their tasks."""

    def __init__(
        self,
        *,
        dispatcher: RequestDispatcher,
        answer_locally: LocalAnswer,
        may_read_ahead: Callable[[], bool] | None,
    ) -> None:
        """Answer with `dispatcher` what `answer_locally` doesn't.

        With `may_read_ahead`, requests are read and answered while earlier
        ones of their connection are unanswered, if it returns true.
        """
        self._dispatcher = dispatcher
        self._answer_locally = answer_locally
        self._may_read_ahead = may_read_ahead

    async def serve(self, connection: CallerConnection) -> None:
        """Answer requests until the connection must be closed."""
        exchange = connection.first_exchange
        head = await self._next_head(exchange)
        while head is not None:
            if exchange.has_trailing_data:
                await self.read_ahead_if_due(connection)
            await self._answer(exchange, head)
            if connection.pipeline is not None:
                await self._end_pipeline(connection.pipeline)
                return
            if not exchange.next_cycle():
                await linger(exchange)
                return
            head = await self._next_head(exchange)

    async def read_ahead_if_due(self, connection: CallerConnection) -> None:
        """Read further requests if there are any behind an unanswered one."""
        if connection.pipeline is not None or self._may_read_ahead is None:
            return
        if not connection.first_exchange.is_pipelined():
            return
        connection.pipeline = Pipeline(first=connection.first_exchange)
        reader = PipelineReader(
            pipeline=connection.pipeline,
            answer=self._answer,
            refuse=self._refuse_malformed,
            may_read_ahead=self._may_read_ahead,
        )
        await connection.pipeline.start_reading(reader.run())

    async def _end_pipeline(self, pipeline: Pipeline) -> None:
        """Await the answers of pipelined requests until there are no more."""
        exchange = await pipeline.next()
        while exchange is not None:
            if not exchange.end_cycle():
                await pipeline.stop()
                await linger(exchange)
                return
            await pipeline.advance()
            exchange = await pipeline.next()

    async def _next_head(self, exchange: CallerExchange) -> Head | None:
        try:
            return await exchange.next_request()
        except ExchangeError as error:
            await self._refuse_malformed(exchange, error)
            await linger(exchange)
            return None

    async def _answer(self, exchange: CallerExchange, head: Head) -> None:
        if await self._answer_locally(exchange, head):
            return
        try:
            await self._dispatcher.answer(exchange, head)
        except CallerError as error:
            if exchange.answer_started:
                raise
            await self._refuse_malformed(exchange, error)

    async def _refuse_malformed(
        self, exchange: CallerExchange, error: ExchangeError | CallerError
    ) -> None:
        if error.code is ErrorCode.stream_closed:
            raise error
        exchange.is_malformed = True
        refusal = RequestError(code=error.code, detail=error.detail)
        await self._dispatcher.refuse(exchange, refusal, RequestOutcome.not_run)
