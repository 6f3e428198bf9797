"""Pipelined requests: sent on a connection behind an unanswered one."""

import collections
from collections.abc import Awaitable, Callable, Iterable

import curio

from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import ChicorybridgeError, ErrorCode
from chicorybridge.http import settings
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.exchanges import ExchangeError, Head
from chicorybridge.http.turns import Turn

AnswerRequest = Callable[[CallerExchange, Head], Awaitable[None]]
RefuseRequest = Callable[[CallerExchange, ExchangeError], Awaitable[None]]


class Pipeline:
    """The unanswered requests of a connection, in the order of arrival.

    Each has an exchange of its own, whose answer waits for those before it,
    and is answered by a task of its own, but the one that was first when the
    pipeline was started: the task of the connection answers it.
    """

    def __init__(self, *, first: CallerExchange) -> None:
        """Start with `first`, whose request has been read completely."""
        # The latest exchange: of a request that is being read, or was read.
        self.latest = first
        # Whether no further request is started.
        self.ended = False
        self._exchanges = collections.deque([first])
        self._tasks: dict[CallerExchange, curio.Task] = {}
        self._errors: dict[CallerExchange, ChicorybridgeError] = {}
        self._reader: curio.Task | None = None
        # Set when a request is started or answered, or no more are started.
        self._changed = curio.Event()
        first.turn.pipeline = self

    @property
    def current(self) -> CallerExchange:
        """Return the first unanswered exchange, else that of the next one."""
        return self._exchanges[0] if self._exchanges else self.latest

    @property
    def unanswered_count(self) -> int:
        """Return how many requests were read and are unanswered."""
        return len(self._exchanges)

    def has_unanswered(self, *, read_by: Millis) -> bool:
        """Return whether a request read until `read_by` is unanswered."""
        return any(
            exchange.in_request and exchange.request_read_at <= read_by
            for exchange in self._exchanges
        )

    async def start_reading(self, reading: Awaitable[None]) -> None:
        """Run `reading`, which adds requests, until it ends or `stop`."""
        self._reader = await curio.spawn(reading, daemon=True)

    async def add(
        self, exchange: CallerExchange, answering: Awaitable[None]
    ) -> None:
        """Add a request that was read and run `answering` in a task."""
        exchange.turn.pipeline = self
        if not self._exchanges:
            await exchange.turn.take()
        self._exchanges.append(exchange)
        self._tasks[exchange] = await curio.spawn(
            self._run(exchange, answering), daemon=True
        )
        await self._changed.set()

    async def end(self) -> None:
        """Start no further requests."""
        self.ended = True
        await self._changed.set()

    async def next(self) -> CallerExchange | None:
        """Wait for the first unanswered request and until it is answered.

        Return its exchange, `None` once there are no more requests. Raise
        what answering it raised.
        """
        while not self._exchanges:
            if self.ended:
                return None
            await self.wait_for_change()
        exchange = self._exchanges[0]
        await self._join(exchange)
        return exchange

    async def advance(self) -> None:
        """Remove the first request, which is answered; let the next one be."""
        exchange = self._exchanges.popleft()
        self._tasks.pop(exchange, None)
        if self._exchanges:
            await self._exchanges[0].turn.take()
        await self._changed.set()

    def end_with(self, turn: Turn) -> bool:
        """End with the request of a turn, unless a later one was forwarded.

        Return whether it ends. The later requests are never forwarded then:
        their caller takes them as not read.
        """
        later = [
            exchange
            for exchange in self._exchanges
            if exchange.turn is not turn
        ]
        if any(exchange.turn.forwarded for exchange in later):
            return False
        self.ended = True
        _withdraw(later)
        return True

    async def drop_later(self) -> None:
        """End all requests but the first one, as the caller has gone."""
        later = tuple(self._exchanges)[1:]
        self.ended = True
        _withdraw(later)
        for exchange in later:
            await self._tasks[exchange].cancel(blocking=False)

    def withdraw(self) -> None:
        """Forward no request from now on that isn't forwarded yet."""
        self.ended = True
        _withdraw(self._exchanges)

    async def stop(self) -> None:
        """End all tasks; return once they have ended."""
        self.withdraw()
        while len(self._exchanges) > 1:
            # Not to be answered, so that nobody waits for it.
            self._exchanges.pop()
        tasks = list(self._tasks.values())
        if self._reader is not None:
            tasks.append(self._reader)
        for task in tasks:
            await task.cancel(blocking=False)
        for ending in tasks:
            await ending.wait()

    async def wait_for_change(self) -> None:
        """Wait until a request is added or answered, or no more are added."""
        self._changed.clear()
        await self._changed.wait()

    async def _join(self, exchange: CallerExchange) -> None:
        """Wait until a request is answered; raise what that raised."""
        task = self._tasks.get(exchange)
        if task is None:
            return
        await task.wait()
        if exchange in self._errors:
            raise self._errors.pop(exchange)
        if task.exception is not None:
            # Cancelled, or an unexpected error, which curio has logged.
            raise ExchangeError(
                code=ErrorCode.stream_closed, detail='request was not answered'
            )

    async def _run(
        self, exchange: CallerExchange, answering: Awaitable[None]
    ) -> None:
        """Answer a request; keep the error that ends its connection."""
        try:
            await answering
        except ChicorybridgeError as error:
            self._errors[exchange] = error


def _withdraw(exchanges: Iterable[CallerExchange]) -> None:
    for exchange in exchanges:
        exchange.turn.withdrawn = True


class PipelineReader:
    """Read requests of a connection and start them in its pipeline."""

    def __init__(
        self,
        *,
        pipeline: Pipeline,
        answer: AnswerRequest,
        refuse: RefuseRequest,
        may_read_ahead: Callable[[], bool],
    ) -> None:
        """Answer requests with `answer`, malformed ones with `refuse`.

        Up to `MAX_READ_AHEAD` are read behind an unanswered one, while
        `may_read_ahead` returns true.
        """
        self._pipeline = pipeline
        self._answer = answer
        self._refuse = refuse
        self._may_read_ahead = may_read_ahead

    async def run(self) -> None:
        """Read requests until none can follow."""
        try:
            is_followed = True
            while is_followed:
                is_followed = await self._read_request()
        finally:
            await self._pipeline.end()

    async def _read_request(self) -> bool:
        """Read and start one request; return whether another may follow."""
        pipeline = self._pipeline
        if not await pipeline.latest.request_ended():
            return False
        exchange = pipeline.latest.successor()
        pipeline.latest = exchange
        while not self._has_room():
            await pipeline.wait_for_change()
        head: Head | None = None
        malformed: ExchangeError | None = None
        try:
            head = await exchange.next_request()
        except ExchangeError as error:
            malformed = error
        # The connection may have ended while the request was read.
        if pipeline.ended:
            return False
        if malformed is not None:
            await pipeline.add(exchange, self._refuse(exchange, malformed))
        elif head is not None:
            await pipeline.add(exchange, self._answer(exchange, head))
        return head is not None

    def _has_room(self) -> bool:
        if not self._pipeline.unanswered_count:
            return True
        ahead_count = self._pipeline.unanswered_count - 1
        return ahead_count < settings.MAX_READ_AHEAD and self._may_read_ahead()
