"""The server side of HTTP/1.1 exchanges: connections of callers."""

import re
from typing import Any

import curio
import h11

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.errors import ErrorCode
from chicorybridge.http.exchanges import (
    CONTENT_LENGTH,
    HEAD,
    TRANSFER_ENCODING,
    Exchange,
    ExchangeError,
    Head,
    Headers,
    length_of,
    refused,
)

HEAD_END = re.compile(rb'\r?\n\r?\n')
BARE_LINE_FEED = re.compile(rb'(?<!\r)\n')


class CallerExchange(Exchange):
    """The server side of a caller's connection."""

    def __init__(
        self,
        *,
        sock: curio.io.Socket,
        clock: Clock,
        head_bytes: int = settings.MAX_HEAD_BYTES,
    ) -> None:
        """Take over an accepted connection; bound heads in bytes."""
        self._head_bytes = head_bytes
        super().__init__(sock=sock, role=h11.SERVER, clock=clock)
        # When the first byte of the head under way came, if any.
        self.head_since: Millis | None = None
        # Whether a request has been read and not wholly answered, and when
        # the last one was.
        self.busy = False
        self.busy_since = clock.now()
        # Whether the request under way ends when its caller goes away.
        self.abandonable = True
        # Whether all is answered and the caller has yet to close.
        self.lingering = False
        # Whether a part of the answer to it may have been sent.
        self.answered = False
        self._raw_head = b''
        self._method = b''
        self.caller = sockets.peer_ip(sock)

    async def next_request(self) -> Head | None:
        """Return the next request, or `None` when the caller is done."""
        event = await self._next_event()
        if not isinstance(event, h11.Request):
            return None
        self.head_since = None
        self.busy = True
        self.busy_since = self._clock.now()
        self._method = event.method
        self._check_framing(event)
        head = _request_head(event)
        if head.length == 0:
            # The end of an empty body needs no more bytes.
            await self._next_event()
        return head

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body, asking for it if expected."""
        if self._conn.they_are_waiting_for_100_continue:
            await self.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        return await super().read_chunk()

    async def send_head(self, *, status: int, headers: Headers) -> None:
        """Send the head of the answer."""
        await self._begin(h11.Response(status_code=status, headers=headers))

    async def answer(
        self, *, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a whole answer in one write, to HEAD without its body."""
        events: list[Any] = [h11.Response(status_code=status, headers=headers)]
        if body and self._method != HEAD:
            events.append(h11.Data(data=body))
        await self._begin(*events, h11.EndOfMessage())

    def next_cycle(self) -> bool:
        """Make ready for another request; `False` if the caller must go."""
        self.busy = False
        self.answered = False
        self._method = b''
        if self._conn.our_state is not h11.DONE:
            return False
        if self._conn.their_state is not h11.DONE:
            return False
        self._conn.start_next_cycle()
        self._raw_head = bytes(self._conn.trailing_data[0])
        return True

    async def _receive(self) -> bytes:
        data = await super()._receive()
        if self._conn.their_state is h11.IDLE:
            if self.head_since is None:
                self.head_since = self._clock.now()
            self._raw_head += data
        return data

    async def _begin(self, *events: Any) -> None:
        """Send what an answer begins with, unless it can't be an answer."""
        start = self._bytes_of(*events)
        self.answered = True
        await self._write(start)

    def _check_framing(self, request: h11.Request) -> None:
        names = [name for name, _ in request.headers]
        if CONTENT_LENGTH in names and TRANSFER_ENCODING in names:
            raise refused('a length and chunked at once')
        end = HEAD_END.search(self._raw_head)
        head = self._raw_head[: end.end()] if end else self._raw_head
        self._raw_head = b''
        if len(head) > self._head_bytes:
            raise ExchangeError(
                code=ErrorCode.request_too_large, detail='the head is too long'
            )
        if BARE_LINE_FEED.search(head):
            raise refused('a line feed without a carriage return')


def _request_head(request: h11.Request) -> Head:
    headers = list(request.headers)
    chunked = any(name == TRANSFER_ENCODING for name, _ in headers)
    length = length_of(headers)
    if length is None and not chunked:
        length = 0
    return Head(
        method=request.method,
        path=request.target,
        headers=headers,
        length=length,
        keep_alive=request.http_version != b'1.0',
    )
