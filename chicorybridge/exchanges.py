"""HTTP/1.1 exchanges over one connection, through h11, on both sides."""

import dataclasses
import re
from typing import Any, TypeAlias

import curio
import h11

from chicorybridge import settings, sockets
from chicorybridge.clocks import Clock, Millis
from chicorybridge.errors import ChicorybridgeError, ErrorCode

# Names are lower case, as h11 gives them.
Headers: TypeAlias = list[tuple[bytes, bytes]]

CONTENT_LENGTH = b'content-length'
TRANSFER_ENCODING = b'transfer-encoding'
CHUNKED = (TRANSFER_ENCODING, b'chunked')

HEAD_END = re.compile(rb'\r?\n\r?\n')
BARE_LINE_FEED = re.compile(rb'(?<!\r)\n')

# Statuses whose answers never have a body.
BODILESS_STATUSES = frozenset((204, 304))

HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        TRANSFER_ENCODING,
        b'upgrade',
        b'expect',
    )
)


class ExchangeError(ChicorybridgeError):
    """Report a connection that ended or broke the protocol."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Head:
    """The head of a request or, with `status` set, of an answer.

    `length` is the length of the body in bytes, `None` when chunked.
    """

    method: bytes
    path: bytes
    headers: Headers
    length: int | None
    status: int = 0
    keep_alive: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, or `None`."""
        for known, text in self.headers:
            if known == name:
                return text
        return None


class Exchange:
    """What both sides share: reading events, writing bytes."""

    def __init__(
        self, *, sock: curio.io.Socket, role: Any, clock: Clock
    ) -> None:
        """Take over an open connection."""
        self.sock = sock
        # When the wait under way for the other end began, if any.
        self.waiting_since: Millis | None = None
        self.received_bytes = 0
        self._clock = clock
        self._conn = h11.Connection(
            our_role=role, max_incomplete_event_size=settings.MAX_HEAD_BYTES
        )

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body, empty at its end."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b''
        raise ExchangeError(
            code=ErrorCode.stream_closed, detail='body was cut short'
        )

    async def send_chunk(self, chunk: bytes) -> None:
        """Send bytes of the body."""
        await self.send(h11.Data(data=chunk))

    async def finish(self) -> None:
        """End the body."""
        await self.send(h11.EndOfMessage())

    async def send(self, *events: Any) -> None:
        """Send events in one write."""
        try:
            parts = [self._conn.send(event) for event in events]
        except h11.LocalProtocolError as error:
            raise _malformed(error) from error
        await self._write(b''.join(part for part in parts if part))

    async def close(self) -> None:
        """Close the connection after what was sent."""
        await self.sock.close()

    async def abort(self) -> None:
        """Reset the connection."""
        await sockets.abort(self.sock)

    async def _write(self, data: bytes) -> None:
        if not data:
            return
        self.waiting_since = self._clock.now()
        try:
            await self.sock.sendall(data)
        except OSError as error:
            raise _closed(error) from error
        finally:
            self.waiting_since = None

    async def _receive(self) -> bytes:
        self.waiting_since = self._clock.now()
        try:
            data = await self.sock.recv(settings.RECEIVE_BYTES)
        except OSError as error:
            raise _closed(error) from error
        finally:
            self.waiting_since = None
        self.received_bytes += len(data)
        self._conn.receive_data(data)
        return data

    async def _next_event(self) -> Any:
        while True:
            try:
                event = self._conn.next_event()
            except h11.RemoteProtocolError as error:
                raise _malformed(error) from error
            if event is not h11.NEED_DATA:
                return event
            await self._receive()


