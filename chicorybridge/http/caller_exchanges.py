"""HTTP/1.1 exchanges on connections from callers, as a server."""

import functools
import re
import socket
from typing import Any

import curio
import h11

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.errors import ErrorCode
from chicorybridge.http.byte_budgets import HeldKind
from chicorybridge.http.exchanges import (
    CONTENT_LENGTH,
    HEAD_METHOD,
    TRANSFER_ENCODING,
    Exchange,
    ExchangeError,
    Head,
    Headers,
    content_length,
    protocol_error,
)
from chicorybridge.http.turns import Turn

HEAD_END = re.compile(rb'\r?\n\r?\n')
BARE_LINE_FEED = re.compile(rb'(?<!\r)\n')


class CallerExchange(Exchange):
    """Requests and answers on one connection from a caller.

    One after the other, or one only, if requests are pipelined.
    """

    def __init__(
        self,
        *,
        sock: curio.io.Socket,
        clock: Clock,
        max_head_bytes: int = settings.MAX_HEAD_BYTES,
        received: bytes = b'',
    ) -> None:
        """Use the connection `sock`; a head has at most `max_head_bytes`.

        The bytes `received` of the request arrived with an earlier one.
        """
        self._max_head_bytes = max_head_bytes
        super().__init__(sock=sock, role=h11.SERVER, clock=clock)
        # When the first byte of an incomplete request head arrived, if any.
        self.head_started_at: Millis | None = None
        # Whether the head of a request was read and its answer is not yet
        # complete, and when the latest head was read.
        self.in_request = False
        self.request_read_at = clock.now()
        # Whether the current request is cancelled if the caller disconnects.
        self.cancel_on_disconnect = True
        # Whether the last answer was sent and the caller has yet to close.
        self.lingering = False
        # Whether the answer to the current request may have been sent in part.
        self.answer_started = False
        # Whether the request violated HTTP, so that none can follow.
        self.is_malformed = False
        self.turn = Turn()
        # Set at the end of the request, if a task waits for it.
        self._end: curio.Event | None = None
        self._raw_head = received
        self._method = b''
        self.caller_ip = sockets.peer_ip(sock)
        if received:
            self.head_started_at = clock.now()
            self._conn.receive_data(received)

    async def next_request(self) -> Head | None:
        """Return the next request head, or `None` if the caller closed.

        Raise `ExchangeError` if the connection or the request is broken.
        """
        event = await self._next_event()
        if not isinstance(event, h11.Request):
            return None
        self.head_started_at = None
        self.in_request = True
        self.request_read_at = self._clock.now()
        self._method = event.method
        self._check_framing(event)
        head = _request_head(event)
        if head.length == 0:
            # Consume the end of an empty body, which needs no more bytes.
            await self._next_event()
        return head

    async def read_chunk(self) -> bytes:
        """Return the next chunk of the body, after 100 Continue if expected."""
        if self._conn.they_are_waiting_for_100_continue:
            await self.turn.wait()
            await self.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        chunk = await super().read_chunk()
        if not chunk and self._end is not None:
            await self._end.set()
        return chunk

    async def send_head(self, *, status: int, headers: Headers) -> None:
        """Send the head of the answer."""
        await self._start_answer(
            h11.Response(status_code=status, headers=headers)
        )

    async def answer(
        self, *, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a complete answer in one write, without its body for HEAD."""
        events: list[Any] = [h11.Response(status_code=status, headers=headers)]
        if body and self._method != HEAD_METHOD:
            events.append(h11.Data(data=body))
        await self._start_answer(*events, h11.EndOfMessage())

    @property
    def has_trailing_data(self) -> bool:
        """Return whether bytes behind the request were read."""
        return bool(self._conn.trailing_data[0])

    def is_pipelined(self) -> bool:
        """Return whether a later request, or a part of it, has arrived.

        The one that is unanswered must have been read and not be the last.
        """
        if not self.in_request or self.turn.closes:
            return False
        if self._conn.their_state is not h11.DONE:
            return False
        return self.has_trailing_data or not sockets.is_idle(self.sock)

    async def request_ended(self) -> bool:
        """Wait until the request was read; return whether others may follow.

        One that is answered before it was read is the last one.
        """
        while self._conn.their_state is h11.SEND_BODY:
            self._end = curio.Event()
            await self._end.wait()
        return self._conn.their_state is h11.DONE

    def successor(self) -> 'CallerExchange':
        """Return the exchange of the next request, which waits for its turn."""
        exchange = CallerExchange(
            sock=self.sock,
            clock=self._clock,
            max_head_bytes=self._max_head_bytes,
            received=bytes(self._conn.trailing_data[0]),
        )
        exchange.turn = Turn(is_first=False)
        # The connection is counted once.
        exchange.budget = self.budget
        exchange.holding = self.holding
        return exchange

    def next_cycle(self) -> bool:
        """Prepare for another request; return `False` if that is impossible."""
        if not self.end_cycle():
            return False
        self._conn.start_next_cycle()
        self._raw_head = bytes(self._conn.trailing_data[0])
        return True

    def end_cycle(self) -> bool:
        """End the request; return whether another one may follow."""
        self.in_request = False
        self.answer_started = False
        self._method = b''
        if self._conn.our_state is not h11.DONE:
            return False
        return self._conn.their_state is h11.DONE and not self.is_malformed

    def drop_received(self) -> None:
        """Drop what was received; no request can be read after this."""
        self._conn = h11.Connection(our_role=h11.SERVER)
        self._raw_head = b''

    def _evict(self) -> bool:
        """Close the connection unless a request of it is held for others."""
        pipeline = self.turn.pipeline
        current = self if pipeline is None else pipeline.current
        if current.in_request and self.holding.kind is HeldKind.connection:
            return False
        return super()._evict()

    async def _receive(self) -> bytes:
        data = await super()._receive()
        if self._conn.their_state is h11.IDLE:
            if self.head_started_at is None:
                self.head_started_at = self._clock.now()
            self._raw_head += data
        return data

    async def _start_answer(self, *events: Any) -> None:
        """Send the start of an answer, or raise before anything is sent."""
        if not self.turn.is_taken:
            parts = (event for event in events if isinstance(event, h11.Data))
            await _wait_for_turn(self, sum(len(part.data) for part in parts))
        encoded = self._encode(*events)
        self.answer_started = True
        await self._write(encoded)

    def _check_framing(self, request: h11.Request) -> None:
        names = [name for name, _ in request.headers]
        if CONTENT_LENGTH in names and TRANSFER_ENCODING in names:
            raise protocol_error(
                'both Content-Length and Transfer-Encoding are set'
            )
        end = HEAD_END.search(self._raw_head)
        head = self._raw_head[: end.end()] if end else self._raw_head
        self._raw_head = b''
        if len(head) > self._max_head_bytes:
            raise ExchangeError(
                code=ErrorCode.request_too_large,
                detail='request head exceeds the size limit',
            )
        if BARE_LINE_FEED.search(head):
            raise protocol_error(
                'line feed without carriage return in the head'
            )


async def _wait_for_turn(exchange: CallerExchange, count: int) -> None:
    """Wait for the answers before one of `count` bytes."""
    holding = exchange.budget.open(
        kind=HeldKind.running,
        evict=functools.partial(_close_connection, exchange),
    )
    holding.set_bytes(count)
    try:
        await exchange.turn.wait()
    finally:
        holding.close()


def _close_connection(exchange: CallerExchange) -> bool:
    sockets.shut_down(exchange.sock, socket.SHUT_RDWR)
    return True


def _request_head(request: h11.Request) -> Head:
    headers = list(request.headers)
    chunked = any(name == TRANSFER_ENCODING for name, _ in headers)
    length = content_length(headers)
    if length is None and not chunked:
        length = 0
    return Head(
        method=request.method,
        path=request.target,
        headers=headers,
        length=length,
        keep_alive=request.http_version != b'1.0',
    )
