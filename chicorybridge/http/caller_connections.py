"""Connections of callers: serving, bounding, sweeping and closing them."""

import dataclasses
import socket
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Protocol

import curio

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.clocks import Clock, Millis, as_seconds
from chicorybridge.common.errors import ErrorCode, RequestError
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.http.bodies import CallerError
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.caller_limits import CallerLimits
from chicorybridge.http.exchanges import ExchangeError, Head

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


class Ending(Enum):
    """Why a host ends a connection of a caller."""

    # No request came for longer than the limit.
    idle = 'idle'
    # The head of a request took longer than the limit.
    slow_head = 'slow_head'
    # The caller neither sent nor took bytes of a request under way.
    stalled = 'stalled'
    # The caller has closed its end.
    caller_gone = 'caller_gone'
    # The process stops.
    stopping = 'stopping'


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
        """Take no more connections; those that are open go on."""
        if self._accepting is None or self._listener is None:
            return
        await self._accepting.cancel()
        await self._listener.close()

    async def sweep(self) -> None:
        """End connections that idle, stall or lost their caller."""
        now = self._clock.now()
        for connection in tuple(self._connections_by_number.values()):
            ending = _ending_of(connection.exchange, self._limits(), now)
            if ending is not None:
                await self._end(connection, ending)

    async def close_idle(self) -> None:
        """Close the connections without a request under way."""
        for connection in tuple(self._connections_by_number.values()):
            if _waits_quietly(connection.exchange):
                await self._end(connection, Ending.stopping)

    async def _accept(self, listener: curio.io.Socket) -> None:
        while True:
            sock, _ = await listener.accept()
            if len(self) >= settings.MAX_CALLERS:
                await sockets.abort(sock)
                continue
            sockets.disable_delay(sock)
            await self._add(sock)

    async def _add(self, sock: curio.io.Socket) -> None:
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
        self._tell_ending(connection, ending)
        await connection.task.cancel(blocking=False)

    def _tell_ending(
        self, connection: CallerConnection, ending: Ending
    ) -> None:
        self._ended(ending)
        exchange = connection.exchange
        unread = not sockets.is_quiet(exchange.sock)
        if ending is Ending.idle and not unread:
            # The usual end of most connections: counted, not logged.
            return
        facts = {
            'ending': ending.value,
            'caller': exchange.caller,
            'in_request': exchange.busy,
            'unread': unread,
            'waited_ms': _waited_ms(exchange, self._clock.now()),
        }
        self._log.emit(Event(kind=EventKind.connection_ended, facts=facts))

    async def _serve(self, number: int, connection: CallerConnection) -> None:
        exchange = connection.exchange
        try:
            await self._exchange_all(exchange)
        except (CallerError, ExchangeError):
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
                await self._linger(exchange)
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
        await self._linger(exchange)

    async def _linger(self, exchange: CallerExchange) -> None:
        """Let the answer arrive before the connection is closed.

        Closing with unread bytes would reset the connection and may take
        the answer from the caller.
        """
        try:
            await exchange.sock.shutdown(socket.SHUT_WR)
            async with curio.timeout_after(as_seconds(settings.LINGER_MS)):
                await _discard(exchange.sock)
        except (OSError, curio.TaskTimeout):
            return


async def _discard(sock: curio.io.Socket) -> None:
    chunk = await sock.recv(settings.RECEIVE_BYTES)
    while chunk:
        chunk = await sock.recv(settings.RECEIVE_BYTES)


def _ending_of(
    exchange: CallerExchange, limits: CallerLimits, now: Millis
) -> Ending | None:
    """Return why a connection is to end now, `None` if it goes on."""
    if not exchange.busy:
        return _ending_of_waiting(exchange, limits, now)
    if exchange.waiting_since is not None:
        stalled = now - exchange.waiting_since > settings.CALLER_STALL_MS
        return Ending.stalled if stalled else None
    # The caller of a request that may run once gets its answer kept.
    if exchange.abandonable and sockets.is_closed(exchange.sock):
        return Ending.caller_gone
    return None


def _ending_of_waiting(
    exchange: CallerExchange, limits: CallerLimits, now: Millis
) -> Ending | None:
    """Return why a connection without a request is to end now."""
    if not _waits_quietly(exchange):
        return None
    if exchange.head_since is not None:
        slow = now - exchange.head_since > limits.head_ms
        return Ending.slow_head if slow else None
    since = exchange.waiting_since
    idle = since is not None and now - since > limits.idle_ms
    return Ending.idle if idle else None


def _waits_quietly(exchange: CallerExchange) -> bool:
    """Return whether a connection waits for a request and nothing has come.

    Only such a task is surely suspended: a task that is ready to run would
    be cancelled at its next blocking operation, with a request in hand.
    """
    if exchange.busy or exchange.waiting_since is None:
        return False
    return sockets.is_quiet(exchange.sock)


def _waited_ms(exchange: CallerExchange, now: Millis) -> int:
    since = exchange.waiting_since
    return 0 if since is None else round(now - since)
