"""Connections of callers: serving, bounding, sweeping and closing them."""

import dataclasses
import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

import curio

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.errors import ErrorCode, RequestError
from chicorybridge.common.events import EventLog
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.common.tasks import wait_tick
from chicorybridge.http.bodies import CallerError
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.caller_endings import (
    Ending,
    end_output,
    ending_event,
    ending_of,
    is_idle,
    is_pending,
    linger,
)
from chicorybridge.http.caller_limits import CallerLimits
from chicorybridge.http.exchanges import ExchangeError, Head

logger = logging.getLogger(__name__)

NEVER = Millis(float('inf'))

OwnAnswer = Callable[[CallerExchange, Head], Awaitable[bool]]


class Answerer(Protocol):
    """What answers the requests of callers."""

    async def answer(self, exchange: CallerExchange, head: Head) -> None:
        """Answer one request; raise `CallerError` if the caller is gone."""

    async def refuse(
        self,
        exchange: CallerExchange,
        error: RequestError,
        outcome: RequestOutcome,
    ) -> None:
        """Answer with a problem document."""


@dataclasses.dataclass(kw_only=True, slots=True)
class CallerConnection:
    """An open connection of a caller and the task that serves it.

    `ending` is set once the host has decided to end it.
    """

    exchange: CallerExchange
    task: curio.Task | None = None
    ending: Ending | None = None


class CallerTable:
    """Serve callers, one task a connection."""

    def __init__(
        self,
        *,
        clock: Clock,
        log: EventLog,
        dispatcher: Answerer,
        own_answer: OwnAnswer,
        ended: Callable[[Ending], None],
        limits: Callable[[], CallerLimits] = CallerLimits,
    ) -> None:
        """Start without connections.

        `own_answer` answers the paths of the fleet itself and returns
        whether it did; `limits` returns the bounds in force; `ended`
        counts the connections that the host ends.
        """
        self._ended = ended
        self._log = log
        self._limits = limits
        self._swept_limits: CallerLimits | None = None
        self._limits_since = clock.now()
        self._clock = clock
        self._dispatcher = dispatcher
        self._own_answer = own_answer
        self._serial = 0
        self._listener: curio.io.Socket | None = None
        self._accepting: curio.Task | None = None
        self._connections_by_number: dict[int, CallerConnection] = {}

    def __len__(self) -> int:
        """Return how many connections are open."""
        return len(self._connections_by_number)

    async def run(self, listener: curio.io.Socket) -> None:
        """Accept callers, and serve them until cancelled."""
        self._listener = listener
        self._accepting = await curio.spawn(self._accept(listener))
        await self._accepting.wait()
        if self._accepting.exception and not self._accepting.cancelled:
            raise self._accepting.exception
        await curio.Event().wait()

    async def stop_accepting(self) -> None:
        """Take no more connections; those that have come go on."""
        if self._accepting is None or self._listener is None:
            return
        for _ in range(settings.ACCEPT_ITERATIONS):
            # Closing the listener would reset what it has not handed over.
            if sockets.is_idle(self._listener):
                break
            await curio.sleep(0)
        await self._accepting.cancel()
        await self._listener.close()

    async def sweep(self) -> None:
        """End connections that idle, stall or lost their caller."""
        now = self._clock.now()
        limits = self._limits()
        if limits != self._swept_limits:
            if self._swept_limits is not None:
                self._limits_since = now
            self._swept_limits = limits
        for connection in tuple(self._connections_by_number.values()):
            ending = ending_of(
                connection.exchange,
                limits,
                limits_since=self._limits_since,
                now=now,
            )
            if ending is not None:
                await self._end(connection, ending)

    async def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for connection in tuple(self._connections_by_number.values()):
            if is_idle(connection.exchange):
                await self._end(connection, Ending.stopping)

    @property
    def pending(self) -> int:
        """Return how many connections have a request that needs an answer."""
        connections = self._connections_by_number.values()
        return sum(is_pending(one.exchange) for one in connections)

    def owes(self, *, since: Millis) -> bool:
        """Return whether a request read by `since` has no answer yet."""
        connections = self._connections_by_number.values()
        return any(
            one.exchange.busy and one.exchange.busy_since <= since
            for one in connections
        )

    async def finish(self, *, ends_at: Millis = NEVER) -> None:
        """Stop accepting; return when all that has come is answered.

        What is not answered at `ends_at` is left as it is.
        """
        await self.stop_accepting()
        await self.close_idle()
        while len(self) and await wait_tick(self._clock, until=ends_at):
            await self.close_idle()

    async def _accept(self, listener: curio.io.Socket) -> None:
        while True:
            sock, _ = await sockets.accept(listener)
            if len(self) >= settings.MAX_CALLER_CONNECTIONS:
                await sockets.abort(sock)
                continue
            exchange = CallerExchange(
                sock=sock,
                clock=self._clock,
                head_bytes=self._limits().head_bytes,
            )
            connection = CallerConnection(exchange=exchange)
            self._serial += 1
            self._connections_by_number[self._serial] = connection
            connection.task = await curio.spawn(
                self._serve(self._serial, connection), daemon=True
            )

    async def _end(self, connection: CallerConnection, ending: Ending) -> None:
        if connection.task is None or connection.ending is not None:
            return
        connection.ending = ending
        self._ended(ending)
        event = ending_event(connection.exchange, ending, self._clock.now())
        if event is not None:
            self._log.emit(event)
        if not connection.exchange.busy:
            # At once, not when the task runs: what comes in between is lost.
            await end_output(connection.exchange)
        await connection.task.cancel(blocking=False)

    async def _serve(self, number: int, connection: CallerConnection) -> None:
        exchange = connection.exchange
        try:
            await self._exchange_all(exchange)
        except (CallerError, ExchangeError) as error:
            logger.debug('connection of %s ended: %s', exchange.caller, error)
            await exchange.abort()
        except curio.CancelledError:
            # An answer that was sent whole may still be on its way.
            if exchange.busy:
                await exchange.abort()
            raise
        finally:
            self._connections_by_number.pop(number)
            await exchange.close()

    async def _exchange_all(self, exchange: CallerExchange) -> None:
        head = await self._next_head(exchange)
        while head is not None:
            await self._answer(exchange, head)
            if not exchange.next_cycle():
                await linger(exchange)
                return
            head = await self._next_head(exchange)

    async def _next_head(self, exchange: CallerExchange) -> Head | None:
        try:
            return await exchange.next_request()
        except ExchangeError as error:
            await self._refuse_malformed(exchange, error)
            return None

    async def _answer(self, exchange: CallerExchange, head: Head) -> None:
        if await self._own_answer(exchange, head):
            return
        try:
            await self._dispatcher.answer(exchange, head)
        except CallerError as error:
            if exchange.answered:
                raise
            await self._refuse_malformed(exchange, error)

    async def _refuse_malformed(
        self, exchange: CallerExchange, error: ExchangeError | CallerError
    ) -> None:
        if error.code is ErrorCode.stream_closed:
            raise error
        refused = RequestError(code=error.code, detail=error.detail)
        await self._dispatcher.refuse(exchange, refused, RequestOutcome.not_run)
        await linger(exchange)
