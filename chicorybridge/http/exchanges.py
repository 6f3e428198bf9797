"""HTTP/1.1 exchanges over one connection, through h11, on both sides."""

import dataclasses
from typing import Any, TypeAlias

import curio
import h11

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.errors import ChicorybridgeError, ErrorCode

# Names are lower case, as h11 gives them.
Headers: TypeAlias = list[tuple[bytes, bytes]]

# The method whose answers have no body, whatever their headers say.
HEAD = b'HEAD'

# Longer numbers are no times, and thousands of digits can't be converted.
NUMBER_DIGITS = 15

CONTENT_LENGTH = b'content-length'
TRANSFER_ENCODING = b'transfer-encoding'
CHUNKED = (TRANSFER_ENCODING, b'chunked')

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


# Headers that go to the other end, whatever `Connection` lists.
END_TO_END = frozenset((b'host', CONTENT_LENGTH))


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
        self._steps = 0
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
        await self._write(self._bytes_of(*events))

    async def close(self) -> None:
        """Close the connection after what was sent."""
        await self.sock.close()

    async def abort(self) -> None:
        """Reset the connection."""
        await sockets.abort(self.sock)

    def _bytes_of(self, *events: Any) -> bytes:
        try:
            parts = [self._conn.send(event) for event in events]
        except h11.LocalProtocolError as error:
            raise _malformed(error) from error
        return b''.join(part for part in parts if part)

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
            await self._give_way()
            try:
                event = self._conn.next_event()
            except h11.RemoteProtocolError as error:
                raise _malformed(error) from error
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    async def _give_way(self) -> None:
        """Let other tasks run now and then.

        Reading waits for nothing while bytes are there, and a time limit
        reaches a task only where it waits.
        """
        self._steps += 1
        if self._steps % settings.EVENTS_PER_YIELD == 0:
            await curio.sleep(0)


def forwarded(headers: Headers) -> Headers:
    """Return the headers that go on to the next hop."""
    listed = {
        token.strip().lower()
        for name, text in headers
        if name == b'connection'
        for token in text.split(b',')
    }
    dropped = HOP_BY_HOP | (listed - END_TO_END)
    return [pair for pair in headers if pair[0] not in dropped]


def length_of(headers: Headers) -> int | None:
    """Return the length that the headers tell, in bytes."""
    for name, text in headers:
        if name == CONTENT_LENGTH:
            return int(text)
    return None


def whole_number(text: bytes | None) -> int | None:
    """Return the number of a header, `None` if it is none or too long."""
    if text is None or not text.isdigit() or len(text) > NUMBER_DIGITS:
        return None
    return int(text)


def _malformed(error: h11.ProtocolError) -> ExchangeError:
    code = ErrorCode.request_malformed
    if error.error_status_hint == settings.HEAD_TOO_LARGE_STATUS:
        code = ErrorCode.request_too_large
    return ExchangeError(code=code, detail=str(error))


def refused(detail: str) -> ExchangeError:
    """Return the error of an exchange that breaks the protocol."""
    return ExchangeError(code=ErrorCode.request_malformed, detail=detail)


def _closed(error: OSError) -> ExchangeError:
    return ExchangeError(code=ErrorCode.stream_closed, detail=str(error))