class CallerExchange(Exchange):
    """The server side of a caller's connection."""

    def __init__(self, *, sock: curio.io.Socket, clock: Clock) -> None:
        """Take over an accepted connection."""
        super().__init__(sock=sock, role=h11.SERVER, clock=clock)
        # When the first byte of the head under way came, if any.
        self.head_since: Millis | None = None
        # Whether a request has been read and not wholly answered.
        self.busy = False
        # Whether the request under way ends when its caller goes away.
        self.abandonable = True
        self._raw_head = b''

    async def next_request(self) -> Head | None:
        """Return the next request, or `None` when the caller is done."""
        event = await self._next_event()
        if not isinstance(event, h11.Request):
            return None
        self.head_since = None
        self.busy = True
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
        await self.send(h11.Response(status_code=status, headers=headers))

    async def answer(
        self, *, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a whole answer in one write."""
        events: list[Any] = [h11.Response(status_code=status, headers=headers)]
        if body:
            events.append(h11.Data(data=body))
        await self.send(*events, h11.EndOfMessage())

    @property
    def answered(self) -> bool:
        """Return whether the head of an answer was sent."""
        return self._conn.our_state in {h11.SEND_BODY, h11.DONE}

    def next_cycle(self) -> bool:
        """Make ready for another request; `False` if the caller must go."""
        self.busy = False
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

    def _check_framing(self, request: h11.Request) -> None:
        names = [name for name, _ in request.headers]
        if CONTENT_LENGTH in names and TRANSFER_ENCODING in names:
            raise _refused('a length and chunked at once')
        end = HEAD_END.search(self._raw_head)
        head = self._raw_head[: end.end()] if end else self._raw_head
        self._raw_head = b''
        if len(head) > settings.MAX_HEAD_BYTES:
            raise ExchangeError(
                code=ErrorCode.request_too_large, detail='the head is too long'
            )
        if BARE_LINE_FEED.search(head):
            raise _refused('a line feed without a carriage return')


class TargetExchange(Exchange):
    """The client side of a connection to a target."""

    def __init__(
        self, *, sock: curio.io.Socket, clock: Clock, address: str
    ) -> None:
        """Take over a connection just opened to `address`."""
        super().__init__(sock=sock, role=h11.CLIENT, clock=clock)
        self.address = address
        self.opened_at = clock.now()
        self.idle_since = self.opened_at
        self.sent_bytes = 0
        self.fresh = True
        self._method = b''

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
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise ExchangeError(
                code=ErrorCode.stream_closed, detail='no answer'
            )
        return self._answer_head(event)

    def next_cycle(self) -> bool:
        """Make ready for another request; `False` if it can't be reused."""
        states = {self._conn.our_state, self._conn.their_state}
        if states != {h11.DONE} or self._conn.trailing_data[0]:
            return False
        self._conn.start_next_cycle()
        self.idle_since = self._clock.now()
        self.fresh = False
        return True

    async def _write(self, data: bytes) -> None:
        # Counted first: a write that fails may have sent a part.
        self.sent_bytes += len(data)
        await super()._write(data)

    def _answer_head(self, response: h11.Response) -> Head:
        headers = list(response.headers)
        bodiless = (
            self._method == b'HEAD' or response.status_code in BODILESS_STATUSES
        )
        length = 0 if bodiless else _length_of(headers)
        chunked = any(name == TRANSFER_ENCODING for name, _ in headers)
        if chunked and _length_of(headers) is not None:
            raise _refused('a length and chunked at once')
        if length is None and not chunked:
            # Its end could not be told from a cut.
            raise _refused('neither a length nor chunked')
        return Head(
            method=self._method,
            path=b'',
            headers=headers,
            length=length,
            status=response.status_code,
        )


def forwarded(headers: Headers) -> Headers:
    """Return the headers that go on to the next hop."""
    listed = {
        token.strip().lower()
        for name, text in headers
        if name == b'connection'
        for token in text.split(b',')
    }
    dropped = HOP_BY_HOP | listed
    return [pair for pair in headers if pair[0] not in dropped]


def _request_head(request: h11.Request) -> Head:
    headers = list(request.headers)
    chunked = any(name == TRANSFER_ENCODING for name, _ in headers)
    length = _length_of(headers)
    if length is None and not chunked:
        length = 0
    return Head(
        method=request.method,
        path=request.target,
        headers=headers,
        length=length,
        keep_alive=request.http_version != b'1.0',
    )


def _length_of(headers: Headers) -> int | None:
    for name, text in headers:
        if name == CONTENT_LENGTH:
            return int(text)
    return None


def _malformed(error: h11.ProtocolError) -> ExchangeError:
    code = ErrorCode.request_malformed
    if error.error_status_hint == settings.HEAD_TOO_LARGE_STATUS:
        code = ErrorCode.request_too_large
    return ExchangeError(code=code, detail=str(error))


def _refused(detail: str) -> ExchangeError:
    return ExchangeError(code=ErrorCode.request_malformed, detail=detail)


def _closed(error: OSError) -> ExchangeError:
    return ExchangeError(code=ErrorCode.stream_closed, detail=str(error))
