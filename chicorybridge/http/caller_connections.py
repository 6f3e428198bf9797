"""Connections from callers: accept, serve, limit and close them."""

import logging
from collections.abc import Callable

import curio

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.events import EventLog
from chicorybridge.common.tasks import wait_tick
from chicorybridge.http.bodies import CallerError
from chicorybridge.http.byte_budgets import UNLIMITED, ByteBudget, HeldKind
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.caller_limits import CallerLimits
from chicorybridge.http.close_reasons import (
    CloseReason,
    close_event,
    close_reason,
    has_request,
    is_idle,
    shut_down_writing,
)
from chicorybridge.http.connection_servers import (
    CallerConnection,
    ConnectionServer,
    LocalAnswer,
    RequestDispatcher,
)
from chicorybridge.http.exchanges import ExchangeError

logger = logging.getLogger(__name__)

NEVER = Millis(float('inf'))


class CallerConnections:
    """Accept connections from callers and serve each in its own task."""

    def __init__(
        self,
        *,
        clock: Clock,
        log: EventLog,
        dispatcher: RequestDispatcher,
        answer_locally: LocalAnswer,
        on_connection_end: Callable[[CloseReason], None],
        limits: Callable[[], CallerLimits] = CallerLimits,
        may_read_ahead: Callable[[], bool] | None = None,
        budget: ByteBudget = UNLIMITED,
    ) -> None:
        """Start without connections.

        `answer_locally` answers requests to paths of the process itself and
        returns whether it did; `limits` returns the current limits. What is
        held for callers counts towards `budget`.
        `on_connection_end` is called for each connection that
        `close_expired` or `close_idle` closes. With `may_read_ahead`, requests
        are passed to `dispatcher` while earlier ones of their connection are
        unanswered, if it returns true: there is memory for another one.
        """
        self._server = ConnectionServer(
            dispatcher=dispatcher,
            answer_locally=answer_locally,
            may_read_ahead=may_read_ahead,
        )
        self._on_connection_end = on_connection_end
        self._log = log
        self._limits = limits
        self._budget = budget
        self._last_limits: CallerLimits | None = None
        self._limits_since = clock.now()
        self._clock = clock
        self._last_number = 0
        self._listener: curio.io.Socket | None = None
        self._accept_task: curio.Task | None = None
        self._connections_by_number: dict[int, CallerConnection] = {}

    def __len__(self) -> int:
        """Return how many connections are open."""
        return len(self._connections_by_number)

    async def run(self, listener: curio.io.Socket) -> None:
        """Accept and serve connections until cancelled."""
        self._listener = listener
        self._accept_task = await curio.spawn(self._accept(listener))
        await self._accept_task.wait()
        if self._accept_task.exception and not self._accept_task.cancelled:
            raise self._accept_task.exception
        await curio.Event().wait()

    async def stop_accepting(self) -> None:
        """Stop accepting connections; open ones are still served."""
        if self._accept_task is None or self._listener is None:
            return
        for _ in range(settings.ACCEPT_ITERATIONS):
            # Closing the listener would reset connections in its backlog.
            if sockets.is_idle(self._listener):
                break
            await curio.sleep(0)
        await self._accept_task.cancel()
        await self._listener.close()

    async def close_expired(self) -> None:
        """Close connections that exceed a timeout or whose caller disconnected.

        Timeouts are those of idle connections, incomplete heads and stalled
        exchanges. Requests are read ahead from now on where bytes arrived
        behind an unanswered one.
        """
        now = self._clock.now()
        limits = self._limits()
        if limits != self._last_limits:
            if self._last_limits is not None:
                self._limits_since = now
            self._last_limits = limits
        for connection in tuple(self._connections_by_number.values()):
            reason = close_reason(
                connection.exchange,
                limits,
                limits_since=self._limits_since,
                now=now,
            )
            if reason is None:
                await self._watch_requests(connection)
            else:
                await self._close(connection, reason)

    async def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in tuple(self._connections_by_number.values()):
            if is_idle(connection.exchange):
                await self._close(connection, CloseReason.stopping)

    @property
    def pending_count(self) -> int:
        """Return how many requests are unanswered.

        The first one of a connection counts from its first byte, those
        behind it once their heads were read.
        """
        connections = self._connections_by_number.values()
        return self.ahead_count + sum(
            has_request(connection.exchange) for connection in connections
        )

    @property
    def ahead_count(self) -> int:
        """Return how many requests were read behind an unanswered one."""
        connections = self._connections_by_number.values()
        return sum(connection.ahead_count for connection in connections)

    def has_unanswered(self, *, read_by: Millis) -> bool:
        """Return whether a request read until `read_by` is unanswered."""
        connections = self._connections_by_number.values()
        return any(
            connection.has_unanswered(read_by=read_by)
            for connection in connections
        )

    async def finish(self, *, ends_at: Millis = NEVER) -> None:
        """Stop accepting; return when all connections are closed.

        Requests that have arrived are answered first. Return at `ends_at`
        even if some are not.
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
                max_head_bytes=self._limits().max_head_bytes,
            )
            exchange.count_towards(self._budget, HeldKind.connection)
            connection = CallerConnection(first_exchange=exchange)
            self._last_number += 1
            self._connections_by_number[self._last_number] = connection
            connection.task = await curio.spawn(
                self._serve(self._last_number, connection), daemon=True
            )

    async def _watch_requests(self, connection: CallerConnection) -> None:
        """Start to read ahead if that is due, or end what nobody awaits."""
        if connection.pipeline is None:
            await self._server.read_ahead_if_due(connection)
        elif sockets.is_closed(connection.first_exchange.sock):
            # The first request must not be cancelled, so it continues.
            await connection.pipeline.drop_later()

    async def _close(
        self, connection: CallerConnection, reason: CloseReason
    ) -> None:
        if connection.task is None or connection.close_reason is not None:
            return
        connection.close_reason = reason
        self._on_connection_end(reason)
        event = close_event(
            connection.exchange,
            reason,
            self._clock.now(),
            ahead=connection.ahead_count,
        )
        if event is not None:
            self._log.emit(event)
        if connection.pipeline is not None:
            connection.pipeline.withdraw()
        if not connection.exchange.in_request:
            # Shut down here, not in the cancelled task, which runs later: a
            # request that arrives until then would be lost.
            await shut_down_writing(connection.exchange)
        await connection.task.cancel(blocking=False)

    async def _serve(self, number: int, connection: CallerConnection) -> None:
        try:
            await self._server.serve(connection)
        except (CallerError, ExchangeError) as error:
            logger.debug(
                'aborting the connection of caller %s: %s',
                connection.first_exchange.caller_ip,
                error,
            )
            await connection.abort()
        except curio.CancelledError:
            # A reset could discard a complete answer that is in transit.
            if connection.exchange.in_request:
                await connection.abort()
            # Not raised again: the traceback of a task that ends with it keeps
            # the task and its request in memory until a garbage collection.
        finally:
            self._connections_by_number.pop(number)
            await connection.close()
