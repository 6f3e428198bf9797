"""The client side of HTTP/1.1 exchanges: connections to targets."""

import contextlib
import socket
from typing import Any

import curio
import h11

from chicorybridge import settings
from chicorybridge.common.clocks import Clock
from chicorybridge.common.errors import ErrorCode
from chicorybridge.http.exchanges import (
    HEAD,
    TRANSFER_ENCODING,
    Exchange,
    ExchangeError,
    Head,
    Headers,
    length_of,
    refused,
)

# Statuses whose answers never have a body.
BODILESS_STATUSES = frozenset((204, 304))


class BrokenOffError(ExchangeError):
    """Report an answer that this side did not wait for."""


class TargetExchange(Exchange):
    """The client side of a connection to a target."""

    def __init__(
        self,
        *,
        sock: curio.io.Socket,
        clock: Clock,
        address: str,
        unframed: bool = False,
    ) -> None:
        """Take over a connection just opened to `address`.

        With `unframed`, answers may end with the connection.
        """
        self._unframed = unframed
        self._ends_with_answer = False
        self._broken_off = False
        super().__init__(sock=sock, role=h11.CLIENT, clock=clock)
        self.address = address
        self.opened_at = clock.now()
        self.idle_since = self.opened_at
        self.sent_bytes = 0
        self.fresh = True
        self._method = b''
        self._received_before = 0
        # Answers that came before the one that is due.
        self._answers_ahead = 0

    async def send_request(
        self,
        *,
        method: bytes,
        path: bytes,
        headers: Headers,
        body: bytes | None = None,
    ) -> None:
        """Send the head, and with `body` the whole request in one write."""
        self._method = method
        self._received_before = self.received_bytes
        self._answers_ahead = 0
        events: list[Any] = [
            h11.Request(method=method, target=path, headers=headers)
        ]
        if body:
            events.append(h11.Data(data=body))
        if body is not None:
            events.append(h11.EndOfMessage())
        await self.send(*events)

    async def read_head(self) -> Head:
        """Return the head of the answer; raise if its end can't be told."""
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            self._pass_over()
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise ExchangeError(
                code=ErrorCode.stream_closed, detail='no answer'
            )
        return self._answer_head(event)

    async def read_body(self, limit: int) -> tuple[bytes, bool]:
        """Return the body up to its end or `limit`, and whether it ended."""
        # Tiny chunks would take many times their size one by one.
        body = bytearray()
        while len(body) < limit:
            chunk = await self.read_chunk()
            if not chunk:
                return bytes(body), True
            body += chunk
        return bytes(body), False

    async def skip_answer(self) -> None:
        """Read past an answer that belongs to another request."""
        self._pass_over()
        chunk = await self._skip_chunk()
        while chunk:
            chunk = await self._skip_chunk()
        states = {self._conn.our_state, self._conn.their_state}
        if states != {h11.DONE}:
            raise refused('an answer to another request')
        received = self._conn.trailing_data[0]
        # The request is under way still; only its answer is awaited anew.
        self._conn = h11.Connection(
            our_role=h11.CLIENT,
            max_incomplete_event_size=settings.MAX_HEAD_BYTES,
        )
        self._conn.send(
            h11.Request(
                method=self._method, target=b'/', headers=[(b'host', b'')]
            )
        )
        self._conn.send(h11.EndOfMessage())
        if received:
            self._conn.receive_data(received)

    def next_cycle(self) -> bool:
        """Make ready for another request; `False` if it can't be reused."""
        states = {self._conn.our_state, self._conn.their_state}
        if states != {h11.DONE} or self._conn.trailing_data[0]:
            return False
        if self._ends_with_answer or self._broken_off:
            return False
        self._conn.start_next_cycle()
        self.idle_since = self._clock.now()
        self.fresh = False
        return True

    async def break_off(self) -> None:
        """End the wait for an answer; one that ends so is not whole."""
        self._broken_off = True
        with contextlib.suppress(OSError):
            # Reset by the target, the wait has ended already.
            await self.sock.shutdown(socket.SHUT_RDWR)

    async def _receive(self) -> bytes:
        try:
            data = await super()._receive()
        except ExchangeError:
            if not self._broken_off:
                raise
            data = b''
        if self._broken_off and not data:
            raise BrokenOffError(
                code=ErrorCode.stream_closed, detail='not waited for'
            )
        return data

    async def _write(self, data: bytes) -> None:
        # Counted first: a write that fails may have sent a part.
        self.sent_bytes += len(data)
        await super()._write(data)

    def _pass_over(self) -> None:
        self._answers_ahead += 1
        if self._answers_ahead > settings.MAX_SKIPPED_ANSWERS:
            raise refused('too much ahead of the answer')

    async def _skip_chunk(self) -> bytes:
        ahead = self.received_bytes - self._received_before
        if ahead > settings.MAX_SKIPPED_BYTES:
            raise refused('too much ahead of the answer')
        return await self.read_chunk()

    def _answer_head(self, response: h11.Response) -> Head:
        headers = list(response.headers)
        bodiless = (
            self._method == HEAD or response.status_code in BODILESS_STATUSES
        )
        length = 0 if bodiless else length_of(headers)
        chunked = any(name == TRANSFER_ENCODING for name, _ in headers)
        if chunked and length_of(headers) is not None:
            raise refused('a length and chunked at once')
        if length is None and not (chunked or self._unframed):
            # Its end could not be told from a cut.
            raise refused('neither a length nor chunked')
        self._ends_with_answer = length is None and not chunked
        return Head(
            method=self._method,
            path=b'',
            headers=headers,
            length=length,
            status=response.status_code,
        )
