"""HTTP/1.1 exchanges on connections to targets, as a client."""

import contextlib
import socket
from typing import Any

import curio
import h11

from chicorybridge import settings
from chicorybridge.common.clocks import Clock
from chicorybridge.common.errors import ErrorCode
from chicorybridge.http import settings as http_settings
from chicorybridge.http.exchanges import (
    HEAD_METHOD,
    TRANSFER_ENCODING,
    Exchange,
    ExchangeError,
    Head,
    Headers,
    content_length,
    protocol_error,
)

# Statuses of final answers are below this.
STATUS_LIMIT = 600
# Answers with these statuses never have a body.
BODILESS_STATUSES = frozenset((204, 304))


class BrokenOffError(ExchangeError):
    """Report an attempt that was aborted by `abort_answer`."""


class TargetExchange(Exchange):
    """Requests and answers on one connection to a target."""

    def __init__(
        self,
        *,
        sock: curio.io.Socket,
        clock: Clock,
        address: str,
        allow_close_delimited: bool = False,
    ) -> None:
        """Use the connection `sock`, newly opened to `address`.

        With `allow_close_delimited`, an answer without a length may end with
        the connection; otherwise it is an error.
        """
        self._allow_close_delimited = allow_close_delimited
        self._is_close_delimited = False
        self._aborted = False
        super().__init__(sock=sock, role=h11.CLIENT, clock=clock)
        self.address = address
        self.opened_at = clock.now()
        self.idle_since = self.opened_at
        self.sent_bytes = 0
        self.is_new = True
        self._method = b''
        self._received_bytes_before = 0
        # Skipped answers: informational ones and those to other requests.
        self._skipped_count = 0

    async def send_request(
        self,
        *,
        method: bytes,
        path: bytes,
        headers: Headers,
        body: bytes | None = None,
    ) -> None:
        """Send a request head, or with `body` a complete request.

        Either is sent in one write.
        """
        self._method = method
        self._received_bytes_before = self.received_bytes
        self._skipped_count = 0
        events: list[Any] = [
            h11.Request(method=method, target=path, headers=headers)
        ]
        if body:
            events.append(h11.Data(data=body))
        if body is not None:
            events.append(h11.EndOfMessage())
        await self.send(*events)

    async def read_head(self) -> Head:
        """Return the head of the final answer.

        Raise `ExchangeError` if there is none or its end is ambiguous.
        """
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            self._count_skipped()
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise ExchangeError(
                code=ErrorCode.stream_closed,
                detail='connection ended before an answer',
            )
        return self._answer_head(event)

    async def read_body(self, max_bytes: int) -> tuple[bytes, bool]:
        """Return up to `max_bytes` of the body and whether it is complete."""
        # A list of tiny chunks would take many times the memory of their bytes.
        body = bytearray()
        while len(body) < max_bytes:
            chunk = await self.read_chunk()
            if not chunk:
                return bytes(body), True
            body += chunk
            self._count_body(len(body))
        return bytes(body), False

    async def skip_answer(self) -> None:
        """Read and discard an answer that belongs to another request."""
        self._count_skipped()
        chunk = await self._skip_chunk()
        while chunk:
            chunk = await self._skip_chunk()
        states = {self._conn.our_state, self._conn.their_state}
        if states != {h11.DONE}:
            raise protocol_error('cannot skip an answer to another request')
        received = self._conn.trailing_data[0]
        # The request was sent already. A new parser reads the next answer; it
        # accepts one only after it has encoded a request, so it encodes a
        # placeholder that is not sent.
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
        """Prepare for another request; return `False` if that is impossible."""
        states = {self._conn.our_state, self._conn.their_state}
        if states != {h11.DONE} or self._conn.trailing_data[0]:
            return False
        if self._is_close_delimited or self._aborted:
            return False
        self._conn.start_next_cycle()
        self.holding.set_bytes(http_settings.CONNECTION_BYTES)
        self.idle_since = self._clock.now()
        self.is_new = False
        return True

    async def abort_answer(self) -> None:
        """Shut down the connection, so that reading the answer fails.

        The reading task gets a `BrokenOffError`.
        """
        self._aborted = True
        with contextlib.suppress(OSError):
            # If the target reset the connection, reading has failed already.
            await self.sock.shutdown(socket.SHUT_RDWR)

    async def _receive(self) -> bytes:
        try:
            data = await super()._receive()
        except ExchangeError:
            if not self._aborted:
                raise
            data = b''
        if self._aborted and not data:
            raise BrokenOffError(
                code=ErrorCode.stream_closed,
                detail='answer aborted by the proxy',
            )
        return data

    async def _write(self, data: bytes) -> None:
        # Counted before the write: a failed write may have sent a part.
        self.sent_bytes += len(data)
        await super()._write(data)

    def _count_body(self, count: int) -> None:
        if count > http_settings.COUNTED_WRITE_BYTES:
            self.holding.set_bytes(http_settings.CONNECTION_BYTES + count)

    def _count_skipped(self) -> None:
        self._skipped_count += 1
        if self._skipped_count > settings.MAX_SKIPPED_ANSWERS:
            raise protocol_error('too many answers before the expected one')

    async def _skip_chunk(self) -> bytes:
        skipped_bytes = self.received_bytes - self._received_bytes_before
        if skipped_bytes > settings.MAX_SKIPPED_BYTES:
            raise protocol_error('too much data before the expected answer')
        return await self.read_chunk()

    def _answer_head(self, response: h11.Response) -> Head:
        if response.status_code >= STATUS_LIMIT:
            raise protocol_error('the status is not one of HTTP')
        headers = list(response.headers)
        bodiless = (
            self._method == HEAD_METHOD
            or response.status_code in BODILESS_STATUSES
        )
        length = 0 if bodiless else content_length(headers)
        chunked = any(name == TRANSFER_ENCODING for name, _ in headers)
        if chunked and content_length(headers) is not None:
            raise protocol_error(
                'both Content-Length and Transfer-Encoding are set'
            )
        if length is None and not (chunked or self._allow_close_delimited):
            # An early close would look like the end of the answer.
            raise protocol_error(
                'neither Content-Length nor chunked encoding is set'
            )
        self._is_close_delimited = length is None and not chunked
        return Head(
            method=self._method,
            path=b'',
            headers=headers,
            length=length,
            status=response.status_code,
        )
